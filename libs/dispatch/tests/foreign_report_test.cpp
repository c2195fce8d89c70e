// Tests that a report of another writer does not hide the executor that the agent's calls reach.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct recorder final : agent_orders {
    void call_start(const start_order&, epoch_number) override { ++starts; }
    void call_stop(const task_key&, run_number, epoch_number) override {}
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key&, run_number, start_outcome) override {}
    void report_stop(const task_key&, run_number) override {}
    void report_finished(executor_incarnation, const std::vector<finished_task>& list) override {
        completions += list.size();
    }
    void report_executor_terminated(executor_incarnation incarnation,
                                    const std::vector<run_age>&) override {
        terminated.push_back(incarnation);
    }

    int starts = 0;
    std::size_t completions = 0;
    std::vector<executor_incarnation> terminated;
};

constexpr executor_incarnation life{1'000};
const task_key task{job_id("job"), 0, 0, 0};
constexpr run_number run{1};

executor_info make_report(executor_incarnation incarnation, const char* id, const char* service) {
    executor_info info;
    info.id = executor_id(id);
    info.incarnation = incarnation;
    info.service = service_id(service);
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
    return info;
}

executor_info sound_report() {
    return make_report(life, "executor", "service");
}

struct fixture {
    manual_clock time;
    recorder orders;
    agent core{time, orders};

    fixture() {
        core.claim(epoch_number(1));
        core.lease_granted(time.now() + std::chrono::seconds(10));
    }
    bool deliver_lists(executor_incarnation incarnation, std::vector<running_task> running = {},
                       std::vector<finished_task> finished = {}) {
        return core.executor_view_received(
            {incarnation, time.now(), core.epoch(), std::move(running), std::move(finished)});
    }
    void check_is_usable() {
        REQUIRE(core.current_inventory().executor.has_value());
        CHECK(core.current_inventory().executor->id == executor_id("executor"));
        start_order order;
        order.task = task;
        order.run = run;
        order.incarnation = life;
        core.start(order, core.epoch());
        CHECK(orders.starts == 1);
        deliver_lists(life, {{task, run, "", 10, 0}});
        CHECK(core.current_inventory().running.size() == 1);
        deliver_lists(life, {}, {{completion_number(1), task, run, run_outcome::succeeded, ""}});
        CHECK(orders.completions == 1);
        CHECK(orders.terminated.empty());
    }
};

}  // namespace

// Guards against an accepted job that stands still: the ends of its tasks were not taken note of.
TEST_CASE("a report of another incarnation does not replace the executor that answers") {
    fixture f;
    f.core.executor_reported(sound_report());
    REQUIRE(f.deliver_lists(life));
    SUBCASE("of a service that nobody uses") {
        CHECK_FALSE(f.core.executor_reported(
            make_report(executor_incarnation(2'000), "foreign", "another service")));
    }
    SUBCASE("of the executor's own id and service") {
        CHECK_FALSE(f.core.executor_reported(
            make_report(executor_incarnation(2'000), "executor", "service")));
    }
    SUBCASE("of an earlier one") {
        CHECK_FALSE(
            f.core.executor_reported(make_report(executor_incarnation(500), "foreign", "service")));
    }
    f.check_is_usable();
    // A new owner must not take the executor for ended.
    REQUIRE(f.core.claim(epoch_number(2)));
    CHECK_FALSE(f.core.current_inventory().ended.has_value());
}

TEST_CASE("a report that comes before that of the executor does not hide it") {
    fixture f;
    f.core.executor_reported(make_report(executor_incarnation(2'000), "foreign", "service"));
    f.core.executor_reported(sound_report());
    CHECK(f.deliver_lists(life));
    f.check_is_usable();
}

TEST_CASE("a report of the executor's incarnation with another id or service is ignored") {
    fixture f;
    f.core.executor_reported(sound_report());
    REQUIRE(f.deliver_lists(life));
    for (const auto& foreign : {make_report(life, "foreign", "service"),
                                make_report(life, "executor", "another service")}) {
        CHECK(f.core.contradicts_lists(foreign));
        CHECK_FALSE(f.core.executor_reported(foreign));
    }
    CHECK_FALSE(f.core.contradicts_lists(sound_report()));
    CHECK(f.core.executor()->service == service_id("service"));
    f.check_is_usable();
}

TEST_CASE("many reports of others do not end a drain, nor hide the executor's own") {
    fixture f;
    f.core.executor_reported(sound_report());
    REQUIRE(f.deliver_lists(life));
    auto draining = sound_report();
    draining.is_draining = true;
    CHECK(f.core.executor_reported(draining));
    for (std::int64_t other = 2'000; other < 2'100; ++other) {
        f.core.executor_reported(make_report(executor_incarnation(other), "foreign", "service"));
    }
    CHECK_FALSE(f.core.executor_reported(sound_report()));  // delayed
    CHECK(f.core.executor()->is_draining);
    auto smaller = sound_report();
    smaller.capacity.processors = millicores(4'000);
    CHECK(f.core.executor_reported(smaller));
    CHECK(f.core.executor()->capacity.processors == millicores(4'000));
}

// Guards against an executor that is never used again after the clock that tells its incarnation
// was set back.
TEST_CASE("an executor that restarts with an earlier incarnation is used") {
    fixture f;
    f.core.executor_reported(make_report(executor_incarnation(2'000), "executor", "service"));
    REQUIRE(f.deliver_lists(executor_incarnation(2'000)));
    f.core.executor_reported(sound_report());
    CHECK(f.deliver_lists(life));
    CHECK(f.orders.terminated == std::vector{executor_incarnation(2'000)});
    f.orders.terminated.clear();
    REQUIRE(f.core.needs_claim());
    REQUIRE(f.core.claim(epoch_number(2)));
    CHECK(f.deliver_lists(life));
    f.check_is_usable();
}
