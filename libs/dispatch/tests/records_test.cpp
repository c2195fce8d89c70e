// Tests the encodings of table rows and task keys.

#include <doctest/doctest.h>

#include <limits>

#include "coordinator_state.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

submitted_job full_job() {
    submitted_job job;
    job.queue = queue_id("host/path/");
    job.rules.service = service_id("service");
    job.rules.priority = 2;
    job.rules.max_attempts = 3;
    job.rules.stretch = 1.5;
    job.rules.target = milliseconds(250);
    job.rules.requires_permit = true;
    job.accepted_at = utc_millis(1'700'000'000'000);
    job.spec.payload = "text";
    step_spec step;
    step.task_count = 3;
    step.demand = {millicores(500), mebibytes(256), accelerator_count(1)};
    step.estimate = milliseconds(900);
    step.required_label = "a";
    step.preferred_rack = rack_id("r1");
    step.max_per_executor = 2;
    step.image = "image";
    step.tail_target = milliseconds(24);
    step.max_unavailable = 0;
    step.writes_checkpoints = step.is_gang = step.is_single_rack = step.is_speculative = true;
    job.spec.steps = {step_spec{}, step};
    job.spec.steps[1].depends_on = {0};
    job.spec.occurrences = 2;
    job.spec.first_due = utc_millis(1'700'000'001'000);
    job.spec.interval = milliseconds(2'000);
    return job;
}

}  // namespace

TEST_CASE("a job's row is read back as it was written") {
    const auto row = encode_job(full_job());
    CHECK(encode_job(decode_job(row)) == row);
    const auto job = decode_job(row);
    CHECK(job.spec.steps[1].max_unavailable == 0U);
    CHECK_FALSE(job.spec.steps[0].max_unavailable.has_value());
    CHECK(job.rules.requires_permit);
    CHECK(job.spec.interval == milliseconds(2'000));
}

TEST_CASE("unreadable rows are reported, not treated as empty") {
    CHECK_THROWS_AS((void)decode_job("{"), error);
    CHECK_THROWS_AS((void)decode_job("{}"), error);
    CHECK_THROWS_AS((void)decode_job(R"({"queue":7})"), error);
    CHECK_FALSE(decode_job_phase("").has_value());
    CHECK_FALSE(decode_job_phase(R"({"p":9})").has_value());
    CHECK_FALSE(decode_job_phase(R"({"p":"1"})").has_value());
    CHECK(decode_job_phase(R"({"p":2})") == job_phase::completed);
    CHECK_FALSE(decode_progress(R"({"p":1,"t":[[0]]})").has_value());
}

TEST_CASE("crashes and executors in a progress row are read back, and may be missing") {
    const auto record = decode_progress(
        R"({"p":1,"t":[[0,1,2,5,0,"m1","",3,2],[0,1,3,1,0,"m1",""]],"e":{"m1":77},"d":[]})");
    REQUIRE(record.has_value());
    REQUIRE(record->histories.size() == 2);
    CHECK(record->histories[0].crashes.suspected == 3);
    CHECK(record->histories[0].crashes.confirmed == 2);
    CHECK(record->histories[1].crashes.suspected == 0);
    CHECK(record->executors.at(instance_name("m1")) == executor_incarnation(77));
    const auto earlier = decode_progress(R"({"p":1,"t":[[0,1,2,5,0,"m1",""]],"d":[]})");
    REQUIRE(earlier.has_value());
    CHECK(earlier->executors.empty());
    CHECK_FALSE(decode_progress(R"({"p":1,"t":[],"e":{"m1":"x"},"d":[]})").has_value());
}

TEST_CASE("malformed jobs are rejected with the reason") {
    job_spec job;
    CHECK_THROWS_AS(validate(job), error);
    job.steps.emplace_back();
    CHECK_NOTHROW(validate(job));
    job.steps[0].depends_on = {0};
    CHECK_THROWS_WITH_AS(validate(job), "a step can only come after earlier steps", error);
    job.steps[0].depends_on.clear();
    job.steps[0].task_count = 0;
    CHECK_THROWS_AS(validate(job), error);
    job.steps[0].task_count = max_tasks_per_step + 1;
    CHECK_THROWS_AS(validate(job), error);
}

// Guards against one job whose tasks exhaust the memory of owner after owner.
TEST_CASE("a job has a limited number of tasks over all its occurrences") {
    job_spec job;
    job.steps.resize(2);
    job.steps[0].task_count = max_tasks_per_step;
    job.steps[1].task_count = max_tasks_per_step;
    job.occurrences = max_tasks_per_job / (2 * max_tasks_per_step);
    CHECK_NOTHROW(validate(job));
    ++job.occurrences;
    CHECK_THROWS_AS(validate(job), error);
    job.occurrences = std::numeric_limits<std::uint32_t>::max();
    CHECK_THROWS_AS(validate(job), error);
    submitted_job stored = full_job();
    stored.spec.occurrences = job.occurrences;
    CHECK_THROWS_AS((void)decode_job(encode_job(stored)), error);
}

TEST_CASE("task keys are read back as written, and other texts are rejected") {
    const task_key key{job_id("5c0e7a21d94b36f8"), 0, 1, 17};
    CHECK(to_string(key) == "5c0e7a21d94b36f8.0.1.17");
    CHECK(parse_task_key(to_string(key)) == key);
    for (const char* text : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.-3", "a.1.2."}) {
        CHECK_FALSE(parse_task_key(text).has_value());
    }
}
