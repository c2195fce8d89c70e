// Guards against owners that take memory for all work that was accepted, instead of the work that
// has begun or could start now: a few submissions then take each owner over its memory, and the
// next one after it, since they read the same rows.

#include <doctest/doctest.h>

#include "owner.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct fixture {
    manual_clock time;
    std::map<std::pair<job_id, std::uint32_t>, std::string> rows;
    std::vector<submitted_job> accepted;

    // A job that repeats its steps as often as it may, the first time after `delay`.
    submitted_job& repeated(const std::string& id, const job_shape& shape, milliseconds delay,
                            milliseconds interval) {
        auto job = make_job(id, shape);
        job.spec.occurrences =
            static_cast<std::uint32_t>(max_tasks_per_job / (shape.steps * shape.tasks));
        job.spec.first_due = utc_millis(time.utc_now().value() + delay.count());
        job.spec.interval = interval;
        return accepted.emplace_back(std::move(job));
    }
};

// What one job of two tasks may take, as a bound on the jobs that do no more than that.
constexpr std::size_t small_job_bytes = 4'096;
// Offered occurrences, and the states of a job whose steps have up to 1,000 tasks.
constexpr std::size_t bytes_of_offers = 2'000'000;

}  // namespace

TEST_CASE("a job that is not due takes the memory of its specification, whatever it repeats") {
    fixture f;
    for (int i = 0; i < 16; ++i) {
        f.repeated("job-" + std::to_string(i), {1, 6}, hours(1), minutes(1));
    }
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(8);
    CHECK(first.start().empty());
    CHECK(first.jobs.kept().jobs == 16);
    CHECK(first.jobs.kept().tasks == 0);
    CHECK(first.jobs.kept().bytes <= 16 * small_job_bytes);
    // All of them are promised, and the next owner knows them as well.
    CHECK(first.jobs.count().waiting_tasks == 16 * (max_tasks_per_job / 6 * 6));
    owner second(f.time, f.rows);
    second.load(f.accepted);
    CHECK(second.jobs.kept().tasks == 0);
    CHECK(second.jobs.kept().bytes <= 16 * small_job_bytes);
    CHECK(second.jobs.status(job_id("job-0"))->phase == job_phase::pending);
}

TEST_CASE("one occurrence of full size that is not due takes no memory for its tasks") {
    fixture f;
    for (int i = 0; i < 16; ++i) {
        auto& job = f.repeated("job-" + std::to_string(i), {64, 1'000}, hours(1), minutes(1));
        CHECK(job.spec.occurrences == 1);
    }
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(8);
    CHECK(first.start().empty());
    CHECK(first.jobs.kept().tasks == 0);
    CHECK(first.jobs.kept().bytes <= 16 * 64 * small_job_bytes / 4);
}

TEST_CASE("a job of full size takes memory for the tasks that have begun only") {
    fixture f;
    for (int i = 0; i < 4; ++i) {
        f.accepted.push_back(make_job("job-" + std::to_string(i), {64, 1'000}));
        for (auto& step : f.accepted.back().spec.steps) {
            step.depends_on.clear();
        }
    }
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(8);
    const auto runs = first.start();
    CHECK(runs.size() == 8);
    CHECK(first.jobs.kept().tasks == 8);
    owner second(f.time, f.rows);
    second.load(f.accepted);
    CHECK(second.jobs.kept().tasks == 8);
    // Tasks that have succeeded are numbers again.
    first.finish(runs);
    CHECK(first.run(100) == 800);
    CHECK(first.start().size() == 8);
    CHECK(first.jobs.kept().tasks == 8);
    CHECK(first.jobs.count().waiting_tasks == 4 * max_tasks_per_job - 8 - 808);
}

TEST_CASE("a backlog of occurrences takes memory for those that could start next") {
    fixture f;
    for (int i = 0; i < 16; ++i) {
        f.repeated("job-" + std::to_string(i), {1, 6}, milliseconds(0), milliseconds(0));
    }
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(8);
    const auto runs = first.start();
    CHECK(runs.size() == 8);
    CHECK(first.jobs.kept().tasks == 8);
    CHECK(first.jobs.kept().bytes <= bytes_of_offers);
    owner second(f.time, f.rows);
    second.load(f.accepted);
    second.jobs.plan();
    CHECK(second.jobs.kept().tasks == 8);
    CHECK(second.jobs.kept().bytes <= bytes_of_offers);
}

TEST_CASE("occurrences that are over take no memory, also in the next owner") {
    fixture f;
    auto& job = f.repeated("job", {2, 3}, hours(-999), hours(1));
    job.spec.occurrences = 2'000;
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(60);
    CHECK(first.run(200) == 6'000);
    CHECK(first.start().empty());
    CHECK(first.jobs.kept().tasks == 0);
    CHECK(first.jobs.kept().occurrences == 0);
    owner second(f.time, f.rows);
    second.load(f.accepted);
    CHECK(second.jobs.kept().tasks == 0);
    CHECK(second.jobs.kept().occurrences == 0);
    // Nothing is lost or doubled: the rest runs once.
    f.time.advance(hours(1'000));
    second.claim(60);
    CHECK(second.run(200) == 6'000);
    CHECK(second.start().empty());
    CHECK(second.jobs.status(job.id)->phase == job_phase::completed);
}

// Guards against bounds on what is offered that hide the occurrences which can still be in time.
TEST_CASE("an occurrence that can be in time starts before a backlog that cannot") {
    fixture f;
    auto& job = f.repeated("job", {1, 1, 1'000, milliseconds(100)}, hours(-1), seconds(1));
    owner only(f.time, f.rows);
    only.load(f.accepted);
    only.claim(1);
    const auto runs = only.start();
    REQUIRE(runs.size() == 1);
    // Late ones are 3 s and more late; see lateness_rank.
    CHECK(runs.front().task.occurrence >= 3'590);
    CHECK(runs.front().task.occurrence <= 3'601);
    CHECK(only.jobs.kept().occurrences <= 3 * 1'024);
    CHECK(job.spec.occurrences == max_tasks_per_job);
}

TEST_CASE("a cancelled job takes no memory for its tasks once its runs have ended") {
    fixture f;
    auto& job = f.repeated("job", {1, 6}, milliseconds(0), milliseconds(0));
    owner only(f.time, f.rows);
    only.load(f.accepted);
    only.claim(8);
    const auto runs = only.start();
    only.jobs.cancel_job(job.id);
    CHECK(only.start().empty());
    CHECK(only.jobs.kept().tasks == 8);
    for (const auto& order : runs) {
        only.jobs.stop_confirmed(only.instance, order.task, order.run);
    }
    CHECK(only.start().empty());
    CHECK(only.jobs.kept().tasks == 0);
    CHECK(only.jobs.kept().occurrences == 0);
}

// Guards against owners that are taken over their memory by hours of jobs that have ended.
TEST_CASE("the phase of a job that has ended is kept and nothing else, also in the next owner") {
    constexpr std::size_t job_count = 500;
    fixture f;
    for (std::size_t i = 0; i < job_count; ++i) {
        f.accepted.push_back(make_job("job-" + std::to_string(i), {1, 2}));
    }
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(100);
    first.jobs.cancel_job(job_id("job-7"));
    CHECK(first.run(11) == 2 * (job_count - 1));
    CHECK(first.start().empty());
    owner second(f.time, f.rows);
    second.load(f.accepted);
    for (auto* const each : {&first, &second}) {
        CHECK(each->jobs.kept().jobs == 0);
        CHECK(each->jobs.kept().ended_jobs == job_count);
        CHECK(each->jobs.kept().bytes <= job_count * 128);
        CHECK(each->jobs.status(job_id("job-6"))->phase == job_phase::completed);
        CHECK(each->jobs.status(job_id("job-7"))->phase == job_phase::cancelled);
        // What is read again, or asked too late, changes nothing.
        each->add(f.accepted.front());
        each->jobs.cancel_job(job_id("job-6"));
        CHECK(each->start().empty());
        CHECK(each->jobs.kept().jobs == 0);
        CHECK(each->jobs.status(job_id("job-6"))->phase == job_phase::completed);
    }
}

// A lost write leaves the phase that callers are told to the next one.
TEST_CASE("a job that has ended is kept until its phase is stored") {
    fixture f;
    f.accepted.push_back(make_job("job", {1, 1}));
    owner only(f.time, f.rows);
    only.load(f.accepted);
    only.claim(1);
    only.finish(only.start());
    only.jobs.plan();
    REQUIRE(only.jobs.has_writes());
    static_cast<void>(only.jobs.begin_write());
    only.jobs.plan();
    CHECK(only.jobs.kept().jobs == 1);
    only.jobs.write_failed();
    only.jobs.plan();
    CHECK(only.jobs.kept().jobs == 1);
    CHECK(only.jobs.status(job_id("job"))->phase == job_phase::running);
    CHECK(only.start().empty());
    CHECK(only.start().empty());
    CHECK(only.jobs.kept().jobs == 0);
    CHECK(only.jobs.status(job_id("job"))->phase == job_phase::completed);
}
