// A run that an owner is stopping because it does not expect it, after a change of the owner.

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
        started.push_back(order);
    }
    void stop(const instance_name&, const task_key&, run_number) override { ++stops; }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
    int stops = 0;
};

// An owner of a job of one task that fills an instance.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const submitted_job job = make_job("job", {1, 1, 8'000, milliseconds(10'000)});
    std::string row;

    fixture() {
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.add_job(job, milliseconds(0));
    }
    void claim(const instance_name& name) {
        executor_info info;
        info.id = executor_id("executor of " + name.value());
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        jobs.instance_claimed(name, {info, {}, {}});
        plan();
    }
    void plan() {
        jobs.plan();
        while (jobs.has_writes()) {
            row = jobs.begin_write().front().value;
            jobs.write_done();
        }
    }
};

}  // namespace

// Guards against two runs of a task at once.
TEST_CASE("a new owner starts no task beside a run that its predecessor was stopping") {
    const instance_name name("m1");
    fixture earlier;
    earlier.claim(name);
    REQUIRE(earlier.orders.started.size() == 1);
    const auto& order = earlier.orders.started.front();
    earlier.jobs.start_reported(name, order.task, order.run, start_outcome::not_started);
    earlier.jobs.progress_reported(name, {{order.task, order.run, "", 10, 0}}, {});
    REQUIRE(earlier.orders.stops == 1);
    earlier.plan();

    fixture next;
    REQUIRE(next.jobs.restore(next.job.id, earlier.row, next.time.now() + milliseconds(5'000)));
    next.claim(instance_name("m2"));
    CHECK(next.orders.started.empty());
    next.claim(name);
    next.jobs.stop_confirmed(name, order.task, order.run);
    next.plan();
    CHECK(next.orders.started.size() == 1);
}
