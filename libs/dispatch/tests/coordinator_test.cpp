// Tests the lifecycle of jobs and tasks in the coordinator, in the simulated system.

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using std::chrono::seconds;

namespace {

void check_no_violations(const world& system) {
    for (const auto& violation : system.violations()) {
        FAIL_CHECK(violation);
    }
}

std::size_t running_everywhere(const world& system, std::size_t instances) {
    std::size_t total = 0;
    for (std::size_t i = 0; i < instances; ++i) {
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
    check_no_violations(system);
}

TEST_CASE("the first task starts within 50 ms when instances have capacity") {
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
    system.evacuate({failure_domain_id("domain-1")});  // instances 1 and 3
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 8, 1'000, seconds(60), false}));
    system.run_for(seconds(1));
    CHECK(system.running_on(0) == 0);
    CHECK(system.running_on(1) == 0);
    CHECK(system.running_on(2) == 8);
    CHECK(system.running_on(3) == 0);
}

TEST_CASE("a new owner keeps running tasks and starts nothing twice") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {2, 4, 1'000, seconds(2), false}));
    system.run_for(seconds(1));
    system.take_over();
    system.run_for(seconds(6));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    CHECK(system.starts() == 8);
    check_no_violations(system);
}

TEST_CASE(
    "work on an unreachable instance restarts when its lease has certainly expired, not before") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, seconds(20), false}));
    system.run_for(seconds(1));
    std::size_t occupied = 0;
    while (system.running_on(occupied) == 0) {
        ++occupied;
    }
    system.cut_link(occupied, seconds(60));
    system.run_for(lease_timing{}.expiry_delay() - milliseconds(100));
    CHECK(system.starts() == 1);
    system.run_for(milliseconds(300));
    CHECK(system.starts() == 2);
    check_no_violations(system);
}

TEST_CASE("a short link failure does not affect running tasks") {
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
    check_no_violations(system);
}

TEST_CASE("tasks of a crashed executor restart elsewhere immediately") {
    world system({});
    system.run_for(seconds(1));
    system.submit(make_job("job", {1, 1, 1'000, seconds(20), false}));
    system.run_for(seconds(1));
    std::size_t occupied = 0;
    while (system.running_on(occupied) == 0) {
        ++occupied;
    }
    system.crash_executor(occupied);
    system.run_for(milliseconds(200));
    CHECK(system.starts() == 2);
    check_no_violations(system);
}

TEST_CASE("no task starts while writes to the store fail, and all start after that") {
    world system({});
    system.run_for(seconds(1));
    system.fail_writes(seconds(2));
    system.submit(make_job("job", {1, 4, 1'000, milliseconds(300), false}));
    system.run_for(milliseconds(1'900));
    CHECK(system.starts() == 0);
    system.run_for(seconds(2));
    CHECK(system.phase_of(job_id("job")) == job_phase::completed);
    check_no_violations(system);
}

TEST_CASE("a job whose task fails at each attempt fails after the last one") {
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

// Guards against an instance that accepts tasks but never finishes them, which would block whole
// jobs.
TEST_CASE(
    "a stalled task is stopped and runs elsewhere, and a task with slow progress keeps running") {
    world_options options;
    options.instances = 2;
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
    CHECK(system.starts() <= before + 2);  // one restart if it began on the hanging instance
    check_no_violations(system);
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
    check_no_violations(system);
}

TEST_CASE("the members of a gang start together with one run number, or not at all") {
    world_options options;
    options.instances = 1;
    world system(options);
    system.run_for(seconds(1));
    auto gang = make_job("gang", {1, 4, 3'000, milliseconds(300), false});
    gang.spec.steps[0].is_gang = true;  // 12 processors; the instance has 8
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

TEST_CASE("a queue counts the accepted jobs of which no task has started") {
    world_options options;
    options.instances = 1;
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
