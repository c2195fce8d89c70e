#include <doctest/doctest.h>

#include <thread>

#include "pool_fixture.hpp"

using namespace tanagerpaddle;

namespace {

constexpr int worker_threads = 4;
constexpr int requests_per_thread = 20'000;

// Runs requests with mixed results; each lease is released by the thread that acquired it.
void run_requests(target_pool& pool, std::uint64_t seed, std::atomic<int>& refused) {
    random_source random(seed);
    std::vector<target_lease> held;
    for (int request = 0; request < requests_per_thread; ++request) {
        auto acquired = pool.acquire(quotes, {}, random);
        if (acquired.lease) {
            held.push_back(std::move(*acquired.lease));
        } else {
            refused.fetch_add(1);
        }
        if (held.size() < 8 && acquired.reason == result_code::ok) {
            continue;
        }
        for (auto& lease : held) {
            const bool fails = lease.target().id.value() == "t0" || random.chance(0.02);
            auto outcome = outcome_of(fails ? result_code::target_failed : result_code::ok, 5);
            outcome.busy_slots = static_cast<std::uint32_t>(random.below(9));
            pool.release(lease, outcome);
        }
        held.clear();
    }
}

// Adds, removes, drains and restarts targets until the flag is set.
void change_targets(target_pool& pool, const std::atomic<bool>& is_done) {
    random_source random(99);
    for (std::uint64_t round = 1; !is_done.load(); ++round) {
        std::vector<route_target> targets;
        for (int number = 0; number < 12; ++number) {
            if (number < 4 || random.chance(0.7)) {
                const std::uint64_t incarnation = number < 8 ? 1 : round;
                targets.push_back(make_target(number, number % 2 == 0 ? "a" : "b", incarnation));
                targets.back().accepts = number < 4 || random.chance(0.8);
            }
        }
        pool.replace(std::move(targets));
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
}

}  // namespace

// Guards against use of a freed snapshot or target, lost counts and invalid health transitions when
// requests run concurrently with changes of the routing table. Intended for sanitizer builds.
TEST_CASE("requests run concurrently with changes of the targets") {
    const system_clock time;
    pool_options options;
    options.outliers.initial_backoff = milliseconds(2);
    options.outliers.max_backoff = milliseconds(20);
    options.outliers.slow_start = milliseconds(5);
    target_pool pool(options, time, failure_domain_id("a"));
    pool.replace(make_targets(4));
    std::atomic<int> refused{0};
    std::atomic<bool> is_done{false};
    std::thread changes(change_targets, std::ref(pool), std::cref(is_done));
    std::vector<std::thread> threads;
    for (std::uint64_t seed = 1; seed <= worker_threads; ++seed) {
        threads.emplace_back(run_requests, std::ref(pool), seed, std::ref(refused));
    }
    for (auto& thread : threads) {
        thread.join();
    }
    is_done.store(true);
    changes.join();
    CHECK(refused.load() < worker_threads * requests_per_thread);
    for (const auto& status : pool.status()) {
        INFO(status.id.value() << " limit " << status.limit);
        CHECK(status.outstanding == 0);
        CHECK(status.limit >= 1);
        CHECK(status.limit <= 64);
    }
}

// Guards against races in the lock-free counter that admit more requests than the limit.
TEST_CASE("concurrent acquires never exceed the limit of a target") {
    const system_clock time;
    pool_options options;
    options.limit = std::make_shared<fixed_limit>(8);
    target_pool pool(options, time, failure_domain_id("a"));
    pool.replace(make_targets(1));
    std::atomic<int> held{0};
    std::atomic<int> max_held{0};
    const auto work = [&](std::uint64_t seed) {
        random_source random(seed);
        for (int request = 0; request < 5'000; ++request) {
            auto acquired = pool.acquire(quotes, {}, random);
            if (!acquired.lease) {
                continue;
            }
            const int now = held.fetch_add(1) + 1;
            int old_max = max_held.load();
            while (now > old_max && !max_held.compare_exchange_weak(old_max, now)) {
            }
            std::this_thread::yield();
            held.fetch_sub(1);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t seed = 1; seed <= 2 * worker_threads; ++seed) {
        threads.emplace_back(work, seed);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(max_held.load() <= 8);
    CHECK(status_of(pool, "t0").outstanding == 0);
}
