// Progress rows that no owner writes as they are: a row that ends one owner would end each of its
// successors, too.

#include <doctest/doctest.h>

#include "tanagerpaddle/dispatch.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using std::chrono::seconds;

namespace {

struct recorded_orders final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override { starts.push_back(order); }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    std::vector<start_order> starts;
};

// An owner that restores one job of two steps with two tasks each.
struct fixture {
    manual_clock time;
    recorded_orders orders;
    coordinator jobs{{}, time, orders};
    const job_id job{"job"};
    const instance_name name{"instance"};
    std::uint64_t completions = 0;

    bool restore(const std::string& row) {
        jobs.set_queues({{queue_id("queue"), rules()}});
        submitted_job submitted;
        submitted.id = job;
        submitted.queue = queue_id("queue");
        submitted.rules = rules();
        submitted.spec.steps.resize(2);
        for (auto& step : submitted.spec.steps) {
            step.task_count = 2;
            step.demand.processors = millicores(1'000);
            step.estimate = milliseconds(500);
        }
        submitted.spec.steps[1].depends_on = {0};
        jobs.add_job(submitted, milliseconds(0));
        return jobs.restore(job, row, time.now() + seconds(5));
    }
    static queue_rules rules() {
        queue_rules chosen;
        chosen.service = service_id("service");
        chosen.max_attempts = 3;
        return chosen;
    }
    [[nodiscard]] static executor_info executor(std::int64_t incarnation) {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(incarnation);
        info.service = service_id("service");
        info.capacity = {millicores(8'000), mebibytes(8'000), accelerator_count(0)};
        return info;
    }
    // Lets each task that is started finish at once.
    void run_for(milliseconds duration) {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds(100)) {
            time.advance(milliseconds(100));
            jobs.progress_reported(name, {}, {});
            jobs.plan();
            if (jobs.has_writes()) {
                (void)jobs.begin_write();
                jobs.write_done();
            }
            std::vector<finished_task> finished;
            for (; answered < orders.starts.size(); ++answered) {
                const auto& order = orders.starts[answered];
                jobs.start_reported(name, order.task, order.run, start_outcome::started);
                finished.push_back({completion_number(++completions), order.task, order.run,
                                    run_outcome::succeeded, ""});
            }
            jobs.runs_finished(name, executor_incarnation(2), finished);
        }
    }
    std::size_t answered = 0;
};

}  // namespace

// Guards against an owner that ends, and the next one after it, since the instance of a task that a
// row lists twice counts its demand twice.
TEST_CASE("a row that lists one task twice ends no owner") {
    fixture f;
    (void)f.restore(R"({"p":1,"t":[[0,0,0,1,0,"instance",""],[0,0,0,1,0,"instance",""]],"d":[]})");
    CHECK_NOTHROW(f.jobs.instance_claimed(f.name, {fixture::executor(1), {}, {}}));
    CHECK_NOTHROW(f.jobs.executor_changed(f.name, fixture::executor(2)));
    f.run_for(seconds(5));
    CHECK(f.jobs.status(f.job)->phase == job_phase::completed);
    CHECK(f.orders.starts.size() == 4);
}

// Guards against jobs that complete without running all their tasks, or never.
TEST_CASE("a task that a row lists as succeeded more than once counts once") {
    fixture f;
    SUBCASE("twice in one list") {
        (void)f.restore(R"({"p":1,"t":[],"d":[[0,0,[0,0]]]})");
    }
    SUBCASE("in two lists") {
        (void)f.restore(R"({"p":1,"t":[],"d":[[0,0,[0]],[0,0,[0]]]})");
    }
    SUBCASE("also as placed") {
        (void)f.restore(R"({"p":1,"t":[[0,0,0,1,0,"instance",""]],"d":[[0,0,[0]]]})");
    }
    f.jobs.instance_claimed(f.name, {fixture::executor(2), {}, {}});
    f.run_for(seconds(5));
    CHECK(f.jobs.status(f.job)->phase == job_phase::completed);
    CHECK(f.orders.starts.size() == 3);
}

// Guards against a second start of a task that runs, because an entry before its own is odd.
TEST_CASE("an entry for a task that the job does not have hides no other entry") {
    for (const char* odd : {"[9,0,0,1,0,\"\",\"\"]", "[0,9,0,1,0,\"\",\"\"]",
                            "[0,0,9,1,0,\"instance\",\"\"]", "[4294967295,0,0,1,0,\"\",\"\"]"}) {
        CAPTURE(odd);
        fixture f;
        CHECK_FALSE(f.restore(std::string(R"({"p":1,"t":[)") + odd +
                              R"(,[0,0,1,1,0,"lost",""]],"d":[[9,9,[9]]]})"));
        f.jobs.instance_claimed(f.name, {fixture::executor(2), {}, {}});
        f.run_for(seconds(3));
        for (const auto& order : f.orders.starts) {
            CHECK(order.task != task_key{f.job, 0, 0, 1});
        }
        f.run_for(seconds(10));
        CHECK(f.jobs.status(f.job)->phase == job_phase::completed);
    }
}
