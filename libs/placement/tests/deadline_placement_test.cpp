#include <doctest/doctest.h>

#include <map>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

placement_input input_of(std::vector<worker_view> workers, std::vector<pending_task> tasks) {
    placement_input input;
    input.workers = std::move(workers);
    input.tasks = std::move(tasks);
    input.now = utc_millis(start_ms);
    return input;
}

}  // namespace

// Guards against deadlines missed because tasks with more slack are placed first, as by first fit.
TEST_CASE(
    "the task with the earliest latest start is placed first, urgent tasks before all others") {
    auto input = input_of({worker("w", amount(8, 8))},
                          {task("relaxed", amount(8, 8)), task("tight", amount(8, 8), 30)});
    CHECK(place_of(first_fit_placement().plan(input), "relaxed") == "w");
    CHECK(place_of(deadline_placement().plan(input), "tight") == "w");
    input.tasks.push_back(task("now", amount(8, 8), 900));
    input.tasks.back().priority = job_priority::urgent;
    CHECK(place_of(deadline_placement().plan(input), "now") == "w");
}

// Guards against cascading delays: a task that is already late makes the next one late too.
TEST_CASE("late tasks rank after tasks that can be on time and before tasks with much slack") {
    auto input = input_of({worker("w", amount(8, 8))},
                          {task("late", amount(8, 8), 5), task("tight", amount(8, 8), 12),
                           task("relaxed", amount(8, 8), 600)});
    CHECK(place_of(deadline_placement().plan(input), "tight") == "w");
    input.tasks.erase(input.tasks.begin() + 1);
    CHECK(place_of(deadline_placement().plan(input), "late") == "w");
}

// Guards against starvation of late tasks by a stream of tasks that can be on time.
TEST_CASE(
    "a late task is placed before new tasks with little slack once it has waited long enough") {
    auto input = input_of({worker("w", amount(8, 8))},
                          {task("late", amount(8, 8), 5), task("tight", amount(8, 8), 52)});
    input.now = utc_millis(start_ms + 40 * minute_ms);
    const auto plan = deadline_placement().plan(input);
    CHECK(place_of(plan, "late") == "w");
    CHECK(reason_of(plan, "tight") == "no_capacity");
}

// Guards against overcommitted workers, for random demands.
TEST_CASE("random plans never exceed the free capacity of a worker and account for every task") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_source random(seed);
        placement_input input = input_of({}, {});
        for (int i = 0; i < 100; ++i) {
            auto next = worker("w" + std::to_string(i), amount(32, 125, i % 5 == 0 ? 4 : 0));
            next.free -= amount(static_cast<std::int64_t>(random.below(32)), 0);
            next.accepts_work = !random.chance(0.1);
            input.workers.push_back(next);
        }
        for (int i = 0; i < 400; ++i) {
            input.tasks.push_back(task("j" + std::to_string(i % 50),
                                       amount(static_cast<std::int64_t>(random.below(40)),
                                              static_cast<std::int64_t>(random.below(150)),
                                              static_cast<std::int64_t>(random.below(2))),
                                       static_cast<std::int64_t>(random.below(900))));
            input.tasks.back().index = static_cast<std::uint32_t>(i);
        }
        const auto plan = deadline_placement().plan(input);
        std::map<std::string, worker_view> workers;
        for (const auto& view : input.workers) {
            workers[view.id.value()] = view;
        }
        for (const auto& placed : plan.placed) {
            auto& view = workers[placed.worker.value()];
            view.free -= input.tasks.at(placed.index).demand;
            INFO("seed " << seed << " worker " << placed.worker.value() << " left "
                         << to_string(view.free));
            CHECK(view.accepts_work);
            CHECK(view.free.is_non_negative());
        }
        INFO("seed " << seed);
        CHECK(plan.placed.size() + plan.unplaced.size() == input.tasks.size());
    }
}

// Guards against accelerators blocked by tasks that use none, as by first fit.
TEST_CASE("a task without accelerators prefers a worker without free accelerators") {
    const auto input = input_of({worker("gpu", amount(8, 8, 1)), worker("cpu", amount(8, 8))},
                                {task("plain", amount(8, 8)), task("render", amount(8, 8, 1))});
    CHECK(place_of(first_fit_placement().plan(input), "render").empty());
    const auto plan = deadline_placement().plan(input);
    CHECK(place_of(plan, "plain") == "cpu");
    CHECK(place_of(plan, "render") == "gpu");
}

// Guards against fragmentation of the free capacity, as by first fit.
TEST_CASE("small tasks fill partly used workers and leave an empty one for a large task") {
    auto half = worker("half", amount(16, 16));
    half.free = amount(8, 8);
    const auto input = input_of({worker("empty", amount(16, 16)), half},
                                {task("small", amount(4, 4), 30), task("large", amount(16, 16))});
    CHECK(place_of(first_fit_placement().plan(input), "large").empty());
    const auto plan = deadline_placement().plan(input);
    CHECK(place_of(plan, "small") == "half");
    CHECK(place_of(plan, "large") == "empty");
}

// Guards against the loss of all tasks of a job when one rack fails.
TEST_CASE("the tasks of a job are spread over racks and failure domains") {
    std::vector<worker_view> workers;
    for (int i = 0; i < 12; ++i) {
        workers.push_back(worker("w" + std::to_string(i), amount(64, 64)));
        workers.back().domain = failure_domain_id("d" + std::to_string(i / 3));
        workers.back().rack = rack_id("r" + std::to_string(i / 3));
    }
    auto input = input_of(workers, {});
    for (std::uint32_t i = 0; i < 8; ++i) {
        input.tasks.push_back(task("job", amount(4, 4)));
        input.tasks.back().index = i;
    }
    const auto largest = [&](const placement_plan& plan) {
        std::map<std::string, int> counts;
        int highest = 0;
        for (const auto& placed : plan.placed) {
            const auto view =
                std::find_if(workers.begin(), workers.end(),
                             [&](const worker_view& w) { return w.id == placed.worker; });
            highest = std::max(highest, ++counts[view->domain.value()]);
        }
        return highest;
    };
    CHECK(largest(first_fit_placement().plan(input)) == 8);
    CHECK(largest(deadline_placement().plan(input)) == 2);
}

// Guards against a job that can never run and blocks others or hides their reasons.
TEST_CASE("a task larger than any worker blocks no other and is reported with that reason") {
    const auto input = input_of({worker("w", amount(8, 8))},
                                {task("giant", amount(99, 8), 11), task("small", amount(8, 8))});
    const auto plan = deadline_placement().plan(input);
    CHECK(place_of(plan, "small") == "w");
    CHECK(reason_of(plan, "giant") == "larger_than_any_worker");
}

// Guards against repeated failures of a task on the same worker.
TEST_CASE("a task is not placed where it failed and is reported if no worker is left") {
    auto input = input_of({worker("a", amount(8, 8)), worker("b", amount(8, 8))},
                          {task("retry", amount(4, 4))});
    input.tasks[0].excluded_workers = {worker_id("a")};
    CHECK(place_of(deadline_placement().plan(input), "retry") == "b");
    input.tasks[0].excluded_workers.push_back(worker_id("b"));
    CHECK(reason_of(deadline_placement().plan(input), "retry") == "all_workers_excluded");
}

// Guards against services slowed down by tasks that could wait.
TEST_CASE("a task with slack is not placed on a worker whose services would slow down") {
    auto noisy = worker("noisy", amount(8, 8));
    noisy.interference = 1.2;
    auto input = input_of({noisy}, {task("flexible", amount(4, 4), 600)});
    CHECK(reason_of(deadline_placement().plan(input), "flexible") == "no_capacity");
    input.tasks[0] = task("tight", amount(4, 4), 12);
    CHECK(place_of(deadline_placement().plan(input), "tight") == "noisy");
    input.workers.push_back(worker("calm", amount(64, 64)));
    CHECK(place_of(deadline_placement().plan(input), "tight") == "calm");
}

// Guards against tasks without interference being excluded because of another task.
TEST_CASE("a task known to cause no interference may run where services are slowed down") {
    auto noisy = worker("noisy", amount(8, 8));
    noisy.interference = 1.2;
    auto input = input_of({noisy}, {task("flexible", amount(4, 4), 600)});
    input.tasks[0].interference = 0.0;
    CHECK(place_of(deadline_placement().plan(input), "flexible") == "noisy");
    input.workers[0].interference = 0.4;
    input.tasks[0].interference = 0.5;
    CHECK(place_of(deadline_placement().plan(input), "flexible").empty());
}

// Guards against several interfering tasks placed on one worker by a single plan.
TEST_CASE("the slowdown by tasks placed earlier in the same plan is taken into account") {
    auto input = input_of({worker("a", amount(64, 64)), worker("b", amount(64, 64))}, {});
    for (std::uint32_t i = 0; i < 6; ++i) {
        input.tasks.push_back(task("interfering", amount(4, 4), 600));
        input.tasks.back().index = i;
        input.tasks.back().interference = 0.5;
    }
    const auto plan = deadline_placement().plan(input);
    REQUIRE(plan.placed.size() == 2);
    CHECK(plan.placed[0].worker != plan.placed[1].worker);
}

// Guards against a team that uses the capacity of the others, and against idle capacity.
TEST_CASE("a team over its quota gets the capacity left by the teams within theirs") {
    auto input = input_of({worker("w", amount(8, 8))},
                          {task("over", amount(4, 4), 11), task("within", amount(8, 8), 600)});
    input.tasks[0].team = team_id("g");
    input.teams = {{team_id("g"), amount(8, 8), amount(8, 8), true},
                   {team_id("t"), amount(0, 0), amount(8, 8), true}};
    CHECK(place_of(deadline_placement().plan(input), "within") == "w");
    input.tasks.pop_back();
    CHECK(place_of(deadline_placement().plan(input), "over") == "w");
    input.teams[0].can_borrow = false;
    CHECK(reason_of(deadline_placement().plan(input), "over") == "over_quota");
}

// Guards against starvation of a large task by small ones, as by first fit.
TEST_CASE("a large task that has waited long is not starved by small ones") {
    const auto run = [](const placement_strategy& strategy) {
        // Four tasks of one core run; one of them completes each minute.
        std::vector<std::int64_t> end_minutes{1, 2, 3, 4};
        for (std::int64_t minute = 0; minute < 60; ++minute) {
            std::erase_if(end_minutes, [&](std::int64_t end) { return end <= minute; });
            auto view = worker("w", amount(4, 4));
            view.free -= amount(static_cast<std::int64_t>(end_minutes.size()), 0);
            auto input = input_of({view}, {});
            input.now = utc_millis(start_ms + minute * minute_ms);
            for (int i = 0; i < 4; ++i) {
                input.tasks.push_back(task("small", amount(1, 0), minute + 30));
                input.tasks.back().submitted_at = input.now;
            }
            input.tasks.push_back(task("large", amount(4, 0), 600));
            const auto plan = strategy.plan(input);
            if (!place_of(plan, "large").empty()) {
                return minute;
            }
            for (std::size_t i = 0; i < plan.placed.size(); ++i) {
                end_minutes.push_back(minute + 4 + static_cast<std::int64_t>(i));
            }
        }
        return std::int64_t{60};
    };
    CHECK(run(first_fit_placement()) == 60);
    CHECK(run(deadline_placement()) < 15);
}

// Guards against more claims in one transaction than the store accepts.
TEST_CASE("at most max_starts tasks are placed") {
    auto input =
        input_of({worker("w", amount(64, 64))},
                 {task("a", amount(1, 1)), task("b", amount(1, 1), 30), task("c", amount(1, 1))});
    input.max_starts = 1;
    const auto plan = deadline_placement().plan(input);
    CHECK(plan.placed.size() == 1);
    CHECK(place_of(plan, "b") == "w");
    CHECK(plan.unplaced.size() == 2);
}
