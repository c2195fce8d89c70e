#pragma once

// Part of tanagerpaddle/routing.hpp: admission control, retries, hedging, half-open connections.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

using std::chrono::nanoseconds;

// ---------------------------------------------------------------------------------------------
// Admission

// Identifies a waiting request within one queue; increases with each admitted request.
using ticket_number = strong_number<struct ticket_tag>;

struct waiting_request {
    deadline until;
    request_priority priority = request_priority::standard;
    team_id team;
};

struct admission_options {
    // Maximum number of waiting requests; bounds the memory of the queue.
    std::size_t max_waiting = 256;
    // Minimum time to the deadline, as a multiple of the mean service time, when a request gets a
    // slot after waiting. Under overload, slots used by requests that just miss their deadline are
    // wasted; with the usual variance of service times three times the mean covers about 95% of the
    // requests.
    double min_service_time_multiple = 3.0;
};

// Estimated capacity of the service that the queue feeds.
struct admission_capacity {
    // Total slots of the service's targets; 0 if it has no targets.
    std::uint32_t slots = 0;
    // Expected time that a request occupies a slot.
    nanoseconds service_time{0};
};

struct admission_result {
    // Empty if the request is refused.
    std::optional<ticket_number> ticket;
    // ok; deadline_exceeded_not_run (cannot meet its deadline even in a free slot); overloaded (the
    // deadline would pass while it waits, or the queue is full and it is the request to be shed);
    // no_target.
    result_code code = result_code::ok;
    // Waiting requests removed to admit this one; the caller fails them with overloaded.
    std::vector<ticket_number> shed;
};

struct dequeue_result {
    // Empty if no request is left.
    std::optional<ticket_number> ticket;
    // Requests removed because they can no longer meet their deadline; the caller fails them with
    // deadline_exceeded_not_run.
    std::vector<ticket_number> expired;
};

// Requests of one service that wait for a free slot. Not thread-safe: callers hold a mutex.
class admission_queue {
public:
    // `time` must outlive the queue.
    admission_queue(const admission_options& options, const clock& time);

    // Admits the request if its deadline allows for the expected wait and service time. If the
    // queue is full, sheds one request, possibly the offered one: the lowest priority first, then
    // the team furthest above its fair share of the queue, then the latest deadline.
    [[nodiscard]] admission_result offer(const waiting_request& request,
                                         const admission_capacity& capacity);
    // Removes and returns the request for a free slot: the earliest deadline of the highest
    // priority.
    [[nodiscard]] dequeue_result dequeue(const admission_capacity& capacity);
    // Removes a waiting request. False if it is not waiting.
    bool cancel(ticket_number ticket);

    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }
    // Expected time until a request with this deadline and priority gets a slot.
    [[nodiscard]] nanoseconds expected_wait(const waiting_request& request,
                                            const admission_capacity& capacity) const;

private:
    // Sort order: descending priority, then ascending deadline and ticket.
    using order_key = std::tuple<int, deadline, ticket_number>;

    [[nodiscard]] static order_key key_of(const waiting_request& request, ticket_number ticket);
    [[nodiscard]] order_key choose_victim() const;
    void remove(const order_key& key);
    [[nodiscard]] nanoseconds needed_time(const admission_capacity& capacity) const;

    admission_options options_;
    const clock& time_;
    std::map<order_key, waiting_request> waiting_;
    std::unordered_map<ticket_number, order_key> keys_;
    std::unordered_map<team_id, std::size_t> waiting_by_team_;
    ticket_number last_ticket_;
};

// ---------------------------------------------------------------------------------------------
// Retries and hedging

// Decides whether a request may be retried. Implementations are thread-safe.
class retry_policy {
public:
    retry_policy() = default;
    retry_policy(const retry_policy&) = delete;
    retry_policy& operator=(const retry_policy&) = delete;
    virtual ~retry_policy() = default;

    // Records the first attempt of a request.
    virtual void on_request() noexcept = 0;
    // True if one more attempt may be sent; deducts it from the budget.
    [[nodiscard]] virtual bool try_retry() noexcept = 0;
};

// Baseline: allows each retry.
class unlimited_retries final : public retry_policy {
public:
    void on_request() noexcept override {}
    [[nodiscard]] bool try_retry() noexcept override { return true; }
};

struct retry_budget_options {
    // Retries that each request adds to the budget.
    double retries_per_request = 0.1;
    // Retries per second that are allowed regardless of the number of requests.
    double min_retries_per_second = 3;
    // Maximum number of unused retries that are saved.
    double burst = 30;
};

// Limits retries and hedges to a fraction of the requests, so that failures of an overloaded system
// do not multiply its load. Lock-free.
class retry_budget final : public retry_policy {
public:
    // `time` must outlive the budget, which starts with one second of the minimum rate.
    explicit retry_budget(const clock& time, const retry_budget_options& options = {});
    void on_request() noexcept override;
    [[nodiscard]] bool try_retry() noexcept override;

private:
    void refill() noexcept;
    void add(std::int64_t amount) noexcept;

    const clock& time_;
    std::int64_t request_credit_;
    double min_retries_per_second_;
    std::int64_t max_credit_;
    // In thousandths of a retry; never negative.
    std::atomic<std::int64_t> credit_;
    std::atomic<std::int64_t> refilled_at_ns_;
};

// Streaming estimator of one quantile of durations in constant memory: each sample changes the
// estimate by a small fraction of its value. Thread-safe and lock-free; concurrent samples may be
// lost.
class quantile_estimator {
public:
    // `quantile` in (0, 1), for example 0.95.
    explicit quantile_estimator(double quantile) : quantile_(quantile) {}
    void record(nanoseconds sample) noexcept;
    // Zero before the first sample.
    [[nodiscard]] nanoseconds value() const noexcept;
    [[nodiscard]] std::uint64_t count() const noexcept;

private:
    double quantile_;
    std::atomic<std::int64_t> value_ns_{0};
    std::atomic<std::uint64_t> count_{0};
};

struct hedge_options {
    // Minimum number of latency samples of a method before its p95 is used.
    std::uint64_t min_samples = 50;
    nanoseconds min_delay = milliseconds(1);
};

// Decides when a second attempt of a slow request is sent to another target. Thread-safe.
class hedge_policy {
public:
    // `budget` must outlive the policy; it is shared with retries.
    explicit hedge_policy(retry_policy& budget, const hedge_options& options = {})
        : budget_(budget), options_(options) {}

    // When to send a hedge of the request sent at `sent`; empty if the method is not idempotent,
    // has too few latency samples, or `until` comes first. `method_p95` estimates the p95 latency
    // of the method.
    [[nodiscard]] std::optional<instant> hedge_at(instant sent, deadline until, bool is_idempotent,
                                                  const quantile_estimator& method_p95) const;
    // To be called when the hedge is due. True if the budget allows it; deducts it.
    [[nodiscard]] bool try_hedge() noexcept { return budget_.try_retry(); }

private:
    retry_policy& budget_;
    hedge_options options_;
};

// ---------------------------------------------------------------------------------------------
// Half-open connections

struct half_open_options {
    // An idle connection is reused up to this time after its last response.
    nanoseconds max_idle_time = std::chrono::seconds(10);
    // First-byte timeout as a share of the time left to the deadline.
    double first_byte_timeout_share = 1.0 / 3.0;
    // Minimum first-byte timeout as a multiple of the target's p99 latency, so that a slow response
    // on a healthy connection is not treated as a half-open connection.
    double min_p99_multiple = 1.0;
};

// Detects half-open connections by timeouts. A half-open connection accepts requests but never
// returns a response, and the operating system detects this only after minutes.
class half_open_detector {
public:
    explicit half_open_detector(const half_open_options& options = {}) : options_(options) {}

    // True if an idle connection whose last response came at `last_response` may be reused.
    [[nodiscard]] bool can_reuse(instant last_response, instant now) const noexcept;
    // When a request sent at `sent` times out if no byte of the response has arrived; never later
    // than `until`. `target_p99` is zero if not known.
    [[nodiscard]] instant first_byte_deadline(instant sent, deadline until,
                                              nanoseconds target_p99) const noexcept;

private:
    half_open_options options_;
};

}  // namespace tanagerpaddle
