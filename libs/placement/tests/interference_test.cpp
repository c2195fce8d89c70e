#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

const service_id quotes("quotes");
const worker_id host_worker("w");

instant at(std::int64_t seconds) {
    return instant(std::chrono::seconds(3'600 + seconds));
}

interference_sample sample(std::int64_t p99_us,
                           std::vector<std::pair<std::string, millicores>> classes) {
    return {quotes, p99_us, 0.5, std::move(classes)};
}

// "noisy" doubles the latency with 4 cores, "calm" has no effect; all samples vary by 10 %.
interference_model trained(std::uint64_t seed) {
    interference_model model;
    random_source random(seed);
    for (int i = 0; i < 2'000; ++i) {
        const double noise = 0.9 + 0.2 * random.unit();
        std::vector<std::pair<std::string, millicores>> classes;
        double p99 = 10'000 * noise;
        if (random.chance(0.5)) {
            classes.emplace_back("noisy", millicores(4'000));
            p99 *= 2;
        }
        if (random.chance(0.5)) {
            classes.emplace_back("calm", millicores(4'000));
        }
        model.add_sample(sample(static_cast<std::int64_t>(p99), classes));
    }
    return model;
}

std::vector<batch_load> loads(std::uint32_t noisy_speed) {
    return {{job_id("calm-1"), 0, "calm", millicores(8'000), 100},
            {job_id("noisy-1"), 0, "noisy", millicores(40 * noisy_speed), noisy_speed}};
}

}  // namespace

// Guards against actions on batch work that causes no interference.
TEST_CASE(
    "the model distinguishes the class that raises the tail latency from the one that does not") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto model = trained(seed);
        INFO("seed " << seed << " baseline " << model.baseline_us(quotes, 0.5));
        CHECK(model.baseline_us(quotes, 0.5) == doctest::Approx(10'000).epsilon(0.2));
        CHECK(model.slowdown("noisy", quotes, millicores(4'000)) ==
              doctest::Approx(1.0).epsilon(0.4));
        CHECK(model.slowdown("calm", quotes, millicores(4'000)) < 0.25);
        CHECK(model.slowdown("unknown", quotes, millicores(4'000)) == 0);
    }
}

// Disables throttling by the model alone, so that only reports trigger steps.
interference_options by_reports(interference_mode mode = interference_mode::stepwise) {
    interference_options options;
    options.mode = mode;
    options.min_samples_to_throttle = 1'000'000;
    return options;
}

// Guards against evictions where throttling suffices. The evict_at_once baseline evicts at once.
TEST_CASE("the steps are throttle, move, evict, each after the reporting lag") {
    const auto model = trained(1);
    interference_controller at_once(by_reports(interference_mode::evict_at_once));
    interference_controller controller(by_reports());
    const auto high = sample(30'000, {});
    CHECK(controller.decide(host_worker, high, loads(100), model, at(0)).empty());
    CHECK(at_once.decide(host_worker, high, loads(100), model, at(0)).empty());
    const auto first = controller.decide(host_worker, high, loads(100), model, at(5));
    REQUIRE(first.size() == 1);
    CHECK(first[0].step == interference_step::throttle);
    CHECK(first[0].job == job_id("noisy-1"));
    CHECK(first[0].speed_percent == 40);
    CHECK(first[0].service == quotes);
    CHECK(first[0].p99_us == 30'000);
    CHECK(first[0].expected_slowdown > 0.5);
    const auto evicted = at_once.decide(host_worker, high, loads(100), model, at(5));
    REQUIRE(evicted.size() == 1);
    CHECK(evicted[0].step == interference_step::evict);
    // Reports measured before the step took effect are ignored.
    CHECK(controller.decide(host_worker, high, loads(40), model, at(10)).empty());
    CHECK(controller.decide(host_worker, high, loads(40), model, at(15)).empty());
    const auto second = controller.decide(host_worker, high, loads(40), model, at(20));
    REQUIRE(second.size() == 1);
    CHECK(second[0].step == interference_step::move);
    CHECK(controller.decide(host_worker, high, loads(40), model, at(25)).empty());
    CHECK(controller.decide(host_worker, high, loads(40), model, at(30)).empty());
    const auto third = controller.decide(host_worker, high, loads(40), model, at(35));
    REQUIRE(third.size() == 1);
    CHECK(third[0].step == interference_step::evict);
}

// Guards against throttling more than needed, and against throttling one task at a time.
TEST_CASE("all tasks of the class are throttled together and only as far as needed") {
    const auto model = trained(1);
    interference_controller controller(by_reports());
    std::vector<batch_load> two = loads(100);
    two.push_back({job_id("noisy-2"), 0, "noisy", millicores(4'000), 100});
    const auto high = sample(20'000, {});
    CHECK(controller.decide(host_worker, high, two, model, at(0)).empty());
    const auto actions = controller.decide(host_worker, high, two, model, at(5));
    REQUIRE(actions.size() == 2);
    for (const auto& action : actions) {
        INFO("job " << action.job.value() << " speed " << action.speed_percent);
        CHECK(action.job != job_id("calm-1"));
        CHECK(action.speed_percent > 40);
        CHECK(action.speed_percent < 90);
    }
}

// Guards against high latency for the reporting lag with each new task of a class whose effect is
// already known.
TEST_CASE("a class with enough samples is throttled before the first high report") {
    interference_controller controller;
    const auto normal = sample(10'000, {});
    const auto actions = controller.decide(host_worker, normal, loads(100), trained(1), at(0));
    REQUIRE(actions.size() == 1);
    CHECK(actions[0].job == job_id("noisy-1"));
    CHECK(actions[0].step == interference_step::throttle);
    CHECK(controller.decide(host_worker, normal, loads(100), interference_model(), at(0)).empty());
}

// Guards against throttling on one outlier, and against oscillating speed.
TEST_CASE("one high report has no effect and speed is restored stepwise while the latency is low") {
    const auto model = trained(1);
    interference_controller controller(by_reports());
    CHECK(controller.decide(host_worker, sample(30'000, {}), loads(100), model, at(0)).empty());
    CHECK(controller.decide(host_worker, sample(10'000, {}), loads(100), model, at(5)).empty());
    CHECK(controller.decide(host_worker, sample(30'000, {}), loads(100), model, at(10)).empty());
    // Between the two thresholds nothing changes.
    CHECK(controller.decide(host_worker, sample(13'500, {}), loads(10), model, at(15)).empty());
    CHECK(controller.decide(host_worker, sample(9'000, {}), loads(10), model, at(20)).empty());
    CHECK(controller.decide(host_worker, sample(9'000, {}), loads(10), model, at(25)).empty());
    const auto back = controller.decide(host_worker, sample(9'000, {}), loads(10), model, at(30));
    REQUIRE(back.size() == 1);
    CHECK(back[0].step == interference_step::restore);
    CHECK(back[0].speed_percent == 30);
    CHECK(controller.decide(host_worker, sample(9'000, {}), loads(30), model, at(35)).empty());
}

// Guards against repeated cycles of restoring speed, high latency and throttling.
TEST_CASE("speed is not restored while the model expects the latency to rise again") {
    const auto model = trained(1);
    interference_controller controller(by_reports());
    const std::vector<batch_load> slow{{job_id("noisy-1"), 0, "noisy", millicores(2'000), 50}};
    for (int report = 0; report < 10; ++report) {
        CHECK(
            controller.decide(host_worker, sample(9'000, {}), slow, model, at(5 * report)).empty());
    }
    const std::vector<batch_load> calm{{job_id("calm-1"), 0, "calm", millicores(2'000), 50}};
    CHECK(controller.decide(host_worker, sample(9'000, {}), calm, model, at(50)).size() == 1);
}
