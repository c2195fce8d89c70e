// The table holds the jobs of some hours of the site's ordinary traffic, all completed. All
// processes are killed at once and start again. The platform kills a process that is over the
// memory of its machine, and starts it again as it does with each that ends.

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "standin.hpp"

namespace {

using namespace review;

// 126 minutes of the 8.6 jobs a second of the site; without the disruption those of the 120 s for
// which the state of a job must be shown.
constexpr std::uint64_t old_job_count = 65'000;
constexpr std::uint64_t recent_job_count = 1'032;
// Memory of an entry's machine on the site.
constexpr double max_memory_mb = 260;
constexpr std::size_t machine_count = 4;
constexpr std::size_t entry_count = 2;
constexpr std::uint64_t part_count = 8;
constexpr std::int64_t restart_delay_ms = 500;
constexpr std::int64_t down_ms = 1'500;
// Ends of a process within this time of the impairment do not count.
constexpr std::int64_t contact_ms = 3'000;
constexpr std::int64_t watch_ms = 30'000;
constexpr std::int64_t request_interval_ms = 500;
// Ends of a process by itself, on two machines at least, from which on the day counts nothing.
constexpr int max_own_ends = 3;

// About the mean job of the site: 10.8 tasks, 250 bytes.
json small_job() {
    const json first{{"count", 5}, {"cpu", 960}, {"memMb", 1'900}, {"estimateMs", 640}};
    json second = first;
    second["after"] = {0};
    const json spec{{"ms", 100}, {"order", std::string(220, 'x')}};
    return {{"spec", spec.dump()}, {"steps", json::array({first, second})}};
}

std::string part_of(const std::string& job) {
    return std::to_string(XXH3_64bits(job.data(), job.size()) % part_count);
}

// Copies the rows that the system has written for one completed job to other jobs.
void add_earlier_jobs(table_store& store, const std::string& example, std::uint64_t count) {
    std::vector<table_store::row> rows;
    for (const std::string table : {"jobs", "progress"}) {
        for (const auto& found : store.rows(table)) {
            for (std::uint64_t i = 0; found.key == example && i < count; ++i) {
                auto copy = found;
                copy.key = job_id(0x1000'0000'0000'0000 + i * 0x1'0000'0001);
                copy.part = table == "jobs" ? part_of(copy.key) : found.part;
                rows.push_back(std::move(copy));
            }
        }
    }
    store.put_encoded(rows);
}

// The platform's part: ends entries that are over their memory, and starts them again.
class memory_guard {
public:
    explicit memory_guard(local_system& system, record& records)
        : system_(system), records_(records), begun_at_(steady_ms()) {}

    void check() {
        for (std::size_t i = 0; i < entry_count; ++i) {
            auto& entry = system_.entry_at(i);
            if (starts_at_[i]) {
                if (steady_ms() >= *starts_at_[i]) {
                    system_.start_entry(i);
                    starts_at_[i].reset();
                }
                continue;
            }
            const auto used = entry.node.peak_memory_mb();
            peak_mb_[i] = std::max(peak_mb_[i], used);
            if (used > max_memory_mb || !entry.node.is_running()) {
                records_.add("platform ends entry " + std::to_string(i) + " memory_mb " +
                             std::to_string(used));
                entry.node.kill();
                own_ends_[i] += steady_ms() - begun_at_ > contact_ms ? 1 : 0;
                starts_at_[i] = steady_ms() + restart_delay_ms;
            }
        }
    }

    [[nodiscard]] bool is_rule_broken() const {
        return std::all_of(own_ends_.begin(), own_ends_.end(),
                           [](int count) { return count >= max_own_ends; });
    }

    void report() {
        for (std::size_t i = 0; i < entry_count; ++i) {
            records_.add("judge entry " + std::to_string(i) + " own_ends " +
                         std::to_string(own_ends_[i]) + " peak_mb " + std::to_string(peak_mb_[i]));
        }
    }

private:
    local_system& system_;
    record& records_;
    std::int64_t begun_at_;
    std::array<int, entry_count> own_ends_{};
    std::array<double, entry_count> peak_mb_{};
    std::array<std::optional<std::int64_t>, entry_count> starts_at_;
};

int judge(const std::string& self, const std::string& folder, record& records) {
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/")}));
    system.add_entry("edge-rosenberg-1");
    system.add_entry("edge-richmond-1");
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.add_machine("side-" + std::to_string(i + 1), {});
    }
    if (!wait_until(10'000, [&] { return system.is_serving(0) && system.is_serving(1); })) {
        return exit_not_run;
    }
    sleep_ms(2'000);
    const auto body = small_job().dump();
    const auto example = job_id(0x5c0e7a21d94b0005);
    const auto state_of = [&](std::size_t entry, const std::string& id) {
        return call(system.entry_at(entry).callers, "GET", "/plans/" + id).state();
    };
    const auto handed_in = call(system.entry_at(0).callers, "POST", "/plans/" + example, body);
    if (handed_in.status != 200 ||
        !wait_until(10'000, [&] { return state_of(0, example) == "completed"; })) {
        return exit_not_run;
    }
    records.add("trouble all processes killed");
    for (std::size_t i = 0; i < entry_count; ++i) {
        system.entry_at(i).node.kill();
    }
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.machine_at(i).agent.kill();
    }
    const auto count = has_trouble() ? old_job_count : recent_job_count;
    records.add("table holds completed jobs " + std::to_string(count));
    add_earlier_jobs(system.store(), example, count);
    sleep_ms(down_ms);
    for (std::size_t i = 0; i < entry_count; ++i) {
        system.start_entry(i);
    }
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.start_agent(i);
    }
    records.add("trouble all processes started");
    memory_guard guard(system, records);
    std::atomic<bool> is_over = false;
    std::vector<std::string> ids;
    std::thread callers([&] {
        for (std::uint64_t i = 0; !is_over; ++i) {
            const auto id = job_id(0x7000'0000'0000'0000 + i);
            const auto port = system.entry_at(i % entry_count).callers;
            const auto found = call(port, "POST", "/plans/" + id, body);
            records.add("caller POST " + id + " " + std::to_string(found.status));
            if (found.status == 200) {
                ids.push_back(id);
            }
            sleep_ms(request_interval_ms);
        }
    });
    for (const auto end = steady_ms() + watch_ms; steady_ms() < end; sleep_ms(5)) {
        guard.check();
    }
    is_over = true;
    callers.join();
    std::size_t completed = 0;
    for (const auto& id : ids) {
        completed += state_of(0, id) == "completed" || state_of(1, id) == "completed" ? 1 : 0;
    }
    guard.report();
    records.add("judge accepted " + std::to_string(ids.size()) + " completed " +
                std::to_string(completed));
    return guard.is_rule_broken() ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
