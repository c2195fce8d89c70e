// Executors crash and start again at once, under the same id, while short tasks come and go.

#include <atomic>
#include <cstdio>
#include <random>
#include <thread>

#include "standin/deployment.hpp"

namespace {

using namespace review;
using nlohmann::json;

constexpr int crashes = 25;
constexpr std::int64_t crash_interval_ms = 1'500;
// A report comes about every `heartbeatMs`: the first within that time of a start.
constexpr std::int64_t heartbeat_ms = 1'100;
// How long a crashed executor is away.
constexpr std::int64_t down_ms = 100;

// Counts pairs of runs of one task that overlap.
int count_overlaps(record& log, const std::vector<run_record>& runs) {
    int found = 0;
    int both_done = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
            const auto end = runs[i].ended_at < 0 ? now_ms() : runs[i].ended_at;
            if (runs[i].task == runs[j].task && runs[j].started_at < end) {
                ++found;
                both_done += runs[i].how == "done" && runs[j].how == "done" ? 1 : 0;
                log.line("TWICE: " + runs[i].task + " #" + std::to_string(runs[i].run) + " on " +
                         runs[i].executor + " and #" + std::to_string(runs[j].run) + " on " +
                         runs[j].executor + " for " + std::to_string(end - runs[j].started_at) +
                         " ms or less");
            }
        }
    }
    log.line("overlapping runs: " + std::to_string(found) +
             ", both ended done: " + std::to_string(both_done));
    return found;
}

verdict check(record& log) {
    const route queue{"nony24.example", "/lohu930/"};
    deployment system({}, log);
    std::atomic<bool> is_over = false;
    std::thread requester([&] {
        for (int i = 0; !is_over; ++i) {
            char job[17];
            std::snprintf(job, sizeof job, "%016x", 0x1000 + i);
            const json step{{"count", 24},
                            {"cpu", 500},
                            {"memMb", 256},
                            {"estimateMs", 600},
                            {"antiAffinity", 3}};
            json last = step;
            last["after"] = {0};
            (void)system.submit(queue, job, {{"spec", "run_ms=600"}, {"steps", {step, last}}});
            sleep_ms(250);
        }
    });
    std::mt19937 random(std::random_device{}());
    for (int i = 0; i < crashes; ++i) {
        sleep_ms(crash_interval_ms);
        if (has_trouble()) {
            auto& victim = *system.executors()[random() % system.executors().size()];
            victim.crash();
            sleep_ms(down_ms);
            victim.start(victim.id(), static_cast<std::int64_t>(random() % heartbeat_ms));
        }
    }
    is_over = true;
    requester.join();
    sleep_ms(5'000);
    return count_overlaps(log, log.runs()) > 0 ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, check);
}
