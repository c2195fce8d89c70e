// A task that crashes the executors that start it reports no failure. Unless its crashes are
// counted, it is started on one executor after the other until none is left.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

// Jobs of short tasks that arrive all the time, so that other runs stand beside each crash. Every
// tenth job has a task that crashes its executors.
struct busy_fleet {
    static constexpr int job_count = 60;
    static constexpr int crashing_every = 10;

    explicit busy_fleet(std::uint64_t seed) : system({.seed = seed, .instances = 8}) {}

    static job_id id_of(int index) { return job_id("job-" + std::to_string(index)); }
    static bool is_crashing(int index) { return index % crashing_every == 3; }
    static task_key crashing_task(int index) { return {id_of(index), 0, 0, 1}; }

    void submit(int index) {
        job_shape shape;
        shape.tasks = 4;
        shape.run_time = milliseconds(700);
        system.submit(make_job(id_of(index).value(), shape));
        if (is_crashing(index)) {
            system.make_crashing(crashing_task(index));
        }
    }

    void check_outcomes() const {
        for (const auto& violation : system.violations()) {
            FAIL_CHECK(violation);
        }
        for (int i = 0; i < job_count; ++i) {
            CAPTURE(i);
            const auto expected = is_crashing(i) ? job_phase::failed : job_phase::completed;
            CHECK(name(system.phase_of(id_of(i))) == name(expected));
            if (is_crashing(i)) {
                CHECK(system.crashes_by(crashing_task(i)) >= 2);
            }
        }
    }

    world system;
};

struct recorder final : coordinator_orders {
    void start(const instance_name& instance, const start_order& order) override {
        started.emplace_back(instance, order);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void report_crash(const executor_crash& crash) override { crashes.push_back(crash); }

    std::vector<std::pair<instance_name, start_order>> started;
    std::vector<executor_crash> crashes;
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

// An owner without a store; rows are kept as a store would.
struct owner_fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    std::map<job_id, std::string> rows;

    owner_fixture() { jobs.set_queues({{queue_id("queue"), default_rules()}}); }

    void claim(const std::string& instance, std::int64_t incarnation = 1) {
        jobs.instance_claimed(instance_name(instance),
                              {executor_of(instance, incarnation), {}, {}});
    }
    // Submits a job of one task.
    void submit(const std::string& id) {
        jobs.add_job(make_job(id, {1, 1, 1'000, milliseconds(10'000), false}), milliseconds(0));
        plan();
    }
    void plan() {
        jobs.plan();
        if (jobs.has_writes()) {
            for (const auto& row : jobs.begin_write()) {
                rows[row.job] = row.value;
            }
            jobs.write_done();
        }
    }
    void confirm_last_start() {
        const auto& [instance, order] = orders.started.back();
        jobs.start_reported(instance, order.task, order.run, start_outcome::started);
    }
    // The executor crashes right after it has begun its latest runs.
    void crash_all(const instance_name& instance, std::int64_t incarnation) {
        std::vector<run_age> ages;
        for (const auto& [name, order] : orders.started) {
            if (name == instance && order.incarnation == executor_incarnation(incarnation)) {
                jobs.start_reported(name, order.task, order.run, start_outcome::started);
                ages.push_back({order.task, order.run, milliseconds(0)});
            }
        }
        jobs.executor_terminated(instance, executor_incarnation(incarnation), ages);
    }
    // The executor that got the last start crashes; `age` is that of its run. A new incarnation
    // follows.
    void crash_last(milliseconds age) {
        const auto [instance, order] = orders.started.back();
        jobs.executor_terminated(instance, order.incarnation,
                                 std::vector<run_age>{{order.task, order.run, age}});
        claim(instance.value(), order.incarnation.value() + 1);
    }
};

// A succession of owners of one table. The jobs "first" and "second" have one task each, and both
// run on the only instance.
struct owner_succession {
    std::unique_ptr<owner_fixture> owner = std::make_unique<owner_fixture>();
    std::int64_t incarnation = 1;

    owner_succession() {
        owner->claim("m1");
        owner->submit("first");
        owner->submit("second");
    }
    // The executor crashes right after it has begun its latest runs.
    void crash() {
        owner->crash_all(instance_name("m1"), incarnation++);
        owner->plan();
    }
    // The tasks start together on the next executor: none of them has an instance to itself in
    // time.
    void restart_together() {
        owner->time.advance(milliseconds(2'500));
        owner->claim("m1", incarnation);
        start_all();
    }
    // The first task to start has the executor to itself.
    void restart_apart() {
        owner->time.advance(milliseconds(1'000));
        owner->claim("m1", incarnation);
        start_all();
    }
    // The next owner finds a later executor than the one that its predecessor started the tasks on.
    void replace_owner_and_executor() {
        auto next = std::make_unique<owner_fixture>();
        for (const auto& [id, row] : owner->rows) {
            next->jobs.add_job(make_job(id.value(), {1, 1, 1'000, milliseconds(10'000), false}),
                               milliseconds(0));
            REQUIRE(next->jobs.restore(id, row, next->time.now() + std::chrono::seconds(5)));
        }
        next->rows = owner->rows;
        owner = std::move(next);
        owner->claim("m1", ++incarnation);
        owner->plan();
    }
    [[nodiscard]] std::string phase(const std::string& id) const {
        return std::string(name(owner->jobs.status(job_id(id))->phase));
    }
    [[nodiscard]] std::size_t started() const { return owner->orders.started.size(); }

private:
    void start_all() {
        owner->orders.started.clear();
        owner->plan();
    }
};

}  // namespace

TEST_CASE("a task that crashes its executors is given up, and only its job fails") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        busy_fleet fleet(seed);
        for (int i = 0; i < busy_fleet::job_count; ++i) {
            fleet.submit(i);
            fleet.system.run_for(milliseconds(200));
        }
        fleet.system.run_for(std::chrono::seconds(60));
        fleet.check_outcomes();
    }
}

TEST_CASE("crashes are counted across changes of the owner") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        busy_fleet fleet(seed);
        for (int i = 0; i < busy_fleet::job_count; ++i) {
            fleet.submit(i);
            fleet.system.run_for(milliseconds(150));
            fleet.system.take_over();
            fleet.system.run_for(milliseconds(150));
        }
        fleet.system.run_for(std::chrono::seconds(60));
        fleet.check_outcomes();
    }
}

// A rack that loses power crashes several executors at once.
TEST_CASE("no job fails when all executors crash for causes of their own") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        world system({.seed = seed, .instances = 8});
        constexpr int job_count = 20;
        for (int i = 0; i < job_count; ++i) {
            job_shape shape;
            shape.tasks = 6;
            system.submit(make_job("job-" + std::to_string(i), shape));
        }
        for (int crash = 0; crash < 4; ++crash) {
            system.run_for(milliseconds(300));
            for (std::size_t m = 0; m < 8; ++m) {
                system.crash_executor(m);
            }
            system.run_for(milliseconds(2'500));
        }
        system.run_for(std::chrono::seconds(60));
        for (int i = 0; i < job_count; ++i) {
            CAPTURE(i);
            CHECK(name(system.phase_of(job_id("job-" + std::to_string(i)))) == "completed");
        }
    }
}

TEST_CASE("a job fails once two executors have crashed right after the start of its only task") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("job");
    owner.confirm_last_start();
    owner.crash_last(milliseconds(0));
    CHECK(name(owner.jobs.status(job_id("job"))->phase) == "running");
    owner.plan();
    REQUIRE(owner.orders.started.size() == 2);
    owner.confirm_last_start();
    owner.crash_last(milliseconds(0));
    owner.plan();
    CHECK(name(owner.jobs.status(job_id("job"))->phase) == "failed");
    CHECK(owner.orders.started.size() == 2);
}

TEST_CASE("a run that its executor had for a while before the crash clears its task") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("job");
    for (int crash = 0; crash < 5; ++crash) {
        CAPTURE(crash);
        owner.confirm_last_start();
        owner.crash_last(milliseconds(crash % 2 == 0 ? 0 : 900));
        owner.time.advance(std::chrono::seconds(3));
        owner.claim("m1", crash + 2);
        owner.plan();
        CHECK(name(owner.jobs.status(job_id("job"))->phase) == "running");
    }
    CHECK(owner.orders.started.size() == 6);
}

TEST_CASE("an executor that leaves after a drain counts against no task") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("job");
    owner.confirm_last_start();
    auto info = executor_of("m1", 1);
    info.is_draining = true;
    owner.jobs.executor_changed(instance_name("m1"), info);
    owner.crash_last(milliseconds(0));
    CHECK(owner.orders.crashes.empty());
}

// The crash and the end of the owner coincide: nobody reports the crash to the next owner.
TEST_CASE("a new owner counts a crash that the earlier one did not see") {
    owner_fixture first;
    first.claim("m1");
    first.submit("job");
    first.confirm_last_start();
    first.crash_last(milliseconds(0));
    first.plan();
    REQUIRE(first.orders.started.size() == 2);

    owner_fixture second;
    const job_id id("job");
    second.jobs.add_job(make_job("job", {1, 1, 1'000, milliseconds(10'000), false}),
                        milliseconds(0));
    REQUIRE(
        second.jobs.restore(id, first.rows.at(id), second.time.now() + std::chrono::seconds(5)));
    second.claim("m1", 3);
    REQUIRE(second.orders.crashes.size() == 1);
    REQUIRE(second.orders.crashes[0].suspects.size() == 1);
    CHECK(second.orders.crashes[0].suspects[0].crashes == 2);
    // The second run is not known to have begun, which is no proof yet.
    CHECK(name(second.jobs.status(id)->phase) == "running");
}

TEST_CASE("a task with two crashes starts on an instance where nothing else starts") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("first");
    owner.submit("second");
    for (std::int64_t life = 1; life <= 2; ++life) {
        owner.crash_all(instance_name("m1"), life);
        owner.time.advance(std::chrono::seconds(1));
        if (life == 1) {
            owner.claim("m1", 2);
            owner.plan();
        }
    }
    owner.claim("m1", 3);
    owner.claim("m2");
    owner.orders.started.clear();
    owner.submit("third");
    std::map<instance_name, std::set<job_id>> jobs_on;
    for (const auto& [instance, order] : owner.orders.started) {
        jobs_on[instance].insert(order.task.job);
    }
    // Two instances; one of them at a time is kept for a task that may crash it.
    const std::set<job_id> first{job_id("first")};
    const std::set<job_id> third{job_id("third")};
    REQUIRE(jobs_on.size() == 2);
    CHECK((jobs_on.begin()->second == first || jobs_on.rbegin()->second == first));
    CHECK((jobs_on.begin()->second == third || jobs_on.rbegin()->second == third));
}

// The executor may have been replaced for another cause before it had begun the task.
TEST_CASE("a fourth crash that an owner only infers fails no job, a fifth one does") {
    owner_succession system;
    for (int crash = 1; crash <= 5; ++crash) {
        CAPTURE(crash);
        if (crash > 1) {
            system.restart_together();
        }
        REQUIRE(system.started() == 2);
        if (crash <= 2) {
            system.crash();
        } else {
            system.replace_owner_and_executor();
        }
        const std::string expected = crash < 5 ? "running" : "failed";
        CHECK(system.phase("first") == expected);
        CHECK(system.phase("second") == expected);
    }
}

TEST_CASE("a fourth crash of an executor that had begun the task fails its job") {
    owner_succession system;
    for (int crash = 1; crash <= 4; ++crash) {
        CAPTURE(crash);
        if (crash > 1) {
            system.restart_together();
        }
        REQUIRE(system.started() == 2);
        if (crash == 3) {
            system.replace_owner_and_executor();
        } else {
            system.crash();
        }
        const std::string expected = crash < 4 ? "running" : "failed";
        CHECK(system.phase("first") == expected);
    }
}

TEST_CASE("a crash that an owner only infers fails no job although its task ran apart") {
    owner_succession system;
    system.crash();
    system.restart_together();
    system.crash();
    system.restart_apart();
    REQUIRE(system.started() == 1);
    const auto id = system.owner->orders.started[0].second.task.job.value();
    system.owner->confirm_last_start();
    system.replace_owner_and_executor();
    CHECK(system.phase(id) == "running");
}

// The run may have ended before the crash, while nobody saw the executor.
TEST_CASE("a crash counts as confirmed only if the agent has reported the age of the run") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("job");
    owner.confirm_last_start();
    owner.crash_last(milliseconds(0));
    owner.plan();
    REQUIRE(owner.orders.started.size() == 2);
    owner.confirm_last_start();
    owner.jobs.instance_disconnected(instance_name("m1"),
                                     owner.time.now() + std::chrono::seconds(5));
    owner.time.advance(std::chrono::seconds(3));
    owner.claim("m1", 3);
    owner.plan();
    REQUIRE(owner.orders.crashes.size() == 2);
    CHECK(owner.orders.crashes[1].suspects.at(0).crashes == 2);
    CHECK(name(owner.jobs.status(job_id("job"))->phase) == "running");
}

// An instance that is cut off has not crashed.
TEST_CASE("expired leases alone fail no job") {
    owner_fixture owner;
    owner.submit("job");
    for (int i = 1; i <= 8; ++i) {
        const std::string name = "m" + std::to_string(i);
        owner.claim(name);
        owner.plan();
        owner.time.advance(milliseconds(400));
        owner.plan();
        REQUIRE(owner.orders.started.size() == static_cast<std::size_t>(i));
        owner.confirm_last_start();
        owner.jobs.instance_disconnected(instance_name(name),
                                         owner.time.now() + std::chrono::seconds(5));
        // No executor has listed the run.
        owner.time.advance(lease_timing{}.start_expiry_delay());
        owner.plan();
    }
    CHECK(name(owner.jobs.status(job_id("job"))->phase) == "running");
}

TEST_CASE("a run seen alive for a minute clears its task of earlier crashes") {
    owner_fixture owner;
    owner.claim("m1");
    owner.submit("job");
    owner.confirm_last_start();
    owner.crash_last(milliseconds(0));
    owner.plan();
    owner.confirm_last_start();
    const auto order = owner.orders.started.back();
    for (int s = 0; s < 60; ++s) {
        owner.time.advance(std::chrono::seconds(1));
        owner.jobs.progress_reported(order.first, {{order.second.task, order.second.run, "", s, 0}},
                                     {}, true);
        owner.plan();
    }
    owner_fixture second;
    const job_id id("job");
    second.jobs.add_job(make_job("job", {1, 1, 1'000, milliseconds(10'000), false}),
                        milliseconds(0));
    REQUIRE(
        second.jobs.restore(id, owner.rows.at(id), second.time.now() + std::chrono::seconds(5)));
    second.claim("m1", 9);
    REQUIRE(second.orders.crashes.size() == 1);
    CHECK(second.orders.crashes[0].suspects[0].crashes == 1);
}

// Members that start alone end without the others.
TEST_CASE("a gang starts as a whole or not at all when a capacity shrinks") {
    owner_fixture owner;
    owner.claim("m1");
    owner.claim("m2");
    job_shape shape;
    shape.tasks = 2;
    shape.millicores_each = 6'000;
    shape.is_gang = true;
    shape.run_time = milliseconds(10'000);
    owner.jobs.add_job(make_job("gang", shape), milliseconds(0));
    owner.jobs.plan();
    const auto rows = owner.jobs.begin_write();
    auto info = executor_of("m1", 1);
    info.capacity.processors = millicores(1'000);
    owner.jobs.executor_changed(instance_name("m1"), info);
    owner.jobs.write_done();
    for (int s = 0; s < 20; ++s) {
        owner.time.advance(milliseconds(50));
        owner.claim("m3");
        owner.plan();
    }
    CHECK(owner.orders.started.size() != 1);
}

// The agent has told only the earlier owner that the executor has gone.
TEST_CASE("a task that an earlier owner started on an executor that is gone starts elsewhere") {
    owner_fixture first;
    first.claim("m1");
    first.submit("job");
    first.confirm_last_start();
    owner_fixture second;
    const job_id id("job");
    second.jobs.add_job(make_job("job", {1, 1, 1'000, milliseconds(10'000), false}),
                        milliseconds(0));
    REQUIRE(
        second.jobs.restore(id, first.rows.at(id), second.time.now() + std::chrono::seconds(5)));
    second.jobs.instance_claimed(instance_name("m1"), {});  // its executor has gone for good
    for (int s = 0; s < 10; ++s) {
        second.time.advance(std::chrono::seconds(1));
        second.claim("m2");
        second.plan();
    }
    CHECK(second.orders.started.size() == 1);
}
