// An executor is lost for good and silent: its address answers nothing, and nothing is refused
// there. What ran there must start elsewhere once the leases are over.

#include <algorithm>
#include <csignal>

#include "standin.hpp"

namespace {

using namespace review;

constexpr std::size_t machine_count = 8;  // one of 8 is a share of 0.125
constexpr int serving_count = 4;
constexpr std::int64_t batch_work_ms = 6'000;
// Longest lease of a run, with a clock that is 2% slow.
constexpr std::int64_t lease_ms = 6'120;
// From its last run on, a task that lasts may be without one for 6 s and then 3 s.
constexpr std::int64_t allowed_gap_ms = 6'000 + 3'000;
// Time without impairment after which rules with a time bound hold: 3 s, and the 4 s before.
constexpr std::int64_t calm_ms = 3'000 + 4'000;
constexpr std::int64_t watch_ms = 25'000;

struct run {
    std::string executor;
    std::int64_t at_ms = 0;
};

// The newest start of each task.
std::map<std::string, run> newest_starts(const record& records) {
    std::map<std::string, run> found;
    for (const auto& each : records.entries()) {
        if (each.words.size() == 4 && each.words[0] == "start") {
            found[each.words[1]] = {each.words[3], each.at_ms};
        }
    }
    return found;
}

std::size_t count_tasks(const record& records, const std::string& job) {
    const auto starts = newest_starts(records);
    return static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(), [&](auto& each) {
        return each.first.rfind(job + ".", 0) == 0;
    }));
}

bool hand_in(int port, record& records, const std::string& id, const json& spec, json step) {
    step["antiAffinity"] = 1;
    const json job{{"spec", spec.dump()}, {"steps", json::array({step})}};
    const auto accepted = call(port, "POST", "/plans/" + id, job.dump());
    records.add("caller POST " + id + " " + std::to_string(accepted.status));
    const auto count = step.at("count").get<std::size_t>();
    return accepted.status == 200 &&
           wait_until(10'000, [&] { return count_tasks(records, id) == count; });
}

int judge(const std::string& self, const std::string& folder, record& records) {
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/")}));
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
    const auto port = system.entry_at(first).callers;
    const auto serving = job_id(0x5c0e7a21d94b0003);
    const auto batch = job_id(0x5c0e7a21d94b0004);
    const json serving_step{{"count", serving_count},
                            {"cpu", 13'000},
                            {"memMb", 26'000},
                            {"estimateMs", 500},
                            {"longRunning", true}};
    const json batch_step{
        {"count", machine_count}, {"cpu", 1'000}, {"memMb", 1'000}, {"estimateMs", batch_work_ms}};
    if (!hand_in(port, records, serving, {{"lasts", true}}, serving_step) ||
        !hand_in(port, records, batch, {{"ms", batch_work_ms}}, batch_step)) {
        return exit_not_run;
    }
    sleep_ms(1'000);
    const auto task = serving + ".0.0.0";
    const auto lost = newest_starts(records).at(task).executor;
    for (std::size_t i = 0; i < machine_count && has_trouble(); ++i) {
        if (system.machine_at(i).executor_values.id == lost) {
            records.add("trouble silent " + lost + " with " + task);
            system.machine_at(i).executor.signal(SIGSTOP);
        }
    }
    const auto begun_at = steady_ms();
    const auto due_ms = std::max(lease_ms + allowed_gap_ms, calm_ms);
    const auto has_moved = [&] { return newest_starts(records).at(task).at_ms > begun_at; };
    std::string state;
    wait_until(watch_ms, [&] {
        sleep_ms(1'000);
        const auto next = call(port, "GET", "/plans/" + batch).state();
        if (next != state) {
            records.add("caller GET " + batch + " " + next);
            state = next;
        }
        return (has_moved() || !has_trouble()) && state == "completed";
    });
    const auto waited_ms = steady_ms() - begun_at;
    records.add("judge waited_ms " + std::to_string(waited_ms) + " allowed_ms " +
                std::to_string(due_ms) + " lasting_task_started_again " +
                (has_moved() ? "yes" : "no") + " batch_job " + state);
    const bool is_kept = (has_moved() || !has_trouble()) && state == "completed";
    return !is_kept && waited_ms > due_ms ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
