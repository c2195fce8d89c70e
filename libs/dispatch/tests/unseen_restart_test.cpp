// Tests that a task does not run twice when an executor starts again under its id unnoticed. The
// new incarnation takes starts that were meant for the former one, with the longest lease, since
// they carry a time by another clock, and nobody tells the owner.

#include <doctest/doctest.h>

#include <cstdlib>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct start_recorder final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order.task);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<task_key> started;
};

inventory make_inventory() {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return {info, {}, {}};
}

std::uint64_t number_from(const char* variable, std::uint64_t fallback) {
    const char* const text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// TANAGERPADDLE_SEEDS sets a higher number of seeds than in CI, TANAGERPADDLE_SEED plays one.
void run_seeds(const world_faults& faults) {
    const auto only = number_from("TANAGERPADDLE_SEED", 0);
    const auto last = only != 0 ? only : number_from("TANAGERPADDLE_SEEDS", 60);
    for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
        world_options options;
        options.seed = seed;
        world system(options);
        system.set_faults(faults);
        random_source random(seed * 977 + 3);
        const auto draw = [&](std::uint64_t below) {
            return milliseconds(static_cast<std::int64_t>(random.below(below)));
        };
        for (int i = 0; i < 100; ++i) {
            // Most last from the expiry of granted leases to that of the longest.
            const auto run_time = milliseconds(4'600) + draw(1'300);
            system.submit(make_job("job-" + std::to_string(i), {1, 2, 1'000, run_time}));
            system.run_for(draw(2'500));
        }
        system.set_faults({});
        system.run_for(std::chrono::seconds(60));
        for (const auto& violation : system.violations()) {
            FAIL_CHECK("seed " << seed << ": " << violation);
        }
        CHECK(system.open_jobs() == 0);
    }
}

world_faults unseen_restarts() {
    world_faults faults;
    faults.executor_crash = 0.08;
    faults.quick_restart = 1;
    faults.silent_restart = 1;
    faults.link_cut_after_restart = 0.8;
    return faults;
}

}  // namespace

TEST_CASE("no task runs twice when the link to the agent is lost after an unseen restart") {
    run_seeds(unseen_restarts());
}

TEST_CASE("no task runs twice when the owner changes after an unseen restart") {
    auto faults = unseen_restarts();
    faults.takeover = 0.2;
    run_seeds(faults);
}

// Guards against a wait beyond the granted lease for runs that are known to be on the executor.
TEST_CASE("only runs that no executor has listed count as alive after the granted lease") {
    const lease_timing timing;
    manual_clock time;
    start_recorder orders;
    coordinator jobs(coordinator::options{}, time, orders);
    const auto job = make_job("job", {1, 2, 4'000, milliseconds(10'000)});
    const task_key listed{job.id, 0, 0, 0};
    const task_key unlisted{job.id, 0, 0, 1};
    jobs.set_queues({{job.queue, default_rules()}});
    jobs.add_job(job, milliseconds(0));
    jobs.instance_claimed(instance_name("lost"), make_inventory());
    const auto plan = [&] {
        for (const char* const name : {"other", "third"}) {
            jobs.progress_reported(instance_name(name), {}, {});
        }
        jobs.plan();
        while (jobs.has_writes()) {
            (void)jobs.begin_write();
            jobs.write_done();
        }
    };
    plan();
    REQUIRE(orders.started.size() == 2);
    orders.started.clear();
    const instant ordered_at = time.now();
    jobs.start_reported(instance_name("lost"), listed, run_number(1), start_outcome::started);
    jobs.start_reported(instance_name("lost"), unlisted, run_number(1), start_outcome::started);
    time.advance(milliseconds(300));
    jobs.progress_reported(instance_name("lost"), {{listed, run_number(1), "", 1, 0}}, {});
    jobs.instance_disconnected(instance_name("lost"), time.now() + timing.expiry_delay());
    // One for each task: the second may have crashed its executor and starts apart from others.
    jobs.instance_claimed(instance_name("other"), make_inventory());
    jobs.instance_claimed(instance_name("third"), make_inventory());
    time.advance(timing.expiry_delay() - milliseconds(1));
    plan();
    CHECK(orders.started.empty());
    time.advance(milliseconds(1));
    plan();
    CHECK(orders.started == std::vector{listed});
    const auto left = ordered_at + timing.start_expiry_delay() - time.now();
    time.advance(std::chrono::duration_cast<milliseconds>(left) - milliseconds(1));
    plan();
    CHECK(orders.started == std::vector{listed});
    time.advance(milliseconds(1));
    plan();
    CHECK(orders.started == std::vector{listed, unlisted});
}
