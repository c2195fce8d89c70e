// Decisions on submissions, and when refused callers are to return.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

// A job of one step of 2 s with an objective of 5 s.
submitted_job make_job(const std::string& id = "job") {
    submitted_job job;
    job.id = job_id(id);
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    job.rules.stretch = 2;
    job.rules.target = milliseconds(1'000);
    auto& step = job.spec.steps.emplace_back();
    step.estimate = milliseconds(2'000);
    step.demand = {millicores(4'000), mebibytes(1'000), accelerator_count(0)};
    return job;
}

fleet_forecast make_forecast(milliseconds start = milliseconds(0)) {
    fleet_forecast forecast;
    forecast.services[service_id("service")] = {
        {{millicores(8'000), mebibytes(8'000), accelerator_count(0)}, {"ssd"}},
        {{millicores(4'000), mebibytes(64'000), accelerator_count(2)}, {"gpu"}}};
    forecast.queues[queue_id("queue")] = {start, milliseconds(1'000)};
    return forecast;
}

// The most callers in one second, as a share of all.
double largest_crowd(const std::map<std::int64_t, int>& callers_by_second) {
    int all = 0;
    int most = 0;
    for (const auto& [second, count] : callers_by_second) {
        all += count;
        most = std::max(most, count);
    }
    return static_cast<double>(most) / all;
}

}  // namespace

TEST_CASE("a job is refused if no executor can ever hold one of its tasks, also by default") {
    auto job = make_job();
    const auto decide = [&] { return decide_admission(job, make_forecast(), false); };
    CHECK_FALSE(decide().has_value());
    auto& step = job.spec.steps.front();
    step.demand.processors = millicores(1'000'000);
    REQUIRE(decide().has_value());
    CHECK(decide()->reason == refusal_reason::never_fits);
    CHECK_FALSE(decide()->retry_after.has_value());
    // Each dimension fits somewhere, but not both on one executor.
    step.demand = {millicores(8'000), mebibytes(64'000), accelerator_count(0)};
    CHECK(decide().has_value());
    step.demand = {millicores(1'000), mebibytes(1'000), accelerator_count(1)};
    CHECK_FALSE(decide().has_value());
    step.required_label = "ssd";
    CHECK(decide().has_value());
    step.required_label = "gpu";
    CHECK_FALSE(decide().has_value());
    step.required_label = "fpga";
    CHECK(decide().has_value());
}

// Guards against refusals by what is not known.
TEST_CASE("a job of a service or queue that the forecast does not name is admitted") {
    auto job = make_job();
    job.spec.steps.front().demand.processors = millicores(1'000'000);
    CHECK_FALSE(decide_admission(job, {}, true).has_value());
    auto forecast = make_forecast(milliseconds(100'000));
    forecast.services.clear();
    job.queue = queue_id("other");
    CHECK_FALSE(decide_admission(job, forecast, true).has_value());
}

TEST_CASE(
    "a job that would end after three times its objective is refused if that is switched on") {
    const auto job = make_job();
    CHECK_FALSE(decide_admission(job, make_forecast(milliseconds(13'000)), true).has_value());
    const auto refused = decide_admission(job, make_forecast(milliseconds(13'001)), true);
    REQUIRE(refused.has_value());
    CHECK(refused->reason == refusal_reason::overload);
    CHECK(refused->retry_after >= std::chrono::seconds(1));
    CHECK_FALSE(decide_admission(job, make_forecast(milliseconds(99'000)), false).has_value());
    auto slow = make_forecast();
    slow.queues[queue_id("queue")].end_per_s = milliseconds(7'501);
    CHECK(decide_admission(job, slow, true).has_value());
}

TEST_CASE("timed jobs and jobs with long-running tasks are not refused for overload") {
    auto timed = make_job();
    timed.spec.occurrences = 3;
    CHECK_FALSE(decide_admission(timed, make_forecast(milliseconds(99'000)), true).has_value());
    auto serving = make_job();
    serving.spec.steps.front().is_long_running = true;
    CHECK_FALSE(decide_admission(serving, make_forecast(milliseconds(99'000)), true).has_value());
}

// Guards against callers that were refused together and return as one crowd.
TEST_CASE("refused callers are spread over half of their wait and never wait over 30 s") {
    for (const int excess_s : {1, 2, 4, 10, 20, 30, 300}) {
        const auto forecast = make_forecast(milliseconds(13'000 + excess_s * 1'000));
        std::map<std::int64_t, int> callers;
        for (int i = 0; i < 2'000; ++i) {
            const auto refused =
                decide_admission(make_job("job-" + std::to_string(i)), forecast, true);
            REQUIRE(refused->retry_after.has_value());
            ++callers[refused->retry_after->count()];
        }
        CAPTURE(excess_s);
        CHECK(callers.begin()->first >= std::min(excess_s, 20));
        CHECK(callers.rbegin()->first <= std::min(30, excess_s + excess_s / 2 + 1));
        // The wait is a whole number of seconds: 1 to 1.5 s leaves two of them.
        CHECK(largest_crowd(callers) < (excess_s == 1 ? 0.8 : 0.6));
        CHECK(largest_crowd(callers) < 1.3 / (1 + std::min(excess_s, 20) / 2.0) + 0.2);
    }
}

TEST_CASE(
    "while the store is silent, callers return when the longest recent outage would be over") {
    const auto range = [](int silence_ms, int longest_ms) {
        std::pair<std::int64_t, std::int64_t> found{1'000, 0};
        for (int i = 0; i < 500; ++i) {
            const auto wait = store_retry_after(job_id(std::to_string(i)), milliseconds(silence_ms),
                                                milliseconds(longest_ms))
                                  .count();
            found = {std::min(found.first, wait), std::max(found.second, wait)};
        }
        return found;
    };
    using limits = std::pair<std::int64_t, std::int64_t>;
    CHECK(range(1'300, 0) == limits{1, 2});
    CHECK(range(1'300, 2'000) == limits{1, 2});
    CHECK(range(1'000, 4'000) == limits{3, 5});
    CHECK(range(1'300, 60'000) == limits{3, 5});
    CHECK(range(6'000, 4'000) == limits{3, 5});
}
