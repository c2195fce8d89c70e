// Jobs whose starts were not carried out.

#include <doctest/doctest.h>

#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
};

}  // namespace

// A job counts as queued until one of its tasks has begun, not until a start is sent.
TEST_CASE("a job whose start was not carried out is still queued") {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    job_shape shape;
    shape.tasks = 1;
    const auto job = make_job("job", shape);
    const instance_name name("m1");
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.instance_claimed(name, {info, {}, {}});
    jobs.add_job(job, milliseconds(0));
    REQUIRE(jobs.queued_jobs(job.queue) == 1);
    jobs.plan();
    static_cast<void>(jobs.begin_write());
    jobs.write_done();
    REQUIRE(orders.started.size() == 1);
    const auto& order = orders.started[0];
    SUBCASE("its executor has rejected it") {
        jobs.start_reported(name, order.task, order.run, start_outcome::no_capacity);
    }
    SUBCASE("it was withdrawn before the executor had carried it out") {
        jobs.start_reported(name, order.task, order.run, start_outcome::not_started);
    }
    CHECK(jobs.queued_jobs(job.queue) == 1);
    CHECK(jobs.status(job.id)->phase == job_phase::pending);
}
