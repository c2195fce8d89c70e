// Tests of drains, moves, the write budget, quarantine and explanations.

#include <algorithm>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

std::shared_ptr<configuration> with_drain(const std::string& domain) {
    auto declared = std::make_shared<configuration>();
    declared->teams.push_back({team_id("growers"), {}, true});
    declared->drains.emplace_back(domain);
    return declared;
}

}  // namespace

// Guards against drains that evict the latest deadlines first or checkpoint all tasks at once.
TEST_CASE("a drain evicts batch tasks by deadline at a bounded rate and leaves holds") {
    auto options = world::default_options();
    options.drain_evictions_per_second = 1;
    world w(options);
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    for (int i = 0; i < 3; ++i) {
        auto job = make_job("plan-" + std::to_string(i));
        job.complete_by = utc_millis(w.time.utc_now().value() + 1'000'000 - i * 1'000);
        REQUIRE(w.entries[0]->scheduler->submit(job, false).is_new);
    }
    auto hold = make_job("pallets");
    hold.kind = job_kind::hold;
    REQUIRE(w.entries[0]->scheduler->submit(hold, false).is_new);
    w.run(seconds(5));
    REQUIRE(w.record.starts.size() == 4);
    w.entries[0]->scheduler->set_configuration(with_drain("richmond"), config_version(1));
    w.run(milliseconds(1'500));
    CHECK(w.agents[0]->runtime->checkpoints >= 1);
    CHECK(w.agents[0]->runtime->checkpoints <= 2);
    w.run(seconds(6));
    std::vector<std::string> order;
    for (const auto& decision : w.entries[0]->scheduler->recent_decisions()) {
        if (decision.kind == decision_kind::eviction &&
            decision.cause == "its failure domain is drained") {
            order.push_back(decision.task.task.job.value());
        }
    }
    CHECK(order == std::vector<std::string>{"plan-2", "plan-1", "plan-0"});
    CHECK(w.state_of("pallets") == task_state::running);
    CHECK(w.agents[0]->tasks->held_tasks() == 1);
}

// Guards against a group that waits forever although another partition has idle workers.
TEST_CASE("a group that cannot be placed moves to a partition with room in one transaction") {
    auto options = world::default_options();
    options.partition_count = 2;
    world w(options);
    w.add_entry();
    // One worker in each partition.
    std::map<std::uint32_t, std::string> names;
    for (int i = 0; names.size() < 2; ++i) {
        const std::string name = "w" + std::to_string(i);
        names.try_emplace(partition_of(name, 2).value(), name);
    }
    w.add_worker(names[0]);
    w.add_worker(names[1]);
    w.run(seconds(3));
    for (int i = 0; i < 2; ++i) {
        REQUIRE(w.entries[0]
                    ->scheduler->submit(make_job("job-" + std::to_string(i), 3000), false)
                    .is_new);
    }
    CHECK(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(20)));
    CHECK(w.record.starts[0].worker != w.record.starts[1].worker);
    CHECK(w.record.concurrent_runs == 0);
}

// Guards against mass cancellations that use up the write budget and delay urgent jobs.
TEST_CASE("mass cancellations stay within the write budget and urgent jobs start within 3 s") {
    world w;
    auto generous = w.options;
    generous.write_rows_per_second = 1e6;
    generous.write_burst_rows = 1e6;
    w.add_entry();
    w.add_entry(generous);
    w.entries[0]->scheduler->set_live_entries({w.entries[0]->info});
    w.entries[1]->scheduler->set_live_entries({w.entries[0]->info});
    w.add_worker("w1");
    w.run(seconds(3));
    // Reports a large worker of another entry to the second one, which refuses jobs that fit no
    // known worker.
    std::vector<partition_summary> elsewhere;
    for (std::uint32_t i = 0; i < w.options.partition_count; ++i) {
        partition_summary& summary = elsewhere.emplace_back();
        summary.partition = partition_number(i);
        summary.largest_worker = {millicores(8000), mebibytes(65'536), accelerator_count()};
        summary.worker_count = 1;
    }
    w.entries[1]->scheduler->set_remote_partitions(elsewhere, {});
    constexpr int job_count = 17'000;
    std::vector<job_id> ids;
    for (int i = 0; i < job_count; ++i) {
        const auto job = make_job("render-" + std::to_string(i), 5000);
        ids.push_back(job.id);
        REQUIRE(w.entries[1]->scheduler->submit(job, false).is_new);
    }
    w.run(seconds(10));
    const std::uint64_t rows_before = w.rows.counters().rows_written;
    const instant started_at = w.time.now();
    auto urgent = make_job("quote", 1000);
    urgent.priority = job_priority::urgent;
    std::size_t refused = ids.size();
    std::size_t other_refusals = 0;
    for (int round = 0; refused > 0 && round < 1'000; ++round) {
        const auto results = w.entries[0]->scheduler->cancel_many(ids);
        std::vector<job_id> again;
        for (std::size_t i = 0; i < ids.size(); ++i) {
            if (results[i].code != result_code::ok) {
                other_refusals += results[i].code == result_code::overloaded ? 0 : 1;
                again.push_back(ids[i]);
            }
        }
        ids = again;
        refused = ids.size();
        if (round == 5) {
            REQUIRE(w.entries[1]->scheduler->submit(urgent, false).is_new);
            CHECK(w.run_until([&] { return !w.record.starts.empty(); }, seconds(3)));
        }
        for (int tick = 0; tick < 5; ++tick) {
            w.time.advance(w.options.tick_interval);
            static_cast<void>(w.entries[0]->scheduler->tick());
        }
    }
    const double elapsed = std::chrono::duration<double>(w.time.now() - started_at).count();
    const auto written = static_cast<double>(w.rows.counters().rows_written - rows_before);
    INFO(written << " rows in " << elapsed << " s, " << refused << " jobs left");
    CHECK(refused == 0);
    CHECK(other_refusals == 0);
    CHECK(written <= w.options.write_burst_rows + elapsed * w.options.write_rows_per_second);
}

// Guards against a worker that fails each task at once and so attracts all tasks.
TEST_CASE("a worker that fails all tasks is quarantined while others run them") {
    auto options = world::default_options();
    options.quarantine_after_failures = 3;
    options.max_failures = 100;
    world w(options);
    w.add_entry();
    w.add_worker("w1").runtime->fails_all_tasks = true;
    w.add_worker("w2");
    w.run(seconds(3));
    for (int i = 0; i < 4; ++i) {
        REQUIRE(w.entries[0]
                    ->scheduler->submit(make_job("job-" + std::to_string(i), 1000), false)
                    .is_new);
    }
    w.run(seconds(30));
    const auto on_bad =
        std::count_if(w.record.starts.begin(), w.record.starts.end(),
                      [](const auto& start) { return start.worker == worker_id("w1"); });
    INFO("starts on the broken worker " << on_bad);
    CHECK(on_bad <= 4);
    CHECK(w.agents[1]->tasks->held_tasks() == 4);
}

// Guards against waiting tasks for which operators get no reason.
TEST_CASE("explain names the reason why a task waits") {
    world w;
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.run(seconds(3));
    auto& scheduler = *w.entries[0]->scheduler;
    REQUIRE(scheduler.submit(make_job("first", 3000), false).is_new);
    w.run(seconds(2));
    REQUIRE(scheduler.submit(make_job("second", 3000), false).is_new);
    w.run(seconds(1));
    const auto waiting = scheduler.explain(job_id("second"));
    REQUIRE(waiting.size() == 1);
    CHECK(waiting[0].waits_for == wait_cause::placement);
    CHECK(waiting[0].reason == unplaced_reason::no_capacity);
    CHECK(scheduler.explain(job_id("first"))[0].waits_for == wait_cause::nothing);
    agent.is_disconnected = true;
    w.run(seconds(10));
    CHECK(scheduler.explain(job_id("first"))[0].waits_for == wait_cause::worker_lease);
    CHECK_THROWS_AS(static_cast<void>(scheduler.explain(job_id("none"))), error);
}
