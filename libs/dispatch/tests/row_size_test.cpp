// The size of one job's progress row: a row that the store rejects as too large is repeated by each
// owner, and no task of any job whose row is in the same write starts.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct ignored_orders final : coordinator_orders {
    void start(const instance_name&, const start_order&) override { ++starts; }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    std::size_t starts = 0;
};

queue_rules rules() {
    queue_rules chosen;
    chosen.service = service_id("service");
    return chosen;
}

}  // namespace

// Guards against one large job that stops the starts of all jobs under owner after owner: its row
// exceeds the store's limit of 64 KiB while its tasks run.
TEST_CASE("the progress row of a job that is accepted stays below the store's limit") {
    constexpr std::size_t max_row_bytes = 65'536;
    manual_clock time;
    ignored_orders orders;
    coordinator jobs({}, time, orders);
    jobs.set_queues({{queue_id("queue"), rules()}});
    submitted_job job;
    job.id = job_id("job");
    job.queue = queue_id("queue");
    job.rules = rules();
    job.spec.steps.resize(3);
    for (auto& step : job.spec.steps) {
        step.task_count = max_tasks_per_step;
        step.demand.processors = millicores(1);
    }
    REQUIRE_NOTHROW(validate(job.spec));
    jobs.add_job(job, milliseconds(0));
    executor_info executor;
    executor.id = executor_id("executor");
    executor.incarnation = executor_incarnation(1);
    executor.service = service_id("service");
    executor.capacity = {millicores(1'000'000), mebibytes(8'000), accelerator_count(0)};
    jobs.instance_claimed(instance_name("instance"), {executor, {}, {}});
    jobs.plan();
    for (const auto& row : jobs.begin_write()) {
        CHECK(row.value.size() <= max_row_bytes);
    }
    jobs.write_done();
    CHECK(orders.starts > 0);
}
