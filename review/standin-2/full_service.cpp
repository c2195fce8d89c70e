// The service is full with short jobs of the usual traffic. An executor is lost for good, with
// tasks that last. They must start elsewhere, however full the service is.

#include <algorithm>

#include "standin.hpp"

namespace {

using namespace review;

constexpr std::size_t machine_count = 8;  // one of 8 is a share of 0.125
constexpr int executor_cpu = 32'000;
constexpr int lasting_count = 6;
constexpr int lasting_cpu = 13'000;
// The largest tasks of the site's most frequent kind of job, and its mean width. All jobs together
// take 235 of 256 cores.
constexpr int short_width = 6;
constexpr int short_cpu = 2'900;
constexpr std::int64_t short_work_ms = 1'600;
constexpr std::int64_t job_interval_ms = 177;
constexpr std::int64_t fill_ms = 6'000;
// A task that lasts may be without a run for 6 s and then 3 s; these and the 4 s before are calm.
constexpr std::int64_t allowed_ms = 3'000 + 6'000 + 4'000 + 3'000;
constexpr std::int64_t watch_ms = 25'000;

struct run {
    std::string executor;
    std::int64_t at_ms = 0;
};

// The newest start of each task of the job.
std::map<std::string, run> newest_starts(const record& records, const std::string& job) {
    std::map<std::string, run> found;
    for (const auto& each : records.entries()) {
        if (each.words.size() == 4 && each.words[0] == "start" &&
            each.words[1].rfind(job + ".", 0) == 0) {
            found[each.words[1]] = {each.words[3], each.at_ms};
        }
    }
    return found;
}

// Hands in short jobs at a steady rate, each call in a thread of its own.
class traffic {
public:
    traffic(local_system& system, record& records) : system_(system), records_(records) {
        const json step{{"count", short_width},
                        {"cpu", short_cpu},
                        {"memMb", 1'900},
                        {"estimateMs", short_work_ms}};
        body_ = json{{"spec", json{{"ms", short_work_ms}}.dump()}, {"steps", json::array({step})}}
                    .dump();
        thread_ = std::thread([this] { hand_in_all(); });
    }
    ~traffic() {
        is_over_ = true;
        thread_.join();
    }
    traffic(const traffic&) = delete;
    traffic& operator=(const traffic&) = delete;

private:
    void hand_in_all() {
        std::vector<std::thread> calls;
        auto next_at = steady_ms();
        for (std::uint64_t i = 0; !is_over_; ++i) {
            calls.emplace_back([this, i] {
                const auto id = job_id(0x7000'0000'0000'0000 + i);
                const auto port = system_.entry_at(i % 2).callers;
                const auto found = call(port, "POST", "/plans/" + id, body_);
                records_.add("caller POST " + id + " " + std::to_string(found.status));
            });
            next_at += job_interval_ms;
            sleep_ms(std::max<std::int64_t>(0, next_at - steady_ms()));
        }
        for (auto& each : calls) {
            each.join();
        }
    }

    local_system& system_;
    record& records_;
    std::string body_;
    std::atomic<bool> is_over_ = false;
    std::thread thread_;
};

int judge(const std::string& self, const std::string& folder, record& records) {
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/")}));
    const auto first = system.add_entry("edge-rosenberg-1");
    const auto second = system.add_entry("edge-richmond-1");
    executor_settings small;
    small.cpu = executor_cpu;
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.add_machine("side-" + std::to_string(i + 1), small);
    }
    if (!wait_until(10'000,
                    [&] { return system.is_serving(first) && system.is_serving(second); })) {
        return exit_not_run;
    }
    sleep_ms(2'000);
    const auto id = job_id(0x5c0e7a21d94b0008);
    const json step{{"count", lasting_count},
                    {"cpu", lasting_cpu},
                    {"memMb", 26'000},
                    {"estimateMs", 500},
                    {"longRunning", true}};
    const json job{{"spec", json{{"lasts", true}}.dump()}, {"steps", json::array({step})}};
    const auto accepted = call(system.entry_at(first).callers, "POST", "/plans/" + id, job.dump());
    records.add("caller POST " + id + " " + std::to_string(accepted.status));
    const auto has_begun = [&] { return newest_starts(records, id).size() == lasting_count; };
    if (accepted.status != 200 || !wait_until(10'000, has_begun)) {
        return exit_not_run;
    }
    const traffic short_jobs(system, records);
    sleep_ms(fill_ms);
    const auto lost = newest_starts(records, id).at(id + ".0.0.0").executor;
    std::vector<std::string> tasks;
    for (const auto& [task, newest] : newest_starts(records, id)) {
        if (newest.executor == lost) {
            tasks.push_back(task);
        }
    }
    const auto begun_at = steady_ms();
    if (!has_trouble()) {
        tasks.clear();
    }
    for (std::size_t i = 0; i < machine_count && has_trouble(); ++i) {
        if (system.machine_at(i).executor_values.id == lost) {
            records.add("trouble crash " + lost + " for good, tasks " +
                        std::to_string(tasks.size()));
            system.machine_at(i).executor.kill();
        }
    }
    const auto count_waiting = [&] {
        const auto newest = newest_starts(records, id);
        return std::count_if(tasks.begin(), tasks.end(), [&](const std::string& task) {
            return newest.at(task).at_ms < begun_at;
        });
    };
    wait_until(watch_ms, [&] {
        sleep_ms(500);
        return has_trouble() && count_waiting() == 0;
    });
    const auto waited_ms = steady_ms() - begun_at;
    records.add("judge waited_ms " + std::to_string(waited_ms) + " allowed_ms " +
                std::to_string(allowed_ms) + " tasks_still_waiting " +
                std::to_string(count_waiting()));
    return has_trouble() && waited_ms > allowed_ms ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
