#include <doctest/doctest.h>

#include "scenario.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::soak;

// An entry's write that requeues a task takes effect late, when the worker's agent has resumed
// and runs the task again.
TEST_CASE("no task runs in two places on a seed that failed before") {
    world_options options;
    options.seed = 700'040;
    CHECK(scenario(options).run().violation == "");
}
