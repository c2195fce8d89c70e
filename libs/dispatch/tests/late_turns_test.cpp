// The turns of jobs that are too late to yield any benefit.

#include "late_turns.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

const instant start = instant(std::chrono::hours(1));

struct fixture {
    step_spec spec;
    late_turns turns{ordering_rules{}};

    ready_step step(const std::string& job, int priority, int rank, int due_s) {
        ready_step step;
        step.key.job = job_id(job);
        step.spec = &spec;
        step.rules.service = service_id("service");
        step.rules.priority = priority;
        step.rank = rank;
        step.due_at = start + std::chrono::seconds(due_s);
        step.waiting = {0, 1, 2};
        return step;
    }
    // Places one task of the first step of the priority, as if capacity were free for one, and
    // returns its job.
    std::string place_one(std::vector<ready_step>& ready) {
        std::sort(ready.begin(), ready.end(), precedes);
        auto ordered = ready;
        turns.apply(ordered);
        turns.placed(ordered.front());
        return ordered.front().key.job.value();
    }
};

}  // namespace

// Guards against starvation: without turns a job that is late waits as long as others arrive.
TEST_CASE("one placement in ten goes to the oldest job that is too late") {
    fixture f;
    std::vector<ready_step> ready{f.step("in-time", 2, 0, 50), f.step("late", 2, 1, 40),
                                  f.step("old", 2, 2, 1), f.step("older", 2, 2, 0)};
    std::map<std::string, int> placed;
    for (int i = 0; i < 200; ++i) {
        ++placed[f.place_one(ready)];
    }
    CHECK(placed["in-time"] == 180);
    CHECK(placed["older"] == 20);
    CHECK(placed["old"] == 0);
}

// Guards against turns that take capacity from more urgent work.
TEST_CASE("a turn is before the other steps of its priority, not before those of a higher one") {
    fixture f;
    for (int i = 0; i < 20; ++i) {
        f.turns.placed(f.step("batch", 2, 0, 0));
    }
    std::vector<ready_step> ready{f.step("urgent", 0, 0, 9), f.step("urgent-late", 0, 2, 9),
                                  f.step("batch", 2, 0, 9), f.step("batch-late", 2, 2, 0)};
    f.turns.apply(ready);
    REQUIRE(ready.size() == 5);
    CHECK(ready[0].key.job == job_id("urgent"));
    CHECK(ready[1].key.job == job_id("urgent-late"));
    CHECK(ready[2].key.job == job_id("batch-late"));
    CHECK(ready[2].waiting == index_set{0});
    CHECK(ready[3].key.job == job_id("batch"));
    CHECK(ready[4].waiting == index_set{1, 2});
}

// Guards against a gang of which one turn would place a single member.
TEST_CASE("a gang has its turn as a whole") {
    fixture f;
    f.spec.is_gang = true;
    for (int i = 0; i < 20; ++i) {
        f.turns.placed(f.step("batch", 2, 0, 0));
    }
    std::vector<ready_step> ready{f.step("batch", 2, 0, 9), f.step("late", 2, 2, 0)};
    f.turns.apply(ready);
    REQUIRE(ready.size() == 2);
    CHECK(ready[0].key.job == job_id("late"));
    CHECK(ready[0].waiting.size() == 3);
}

TEST_CASE("placements of another service or priority give no turn") {
    fixture f;
    for (int i = 0; i < 20; ++i) {
        f.turns.placed(f.step("urgent", 0, 0, 0));
        auto other = f.step("other", 2, 0, 0);
        other.rules.service = service_id("other");
        f.turns.placed(other);
    }
    std::vector<ready_step> ready{f.step("batch", 2, 0, 9), f.step("late", 2, 2, 0)};
    f.turns.apply(ready);
    CHECK(ready[0].key.job == job_id("batch"));
}

// Guards against crashing tasks that are started sooner, and so crash more executors before their
// job is given up.
TEST_CASE("a step with a task that may have crashed an executor has no turn") {
    fixture f;
    for (int i = 0; i < 20; ++i) {
        f.turns.placed(f.step("batch", 2, 0, 0));
    }
    std::vector<ready_step> ready{f.step("batch", 2, 0, 9), f.step("suspect", 2, 2, 0),
                                  f.step("late", 2, 2, 1)};
    ready[1].has_suspect = true;
    f.turns.apply(ready);
    CHECK(ready[0].key.job == job_id("late"));
}
