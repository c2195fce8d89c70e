// An agent that takes grants of a new owner only: those of the owners before it have an end.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct start_counter final : coordinator_orders {
    void start(const instance_name&, const start_order&) override { ++starts; }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    int starts = 0;
};

const instance_name instance("m1");
const instance_name other_instance("m2");

void plan(coordinator& jobs) {
    jobs.progress_reported(other_instance, {}, {});
    jobs.plan();
    while (jobs.has_writes()) {
        static_cast<void>(jobs.begin_write());
        jobs.write_done();
    }
}

inventory make_inventory() {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return {info, {}, {}};
}

// Claims an agent without an executor beside `row`, and checks that the task of the row starts
// again once `wait` has passed.
void check_runs_end(const std::string& row, milliseconds wait, bool is_claimed_twice,
                    bool is_disconnected) {
    const lease_timing timing;
    manual_clock time;
    start_counter orders;
    coordinator jobs(coordinator::options{}, time, orders);
    const auto job = make_job("job", {1, 1, 8'000, milliseconds(1'000), /*is_long_running=*/true});
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.add_job(job, milliseconds(0));
    const auto unclaimed_runs_end_by =
        time.now() + timing.max_renewal_without_store + timing.expiry_delay();
    REQUIRE(jobs.restore(job.id, row, unclaimed_runs_end_by));
    jobs.instance_claimed(other_instance, make_inventory());
    jobs.instance_claimed(instance, {});
    if (is_claimed_twice || is_disconnected) {
        jobs.instance_disconnected(instance, unclaimed_runs_end_by);
    }
    if (is_claimed_twice) {
        jobs.instance_claimed(instance, {});
    }
    time.advance(wait - milliseconds(1));
    plan(jobs);
    CHECK(orders.starts == 0);
    time.advance(milliseconds(1));
    plan(jobs);
    CHECK(orders.starts == 1);
}

}  // namespace

// The agent may have restarted, so that it cannot tell what became of its executor.
TEST_CASE("the runs of an instance whose agent has no executor end one lease after its claim") {
    const std::string row = R"({"p":1,"t":[[0,0,0,1,0,"m1",""]],"d":[],"l":[[0,0,[0]]]})";
    const auto wait = lease_timing{}.expiry_delay();
    SUBCASE("that is still linked") {
        check_runs_end(row, wait, false, false);
    }
    SUBCASE("that is claimed a second time") {
        check_runs_end(row, wait, true, false);
    }
    SUBCASE("that is disconnected again") {
        check_runs_end(row, wait, false, true);
    }
}

// Guards against a second run at once: the run may have begun on an executor that took the place of
// the intended one, with the longest lease.
TEST_CASE("runs that no executor has listed end one longest lease after the claim of the agent") {
    const std::string row = R"({"p":1,"t":[[0,0,0,1,0,"m1",""]],"d":[]})";
    const auto wait = lease_timing{}.call_expiry_delay();
    SUBCASE("that is still linked") {
        check_runs_end(row, wait, false, false);
    }
    SUBCASE("that is claimed a second time") {
        check_runs_end(row, wait, true, false);
    }
    SUBCASE("that is disconnected again") {
        check_runs_end(row, wait, false, true);
    }
}

// Guards against a second run at once: no grant ends before the claim of the agent that took it.
TEST_CASE("the runs of an instance that is not claimed end when its earlier owner's grants do") {
    const lease_timing timing;
    manual_clock time;
    start_counter orders;
    coordinator jobs(coordinator::options{}, time, orders);
    const auto job = make_job("job", {1, 1, 8'000, milliseconds(1'000), /*is_long_running=*/true});
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.add_job(job, milliseconds(0));
    const auto wait = timing.max_renewal_without_store + timing.expiry_delay();
    REQUIRE(jobs.restore(job.id, R"({"p":1,"t":[[0,0,0,1,0,"m1",""]],"d":[]})", time.now() + wait));
    jobs.instance_claimed(other_instance, make_inventory());
    time.advance(wait - milliseconds(1));
    plan(jobs);
    CHECK(orders.starts == 0);
    time.advance(milliseconds(1));
    plan(jobs);
    CHECK(orders.starts == 1);
}
