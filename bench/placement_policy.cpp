// Compares placement policies in both deployments of the design page with equal seeded workloads:
// declared run times off by up to ten times, impossible jobs, a worker that fails everything, a
// failure domain that leaves and returns, a cancellation wave and waves of noisy tasks.
// Usage: placement_policy [seeds]   (default 5; seeds 1 to that number)

#include <cstdio>
#include <cstdlib>

#include "placement_sim.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::bench;

namespace {

// Brembati acts on a latency above 1.5 times the baseline and lets work that disturbs its services
// be half an hour late; Brazos acts above 2.5 times and holds such work back only while it has
// time.
std::vector<policy> policies(const deployment& place) {
    std::vector<policy> result;
    policy next;
    next.name = "first fit";
    result.push_back(next);
    next.name = "first fit, quarantine, evacuation";
    next.has_quarantine = true;
    next.has_evacuation = true;
    result.push_back(next);
    next = {};
    next.name = "deadline, declared times";
    next.has_deadline_order = true;
    result.push_back(next);
    next.name = "+ estimates";
    next.has_estimates = true;
    result.push_back(next);
    next.name = "+ quarantine";
    next.has_quarantine = true;
    result.push_back(next);
    next.name = "+ evacuation";
    next.has_evacuation = true;
    result.push_back(next);
    next.name = "+ preemption";
    next.has_preemption = true;
    result.push_back(next);
    auto at_once = next;
    at_once.name = "+ evict at once";
    at_once.mode = interference_mode::evict_at_once;
    result.push_back(at_once);
    next.name = "+ interference steps";
    next.mode = interference_mode::stepwise;
    result.push_back(next);
    next.name = "+ interference cost";
    next.has_interference_cost = true;
    if (place.name.starts_with("Brembati")) {
        next.options.interference_slack = std::chrono::minutes(-30);
    }
    result.push_back(next);
    return result;
}

// Adds each figure, scaled.
void add(metrics& sum, const metrics& value, double factor) {
    for (const auto member :
         {&metrics::jobs_on_time, &metrics::urgent_on_time, &metrics::core_hours,
          &metrics::lost_core_hours, &metrics::evictions, &metrics::failures, &metrics::idle_share,
          &metrics::large_wait_s, &metrics::high_latency_share, &metrics::p99_ratio,
          &metrics::throttles}) {
        sum.*member += value.*member * factor;
    }
}

void compare(const deployment& place, std::uint64_t seeds) {
    std::printf("\n%s, mean of seeds 1 to %llu\n\n", place.name.c_str(),
                static_cast<unsigned long long>(seeds));
    std::printf(
        "| policy | jobs on time %% (least) | urgent < 3 s %% | core h | lost core h | "
        "evictions | failures | idle %% while waiting | large wait s | high latency %% | "
        "p99 ratio | throttles |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const auto& choice : policies(place)) {
        metrics mean;
        double least = 1;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto value = simulation(place, choice, seed).run();
            add(mean, value, 1.0 / static_cast<double>(seeds));
            least = std::min(least, value.jobs_on_time);
        }
        std::printf(
            "| %s | %.1f (%.1f) | %.1f | %.0f | %.1f | %.0f | %.0f | %.1f | %.0f | %.2f | "
            "%.2f | %.0f |\n",
            choice.name.c_str(), mean.jobs_on_time * 100, least * 100, mean.urgent_on_time * 100,
            mean.core_hours, mean.lost_core_hours, mean.evictions, mean.failures,
            mean.idle_share * 100, mean.large_wait_s, mean.high_latency_share * 100, mean.p99_ratio,
            mean.throttles);
        std::fflush(stdout);
    }
}

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
    compare(brazos(1.0), seeds);
    compare(brazos(0.5), seeds);
    compare(brembati(1.0), seeds);
    compare(brembati(0.5), seeds);
    return 0;
}
