#pragma once

// Part of tanagerpaddle/routing.hpp: admission, retries, hedges and half-open connections.

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

// Identifies a waiting request within one queue; grows with each offer.
using ticket_number = strong_number<struct ticket_tag>;

struct waiting_request {
    deadline until;
    request_priority priority = request_priority::standard;
    team_id team;
};

struct admission_options {
    // Requests that wait at most; the memory bound of the queue.
    std::size_t max_waiting = 256;
    // Multiple of the mean service time that a request must have left when it gets a slot after
    // waiting. Under overload, slots spent on requests that just miss their deadline are lost; with
    // the usual spread of service times three times the mean covers about 95% of the requests.
    double min_service_time_multiple = 3.0;
};

// The capacity behind a queue, as far as it is known.
struct admission_capacity {
    // Slots of the service's targets; 0 if there are none.
    std::uint32_t slots = 0;
    // Expected time of one request in a slot.
    nanoseconds service_time{0};
};

struct admission_result {
    // Nothing if the request is refused.
    std::optional<ticket_number> ticket;
    // ok; deadline_exceeded_not_run (too late even for a free slot); overloaded (the deadline
    // would pass in the queue, or the request is the first to be shed); no_target.
    result_code code = result_code::ok;
    // Waiting requests that lost their place to this one: answered as overloaded.
    std::vector<ticket_number> shed;
};

struct dequeue_result {
    std::optional<ticket_number> ticket;
    // Removed requests that could no longer meet their deadline: answered as
    // deadline_exceeded_not_run.
    std::vector<ticket_number> expired;
};

// Requests of one service that wait for a free slot. Not thread-safe: callers hold a mutex.
class admission_queue {
public:
    // `time` must outlive the queue.
    admission_queue(const admission_options& options, const clock& time);

    // Admits the request if its deadline allows for the expected wait and service time. If the
    // queue is full, one request is shed: of the lowest priority, then of the team furthest above
    // its fair share of the queue, then with the latest deadline; possibly the offered one.
    [[nodiscard]] admission_result offer(const waiting_request& request,
                                         const admission_capacity& capacity);
    // The request to run now that a slot is free: the earliest deadline of the highest priority.
    [[nodiscard]] dequeue_result dequeue(const admission_capacity& capacity);
    // Removes a request whose caller gave up. False if it is not waiting.
    bool cancel(ticket_number ticket);

    [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }
    // The time after which a request of that deadline and priority would get a slot.
    [[nodiscard]] nanoseconds expected_wait(const waiting_request& request,
                                            const admission_capacity& capacity) const;

private:
    // Order of service: priority descending, deadline, ticket.
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
// Retries and hedges

// Decides whether a further try may be sent. Implementations are thread-safe.
class retry_policy {
public:
    retry_policy() = default;
    retry_policy(const retry_policy&) = delete;
    retry_policy& operator=(const retry_policy&) = delete;
    virtual ~retry_policy() = default;

    // Counts the first try of a request.
    virtual void on_request() noexcept = 0;
    // True if one more try may be sent; takes it from the budget.
    [[nodiscard]] virtual bool try_retry() noexcept = 0;
};

// Baseline: each retry is allowed.
class unlimited_retries final : public retry_policy {
public:
    void on_request() noexcept override {}
    [[nodiscard]] bool try_retry() noexcept override { return true; }
};

struct retry_budget_options {
    // Retries for each request.
    double retries_per_request = 0.1;
    // Retries that are allowed in any case.
    double min_retries_per_second = 3;
    // Unused retries that are kept.
    double burst = 30;
};

// Bounds retries and hedges to a share of the requests, so that failures of an overloaded system
// do not multiply its load. Takes no lock.
class retry_budget final : public retry_policy {
public:
    // `time` must outlive the budget, which starts with one second's worth of least retries.
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

// Estimate of one quantile of a stream of durations in constant memory: each sample moves the
// estimate by a small share of itself. Thread-safe without lock; concurrent samples may be lost.
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
    // Answers of a method that must have been seen before its p95 is used.
    std::uint64_t min_samples = 50;
    nanoseconds min_delay = milliseconds(1);
};

// Decides when a second try of a slow request is sent to another target. Thread-safe.
class hedge_policy {
public:
    // `budget` must outlive the policy and is the one that retries use.
    explicit hedge_policy(retry_policy& budget, const hedge_options& options = {})
        : budget_(budget), options_(options) {}

    // When a hedge of the request sent at `sent` is due; nothing if the method is not idempotent,
    // its p95 is not known yet, or `until` comes first. `method_p95` is the estimate of the method.
    [[nodiscard]] std::optional<instant> hedge_at(instant sent, deadline until, bool is_idempotent,
                                                  const quantile_estimator& method_p95) const;
    // To be called when the hedge is due: true if the budget allows it.
    [[nodiscard]] bool try_hedge() noexcept { return budget_.try_retry(); }

private:
    retry_policy& budget_;
    hedge_options options_;
};

// ---------------------------------------------------------------------------------------------
// Half-open connections

struct half_open_options {
    // An idle connection is reused for this time after its last answer.
    nanoseconds max_idle_time = std::chrono::seconds(10);
    // Part of the remaining budget that a request waits for its first byte.
    double first_byte_timeout_share = 1.0 / 3.0;
    // The wait is at least this multiple of the target's p99, so that a slow answer of a healthy
    // connection is not taken for a half-open connection.
    double min_p99_multiple = 1.0;
};

// Decides by time alone whether a connection still works. A half-open connection takes requests
// and never answers, and the operating system notices only after minutes.
class half_open_detector {
public:
    explicit half_open_detector(const half_open_options& options = {}) : options_(options) {}

    // True if an idle connection whose last answer came at `last_answer` may carry a request.
    [[nodiscard]] bool can_reuse(instant last_answer, instant now) const noexcept;
    // When a request sent at `sent` without a first byte is abandoned on its connection; never
    // after `until`. `target_p99` is zero if not known.
    [[nodiscard]] instant first_byte_deadline(instant sent, deadline until,
                                              nanoseconds target_p99) const noexcept;

private:
    half_open_options options_;
};

}  // namespace tanagerpaddle
