// Runs that the owner does not expect: an inventory lists them, or they end while the task waits or
// runs elsewhere.

#include <doctest/doctest.h>

#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name& instance, const start_order& order) override {
        started.push_back(order);
        last_instance = instance;
    }
    void stop(const instance_name& instance, const task_key&, run_number run) override {
        stopped.emplace_back(instance, run);
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {
        ++acknowledgements;
    }
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
    // The instance of the last start.
    instance_name last_instance;
    std::vector<std::pair<instance_name, run_number>> stopped;
    int acknowledgements = 0;
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

// A job of one task that fills an instance; its first start was refused on the first of two
// instances.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const submitted_job job = make_job("job", {1, 1, 8'000, milliseconds(10'000)});
    const instance_name first{"m1"};
    const instance_name second{"m2"};
    const executor_incarnation incarnation{1};
    start_order refused;
    std::uint64_t completions = 0;

    fixture() {
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.instance_claimed(first, {make_executor("a"), {}, {}});
        jobs.add_job(job, milliseconds(0));
        plan();
        REQUIRE(orders.started.size() == 1);
        refused = orders.started.front();
        jobs.start_reported(first, refused.task, refused.run, start_outcome::not_started);
    }
    void add_second_instance() { jobs.instance_claimed(second, {make_executor("b"), {}, {}}); }
    // Time for views of the instances to arrive.
    void observe() {
        time.advance(milliseconds(500));
        jobs.progress_reported(first, {}, {});
        jobs.progress_reported(second, {}, {});
    }
    void write() {
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            jobs.write_done();
        }
    }
    void plan() {
        jobs.plan();
        write();
    }
    void end_refused_run(run_outcome outcome) {
        jobs.runs_finished(
            first, incarnation,
            {{completion_number(++completions), refused.task, refused.run, outcome, ""}});
    }
    // Starts the second run on the second instance.
    void start_elsewhere() {
        add_second_instance();
        observe();
        plan();
        REQUIRE(orders.started.size() == 2);
        jobs.start_reported(second, refused.task, orders.started.back().run,
                            start_outcome::started);
    }
};

}  // namespace

// Guards against two runs of a task at once.
TEST_CASE("a start is not sent while a run of its task that an inventory lists is being stopped") {
    fixture f;
    f.add_second_instance();
    f.observe();
    f.jobs.plan();
    REQUIRE(f.jobs.has_writes());
    static_cast<void>(f.jobs.begin_write());
    f.jobs.instance_claimed(f.first,
                            {make_executor("a"), {{f.refused.task, f.refused.run, "", 10, 0}}, {}});
    REQUIRE(f.orders.stopped.size() == 1);
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 1);
    f.jobs.stop_confirmed(f.first, f.refused.task, f.refused.run);
    f.observe();
    f.plan();
    CHECK(f.orders.started.size() == 2);
}

// Guards against a start after a run has ended with success.
TEST_CASE("an unexpected run that succeeds before any report lists it completes its task") {
    fixture f;
    f.end_refused_run(run_outcome::succeeded);
    f.observe();
    f.plan();
    CHECK(f.orders.started.size() == 1);
    CHECK(f.jobs.status(f.job.id)->phase == job_phase::completed);
}

// Guards against a start after a run has ended with success.
TEST_CASE("a task does not start again after an unexpected run of it has succeeded") {
    fixture f;
    f.start_elsewhere();
    f.jobs.progress_reported(f.first, {{f.refused.task, f.refused.run, "", 10, 0}}, {});
    f.end_refused_run(run_outcome::succeeded);
    f.plan();
    SUBCASE("when its other run ends with its executor") {
        f.jobs.executor_terminated(f.second, f.incarnation);
    }
    SUBCASE("when its other run fails") {
        f.jobs.runs_finished(f.second, f.incarnation,
                             {{completion_number(1), f.refused.task, f.orders.started.back().run,
                               run_outcome::failed, ""}});
    }
    f.observe();
    f.plan();
    CHECK(f.orders.started.size() == 2);
    CHECK(f.jobs.status(f.job.id)->phase == job_phase::completed);
}

// Guards against more starts than the queue allows after failures.
TEST_CASE("the failure of an unexpected run counts as an attempt") {
    fixture f;
    f.add_second_instance();
    f.end_refused_run(run_outcome::failed);
    std::uint32_t failures = 1;
    for (; failures < f.job.rules.max_attempts; ++failures) {
        const auto starts = f.orders.started.size();
        f.observe();
        f.plan();
        REQUIRE(f.orders.started.size() == starts + 1);
        const auto& order = f.orders.started.back();
        const auto& name = f.orders.last_instance;
        f.jobs.start_reported(name, order.task, order.run, start_outcome::started);
        f.jobs.runs_finished(
            name, f.incarnation,
            {{completion_number(failures + 1), order.task, order.run, run_outcome::failed, ""}});
    }
    f.observe();
    f.plan();
    CHECK(f.jobs.status(f.job.id)->phase == job_phase::failed);
    CHECK(f.orders.started.size() == f.job.rules.max_attempts);
}

// Guards against capacity that a run keeps although it never began: its start was on its way when
// the rest of its gang succeeded.
TEST_CASE("the stop of a run that no report lists is repeated on the next link") {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    auto job = make_job("gang", {1, 2, 4'000, milliseconds(10'000)});
    job.spec.steps[0].is_gang = true;
    const instance_name name{"m1"};
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.instance_claimed(name, {make_executor("a"), {}, {}});
    jobs.add_job(job, milliseconds(0));
    jobs.plan();
    static_cast<void>(jobs.begin_write());
    jobs.write_done();
    REQUIRE(orders.started.size() == 2);
    const auto& member = orders.started[0];
    const auto& other = orders.started[1];
    const finished_task end{completion_number(1), member.task, member.run, run_outcome::succeeded,
                            ""};
    jobs.runs_finished(name, executor_incarnation(1), {end});
    jobs.instance_disconnected(name, time.now() + milliseconds(5'000));
    jobs.instance_claimed(name, {make_executor("a"), {}, {end}});
    REQUIRE(orders.stopped.size() == 1);
    CHECK(orders.stopped[0].first == name);
    CHECK(orders.stopped[0].second == other.run);
}
