// Tests which orders the agent repeats, withdraws and reports.

#include <doctest/doctest.h>

#include <algorithm>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct recorder final : agent_orders {
    void call_start(const start_order&, epoch_number) override { ++starts; }
    void call_stop(const task_key&, run_number, epoch_number) override { ++stops; }
    void call_pace(const task_key&, run_number, int percent, epoch_number) override {
        paces.push_back(percent);
    }
    void report_start(const task_key&, run_number, start_outcome outcome) override {
        outcomes.push_back(outcome);
    }
    void report_stop(const task_key&, run_number) override { ++stops_reported; }
    void report_finished(executor_incarnation,
                         const std::vector<finished_task>& completions) override {
        completions_reported += static_cast<int>(completions.size());
    }
    void report_executor_terminated(executor_incarnation,
                                    const std::vector<run_age>& ages) override {
        ++terminations;
        ages_at_end = ages;
    }

    int starts = 0;
    int stops = 0;
    int stops_reported = 0;
    int completions_reported = 0;
    int terminations = 0;
    std::vector<run_age> ages_at_end;
    std::vector<int> paces;
    std::vector<start_outcome> outcomes;
};

const task_key task{job_id("job"), 0, 0, 0};
constexpr epoch_number epoch{5};
constexpr run_number first_run{1};

struct fixture {
    manual_clock time;
    recorder orders;
    agent core{time, orders};

    fixture() {
        core.claim(epoch);
        core.executor_reported(info());
        deliver_view({}, {});
        core.lease_granted(time.now() + std::chrono::seconds(10));
    }
    static executor_info info() {
        executor_info known;
        known.id = executor_id("executor");
        known.incarnation = executor_incarnation(1);
        known.capacity = {millicores(8'000), mebibytes(1'000), accelerator_count(0)};
        return known;
    }
    bool deliver_view(std::vector<running_task> running, std::vector<finished_task> finished) {
        executor_view view;
        view.incarnation = executor_incarnation(1);
        view.requested_at = time.now();
        view.epoch = core.epoch();
        view.running = std::move(running);
        view.finished = std::move(finished);
        return core.executor_view_received(view);
    }
    void start() {
        start_order order;
        order.task = task;
        order.run = first_run;
        order.incarnation = executor_incarnation(1);
        core.start(order, epoch);
    }
};

}  // namespace

TEST_CASE(
    "an unanswered start is repeated, then withdrawn by a stop before it counts as not started") {
    fixture f;
    f.start();
    for (int repetition = 1; repetition <= 2; ++repetition) {
        f.core.start_answered(task, first_run, start_answer::no_answer);
        CHECK(f.orders.starts == repetition);
        f.deliver_view({}, {});
        CHECK(f.orders.starts == repetition + 1);
    }
    f.core.start_answered(task, first_run, start_answer::no_answer);
    CHECK(f.orders.stops == 1);
    CHECK(f.orders.outcomes.empty());
    f.time.advance(milliseconds(5));
    f.core.stop_answered(task, first_run, true);
    f.time.advance(milliseconds(5));
    f.deliver_view({}, {});
    REQUIRE(f.orders.outcomes.size() == 1);
    CHECK(f.orders.outcomes[0] == start_outcome::not_started);
}

// Guards against a second run at once: the next executor takes the start, with the longest lease.
TEST_CASE(
    "an unanswered start is not repeated at an executor that has taken the place of another") {
    fixture f;
    f.start();
    f.core.start_answered(task, first_run, start_answer::no_answer);
    executor_view next;
    next.incarnation = executor_incarnation(2);
    next.requested_at = f.time.now();
    next.epoch = epoch;
    f.core.executor_view_received(next);
    CHECK(f.orders.starts == 1);
    CHECK(f.orders.stops == 1);
}

// Guards against a start that reaches the executor seconds after its order, when its owner may have
// been replaced by one that does not count on it.
TEST_CASE("nothing starts that was ordered after an old grant") {
    const lease_timing timing;
    fixture f;
    const instant granted_at = f.core.lease_expires_at() - timing.lease_duration;
    const auto until = [&](instant when) {
        return std::chrono::duration_cast<milliseconds>(when - f.time.now());
    };
    SUBCASE("for the first time") {
        f.time.advance(until(granted_at + timing.max_start_delay));
        f.start();
        CHECK(f.orders.starts == 0);
        CHECK(f.orders.outcomes == std::vector{start_outcome::not_started});
    }
    SUBCASE("once more") {
        f.start();
        f.time.advance(until(granted_at + timing.max_start_delay));
        f.core.lease_granted(f.time.now() + timing.lease_duration);
        f.core.start_answered(task, first_run, start_answer::no_answer);
        CHECK(f.orders.starts == 1);
        CHECK(f.orders.stops == 1);
    }
    SUBCASE("just before that") {
        f.time.advance(until(granted_at + timing.max_start_delay) - milliseconds(1));
        f.start();
        CHECK(f.orders.starts == 1);
    }
}

// Guards against an agent that acts on a permission that ran out while it was suspended, or while
// it waited for an answer.
TEST_CASE("an unanswered start is not repeated after the lease has run out or a drain has begun") {
    fixture f;
    f.start();
    SUBCASE("the lease has run out") {
        f.time.advance(std::chrono::seconds(11));
    }
    SUBCASE("the executor drains") {
        auto draining = fixture::info();
        draining.is_draining = true;
        f.core.executor_reported(draining);
    }
    f.core.start_answered(task, first_run, start_answer::no_answer);
    CHECK(f.orders.starts == 1);
    CHECK(f.orders.stops == 1);
    CHECK(f.orders.outcomes.empty());
}

TEST_CASE("a view requested before the stop was confirmed does not resolve the stop") {
    fixture f;
    f.start();
    f.core.stop(task, first_run, epoch);
    executor_view old;
    old.incarnation = executor_incarnation(1);
    old.requested_at = f.time.now();
    old.epoch = epoch;
    f.time.advance(milliseconds(10));
    f.core.stop_answered(task, first_run, true);
    f.core.executor_view_received(old);
    CHECK(f.orders.stops_reported == 0);
    f.time.advance(milliseconds(10));
    f.deliver_view({}, {});
    CHECK(f.orders.stops_reported == 1);
}

TEST_CASE("a refused repeated start may have run: its completion is reported, not a refusal") {
    fixture f;
    f.start();
    f.core.start_answered(task, first_run, start_answer::no_answer);
    f.deliver_view({}, {});
    REQUIRE(f.orders.starts == 2);
    f.core.start_answered(task, first_run, start_answer::refused);
    CHECK(f.orders.outcomes.empty());
    f.deliver_view({}, {{completion_number(1), task, first_run, run_outcome::succeeded, ""}});
    CHECK(f.orders.completions_reported == 1);
    CHECK(std::count(f.orders.outcomes.begin(), f.orders.outcomes.end(),
                     start_outcome::not_started) == 0);
}

TEST_CASE("nothing starts on a draining executor, in another incarnation, or without a lease") {
    fixture f;
    auto draining = fixture::info();
    draining.is_draining = true;
    CHECK(f.core.executor_reported(draining));
    f.start();
    CHECK(f.orders.starts == 0);
    CHECK(f.orders.outcomes.size() == 1);
    f.core.executor_reported(fixture::info());  // a delayed report does not end the drain
    f.start();
    CHECK(f.orders.starts == 0);

    fixture expired;
    expired.time.advance(std::chrono::seconds(11));
    expired.start();
    CHECK(expired.orders.starts == 0);
}

TEST_CASE("orders of a replaced coordinator are ignored, and an earlier claim is refused") {
    fixture f;
    CHECK(f.core.claim(epoch_number(6)));
    f.start();
    CHECK(f.orders.starts == 0);
    CHECK_FALSE(f.core.claim(epoch));
}

// Guards against an order of an earlier connection that the executor carries out after the
// inventory was read.
TEST_CASE("a new claim needs a view under its own epoch before there is an inventory") {
    fixture f;
    CHECK(f.core.current_inventory().executor.has_value());
    f.core.claim(epoch_number(6));
    CHECK_FALSE(f.core.current_inventory().executor.has_value());
    executor_view old;
    old.incarnation = executor_incarnation(1);
    old.epoch = epoch;
    CHECK_FALSE(f.core.executor_view_received(old));
    CHECK_FALSE(f.core.current_inventory().executor.has_value());
    CHECK(f.deliver_view({{task, first_run, "", 10, 0}}, {}));
    CHECK(f.core.current_inventory().running.size() == 1);
}

TEST_CASE("a completion is reported once and discarded when it is acknowledged") {
    fixture f;
    const std::vector<finished_task> completions{
        {completion_number(1), task, first_run, run_outcome::succeeded, ""}};
    f.deliver_view({}, completions);
    f.deliver_view({}, completions);
    CHECK(f.orders.completions_reported == 1);
    CHECK(f.core.current_inventory().finished.size() == 1);
    f.core.acknowledge(executor_incarnation(1), completion_number(1));
    CHECK(f.core.acknowledged() == completion_number(1));
    CHECK(f.core.current_inventory().finished.empty());
    f.core.acknowledge(executor_incarnation(2), completion_number(9));  // of another incarnation
    CHECK(f.core.acknowledged() == completion_number(1));
}

TEST_CASE("a new incarnation of the executor discards the runs of the previous one") {
    fixture f;
    f.deliver_view({{task, first_run, "", 10, 0}}, {});
    auto restarted = fixture::info();
    restarted.incarnation = executor_incarnation(2);
    CHECK_FALSE(f.core.executor_reported(restarted));
    executor_view lists;
    lists.incarnation = restarted.incarnation;
    lists.epoch = epoch;
    CHECK(f.core.executor_view_received(lists));
    CHECK(f.orders.terminations == 1);
    CHECK(f.core.current_inventory().running.empty());
    CHECK_FALSE(
        f.core.executor_reported(fixture::info()));  // a delayed report of the first incarnation
    CHECK(f.core.executor()->incarnation == executor_incarnation(2));
}

TEST_CASE("an agent keeps interference estimates for the next owner") {
    fixture f;
    f.core.set_pressure("web", "heavy", 1.0);
    CHECK(f.core.claim(epoch_number(9)));
    CHECK(f.core.pressures().at("web").at("heavy") == 1.0);
}

TEST_CASE("an unconfirmed stop is repeated") {
    fixture f;
    f.core.stop(task, first_run, epoch);
    f.time.advance(milliseconds(250));
    f.core.tick();
    f.time.advance(milliseconds(250));
    f.core.tick();
    CHECK(f.orders.stops == 3);
    f.core.stop_answered(task, first_run, true);
    f.time.advance(milliseconds(250));
    f.core.tick();
    CHECK(f.orders.stops == 3);
}

// The coordinator tells by it which task may have crashed the executor.
TEST_CASE("the end of an executor is reported with the age of each of its runs") {
    fixture f;
    f.start();
    f.core.start_answered(task, first_run, start_answer::started);
    f.time.advance(milliseconds(400));
    f.deliver_view({{task, first_run, "", 10, 0}}, {});
    const task_key second{job_id("job"), 0, 0, 1};
    start_order order;
    order.task = second;
    order.run = first_run;
    order.incarnation = executor_incarnation(1);
    f.core.start(order, epoch);
    f.time.advance(milliseconds(200));
    f.core.executor_unreachable();
    // The inventory tells of the end, since the next executor may carry out the second start.
    CHECK(f.orders.terminations == 0);
    const auto found = f.core.current_inventory();
    REQUIRE(found.ended.has_value());
    REQUIRE(found.ended->unsettled.size() == 1);
    CHECK(found.ended->unsettled[0].task == second);
    CHECK_FALSE(found.ended->unsettled[0].is_listed);
    const auto& ages = found.ended->ages;
    REQUIRE(ages.size() == 2);
    CHECK(ages[0].task == second);
    CHECK(ages[0].age == milliseconds(0));
    CHECK(ages[1].task == task);
    CHECK(ages[1].age == milliseconds(400));
}

// Guards against a task that is taken for the cause of a crash since its executor, with which it
// had just begun, was cut off and ended unseen much later.
TEST_CASE("the age of a run is not reported if its executor was out of reach before its end") {
    fixture f;
    f.start();
    f.core.start_answered(task, first_run, start_answer::started);
    SUBCASE("it was in reach") {
        f.time.advance(milliseconds(700));
        f.core.executor_unreachable();
        REQUIRE(f.orders.ages_at_end.size() == 1);
        CHECK(f.orders.ages_at_end[0].age == milliseconds(0));
    }
    SUBCASE("it was out of reach") {
        f.time.advance(milliseconds(3'000));
        f.core.executor_unreachable();
        CHECK(f.orders.terminations == 1);
        CHECK(f.orders.ages_at_end.empty());
    }
}

// Guards against a run that stays although its stop was confirmed: the executor may have answered
// before it carried out the start.
TEST_CASE("a stop is repeated if the run is still listed a second after its confirmation") {
    fixture f;
    f.core.stop(task, first_run, epoch);
    f.core.stop_answered(task, first_run, true);
    f.time.advance(milliseconds(900));  // the run may take that long to end
    f.deliver_view({{task, first_run, "", 10, 0}}, {});
    CHECK(f.orders.stops == 1);
    f.time.advance(milliseconds(200));
    f.deliver_view({{task, first_run, "", 10, 0}}, {});
    CHECK(f.orders.stops == 2);
    // The repeated stop is confirmed and resolved like the first.
    f.time.advance(milliseconds(250));
    f.core.tick();
    CHECK(f.orders.stops == 3);
    f.core.stop_answered(task, first_run, true);
    f.time.advance(milliseconds(10));
    f.deliver_view({{task, first_run, "", 10, 0}}, {});
    CHECK(f.orders.stops == 3);
    CHECK(f.orders.stops_reported == 0);
    f.deliver_view({}, {});
    CHECK(f.orders.stops_reported == 1);
}

TEST_CASE("a list that was requested before the confirmation does not repeat the stop") {
    fixture f;
    executor_view old;
    old.incarnation = executor_incarnation(1);
    old.requested_at = f.time.now();
    old.epoch = epoch;
    old.running = {{task, first_run, "", 10, 0}};
    f.core.stop(task, first_run, epoch);
    f.core.stop_answered(task, first_run, true);
    f.time.advance(milliseconds(2'000));
    f.core.executor_view_received(old);
    CHECK(f.orders.stops == 1);
}
