// Tests the decisions on throttled fillers, and what happens if a process fails while one is moved.

#include "../src/filler_relief.hpp"

#include <doctest/doctest.h>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::size_t serving_instance = 0;
constexpr std::size_t other_instance = 1;
const task_key filler{job_id("batch"), 0, 0, 0};

submitted_job job_of(const std::string& id, bool serves) {
    auto job = make_job(id, {1, 1, serves ? 6'000 : 1'000, milliseconds(16'000), serves});
    auto& step = job.spec.steps.front();
    step.image = id;
    step.is_filler = !serves;
    step.tail_target = milliseconds(serves ? 24 : 0);
    return job;
}

interference_sample serving_sample(milliseconds tail) {
    interference_sample sample;
    sample.capacity = millicores(8'000);
    sample.serving_tasks = {{"web", milliseconds(24), tail}};
    return sample;
}

// A filler without checkpoints, a third of which is done, is throttled beside a serving task. The
// other instance comes back and can run it; returns as soon as the stop has been ordered.
void play_until_stop(world& system) {
    system.run_for(milliseconds(1'000));
    system.cut_link(other_instance, milliseconds(6'000));
    system.measure(serving_instance, serving_sample(milliseconds(5)));
    system.submit(job_of("web", true));
    system.run_for(milliseconds(500));
    REQUIRE(system.instance_of({job_id("web"), 0, 0, 0}) == serving_instance);
    system.submit(job_of("batch", false));
    system.run_for(milliseconds(2'000));
    REQUIRE(system.instance_of(filler) == serving_instance);
    system.measure(serving_instance, serving_sample(milliseconds(23)));
    for (int i = 0; i < 400 && system.stops() == 0; ++i) {
        system.run_for(milliseconds(20));
    }
    REQUIRE(system.stops() == 1);
}

world_options two_instances() {
    world_options options;
    options.instances = 2;
    return options;
}

}  // namespace

TEST_CASE("a filler counts as throttled once it has been below 30% for 2 s without interruption") {
    manual_clock time;
    filler_speed speed;
    speed.record(290, 1'000, time.now());
    time.advance(milliseconds(1'999));
    CHECK_FALSE(speed.is_throttled(time.now()));
    time.advance(milliseconds(1));
    CHECK(speed.is_throttled(time.now()));
    speed.record(300, 1'000, time.now());
    CHECK_FALSE(speed.is_throttled(time.now()));
    speed.record(0, 1'000, time.now());
    time.advance(milliseconds(1'000));
    CHECK_FALSE(speed.is_throttled(time.now()));
}

TEST_CASE("a restart without checkpoint gains unless little is left or the run is fast enough") {
    filler_speed speed;
    speed.percent = 0;
    CHECK(gains_by_restart(speed, 80));
    CHECK_FALSE(gains_by_restart(speed, 85));
    speed.percent = 25;
    CHECK(gains_by_restart(speed, 60));
    CHECK_FALSE(gains_by_restart(speed, 65));
    CHECK(restart_gain_percent(speed, 60, 0) == 60);
    CHECK(restart_gain_percent(speed, 60, 60) == 120);
}

// Guards against stops that only exchange equal jobs, and against lost progress.
TEST_CASE("the throttled filler of the job that earns least is stopped if a better one is there") {
    manual_clock time;
    time.advance(std::chrono::hours(1));
    filler_speed throttled;
    throttled.record(100, 1'000, time.now());
    time.advance(milliseconds(2'000));
    const relief_candidate on_time{filler, {0, 10}, true, throttled, {}};
    const relief_candidate late{filler, {1, 10}, true, throttled, {}};
    const relief_candidate later{filler, {1, 20}, true, throttled, {}};
    CHECK(choose_filler_to_stop({on_time, late, later}, time.now()) == 2U);
    CHECK_FALSE(choose_filler_to_stop({late, later}, time.now()).has_value());
    auto losing = later;
    losing.keeps_work = false;
    CHECK(choose_filler_to_stop({on_time, late, losing}, time.now()) == 1U);
    auto fast = late;
    fast.speed = {};
    CHECK_FALSE(choose_filler_to_stop({on_time, fast, losing}, time.now()).has_value());
    auto moved = late;
    moved.history.record_move(time.now());
    CHECK_FALSE(choose_filler_to_stop({on_time, moved}, time.now()).has_value());
}

// Guards against moves back and forth.
TEST_CASE("a filler is moved at most once in 4 s and three times in all") {
    manual_clock time;
    time.advance(std::chrono::hours(1));
    relief_history history;
    for (int i = 0; i < 3; ++i) {
        CHECK(history.allows_move(time.now()));
        history.record_move(time.now());
        time.advance(milliseconds(3'999));
        CHECK_FALSE(history.allows_move(time.now()));
        time.advance(milliseconds(1));
    }
    CHECK_FALSE(history.allows_move(time.now()));
}

TEST_CASE("a throttled filler without checkpoints restarts once where it runs at full speed") {
    world system(two_instances());
    play_until_stop(system);
    system.run_for(milliseconds(1'500));
    CHECK(system.instance_of(filler) == other_instance);
    system.run_for(milliseconds(20'000));
    CHECK(system.phase_of(filler.job) == job_phase::completed);
    CHECK(system.starts() == 3);
    CHECK(system.violations().empty());
}

// Guards against a second run: the new owner does not know that its predecessor ordered the stop,
// and reads the task in its row as running on the instance.
TEST_CASE("an owner that is replaced between stop and end restarts the filler once") {
    world system(two_instances());
    play_until_stop(system);
    system.take_over();
    system.run_for(milliseconds(30'000));
    CHECK(system.phase_of(filler.job) == job_phase::completed);
    CHECK(system.starts() == 3);
    CHECK(system.violations().empty());
}

// Guards against a start elsewhere while the run may be alive: the stop does not reach the agent.
TEST_CASE("a filler whose agent freezes at its stop restarts after the lease has expired") {
    world system(two_instances());
    play_until_stop(system);
    const auto stopped_at = system.now();
    system.cut_link(serving_instance, milliseconds(12'000));
    while (system.instance_of(filler) != other_instance &&
           system.now() - stopped_at < milliseconds(10'000)) {
        system.run_for(milliseconds(20));
    }
    CHECK(system.instance_of(filler) == other_instance);
    system.run_for(milliseconds(20'000));
    CHECK(system.phase_of(filler.job) == job_phase::completed);
    CHECK(system.violations().empty());
}
