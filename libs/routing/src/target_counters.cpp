#include "target_counters.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerpaddle {

namespace {

// Concurrent updates may lose samples, which is acceptable for an estimate.
void update_average(std::atomic<std::int64_t>& mean, std::int64_t sample, double weight) noexcept {
    const auto old = mean.load(std::memory_order_relaxed);
    const auto updated = static_cast<double>(old) + weight * static_cast<double>(sample - old);
    mean.store(std::llround(updated), std::memory_order_relaxed);
}

void record_sample(std::atomic<std::int64_t>& mean, std::int64_t sample, double weight) noexcept {
    if (mean.load(std::memory_order_relaxed) == 0) {
        mean.store(sample, std::memory_order_relaxed);
        return;
    }
    update_average(mean, sample, weight);
}

}  // namespace

double target_counters::effective_limit(std::int64_t now_ns,
                                        nanoseconds slow_start) const noexcept {
    const double full_limit = static_cast<double>(limit.load(std::memory_order_relaxed)) /
                              static_cast<double>(limit_scale);
    const auto reinstated_at = reinstated_at_ns.load(std::memory_order_relaxed);
    if (reinstated_at == never_ns || now_ns - reinstated_at >= slow_start.count()) {
        return full_limit;
    }
    const double ramp_fraction =
        static_cast<double>(now_ns - reinstated_at) / static_cast<double>(slow_start.count());
    return std::max(1.0, full_limit * ramp_fraction);
}

double target_counters::decay_factor(std::int64_t now_ns, nanoseconds half_life) const noexcept {
    const auto age = now_ns - last_result_at_ns.load(std::memory_order_relaxed);
    // exp2 costs more than the rest of a selection; skipped for targets with recent results.
    if (age * 100 <= half_life.count()) {
        return 1;
    }
    return std::exp2(-static_cast<double>(age) / static_cast<double>(half_life.count()));
}

bool target_counters::try_start(double max_outstanding) noexcept {
    auto count = outstanding.load(std::memory_order_relaxed);
    while (static_cast<double>(count) + 1 <= max_outstanding) {
        if (outstanding.compare_exchange_weak(count, count + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void target_counters::finish() {
    const auto before = outstanding.fetch_sub(1, std::memory_order_relaxed);
    check_invariant_lazily(before > 0, [] {
        return std::string("request finished on a target with 0 outstanding requests");
    });
}

void target_counters::record_latency(nanoseconds sample, double weight,
                                     bool found_free_slot) noexcept {
    // The base latency is averaged over more samples: it is the reference that separates load from
    // service time, which changes rarely.
    constexpr double base_weight_ratio = 0.2;
    record_sample(latency_ns, sample.count(), weight);
    if (found_free_slot) {
        record_sample(base_latency_ns, sample.count(), weight * base_weight_ratio);
    }
}

void target_counters::record_result(bool failed) noexcept {
    // The first samples are weighted equally, so that a target that always fails is detected early.
    constexpr double min_weight = 0.1;
    const auto before = samples.fetch_add(1, std::memory_order_relaxed);
    const double weight = std::max(min_weight, 1.0 / (static_cast<double>(before) + 1));
    update_average(failure_share, failed ? failure_share_scale : 0, weight);
    if (failed) {
        consecutive_failures.fetch_add(1, std::memory_order_relaxed);
    } else {
        consecutive_failures.store(0, std::memory_order_relaxed);
    }
}

}  // namespace tanagerpaddle
