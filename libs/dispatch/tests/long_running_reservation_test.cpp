// Decisions on capacity for long-running tasks: which instance, and which tasks are preempted.

#include "long_running_reservation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

const instant now{std::chrono::hours(1)};

resources cores(std::int64_t count) {
    return {millicores(count * 1'000), mebibytes(count * 1'000), accelerator_count(0)};
}

capacity_holder holder(const std::string& job, std::int64_t size, double work_done) {
    capacity_holder result;
    result.task = {job_id(job), 0, 0, 0};
    result.held = cores(size);
    result.is_preemptible = true;
    result.core_seconds_done = work_done;
    return result;
}

capacity_request request(std::int64_t size) {
    capacity_request result;
    result.task = {job_id("standing"), 0, 0, 0};
    result.demand = cores(size);
    result.preempt_at = now + milliseconds(1'500);
    return result;
}

std::vector<std::string> jobs_of(const capacity_plan& plan) {
    std::vector<std::string> names;
    for (const auto& key : plan.preempted) {
        names.push_back(key.job.value());
    }
    return names;
}

const auto any = [](std::size_t) { return true; };

}  // namespace

TEST_CASE("the instance whose capacity is expected to be free soonest is reserved") {
    auto early = holder("early", 8, 0);
    early.ends_at = now + milliseconds(400);
    auto late = holder("late", 8, 0);
    late.ends_at = now + milliseconds(1'400);
    const auto plan =
        choose_capacity({{0, cores(4), {late}}, {1, cores(4), {early}}}, request(10), now, any);
    REQUIRE(plan);
    CHECK(plan->instance == 1);
    CHECK(plan->free_at == now + milliseconds(400));
    CHECK(plan->preempted.empty());
}

TEST_CASE("tasks with checkpoints are preempted first, then those with the least work done") {
    auto saved = holder("saved", 4, 90);
    saved.writes_checkpoints = true;
    const reservable_instance instance{
        0, cores(0), {holder("old", 4, 50), holder("new", 4, 2), saved, holder("middle", 4, 9)}};
    const auto plan = plan_capacity(instance, request(8), now);
    REQUIRE(plan);
    CHECK(jobs_of(*plan) == std::vector<std::string>{"saved", "new"});
}

// Stopping small tasks one by one until the demand fits may stop some in vain.
TEST_CASE("no task is preempted without which the demand fits as well") {
    const reservable_instance instance{
        0, cores(0), {holder("small", 2, 1), holder("large", 8, 5), holder("rest", 2, 9)}};
    const auto plan = plan_capacity(instance, request(8), now);
    REQUIRE(plan);
    CHECK(jobs_of(*plan) == std::vector<std::string>{"large"});
}

TEST_CASE("tasks that must keep running are never preempted") {
    auto kept = holder("kept", 8, 1);
    SUBCASE("a gang member, or a long-running task") {
        kept.is_preemptible = false;
    }
    SUBCASE("a task of a higher priority") {
        kept.priority = 0;
    }
    SUBCASE("a task of a step of which too many tasks are unavailable") {
        kept.priority = 1;
        kept.step_allowance = 0;
    }
    auto wanted = request(8);
    wanted.priority = 1;
    CHECK(!plan_capacity({0, cores(4), {kept}}, wanted, now));
}

// Guards against a plan that counts each task of a limited step by itself.
TEST_CASE("one plan stops no more tasks of a step than may be unavailable") {
    auto first = holder("limited", 4, 1);
    first.step_allowance = 1;
    auto second = first;
    second.task.index = 1;
    CHECK(!plan_capacity({0, cores(0), {first, second}}, request(8), now));
    const auto plan =
        plan_capacity({0, cores(0), {first, second, holder("other", 4, 9)}}, request(8), now);
    REQUIRE(plan);
    CHECK(jobs_of(*plan) == std::vector<std::string>{"limited", "other"});
}

TEST_CASE("memory is freed by tasks that hold no processors") {
    auto filler = holder("filler", 0, 1);
    filler.held.memory = mebibytes(8'000);
    reservable_instance instance{0, cores(8), {holder("batch", 4, 0), filler}};
    instance.free.memory = mebibytes(0);
    const auto plan = plan_capacity(instance, request(8), now);
    REQUIRE(plan);
    CHECK(std::count(plan->preempted.begin(), plan->preempted.end(), filler.task) == 1);
}

TEST_CASE("the instance that refused a start is chosen only if there is no other") {
    auto wanted = request(8);
    wanted.avoided_instance = 0;
    const reservable_instance refusing{0, cores(8), {}};
    const auto plan =
        choose_capacity({refusing, {1, cores(0), {holder("batch", 8, 9)}}}, wanted, now, any);
    REQUIRE(plan);
    CHECK(plan->instance == 1);
    const auto only = choose_capacity({refusing}, wanted, now, any);
    REQUIRE(only);
    CHECK(only->instance == 0);
}

TEST_CASE("several tasks are reserved on an instance, which keeps the others free") {
    std::vector<reservable_instance> instances{{0, cores(0), {}}, {1, cores(0), {}}};
    for (auto& instance : instances) {
        for (int i = 0; i < 4; ++i) {
            instance.holders.push_back(
                holder("batch-" + std::to_string(instance.index) + std::to_string(i), 8, 1));
        }
    }
    long_running_reservations reserved;
    for (std::uint32_t i = 0; i < 2; ++i) {
        auto wanted = request(16);
        wanted.task.index = i;
        const auto plan = choose_capacity(instances, wanted, now, any);
        REQUIRE(plan);
        CHECK(plan->preempted.size() == 2);
        reserved.add(wanted.task, {plan->instance, wanted.demand, 0, now, now, true});
        apply_plan(instances, *plan, wanted, now);
    }
    CHECK(reserved.reserved_instances() == 1);
    // The instance is full: a third task must go to the other one, if it may.
    auto third = request(16);
    third.task.index = 2;
    third.needs_reserved_instance = true;
    CHECK(!choose_capacity(instances, third, now, any));
    third.needs_reserved_instance = false;
    CHECK(choose_capacity(instances, third, now, any));
}

TEST_CASE("only the task with the reservation and higher priorities start on a reserved instance") {
    long_running_reservations reserved;
    const task_key owner{job_id("standing"), 0, 0, 0};
    const task_key other{job_id("standing"), 0, 0, 1};
    reserved.add(owner, {3, cores(8), 1, now, now, false});
    CHECK(reserved.admits(3, owner, 1, true, cores(8), cores(8)));
    CHECK(reserved.admits(3, std::nullopt, 0, false, cores(8), cores(8)));
    CHECK(!reserved.admits(3, other, 1, false, cores(1), cores(32)));
    CHECK(!reserved.admits(3, other, 1, true, cores(4), cores(8)));
    CHECK(reserved.admits(3, other, 1, true, cores(4), cores(12)));
    CHECK(reserved.admits(2, other, 1, false, cores(1), cores(1)));
    reserved.remove(owner);
    CHECK(reserved.admits(3, other, 1, false, cores(1), cores(1)));
    CHECK(reserved.reserved_instances() == 0);
}
