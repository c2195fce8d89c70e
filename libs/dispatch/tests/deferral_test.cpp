// Guards against owners that are taken over their memory by accepted jobs that have not begun: each
// is small, and nothing bounds how many there are in the table. The cases with a limit on what is
// kept run beside the rule before it, without one.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "owner.hpp"
#include "unstarted_jobs.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using std::chrono::hours;
using std::chrono::seconds;

namespace {

constexpr std::size_t limit = 400'000;
// Of a job that is deferred.
constexpr std::size_t deferred_bytes = 512;

coordinator::options limited(std::size_t max_unstarted_bytes = limit) {
    coordinator::options options;
    options.max_unstarted_bytes = max_unstarted_bytes;
    return options;
}

struct fixture {
    manual_clock time;
    std::map<std::pair<job_id, std::uint32_t>, std::string> rows;
    std::vector<submitted_job> accepted;

    void accept(const std::string& name, std::size_t count, const job_shape& shape,
                milliseconds delay, const std::string& queue = "queue") {
        for (std::size_t i = 0; i < count; ++i) {
            auto job = make_job(name + "-" + std::to_string(i), shape);
            job.queue = queue_id(queue);
            if (delay.count() > 0) {
                job.spec.occurrences = 1;
                job.spec.first_due = utc_millis(time.utc_now().value() + delay.count());
            }
            accepted.push_back(std::move(job));
        }
    }
};

job_in_turn job_of(const std::string& id, const std::string& queue, int rank, double core_seconds,
                   bool must_wait = false) {
    static std::set<job_id> ids;
    static std::set<queue_id> queues;
    job_in_turn job{&*ids.emplace(id).first, &*queues.emplace(queue).first, {}, 10};
    job.turn.must_wait = must_wait;
    job.turn.rank = rank;
    job.turn.core_seconds = core_seconds;
    return job;
}

std::string text_of(const std::vector<job_id>& ids) {
    std::string text;
    for (const auto& id : ids) {
        text += (text.empty() ? "" : " ") + id.value();
    }
    return text;
}

}  // namespace

TEST_CASE("jobs that must wait are deferred first, then the last of the queue that takes most") {
    const std::vector<job_in_turn> kept{job_of("a1", "a", 0, 1), job_of("a2", "a", 0, 2),
                                        job_of("a3", "a", 1, 0), job_of("b1", "b", 2, 9),
                                        job_of("w1", "b", 0, 0, true)};
    CHECK(text_of(choose_deferred(kept, 0)) == "");
    CHECK(text_of(choose_deferred(kept, 10)) == "w1");
    CHECK(text_of(choose_deferred(kept, 11)) == "w1 a3");
    CHECK(text_of(choose_deferred(kept, 30)) == "w1 a3 a2");
    CHECK(text_of(choose_deferred(kept, 1'000)) == "w1 a3 a2");
}

TEST_CASE("deferred jobs are kept again in turn while there is room, and sooner if they outrank") {
    const std::vector<job_in_turn> kept{job_of("a1", "a", 0, 1), job_of("a2", "a", 1, 2),
                                        job_of("a3", "a", 1, 3), job_of("b1", "b", 0, 1)};
    const std::vector<job_in_turn> deferred{job_of("a4", "a", 1, 1), job_of("a5", "a", 1, 4),
                                            job_of("b2", "b", 1, 2), job_of("b3", "b", 1, 1),
                                            job_of("w1", "b", 0, 0, true)};
    CHECK(text_of(choose_kept(kept, deferred, 60, 9)) == "b3 b2");
    CHECK(text_of(choose_kept(kept, deferred, 1'000, 9)) == "b3 b2 a4 a5");
    CHECK(text_of(choose_kept(kept, deferred, 1'000, 1)) == "b3");
    CHECK(text_of(choose_kept(kept, {job_of("a4", "a", 1, 1)}, 0, 9)) == "");
    CHECK(text_of(choose_kept(kept, {job_of("a4", "a", 0, 9)}, 0, 9)) == "a4");
    // A queue that has next to nothing gets room at the cost of the largest.
    std::vector<job_in_turn> large(9, job_of("c", "c", 0, 0));
    CHECK(text_of(choose_kept(large, deferred, 0, 2)) == "a4 b3");
}

TEST_CASE("jobs that are not due are deferred beyond a limit, and end in time when they are due") {
    constexpr std::size_t count = 600;
    for (const auto max_bytes : {limit, std::size_t{100'000'000}}) {
        fixture f;
        f.accept("later", count, {64, 1, 1'000, milliseconds(10)}, hours(1));
        owner first(f.time, f.rows, limited(max_bytes));
        first.load(f.accepted);
        first.claim(100);
        CHECK(first.start().empty());
        const bool is_limited = max_bytes == limit;
        CHECK((first.jobs.kept().deferred_jobs > 0) == is_limited);
        CHECK((first.jobs.kept().bytes <= limit + count * deferred_bytes) == is_limited);
        CHECK(first.jobs.count().jobs == count);
        CHECK(first.jobs.count().waiting_tasks == count * 64);
        CHECK(first.jobs.status(job_id("later-599"))->phase == job_phase::pending);
        // An ordinary job is served beside them.
        f.accept("now", 1, {1, 2}, milliseconds(0));
        first.add(f.accepted.back());
        CHECK(first.run(4) == 2);
        owner second(f.time, f.rows, limited(max_bytes));
        second.load(f.accepted);
        second.claim(1'000);
        CHECK((second.jobs.kept().bytes <= limit + count * deferred_bytes) == is_limited);
        f.time.advance(hours(1) - seconds(1));
        CHECK(second.run(4) == 0);
        f.time.advance(seconds(1));
        CHECK(second.run(1'200) == count * 64);
        CHECK(second.jobs.count().jobs == 0);
        CHECK(second.jobs.kept().ended_jobs == count + 1);
        CHECK(second.jobs.status(job_id("later-599"))->phase == job_phase::completed);
    }
}

// With the rule before, the owner keeps what cannot start, whatever there is of it.
TEST_CASE("jobs that are due and find no executor leave room for those of other queues") {
    constexpr std::size_t count = 600;
    fixture f;
    f.accept("stuck", count, {64, 1}, milliseconds(0), "stuck");
    std::map<queue_id, queue_rules> queues{{queue_id("queue"), default_rules()},
                                           {queue_id("stuck"), default_rules()}};
    queues.at(queue_id("stuck")).service = service_id("absent");
    owner only(f.time, f.rows, limited());
    only.jobs.set_queues(queues);
    only.load(f.accepted);
    only.claim(4);
    CHECK(only.start().empty());
    CHECK(only.jobs.kept().bytes <= limit + count * deferred_bytes);
    for (int i = 0; i < 50; ++i) {
        f.accept("now" + std::to_string(i), 1, {1, 4}, milliseconds(0));
        only.add(f.accepted.back());
        CHECK(only.run(1) == 4);
    }
    CHECK(only.start().empty());
    CHECK(only.jobs.count().jobs == count);
    // Nor do they hold up others in an owner that reads all rows at once.
    f.accept("later", 50, {1, 4}, milliseconds(0));
    owner second(f.time, f.rows, limited());
    second.jobs.set_queues(queues);
    second.load(f.accepted);
    second.claim(4);
    CHECK(second.run(100) == 200);
    CHECK(second.jobs.kept().bytes <= limit + (count + 50) * deferred_bytes);
}

TEST_CASE("a job that can be in time is kept before late ones of its queue, and all of them end") {
    constexpr std::size_t count = 300;
    fixture f;
    f.accept("late", count, {64, 1, 1'000, milliseconds(10)}, milliseconds(0));
    owner only(f.time, f.rows, limited());
    only.load(f.accepted);
    f.time.advance(hours(1));
    f.accept("now", 1, {1, 1, 1'000, milliseconds(10)}, milliseconds(0));
    only.add(f.accepted.back());
    only.claim(1);
    const auto first = only.start();
    REQUIRE(first.size() == 1);
    CHECK(first.front().task.job == job_id("now-0"));
    only.finish(first);
    only.claim(500);
    CHECK(only.run(2'000) == count * 64);
    CHECK(only.jobs.count().jobs == 0);
}

TEST_CASE("a deferred job that is cancelled never starts, and takes its phase only") {
    fixture f;
    f.accept("later", 600, {64, 1}, hours(1));
    owner only(f.time, f.rows, limited());
    only.load(f.accepted);
    only.claim(100);
    REQUIRE(only.jobs.kept().deferred_jobs > 500);
    for (const auto& job : f.accepted) {
        only.jobs.cancel_job(job.id);
        CHECK(only.jobs.status(job.id)->phase == job_phase::cancelled);
    }
    CHECK(only.start().empty());
    f.time.advance(hours(2));
    CHECK(only.run(10) == 0);
    CHECK(only.jobs.count().jobs == 0);
    CHECK(only.jobs.count().waiting_tasks == 0);
    CHECK(only.jobs.kept().deferred_jobs == 0);
    CHECK(only.jobs.kept().ended_jobs == 600);
    CHECK(only.jobs.queued_jobs(queue_id("queue")) == 0);
}

// Guards against a second run: the specification alone does not tell what has begun.
TEST_CASE("a job that has begun is not deferred, in this owner or the next") {
    fixture f;
    f.accept("job", 4, {2, 1}, milliseconds(0));
    owner first(f.time, f.rows);
    first.load(f.accepted);
    first.claim(1);
    const auto runs = first.start();
    REQUIRE(runs.size() == 1);
    owner second(f.time, f.rows, limited(1));
    second.load(f.accepted);
    // The first in turn of those that have not begun is kept as well.
    CHECK(second.jobs.kept().jobs == 2);
    CHECK(second.jobs.kept().tasks == 1);
    CHECK(second.jobs.kept().deferred_jobs == 2);
}

TEST_CASE("the row of a deferred job is asked for again if it does not come") {
    fixture f;
    f.accept("later", 600, {64, 1, 1'000, milliseconds(10)}, hours(1));
    owner only(f.time, f.rows, limited());
    only.load(f.accepted);
    only.claim(1'000);
    const auto deferred = only.jobs.kept().deferred_jobs;
    f.time.advance(hours(1));
    CHECK(only.start().size() < 600);
    f.time.advance(seconds(1));
    only.jobs.plan();
    const auto asked = std::exchange(only.orders.asked, {});
    CHECK_FALSE(asked.empty());
    f.time.advance(seconds(1));
    only.jobs.plan();
    for (const auto& id : std::exchange(only.orders.asked, {})) {
        CHECK(std::find(asked.begin(), asked.end(), id) == asked.end());
    }
    f.time.advance(seconds(1));
    only.jobs.plan();
    CHECK(std::find(only.orders.asked.begin(), only.orders.asked.end(), asked.front()) !=
          only.orders.asked.end());
    CHECK(only.jobs.kept().deferred_jobs == deferred);
}
