// A standing reservation is accepted. The executor that runs it crashes, twice within the largest
// share of executors that crash at a time on the site. No run of the job ends `failed`.

#include "standin.hpp"

namespace {

using namespace review;

constexpr std::size_t machine_count = 8;  // one of 8 is a share of 0.125
constexpr int crash_count = 2;
// The executor is down for this long, as in the site's list of troubles (4.5 s at most).
constexpr std::int64_t down_ms = 2'000;
// Time between the start of the task and the crash.
constexpr std::int64_t crash_after_ms = 100;
constexpr std::int64_t start_limit_ms = 10'000;
constexpr std::int64_t watch_ms = 8'000;

// The executor of the newest start of the task, if it is not older than `after_ms`.
std::optional<std::string> newest_start(const record& records, const std::string& task,
                                        std::int64_t after_ms) {
    std::optional<std::string> found;
    for (const auto& each : records.entries()) {
        if (each.words.size() > 3 && each.words[0] == "start" && each.words[1] == task &&
            each.at_ms >= after_ms) {
            found = each.words[3];
        }
    }
    return found;
}

std::size_t machine_of(local_system& system, const std::string& executor) {
    for (std::size_t i = 0; i < system.machine_count(); ++i) {
        if (system.machine_at(i).executor_values.id == executor) {
            return i;
        }
    }
    throw std::runtime_error("no machine has the executor " + executor);
}

int judge(const std::string& self, const std::string& folder, record& records) {
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/", 4)}));
    const auto first = system.add_entry("edge-rosenberg-1");
    const auto second = system.add_entry("edge-richmond-1");
    for (std::size_t i = 0; i < machine_count; ++i) {
        system.add_machine("side-" + std::to_string(i + 1), {});
    }
    if (!wait_until(10'000,
                    [&] { return system.is_serving(first) && system.is_serving(second); })) {
        return exit_not_run;
    }
    sleep_ms(2'000);
    const auto id = job_id(0x5c0e7a21d94b0001);
    const json spec{{"lasts", true}};
    const json step{{"count", 1},
                    {"cpu", 13'000},
                    {"memMb", 26'000},
                    {"estimateMs", 500},
                    {"longRunning", true}};
    const json job{{"spec", spec.dump()}, {"steps", json::array({step})}};
    const auto port = system.entry_at(first).callers;
    std::int64_t since = steady_ms();
    std::optional<std::size_t> first_crashed;
    const auto accepted = call(port, "POST", "/plans/" + id, job.dump());
    records.add("caller POST " + id + " " + std::to_string(accepted.status));
    if (accepted.status != 200) {
        return exit_not_run;
    }
    const auto task = id + ".0.0.0";
    for (int i = 0; i < crash_count && has_trouble(); ++i) {
        std::optional<std::string> executor;
        const auto has_started = [&] {
            executor = newest_start(records, task, since);
            return executor.has_value();
        };
        if (!wait_until(start_limit_ms, has_started)) {
            break;  // what callers are told decides
        }
        sleep_ms(crash_after_ms);
        records.add("trouble crash " + *executor);
        since = steady_ms();
        const auto crashed = machine_of(system, *executor);
        system.machine_at(crashed).executor.kill();
        if (i > 0) {
            sleep_ms(down_ms);
            system.start_executor(crashed);
        } else {
            first_crashed = crashed;
        }
    }
    if (first_crashed) {
        system.start_executor(*first_crashed);
    }
    bool has_failed = false;
    const auto end = steady_ms() + watch_ms;
    while (steady_ms() < end) {
        const auto state = call(port, "GET", "/plans/" + id).state();
        records.add("caller GET " + id + " " + state);
        has_failed = has_failed || state == "failed";
        sleep_ms(500);
    }
    int failed_runs = 0;
    for (const auto& each : records.entries()) {
        failed_runs += each.words.size() > 4 && each.words[0] == "end" && each.words[4] == "failed";
    }
    records.add("judge failed_runs " + std::to_string(failed_runs) + " shown_failed " +
                (has_failed ? "yes" : "no"));
    return has_failed && failed_runs == 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
