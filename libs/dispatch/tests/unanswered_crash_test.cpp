// Tasks that crash their executors before the start is answered.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

// A job with a task that crashes its executors, while the share `lost_answer` of the answers to
// starts is lost. The system checks that the task is given up.
void check_given_up(double lost_answer, std::uint64_t seed) {
    CAPTURE(lost_answer);
    CAPTURE(seed);
    world system({.seed = seed, .instances = 8});
    world_faults faults;
    faults.lost_answer = lost_answer;
    system.set_faults(faults);
    job_shape shape;
    shape.tasks = 4;
    shape.run_time = milliseconds(700);
    system.submit(make_job("job", shape));
    const task_key crashing{job_id("job"), 0, 0, 1};
    system.make_crashing(crashing);
    system.run_for(std::chrono::seconds(60));
    REQUIRE(system.crashes_by(crashing) >= 2);
    for (const auto& violation : system.violations()) {
        FAIL_CHECK(violation);
    }
}

}  // namespace

// A run that crashes its executor before the start was answered is not known to have begun.
TEST_CASE("a task is given up although the starts that crash its executors are not answered") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        check_given_up(0.5, seed);
        check_given_up(1.0, seed);
    }
}
