#pragma once

// State of targets and services that is kept across snapshots.

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

// An `ejected` target gets no requests. After its backoff, one request is sent as a probe and the
// target is `probing`; the outcome moves it to `healthy` or back to `ejected`.
enum class health_state : std::uint8_t { healthy, ejected, probing };

inline constexpr std::int64_t never_ns = 0;
inline constexpr std::int64_t limit_scale = 1'000;
inline constexpr std::int64_t failure_share_scale = 1'000'000;

inline std::int64_t to_ns(instant when) noexcept {
    return when.time_since_epoch().count();
}

// As check_invariant, but builds the message only on violation, as it runs on the request path.
template <class Message>
void check_invariant_lazily(bool holds, const Message& message) {
    if (!holds) {
        check_invariant(false, message());
    }
}

// Counters of one target. Aligned to a cache line to avoid false sharing between targets.
struct alignas(64) target_counters {
    explicit target_counters(double initial_limit)
        : limit(static_cast<std::int64_t>(initial_limit * limit_scale)) {}

    std::atomic<std::uint32_t> outstanding{0};
    std::atomic<std::uint32_t> other_busy_slots{0};
    // In 1 / limit_scale of a request.
    std::atomic<std::int64_t> limit;
    std::atomic<std::int64_t> limit_lowered_at_ns{never_ns};
    std::atomic<std::int64_t> latency_ns{0};
    std::atomic<std::int64_t> base_latency_ns{0};
    std::atomic<std::int64_t> last_result_at_ns{never_ns};
    // In 1 / failure_share_scale.
    std::atomic<std::int64_t> failure_share{0};
    std::atomic<std::uint32_t> samples{0};
    std::atomic<std::uint32_t> consecutive_failures{0};
    std::atomic<std::int64_t> leaving_until_ns{never_ns};
    quantile_estimator p99{0.99};

    std::atomic<health_state> health{health_state::healthy};
    std::atomic<std::int64_t> probe_at_ns{never_ns};
    // When the target was last reinstated; never_ns: no slow start.
    std::atomic<std::int64_t> reinstated_at_ns{never_ns};
    // Written only while the pool's health mutex is held.
    std::atomic<std::int64_t> backoff_ns{0};
    std::atomic<std::int64_t> ejected_at_ns{never_ns};

    // Factor in (0, 1] by which estimates have decayed: halves with each half-life without a
    // result. A target that is not selected gives no samples, so its estimates must decay for it to
    // be selected again.
    [[nodiscard]] double decay_factor(std::int64_t now_ns, nanoseconds half_life) const noexcept;
    [[nodiscard]] bool is_leaving(std::int64_t now_ns) const noexcept {
        return leaving_until_ns.load(std::memory_order_relaxed) > now_ns;
    }

    // The concurrency limit, at least 1, reduced during slow start.
    [[nodiscard]] double effective_limit(std::int64_t now_ns,
                                         nanoseconds slow_start) const noexcept;
    // Counts an outstanding request unless that exceeds `max_outstanding`.
    [[nodiscard]] bool try_start(double max_outstanding) noexcept;
    void finish();
    // `weight` is the weight of the sample in the moving average.
    void record_latency(nanoseconds sample, double weight, bool found_free_slot) noexcept;
    void record_result(bool failed) noexcept;
    [[nodiscard]] double current_failure_share() const noexcept {
        return static_cast<double>(failure_share.load(std::memory_order_relaxed)) /
               failure_share_scale;
    }
};

// Counters of one service.
struct service_counters {
    std::atomic<bool> is_spilling{false};
    std::atomic<std::int64_t> latency_ns{0};
    // Earliest time at which an ejected target may be probed; INT64_MAX if none is ejected.
    std::atomic<std::int64_t> next_probe_ns{INT64_MAX};
};

// One target of a snapshot.
struct pool_entry {
    route_target target;
    bool is_local = false;
    std::shared_ptr<target_counters> counters;
    std::shared_ptr<service_counters> service;
};

}  // namespace tanagerpaddle
