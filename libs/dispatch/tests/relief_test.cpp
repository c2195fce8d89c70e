// Tests moves of fillers that are throttled to protect serving tasks.

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
        instance_name instance;
        task_key task;
        run_number run;
    };
    void start(const instance_name& instance, const start_order& order) override {
        starts.push_back({instance, order.task, order.run});
    }
    void stop(const instance_name& instance, const task_key& task, run_number run) override {
        stops.push_back({instance, task, run});
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<sent> starts;
    std::vector<sent> stops;
};

inventory idle_executor(const instance_name& instance) {
    executor_info info;
    info.id = executor_id("executor-" + instance.value());
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
    // Plans, writes, and reports the ordered runs as started.
    void pass(milliseconds step) {
        time.advance(step);
        jobs.plan();
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            const auto known = orders.starts.size();
            jobs.write_done();
            for (auto i = known; i < orders.starts.size(); ++i) {
                const auto sent = orders.starts[i];
                jobs.start_reported(sent.instance, sent.task, sent.run, start_outcome::started);
            }
        }
    }
    void report(const instance_name& instance, const std::string& serving, milliseconds tail) {
        interference_sample sample;
        sample.capacity = millicores(32'000);
        sample.serving_tasks = {{serving, milliseconds(24), tail}};
        jobs.progress_reported(instance, {}, sample);
    }
};

}  // namespace

// A serving task stays busy, so the filler co-located with it is throttled, while the serving task
// of another instance is idle. Guards against moving fillers only to instances without serving
// tasks.
TEST_CASE("a throttled filler moves to an instance that can run it, unless there is none") {
    milliseconds other_tail{0};
    SUBCASE("the other serving task has slack") {
        other_tail = milliseconds(5);
    }
    SUBCASE("the other serving task is busy as well") {
        other_tail = milliseconds(23);
    }
    fixture f;
    for (const auto& instance : {f.first, f.second}) {
        f.jobs.instance_claimed(instance, idle_executor(instance));
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
    REQUIRE(f.orders.starts.back().instance == f.first);
    for (int i = 0; i < 10; ++i) {
        f.report(f.first, "web", milliseconds(23));
        f.report(f.second, "mail", other_tail);
        f.pass(milliseconds(400));
    }
    CHECK(f.orders.stops.size() == (other_tail == milliseconds(5) ? 1 : 0));
}
