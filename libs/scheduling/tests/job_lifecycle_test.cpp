#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against tasks that are lost or repeated, and rows that remain, without any failure.
TEST_CASE("a job of many tasks runs each of them once and its group rows are deleted at its end") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    auto job = make_job("harvest", 1000, seconds(5));
    job.task_count = 100;
    REQUIRE(w.entries[0]->scheduler->submit(job, false).code == result_code::ok);
    CHECK(
        w.run_until([&] { return w.row_of("harvest").state != job_state::active; }, seconds(120)));
    const job_row row = w.row_of("harvest");
    INFO("finished " << row.ended_tasks.finished << ", starts " << w.record.starts.size());
    CHECK(row.state == job_state::finished);
    CHECK(row.ended_tasks.finished == 100);
    CHECK(w.record.starts.size() == 100);
    CHECK(w.record.overcommits == 0);
    CHECK(w.record.concurrent_runs == 0);
    CHECK(scan_all(w.rows, "group/").empty());
    w.run(seconds(5));
    CHECK(w.agents[0]->tasks->is_idle());
    CHECK(w.agents[0]->ledger->free() == w.agents[0]->capacity);
}

// Guards against a job that is created twice and against silently replacing its declaration.
TEST_CASE("a repeated submission returns the existing job and a different one is refused") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    auto& scheduler = *w.entries[0]->scheduler;
    CHECK(scheduler.submit(make_job("harvest"), false).is_new);
    const submit_result again = scheduler.submit(make_job("harvest"), false);
    CHECK(again.code == result_code::ok);
    CHECK_FALSE(again.is_new);
    CHECK(scheduler.submit(make_job("harvest", 2000), false).code ==
          result_code::job_already_exists);
    const submit_result never = scheduler.submit(make_job("huge", 5000), false);
    CHECK(never.code == result_code::job_can_never_run);
    INFO("largest " << to_string(never.largest_worker));
    CHECK(never.largest_worker.processors == millicores(4000));
}

// Guards against an entry without known workers that accepts a job larger than any worker.
TEST_CASE("an entry without known workers answers a submission with not_ready") {
    world w;
    w.add_entry();
    w.run(seconds(3));
    auto& scheduler = *w.entries[0]->scheduler;
    CHECK(scheduler.submit(make_job("huge", 5000), false).code == result_code::not_ready);
    CHECK(scheduler.submit(make_job("harvest"), false).code == result_code::not_ready);
    w.add_worker("w1");
    w.run(seconds(3));
    CHECK(scheduler.submit(make_job("huge", 5000), false).code == result_code::job_can_never_run);
    CHECK(scheduler.submit(make_job("harvest"), false).is_new);
}

// Guards against a committed submission that is reported as failed because the reply was lost.
TEST_CASE("a submission whose answers are lost is found to exist") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    w.rows.set_faults({.is_down = false, .lost_answer = 1, .lost_request = 0});
    const submit_result result = w.entries[0]->scheduler->submit(make_job("harvest"), false);
    w.rows.set_faults({});
    CHECK(result.code == result_code::ok);
    CHECK(w.run_until([&] { return !w.record.starts.empty(); }, seconds(5)));
}

// Guards against a cancelled task that continues to run or is started after the cancellation.
TEST_CASE("a cancelled job stops on its worker and stays cancelled") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("render"), false).is_new);
    REQUIRE(w.run_until([&] { return w.state_of("render") == task_state::running; }, seconds(5)));
    CHECK(w.entries[0]->scheduler->cancel(job_id("render")).code == result_code::ok);
    w.run(seconds(3));
    CHECK(w.row_of("render").state == job_state::cancelled);
    CHECK(w.agents[0]->tasks->held_tasks() == 0);
    CHECK(w.entries[0]->scheduler->cancel(job_id("none")).code == result_code::unknown_job);
}

// Guards against endless retries on a broken worker and against no retry after one failure.
TEST_CASE("a failed task is retried with backoff and ends as failed at the limit") {
    world w;
    w.add_entry();
    w.add_worker("w1").runtime->fails_all_tasks = true;
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("render"), false).is_new);
    CHECK(w.run_until([&] { return w.row_of("render").state == job_state::failed; }, seconds(60)));
    INFO("starts " << w.record.starts.size());
    CHECK(w.record.starts.size() == w.options.max_failures);
}

// Guards against holds that continue after `complete_by`.
TEST_CASE("a hold finishes when it expires and frees its worker") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    auto hold = make_job("pallets", 3000);
    hold.kind = job_kind::hold;
    hold.complete_by = utc_millis(w.time.utc_now().value() + 20'000);
    REQUIRE(w.entries[0]->scheduler->submit(hold, false).is_new);
    w.run(seconds(15));
    CHECK(w.state_of("pallets") == task_state::running);
    w.run(seconds(10));
    CHECK(w.row_of("pallets").state == job_state::finished);
    CHECK(w.agents[0]->ledger->free() == w.agents[0]->capacity);
}

// Guards against declared jobs that are not submitted or continue after their removal, and against
// a configuration that is replaced by an older version.
TEST_CASE("declared jobs are submitted and cancelled when their declaration is removed") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    auto& scheduler = *w.entries[0]->scheduler;
    auto first = std::make_shared<configuration>();
    first->teams.push_back({team_id("growers"), {}, true});
    first->jobs.push_back(make_job("plan"));
    scheduler.set_configuration(first, config_version(2));
    CHECK(w.run_until([&] { return !w.record.starts.empty(); }, seconds(10)));
    auto second = std::make_shared<configuration>(*first);
    second->jobs.clear();
    scheduler.set_configuration(second, config_version(3));
    scheduler.set_configuration(first, config_version(2));
    CHECK(scheduler.configured_version() == config_version(3));
    w.run(seconds(5));
    CHECK(w.row_of("plan").state == job_state::cancelled);
    auto unknown_team_job = make_job("other");
    unknown_team_job.team = team_id("nobody");
    CHECK(scheduler.submit(unknown_team_job, false).code == result_code::quota_unknown_team);
}
