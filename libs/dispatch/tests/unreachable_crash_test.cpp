// Tasks that crash their executors, one of them behind a link that is closed.

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
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
};

// A job of one task on one instance. No start is answered.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const submitted_job job = make_job("job", {1, 1, 1'000, milliseconds(10'000)});
    const instance_name name{"m1"};
    std::int64_t incarnation = 0;
    std::string row;

    fixture() {
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.add_job(job, milliseconds(0));
    }
    // An executor joins, and the task starts on it if it may.
    void start() {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(++incarnation);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        time.advance(milliseconds(3'000));
        jobs.instance_claimed(name, {info, {}, {}});
        plan();
    }
    void plan() {
        jobs.plan();
        while (jobs.has_writes()) {
            row = jobs.begin_write().front().value;
            jobs.write_done();
        }
    }
    void crash() {
        jobs.executor_terminated(name, executor_incarnation(incarnation),
                                 {{{job.id, 0, 0, 0}, orders.started.back().run, milliseconds(0)}});
        plan();
    }
    // No executor has listed the run, so that its lease may be the longest.
    void expire() {
        jobs.instance_disconnected(name, time.now() + lease_timing{}.expiry_delay());
        time.advance(lease_timing{}.start_expiry_delay());
        plan();
    }
};

}  // namespace

// Guards against a third start after three crashes: only the lease of the fifth executor expires.
TEST_CASE("a task is given up although the link to the fifth executor that it crashes is closed") {
    fixture f;
    for (std::size_t i = 1; i <= 4; ++i) {
        f.start();
        REQUIRE(f.orders.started.size() == i);
        f.crash();
    }
    f.start();
    REQUIRE(f.orders.started.size() == 5);
    f.expire();
    f.start();
    CHECK(f.orders.started.size() == 5);
    CHECK(f.jobs.status(f.job.id)->phase == job_phase::failed);
}

// Guards against a sound job that fails because its instances were cut off, before and after a
// change of the owner.
TEST_CASE("a new owner does not take expired leases for crashes") {
    fixture earlier;
    for (int i = 1; i <= 4; ++i) {
        earlier.start();
        earlier.expire();
    }
    fixture next;
    next.incarnation = earlier.incarnation;
    REQUIRE(next.jobs.restore(next.job.id, earlier.row, next.time.now()));
    for (std::size_t i = 1; i <= 2; ++i) {
        next.start();
        REQUIRE(next.orders.started.size() == i);
        next.expire();
    }
    CHECK(next.jobs.status(next.job.id)->phase == job_phase::pending);
}
