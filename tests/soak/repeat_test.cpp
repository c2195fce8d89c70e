#include <doctest/doctest.h>

#include "scenario.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::soak;

// Guards against runs that cannot be replayed from their seed.
TEST_CASE("the same seed gives the same run and another seed another one") {
    world_options options;
    options.workers = 8;
    options.fault_seconds = 60;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        options.seed = seed;
        const run_result first = scenario(options).run();
        const run_result second = scenario(options).run();
        options.seed = seed + 100;
        const run_result other = scenario(options).run();
        CAPTURE(seed);
        CHECK(first.trace_hash == second.trace_hash);
        CHECK(first.steps == second.steps);
        CHECK(first.messages == second.messages);
        CHECK(first.violation == second.violation);
        CHECK(first.trace_hash != other.trace_hash);
    }
}
