// Time of one plan against queue length and number of workers. `full` leaves no worker room for
// most tasks, `free` has an empty fleet; at most 1,000 tasks are placed in one plan.

#include <benchmark/benchmark.h>

#include "tanagerpaddle/placement.hpp"

using namespace tanagerpaddle;

namespace {

constexpr std::uint64_t seed = 7;
constexpr std::int64_t now_ms = 1'700'000'000'000;
constexpr std::size_t max_starts = 1'000;

placement_input make_input(std::int64_t tasks, std::int64_t workers, bool is_full) {
    random_source random(seed);
    const auto below = [&](std::uint64_t bound) {
        return static_cast<std::int64_t>(random.below(bound));
    };
    placement_input input;
    input.now = utc_millis(now_ms);
    input.max_starts = max_starts;
    for (std::int64_t i = 0; i < workers; ++i) {
        worker_view worker;
        worker.id = worker_id("worker-" + std::to_string(i));
        worker.rack = rack_id("rack-" + std::to_string(i / 3));
        worker.domain = failure_domain_id("domain-" + std::to_string(i % 7));
        worker.capacity = {millicores(64'000), mebibytes(250'000),
                           accelerator_count(i % 10 == 0 ? 4 : 0)};
        worker.free = worker.capacity;
        if (is_full) {
            worker.free = {millicores(below(2'000)), mebibytes(below(8'000)), accelerator_count(0)};
        }
        worker.interference = random.unit() / 2;
        input.workers.push_back(worker);
    }
    for (std::int64_t i = 0; i < 200; ++i) {
        input.teams.push_back({team_id("team-" + std::to_string(i)),
                               {},
                               {millicores(900'000), mebibytes(4'000'000), accelerator_count(50)},
                               true});
    }
    for (std::int64_t i = 0; i < tasks; ++i) {
        pending_task task;
        const std::int64_t job = i * 17 / 36;  // 17,000 jobs with 36,000 tasks
        task.job = job_id("batch-job-" + std::to_string(job));
        task.index = static_cast<std::uint32_t>(i);
        task.team = team_id("team-" + std::to_string(job % 200));
        task.demand = {millicores(500 + below(16'000)), mebibytes(500 + below(64'000)),
                       accelerator_count(i % 20 == 0 ? 1 : 0)};
        task.remaining_run_time = milliseconds(10'000 + below(3'600'000));
        task.submitted_at = utc_millis(now_ms - below(600'000));
        task.complete_by = utc_millis(now_ms + below(28'800'000));
        input.tasks.push_back(task);
    }
    return input;
}

template <class Strategy>
void plan(benchmark::State& state, bool is_full) {
    const auto input = make_input(state.range(0), state.range(1), is_full);
    const Strategy strategy;
    std::size_t placed = 0;
    for (auto _ : state) {
        const auto result = strategy.plan(input);
        placed = result.placed.size();
        benchmark::DoNotOptimize(placed);
    }
    state.counters["placed"] = static_cast<double>(placed);
}

void plan_deadline(benchmark::State& state, bool is_full) {
    plan<deadline_placement>(state, is_full);
}

void plan_first_fit(benchmark::State& state, bool is_full) {
    plan<first_fit_placement>(state, is_full);
}

void sizes(benchmark::internal::Benchmark* bench) {
    bench->Unit(benchmark::kMillisecond);
    for (const std::int64_t tasks : {360, 3'600, 36'000}) {
        for (const std::int64_t workers : {11, 50, 3'200}) {
            bench->Args({tasks, workers});
        }
    }
}

}  // namespace

BENCHMARK_CAPTURE(plan_deadline, free, false)->Apply(sizes);
BENCHMARK_CAPTURE(plan_deadline, full, true)->Apply(sizes);
BENCHMARK_CAPTURE(plan_first_fit, free, false)->Apply(sizes);
BENCHMARK_CAPTURE(plan_first_fit, full, true)->Apply(sizes);
BENCHMARK_MAIN();
