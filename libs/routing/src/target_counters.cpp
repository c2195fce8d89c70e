#include "target_counters.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerpaddle {

namespace {

// Concurrent updates may lose a sample: the value is an estimate.
void move_towards(std::atomic<std::int64_t>& mean, std::int64_t sample, double weight) noexcept {
    const auto old = mean.load(std::memory_order_relaxed);
    const auto moved = static_cast<double>(old) + weight * static_cast<double>(sample - old);
    mean.store(std::llround(moved), std::memory_order_relaxed);
}

void record_mean(std::atomic<std::int64_t>& mean, std::int64_t sample, double weight) noexcept {
    if (mean.load(std::memory_order_relaxed) == 0) {
        mean.store(sample, std::memory_order_relaxed);
        return;
    }
    move_towards(mean, sample, weight);
}

}  // namespace

double target_counters::effective_limit(std::int64_t now_ns,
                                        nanoseconds slow_start) const noexcept {
    const double full = static_cast<double>(limit.load(std::memory_order_relaxed)) /
                        static_cast<double>(limit_unit);
    const auto returned = returned_at_ns.load(std::memory_order_relaxed);
    if (returned == never_ns || now_ns - returned >= slow_start.count()) {
        return full;
    }
    const double part =
        static_cast<double>(now_ns - returned) / static_cast<double>(slow_start.count());
    return std::max(1.0, full * part);
}

double target_counters::kept_share(std::int64_t now_ns, nanoseconds half_life) const noexcept {
    const auto age = now_ns - heard_at_ns.load(std::memory_order_relaxed);
    // exp2 costs more than the rest of a decision; busy targets skip it.
    if (age * 100 <= half_life.count()) {
        return 1;
    }
    return std::exp2(-static_cast<double>(age) / static_cast<double>(half_life.count()));
}

bool target_counters::try_start(double most) noexcept {
    auto count = outstanding.load(std::memory_order_relaxed);
    while (static_cast<double>(count) + 1 <= most) {
        if (outstanding.compare_exchange_weak(count, count + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void target_counters::finish() {
    const auto before = outstanding.fetch_sub(1, std::memory_order_relaxed);
    check_invariant_lazily(
        before > 0, [] { return std::string("outstanding requests of a target below zero"); });
}

void target_counters::record_latency(nanoseconds sample, double weight,
                                     bool found_free_slot) noexcept {
    // The base follows more slowly: it tells load from service time, which changes rarely.
    constexpr double base_weight_ratio = 0.2;
    record_mean(latency_ns, sample.count(), weight);
    if (found_free_slot) {
        record_mean(base_latency_ns, sample.count(), weight * base_weight_ratio);
    }
}

void target_counters::record_result(bool failed) noexcept {
    // The first samples count equally, so that a target that only ever failed shows it at once.
    constexpr double least_weight = 0.1;
    const auto before = samples.fetch_add(1, std::memory_order_relaxed);
    const double weight = std::max(least_weight, 1.0 / (static_cast<double>(before) + 1));
    move_towards(failure_share, failed ? share_unit : 0, weight);
    if (failed) {
        consecutive_failures.fetch_add(1, std::memory_order_relaxed);
    } else {
        consecutive_failures.store(0, std::memory_order_relaxed);
    }
}

}  // namespace tanagerpaddle
