#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

instant at(std::int64_t seconds) {
    return instant(std::chrono::seconds(3'600 + seconds));
}

running_task leaving(const std::string& job, std::int64_t due_minutes) {
    running_task result;
    result.job = job_id(job);
    result.worker = worker_id("old");
    result.demand = amount(4, 4);
    result.complete_by = utc_millis(start_ms + due_minutes * minute_ms);
    result.remaining_run_time = milliseconds(10 * minute_ms);
    return result;
}

const utc_millis now{start_ms};

}  // namespace

// Guards against tasks with little slack that are moved last.
TEST_CASE("tasks move in the order of their latest start, and tasks that cannot be on time last") {
    domain_evacuation evacuation;
    const auto moves =
        evacuation.next_moves({leaving("relaxed", 500), leaving("late", 5), leaving("tight", 20)},
                              {worker("w", amount(64, 64))}, {}, now, at(0));
    REQUIRE(moves.size() == 3);
    CHECK(moves[0].job == job_id("tight"));
    CHECK(moves[1].job == job_id("relaxed"));
    CHECK(moves[2].job == job_id("late"));
}

// Guards against moved tasks that fit no worker, and against checkpoint writes above the budget.
TEST_CASE("moves are limited by the free capacity of the destinations and by the write budget") {
    domain_evacuation evacuation({.moves_per_second = 2, .burst = 3});
    std::vector<running_task> tasks;
    for (int i = 0; i < 20; ++i) {
        tasks.push_back(leaving("j" + std::to_string(i), 100 + i));
    }
    const std::vector<worker_view> destinations{worker("w", amount(64, 64))};
    CHECK(evacuation.next_moves(tasks, destinations, {}, now, at(0)).size() == 3);
    CHECK(evacuation.next_moves(tasks, destinations, {}, now, at(1)).size() == 2);
    const std::vector<resources> pending_moves(15, amount(4, 4));
    CHECK(evacuation.next_moves(tasks, destinations, pending_moves, now, at(10)).size() == 1);
}

// Guards against the loss of tasks that cannot resume and against moves of nearly finished tasks.
TEST_CASE("holds, tasks that cannot resume and tasks about to complete are not moved") {
    auto hold = leaving("hold", 100);
    hold.kind = job_kind::hold;
    auto watch = leaving("watch", 100);
    watch.can_resume = false;
    auto ending = leaving("ending", 100);
    ending.remaining_run_time = milliseconds(5'000);
    domain_evacuation evacuation;
    CHECK(
        evacuation.next_moves({hold, watch, ending}, {worker("w", amount(64, 64))}, {}, now, at(0))
            .empty());
}

// Guards against a returned failure domain that receives all starts at once.
TEST_CASE("a returned failure domain is refilled at a bounded rate") {
    domain_evacuation evacuation;
    const failure_domain_id domain("gardone");
    CHECK(evacuation.allowed_starts(domain, at(0)) > 1'000'000);
    evacuation.on_domain_returned(domain, at(0));
    CHECK(evacuation.allowed_starts(domain, at(0)) == 0);
    CHECK(evacuation.allowed_starts(domain, at(2)) == 20);
    evacuation.record_starts(domain, 15);
    CHECK(evacuation.allowed_starts(domain, at(2)) == 5);
    CHECK(evacuation.allowed_starts(domain, at(120)) > 1'000'000);
}
