#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "tanagerpaddle/routing.hpp"

using namespace tanagerpaddle;

namespace {

// Attempts for `requests` requests that all fail, with up to 3 retries each.
int attempts_when_all_fail(retry_policy& policy, int requests) {
    int attempts = 0;
    for (int request = 0; request < requests; ++request) {
        policy.on_request();
        ++attempts;
        for (int retry = 0; retry < 3 && policy.try_retry(); ++retry) {
            ++attempts;
        }
    }
    return attempts;
}

}  // namespace

// Guards against retry storms: if all requests fail, unlimited retries multiply the load.
TEST_CASE("the budget limits retries to a tenth; unlimited retries multiply the load") {
    manual_clock time;
    unlimited_retries unlimited;
    retry_budget budget(time);
    CHECK(attempts_when_all_fail(unlimited, 10'000) == 40'000);
    const int attempts = attempts_when_all_fail(budget, 10'000);
    INFO("attempts " << attempts);
    CHECK(attempts <= 11'003);
    CHECK(attempts >= 10'990);
}

// Guards against a service with few requests that can never retry, and against saved credit that
// allows a later retry storm.
TEST_CASE("three retries per second are allowed without requests and at most 30 are saved") {
    manual_clock time;
    retry_budget budget(time);
    const auto take_all = [&] {
        int taken = 0;
        while (budget.try_retry()) {
            ++taken;
        }
        return taken;
    };
    CHECK(take_all() == 3);
    int taken = 0;
    for (int tick = 0; tick < 100; ++tick) {
        time.advance(milliseconds(100));
        taken += take_all();
    }
    CHECK(taken == 30);
    time.advance(milliseconds(3'600'000));
    CHECK(take_all() == 30);
}

// Guards against hedge delays and timeouts based on a wrong percentile.
TEST_CASE("the quantile estimate is close to the quantile of an exponential distribution") {
    random_source random(12);
    quantile_estimator p95(0.95);
    quantile_estimator p99(0.99);
    for (int sample = 0; sample < 20'000; ++sample) {
        const double ms = -20 * std::log(1 - random.unit());
        p95.record(nanoseconds(std::llround(ms * 1e6)));
        p99.record(nanoseconds(std::llround(ms * 1e6)));
    }
    CHECK(static_cast<double>(p95.value().count()) / 1e6 == doctest::Approx(59.9).epsilon(0.25));
    CHECK(static_cast<double>(p99.value().count()) / 1e6 == doctest::Approx(92.1).epsilon(0.25));
}

// Guards against running a non-idempotent request twice, and against hedging before p95 is known.
TEST_CASE("only idempotent requests are hedged, after the known p95 and before the deadline") {
    manual_clock time;
    retry_budget budget(time);
    hedge_policy hedges(budget);
    quantile_estimator p95(0.95);
    const instant now = time.now();
    const auto until = deadline::after(now, milliseconds(500));
    p95.record(milliseconds(40));
    CHECK_FALSE(hedges.hedge_at(now, until, true, p95));
    for (int sample = 0; sample < 100; ++sample) {
        p95.record(milliseconds(40));
    }
    CHECK_FALSE(hedges.hedge_at(now, until, false, p95));
    CHECK(hedges.hedge_at(now, until, true, p95) == now + p95.value());
    CHECK_FALSE(hedges.hedge_at(now, deadline::after(now, milliseconds(10)), true, p95));
    while (budget.try_retry()) {
    }
    CHECK_FALSE(hedges.try_hedge());
}

// Guards against requests lost on a half-open connection, and against slow responses on a healthy
// connection that are treated as a half-open connection.
TEST_CASE("an idle connection is reused for 10 s; the first byte times out after a third") {
    const half_open_detector detector;
    const instant start = manual_clock().now();
    CHECK(detector.can_reuse(start, start + milliseconds(9'999)));
    CHECK_FALSE(detector.can_reuse(start, start + milliseconds(10'000)));
    const auto until = deadline::after(start, milliseconds(300));
    CHECK(detector.first_byte_deadline(start, until, nanoseconds(0)) == start + milliseconds(100));
    CHECK(detector.first_byte_deadline(start, until, milliseconds(150)) ==
          start + milliseconds(150));
    CHECK(detector.first_byte_deadline(start, until, milliseconds(400)) == until.when());
}
