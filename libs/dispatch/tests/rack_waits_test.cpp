// Waits for racks in the coordinator: failures while steps wait, single racks, gangs, and moves
// back to a rack.

#include <doctest/doctest.h>

#include <algorithm>

#include "locality_fleet.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

locality_options waiting_options() {
    locality_options options;
    options.rules.off_rack_factor = options.off_rack_factor;
    return options;
}

submitted_job wanting_job(const std::string& id, std::uint32_t steps = 1,
                          milliseconds estimate = milliseconds(1'000)) {
    locality_job shape;
    shape.steps = steps;
    shape.estimate = estimate;
    shape.rack = "rack-0";
    return make_locality_job(id, shape);
}

std::int64_t ms_between(instant from, instant to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

// Rack 0 is full for `length` from now on.
void block(locality_fleet& fleet, milliseconds length) {
    fleet.submit(make_blocker("blocker", 8, length));
    fleet.run_for(milliseconds(400));
    REQUIRE(fleet.instance_of.size() >= 8);
}

std::set<std::size_t> racks_of(const locality_fleet& fleet, const std::string& job) {
    std::set<std::size_t> racks;
    for (const auto& [task, instance] : fleet.instance_of) {
        if (task.job == job_id(job)) {
            racks.insert(instance / 8);
        }
    }
    return racks;
}

// The deadline of the newest report on the step, as a time of the fleet.
struct timed_waits {
    explicit timed_waits(locality_fleet& observed) : fleet(observed) {}
    std::optional<instant> next(milliseconds within) {
        const auto seen = fleet.waits.size();
        for (milliseconds passed{0}; passed < within; passed += milliseconds(1)) {
            fleet.run_for(milliseconds(1));
            if (fleet.waits.size() > seen) {
                return fleet.now() + fleet.waits.back().until_in;
            }
        }
        return std::nullopt;
    }
    locality_fleet& fleet;
};

}  // namespace

TEST_CASE("a step waits for a place that is free soon, and other steps pass it") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(800));
    fleet.submit(wanting_job("a"));
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a").empty());
    for (const int priority : {0, 2}) {
        locality_job other;
        other.priority = priority;
        const auto id = "other-" + std::to_string(priority);
        fleet.submit(make_locality_job(id, other));
        fleet.run_for(milliseconds(100));
        CHECK(racks_of(fleet, id) == std::set<std::size_t>{1});
    }
    fleet.run_for(milliseconds(3'000));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{0});
    CHECK(fleet.starts_elsewhere == 0);
    CHECK(fleet.violations.empty());
}

// With the factor at 1 nothing waits, whatever the step prefers, and rows stay as they were.
TEST_CASE("with factor 1 tasks go elsewhere at once, and rows hold no times") {
    locality_fleet fleet({});
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(800));
    fleet.submit(wanting_job("a", 2));
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    fleet.run_for(milliseconds(3'500));
    CHECK(fleet.waits.empty());
    for (const auto& [key, row] : fleet.rows) {
        CHECK(row.find("\"s\"") == std::string::npos);
        CHECK(row.find("\"w\"") == std::string::npos);
    }
}

TEST_CASE("a rack without executors, or drained, is not waited for") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    auto unknown = wanting_job("unknown");
    unknown.spec.steps[0].preferred_rack = rack_id("rack-9");
    fleet.submit(unknown);
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "unknown").size() > 0);
    fleet.drain_rack(0);
    fleet.submit(wanting_job("drained"));
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "drained") == std::set<std::size_t>{1});
}

TEST_CASE("an evacuated rack is not waited for") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(800));
    fleet.submit(wanting_job("a"));
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a").empty());
    fleet.jobs().set_evacuated({failure_domain_id("domain-0")});
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
}

// The policy service allows no executor of the rack: there is nothing to wait for.
TEST_CASE("a wait counts only executors with a permit") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    auto job = wanting_job("a");
    job.rules.requires_permit = true;
    fleet.jobs().set_queues({{job.queue, job.rules}});
    fleet.submit(job);
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a").empty());
    const executor_id allowed("executor-9");
    fleet.jobs().permits_granted({job.id, 0, 0}, {allowed}, {{allowed, "ticket"}},
                                 fleet.now() + std::chrono::seconds(5));
    fleet.run_for(milliseconds(150));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
}

// Places where the task may not run do not count: here executors without the required label.
TEST_CASE("a wait counts only places where the task may run") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    auto job = wanting_job("a");
    job.spec.steps[0].required_label = "rack-1";
    fleet.submit(job);
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    // One task for each executor: ten tasks do not fit on eight.
    auto spread = wanting_job("b");
    spread.spec.steps[0].max_per_executor = 1;
    fleet.submit(spread);
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "b") == std::set<std::size_t>{0, 1});
}

// A change of owner must neither begin the wait anew nor give up early.
TEST_CASE("a new owner computes the same deadline, also for a later step") {
    for (const std::uint32_t steps : {1U, 2U}) {
        CAPTURE(steps);
        locality_fleet fleet(waiting_options());
        fleet.run_for(milliseconds(1'200));
        timed_waits waits(fleet);
        fleet.submit(make_blocker("blocker", 8, milliseconds(steps == 1 ? 1'400 : 1'900)));
        fleet.run_for(milliseconds(100));
        auto job = wanting_job("a", steps);
        if (steps == 2) {
            // The first step runs anywhere.
            job.spec.steps[0].preferred_rack = rack_id();
            job.spec.steps[0].estimate = milliseconds(1'000);
        } else {
            fleet.run_for(milliseconds(900));
        }
        fleet.submit(job);
        const auto first = waits.next(milliseconds(2'000));
        REQUIRE(first);
        CHECK(*first > fleet.now() + milliseconds(300));
        fleet.run_for(milliseconds(100));
        fleet.take_over();
        const auto second = waits.next(milliseconds(1'000));
        REQUIRE(second);
        INFO("deadlines differ by " << ms_between(*first, *second) << " ms");
        CHECK(std::abs(ms_between(*first, *second)) <= 20);
        fleet.run_for(milliseconds(4'000));
        CHECK(fleet.starts_elsewhere == 0);
        CHECK(fleet.job_times.contains(job_id("a")));
        CHECK(fleet.violations.empty());
    }
}

// Rows of earlier builds lack the times, and odd ones must not end the coordinator.
TEST_CASE("rows without times of steps are read, and times of unknown steps are refused") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    auto job = wanting_job("a", 2);
    job.spec.steps[0].preferred_rack = rack_id();
    fleet.submit(job);
    fleet.run_for(milliseconds(1'500));
    auto& row = fleet.rows.at({job_id("a"), 0});
    const auto begin = row.find(",\"s\":[[0,0,");
    REQUIRE(begin != std::string::npos);
    const auto end = row.find("]]", begin) + 2;
    const auto times = row.substr(begin, end - begin);
    SUBCASE("without") {
        row.erase(begin, times.size());
        fleet.take_over();
        fleet.run_for(milliseconds(4'000));
        CHECK(fleet.violations.empty());
        CHECK(fleet.job_times.contains(job_id("a")));
        CHECK(racks_of(fleet, "a").contains(0));
    }
    SUBCASE("of a step that the job does not have") {
        row.replace(begin, times.size(), ",\"s\":[[0,9,1700003602384],[7,0,1]]");
        fleet.take_over();
        fleet.run_for(milliseconds(4'000));
        CHECK(fleet.violations.size() == 1);
        CHECK(fleet.job_times.contains(job_id("a")));
    }
    SUBCASE("in the far future") {
        row.replace(begin, times.size(),
                    ",\"s\":[[0,0,3999999999999]],\"w\":[[0,1,3999999999999]]");
        fleet.take_over();
        fleet.run_for(milliseconds(4'000));
        CHECK(fleet.violations.empty());
        CHECK(fleet.job_times.contains(job_id("a")));
    }
}

TEST_CASE("a wait that is over stays over under a new owner") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    // Longer than the wait pays, but not known to be.
    fleet.submit(make_blocker("blocker", 8, milliseconds(20'000)));
    fleet.run_for(milliseconds(400));
    fleet.submit(wanting_job("a"));
    fleet.run_for(milliseconds(100));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    fleet.take_over();
    // Their runs end with the frozen instances, and start elsewhere again.
    fleet.freeze(8);
    fleet.run_for(milliseconds(12'000));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    CHECK(fleet.job_times.contains(job_id("a")));
    CHECK(fleet.violations.empty());
}

TEST_CASE("while writes fail nothing starts, and the wait ends when it should") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(900));
    timed_waits waits(fleet);
    fleet.submit(wanting_job("a"));
    const auto until = waits.next(milliseconds(200));
    REQUIRE(until);
    fleet.fail_writes(milliseconds(2'000));
    const auto starts = fleet.started_at.size();
    fleet.run_for(milliseconds(1'900));
    CHECK(fleet.started_at.size() == starts);
    fleet.run_for(milliseconds(5'000));
    CHECK(fleet.job_times.contains(job_id("a")));
    for (const auto& wait : fleet.waits) {
        CHECK(wait.until_in <= milliseconds(750));
    }
    CHECK(fleet.violations.empty());
}

// The agents stop reporting: the rack has no instance that accepts starts after 2 s.
TEST_CASE("tasks do not wait until their deadline for a rack whose agents are frozen") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(4'500));
    timed_waits waits(fleet);
    fleet.submit(wanting_job("a", 1, milliseconds(10'000)));
    const instant submitted = fleet.now();
    const auto until = waits.next(milliseconds(200));
    REQUIRE(until);
    CHECK(ms_between(submitted, *until) > 5'000);
    for (std::size_t i = 0; i < 8; ++i) {
        fleet.freeze(i);
    }
    fleet.run_for(milliseconds(2'500));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    CHECK(fleet.violations.empty());
}

TEST_CASE("one frozen agent does not end the wait for the others of its rack") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(800));
    fleet.submit(wanting_job("a"));
    fleet.run_for(milliseconds(100));
    fleet.freeze(3);
    fleet.run_for(milliseconds(2'500));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{0});
    CHECK(fleet.starts_elsewhere == 0);
}

TEST_CASE("a step on a single rack takes the rack with places for all its tasks") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    // Seven of eight executors of rack 0 are full; one holds 8 tasks of 4 cores.
    fleet.submit(make_blocker("blocker", 7, milliseconds(10'000)));
    fleet.run_for(milliseconds(400));
    for (const bool is_gang : {false, true}) {
        locality_job shape;
        shape.tasks = 20;
        shape.millicores_each = 4'000;
        const std::string id = is_gang ? "gang" : "group";
        auto job = make_locality_job(id, shape);
        job.spec.steps[0].is_single_rack = true;
        job.spec.steps[0].is_gang = is_gang;
        fleet.submit(job);
        fleet.run_for(milliseconds(200));
        CHECK(racks_of(fleet, id) == std::set<std::size_t>{1});
    }
}

TEST_CASE("a step on a single rack waits for the rack with places soonest, gangs included") {
    for (const bool is_gang : {false, true}) {
        CAPTURE(is_gang);
        locality_fleet fleet(waiting_options());
        fleet.run_for(milliseconds(1'200));
        block(fleet, milliseconds(800));
        // Rack 1 has room for half of the tasks until later.
        locality_job other;
        other.tasks = 4;
        other.millicores_each = 31'700;
        other.estimate = milliseconds(9'000);
        fleet.submit(make_locality_job("other", other));
        fleet.run_for(milliseconds(100));
        locality_job shape;
        shape.tasks = 60;
        shape.millicores_each = 4'000;
        auto job = make_locality_job("a", shape);
        job.spec.steps[0].is_single_rack = true;
        job.spec.steps[0].is_gang = is_gang;
        fleet.submit(job);
        fleet.run_for(milliseconds(1'000));
        CHECK(racks_of(fleet, "a") == std::set<std::size_t>{0});
        CHECK(fleet.violations.empty());
    }
}

TEST_CASE("a task that runs elsewhere moves back once, from its checkpoint, if that saves time") {
    locality_fleet fleet(waiting_options());
    fleet.run_for(milliseconds(1'200));
    block(fleet, milliseconds(8'000));
    locality_job shape;
    shape.rack = "rack-0";
    shape.estimate = milliseconds(10'000);
    shape.writes_checkpoints = true;
    fleet.submit(make_locality_job("a", shape));
    fleet.run_for(milliseconds(400));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{1});
    fleet.run_for(milliseconds(40'000));
    CHECK(racks_of(fleet, "a") == std::set<std::size_t>{0});
    CHECK(fleet.stops == 10);
    // 30 s without the move.
    CHECK(fleet.job_times.at(job_id("a")) < milliseconds(22'000));
    CHECK(fleet.violations.empty());
}
