// Tasks that crash the workers that start them, and sound tasks on workers that crash.

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t max_crashes = 5;

job_declaration make_batch(const std::string& id, std::uint32_t tasks, milliseconds run_time) {
    auto job = make_job(id, 1000, run_time);
    job.task_count = tasks;
    return job;
}

void submit(world& w, const job_declaration& job, std::size_t entry = 0) {
    REQUIRE(w.entries[entry]->scheduler->submit(job, false).is_new);
}

}  // namespace

// Guards against one task that crashes worker after worker: a reclaimed task was started again
// without limit, since only reported failures counted.
TEST_CASE("a task that crashes each worker that starts it is given up and its job fails") {
    world w;
    SUBCASE("the workers are back within their lease") {
        w.crash_down_time = seconds(3);
    }
    SUBCASE("the workers are back after their lease") {
        w.crash_down_time = seconds(60);
    }
    w.add_entry();
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        w.add_worker(name);
    }
    w.run(seconds(3));
    w.crashing_jobs.insert(job_id("deadly"));
    submit(w, make_batch("sound", 8, seconds(40)));
    submit(w, make_job("deadly"));
    submit(w, make_batch("late", 8, seconds(5)));
    const auto have_ended = [&] {
        return w.row_of("deadly").state != job_state::active &&
               w.row_of("sound").state != job_state::active &&
               w.row_of("late").state != job_state::active;
    };
    CHECK(w.run_until(have_ended, minutes(20)));
    CHECK(w.row_of("deadly").state == job_state::failed);
    CHECK(w.row_of("sound").state == job_state::finished);
    CHECK(w.row_of("late").state == job_state::finished);
    CHECK(w.starts_of("deadly") <= max_crashes);
    w.run(minutes(2));
    CHECK(w.starts_of("deadly") <= max_crashes);
    CHECK(w.record.concurrent_runs == 0);
}

// Guards against sound tasks that are suspected because they started beside the one that crashes
// their workers, and against a suspect that waits for ever since other tasks keep starting.
TEST_CASE("after two crashes a task starts apart from tasks that have just started") {
    world w;
    w.add_entry();
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        w.add_worker(name);
    }
    w.run(seconds(3));
    w.crashing_jobs.insert(job_id("deadly"));
    submit(w, make_job("deadly"));
    submit(w, make_batch("sound", 60, seconds(30)));
    REQUIRE(w.run_until([&] { return w.row_of("deadly").state == job_state::failed; }, minutes(5)));
    std::size_t deadly_starts = 0;
    for (const auto& start : w.record.starts) {
        if (start.attempt.task.job != job_id("deadly") || ++deadly_starts <= 2) {
            continue;
        }
        for (const auto& other : w.record.starts) {
            const bool is_recent = other.at > start.at - w.options.crash_window &&
                                   other.at <= start.at && other.attempt != start.attempt;
            CHECK_FALSE((is_recent && other.worker == start.worker));
        }
    }
    CHECK(deadly_starts == max_crashes);
    CHECK(w.run_until([&] { return w.row_of("sound").state == job_state::finished; }, minutes(20)));
}

// Guards against a count of crashes that starts again with each owner.
TEST_CASE("the crashes under a task count across changes of its owner") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    w.crashing_jobs.insert(job_id("deadly"));
    submit(w, make_job("deadly"));
    std::size_t owner = 0;
    for (int change = 0; change < 8; ++change) {
        w.run(seconds(40));
        w.entries[owner]->is_frozen = true;
        owner = w.add_entry();
        w.set_live({owner});
        for (auto& agent : w.agents) {
            agent->entry = owner;
        }
        w.run(seconds(70));
    }
    CHECK(w.starts_of("deadly") <= max_crashes);
    CHECK(w.row_of("deadly").state == job_state::failed);
}

// Guards against sound tasks that are given up because their racks lost power.
TEST_CASE("three crashes of all workers fail no job") {
    world w;
    w.add_entry();
    for (const char* name : {"w1", "w2", "w3", "w4"}) {
        w.add_worker(name);
    }
    w.run(seconds(3));
    submit(w, make_batch("sound", 16, seconds(30)));
    for (std::size_t crash = 1; crash <= 3; ++crash) {
        const std::size_t before = w.starts_of("sound");
        REQUIRE(w.run_until([&] { return w.starts_of("sound") >= before + 4; }, minutes(3)));
        for (auto& agent : w.agents) {
            w.crash_worker(*agent, seconds(5));
        }
    }
    CHECK(w.run_until([&] { return w.row_of("sound").state == job_state::finished; }, minutes(10)));
}

// Guards against crashes that add up over the life of a task that runs long each time.
TEST_CASE("crashes of workers that have run a task for a while do not count") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    submit(w, make_job("sound", 1000, minutes(2)));
    for (std::size_t crash = 1; crash <= 2 * max_crashes; ++crash) {
        REQUIRE(w.run_until([&] { return w.starts_of("sound") >= crash; }, minutes(3)));
        w.run(seconds(15));
        for (auto& agent : w.agents) {
            if (agent->runtime->holds_any({job_id("sound")})) {
                w.crash_worker(*agent, seconds(3));
            }
        }
    }
    CHECK(w.run_until([&] { return w.row_of("sound").state == job_state::finished; }, minutes(10)));
}
