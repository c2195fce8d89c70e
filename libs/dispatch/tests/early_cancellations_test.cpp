// Cancellations that the coordinator gets before their jobs.

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct idle_orders final : coordinator_orders {
    void start(const instance_name&, const start_order&) override {}
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
};

struct fixture {
    manual_clock time;
    idle_orders orders;
    coordinator jobs{coordinator::options{}, time, orders};

    void add(const std::string& id) { jobs.add_job(make_job(id, {}), milliseconds(0)); }
    job_phase phase(const std::string& id) const { return jobs.status(job_id(id)).value().phase; }
};

}  // namespace

// Guards against a memory that callers fill by cancelling jobs that never existed.
TEST_CASE(
    "a forgotten cancellation takes no memory and does not cancel a job that is added later") {
    fixture f;
    for (int i = 0; i < 100; ++i) {
        f.jobs.cancel_job(job_id("job" + std::to_string(i)));
    }
    CHECK(f.jobs.count().early_cancellations == 100);
    f.add("job0");
    CHECK(f.phase("job0") == job_phase::cancelled);
    CHECK(f.jobs.count().early_cancellations == 99);
    for (int i = 0; i < 100; ++i) {
        f.jobs.forget_cancellation(job_id("job" + std::to_string(i)));
    }
    CHECK(f.jobs.count().early_cancellations == 0);
    f.add("job1");
    CHECK(f.phase("job1") == job_phase::pending);
}

TEST_CASE("a job that has been added stays cancelled when its cancellation is forgotten") {
    fixture f;
    f.add("before");
    f.jobs.cancel_job(job_id("before"));
    f.jobs.cancel_job(job_id("after"));
    f.add("after");
    for (const std::string id : {"before", "after"}) {
        f.jobs.forget_cancellation(job_id(id));
        CHECK(f.phase(id) == job_phase::cancelled);
    }
    CHECK(f.jobs.count().jobs == 0);
}
