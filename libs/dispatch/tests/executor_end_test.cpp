// The end of an executor that no owner was told of when it happened: its agent had no link then.

#include <doctest/doctest.h>

#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

const instance_name lost_instance("m1");
const instance_name other_instance("m2");
constexpr executor_incarnation first_life(1'000);

struct owner_recorder final : coordinator_orders {
    void start(const instance_name& instance, const start_order& order) override {
        (instance == other_instance ? started_elsewhere : started_here).push_back(order);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void report_crash(const executor_crash& crash) override { suspects += crash.suspects.size(); }

    std::vector<start_order> started_elsewhere;
    std::vector<start_order> started_here;
    std::size_t suspects = 0;
};

// Orders of an agent whose link is closed: its reports reach nobody.
struct unlinked_agent_orders final : agent_orders {
    void call_start(const start_order&, epoch_number) override {}
    void call_stop(const task_key&, run_number, epoch_number) override {}
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome) override {}
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>&) override {}
    void report_executor_terminated(executor_incarnation, const std::vector<run_age>&) override {}
};

executor_info make_executor(executor_incarnation incarnation) {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = incarnation;
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return info;
}

// An owner of a job of one task that runs until it is cancelled.
struct owner {
    const tanagerpaddle::clock& time;
    owner_recorder orders;
    coordinator jobs;
    const submitted_job job =
        make_job("job", {1, 1, 8'000, milliseconds(1'000), /*is_long_running=*/true});
    std::string row;

    explicit owner(const tanagerpaddle::clock& source)
        : time(source), jobs(coordinator::options{}, source, orders) {
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.add_job(job, milliseconds(0));
    }
    void plan() {
        jobs.plan();
        while (jobs.has_writes()) {
            row = jobs.begin_write().front().value;
            jobs.write_done();
        }
    }
    void claim_other() {
        jobs.instance_claimed(other_instance, {make_executor(first_life), {}, {}});
        plan();
    }
};

// A task runs on an instance, and its owner is replaced.
struct fixture {
    manual_clock time;
    unlinked_agent_orders orders;
    agent beside{time, orders};
    const task_key task{job_id("job"), 0, 0, 0};
    std::string row;
    const lease_timing timing;

    fixture() {
        owner earlier(time);
        REQUIRE(beside.claim(claim_epoch(epoch_number(1), 1)));
        beside.lease_granted(time.now() + timing.lease_duration);
        beside.executor_reported(make_executor(first_life));
        REQUIRE(beside.executor_view_received(view({})));
        earlier.jobs.instance_claimed(lost_instance, beside.current_inventory());
        earlier.plan();
        earlier.jobs.start_reported(lost_instance, task, run_number(1), start_outcome::started);
        beside.executor_view_received(view({{task, run_number(1), "", 100, 0}}));
        // Long enough that the run is above the suspicion that it crashes its executor.
        time.advance(milliseconds(5'000));
        beside.lease_granted(time.now() + timing.lease_duration);
        beside.executor_view_received(view({{task, run_number(1), "", 100, 0}}));
        earlier.plan();
        row = earlier.row;
    }
    [[nodiscard]] executor_view view(const std::vector<running_task>& running) const {
        return {first_life, time.now(), beside.epoch(), running, {}};
    }
    // Restores the row in a new owner, for which runs that it knows nothing of have ended a lease
    // after the time for which the earlier owner may have renewed it.
    void restore(owner& next) const {
        const auto unclaimed_runs_end_by =
            time.now() + timing.max_renewal_without_store + timing.expiry_delay();
        REQUIRE(next.jobs.restore(next.job.id, row, unclaimed_runs_end_by));
        next.claim_other();
        REQUIRE(next.orders.started_elsewhere.empty());
    }
    void claim(owner& next, std::uint64_t epoch) {
        REQUIRE(beside.claim(claim_epoch(epoch_number(epoch), 1)));
        next.jobs.instance_claimed(lost_instance, beside.current_inventory());
        next.plan();
    }
};

}  // namespace

TEST_CASE("a task restarts at once if its executor ended while no owner was linked to the agent") {
    fixture f;
    f.beside.executor_unreachable();
    owner next(f.time);
    f.restore(next);
    f.claim(next, 2);
    REQUIRE(next.orders.started_elsewhere.size() == 1);
    CHECK(next.orders.started_elsewhere.front().task == f.task);
    CHECK(next.orders.started_elsewhere.front().run == run_number(2));
    CHECK(next.orders.suspects == 0);
}

TEST_CASE("a task restarts at once if its executor ends before the agent reads the lists again") {
    fixture f;
    owner next(f.time);
    f.restore(next);
    f.claim(next, 2);
    REQUIRE(next.orders.started_elsewhere.empty());
    f.beside.executor_unreachable();
    next.jobs.executor_terminated(lost_instance, first_life, {});
    next.jobs.instance_claimed(lost_instance, f.beside.current_inventory());
    next.plan();
    REQUIRE(next.orders.started_elsewhere.size() == 1);
    CHECK(next.orders.suspects == 0);
}

TEST_CASE("a task restarts at once if its executor ended while the owner's own link was closed") {
    fixture f;
    owner next(f.time);
    f.restore(next);
    f.claim(next, 2);
    REQUIRE(f.beside.executor_view_received(f.view({{f.task, run_number(1), "", 100, 0}})));
    next.jobs.instance_claimed(lost_instance, f.beside.current_inventory());
    next.jobs.instance_disconnected(lost_instance, f.time.now() + f.timing.expiry_delay());
    f.beside.executor_unreachable();
    next.plan();
    REQUIRE(next.orders.started_elsewhere.empty());
    f.claim(next, 3);
    CHECK(next.orders.started_elsewhere.size() == 1);
}

TEST_CASE("a task restarts at once if a newer executor took the place of its own unseen") {
    fixture f;
    const executor_incarnation second_life(2'000);
    bool is_reported = false;
    SUBCASE("and has reported itself") {
        is_reported = true;
        f.beside.executor_reported(make_executor(second_life));
    }
    SUBCASE("and has not reported itself") {}
    owner next(f.time);
    f.restore(next);
    f.claim(next, 2);
    CHECK(next.orders.started_elsewhere.empty());  // only the lists tell that its own has ended
    REQUIRE(f.beside.executor_view_received({second_life, f.time.now(), f.beside.epoch(), {}, {}}));
    next.jobs.instance_claimed(lost_instance, f.beside.current_inventory());
    next.plan();
    const auto& started = is_reported ? next.orders.started_here : next.orders.started_elsewhere;
    REQUIRE(started.size() == 1);
    CHECK(started.front().task == f.task);
    CHECK(started.front().run == run_number(2));
}

// Guards against a second run at once.
TEST_CASE("a task does not restart for the end of an executor before its own") {
    fixture f;
    owner next(f.time);
    f.restore(next);
    f.claim(next, 2);
    next.jobs.executor_terminated(lost_instance, executor_incarnation(first_life.value() - 1), {});
    next.plan();
    CHECK(next.orders.started_elsewhere.empty());
}
