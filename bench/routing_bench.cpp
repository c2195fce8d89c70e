// Cost of acquire and release against pools of several sizes, on one and four threads.

#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tanagerpaddle/routing.hpp"

namespace {

using namespace tanagerpaddle;

const service_id service("quotes");

// One pool for each size, shared by the threads of a run. A tenth of the targets is local, as in
// a fleet of several failure domains.
target_pool& pool_of(int targets) {
    static const system_clock time;
    static std::mutex mutex;
    static std::map<int, std::unique_ptr<target_pool>> pools;
    const std::lock_guard lock(mutex);
    auto& pool = pools[targets];
    if (!pool) {
        pool = std::make_unique<target_pool>(pool_options{}, time, failure_domain_id("a"));
        std::vector<route_target> list;
        for (int number = 0; number < targets; ++number) {
            route_target target;
            target.id = target_id("target-" + std::to_string(number));
            target.service = service;
            target.domain = failure_domain_id(number % 10 == 0 ? "a" : "b");
            list.push_back(target);
        }
        pool->replace(list);
    }
    return *pool;
}

void acquire_and_release(benchmark::State& state) {
    target_pool& pool = pool_of(static_cast<int>(state.range(0)));
    random_source random(static_cast<std::uint64_t>(state.thread_index()) + 1);
    request_outcome outcome;
    outcome.latency = milliseconds(20);
    outcome.busy_slots = 3;
    const std::vector<target_id> none;
    for (auto step : state) {
        (void)step;
        auto acquired = pool.acquire(service, none, random);
        if (acquired.lease) {
            pool.release(*acquired.lease, outcome);
        } else {
            state.SkipWithError("nothing acquired");
        }
    }
    state.SetItemsProcessed(state.iterations());
}

}  // namespace

// NOLINTNEXTLINE(cppcoreguidelines-owning-memory)
BENCHMARK(acquire_and_release)
    ->Arg(10)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(3200)
    ->Threads(1)
    ->Threads(4)
    ->UseRealTime();
