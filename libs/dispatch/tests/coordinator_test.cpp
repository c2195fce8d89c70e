// The life of jobs and tasks, from the coordinator's point of view, in the simulated system.

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using std::chrono::seconds;

namespace {

void check_promises(const world& system) {
    for (const auto& violation : system.violations()) {
        FAIL_CHECK(violation);
    }
}

std::size_t running_everywhere(const world& system, std::size_t machines) {
    std::size_t total = 0;
    for (std::size_t i = 0; i < machines; ++i) {
        total += system.running_on(i);
    }
    return total;
}

}  // namespace

TEST_CASE("a job of several steps runs each task once and completes") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {3, 4, 1'000, milliseconds(300), false}));
    system.run_for(seconds(3));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    CHECK(system.starts() == 12);
    check_promises(system);
}

TEST_CASE("the first task starts within 50 ms when machines are free") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, seconds(5), false}));
    system.run_for(milliseconds(50));
    CHECK(system.starts() == 1);
}

TEST_CASE("a cancelled job stops within its stop time and stays cancelled") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {2, 4, 1'000, seconds(10), false}));
    system.run_for(seconds(1));
    REQUIRE(running_everywhere(system, 4) == 4);
    system.cancel(job_id("job"));
    CHECK(system.phase_of(job_id("job")) == job_phase::cancelled);
    system.run_for(milliseconds(300));
    CHECK(running_everywhere(system, 4) == 0);
    system.run_for(seconds(5));
    CHECK(system.phase_of(job_id("job")) == job_phase::cancelled);
    CHECK(system.starts() == 4);
}

TEST_CASE("nothing starts on a draining executor or in an evacuated failure domain") {
    world system({});
    system.run_for(seconds(1));
    system.drain(0);
    system.evacuate({failure_domain_id("domain-1")});  // machines 1 and 3
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 8, 1'000, seconds(60), false}));
    system.run_for(seconds(1));
    CHECK(system.running_on(0) == 0);
    CHECK(system.running_on(1) == 0);
    CHECK(system.running_on(2) == 8);
    CHECK(system.running_on(3) == 0);
}

TEST_CASE("a new owner goes on with what runs and starts nothing twice") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {2, 4, 1'000, seconds(2), false}));
    system.run_for(seconds(1));
    system.take_over();
    system.run_for(seconds(6));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    CHECK(system.starts() == 8);
    check_promises(system);
}

TEST_CASE("work on a machine that is cut off restarts once it is certainly gone, not before") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, seconds(20), false}));
    system.run_for(seconds(1));
    std::size_t where = 0;
    while (system.running_on(where) == 0) {
        ++where;
    }
    system.cut_link(where, seconds(60));
    system.run_for(lease_timing{}.expiry_delay() - milliseconds(100));
    CHECK(system.starts() == 1);
    system.run_for(milliseconds(300));
    CHECK(system.starts() == 2);
    check_promises(system);
}

TEST_CASE("a short cut of the link does not disturb running work") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 4, 1'000, seconds(6), false}));
    system.run_for(seconds(1));
    for (std::size_t i = 0; i < 4; ++i) {
        system.cut_link(i, seconds(3));
    }
    system.run_for(seconds(8));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    CHECK(system.starts() == 4);
    check_promises(system);
}

TEST_CASE("a crashed executor's work restarts elsewhere at once") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, seconds(20), false}));
    system.run_for(seconds(1));
    std::size_t where = 0;
    while (system.running_on(where) == 0) {
        ++where;
    }
    system.crash_executor(where);
    system.run_for(milliseconds(200));
    CHECK(system.starts() == 2);
    check_promises(system);
}

TEST_CASE("no task starts while the store takes no writes, and all start after that") {
    world system({});
    system.run_for(seconds(1));
    system.fail_writes(seconds(2));
    system.submit(make_job("job", {1, 4, 1'000, milliseconds(300), false}));
    system.run_for(milliseconds(1'900));
    CHECK(system.starts() == 0);
    system.run_for(seconds(2));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    check_promises(system);
}

TEST_CASE("a job whose task fails at each attempt ends as failed after the last one") {
    world system({});
    world_faults faults;
    faults.failed_run = 1;
    system.set_faults(faults);
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, milliseconds(100), false}));
    system.run_for(seconds(30));
    CHECK(system.phase_of(job_id("job")) == job_phase::failed);
    CHECK(system.starts() == default_rules().max_attempts);
}

// Load: a machine that takes tasks and never finishes them would hold whole jobs back.
TEST_CASE(
    "a task that stands still is stopped and runs elsewhere, and slow progress is left alone") {
    world_options options;
    options.machines = 2;
    world system(options);
    system.run_for(seconds(1));
    system.hang(0, true);
    for (int i = 0; i < 4; ++i) {
        system.submit(
            make_job("job-" + std::to_string(i), {1, 4, 1'000, milliseconds(500), false}));
    }
    system.run_for(seconds(6));
    CHECK(system.open_jobs() == 0);
    const auto before = system.starts();
    system.submit(make_job("long", {1, 1, 1'000, seconds(60), false}));
    system.run_for(seconds(70));
    CHECK(system.phase_of(job_id("long")) == job_phase::completed);
    CHECK(system.starts() <= before + 2);  // once more if it began on the machine that hangs
    check_promises(system);
}

TEST_CASE("a long-running task is restarted after its executor crashed, until it is cancelled") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("hold", {1, 3, 2'000, seconds(1), true}));
    system.run_for(seconds(1));
    for (std::size_t i = 0; i < 4; ++i) {
        system.crash_executor(i);
    }
    system.run_for(seconds(5));
    CHECK(running_everywhere(system, 4) == 3);
    system.cancel(job_id("hold"));
    system.run_for(seconds(1));
    CHECK(running_everywhere(system, 4) == 0);
    check_promises(system);
}

TEST_CASE("the members of a gang start together with one run number, or not at all") {
    world_options options;
    options.machines = 1;
    world system(options);
    system.run_for(seconds(1));
    auto gang = make_job("gang", {1, 4, 3'000, milliseconds(300), false});
    gang.spec.steps[0].is_gang = true;  // 12 processors; the machine has 8
    system.submit(gang);
    system.run_for(seconds(3));
    CHECK(system.starts() == 0);
    auto fitting = make_job("fitting", {1, 4, 2'000, milliseconds(300), false});
    fitting.spec.steps[0].is_gang = true;
    system.submit(fitting);
    system.run_for(seconds(3));
    CHECK(system.phase_of(job_id("fitting")) == job_phase::completed);
}

TEST_CASE("a repeated job runs each occurrence when it is due") {
    world system({});
    system.run_for(seconds(1));
    auto job = make_job("repeated", {1, 1, 1'000, milliseconds(200), false});
    job.spec.occurrences = 3;
    job.spec.interval = seconds(2);
    manual_clock present(std::chrono::duration_cast<milliseconds>(system.now().time_since_epoch()));
    job.spec.first_due = utc_millis(present.utc_now().value() + 1'000);
    system.submit(job);
    system.run_for(milliseconds(900));
    CHECK(system.starts() == 0);
    system.run_for(seconds(1));
    CHECK(system.starts() == 1);
    system.run_for(seconds(5));
    CHECK(system.starts() == 3);
    CHECK(system.phase_of(job_id("repeated")) == job_phase::completed);
}

TEST_CASE("a queue counts the accepted jobs none of whose tasks has started") {
    world_options options;
    options.machines = 1;
    world system(options);
    system.run_for(seconds(1));
    for (int i = 0; i < 5; ++i) {
        system.submit(make_job("job-" + std::to_string(i), {1, 1, 8'000, seconds(60), false}));
    }
    system.run_for(seconds(1));
    CHECK(system.jobs().queued_jobs(queue_id("queue")) == 4);
    system.cancel(job_id("job-4"));
    CHECK(system.jobs().queued_jobs(queue_id("queue")) == 3);
    system.take_over();
    system.run_for(seconds(1));
    CHECK(system.jobs().queued_jobs(queue_id("queue")) == 3);
}
