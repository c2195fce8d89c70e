// A machine that is silent or slow to report keeps its running work: only progress that is known to
// be missing counts as a stall.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr milliseconds report_interval{300};

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

// One instance with one running task, half done.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name name{"m1"};

    fixture() {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        const auto job = make_job("job", {1, 1, 1'000, milliseconds(10'000), false});
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.instance_claimed(name, {info, {}, {}});
        jobs.add_job(job, milliseconds(0));
        jobs.plan();
        write();
        REQUIRE(orders.started.size() == 1);
        const auto& order = orders.started.front();
        jobs.start_reported(name, order.task, order.run, start_outcome::started);
        report(50, true);
    }
    void write() {
        if (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            jobs.write_done();
        }
    }
    void report(int percent, bool has_new_view) {
        time.advance(report_interval);
        const auto& order = orders.started.front();
        jobs.progress_reported(name, {{order.task, order.run, "", percent, 0}}, {}, has_new_view);
        jobs.plan();
    }
    // Reports of unchanged progress.
    void report_for(milliseconds length, bool has_new_view) {
        for (milliseconds passed{0}; passed < length; passed += report_interval) {
            report(50, has_new_view);
        }
    }
};

}  // namespace

TEST_CASE("a task that stands still in each view is stopped") {
    fixture f;
    f.report_for(milliseconds(3'000), true);
    CHECK(f.orders.stops == 1);
}

TEST_CASE("a task keeps running while the agent cannot read its executor's lists") {
    fixture f;
    f.report_for(milliseconds(10'000), false);
    CHECK(f.orders.stops == 0);
    f.report(60, true);
    CHECK(f.orders.stops == 0);
}

// Guards against a silent executor that attracts tasks because it seems to have free capacity.
TEST_CASE("nothing starts on an instance without a recent view, until the next one") {
    fixture f;
    f.report_for(milliseconds(3'000), false);
    f.jobs.add_job(make_job("later", {1, 1, 1'000, milliseconds(10'000), false}), milliseconds(0));
    f.report(50, false);
    f.write();
    CHECK(f.orders.started.size() == 1);
    f.report(50, true);
    f.write();
    CHECK(f.orders.started.size() == 2);
}

TEST_CASE(
    "the first view after a silence stops nothing, but a task that then stands still is stopped") {
    fixture f;
    bool reports = false;
    SUBCASE("the agent was silent") {}
    SUBCASE("the agent reported without a view") {
        reports = true;
    }
    if (reports) {
        f.report_for(milliseconds(6'000), false);
    } else {
        f.time.advance(milliseconds(6'000));
    }
    f.report(50, true);
    CHECK(f.orders.stops == 0);
    f.report_for(milliseconds(3'000), true);
    CHECK(f.orders.stops == 1);
}
