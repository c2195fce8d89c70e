// A run that the owner does not expect appears while a start waits for its row to be written.

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
    void stop(const instance_name&, const task_key&, run_number) override { ++stops; }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
    int stops = 0;
};

executor_info make_executor(const char* id) {
    executor_info info;
    info.id = executor_id(id);
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return info;
}

// A job of one task that fills an instance; its first start was refused, and the start of the
// second run waits for its row.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name first{"m1"};
    const instance_name second{"m2"};
    start_order refused;

    explicit fixture(bool has_second_instance) {
        const auto job = make_job("job", {1, 1, 8'000, milliseconds(10'000)});
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.instance_claimed(first, {make_executor("a"), {}, {}});
        jobs.add_job(job, milliseconds(0));
        jobs.plan();
        static_cast<void>(jobs.begin_write());
        jobs.write_done();
        REQUIRE(orders.started.size() == 1);
        refused = orders.started.front();
        jobs.start_reported(first, refused.task, refused.run, start_outcome::not_started);
        if (has_second_instance) {
            jobs.instance_claimed(second, {make_executor("b"), {}, {}});
        }
        time.advance(milliseconds(500));
        jobs.plan();
        REQUIRE(jobs.has_writes());
        static_cast<void>(jobs.begin_write());
    }
    void list_refused_run() {
        jobs.progress_reported(first, {{refused.task, refused.run, "", 10, 0}}, {});
        REQUIRE(orders.stops == 1);
    }
};

}  // namespace

// Guards against a start that brings an executor over its capacity.
TEST_CASE("a start that no longer fits beside an unexpected run is not sent") {
    fixture f(false);
    f.list_refused_run();
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 1);
}

// Guards against two runs of a task at once.
TEST_CASE("a start is not sent while another run of its task is being stopped") {
    fixture f(true);
    f.list_refused_run();
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 1);
    f.jobs.stop_confirmed(f.first, f.refused.task, f.refused.run);
    f.time.advance(milliseconds(500));
    f.jobs.plan();
    if (f.jobs.has_writes()) {
        static_cast<void>(f.jobs.begin_write());
        f.jobs.write_done();
    }
    CHECK(f.orders.started.size() == 2);
}

// Guards against a start after a run has ended with success.
TEST_CASE("an unexpected run that succeeds completes its task") {
    fixture f(false);
    f.list_refused_run();
    f.jobs.runs_finished(
        f.first, executor_incarnation(1),
        {{completion_number(1), f.refused.task, f.refused.run, run_outcome::succeeded, ""}});
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 1);
}
