// Ages of runs that an agent did not start itself: it has restarted while they ran.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

// Guards against a sound job that is given up: each restart of an agent shortly before the end of
// its executor made a confirmed crash of all runs, however long they had run.
TEST_CASE("runs of seconds are not suspected if their agent restarts before its executor ends") {
    for (const auto& after : {milliseconds(30), milliseconds(100), milliseconds(200)}) {
        CAPTURE(after.count());
        world system({});
        const auto job =
            make_job("job", {1, 2, 1'000, milliseconds(1'000), /*is_long_running=*/true});
        system.submit(job);
        const task_key task{job.id, 0, 0, 0};
        for (int i = 0; i < 3; ++i) {
            system.run_for(milliseconds(5'000));
            const auto instance = system.instance_of(task);
            REQUIRE(instance.has_value());
            system.restart_agent(*instance);
            system.run_for(after);
            system.crash_executor(*instance);
            system.run_for(milliseconds(500));
            // The next owner does not know when the suspects have started.
            system.take_over();
        }
        system.run_for(milliseconds(5'000));
        CHECK(system.violations().empty());
        CHECK(system.phase_of(job.id) == job_phase::running);
    }
}
