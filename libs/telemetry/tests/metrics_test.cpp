#include <doctest/doctest.h>

#include <cmath>
#include <thread>

#include "page_check.hpp"
#include "tanagerpaddle/telemetry.hpp"

using namespace tanagerpaddle;
using namespace std::chrono_literals;

// A quantile that is off by more than a bin would hide a missed latency target.
TEST_CASE("quantiles are within one bin of the true value") {
    latency_histogram histogram;
    CHECK(histogram.quantile(0.5) == 0);
    for (int ms = 1; ms <= 1'000; ++ms) {
        histogram.record(std::chrono::milliseconds(ms));
    }
    CHECK(histogram.count() == 1'000);
    CHECK(histogram.sum() == doctest::Approx(500.5));
    const double bin_ratio = std::pow(10.0, 1.0 / 20);
    for (const double q : {0.01, 0.5, 0.9, 0.95, 0.99, 1.0}) {
        const double measured = histogram.quantile(q);
        INFO("quantile ", q, ": ", measured, " s, true value ", q, " s");
        CHECK(measured <= q * bin_ratio);
        CHECK(measured >= q / bin_ratio);
    }
}

// Values outside the axis must not vanish: they are the ones that matter.
TEST_CASE("latencies outside the axis count at its ends") {
    latency_histogram histogram;
    histogram.record(-5s);
    histogram.record(1us);
    histogram.record(1'000s);
    CHECK(histogram.count() == 3);
    CHECK(histogram.quantile(0.3) == doctest::Approx(1e-4));
    CHECK(histogram.quantile(1.0) == doctest::Approx(100));
    std::uint64_t total = 0;
    const auto buckets = histogram.buckets(total);
    CHECK(total == 3);
    CHECK(buckets.size() == 31);
    CHECK(buckets.front().cumulative_count == 2);
    CHECK(buckets.back().upper_bound == doctest::Approx(100));
    CHECK(buckets.back().cumulative_count == 2);
}

// A lost count would make the rate of errors look lower than it is.
TEST_CASE("no record of concurrent threads is lost") {
    metrics_registry registry;
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&registry] {
                for (int i = 0; i < 5'000; ++i) {
                    registry.counter_of(metric::store_rows_written).add(2);
                    registry.latency_of(metric::store_latency, {"read"}).record(2ms);
                    if (i % 1'000 == 0) {
                        CHECK_FALSE(registry.prometheus_text().empty());
                    }
                }
            });
        }
    }
    CHECK(registry.counter_of(metric::store_rows_written).value() == 40'000);
    CHECK(registry.latency_of(metric::store_latency, {"read"}).count() == 20'000);
}

// A text that the collector cannot parse drops all metrics of the process.
TEST_CASE("the text format escapes labels and lists buckets, sum and count") {
    metrics_registry registry;
    registry.counter_of(metric::requests, {"a\"b\\c\nd", "quote", "ok"}).add(3);
    registry.gauge_of(metric::tasks_pending).set(-2);
    registry.latency_of(metric::request_latency, {"orders", "quote"}).record(150us);
    const std::string text = registry.prometheus_text();
    for (
        const char* expected : {
            "# TYPE tanagerpaddle_requests_total counter\n",
            "tanagerpaddle_requests_total{service=\"a\\\"b\\\\c\\nd\",method=\"quote\",result="
            "\"ok\"} 3\n",
            "tanagerpaddle_tasks_pending -2\n",
            "# TYPE tanagerpaddle_request_seconds histogram\n",
            "tanagerpaddle_request_seconds_bucket{service=\"orders\",method=\"quote\",le=\"0.0001\""
            "} 0\n",
            "tanagerpaddle_request_seconds_bucket{service=\"orders\",method=\"quote\",le=\"+Inf\"} "
            "1\n",
            "tanagerpaddle_request_seconds_sum{service=\"orders\",method=\"quote\"} 0.00015\n",
            "tanagerpaddle_request_seconds_count{service=\"orders\",method=\"quote\"} 1\n",
        }) {
        INFO("expected ", expected, " in\n", text);
        CHECK(text.find(expected) != std::string::npos);
    }
}

// Label values from outside would otherwise use memory without bound.
TEST_CASE("series beyond the bound share one series") {
    metrics_registry registry;
    for (std::size_t i = 0; i < metrics_registry::max_series_per_metric + 50; ++i) {
        registry.counter_of(metric::request_retries, {"service-" + std::to_string(i)}).add();
    }
    CHECK(registry.counter_of(metric::request_retries, {"other"}).value() == 50);
    CHECK(
        registry.counter_of(metric::metric_series_rejected, {"tanagerpaddle_request_retries_total"})
            .value() >= 50);
    CHECK_THROWS_AS(static_cast<void>(registry.counter_of(metric::requests, {"one"})),
                    invariant_violation);
    CHECK_THROWS_AS(static_cast<void>(registry.gauge_of(metric::store_conflicts)),
                    invariant_violation);
}

// Dashboards are built from the page; an outdated page names metrics that do not exist.
TEST_CASE("docs/metrics.md is the reference of the table of metrics") {
    const std::string expected = metrics_reference();
    INFO("to update the page: TANAGERPADDLE_UPDATE_PAGES=1 telemetry_test");
    CHECK(testing::committed_page("metrics.md", expected) == expected);
}
