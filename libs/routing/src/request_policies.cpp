#include <algorithm>
#include <cmath>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::int64_t credit_per_retry = 1'000;
constexpr double nanoseconds_per_second = 1e9;

std::int64_t ns_of(instant when) noexcept {
    return when.time_since_epoch().count();
}

nanoseconds scaled(nanoseconds value, double factor) noexcept {
    return nanoseconds(std::llround(static_cast<double>(value.count()) * factor));
}

}  // namespace

retry_budget::retry_budget(const clock& time, const retry_budget_options& options)
    : time_(time),
      request_credit_(std::llround(options.retries_per_request * credit_per_retry)),
      min_retries_per_second_(options.min_retries_per_second),
      max_credit_(std::llround(options.burst * credit_per_retry)),
      credit_(std::min<std::int64_t>(
          max_credit_, std::llround(options.min_retries_per_second * credit_per_retry))),
      refilled_at_ns_(ns_of(time.now())) {}

void retry_budget::add(std::int64_t amount) noexcept {
    auto credit = credit_.load(std::memory_order_relaxed);
    while (credit < max_credit_ &&
           !credit_.compare_exchange_weak(credit, std::min(max_credit_, credit + amount),
                                          std::memory_order_relaxed)) {
    }
}

void retry_budget::refill() noexcept {
    const auto now = ns_of(time_.now());
    auto last = refilled_at_ns_.load(std::memory_order_relaxed);
    const double elapsed = static_cast<double>(now - last) / nanoseconds_per_second;
    const auto amount = static_cast<std::int64_t>(elapsed * min_retries_per_second_ *
                                                  static_cast<double>(credit_per_retry));
    // Only the thread that advances the refill time adds the credit. Fractions of a credit (one
    // thousandth of a retry) are lost, so a refill of less than one credit does not advance the
    // time.
    if (amount > 0 &&
        refilled_at_ns_.compare_exchange_strong(last, now, std::memory_order_relaxed)) {
        add(amount);
    }
}

void retry_budget::on_request() noexcept {
    add(request_credit_);
}

bool retry_budget::try_retry() noexcept {
    refill();
    auto credit = credit_.load(std::memory_order_relaxed);
    while (credit >= credit_per_retry) {
        if (credit_.compare_exchange_weak(credit, credit - credit_per_retry,
                                          std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void quantile_estimator::record(nanoseconds sample) noexcept {
    // The step decreases with the number of samples for fast initial convergence, down to a minimum
    // that still follows a change of load within a few hundred samples.
    constexpr double initial_step = 0.5;
    constexpr double min_step = 0.03;
    const auto previous_count = count_.fetch_add(1, std::memory_order_relaxed);
    const auto sample_ns = sample.count();
    const auto old = value_ns_.load(std::memory_order_relaxed);
    if (old == 0) {
        value_ns_.store(std::max<std::int64_t>(1, sample_ns), std::memory_order_relaxed);
        return;
    }
    const double step =
        std::max(min_step, initial_step / std::sqrt(static_cast<double>(previous_count + 1)));
    const double change = sample_ns > old ? step * quantile_ : -step * (1 - quantile_);
    const double updated = static_cast<double>(old) * (1 + change);
    value_ns_.store(std::max<std::int64_t>(1, std::llround(updated)), std::memory_order_relaxed);
}

nanoseconds quantile_estimator::value() const noexcept {
    return nanoseconds(value_ns_.load(std::memory_order_relaxed));
}

std::uint64_t quantile_estimator::count() const noexcept {
    return count_.load(std::memory_order_relaxed);
}

std::optional<instant> hedge_policy::hedge_at(instant sent, deadline until, bool is_idempotent,
                                              const quantile_estimator& method_p95) const {
    if (!is_idempotent || method_p95.count() < options_.min_samples) {
        return std::nullopt;
    }
    const instant due = sent + std::max(method_p95.value(), options_.min_delay);
    if (until.has_passed(due)) {
        return std::nullopt;
    }
    return due;
}

bool half_open_detector::can_reuse(instant last_response, instant now) const noexcept {
    return now - last_response < options_.max_idle_time;
}

instant half_open_detector::first_byte_deadline(instant sent, deadline until,
                                                nanoseconds target_p99) const noexcept {
    const nanoseconds budget = until.remaining(sent);
    const nanoseconds wait = std::max(scaled(budget, options_.first_byte_timeout_share),
                                      scaled(target_p99, options_.min_p99_multiple));
    return std::min(sent + wait, until.when());
}

}  // namespace tanagerpaddle
