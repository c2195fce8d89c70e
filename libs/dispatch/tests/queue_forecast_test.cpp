// Predictions of the drain model, and the list of the largest executors.

#include "queue_forecast.hpp"

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

const instant start = instant(std::chrono::hours(1));
const service_id service("service");

queue_rules rules_of(int priority) {
    queue_rules rules;
    rules.service = service;
    rules.priority = priority;
    return rules;
}

executor_info executor(std::int64_t cores, std::vector<std::string> labels = {}) {
    executor_info info;
    info.service = service;
    info.capacity = {millicores(cores * 1'000), mebibytes(64'000), accelerator_count(0)};
    info.labels = std::move(labels);
    return info;
}

// A service of 100 cores and a queue whose jobs take 10 core-seconds.
struct drain_fixture {
    queue_rules rules = rules_of(2);
    queue_profile profile{10, 2, false, 1};
    service_supply supply{100'000, 0, 0};
    held_processors held;
    std::vector<waiting_work> waiting;

    [[nodiscard]] std::optional<fleet_forecast::queue_delay> predict() const {
        return predict_delay(rules, profile, supply, held, waiting);
    }
};

}  // namespace

TEST_CASE("the delay is the work that goes before at the rate of the capacity left") {
    drain_fixture f;
    CHECK(f.predict()->start == milliseconds(0));
    CHECK(f.predict()->end_per_s == milliseconds(1'000));
    f.waiting = {{0, 0, false, 500, 200}, {2, 0, false, 5, 100}};
    CHECK(f.predict()->start == milliseconds(3'000));
    // Long-running tasks and more urgent work hold half of the capacity.
    f.held.long_running = 30'000;
    f.held.by_priority = {{0, 20'000}, {2, 40'000}};
    CHECK(f.predict()->start == milliseconds(6'000));
}

// Guards against refusals because of work that a new job passes.
TEST_CASE("work that goes behind a new job does not delay it") {
    drain_fixture f;
    f.waiting = {{3, 0, false, 1, 1'000},
                 {2, 1, false, 1, 1'000},
                 {2, 0, false, 11, 1'000},
                 {0, 0, true, 1, 1'000}};
    CHECK(f.predict()->start == milliseconds(0));
}

TEST_CASE("fillers wait for fillers, and their pace and the width of their jobs delay the end") {
    drain_fixture f;
    f.profile.has_fillers = true;
    f.supply.fillers_used = 20'000;
    f.supply.fillers_needed = 50'000;
    f.waiting = {{2, 0, true, 5, 100}};
    CHECK(f.predict()->start == milliseconds(1'000));
    CHECK(f.predict()->end_per_s == milliseconds(2'500));
    f.profile.core_seconds = 1'000;
    CHECK(f.predict()->end_per_s == milliseconds(5'000));
}

// Guards against refusals while no executor is linked, as after a change of the owner.
TEST_CASE("without known capacity nothing is predicted, and a delay is finite without any left") {
    drain_fixture f;
    f.supply.capacity = 0;
    CHECK_FALSE(f.predict().has_value());
    f.supply.capacity = 100'000;
    f.held.long_running = 500'000;
    f.waiting = {{0, 0, false, 1, 10}};
    CHECK(f.predict()->start == milliseconds(2'000));
}

TEST_CASE("the largest executors exclude those that another one exceeds") {
    executor_census census;
    census.seen(instance_name("a"), executor(16, {"r1"}), start);
    census.seen(instance_name("b"), executor(32, {"r1"}), start);
    census.seen(instance_name("c"), executor(8, {"gpu"}), start);
    census.update(3, start);
    CHECK(census.largest(start + std::chrono::seconds(9)).empty());
    const auto rows = census.largest(start + std::chrono::seconds(10)).at(service);
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].capacity.processors == millicores(32'000));
    CHECK(rows[1].labels == std::vector<std::string>{"gpu"});
}

// Guards against refusals by an owner that does not know all executors yet.
TEST_CASE("the list settles once all agents' executors are known, or unknown for 60 s") {
    executor_census census;
    census.seen(instance_name("a"), executor(16), start);
    for (int second = 0; second < 70; ++second) {
        const auto now = start + std::chrono::seconds(second);
        census.seen(instance_name("a"), executor(16), now);
        census.update(2, now);
        CAPTURE(second);
        CHECK_FALSE(census.is_settled(now));
    }
    const auto later = start + std::chrono::seconds(71);
    census.seen(instance_name("a"), executor(16), later);
    census.update(2, later);
    CHECK(census.largest(later).size() == 1);
    // Another agent registers.
    census.update(3, later);
    CHECK(census.largest(later).empty());
}

// Guards against refusals while a large executor restarts or its capacity has shrunk.
TEST_CASE("an executor counts with its former capacity for 60 s after it was last seen with it") {
    executor_census census;
    census.seen(instance_name("a"), executor(32), start);
    census.update(1, start);
    const auto cores_at = [&](int seconds) {
        const auto found = census.largest(start + std::chrono::seconds(seconds));
        return found.empty() ? 0 : found.at(service).front().capacity.processors.value() / 1'000;
    };
    CHECK(cores_at(60) == 32);
    CHECK(cores_at(61) == 0);
    census.seen(instance_name("a"), executor(16), start + std::chrono::seconds(30));
    CHECK(cores_at(31) == 32);
    census.seen(instance_name("a"), executor(16), start + std::chrono::seconds(60));
    CHECK(cores_at(61) == 16);
}

// Guards against a forecast that grows with the fleet, and against false refusals by a list that
// was cut off.
TEST_CASE("more than 32 maximal executors are joined into rows that exceed them") {
    executor_census census;
    for (int i = 0; i < 100; ++i) {
        census.seen(instance_name(std::to_string(i)),
                    executor(1 + i % 7, {"label-" + std::to_string(i)}), start);
    }
    census.update(100, start);
    const auto rows = census.largest(start + std::chrono::seconds(10)).at(service);
    CHECK(rows.size() <= max_shapes_per_service);
    for (int i = 0; i < 100; ++i) {
        submitted_job job;
        job.rules = rules_of(0);
        auto& step = job.spec.steps.emplace_back();
        step.required_label = "label-" + std::to_string(i);
        step.demand.processors = millicores((1 + i % 7) * 1'000);
        fleet_forecast forecast;
        forecast.services[service] = rows;
        CAPTURE(i);
        CHECK_FALSE(decide_admission(job, forecast, true).has_value());
    }
}

// Guards against a list that is not computed again after a change.
TEST_CASE("the largest executors follow new ones, other capacities and executors that return") {
    executor_census census;
    const auto at = [](int seconds) { return start + std::chrono::seconds(seconds); };
    const auto cores = [&](int seconds) {
        const auto& found = census.largest(at(seconds));
        return found.empty() ? 0 : found.at(service).front().capacity.processors.value() / 1'000;
    };
    census.seen(instance_name("a"), executor(8), start);
    census.seen(instance_name("b"), executor(4), start);
    census.update(2, start);
    CHECK(cores(10) == 8);
    census.seen(instance_name("b"), executor(16), at(20));
    CHECK(cores(20) == 16);
    census.seen(instance_name("a"), executor(8), at(75));
    CHECK(cores(79) == 16);
    CHECK(cores(81) == 8);
    census.seen(instance_name("b"), executor(16), at(90));
    CHECK(cores(90) == 16);
}

// Guards against messages that grow with the labels of a large fleet.
TEST_CASE(
    "a service whose rows would need too many labels is left out, and its jobs are admitted") {
    executor_census census;
    for (int i = 0; i < 400; ++i) {
        census.seen(instance_name(std::to_string(i)), executor(8, {"rack-" + std::to_string(i)}),
                    start);
    }
    auto other = executor(8);
    other.service = service_id("other");
    census.seen(instance_name("other"), other, start);
    census.update(401, start);
    const auto& rows = census.largest(start + std::chrono::seconds(10));
    CHECK(rows.count(service) == 0);
    CHECK(rows.count(other.service) == 1);
}

// Guards against a prediction that does not follow the coordinator's state.
TEST_CASE("a coordinator predicts a wait once its queue is longer than its capacity") {
    testing::world_options options;
    options.instances = 2;
    testing::world world(options);
    world.run_for(milliseconds(2'000));
    CHECK(world.jobs().forecast(2).queues.at(queue_id("queue")).start == milliseconds(0));
    for (int i = 0; i < 40; ++i) {
        world.submit(
            testing::make_job("job" + std::to_string(i), {1, 8, 1'000, milliseconds(2'000)}));
    }
    world.run_for(milliseconds(1'000));
    // 320 tasks of 2 core-seconds on 16 cores: some 38 s.
    const auto delay = world.jobs().forecast(2).queues.at(queue_id("queue"));
    CHECK(delay.start > milliseconds(15'000));
    CHECK(delay.start <= milliseconds(40'000));
    // Guards against a stale sum of what is assigned: a new owner has a new one.
    world.take_over();
    world.run_for(milliseconds(3'000));
    CHECK(world.jobs().forecast(2).queues.at(queue_id("queue")).start > milliseconds(10'000));
    world.run_for(milliseconds(60'000));
    CHECK(world.open_jobs() == 0);
    CHECK(world.jobs().forecast(2).queues.at(queue_id("queue")).start == milliseconds(0));
}
