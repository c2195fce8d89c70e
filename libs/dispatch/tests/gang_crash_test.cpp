// Gangs whose executors crash between the placement and the start.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order.task);
    }
    void stop(const instance_name&, const task_key& task, run_number) override {
        stopped.push_back(task);
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<task_key> started;
    std::vector<task_key> stopped;
};

executor_info executor_of(const std::string& instance, std::int64_t incarnation) {
    executor_info info;
    info.id = executor_id("executor-" + instance);
    info.incarnation = executor_incarnation(incarnation);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return info;
}

}  // namespace

// A member that starts alone holds its instance until it ends without the others.
TEST_CASE("a gang starts as a whole or not at all when an executor crashes") {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    job_shape shape;
    shape.is_gang = true;
    shape.millicores_each = 6'000;  // one member fits on an instance
    const auto gang = make_job("gang", shape);
    jobs.set_queues({{gang.queue, default_rules()}});
    const instance_name crashed("m1");
    jobs.instance_claimed(crashed, {executor_of("m1", 1), {}, {}});
    jobs.instance_claimed(instance_name("m2"), {executor_of("m2", 1), {}, {}});
    jobs.add_job(gang, milliseconds(0));
    jobs.plan();
    REQUIRE(jobs.begin_write().size() == 1);
    SUBCASE("its end is reported") {
        jobs.executor_terminated(crashed, executor_incarnation(1), {});
    }
    SUBCASE("its next incarnation is reported") {
        jobs.executor_changed(crashed, executor_of("m1", 2));
    }
    jobs.write_done();
    CHECK(orders.started.empty());
    // One that has started all the same is stopped, or the gang is never placed again.
    CHECK(orders.stopped.size() == orders.started.size());
}
