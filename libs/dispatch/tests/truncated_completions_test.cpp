// Tests that a run which is missing from a truncated list of completions does not count as one that
// never started: an executor lists a limited number of completions, and the others only once those
// are acknowledged.

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::uint32_t task_count = 20;

// All tasks of a job run on one instance, whose executor lists five completions at a time.
struct fixture {
    submitted_job job;
    world system;

    fixture() : system(options()) {
        system.run_for(milliseconds(200));
        system.submit(job = make_job("job", {1, task_count, 100, milliseconds(1'000)}));
        system.run_for(milliseconds(500));
        REQUIRE(system.running_on(0) == task_count);
    }
    static world_options options() {
        world_options settings;
        settings.instances = 1;
        settings.max_listed_completions = 5;
        return settings;
    }
    void check_each_task_ran_once() {
        system.run_for(std::chrono::seconds(10));
        for (const auto& violation : system.violations()) {
            FAIL_CHECK(violation);
        }
        CHECK(system.starts() == task_count);
        CHECK(system.phase_of(job.id) == job_phase::completed);
    }
};

}  // namespace

// The owner took the runs whose completions were not listed for stalled.
TEST_CASE("tasks that finish while the store is away run once") {
    fixture f;
    f.system.fail_writes(milliseconds(4'500));
    f.check_each_task_ran_once();
    CHECK(f.system.stops() == 0);
}

// The next owner stops the runs that an inventory does not show.
TEST_CASE("tasks that finish before an owner is replaced run once") {
    fixture f;
    f.system.fail_writes(milliseconds(1'500));
    f.system.run_for(milliseconds(1'000));
    REQUIRE(f.system.running_on(0) == 0);
    f.system.take_over();
    f.check_each_task_ran_once();
}

TEST_CASE("tasks that finish before their agent is replaced run once") {
    fixture f;
    f.system.fail_writes(milliseconds(1'500));
    f.system.run_for(milliseconds(1'000));
    REQUIRE(f.system.running_on(0) == 0);
    f.system.restart_agent(0);
    f.check_each_task_ran_once();
}

TEST_CASE("tasks of a cancelled job leave their instance once the lists are complete") {
    fixture f;
    f.system.fail_writes(milliseconds(1'500));
    f.system.run_for(milliseconds(1'000));
    f.system.cancel(f.job.id);
    f.system.run_for(std::chrono::seconds(5));
    f.system.submit(make_job("next", {1, 1, 8'000, milliseconds(100)}));
    f.system.run_for(std::chrono::seconds(2));
    CHECK(f.system.phase_of(job_id("next")) == job_phase::completed);
}

namespace {

const task_key task{job_id("job"), 0, 0, 0};
constexpr run_number first_run{1};

// An agent that was ordered to stop a run, which the executor has confirmed.
struct stopping_agent : agent_orders {
    manual_clock time;
    agent core{time, *this};

    stopping_agent() {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        core.executor_reported(info);
        core.claim(epoch_number(1));
        deliver_view({}, true);
        core.stop(task, first_run, epoch_number(1));
        core.stop_answered(task, first_run, true);
        time.advance(milliseconds(5));
    }
    void call_start(const start_order&, epoch_number) override {}
    void call_stop(const task_key&, run_number, epoch_number) override {}
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome) override {}
    void report_stop(const task_key&, run_number) override { ++stops_reported; }
    void report_finished(executor_incarnation,
                         const std::vector<finished_task>& completions) override {
        completions_reported += completions.size();
    }
    void report_executor_terminated(executor_incarnation, const std::vector<run_age>&) override {}
    void deliver_view(std::vector<finished_task> finished, bool is_complete) {
        core.executor_view_received({executor_incarnation(1),
                                     time.now(),
                                     core.epoch(),
                                     {},
                                     std::move(finished),
                                     is_complete});
    }

    int stops_reported = 0;
    std::size_t completions_reported = 0;
};

finished_task succeeded(std::uint64_t number, const task_key& key) {
    return {completion_number(number), key, first_run, run_outcome::succeeded, ""};
}

}  // namespace

TEST_CASE("a stop is not settled by lists that may lack the completion of the run") {
    stopping_agent f;
    const task_key other{job_id("job"), 0, 0, 1};
    f.deliver_view({succeeded(1, other)}, false);
    CHECK(f.stops_reported == 0);
    CHECK(f.core.complete_view_count() == 1);
    SUBCASE("the run has finished") {
        f.deliver_view({succeeded(2, task)}, false);
        CHECK(f.stops_reported == 0);
        CHECK(f.completions_reported == 2);
        f.deliver_view({}, true);
        CHECK(f.stops_reported == 0);
    }
    SUBCASE("the run has never begun") {
        f.deliver_view({}, true);
        CHECK(f.stops_reported == 1);
    }
}
