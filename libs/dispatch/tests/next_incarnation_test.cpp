// Tests what becomes of a start that reaches the executor which took the place of the intended one
// under the same id. Its run must not start elsewhere while it may be alive.

#include <doctest/doctest.h>

#include <utility>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

const instance_name crashed("crashed");
const instance_name other("other");
constexpr executor_incarnation first_life{1'000};
constexpr executor_incarnation second_life{2'000};
const task_key task{job_id("job"), 0, 0, 0};
const task_key second_task{job_id("job"), 0, 0, 1};
constexpr run_number run{1};

executor_info make_executor(executor_incarnation incarnation, std::int64_t processors = 8'000) {
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = incarnation;
    info.service = default_rules().service;
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(processors), mebibytes(16'000), accelerator_count(0)};
    return info;
}

struct owner final : coordinator_orders {
    owner(const tanagerpaddle::clock& time, const submitted_job& job)
        : jobs(coordinator::options{}, time, *this) {
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.add_job(job, milliseconds(0));
    }
    void start(const instance_name& instance, const start_order& order) override {
        started.emplace_back(instance, order);
    }
    void stop(const instance_name&, const task_key& key, run_number) override {
        stopped.push_back(key);
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void plan() {
        jobs.plan();
        while (jobs.has_writes()) {
            row = jobs.begin_write().front().value;
            jobs.write_done();
        }
    }

    std::vector<std::pair<instance_name, start_order>> started;
    std::vector<task_key> stopped;
    coordinator jobs;
    std::string row;
};

// An agent on whose instance both tasks of a job are ordered to start, linked to an owner.
struct fixture : agent_orders {
    manual_clock time;
    submitted_job job;
    agent beside{time, *this};
    std::unique_ptr<owner> current;

    fixture() {
        job = make_job("job", {1, 2, 4'000, milliseconds(1'000), /*is_long_running=*/false});
        current = std::make_unique<owner>(time, job);
        beside.executor_reported(make_executor(first_life));
        claim(1);
        deliver_lists(first_life);
        beside.lease_granted(time.now() + lease_timing{}.lease_duration);
        current->plan();
        REQUIRE(current->started.size() == 2);
        add_other_instance();
        for (const auto& [instance, order] : current->started) {
            beside.start(order, beside.epoch());
        }
        REQUIRE(calls == 2);
        current->started.clear();
        time.advance(milliseconds(5));
    }
    void call_start(const start_order&, epoch_number) override { ++calls; }
    void call_stop(const task_key& key, run_number, epoch_number) override {
        stop_calls.push_back(key);
    }
    void call_pace(const task_key&, run_number, int, epoch_number) override {}
    void report_start(const task_key& key, run_number number, start_outcome outcome) override {
        current->jobs.start_reported(crashed, key, number, outcome);
    }
    void report_stop(const task_key& key, run_number number) override {
        current->jobs.stop_confirmed(crashed, key, number);
    }
    void report_finished(executor_incarnation life,
                         const std::vector<finished_task>& list) override {
        current->jobs.runs_finished(crashed, life, list);
    }
    void report_executor_terminated(executor_incarnation life,
                                    const std::vector<run_age>& ages) override {
        ++terminations;
        current->jobs.executor_terminated(crashed, life, ages);
    }
    void claim(std::uint64_t epoch) {
        REQUIRE(beside.claim(claim_epoch(epoch_number(epoch), ++claims)));
        current->jobs.instance_claimed(crashed, beside.current_inventory());
    }
    void add_other_instance() const {
        current->jobs.instance_claimed(other, {make_executor(first_life), {}, {}});
    }
    void replace_owner() {
        auto next = std::make_unique<owner>(time, job);
        REQUIRE(
            next->jobs.restore(job.id, current->row, time.now() + lease_timing{}.expiry_delay()));
        current = std::move(next);
        add_other_instance();
        claim(2);
        current->plan();
    }
    // Delivers the orders to stop a run that the owner has given.
    void deliver_stops() {
        for (const auto& key : std::exchange(current->stopped, {})) {
            beside.stop(key, run, beside.epoch());
        }
        current->plan();
    }
    void deliver_lists(executor_incarnation life, std::vector<running_task> running = {},
                       std::vector<finished_task> finished = {}, bool is_complete = true) {
        time.advance(milliseconds(5));
        const bool needs_inventory =
            beside.executor_view_received({life, time.now(), beside.epoch(), std::move(running),
                                           std::move(finished), is_complete});
        if (needs_inventory) {
            current->jobs.instance_claimed(crashed, beside.current_inventory());
        }
        if (beside.needs_claim()) {
            claim(owner_epoch(beside.epoch()).value());
        }
        current->plan();
    }
    [[nodiscard]] std::vector<task_key> restarted() const {
        std::vector<task_key> keys;
        for (const auto& [instance, order] : current->started) {
            keys.push_back(order.task);
        }
        return keys;
    }

    int calls = 0;
    int terminations = 0;
    std::uint64_t claims = 0;
    std::vector<task_key> stop_calls;
};

running_task listed(const task_key& key) {
    return {key, run, "", 10, 0};
}

finished_task succeeded(std::uint64_t number, const task_key& key) {
    return {completion_number(number), key, run, run_outcome::succeeded, ""};
}

}  // namespace

TEST_CASE("a run that the next executor lists goes on there, and is not started again") {
    fixture f;
    f.beside.start_answered(second_task, run, start_answer::started);
    f.deliver_lists(first_life, {listed(second_task)});
    SUBCASE("the executor reports itself later") {
        f.deliver_lists(second_life, {listed(task)});
        CHECK(f.restarted() == std::vector{second_task});  // it was in the executor that ended
        f.beside.start_answered(task, run, start_answer::started);
        f.deliver_lists(second_life, {listed(task)});
        f.beside.executor_reported(make_executor(second_life));
    }
    SUBCASE("the executor has reported itself") {
        f.beside.executor_reported(make_executor(second_life));
    }
    SUBCASE("the owner is replaced before the executor reports itself") {
        // The link is closed before the inventory arrives.
        f.beside.executor_view_received(
            {second_life, f.time.now(), f.beside.epoch(), {listed(task)}, {}});
        f.replace_owner();
        f.deliver_lists(second_life, {listed(task)});
        f.beside.executor_reported(make_executor(second_life));
    }
    f.deliver_lists(second_life, {listed(task)});
    CHECK(f.restarted() == std::vector{second_task});
    f.deliver_lists(second_life, {}, {succeeded(1, task)});
    CHECK(f.restarted() == std::vector{second_task});
    CHECK(std::count(f.current->stopped.begin(), f.current->stopped.end(), task) == 0);
}

TEST_CASE("a run that the next executor has finished before it reports itself counts") {
    fixture f;
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    f.deliver_lists(second_life, {}, {succeeded(1, task), succeeded(2, second_task)});
    CHECK(f.current->jobs.status(f.job.id)->phase == job_phase::running);
    f.beside.executor_reported(make_executor(second_life));
    f.deliver_lists(second_life, {}, {succeeded(1, task), succeeded(2, second_task)});
    CHECK(f.restarted().empty());
    CHECK(f.current->jobs.status(f.job.id)->phase == job_phase::completed);
}

// The next executor refuses the start from the moment at which it knows the later epoch.
TEST_CASE("a start that is not answered is repeated once the next executor refuses it") {
    fixture f;
    const auto first_epoch = f.beside.epoch();
    f.beside.executor_reported(make_executor(second_life));
    f.deliver_lists(second_life);
    CHECK(f.beside.epoch() > first_epoch);
    CHECK_FALSE(f.beside.current_inventory().executor.has_value());
    CHECK(f.restarted().empty());  // the calls may be on their way
    SUBCASE("nobody answers") {}
    SUBCASE("the next executor refuses it") {
        f.beside.start_answered(task, run, start_answer::refused);
        f.beside.start_answered(second_task, run, start_answer::stale_epoch);
    }
    SUBCASE("the time for an answer passes") {
        f.beside.start_answered(task, run, start_answer::no_answer);
        f.beside.start_answered(second_task, run, start_answer::no_answer);
    }
    f.current->plan();
    CHECK(f.restarted().empty());
    SUBCASE("it has not carried out the starts") {
        f.deliver_lists(second_life);
        f.deliver_stops();
        CHECK(f.restarted() == std::vector{task, second_task});
        CHECK(f.stop_calls.empty());
    }
    SUBCASE("it has carried out one of them") {
        f.deliver_lists(second_life, {listed(task)});
        f.deliver_stops();
        CHECK(f.restarted() == std::vector{second_task});
    }
    SUBCASE("its lists are not complete") {
        f.deliver_lists(second_life, {}, {}, /*is_complete=*/false);
        f.deliver_stops();
        CHECK(f.restarted().empty());
        CHECK(f.stop_calls.size() == 2);
    }
}

// The lists were requested before the start was answered, so that they need not show the run.
TEST_CASE("a run whose start was answered while the lists were read is not started again") {
    fixture f;
    const executor_view early{second_life, f.time.now(), f.beside.epoch(), {}, {}};
    f.time.advance(milliseconds(5));
    f.beside.start_answered(task, run, start_answer::started);
    f.beside.start_answered(second_task, run, start_answer::started);
    REQUIRE(f.beside.executor_view_received(early));
    f.current->jobs.instance_claimed(crashed, f.beside.current_inventory());
    f.current->plan();
    CHECK(f.restarted().empty());
    CHECK(f.stop_calls.size() == 2);
    f.beside.stop_answered(task, run, true);
    f.beside.stop_answered(second_task, run, true);
    f.deliver_lists(second_life, {listed(task)}, {});
    CHECK(f.restarted() == std::vector{second_task});
}

// The start carries a time by the clock of the earlier executor: the lease may be the longest that
// the next one grants, from when the call for it arrives that is still open here.
TEST_CASE("a run that nobody resolves counts as ended when its longest lease has expired") {
    fixture f;
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    f.time.advance(lease_timing{}.call_expiry_delay() - milliseconds(10));
    f.add_other_instance();
    f.current->plan();
    CHECK(f.restarted().empty());
    f.time.advance(milliseconds(20));
    f.current->plan();
    CHECK(f.restarted().size() == 2);
}

TEST_CASE("runs end with an executor that ends before it has reported itself") {
    fixture f;
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    CHECK(f.restarted().empty());
    for (const auto& key : {task, second_task}) {
        f.beside.start_answered(key, run, start_answer::started);
    }
    REQUIRE(f.beside.executor_unreachable());
    f.current->jobs.instance_claimed(crashed, f.beside.current_inventory());
    f.current->plan();
    CHECK(f.restarted().size() == 2);
}

// The row of the run names the executor that it was meant for. The next owner learns from the agent
// alone that another one has it, also while that one is cut off.
TEST_CASE("a run that the next executor has is not started again by an owner that cannot see it") {
    fixture f;
    f.beside.executor_reported(make_executor(second_life));
    f.beside.start_answered(task, run, start_answer::started);
    f.beside.start_answered(second_task, run, start_answer::started);
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    REQUIRE(f.beside.current_inventory().executor.has_value());
    SUBCASE("all runs are in its lists") {}
    SUBCASE("a run has finished") {
        f.deliver_lists(second_life, {listed(task)}, {succeeded(1, second_task)});
    }
    f.replace_owner();
    CHECK(f.restarted().empty());
    f.time.advance(lease_timing{}.expiry_delay() - milliseconds(10));
    f.current->plan();
    CHECK(f.restarted().empty());
}

// The owner would end all runs of the instance, and take its time until the inventory for an end.
TEST_CASE("the end of an executor is not reported before the runs of the next one") {
    fixture f;
    f.beside.executor_reported(make_executor(second_life));
    f.beside.start_answered(task, run, start_answer::started);
    f.beside.start_answered(second_task, run, start_answer::started);
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    CHECK(f.terminations == 0);
    CHECK(f.restarted().empty());
    f.deliver_lists(second_life, {listed(task), listed(second_task)});
    CHECK(f.restarted().empty());
    CHECK(f.current->stopped.empty());
}

// The next executor may yet take the call.
TEST_CASE("a start without an answer outlives the executor that refuses connections") {
    fixture f;
    f.beside.start_answered(second_task, run, start_answer::started);
    for (int attempt = 0; attempt < 4; ++attempt) {
        f.beside.start_answered(task, run, start_answer::no_answer);
    }
    REQUIRE_FALSE(f.beside.has_open_starts());
    REQUIRE(f.beside.executor_unreachable());
    f.current->jobs.instance_claimed(crashed, f.beside.current_inventory());
    f.current->plan();
    CHECK(f.restarted() == std::vector{second_task});
    SUBCASE("the next executor carries it out") {
        f.beside.executor_reported(make_executor(second_life));
        f.deliver_lists(second_life, {listed(task)});
        f.deliver_lists(second_life, {listed(task)});
        f.deliver_stops();
        CHECK(f.restarted() == std::vector{second_task});
    }
    SUBCASE("the next executor does not") {
        f.beside.executor_reported(make_executor(second_life));
        f.deliver_lists(second_life);
        f.deliver_lists(second_life);
        f.deliver_stops();
        CHECK(f.restarted() == std::vector{second_task, task});
    }
    SUBCASE("there is no next executor") {
        f.time.advance(lease_timing{}.max_expiry_delay() + milliseconds(10));
        f.add_other_instance();
        f.current->plan();
        CHECK(f.restarted() == std::vector{second_task, task});
    }
}

// A call for the executor before may have extended the leases up to the longest.
TEST_CASE("runs of an executor that was replaced shortly before count until the longest lease") {
    fixture f;
    const auto replace_executor = [&] {
        f.beside.executor_reported(make_executor(second_life));
        f.beside.start_answered(task, run, start_answer::started);
        f.beside.start_answered(second_task, run, start_answer::started);
        f.deliver_lists(second_life, {listed(task), listed(second_task)});
        f.deliver_lists(second_life, {listed(task), listed(second_task)});
        REQUIRE(f.beside.current_inventory().executor.has_value());
    };
    replace_executor();
    const instant refuses_calls_since = f.time.now();
    f.time.advance(milliseconds(100));
    f.current->jobs.instance_disconnected(crashed, f.time.now() + lease_timing{}.expiry_delay());
    f.time.advance(lease_timing{}.expiry_delay() + milliseconds(100));
    REQUIRE(f.time.now() < refuses_calls_since + lease_timing{}.max_expiry_delay());
    f.current->plan();
    CHECK(f.restarted().empty());
    f.time.advance(lease_timing{}.max_expiry_delay() - lease_timing{}.expiry_delay());
    f.add_other_instance();
    f.current->plan();
    CHECK(f.restarted().size() == 2);
}
