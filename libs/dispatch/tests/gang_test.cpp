// The members of a gang are placed, started and resumed together.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct recorder final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

    std::vector<start_order> started;
};

// One instance on which a gang of two members runs.
struct fixture {
    manual_clock time;
    recorder orders;
    coordinator jobs{coordinator::options{}, time, orders};
    const instance_name name{"m1"};
    const executor_incarnation incarnation{1};

    fixture() {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = incarnation;
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(8'000), mebibytes(16'000), accelerator_count(0)};
        job_shape shape;
        shape.is_gang = shape.writes_checkpoints = true;
        const auto job = make_job("job", shape);
        jobs.set_queues({{job.queue, default_rules()}});
        jobs.instance_claimed(name, {info, {}, {}});
        jobs.add_job(job, milliseconds(0));
        start_members();
    }
    void start_members() {
        orders.started.clear();
        jobs.plan();
        static_cast<void>(jobs.begin_write());
        jobs.write_done();
        REQUIRE(orders.started.size() == 2);
        for (const auto& order : orders.started) {
            jobs.start_reported(name, order.task, order.run, start_outcome::started);
        }
    }
    // Both members end, since the executor of one of them stopped it.
    void end_members(const std::string& first, const std::string& second) {
        const auto started = orders.started;
        time.advance(milliseconds(100));
        jobs.runs_finished(name, incarnation,
                           {{completion_number(++completions), started[0].task, started[0].run,
                             run_outcome::stopped, first}});
        time.advance(milliseconds(100));
        jobs.runs_finished(name, incarnation,
                           {{completion_number(++completions), started[1].task, started[1].run,
                             run_outcome::gang_member_ended, second}});
    }
    std::uint64_t completions = 0;
};

}  // namespace

// Guards against members that resume from different points: each was started with its own
// checkpoint.
TEST_CASE("all members of a gang resume from the checkpoint that a member produced last") {
    fixture f;
    CHECK(f.orders.started[0].checkpoint.empty());
    CHECK(f.orders.started[1].checkpoint.empty());
    SUBCASE("each member produced one") {
        f.end_members("a", "b");
        f.start_members();
        CHECK(f.orders.started[0].checkpoint == "b");
        CHECK(f.orders.started[1].checkpoint == "b");
    }
    SUBCASE("only one member produced one") {
        f.end_members("a", "");
        f.start_members();
        CHECK(f.orders.started[0].checkpoint == "a");
        CHECK(f.orders.started[1].checkpoint == "a");
    }
    SUBCASE("a member has reported one while it ran, and the next run produces none") {
        const auto& order = f.orders.started[1];
        f.jobs.progress_reported(f.name, {{order.task, order.run, "c", 40, 0}}, {}, true);
        f.end_members("", "");
        f.start_members();
        f.end_members("", "");
        f.start_members();
        CHECK(f.orders.started[0].checkpoint == "c");
        CHECK(f.orders.started[1].checkpoint == "c");
    }
}

// Guards against capacity that nothing frees: a member whose start is refused after another has
// completed the gang counted as a run that exits by itself.
TEST_CASE("a member that did not start keeps no capacity once its gang has succeeded") {
    fixture f;
    const auto gang = f.orders.started;
    f.jobs.runs_finished(
        f.name, f.incarnation,
        {{completion_number(1), gang[0].task, gang[0].run, run_outcome::succeeded, ""}});
    f.jobs.start_reported(f.name, gang[1].task, gang[1].run, start_outcome::not_started);
    job_shape whole_instance;
    whole_instance.tasks = 1;
    whole_instance.millicores_each = 8'000;
    f.jobs.add_job(make_job("next", whole_instance), milliseconds(0));
    f.orders.started.clear();
    f.jobs.plan();
    static_cast<void>(f.jobs.begin_write());
    f.jobs.write_done();
    CHECK(f.orders.started.size() == 1);
}
