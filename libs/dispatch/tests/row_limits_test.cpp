// Sizes of progress rows and of writes: a write that the store rejects as too large is repeated by
// each owner, and nothing starts in the meantime.

#include <doctest/doctest.h>

#include <map>
#include <set>

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

// Guards against owners that start nothing, since the rows of many large jobs exceed the store's
// limit of 1 MB of base64 for one call.
TEST_CASE("the rows of one write stay below the size of a store call") {
    constexpr std::size_t max_row_bytes = 1'000'000 * 3 / 4;
    constexpr std::size_t job_count = 80;
    constexpr std::uint32_t tasks_per_job = 500;
    manual_clock time;
    ignored_orders orders;
    coordinator jobs({}, time, orders);
    jobs.set_queues({{queue_id("queue"), rules()}});
    for (std::size_t i = 0; i < job_count; ++i) {
        submitted_job job;
        job.id = job_id("job-" + std::to_string(i));
        job.queue = queue_id("queue");
        job.rules = rules();
        job.spec.steps.emplace_back().task_count = tasks_per_job;
        job.spec.steps[0].demand.processors = millicores(1);
        jobs.add_job(job, milliseconds(0));
    }
    executor_info executor;
    executor.id = executor_id("executor");
    executor.incarnation = executor_incarnation(1);
    executor.service = service_id("service");
    executor.capacity = {millicores(1'000'000), mebibytes(8'000), accelerator_count(0)};
    jobs.instance_claimed(instance_name("instance-with-a-long-name"), {executor, {}, {}});
    jobs.plan();
    std::size_t rows_written = 0;
    std::map<job_id, std::set<std::uint32_t>> rows_by_job;
    while (jobs.has_writes()) {
        std::size_t bytes = 0;
        for (const auto& row : jobs.begin_write()) {
            bytes += row.value.size();
            ++rows_written;
            rows_by_job[row.job].insert(row.number);
        }
        CHECK(bytes <= max_row_bytes);
        jobs.write_done();
    }
    // Each row of each job is written once.
    constexpr std::size_t rows_per_job = 8;
    CHECK(rows_by_job.size() == job_count);
    for (const auto& [job, numbers] : rows_by_job) {
        CHECK(numbers.size() == rows_per_job);
    }
    CHECK(rows_written == job_count * rows_per_job);
    CHECK(orders.starts == job_count * tasks_per_job);
}
