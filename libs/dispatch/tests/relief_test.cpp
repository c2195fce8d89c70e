// Fillers that are held back for the sake of serving tasks, and machines where they could work.

#include <doctest/doctest.h>

#include <algorithm>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    struct sent {
        instance_name machine;
        task_key task;
        run_number run;
    };
    void start(const instance_name& machine, const start_order& order) override {
        starts.push_back({machine, order.task, order.run});
    }
    void stop(const instance_name& machine, const task_key& task, run_number run) override {
        stops.push_back({machine, task, run});
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<sent> starts;
    std::vector<sent> stops;
};

inventory idle_executor(const instance_name& machine) {
    executor_info info;
    info.id = executor_id("executor-" + machine.value());
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(32'000), mebibytes(100'000), accelerator_count(0)};
    return {info, {}, {}};
}

submitted_job job_of(const std::string& id, const std::string& image, bool serves) {
    auto job = make_job(id, {1, 1, 8'000, milliseconds(20'000), serves});
    auto& step = job.spec.steps.front();
    step.image = image;
    step.is_filler = !serves;
    step.writes_checkpoints = !serves;
    step.tail_target = milliseconds(serves ? 24 : 0);
    return job;
}

struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name first{"m1"};
    const instance_name second{"m2"};

    fixture() {
        time.advance(std::chrono::hours(1));
        const auto job = job_of("any", "any", true);
        jobs.set_queues({{job.queue, default_rules()}});
    }
    // Plans, writes, and lets the executors start what was ordered.
    void pass(milliseconds step) {
        time.advance(step);
        jobs.plan();
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            const auto known = orders.starts.size();
            jobs.write_done();
            for (auto i = known; i < orders.starts.size(); ++i) {
                const auto sent = orders.starts[i];
                jobs.start_reported(sent.machine, sent.task, sent.run, start_outcome::started);
            }
        }
    }
    void report(const instance_name& machine, const std::string& serving, milliseconds tail) {
        interference_sample sample;
        sample.capacity = millicores(32'000);
        sample.serving_tasks = {{serving, milliseconds(24), tail}};
        jobs.progress_reported(machine, {}, sample);
    }
};

}  // namespace

// Load: a serving task is busy for long, so that the filler beside it is held back, while the task
// of another machine is idle. The baseline moved fillers only to machines that serve nothing.
TEST_CASE("a filler that is held back moves to a machine where it can work, unless there is none") {
    milliseconds other_tail{0};
    SUBCASE("the other serving task bears it") {
        other_tail = milliseconds(5);
    }
    SUBCASE("the other serving task is busy as well") {
        other_tail = milliseconds(23);
    }
    fixture f;
    for (const auto& machine : {f.first, f.second}) {
        f.jobs.instance_claimed(machine, idle_executor(machine));
    }
    f.jobs.add_job(job_of("web", "web", true), milliseconds(0));
    f.pass(milliseconds(100));
    f.jobs.add_job(job_of("mail", "mail", true), milliseconds(0));
    f.pass(milliseconds(100));
    f.report(f.first, "web", milliseconds(5));
    f.report(f.second, "mail", milliseconds(23));
    f.jobs.add_job(job_of("batch", "heavy", false), milliseconds(0));
    f.pass(milliseconds(100));
    REQUIRE(f.orders.starts.size() == 3);
    REQUIRE(f.orders.starts.back().machine == f.first);
    for (int i = 0; i < 10; ++i) {
        f.report(f.first, "web", milliseconds(23));
        f.report(f.second, "mail", other_tail);
        f.pass(milliseconds(400));
    }
    CHECK(f.orders.stops.size() == (other_tail == milliseconds(5) ? 1 : 0));
}
