// Long-running tasks whose starts are refused, limits on preemption, and the log of waits.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    struct sent {
        instance_name instance;
        task_key task;
        run_number run;
    };
    void start(const instance_name& instance, const start_order& order) override {
        starts.push_back({instance, order.task, order.run});
    }
    void stop(const instance_name& instance, const task_key& task, run_number run) override {
        stops.push_back({instance, task, run});
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void report_waiting_task(const waiting_task& waiting) override { waits.push_back(waiting); }

    std::vector<sent> starts;
    std::vector<sent> stops;
    std::vector<waiting_task> waits;
};

struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    std::vector<instance_name> names;
    std::set<instance_name> refusing;
    std::map<instance_name, std::uint64_t> completions;

    fixture() {
        time.advance(std::chrono::hours(1));
        jobs.set_queues({{queue_id("queue"), default_rules()}});
    }
    static executor_info info(const instance_name& name) {
        executor_info result;
        result.id = executor_id("executor-" + name.value());
        result.incarnation = executor_incarnation(1);
        result.service = default_rules().service;
        result.domain = failure_domain_id("domain");
        result.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        return result;
    }
    void add(const instance_name& name) {
        jobs.instance_claimed(name, {info(name), {}, {}});
        names.push_back(name);
    }
    // Plans, writes, and answers the orders: a stopped run ends as stopped.
    void pass() {
        time.advance(milliseconds(100));
        for (const auto& name : names) {
            jobs.progress_reported(name, {}, {});
        }
        const auto known_stops = orders.stops.size();
        jobs.plan();
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            const auto known = orders.starts.size();
            jobs.write_done();
            for (auto i = known; i < orders.starts.size(); ++i) {
                const auto sent = orders.starts[i];
                const bool is_refused = refusing.count(sent.instance) != 0;
                jobs.start_reported(
                    sent.instance, sent.task, sent.run,
                    is_refused ? start_outcome::not_started : start_outcome::started);
            }
        }
        for (auto i = known_stops; i < orders.stops.size(); ++i) {
            const auto sent = orders.stops[i];
            jobs.runs_finished(sent.instance, executor_incarnation(1),
                               {{completion_number(++completions[sent.instance]), sent.task,
                                 sent.run, run_outcome::stopped, ""}});
        }
    }
    void pass_for(milliseconds span) {
        for (; span.count() > 0; span -= milliseconds(100)) {
            pass();
        }
    }
    [[nodiscard]] std::size_t starts_of(const std::string& job, const instance_name& name) const {
        return static_cast<std::size_t>(
            std::count_if(orders.starts.begin(), orders.starts.end(), [&](const auto& sent) {
                return sent.task.job == job_id(job) && sent.instance == name;
            }));
    }
};

submitted_job batch(const std::string& id) {
    return make_job(id, {1, 1, 8'000, milliseconds(60'000)});
}

submitted_job standing(const std::string& id) {
    return make_job(id, {1, 1, 8'000, milliseconds(1'000), true});
}

// The batch tasks report no progress and are stopped as stalled after 3 s.
constexpr milliseconds time_before_stall{2'800};

const instance_name first{"m1"};
const instance_name second{"m2"};

}  // namespace

// An agent without a lease refuses starts at once, and the task used to be placed there again with
// the next pass, each time with a write, while its wait began anew.
TEST_CASE("a long-running task whose starts are refused gets capacity on another instance") {
    fixture f;
    f.add(first);
    f.jobs.add_job(batch("batch"), milliseconds(0));
    f.pass();
    REQUIRE(f.starts_of("batch", first) == 1);
    f.add(second);
    f.refusing.insert(second);
    f.jobs.add_job(standing("standing"), milliseconds(0));
    f.pass_for(time_before_stall);
    CHECK(f.starts_of("standing", first) == 1);
    CHECK(f.starts_of("standing", second) <= 4);
    // The preempted task has lost no attempt and waits.
    CHECK(f.jobs.status(job_id("batch"))->phase == job_phase::running);
}

TEST_CASE("a task of a step with max_unavailable keeps running while that many are unavailable") {
    for (const std::uint32_t max_unavailable : {0U, 1U, 2U}) {
        CAPTURE(max_unavailable);
        fixture f;
        f.add(first);
        f.add(second);
        auto limited = make_job("limited", {1, 3, 8'000, milliseconds(60'000)});
        limited.spec.steps.front().max_unavailable = max_unavailable;
        // Two of its three tasks run; the third finds no instance and is unavailable.
        f.jobs.add_job(limited, milliseconds(0));
        f.pass();
        REQUIRE(f.orders.starts.size() == 2);
        f.jobs.add_job(standing("standing"), milliseconds(0));
        f.pass_for(time_before_stall);
        CHECK(f.orders.stops.size() == (max_unavailable == 2 ? 1 : 0));
    }
}

TEST_CASE("gangs are not preempted") {
    fixture f;
    f.add(first);
    f.jobs.add_job(make_job("gang", {1, 2, 4'000, milliseconds(60'000), false, true}),
                   milliseconds(0));
    f.pass();
    REQUIRE(f.orders.starts.size() == 2);
    f.jobs.add_job(standing("standing"), milliseconds(0));
    f.pass_for(milliseconds(4'000));
    CHECK(f.orders.stops.empty());
}

// The log of a long wait used to tell nothing of its cause.
TEST_CASE(
    "a long-running task that waits is reported once a second with what each instance lacks") {
    fixture f;
    for (const auto* name : {"m1", "m2", "m3", "m4"}) {
        f.add(instance_name(name));
    }
    auto draining = fixture::info(first);
    draining.is_draining = true;
    f.jobs.executor_changed(first, draining);
    f.jobs.instance_disconnected(second, f.time.now() + milliseconds(60'000));
    f.jobs.add_job(standing("old-1"), milliseconds(0));
    f.jobs.add_job(standing("old-2"), milliseconds(0));
    f.pass();
    REQUIRE(f.orders.starts.size() == 2);
    f.jobs.add_job(standing("standing"), milliseconds(0));
    f.pass_for(milliseconds(5'000));
    CHECK(f.orders.waits.size() >= 3);
    CHECK(f.orders.waits.size() <= 5);
    REQUIRE(!f.orders.waits.empty());
    const auto& last = f.orders.waits.back();
    CHECK(last.task == task_key{job_id("standing"), 0, 0, 0});
    CHECK(last.waits_for == "capacity");
    CHECK(last.without_run >= milliseconds(3'000));
    const std::map<std::string_view, std::size_t> counts(last.instances_by_obstacle.begin(),
                                                         last.instances_by_obstacle.end());
    CHECK(counts == std::map<std::string_view, std::size_t>{
                        {"draining", 1}, {"not_linked", 1}, {"no_capacity", 2}});
}
