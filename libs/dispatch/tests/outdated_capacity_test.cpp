// Tests that an agent carries out no start that was sent by a capacity that its executor no longer
// has: the coordinator may be suspended, or its link slow, while the executor shrinks.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct recorder final : agent_orders {
    void call_start(const start_order&, epoch_number) override { ++starts; }
    void call_stop(const task_key&, run_number, epoch_number) override { ++stops; }
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome outcome) override {
        outcomes.push_back(outcome);
    }
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>&) override {}
    void report_executor_terminated(executor_incarnation, const std::vector<run_age>&) override {}

    int starts = 0;
    int stops = 0;
    std::vector<start_outcome> outcomes;
};

const task_key task{job_id("job"), 0, 0, 0};
constexpr epoch_number epoch{5};
constexpr run_number first_run{1};

resources capacity_of(std::int64_t processors, std::int64_t memory) {
    return {millicores(processors), mebibytes(memory), accelerator_count(0)};
}

const resources full = capacity_of(8'000, 1'000);

struct fixture {
    manual_clock time;
    recorder orders;
    agent core{time, orders};

    fixture() {
        core.claim(epoch);
        report(full);
        view();
        core.lease_granted(time.now() + std::chrono::seconds(10));
    }
    void report(const resources& capacity) {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        info.capacity = capacity;
        core.executor_reported(info);
    }
    void view() {
        time.advance(milliseconds(5));
        executor_view lists;
        lists.incarnation = executor_incarnation(1);
        lists.requested_at = time.now();
        lists.epoch = epoch;
        core.executor_view_received(lists);
    }
    void start(std::optional<resources> capacity) {
        start_order order;
        order.task = task;
        order.run = first_run;
        order.incarnation = executor_incarnation(1);
        order.capacity = capacity;
        core.start(order, epoch);
    }
};

}  // namespace

TEST_CASE("a start that was sent by a larger capacity than the executor's is refused") {
    fixture f;
    SUBCASE("the processors have shrunk") {
        f.report(capacity_of(4'000, 1'000));
    }
    SUBCASE("the memory has shrunk") {
        f.report(capacity_of(16'000, 500));
    }
    f.start(full);
    CHECK(f.orders.starts == 0);
    REQUIRE(f.orders.outcomes.size() == 1);
    CHECK(f.orders.outcomes[0] == start_outcome::no_capacity);
}

TEST_CASE("a start that was sent by the executor's capacity or a smaller one is carried out") {
    fixture f;
    SUBCASE("the same capacity") {}
    SUBCASE("the executor has grown") {
        f.report(capacity_of(16'000, 2'000));
    }
    f.start(full);
    CHECK(f.orders.starts == 1);
}

TEST_CASE("a start of a coordinator that does not send the capacity is carried out") {
    fixture f;
    f.report(capacity_of(4'000, 1'000));
    f.start(std::nullopt);
    CHECK(f.orders.starts == 1);
}

TEST_CASE("an unanswered start is withdrawn, not repeated, after the capacity has shrunk") {
    fixture f;
    f.start(full);
    f.report(capacity_of(4'000, 1'000));
    f.core.start_answered(task, first_run, start_answer::no_answer);
    CHECK(f.orders.starts == 1);
    CHECK(f.orders.stops == 1);
    CHECK(f.orders.outcomes.empty());
    f.time.advance(milliseconds(5));
    f.core.stop_answered(task, first_run, true);
    f.view();
    REQUIRE(f.orders.outcomes.size() == 1);
    CHECK(f.orders.outcomes[0] == start_outcome::not_started);
}
