#pragma once

// Decides which target serves a request, how many requests a target gets, which requests wait or
// are shed, and when a request is retried, hedged or abandoned.

// This is the header to include; those under tanagerpaddle/routing/ are its parts.

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

// A target as the routing table knows it.
struct route_target {
    target_id id;
    service_id service;
    worker_id worker;
    incarnation_number incarnation;
    endpoint data;
    endpoint control;
    failure_domain_id domain;
    // Requests that the target runs at a time; at least 1.
    std::uint32_t slots = 8;
    // False for drained and leaving targets: they are never selected.
    bool accepts = true;
    // Connections that the target takes; the concurrency limit never exceeds it.
    std::uint32_t connections = 64;
};

// What one try against a target came to.
struct request_outcome {
    result_code code = result_code::ok;
    // From acquire to the answer, the failure or the abandonment; zero if not measured.
    nanoseconds latency{0};
    // Slots busy at the target when it answered, all entries' requests included.
    std::optional<std::uint32_t> busy_slots = std::nullopt;
};

// What a result says about the target that gave it.
enum class outcome_kind : std::uint8_t {
    success,    // the target answered
    failure,    // counts towards ejection
    rejection,  // the target is full: lowers its concurrency limit
    leaving,    // the target takes no new work
    neutral,    // says nothing about the target, for example a cancelled hedge
};

// A faulty request (class 1xx) is a success of the target: it answered.
[[nodiscard]] outcome_kind classify(result_code code) noexcept;

// ---------------------------------------------------------------------------------------------
// Outlier ejection

struct outlier_options {
    bool is_enabled = true;
    // A target is examined after this many failures in a row, or at this share of failures.
    std::uint32_t consecutive_failures = 5;
    double failure_share = 0.8;
    // It is ejected only if the other targets fail less than this share: otherwise the fault is
    // more likely on the path than in the target.
    double max_fleet_failure_share = 0.4;
    // Ejection time; doubles with each failed probe and each ejection soon after a return.
    nanoseconds initial_backoff = std::chrono::seconds(1);
    nanoseconds max_backoff = std::chrono::seconds(60);
    // The backoff starts anew after this time without ejection.
    nanoseconds backoff_reset_after = std::chrono::minutes(5);
    // A returned target's limit grows linearly from 1 over this time.
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
    // A target that answered "leaving" is not selected for this time.
    nanoseconds leaving_exclusion_time = std::chrono::seconds(10);
    // Weight of a latency sample in the decaying mean.
    double latency_weight = 0.1;
    // After this time without a result, half of a target's latency and share of failures is
    // forgotten, so that a target that was slow or failing is tried again.
    nanoseconds latency_half_life = std::chrono::seconds(5);
    // The same for the load that other entries put on a target, which changes faster.
    nanoseconds load_half_life = milliseconds(500);
};

class target_pool;
class pool_state;
struct pool_entry;

// The right to send one request to a target. Released as cancelled_not_run if it is destroyed
// without release. The pool must outlive its leases. Used by one thread at a time.
class target_lease {
public:
    target_lease(const target_lease&) = delete;
    target_lease& operator=(const target_lease&) = delete;
    target_lease(target_lease&& other) noexcept;
    target_lease& operator=(target_lease&& other) noexcept;
    ~target_lease();

    // Valid as long as the lease exists, also after the target has left the pool.
    [[nodiscard]] const route_target& target() const noexcept;
    [[nodiscard]] bool is_local() const noexcept;
    // True if the request decides whether an ejected target returns.
    [[nodiscard]] bool is_probe() const noexcept { return is_probe_; }
    [[nodiscard]] instant acquired_at() const noexcept { return acquired_at_; }
    // Estimate of the target's 99th percentile of latency; zero if nothing is known.
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
    // Nothing if no target could be acquired.
    std::optional<target_lease> lease;
    // ok with a lease; otherwise no_target (none exists, accepts or is healthy, or all are
    // excluded) or overloaded (those that could serve are all at their limit).
    result_code reason = result_code::ok;
};

struct acquire_options {
    // Whether the request may be the probe of an ejected target; false for requests that must not
    // fail for that reason, such as non-idempotent ones.
    bool can_probe = true;
};

// A target's state, for operators and metrics.
struct target_status {
    target_id id;
    service_id service;
    failure_domain_id domain;
    std::uint32_t outstanding = 0;
    double limit = 0;  // slow start included
    nanoseconds latency{0};
    nanoseconds p99_latency{0};
    double failure_share = 0;
    bool is_ejected = false;
    bool is_leaving = false;
    bool accepts = false;
};

// The targets of all services. Thread-safe: acquire and release take no lock (release takes one
// only to eject or return a target); the snapshot of targets is replaced by read-copy-update.
class target_pool {
public:
    // `time` must outlive the pool. `own` is the failure domain of this entry.
    target_pool(const pool_options& options, const clock& time, failure_domain_id own);
    target_pool(const target_pool&) = delete;
    target_pool& operator=(const target_pool&) = delete;
    // No other call may be in progress and no lease may be held.
    ~target_pool();

    // Publishes the list as a whole. A target with known id and incarnation keeps its counters.
    // Of targets with equal id the last counts. Waits for readers of the old snapshot (usually
    // less than a millisecond); must not be called while another call of this thread is active.
    void replace(std::vector<route_target> targets);

    // Selects a target of the service that is not excluded, and counts a request against it.
    [[nodiscard]] acquisition acquire(const service_id& service,
                                      const std::vector<target_id>& excluded, random_source& random,
                                      const acquire_options& options = {});
    // Ends the lease and learns from the outcome. Does nothing if the lease is not held.
    void release(target_lease& lease, const request_outcome& outcome);

    // All targets of the snapshot, by service and id.
    [[nodiscard]] std::vector<target_status> status() const;

private:
    std::unique_ptr<pool_state> state_;
};

}  // namespace tanagerpaddle
