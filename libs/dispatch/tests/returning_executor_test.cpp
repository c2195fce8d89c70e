// An executor that counted as ended and is alive: it refused connections while it started, or the
// clock that tells its incarnation was set back before.

#include <doctest/doctest.h>

#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

const instance_name instance("m1");
const instance_name other_instance("m2");

struct start_recorder final : coordinator_orders {
    void start(const instance_name& name, const start_order& order) override {
        started.emplace_back(name, order);
    }
    void stop(const instance_name&, const task_key&, run_number) override { ++stops; }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<std::pair<instance_name, start_order>> started;
    int stops = 0;
};

struct silent_agent_orders final : agent_orders {
    void call_start(const start_order&, epoch_number) override {}
    void call_stop(const task_key&, run_number, epoch_number) override {}
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome) override {}
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>&) override {}
    void report_executor_terminated(executor_incarnation, const std::vector<run_age>&) override {}
};

executor_info make_executor(std::int64_t incarnation) {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(incarnation);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return info;
}

std::string plan(coordinator& jobs) {
    std::string row;
    jobs.plan();
    while (jobs.has_writes()) {
        row = jobs.begin_write().front().value;
        jobs.write_done();
    }
    return row;
}

const task_key task{job_id("job"), 0, 0, 0};

void add_job(coordinator& jobs) {
    const auto job = make_job("job", {1, 1, 8'000, milliseconds(1'000), /*is_long_running=*/true});
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.add_job(job, milliseconds(0));
}

// Claims the agent for a new owner and runs the job's task on the agent's executor; returns the
// job's row.
std::string run_task(const manual_clock& time, agent& beside) {
    start_recorder orders;
    coordinator jobs(coordinator::options{}, time, orders);
    add_job(jobs);
    REQUIRE(beside.claim(claim_epoch(epoch_number(1), 1)));
    const auto incarnation = beside.executor()->incarnation;
    REQUIRE(beside.executor_view_received({incarnation, time.now(), beside.epoch(), {}, {}}));
    jobs.instance_claimed(instance, beside.current_inventory());
    const auto row = plan(jobs);
    REQUIRE(orders.started.size() == 1);
    beside.executor_view_received({incarnation,
                                   time.now(),
                                   beside.epoch(),
                                   {{task, orders.started.front().second.run, "", 100, 0}},
                                   {}});
    return row;
}

// A new owner restores the row and claims the agent.
void check_keeps_run(const manual_clock& time, agent& beside, const std::string& row) {
    start_recorder orders;
    coordinator next(coordinator::options{}, time, orders);
    add_job(next);
    const lease_timing timing;
    REQUIRE(next.restore(job_id("job"), row, time.now() + timing.expiry_delay()));
    next.instance_claimed(other_instance, {make_executor(1), {}, {}});
    REQUIRE(beside.claim(claim_epoch(epoch_number(2), 1)));
    next.instance_claimed(instance, beside.current_inventory());
    plan(next);
    CHECK(orders.started.empty());
    beside.executor_view_received({beside.executor()->incarnation,
                                   time.now(),
                                   beside.epoch(),
                                   {{task, run_number(1), "", 100, 0}},
                                   {}});
    next.instance_claimed(instance, beside.current_inventory());
    plan(next);
    CHECK(orders.started.empty());
    CHECK(orders.stops == 0);
}

}  // namespace

// Guards against a second run at once: a run on a live executor was released.
TEST_CASE("a run survives a new owner if its executor refused connections when it started") {
    manual_clock time;
    silent_agent_orders orders;
    agent beside(time, orders);
    beside.lease_granted(time.now() + lease_timing{}.lease_duration);
    beside.executor_reported(make_executor(1'000));
    beside.executor_unreachable();  // it reports before its port is open
    beside.executor_reported(make_executor(1'000));
    const auto row = run_task(time, beside);
    check_keeps_run(time, beside, row);
}

TEST_CASE("a run survives a new owner if the clock was set back before its executor started") {
    manual_clock time;
    silent_agent_orders orders;
    agent beside(time, orders);
    beside.lease_granted(time.now() + lease_timing{}.lease_duration);
    beside.executor_reported(make_executor(1'000));
    beside.executor_unreachable();
    beside.executor_reported(make_executor(900));
    const auto row = run_task(time, beside);
    check_keeps_run(time, beside, row);
}
