// Tests that an agent sends no start while another executor than the intended one may listen.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

constexpr executor_incarnation first_life{1'000};
constexpr executor_incarnation second_life{2'000};
const task_key task{job_id("job"), 0, 0, 0};
constexpr run_number run{1};

struct fixture : agent_orders {
    manual_clock time;
    agent core{time, *this};

    fixture() {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = first_life;
        info.capacity = {millicores(8'000), mebibytes(1'000), accelerator_count(0)};
        core.executor_reported(info);
        core.claim(epoch_number(1));
        deliver_lists(first_life);
        core.lease_granted(time.now() + std::chrono::seconds(10));
    }
    void call_start(const start_order&, epoch_number) override { ++starts; }
    void call_stop(const task_key&, run_number, epoch_number) override { ++stops; }
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome outcome) override {
        outcomes.push_back(outcome);
    }
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>&) override {}
    void report_executor_terminated(executor_incarnation,
                                    const std::vector<run_age>& ages) override {
        ages_at_end = ages;
        ++terminations;
    }
    void deliver_lists(executor_incarnation life) {
        time.advance(milliseconds(5));
        core.executor_view_received({life, time.now(), core.epoch(), {}, {}});
    }
    void order_start() {
        start_order order;
        order.task = task;
        order.run = run;
        order.incarnation = first_life;
        core.start(order, core.epoch());
    }

    int starts = 0;
    int stops = 0;
    int terminations = 0;
    std::vector<run_age> ages_at_end;
    std::vector<start_outcome> outcomes;
};

}  // namespace

TEST_CASE("a start that is ordered after a lost connection is sent once the lists are read") {
    fixture f;
    f.core.connection_lost();
    f.order_start();
    CHECK(f.starts == 0);
    f.deliver_lists(first_life);
    CHECK(f.starts == 1);
    f.deliver_lists(first_life);
    CHECK(f.starts == 1);
    CHECK(f.outcomes.empty());
}

// Guards against a second run at once, and against crashes that count against tasks which the
// executor never got.
TEST_CASE("a start that was not sent ends with the executor that it was meant for") {
    fixture f;
    f.core.connection_lost();
    f.order_start();
    f.deliver_lists(second_life);
    CHECK(f.starts == 0);
    CHECK(f.stops == 0);
    CHECK(f.terminations == 1);
    CHECK(f.ages_at_end.empty());
    CHECK(f.core.current_inventory().ended->unsettled.empty());
}

TEST_CASE("an unanswered start is not repeated after a lost connection until the lists are read") {
    fixture f;
    f.order_start();
    f.core.connection_lost();
    f.core.start_answered(task, run, start_answer::no_answer);
    CHECK(f.starts == 1);
    SUBCASE("the executor is the same") {
        f.deliver_lists(first_life);
        CHECK(f.starts == 2);
        CHECK(f.stops == 0);
    }
    SUBCASE("another executor answers") {
        f.deliver_lists(second_life);
        CHECK(f.starts == 1);
        CHECK(f.stops == 1);
        CHECK(f.core.current_inventory().ended->unsettled.size() == 1);
    }
}

TEST_CASE("a start is refused if no lists come for half a second") {
    fixture f;
    f.core.connection_lost();
    f.order_start();
    f.time.advance(milliseconds(400));
    f.core.tick();
    CHECK(f.outcomes.empty());
    f.time.advance(milliseconds(200));
    f.core.tick();
    CHECK(f.outcomes == std::vector{start_outcome::not_started});
    f.deliver_lists(first_life);
    CHECK(f.starts == 0);
}
