// A start whose row is durable but which was never sent, found by the next owner.

#include <doctest/doctest.h>

#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name&, const start_order&) override {}
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
};

}  // namespace

// A job counts as queued until one of its tasks has begun, also after a change of the owner.
TEST_CASE("a restored job of which no run is known to have begun is still queued") {
    manual_clock time;
    recorder orders;
    const auto job = make_job("job", {1, 1, 8'000, milliseconds(10'000)});
    const instance_name name("m1");
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    coordinator earlier{coordinator::options{}, time, orders};
    earlier.set_queues({{job.queue, default_rules()}});
    earlier.instance_claimed(name, {info, {}, {}});
    earlier.add_job(job, milliseconds(0));
    earlier.plan();
    const auto rows = earlier.begin_write();  // durable; the owner ends before it learns of it
    REQUIRE(rows.size() == 1);

    coordinator next{coordinator::options{}, time, orders};
    next.set_queues({{job.queue, default_rules()}});
    next.add_job(job, milliseconds(0));
    REQUIRE(next.restore(job.id, rows[0].value, time.now() + milliseconds(5'000), rows[0].number));
    CHECK(next.queued_jobs(job.queue) == 1);
    next.instance_claimed(name, {info, {}, {}});
    next.stop_confirmed(name, {job.id, 0, 0, 0}, run_number(1));
    CHECK(next.queued_jobs(job.queue) == 1);
    CHECK(next.status(job.id)->phase == job_phase::pending);
}
