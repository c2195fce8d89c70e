// A foreign status report reaches the agent of one executor while that executor is at work.

#include "standin/deployment.hpp"

namespace {

using namespace review;
using nlohmann::json;

// `finish_s` of the installation: how long after the end of the traffic jobs are asked for.
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t max_idle_ms = 3'000;
const std::string job = "5c0e7a21d94b36f8";

verdict check(record& log) {
    const route queue{"nony24.example", "/lohu930/"};
    deployment system({}, log);
    const json step{{"count", 2}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 2'000}};
    json last = step;
    last["after"] = {0};
    if (!system.submit(queue, job, {{"spec", "run_ms=2000"}, {"steps", {step, last}}})) {
        return could_not_run;
    }
    if (!wait_for(5'000, [&] { return log.runs(job).size() == 2; })) {
        return could_not_run;
    }
    sleep_ms(500);
    if (has_trouble()) {
        auto& busy = system.executor_named(log.runs(job).front().executor);
        auto foreign = busy.report();
        foreign["service"] = "another-service";
        foreign["address"] = "127.0.0.1:" + std::to_string(free_port());
        foreign["born"] = unix_ms();
        foreign["sequence"] = 1;
        log.line("another writer reports to the agent of " + busy.name() + ": " + foreign.dump());
        const auto answer =
            call(busy.report_port(), {"POST", "/executors/i-another/heartbeat", {}, foreign.dump()},
                 1'000);
        log.line("that report is answered with " + std::to_string(answer.status));
    }
    const bool is_done = wait_for(finish_ms, [&] {
        sleep_ms(500);
        return system.state_of(queue, job) == "completed";
    });
    const auto runs = log.runs(job);
    std::int64_t last_activity = 0;
    for (const auto& each : runs) {
        last_activity = std::max(last_activity, each.ended_at < 0 ? now_ms() : each.ended_at);
    }
    log.line("runs: " + std::to_string(runs.size()) + " of 4, nothing has run for " +
             std::to_string(now_ms() - last_activity) + " ms");
    for (auto& each : system.executors()) {
        if (each->unacknowledged_count() > 0) {
            log.line(each->name() + " lists " + std::to_string(each->unacknowledged_count()) +
                     " ends that were not taken note of");
        }
    }
    return !is_done && now_ms() - last_activity >= max_idle_ms ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, check);
}
