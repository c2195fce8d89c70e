// Replays a burst of large jobs beyond capacity, with unreliable declared run times, against the
// rules that answer it and against the earlier ones. Prints the results of both.

#include <doctest/doctest.h>

#include "overload_fleet.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::uint64_t seeds = 3;

struct totals {
    double benefit = 0;
    double large_on_time = 0;
    double urgent_on_time = 0;
    double longest_s = 0;
    double wasted_core_s = 0;
    std::vector<overload_result> plays;
};

totals play_seeds(overload_options options, const std::string& rule) {
    totals sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto played = play_overload(options);
        MESSAGE(rule << ", seed " << seed << ": " << to_string(played));
        sum.benefit += played.benefit / seeds;
        sum.large_on_time += played.large_on_time / seeds;
        sum.urgent_on_time += played.urgent_on_time / seeds;
        sum.longest_s = std::max(sum.longest_s, played.longest_s);
        sum.wasted_core_s += played.wasted_core_s / seeds;
        sum.plays.push_back(played);
    }
    return sum;
}

ordering_rules earlier_rules() {
    ordering_rules rules;
    rules.uses_measured_run_times = false;
    rules.placements_per_late_turn = 0;
    return rules;
}

}  // namespace

// Load pattern: large jobs arrive at 2.1 times their usual rate for 30 s, and declare run times
// that are wrong by up to 0.9 of their value. Ranks by declared run times start jobs that end late
// and hold back others that would have ended in time.
TEST_CASE("in a burst with unreliable declared run times, measured ones yield more benefit") {
    overload_options options;
    options.ordering = earlier_rules();
    const auto earlier = play_seeds(options, "declared run times");
    options.ordering.uses_measured_run_times = true;
    const auto without_turns = play_seeds(options, "measured run times");
    options.ordering = {};
    const auto kept = play_seeds(options, "measured run times and late turns");
    MESSAGE("mean benefit: declared "
            << earlier.benefit << ", measured " << without_turns.benefit << ", with late turns "
            << kept.benefit << "; large jobs on time: " << earlier.large_on_time << ", "
            << without_turns.large_on_time << ", " << kept.large_on_time
            << "; longest: " << earlier.longest_s << ", " << without_turns.longest_s << ", "
            << kept.longest_s << " s");
    CHECK(kept.benefit > earlier.benefit);
    CHECK(kept.large_on_time > earlier.large_on_time);
    CHECK(kept.urgent_on_time >= earlier.urgent_on_time - 0.01);
}

// Load pattern: as above, and at 4.0 times the usual rate. Prints what refusals save, and what they
// lose that would have been served. Guards against refusals of jobs that the order would still
// serve: a site may lose 0.03 of its score at most (docs/two-customers.md).
TEST_CASE("in a burst, admission control does not refuse what would have been served") {
    for (const double burst : {2.1, 4.0}) {
        overload_options options;
        options.burst_factor = burst;
        const auto label = "burst of " + std::to_string(burst);
        const auto off = play_seeds(options, label + ", admission off");
        options.refuses_overload = true;
        const auto on = play_seeds(options, label + ", admission on");
        std::size_t refused = 0;
        std::size_t lost = 0;
        for (std::uint64_t i = 0; i < seeds; ++i) {
            for (const auto& job : on.plays[i].refused_jobs) {
                ++refused;
                lost += off.plays[i].served_jobs.count(job);
            }
        }
        MESSAGE(label << ": refused for good " << refused << ", of which " << lost
                      << " are served without admission; benefit " << off.benefit << " off, "
                      << on.benefit << " on; core-seconds for jobs that end too late "
                      << off.wasted_core_s << " off, " << on.wasted_core_s << " on");
        CHECK(on.benefit >= off.benefit - 0.03 * off.benefit);
    }
}
