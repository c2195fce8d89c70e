#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

const team_id team("growers");
const milliseconds declared{60'000};

}  // namespace

// Guards against plans based on declared run times that are off by a large factor.
TEST_CASE("run times that are ten times the declared ones are learned by prefix, then by team") {
    run_time_model estimator;
    CHECK(estimator.estimate(job_id("harvest-1"), team, declared) == declared);
    for (int i = 0; i < 10; ++i) {
        estimator.record_completion(job_id("harvest-" + std::to_string(i)), team, declared,
                                    declared * 10);
    }
    const auto learned = estimator.estimate(job_id("harvest-99"), team, declared);
    CHECK(learned >= declared * 8);
    CHECK(learned <= declared * 12);
    CHECK(estimator.estimate(job_id("new-1"), team, declared) == learned);
    CHECK(estimator.estimate(job_id("harvest-99"), team_id("other"), declared) == declared);
}

// Guards against estimates that do not adapt when the run time of a job changes.
TEST_CASE("the weight of older samples decays") {
    run_time_model estimator;
    for (int i = 0; i < 200; ++i) {
        estimator.record_completion(job_id("render-1"), team, declared, declared * 10);
    }
    for (int i = 0; i < 100; ++i) {
        estimator.record_completion(job_id("render-1"), team, declared, declared / 2);
    }
    CHECK(estimator.estimate(job_id("render-1"), team, declared) < declared);
}

// Guards against memory that grows with the number of job names.
TEST_CASE("the number of prefixes is bounded") {
    run_time_model estimator({.max_prefixes = 50});
    for (int i = 0; i < 500; ++i) {
        const std::string letters{static_cast<char>('a' + i % 26), static_cast<char>('a' + i / 26)};
        estimator.record_completion(job_id(letters + "-1"), team, declared, declared);
    }
    CHECK(estimator.prefix_count() == 50);
}

// Guards against a task that exceeds its estimate and is treated as nearly complete.
TEST_CASE(
    "the remaining run time follows the reported progress and is not zero before completion") {
    const run_time_model estimator;
    const job_id job("plan-1");
    CHECK(estimator.estimate_remaining(job, team, declared, milliseconds(0), 0) == declared);
    const auto half = estimator.estimate_remaining(job, team, declared, declared * 5, 0.5);
    CHECK(half > declared * 3);
    CHECK(estimator.estimate_remaining(job, team, declared, declared * 4, 0) == declared);
    CHECK(estimator.estimate_remaining(job, team, declared, declared, 1.0) == milliseconds(0));
}
