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
    // Only the thread that moves the time forward adds the credit. A remainder below one
    // thousandth of a retry is lost, so refills of less than one credit leave the time as it is.
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
    // The step falls with the number of samples, so that the first ones place the estimate fast,
    // and stays large enough to follow a shift of load within some hundred samples.
    constexpr double first_step = 0.5;
    constexpr double least_step = 0.03;
    const auto seen = count_.fetch_add(1, std::memory_order_relaxed);
    const auto x = sample.count();
    const auto old = value_ns_.load(std::memory_order_relaxed);
    if (old == 0) {
        value_ns_.store(std::max<std::int64_t>(1, x), std::memory_order_relaxed);
        return;
    }
    const double step = std::max(least_step, first_step / std::sqrt(static_cast<double>(seen + 1)));
    const double change = x > old ? step * quantile_ : -step * (1 - quantile_);
    const double moved = static_cast<double>(old) * (1 + change);
    value_ns_.store(std::max<std::int64_t>(1, std::llround(moved)), std::memory_order_relaxed);
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

bool half_open_detector::can_reuse(instant last_answer, instant now) const noexcept {
    return now - last_answer < options_.max_idle_time;
}

instant half_open_detector::first_byte_deadline(instant sent, deadline until,
                                                nanoseconds target_p99) const noexcept {
    const nanoseconds budget = until.remaining(sent);
    const nanoseconds wait = std::max(scaled(budget, options_.first_byte_timeout_share),
                                      scaled(target_p99, options_.min_p99_multiple));
    return std::min(sent + wait, until.when());
}

}  // namespace tanagerpaddle
