#pragma once

// The mutable state of one target: atomics that outlive snapshots.

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

// `ejected` targets get no request; once their backoff has passed, one request moves them to
// `probing`, and its outcome decides between `healthy` and `ejected`.
enum class health_state : std::uint8_t { healthy, ejected, probing };

inline constexpr std::int64_t never_ns = 0;
inline constexpr std::int64_t limit_unit = 1'000;
inline constexpr std::int64_t share_unit = 1'000'000;

inline std::int64_t to_ns(instant when) noexcept {
    return when.time_since_epoch().count();
}

// Calls check_invariant only for broken ones: the message is built on the request path otherwise.
template <class Message>
void check_invariant_lazily(bool holds, const Message& message) {
    if (!holds) {
        check_invariant(false, message());
    }
}

// Aligned to a cache line, so that requests to different targets do not contend.
struct alignas(64) target_counters {
    explicit target_counters(double initial_limit)
        : limit(static_cast<std::int64_t>(initial_limit * limit_unit)) {}

    std::atomic<std::uint32_t> outstanding{0};
    std::atomic<std::uint32_t> other_busy_slots{0};
    // In 1 / limit_unit of a request.
    std::atomic<std::int64_t> limit;
    std::atomic<std::int64_t> limit_lowered_at_ns{never_ns};
    std::atomic<std::int64_t> latency_ns{0};
    std::atomic<std::int64_t> base_latency_ns{0};
    std::atomic<std::int64_t> heard_at_ns{never_ns};
    // In 1 / share_unit.
    std::atomic<std::int64_t> failure_share{0};
    std::atomic<std::uint32_t> samples{0};
    std::atomic<std::uint32_t> consecutive_failures{0};
    std::atomic<std::int64_t> leaving_until_ns{never_ns};
    quantile_estimator p99{0.99};

    std::atomic<health_state> health{health_state::healthy};
    std::atomic<std::int64_t> probe_at_ns{never_ns};
    // When the target returned from an ejection; never_ns: no slow start.
    std::atomic<std::int64_t> returned_at_ns{never_ns};
    // Written under the pool's health mutex only.
    std::atomic<std::int64_t> backoff_ns{0};
    std::atomic<std::int64_t> ejected_at_ns{never_ns};

    // How much of the estimates still counts, 0 to 1: half after each half-life without a result.
    // A target that is avoided gives no samples, so its estimates must fade for it to be tried.
    [[nodiscard]] double kept_share(std::int64_t now_ns, nanoseconds half_life) const noexcept;
    [[nodiscard]] bool is_leaving(std::int64_t now_ns) const noexcept {
        return leaving_until_ns.load(std::memory_order_relaxed) > now_ns;
    }

    // The limit in force, at least 1, reduced during a slow start.
    [[nodiscard]] double effective_limit(std::int64_t now_ns,
                                         nanoseconds slow_start) const noexcept;
    // Counts a request unless `most` are outstanding.
    [[nodiscard]] bool try_start(double most) noexcept;
    void finish();
    // `weight` is that of the sample in the mean.
    void record_latency(nanoseconds sample, double weight, bool found_free_slot) noexcept;
    void record_result(bool failed) noexcept;
    [[nodiscard]] double failures() const noexcept {
        return static_cast<double>(failure_share.load(std::memory_order_relaxed)) / share_unit;
    }
};

// State of a service that outlives snapshots.
struct service_counters {
    std::atomic<bool> is_spilling{false};
    std::atomic<std::int64_t> latency_ns{0};
    // The earliest time at which an ejected target may be probed; the maximum if none is ejected.
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
