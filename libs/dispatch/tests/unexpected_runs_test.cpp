// Runs that the owner does not expect, or whose stop had no effect, do not stay on an executor.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr milliseconds report_interval{300};

std::string describe(const task_key& task, run_number run) {
    return to_string(task) + "/" + std::to_string(run.value());
}

struct recorder final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order);
    }
    void stop(const instance_name&, const task_key& task, run_number run) override {
        stopped.push_back(describe(task, run));
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
    std::string stopped_runs() const {
        std::string text;
        for (const auto& run : stopped) {
            text += (text.empty() ? "" : " ") + run;
        }
        return text;
    }

    std::vector<std::string> stopped;
};

// One instance with room for one task of the job.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name name{"m1"};
    executor_info info;

    explicit fixture(const job_shape& shape = {1, 1, 8'000, milliseconds(10'000)}) {
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        const auto job = make_job("job", shape);
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.instance_claimed(name, {info, {}, {}});
        jobs.add_job(job, milliseconds(0));
        plan();
        REQUIRE(orders.started.size() == shape.tasks);
    }
    void plan() {
        jobs.plan();
        if (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            jobs.write_done();
        }
    }
    void list(const task_key& task, run_number run) {
        time.advance(report_interval);
        jobs.progress_reported(name, {{task, run, "", 10, 0}}, {});
        plan();
    }
};

const task_key unknown_task{job_id("other"), 0, 0, 0};
constexpr run_number first_run{1};

}  // namespace

// Guards against work that nobody has asked for and that runs until the next claim of its agent.
TEST_CASE("a run that appears in a report and that the owner does not expect is stopped") {
    fixture f;
    const auto order = f.orders.started.front();
    SUBCASE("its job is not known") {
        f.list(unknown_task, first_run);
        CHECK(f.orders.stopped_runs() == describe(unknown_task, first_run));
    }
    SUBCASE("its start counts as not started") {
        f.jobs.start_reported(f.name, order.task, order.run, start_outcome::not_started);
        f.list(order.task, order.run);
        CHECK(f.orders.stopped_runs() == describe(order.task, order.run));
    }
    SUBCASE("it has another number than the task's run") {
        f.list(order.task, order.run.next());
        CHECK(f.orders.stopped_runs() == describe(order.task, order.run.next()));
    }
}

TEST_CASE("the stop of a run that is not expected is ordered once until it is confirmed") {
    fixture f;
    f.list(unknown_task, first_run);
    f.list(unknown_task, first_run);
    CHECK(f.orders.stopped.size() == 1);
    f.jobs.stop_confirmed(f.name, unknown_task, first_run);
    f.list(unknown_task, first_run);
    CHECK(f.orders.stopped.size() == 2);
}

// Guards against an executor that is brought over its capacity by a start beside such a run.
TEST_CASE("a run that is not expected keeps its room until its stop is confirmed") {
    fixture f;
    const auto order = f.orders.started.front();
    f.jobs.start_reported(f.name, order.task, order.run, start_outcome::not_started);
    f.list(order.task, order.run);
    f.list(order.task, order.run);
    CHECK(f.orders.started.size() == 1);
    f.jobs.stop_confirmed(f.name, order.task, order.run);
    f.time.advance(report_interval);
    f.plan();
    CHECK(f.orders.started.size() == 2);
}

// Guards against the same where the owner does not know what the run takes, since its job has ended
// before this owner was one.
TEST_CASE("nothing starts beside a run of a job that has ended until its stop is confirmed") {
    fixture f({1, 1, 4'000, milliseconds(10'000)});
    const auto first = f.orders.started.front();
    f.jobs.start_reported(f.name, first.task, first.run, start_outcome::started);
    f.jobs.add_ended(unknown_task.job, job_phase::cancelled);
    f.list(unknown_task, first_run);
    f.jobs.add_job(make_job("later", {1, 1, 1'000, milliseconds(10'000)}), milliseconds(0));
    for (int i = 0; i < 5; ++i) {
        f.time.advance(report_interval);
        f.jobs.progress_reported(
            f.name, {{unknown_task, first_run, "", 10, 0}, {first.task, first.run, "", 10, 0}}, {});
        f.plan();
    }
    CHECK(f.orders.started.size() == 1);
    CHECK(f.orders.stopped_runs() == describe(unknown_task, first_run));
    f.jobs.stop_confirmed(f.name, unknown_task, first_run);
    f.time.advance(report_interval);
    f.jobs.progress_reported(f.name, {{first.task, first.run, "", 10, 0}}, {});
    f.plan();
    CHECK(f.orders.started.size() == 2);
}

TEST_CASE("starts that are not sent yet are withdrawn from beside a run of a job that has ended") {
    fixture f;
    f.jobs.start_reported(f.name, f.orders.started.front().task, first_run,
                          start_outcome::not_started);
    f.jobs.add_ended(unknown_task.job, job_phase::cancelled);
    f.jobs.plan();
    REQUIRE(f.jobs.has_writes());
    static_cast<void>(f.jobs.begin_write());  // of the task's next start
    f.jobs.progress_reported(f.name, {{unknown_task, first_run, "", 10, 0}}, {});
    f.jobs.write_done();
    f.plan();
    CHECK(f.orders.started.size() == 1);
    f.jobs.stop_confirmed(f.name, unknown_task, first_run);
    f.time.advance(report_interval);
    f.plan();
    CHECK(f.orders.started.size() == 2);
}

TEST_CASE("a run whose start is not answered yet, or whose stop is ordered, is not stopped again") {
    fixture f;
    const auto order = f.orders.started.front();
    f.list(order.task, order.run);
    CHECK(f.orders.stopped_runs() == "");
    f.jobs.start_reported(f.name, order.task, order.run, start_outcome::started);
    f.list(order.task, order.run);
    CHECK(f.orders.stopped_runs() == "");
    f.jobs.cancel_job(job_id("job"));
    CHECK(f.orders.stopped.size() == 1);
    f.list(order.task, order.run);
    CHECK(f.orders.stopped.size() == 1);
}

TEST_CASE("the members of a gang that has succeeded are left to exit by themselves") {
    job_shape shape{1, 2, 1'000, milliseconds(10'000)};
    shape.is_gang = true;
    fixture f(shape);
    const auto first = f.orders.started[0];
    const auto second = f.orders.started[1];
    f.jobs.runs_finished(
        f.name, f.info.incarnation,
        {{completion_number(1), first.task, first.run, run_outcome::succeeded, ""}});
    f.list(second.task, second.run);
    CHECK(f.orders.stopped_runs() == "");
}

TEST_CASE("reports of an instance without a link or an executor stop nothing") {
    fixture f;
    SUBCASE("its link is closed") {
        f.jobs.instance_disconnected(f.name, f.time.now() + milliseconds(5'000));
    }
    SUBCASE("its executor has ended") {
        f.jobs.executor_terminated(f.name, f.info.incarnation);
    }
    f.list(unknown_task, first_run);
    CHECK(f.orders.stopped_runs() == "");
}
