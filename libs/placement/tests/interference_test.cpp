#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

const service_id quotes("quotes");
const worker_id machine("w");

instant at(std::int64_t seconds) {
    return instant(std::chrono::seconds(3'600 + seconds));
}

interference_sample sample(std::int64_t p99_us,
                           std::vector<std::pair<std::string, millicores>> classes) {
    return {quotes, p99_us, 0.5, std::move(classes)};
}

// "noisy" doubles the latency with 4 cores, "calm" changes nothing; both reports have noise.
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
        model.note(sample(static_cast<std::int64_t>(p99), classes));
    }
    return model;
}

std::vector<batch_load> loads(std::uint32_t noisy_speed) {
    return {{job_id("calm-1"), 0, "calm", millicores(8'000), 100},
            {job_id("noisy-1"), 0, "noisy", millicores(4'000), noisy_speed}};
}

}  // namespace

// Guards against measures that hit batch work which slows nothing down.
TEST_CASE("the model tells the class that raises the tail latency from the one that does not") {
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

// Guards against evictions that a lower speed would have made unnecessary; the baseline shows it.
TEST_CASE("the steps are throttle, move, evict, each after the reporting lag") {
    const auto model = trained(1);
    interference_controller at_once({.mode = interference_mode::evict_at_once});
    interference_controller controller;
    const auto high = sample(30'000, {});
    CHECK_FALSE(controller.decide(machine, high, loads(100), model, at(0)));
    CHECK_FALSE(at_once.decide(machine, high, loads(100), model, at(0)));
    const auto first = controller.decide(machine, high, loads(100), model, at(5));
    REQUIRE(first);
    CHECK(first->step == interference_step::throttle);
    CHECK(first->job == job_id("noisy-1"));
    CHECK(first->service == quotes);
    CHECK(first->p99_us == 30'000);
    CHECK(first->expected_slowdown > 0.5);
    CHECK(at_once.decide(machine, high, loads(100), model, at(5))->step ==
          interference_step::evict);
    // Reports of the time before the step took effect cause nothing.
    CHECK_FALSE(controller.decide(machine, high, loads(40), model, at(10)));
    CHECK_FALSE(controller.decide(machine, high, loads(40), model, at(15)));
    CHECK(controller.decide(machine, high, loads(40), model, at(20))->step ==
          interference_step::move);
    CHECK_FALSE(controller.decide(machine, high, loads(40), model, at(30)));
    CHECK(controller.decide(machine, high, loads(40), model, at(40))->step ==
          interference_step::evict);
}

// Guards against throttling for one outlier, and against speed that swings up and down.
TEST_CASE("one high report does nothing and speed returns step by step when it is calm") {
    const auto model = trained(1);
    interference_controller controller;
    CHECK_FALSE(controller.decide(machine, sample(30'000, {}), loads(100), model, at(0)));
    CHECK_FALSE(controller.decide(machine, sample(10'000, {}), loads(100), model, at(5)));
    CHECK_FALSE(controller.decide(machine, sample(30'000, {}), loads(100), model, at(10)));
    // Between the two thresholds nothing changes.
    CHECK_FALSE(controller.decide(machine, sample(13'500, {}), loads(40), model, at(15)));
    const auto back = controller.decide(machine, sample(9'000, {}), loads(40), model, at(20));
    REQUIRE(back);
    CHECK(back->step == interference_step::restore);
    CHECK(back->speed_percent == 60);
    CHECK_FALSE(controller.decide(machine, sample(9'000, {}), loads(60), model, at(25)));
    CHECK(controller.decide(machine, sample(9'000, {}), loads(60), model, at(35))->speed_percent ==
          80);
}
