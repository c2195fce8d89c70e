// Replays loads at their worst against the rules that answer them and against the earlier ones.

#include <doctest/doctest.h>

#include "interference_fleet.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::uint64_t seeds = 3;
constexpr milliseconds length{40'000};

fleet_result mean_of(fleet_options options) {
    fleet_result mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const auto played = play_fleet(options, length);
        mean.on_time += played.on_time / seeds;
        mean.over_target += played.over_target / seeds;
        mean.straggler_ratio += played.straggler_ratio / seeds;
        mean.jobs += played.jobs;
        mean.moves += played.moves;
    }
    return mean;
}

std::string to_string(const fleet_result& result) {
    return std::to_string(result.on_time) + " of " + std::to_string(result.jobs) +
           " jobs on time, serving tasks over their target for " +
           std::to_string(result.over_target) + " of the time, last task after " +
           std::to_string(result.straggler_ratio) + " times four fifths, " +
           std::to_string(result.moves) + " moves";
}

}  // namespace

// Load pattern: every instance serves, and the own load of the serving tasks swings within 20 s.
// Without room for the next rise, fillers that start in a trough press on the serving tasks at the
// peak and are moved; if they start only with that room, capacity stays idle while jobs wait.
TEST_CASE("with swinging serving load, fillers leave room for the next rise while they can wait") {
    fleet_options options;
    const auto kept = mean_of(options);
    options.rules.load_rise_per_s = 0;
    const auto without_room = mean_of(options);
    options.rules = {};
    options.rules.max_wait_for_room = milliseconds(1'000'000);
    const auto only_with_room = mean_of(options);
    INFO("with the rule: " << to_string(kept) << "; without room: " << to_string(without_room)
                           << "; only with room: " << to_string(only_with_room));
    CHECK(kept.over_target < without_room.over_target);
    CHECK(kept.moves < without_room.moves);
    CHECK(kept.on_time > only_with_room.on_time);
}

// Load pattern: as above in a large fleet, where at any moment the serving tasks of many instances
// are at their peak. A fixed number of moves leaves most throttled fillers where they stand.
TEST_CASE("in a large fleet, jobs end sooner if the number of moves grows with the fleet") {
    fleet_options options;
    options.instances = 120;
    options.tasks_per_job = 96;
    const auto kept = mean_of(options);
    options.rules.moves_per_instance = 0;
    const auto earlier = mean_of(options);
    INFO("with the rule: " << to_string(kept) << "; without: " << to_string(earlier));
    CHECK(kept.on_time > earlier.on_time);
    CHECK(kept.straggler_ratio < earlier.straggler_ratio);
}
