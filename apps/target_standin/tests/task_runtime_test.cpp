#include "task_runtime.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;
using standin::task_runtime;

namespace {

constexpr std::int64_t long_lease_ms = 1'000'000;

struct runtime_fixture {
    manual_clock time;
    memory_object_store objects;
    standin::fault_switches faults;
    standin::event_record record{"", worker_id("w1"), failure_domain_id("d1"), time};
    standin::runtime_options options = [] {
        standin::runtime_options result;
        result.capacity = {millicores(8'000), mebibytes(1'000), accelerator_count(0)};
        result.interference_per_processor = 0.5;
        return result;
    }();
    task_runtime runtime{options, time, objects, faults, record};

    void start(const start_permit& permit, std::int64_t lease_ms = long_lease_ms) {
        runtime.start(permit, lease_ms, time.now());
    }
    runtime_task only_task() {
        const auto tasks = runtime.list();
        REQUIRE(tasks.size() == 1);
        return tasks.front();
    }
};

start_permit permit_for(const std::string& job, const std::string& command,
                        std::uint32_t attempt = 1) {
    start_permit permit;
    permit.attempt = {{job_id(job), 0}, attempt_number(attempt)};
    permit.demand = {millicores(2'000), mebibytes(100), accelerator_count(0)};
    permit.valid_ms = 3'000;
    permit.run_time_ms = 1'000;
    permit.command = command;
    return permit;
}

template <class Call>
result_code code_of(Call&& call) {
    try {
        call();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

}  // namespace

TEST_CASE_FIXTURE(runtime_fixture,
                  "a task finishes after its true run time, not the declared one") {
    start(permit_for("j", "run_ms=4000"));
    time.advance(milliseconds(3'999));
    CHECK(only_task().state == runtime_task_state::running);
    CHECK(only_task().progress == doctest::Approx(0.99975));
    time.advance(milliseconds(2));
    CHECK(only_task().state == runtime_task_state::finished);
    CHECK(runtime.committed() == resources{});
}

// A task that runs on after its lease could run in two places.
TEST_CASE_FIXTURE(runtime_fixture, "a task whose lease is not renewed pauses at its end") {
    const auto permit = permit_for("j", "run_ms=1000");
    start(permit, 300);
    time.advance(milliseconds(200));
    runtime.renew({permit.attempt}, time.now() + milliseconds(300));
    time.advance(milliseconds(250));
    CHECK(only_task().state == runtime_task_state::running);
    time.advance(milliseconds(10'000));
    CHECK(only_task().state == runtime_task_state::paused);
    CHECK(only_task().progress == doctest::Approx(0.5));
    CHECK(only_task().run_ms == 500);
    CHECK(runtime.committed() == permit.demand);

    runtime.resume(permit.attempt, time.now() + milliseconds(1'000));
    time.advance(milliseconds(600));
    CHECK(only_task().state == runtime_task_state::finished);
}

// A renewal that waited in a socket while the worker was frozen must not revive the task.
TEST_CASE_FIXTURE(runtime_fixture,
                  "a renewal after a gap beyond the lease leaves the task paused") {
    const auto permit = permit_for("j", "run_ms=100000");
    start(permit, 300);
    time.advance(milliseconds(5'000));
    runtime.renew({permit.attempt}, time.now() + milliseconds(300));
    CHECK(only_task().state == runtime_task_state::paused);
    CHECK(only_task().run_ms == 300);
    runtime.resume(permit.attempt, time.now() - milliseconds(1));
    CHECK(only_task().state == runtime_task_state::paused);
}

// A start that waited in a socket could come after the drain of the failure domain.
TEST_CASE_FIXTURE(runtime_fixture, "a start that arrives after its permit or lease is refused") {
    const instant sent = time.now();
    time.advance(milliseconds(3'000));
    CHECK(code_of([&] { runtime.start(permit_for("j", ""), 60'000, sent); }) ==
          result_code::deadline_exceeded_not_run);
    CHECK(code_of([&] { runtime.start(permit_for("j", ""), 2'000, sent); }) ==
          result_code::deadline_exceeded_not_run);
    CHECK(runtime.list().empty());
}

TEST_CASE_FIXTURE(runtime_fixture, "a repeated start of a running attempt has no effect") {
    const auto permit = permit_for("j", "run_ms=1000");
    start(permit);
    time.advance(milliseconds(500));
    start(permit);
    CHECK(only_task().progress == doctest::Approx(0.5));
    time.advance(milliseconds(600));
    CHECK(code_of([&] { start(permit); }) == result_code::duplicate_request);
    runtime.forget(permit.attempt);
    CHECK(runtime.list().empty());
}

TEST_CASE_FIXTURE(runtime_fixture, "a start with a checkpoint goes on from its progress") {
    const auto first = permit_for("j", "run_ms=1000");
    start(first);
    time.advance(milliseconds(400));
    const std::string key = runtime.checkpoint(first.attempt);
    CHECK(key == checkpoint_key(first.attempt));
    CHECK(only_task().checkpoint == key);
    runtime.stop(first.attempt);
    CHECK(runtime.list().empty());
    auto second = permit_for("j", "run_ms=1000", 2);
    second.checkpoint = key;
    start(second);
    CHECK(only_task().progress == doctest::Approx(0.4));
    time.advance(milliseconds(601));
    CHECK(only_task().state == runtime_task_state::finished);
    auto third = permit_for("j", "", 3);
    third.checkpoint = "checkpoint/none";
    CHECK(code_of([&] { start(third); }) == result_code::malformed_request);
}

TEST_CASE_FIXTURE(runtime_fixture, "tasks fail where their command or the fault says") {
    start(permit_for("j", "run_ms=1000 fail=1 fail_at=0.25"));
    time.advance(milliseconds(251));
    CHECK(only_task().state == runtime_task_state::failed);
    CHECK(only_task().progress == doctest::Approx(0.25));
    runtime.forget(permit_for("j", "").attempt);
    faults.change({{"fail_tasks", true}});
    start(permit_for("k", "run_ms=1000"));
    CHECK(only_task().state == runtime_task_state::failed);
}

TEST_CASE_FIXTURE(runtime_fixture, "a hold occupies its resources, uses none and never finishes") {
    auto permit = permit_for("j", "");
    permit.kind = job_kind::hold;
    start(permit);
    time.advance(milliseconds(900'000));
    CHECK(only_task().state == runtime_task_state::running);
    CHECK(only_task().used_processors == millicores(0));
    CHECK(runtime.committed() == permit.demand);
    CHECK(runtime.request_slowdown() == doctest::Approx(1.0));
}

TEST_CASE_FIXTURE(runtime_fixture,
                  "batch tasks slow requests and each other by the processors used") {
    start(permit_for("a", "run_ms=1000"));
    CHECK(runtime.request_slowdown() == doctest::Approx(2.0));
    start(permit_for("b", "run_ms=1000 usage_percent=50"));
    CHECK(runtime.request_slowdown() == doctest::Approx(2.5));
    time.advance(milliseconds(600));
    // a is slowed by one processor of b, b by two processors of a.
    CHECK(runtime.list()[0].progress == doctest::Approx(0.4));
    CHECK(runtime.list()[1].progress == doctest::Approx(0.3));
    runtime.throttle(permit_for("a", "").attempt, 50);
    CHECK(runtime.request_slowdown() == doctest::Approx(2.0));
}

TEST_CASE_FIXTURE(runtime_fixture, "usage is reported with the platform's lag") {
    start(permit_for("j", "run_ms=100000"));
    time.advance(milliseconds(1'990));
    CHECK(only_task().used_processors == millicores(0));
    time.advance(milliseconds(20));
    CHECK(only_task().used_processors == millicores(2'000));
    runtime.pause(permit_for("j", "").attempt);
    time.advance(milliseconds(1'000));
    CHECK(only_task().used_processors == millicores(2'000));
    time.advance(milliseconds(1'100));
    CHECK(only_task().used_processors == millicores(0));
}

// The users' platform does not prevent overcommitment, so a checker has to see it afterwards.
TEST_CASE_FIXTURE(runtime_fixture, "an overcommitment is allowed and remembered unless guarded") {
    for (int i = 0; i < 5; ++i) {
        start(permit_for("j" + std::to_string(i), "run_ms=10"));
    }
    time.advance(milliseconds(1'000));
    CHECK(runtime.committed() == resources{});
    CHECK(runtime.largest_committed().processors == millicores(10'000));

    options.refuses_overcommitment = true;
    task_runtime guarded(options, time, objects, faults, record);
    auto large = permit_for("large", "");
    large.demand.processors = millicores(8'001);
    CHECK(code_of([&] { guarded.start(large, 1'000, time.now()); }) == result_code::overloaded);
    CHECK(guarded.list().empty());
}
