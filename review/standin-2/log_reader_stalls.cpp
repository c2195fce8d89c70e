// The reader of the entries' standard output stalls for a while. The entries must go on serving:
// they never wait for the log.

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>

#include "standin.hpp"

namespace {

using namespace review;

constexpr std::size_t machine_count = 4;
constexpr std::array<const char*, 2> entry_names{"edge-rosenberg-1", "edge-richmond-1"};
// Within the site's rate of jobs, 8.6 a second, and its largest burst, 2.6 times as many.
constexpr std::int64_t job_interval_ms = 60;
// The traffic ends this long after the readers have stopped.
constexpr std::int64_t traffic_ms = 12'000;
// Jobs are asked for this long after the end of the traffic.
constexpr std::int64_t finish_ms = 14'000;

// Reads the output of a process through a named pipe.
class log_reader {
public:
    explicit log_reader(const std::string& file) {
        if (mkfifo(file.c_str(), 0600) != 0) {
            throw std::runtime_error("no named pipe");
        }
        pipe_ = open(file.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        thread_ = std::thread([this] { read_all(); });
    }
    ~log_reader() {
        is_over_ = true;
        thread_.join();
        close(pipe_);
    }
    log_reader(const log_reader&) = delete;
    log_reader& operator=(const log_reader&) = delete;

    void set_stalled(bool is_stalled) { is_stalled_ = is_stalled; }

private:
    void read_all() {
        std::array<char, 65'536> buffer{};
        while (!is_over_) {
            const bool has_read = !is_stalled_ && read(pipe_, buffer.data(), buffer.size()) > 0;
            if (!has_read) {
                sleep_ms(5);
            }
        }
    }

    int pipe_ = -1;
    std::atomic<bool> is_stalled_ = false;
    std::atomic<bool> is_over_ = false;
    std::thread thread_;
};

int judge(const std::string& self, const std::string& folder, record& records) {
    std::vector<std::unique_ptr<log_reader>> readers;
    for (const char* name : entry_names) {
        readers.push_back(std::make_unique<log_reader>(folder + "/" + name + ".yaml.log"));
    }
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/")}));
    for (const char* name : entry_names) {
        system.add_entry(name);
    }
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.add_machine("side-" + std::to_string(i + 1), {});
    }
    if (!wait_until(10'000, [&] { return system.is_serving(0) && system.is_serving(1); })) {
        return exit_not_run;
    }
    sleep_ms(2'000);
    const auto known = job_id(0x5c0e7a21d94b0007);
    const json step{{"count", 2}, {"cpu", 960}, {"memMb", 1'900}, {"estimateMs", 300}};
    const auto body =
        json{{"spec", json{{"ms", 300}}.dump()}, {"steps", json::array({step})}}.dump();
    if (call(system.entry_at(0).callers, "POST", "/plans/" + known, body).status != 200) {
        return exit_not_run;
    }
    std::atomic<bool> is_over = false;
    std::vector<std::thread> callers;
    for (std::size_t entry = 0; entry < entry_names.size(); ++entry) {
        callers.emplace_back([&, entry] {
            for (std::uint64_t i = 0; !is_over; ++i) {
                const auto id = job_id(0x7000'0000'0000'0000 + i * entry_names.size() + entry);
                const auto found =
                    call(system.entry_at(entry).callers, "POST", "/plans/" + id, body);
                records.add("caller POST " + id + " " + std::to_string(found.status));
                sleep_ms(job_interval_ms * static_cast<std::int64_t>(entry_names.size()));
            }
        });
    }
    if (has_trouble()) {
        records.add("trouble log readers stall");
        for (auto& each : readers) {
            each->set_stalled(true);
        }
    }
    sleep_ms(traffic_ms);
    is_over = true;
    for (auto& each : callers) {
        each.join();
    }
    records.add("caller traffic ends");
    sleep_ms(finish_ms);
    int answers = 0;
    for (std::size_t entry = 0; entry < entry_names.size(); ++entry) {
        const auto state = call(system.entry_at(entry).callers, "GET", "/plans/" + known).state();
        records.add("caller GET " + known + " " + state);
        answers += state == "completed" || state == "running" || state == "pending" ? 1 : 0;
    }
    for (auto& each : readers) {
        each->set_stalled(false);
    }
    records.add("judge answers " + std::to_string(answers) + " of " +
                std::to_string(entry_names.size()) + " entries asked");
    return answers == 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
