#pragma once

// Client-side routing: load balancing over targets, concurrency limits, outlier ejection, admission
// control, retries, hedging and detection of half-open connections.

// Include this header; it includes those under tanagerpaddle/routing/.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/routing/request_policies.hpp"
#include "tanagerpaddle/routing/strategies.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// Targets and outcomes

// A target as listed in the routing table.
struct route_target {
    target_id id;
    service_id service;
    worker_id worker;
    incarnation_number incarnation;
    endpoint data;
    endpoint control;
    failure_domain_id domain;
    // Requests that the target runs concurrently; at least 1.
    std::uint32_t slots = 8;
    // False for drained and leaving targets, which are never selected.
    bool accepts = true;
    // Maximum connections to the target; upper bound of its concurrency limit.
    std::uint32_t connections = 64;
};

// The result of one attempt to run a request on a target.
struct request_outcome {
    result_code code = result_code::ok;
    // Time from acquire to the response, failure or abandonment; zero if not measured.
    nanoseconds latency{0};
    // Busy slots that the target reported with its response, over requests of all entries.
    std::optional<std::uint32_t> busy_slots = std::nullopt;
};

// How a result counts towards the state of the target.
enum class outcome_kind : std::uint8_t {
    success,    // the target responded
    failure,    // counts towards ejection
    rejection,  // the target is overloaded: lowers its concurrency limit
    leaving,    // the target accepts no new requests
    neutral,    // not counted, for example a cancelled hedge
};

// An invalid request (class 1xx) counts as success, since the target responded.
[[nodiscard]] outcome_kind classify(result_code code) noexcept;

// ---------------------------------------------------------------------------------------------
// Outlier ejection

struct outlier_options {
    bool is_enabled = true;
    // A target becomes a candidate for ejection at this many consecutive failures, or at this share
    // of failed requests (0 to 1).
    std::uint32_t consecutive_failures = 5;
    double failure_share = 0.8;
    // It is ejected only if the mean failure share of the other targets is below this: otherwise
    // the fault is more likely in the network than in the target.
    double max_fleet_failure_share = 0.4;
    // Ejection time; doubles, up to the maximum, with each failed probe and each ejection within
    // `backoff_reset_after` of the end of the previous backoff.
    nanoseconds initial_backoff = std::chrono::seconds(1);
    nanoseconds max_backoff = std::chrono::seconds(60);
    // The backoff is reset to its initial value after this time without ejection.
    nanoseconds backoff_reset_after = std::chrono::minutes(5);
    // The limit of a reinstated target grows linearly from 1 over this time.
    nanoseconds slow_start = std::chrono::seconds(5);
};

// ---------------------------------------------------------------------------------------------
// The pool

struct pool_options {
    // nullptr: power_of_two_selection with its default options.
    std::shared_ptr<const selection_strategy> selection;
    // nullptr: aimd_limit with its default options.
    std::shared_ptr<const concurrency_limit_strategy> limit;
    outlier_options outliers;
    // A target that responded with result_code::leaving is not selected for this time.
    nanoseconds leaving_exclusion_time = std::chrono::seconds(10);
    // Weight of a sample in the exponentially weighted moving average (EWMA) of latency, 0 to 1.
    double latency_weight = 0.1;
    // A target's latency and failure share decay with this half-life while no results arrive, so
    // that a target that was slow or failing is selected again.
    nanoseconds latency_half_life = std::chrono::seconds(5);
    // Half-life of the reported load from other entries, which changes faster.
    nanoseconds load_half_life = milliseconds(500);
};

class target_pool;
class pool_state;
struct pool_entry;

// Permission to send one request to a target. If destroyed while held, it is released with
// result_code::cancelled_not_run. The pool must outlive its leases. Not thread-safe.
class target_lease {
public:
    target_lease(const target_lease&) = delete;
    target_lease& operator=(const target_lease&) = delete;
    target_lease(target_lease&& other) noexcept;
    target_lease& operator=(target_lease&& other) noexcept;
    ~target_lease();

    // The reference is valid while the lease is held, even after the target has left the pool.
    [[nodiscard]] const route_target& target() const noexcept;
    [[nodiscard]] bool is_local() const noexcept;
    // True if the outcome decides whether an ejected target is reinstated.
    [[nodiscard]] bool is_probe() const noexcept { return is_probe_; }
    [[nodiscard]] instant acquired_at() const noexcept { return acquired_at_; }
    // Estimated 99th percentile of the target's latency; zero before the first sample.
    [[nodiscard]] nanoseconds p99_latency() const noexcept;
    // False once released or moved from.
    [[nodiscard]] bool is_held() const noexcept { return entry_ != nullptr; }

private:
    friend class target_pool;
    target_lease(target_pool& pool, std::shared_ptr<const pool_entry> entry, bool is_probe,
                 instant acquired_at) noexcept;

    target_pool* pool_;
    std::shared_ptr<const pool_entry> entry_;
    bool is_probe_;
    instant acquired_at_;
};

struct acquisition {
    // Empty if no target could be acquired.
    std::optional<target_lease> lease;
    // ok with a lease; otherwise no_target (no target that accepts requests, is healthy and is not
    // excluded) or overloaded (all such targets are at their limit).
    result_code reason = result_code::ok;
};

struct acquire_options {
    // Whether the request may be sent to an ejected target as a probe; false for requests that must
    // not fail on a probe, such as non-idempotent ones.
    bool can_probe = true;
};

// A target's state, for operators and metrics.
struct target_status {
    target_id id;
    service_id service;
    failure_domain_id domain;
    std::uint32_t outstanding = 0;
    double limit = 0;  // concurrency limit, reduced during slow start
    nanoseconds latency{0};
    nanoseconds p99_latency{0};
    double failure_share = 0;
    bool is_ejected = false;
    bool is_leaving = false;
    bool accepts = false;
};

// The targets of all services. Thread-safe: acquire and release take no lock, except that release
// takes one to eject or reinstate a target. The snapshot of targets is replaced by
// read-copy-update.
class target_pool {
public:
    // `time` must outlive the pool. `local_domain` is the failure domain of this entry.
    target_pool(const pool_options& options, const clock& time, failure_domain_id local_domain);
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;
    // No other call may be in progress and no lease may be held.
    ~target_pool();

    // Replaces all targets. A target whose id, incarnation and service are unchanged keeps its
    // counters. If an id is listed more than once, its last target is used. Blocks until no reader
    // uses the old snapshot (usually less than a millisecond); must not be called from within
    // another call of the pool on the same thread.
    void replace(std::vector<route_target> targets);

    // Selects a target of the service that is not excluded and counts an outstanding request.
    [[nodiscard]] acquisition acquire(const service_id& service,
                                      const std::vector<target_id>& excluded, random_source& random,
                                      const acquire_options& options = {});
    // Releases the lease and records the outcome. No effect if the lease is not held.
    void release(target_lease& lease, const request_outcome& outcome);

    // All targets of the current snapshot, sorted by service and id.
    [[nodiscard]] std::vector<target_status> status() const;

private:
    std::unique_ptr<pool_state> state_;
};

}  // namespace tanagerpaddle
