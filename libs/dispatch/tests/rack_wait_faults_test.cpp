// Tests that the invariants hold under random faults while steps wait for racks and tasks move back
// to them, and that all jobs end.

#include <doctest/doctest.h>

#include <algorithm>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::uint64_t seeds = 30;

world_faults all_faults() {
    world_faults faults;
    faults.executor_crash = 0.05;
    faults.link_cut = 0.1;
    faults.agent_restart = 0.05;
    faults.takeover = 0.15;
    faults.store_outage = 0.1;
    faults.late_order = 0.05;
    faults.lost_answer = 0.05;
    faults.failed_run = 0.05;
    faults.lost_write_answer = 0.1;
    faults.capacity_change = 0.05;
    return faults;
}

// Returns the number of waits and of moves back. Jobs that prefer a rack, or a single one, gangs
// among them, over the capacity of their racks.
std::pair<std::size_t, std::size_t> run_seed(std::uint64_t seed) {
    CAPTURE(seed);
    world_options options;
    options.seed = seed;
    options.delays.off_rack_factor = 3;
    world system(options);
    system.set_faults(all_faults());
    random_source random(seed * 977 + 3);
    for (int i = 0; i < 40; ++i) {
        job_shape shape;
        shape.steps = 1 + static_cast<std::uint32_t>(random.below(3));
        shape.tasks = 1 + static_cast<std::uint32_t>(random.below(6));
        shape.millicores_each = 500 + static_cast<std::int64_t>(random.below(4'000));
        shape.run_time = milliseconds(100 + static_cast<std::int64_t>(random.below(4'000)));
        // The world requires an end of each member before the next step, which a gang need not
        // have.
        shape.is_gang = shape.steps == 1 && random.chance(0.4);
        if (shape.is_gang) {
            // Six larger members would not fit on four executors of 8 cores.
            shape.millicores_each = std::min<std::int64_t>(shape.millicores_each, 4'000);
        }
        shape.writes_checkpoints = random.chance(0.6);
        auto job = make_job("job-" + std::to_string(i), shape);
        for (auto& step : job.spec.steps) {
            if (random.chance(0.6)) {
                step.preferred_rack = rack_id(random.chance(0.8) ? "rack-0" : "rack-1");
            } else {
                step.is_single_rack = random.chance(0.5);
            }
        }
        system.submit(job);
        system.run_for(milliseconds(static_cast<std::int64_t>(random.below(800))));
    }
    system.set_faults({});
    system.run_for(std::chrono::seconds(200));
    for (const auto& violation : system.violations()) {
        FAIL_CHECK("seed " << seed << ": " << violation);
    }
    CHECK(system.open_jobs() == 0);
    return {system.locality_waits(), system.locality_moves()};
}

}  // namespace

// Guards against steps that wait for good, and against second runs and overcommitted executors by
// moves and by waits that survive a change of the owner.
TEST_CASE("under random faults, jobs that wait for racks end and no invariant breaks") {
    std::size_t waits = 0;
    std::size_t moves = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto [waited, moved] = run_seed(seed);
        waits += waited;
        moves += moved;
    }
    MESSAGE(waits << " waits, " << moves << " moves back");
    CHECK(waits > 0);
    CHECK(moves > 0);
}
