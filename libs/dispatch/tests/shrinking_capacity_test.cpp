// Tests that no start exceeds the capacity of an executor that shrinks and grows while it runs.

#include <doctest/doctest.h>

#include <algorithm>

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

resources capacity_of(std::int64_t processors, std::int64_t memory = 16'000) {
    return {millicores(processors), mebibytes(memory), accelerator_count(0)};
}

executor_info executor_with(const resources& capacity) {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = capacity;
    return info;
}

submitted_job job_of(const std::string& id, std::uint32_t tasks, std::int64_t processors) {
    return make_job(id, {1, tasks, processors, milliseconds(10'000), false});
}

submitted_job filler_job(const std::string& id, std::uint32_t tasks, std::int64_t processors) {
    auto job = job_of(id, tasks, processors);
    job.spec.steps.front().is_filler = true;
    job.spec.steps.front().image = "filler";
    return job;
}

// One instance with 8 processors.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name name{"instance"};
    std::uint64_t completions = 0;

    fixture() {
        jobs.set_queues({{queue_id("queue"), default_rules()}});
        jobs.instance_claimed(name, {executor_with(capacity_of(8'000)), {}, {}});
    }
    // Adds and places the job; its starts wait for the write.
    void place(const submitted_job& job) {
        jobs.add_job(job, milliseconds(0));
        jobs.plan();
    }
    void write() {
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            jobs.write_done();
        }
    }
    void plan_and_write() {
        time.advance(milliseconds(100));
        jobs.progress_reported(name, {}, {});
        jobs.plan();
        write();
    }
    void resize(const resources& capacity) { jobs.executor_changed(name, executor_with(capacity)); }
    void run(const submitted_job& job) {
        const auto before = orders.started.size();
        place(job);
        write();
        for (std::size_t i = before; i < orders.started.size(); ++i) {
            jobs.start_reported(name, orders.started[i].task, orders.started[i].run,
                                start_outcome::started);
        }
    }
    void finish(const start_order& order) {
        jobs.runs_finished(name, executor_incarnation(1),
                           {{completion_number(++completions), order.task, order.run,
                             run_outcome::succeeded, ""}});
    }
    [[nodiscard]] std::size_t starts_of(const std::string& job) const {
        return static_cast<std::size_t>(
            std::count_if(orders.started.begin(), orders.started.end(),
                          [&](const start_order& order) { return order.task.job.value() == job; }));
    }
};

}  // namespace

// Guards against starts that were placed by a capacity that no longer holds when the store answers.
TEST_CASE(
    "starts whose row is written while the capacity shrinks are sent only as far as they fit") {
    fixture f;
    f.place(job_of("job", 4, 2'000));
    static_cast<void>(f.jobs.begin_write());
    f.resize(capacity_of(5'000));
    f.time.advance(std::chrono::seconds(5));
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 2);
    f.plan_and_write();
    CHECK(f.orders.started.size() == 2);
    f.resize(capacity_of(8'000));
    f.plan_and_write();
    CHECK(f.orders.started.size() == 4);
    CHECK(f.jobs.count().waiting_tasks == 0);
}

TEST_CASE("starts whose row is not written yet are dropped when they no longer fit") {
    fixture f;
    f.place(job_of("job", 4, 2'000));
    f.resize(capacity_of(2'000));
    f.write();
    CHECK(f.orders.started.size() == 1);
}

TEST_CASE("of the starts that no longer fit together, the small ones are kept") {
    fixture f;
    f.place(job_of("large", 1, 5'000));
    f.place(job_of("small", 3, 1'000));
    static_cast<void>(f.jobs.begin_write());
    f.resize(capacity_of(5'000));
    f.jobs.write_done();
    f.write();
    CHECK(f.starts_of("small") == 3);
    CHECK(f.starts_of("large") == 0);
}

TEST_CASE("starts of the most urgent queue are kept before smaller ones of another") {
    fixture f;
    auto rules = default_rules();
    rules.priority = 1;
    f.jobs.set_queues({{queue_id("queue"), default_rules()}, {queue_id("low"), rules}});
    auto low = job_of("low", 3, 1'000);
    low.queue = queue_id("low");
    low.rules = rules;
    f.place(low);
    f.place(job_of("urgent", 1, 5'000));
    f.resize(capacity_of(6'000));
    f.write();
    CHECK(f.starts_of("urgent") == 1);
    CHECK(f.starts_of("low") == 1);
}

TEST_CASE("pending starts are dropped for runs that were started before the capacity shrank") {
    fixture f;
    f.run(job_of("running", 2, 2'000));
    f.place(job_of("pending", 2, 2'000));
    f.resize(capacity_of(5'000));
    f.write();
    CHECK(f.starts_of("pending") == 0);
    CHECK(f.orders.stops == 0);
}

TEST_CASE("pending fillers count with their memory, not with their processors") {
    fixture f;
    f.place(filler_job("job", 4, 2'000));
    SUBCASE("the processors shrink") {
        f.resize(capacity_of(1'000));
        f.write();
        CHECK(f.orders.started.size() == 4);
    }
    SUBCASE("the memory shrinks") {
        f.resize(capacity_of(8'000, 250));
        f.write();
        CHECK(f.orders.started.size() == 2);
    }
}

TEST_CASE("pending starts are dropped when a claim finds a smaller capacity") {
    fixture f;
    f.place(job_of("job", 4, 2'000));
    f.jobs.instance_claimed(f.name, {executor_with(capacity_of(4'000)), {}, {}});
    f.write();
    CHECK(f.orders.started.size() == 2);
}

TEST_CASE("nothing is placed on an instance above its capacity until enough runs have ended") {
    fixture f;
    f.run(job_of("running", 4, 2'000));
    f.resize(capacity_of(4'000));
    f.place(job_of("later", 1, 2'000));
    f.place(filler_job("filler", 1, 100));
    for (std::size_t i = 0; i < 3; ++i) {
        f.plan_and_write();
        CHECK(f.orders.started.size() == 4);
        f.finish(f.orders.started[i]);
        if (i == 1) {
            // The processors suffice for no task, but a filler needs none.
            f.plan_and_write();
            CHECK(f.starts_of("later") == 0);
            break;
        }
    }
    f.finish(f.orders.started[2]);
    f.plan_and_write();
    CHECK(f.starts_of("later") == 1);
}

TEST_CASE("a start carries the capacity by which it is sent") {
    fixture f;
    f.place(job_of("job", 1, 2'000));
    static_cast<void>(f.jobs.begin_write());
    f.resize(capacity_of(4'000));
    f.jobs.write_done();
    REQUIRE(f.orders.started.size() == 1);
    CHECK(f.orders.started[0].capacity == capacity_of(4'000));
}

TEST_CASE("an instance above its capacity can crash, leave and return") {
    fixture f;
    f.run(job_of("running", 4, 2'000));
    f.resize(capacity_of(1'000));
    f.jobs.executor_terminated(f.name, executor_incarnation(1));
    f.plan_and_write();
    CHECK(f.jobs.count().waiting_tasks == 4);
    auto next = executor_with(capacity_of(3'000));
    next.incarnation = executor_incarnation(2);
    f.jobs.executor_changed(f.name, next);
    f.plan_and_write();
    CHECK(f.orders.started.size() == 5);
}

TEST_CASE("a new owner places by the capacity that the executor has now") {
    world_options options;
    options.instances = 1;
    world system(options);
    system.run_for(milliseconds(200));
    system.resize(0, capacity_of(2'000));
    system.run_for(std::chrono::seconds(6));
    SUBCASE("after a takeover") {
        system.take_over();
    }
    SUBCASE("after a new connection") {
        system.cut_link(0, milliseconds(500));
    }
    system.submit(make_job("job", {1, 6, 1'000, milliseconds(500), false}));
    system.run_for(milliseconds(900));
    CHECK(system.starts() >= 2);
    system.run_for(std::chrono::seconds(20));
    CHECK(system.violations().empty());
    CHECK(system.open_jobs() == 0);
}
