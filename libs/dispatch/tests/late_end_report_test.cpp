// Late reports of an executor that has ended: the last ones may arrive after its end was noticed.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct silent_agent_orders final : agent_orders {
    void call_start(const start_order&, epoch_number) override {}
    void call_stop(const task_key&, run_number, epoch_number) override {}
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome) override {}
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>&) override {}
    void report_executor_terminated(executor_incarnation, const std::vector<run_age>&) override {}
};

executor_info make_executor(std::int64_t incarnation) {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(incarnation);
    return info;
}

}  // namespace

// Guards against crashes that count against the tasks of an executor that left as announced.
TEST_CASE("a late report of an executor does not change what is known of its end") {
    manual_clock time;
    silent_agent_orders orders;
    agent beside(time, orders);
    REQUIRE(beside.claim(epoch_number(1)));
    auto info = make_executor(1'000);
    beside.executor_reported(info);
    const task_key task{job_id("job"), 0, 0, 0};
    // The agent knows when the run began: its first view did not list it.
    executor_view view{info.incarnation, time.now(), beside.epoch(), {}, {}};
    REQUIRE(beside.executor_view_received(view));
    view.running = {{task, run_number(1), "", 100, 0}};
    beside.executor_view_received(view);
    info.is_draining = true;
    beside.executor_reported(info);
    beside.executor_unreachable();
    SUBCASE("of its own") {
        beside.executor_reported(make_executor(1'000));
    }
    SUBCASE("of one before it") {
        beside.executor_reported(make_executor(900));
    }
    beside.executor_unreachable();
    const auto found = beside.current_inventory();
    CHECK(found.is_vacant);
    REQUIRE(found.ended.has_value());
    CHECK(found.ended->incarnation.value() == 1'000);
    CHECK(found.ended->was_draining);
    CHECK(found.ended->ages.size() == 1);
}
