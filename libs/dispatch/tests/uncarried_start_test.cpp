// Executors that crash before they carry out the start of a task.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

// Guards against sound jobs that fail: most orders are carried out seconds later, and executors
// crash for causes of their own. The system checks that two executors have crashed under each task
// that is given up.
TEST_CASE("no job fails because executors crash before they carry out its starts") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        world system({.seed = seed, .instances = 6});
        world_faults faults;
        faults.executor_crash = 0.3;
        faults.late_order = 0.9;
        system.set_faults(faults);
        for (int i = 0; i < 30; ++i) {
            system.submit(make_job("job-" + std::to_string(i), {1, 2, 2'000}));
            system.run_for(milliseconds(500));
        }
        system.set_faults({});
        system.run_for(std::chrono::seconds(60));
        for (const auto& violation : system.violations()) {
            FAIL_CHECK(violation);
        }
        CHECK(system.open_jobs() == 0);
    }
}
