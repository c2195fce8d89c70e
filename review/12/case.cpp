// Recurring jobs with many occurrences come at once. The platform ends each process that is over
// its memory and starts it again.

#include <cstdlib>

#include "standin.hpp"

using namespace standin;

namespace {

constexpr long memory_kib = 260 * 1024;
constexpr std::int64_t restart_ms = 700;
// In 4 s come 1.6 x 2.6 large jobs a second.
constexpr int burst_jobs = 16;
constexpr std::int64_t burst_ms = 4'000;
// Once a minute for a week and some hours.
constexpr int occurrences = 10'665;
constexpr std::int64_t interval_ms = 60'000;
constexpr std::int64_t first_in_ms = 3'600'000;
constexpr std::int64_t watch_ms = 40'000;
constexpr int max_ends = 3;
constexpr const char* quote_prefix = "/lohu930/";
constexpr const char* plan_prefix = "/pufi791/";

std::string job_of(const std::string& kind, int number) {
    return kind + std::to_string(100'000'000 + number);
}

}  // namespace

int main(int argc, char** argv) {
    const char* trouble = std::getenv("TROUBLE");
    const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
    record log(argc > 1 ? argv[1] : "record.txt");
    std::vector<executor_options> executors;
    for (int i = 0; i < 4; ++i) {
        executor_options options;
        options.id = "i-" + std::to_string(1000 + i);
        options.service = "huvo11a";
        options.zone = i % 2 == 0 ? "rosenberg" : "richmond";
        options.labels = {"a", "r1-" + std::to_string(i / 3)};
        executors.push_back(options);
    }
    deployment fleet(log, 2, executors,
                     {{quote_prefix, 0, 1.5, 250, 3}, {plan_prefix, 2, 2.0, 1'000, 3}});
    if (!fleet.begin(15'000)) {
        return 2;
    }
    sleep_ms(3'000);
    const json quote{
        {"spec", "work=640"},
        {"steps",
         {{{"count", 6}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 640}, {"image", "quote"}}}}};
    const json recurring{
        {"spec", "work=1700"},
        {"repeatCount", occurrences},
        {"startMs", unix_ms() + first_in_ms},
        {"intervalMs", interval_ms},
        {"steps",
         {{{"count", 6}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 1'700}, {"image", "plan"}}}}};
    std::atomic<bool> is_over{false};
    std::thread requesters([&] {
        for (int i = 0; !is_over; ++i) {
            fleet.submit(quote_prefix, job_of("5c0e7a2", i), quote);
            sleep_ms(1'000);
        }
    });
    std::thread burst([&] {
        sleep_ms(3'000);
        for (int i = 0; has_trouble && i < burst_jobs; ++i) {
            fleet.submit(plan_prefix, job_of("6c0e7a2", i), recurring);
            sleep_ms(burst_ms / burst_jobs);
        }
    });
    std::vector<int> ends(fleet.entries.size());
    std::vector<long> highest(fleet.entries.size());
    std::vector<std::int64_t> back_at(fleet.entries.size());
    const auto until = now_ms() + watch_ms;
    while (now_ms() < until) {
        sleep_ms(20);
        for (std::size_t i = 0; i < fleet.entries.size(); ++i) {
            auto& entry = *fleet.entries[i];
            const auto used = entry.resident_kib();
            highest[i] = std::max(highest[i], used);
            if (used > memory_kib) {
                log.line(entry.name() + " has " + std::to_string(used / 1024) + " MiB");
                entry.kill();
                ++ends[i];
                back_at[i] = now_ms() + restart_ms;
            } else if (back_at[i] != 0 && now_ms() >= back_at[i]) {
                back_at[i] = 0;
                entry.start();
            }
        }
    }
    is_over = true;
    requesters.join();
    burst.join();
    int processes_over = 0;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        log.line(fleet.entries[i]->name() + ": ended " + std::to_string(ends[i]) +
                 " times, at most " + std::to_string(highest[i] / 1024) + " MiB");
        processes_over += ends[i] >= max_ends ? 1 : 0;
    }
    if (processes_over >= 2) {
        log.line("Fault: both entries ended three times over their memory");
        return 1;
    }
    log.line("the rule held");
    return 0;
}
