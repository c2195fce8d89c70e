// Failures of agents, workers and the messages between them and their owner. Each test with a
// switch shows that its invariant fails without the mechanism that upholds it, and holds with it.

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

bool is_mechanism_enabled() {
    bool is_enabled = true;
    SUBCASE("off: the invariant is violated") {
        is_enabled = false;
    }
    SUBCASE("on: the invariant holds") {
        is_enabled = true;
    }
    return is_enabled;
}

}  // namespace

// Guards against an instance that two entries together commit beyond its capacity.
TEST_CASE("two entries that both claim one worker never overcommit it") {
    const bool is_enabled = is_mechanism_enabled();
    world w;
    w.add_entry();
    memory_table other_rows;
    entry_scheduler second_entry(w.options, {entry_id("second-entry"), {}, {}, {}}, other_rows,
                                 w.strategy, w.time, 7);
    agent_options options;
    options.mechanisms.check_ledger = is_enabled;
    agent_node& agent = w.add_worker("w1", 4000, "richmond", options);
    w.run(seconds(3));
    static_cast<void>(second_entry.tick());
    const auto sync_with_second_entry = [&] {
        const sync_request request = agent.tasks->next_sync_request();
        sync_reply reply = second_entry.sync(request);
        // The second entry does not know the first one's task and would stop it.
        reply.orders.clear();
        agent.tasks->on_reply(reply, request.sequence);
    };
    sync_with_second_entry();
    REQUIRE(second_entry.submit(make_job("second", 3000), false).is_new);
    static_cast<void>(second_entry.tick());
    REQUIRE(second_entry.counters().claims == 1);
    REQUIRE(w.entries[0]->scheduler->submit(make_job("first", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(2)));
    sync_with_second_entry();
    INFO("overcommits " << w.record.overcommits << ", starts " << w.record.starts.size());
    CHECK((w.record.overcommits == 0) == is_enabled);
}

// Guards against claims by an owner that has not yet received a drain.
TEST_CASE("no claim commits in a failure domain after its drain was committed") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.condition_on_domain = is_enabled;
    world w(options);
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    w.drain_in_table("richmond");
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest"), false).is_new);
    w.run(seconds(10));
    INFO("starts " << w.record.starts.size());
    CHECK(w.record.starts.empty() == is_enabled);
}

// Guards against a late start after a drain that was committed between the claim and the start.
TEST_CASE("a permit that arrives after its window starts nothing in a drained domain") {
    const bool is_enabled = is_mechanism_enabled();
    world w;
    w.add_entry();
    agent_options options;
    options.mechanisms.check_permit_window = is_enabled;
    agent_node& agent = w.add_worker("w1", 4000, "richmond", options);
    w.run(seconds(3));
    std::optional<sync_reply> late;
    agent.reply_filter = [&](sync_reply& reply) {
        if (!reply.starts.empty()) {
            late = reply;
            agent.is_frozen = true;
        }
        return reply.starts.empty();
    };
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest"), false).is_new);
    REQUIRE(w.run_until([&] { return late.has_value(); }, seconds(3)));
    w.drain_in_table("richmond");
    const instant drained_at = w.time.now();
    w.run(seconds(8));
    agent.is_frozen = false;
    agent.tasks->on_reply(*late, agent.last_request.sequence);
    w.run(seconds(10));
    int late_starts = 0;
    for (const auto& start : w.record.starts) {
        late_starts += start.at > drained_at + seconds(3) ? 1 : 0;
    }
    INFO("late starts " << late_starts);
    CHECK((late_starts == 0) == is_enabled);
}

// Guards against a task that runs on two workers after its agent was frozen.
TEST_CASE("an agent that was frozen past its lease resumes no task that now runs elsewhere") {
    const bool is_enabled = is_mechanism_enabled();
    world w;
    w.add_entry();
    agent_options options;
    options.mechanisms.check_lease = is_enabled;
    agent_node& agent = w.add_worker("w1", 4000, "richmond", options);
    w.add_worker("w2");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.is_frozen = true;
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(60)));
    CHECK(w.record.concurrent_runs == 0);
    agent.is_frozen = false;
    w.run(seconds(5));
    INFO("concurrent runs " << w.record.concurrent_runs);
    CHECK((w.record.concurrent_runs == 0) == is_enabled);
    CHECK(agent.tasks->held_tasks() == 0);
}

// Guards against a task that runs twice because its completion was not reported before the lease
// expired.
TEST_CASE("a task that finished while its agent was frozen is not run again") {
    const bool is_enabled = is_mechanism_enabled();
    auto chosen = world::default_options();
    chosen.mechanisms.query_runtime_before_reclaim = is_enabled;
    world w(chosen);
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000, seconds(1)), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.is_frozen = true;
    w.add_worker("w2");
    CHECK(w.run_until([&] { return is_terminal(w.state_of("harvest")); }, seconds(90)));
    INFO("completions " << w.record.completions[first_task("harvest")]);
    CHECK((w.record.completions[first_task("harvest")] == 1) == is_enabled);
    agent.is_frozen = false;
    w.run(seconds(10));
    CHECK(agent.tasks->held_tasks() == 0);
}

// Guards against tasks that wait forever for an instance whose runtime is unreachable, too.
TEST_CASE("tasks of a worker whose runtime does not answer are reclaimed after the lease") {
    world w;
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.is_disconnected = true;
    w.add_worker("w2");
    const auto limit = w.options.worker_lease + w.options.runtime_query_timeout + seconds(4);
    CHECK(w.run_until([&] { return w.record.starts.size() == 2; }, limit));
    CHECK(w.record.concurrent_runs == 0);
}

// Guards against a task that is restarted twice because its eviction was reported twice.
TEST_CASE("an eviction that is reported again after the task was resumed has no effect") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.check_report_attempt = is_enabled;
    world w(options);
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.add_worker("w2", 4000, "wharton");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.reply_filter = [](sync_reply& reply) {
        reply.acknowledged = 0;
        return true;
    };
    auto drained = std::make_shared<configuration>();
    drained->teams.push_back({team_id("growers"), {}, true});
    drained->drains.emplace_back("richmond");
    w.entries[0]->scheduler->set_configuration(drained, config_version(1));
    w.run(seconds(15));
    const auto evictions = w.entries[0]->scheduler->counters().evictions;
    INFO("starts " << w.record.starts.size() << ", evictions " << evictions);
    CHECK((w.record.starts.size() == 2) == is_enabled);
    CHECK((evictions == 1) == is_enabled);
    REQUIRE(w.record.starts.size() >= 2);
    CHECK(w.record.starts[1].worker == worker_id("w2"));
    CHECK(w.record.starts[1].checkpoint ==
          checkpoint_key({first_task("harvest"), attempt_number(1)}));
}

// Guards against recording the completion of an attempt while a later one runs.
TEST_CASE("the completion of a stale attempt is not recorded") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.check_report_attempt = is_enabled;
    world w(options);
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000, seconds(15)), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.run(seconds(1));
    agent.is_disconnected = true;
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(60)));
    agent.is_disconnected = false;
    w.run(seconds(4));
    CHECK((w.row_of("harvest").state == job_state::active) == is_enabled);
    w.run(seconds(20));
    CHECK(w.row_of("harvest").state == job_state::finished);
    CHECK(w.record.concurrent_runs == 0);
}

// Guards against a second start while the first attempt runs on an unreachable worker.
TEST_CASE("a claim is void only once its task is known not to have started") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.confirm_void_claims = is_enabled;
    world w(options);
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    agent.reply_filter = [&](sync_reply& reply) {
        agent.is_disconnected = agent.is_disconnected || !reply.starts.empty();
        return true;
    };
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(60)));
    INFO("concurrent runs " << w.record.concurrent_runs);
    CHECK((w.record.concurrent_runs == 0) == is_enabled);
}

// Guards against an unused permit that blocks its task until the worker's lease expires.
TEST_CASE("a claim whose permit was lost with a reply is void after the agent's next sync") {
    world w;
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.run(seconds(3));
    bool is_lossy = true;
    agent.reply_filter = [&](sync_reply& reply) { return !is_lossy || reply.starts.empty(); };
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    w.run(seconds(4));
    is_lossy = false;
    CHECK(w.run_until([&] { return !w.record.starts.empty(); }, seconds(6)));
    w.run(seconds(5));
    CHECK(w.record.starts.size() == 1);
}

// Guards against an agent that after a restart does not account for its worker's running tasks.
TEST_CASE("a restarted agent accepts nothing beyond what its running tasks leave free") {
    const bool is_enabled = is_mechanism_enabled();
    world w;
    w.add_entry();
    agent_options options;
    options.mechanisms.rebuild_ledger = is_enabled;
    agent_node& agent = w.add_worker("w1", 4000, "richmond", options);
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("first", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.run(seconds(2));
    w.restart_agent(agent);
    REQUIRE(w.entries[0]->scheduler->submit(make_job("second", 3000), false).is_new);
    w.run(seconds(10));
    INFO("overcommits " << w.record.overcommits);
    CHECK((w.record.overcommits == 0) == is_enabled);
    CHECK(agent.runtime->list().front().state == runtime_task_state::running);
    CHECK(w.state_of("first") == task_state::running);
}

// Guards against a finished task that runs again because its agent restarted.
TEST_CASE("a completion survives a restart of the agent before it was acknowledged") {
    world w;
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 1000, seconds(5)), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.is_disconnected = true;
    w.run(seconds(8));
    w.restart_agent(agent);
    agent.is_disconnected = false;
    w.run(seconds(8));
    CHECK(w.row_of("harvest").state == job_state::finished);
    CHECK(w.record.starts.size() == 1);
}

// Guards against a finished task that runs again. In a run of scripts/faults drain, 12 tasks of a
// drained failure domain finished, were reported as evicted and finished again on other workers.
TEST_CASE("a task that ends just before its eviction is reported as finished") {
    const bool is_enabled = is_mechanism_enabled();
    world w;
    w.add_entry();
    agent_options options;
    options.mechanisms.check_completion_before_eviction = is_enabled;
    agent_node& agent = w.add_worker("w1", 4000, "richmond", options);
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 1000, seconds(5)), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.run(seconds(1));
    const sync_request request = agent.tasks->next_sync_request();
    for (int step = 0; step < 60; ++step) {
        w.time.advance(milliseconds(100));
        agent.runtime->renew({w.record.starts[0].attempt}, 10'000);
        agent.runtime->advance(milliseconds(100));
    }
    REQUIRE(w.record.completions[first_task("harvest")] == 1);
    sync_reply reply = w.entries[0]->scheduler->sync(request);
    reply.orders.push_back({w.record.starts[0].attempt, order_kind::evict, 100});
    agent.tasks->on_reply(reply, request.sequence);
    w.run(seconds(15));
    INFO("completions " << w.record.completions[first_task("harvest")]);
    CHECK((w.record.completions[first_task("harvest")] == 1) == is_enabled);
}

// Guards against claims that the agent must refuse for lack of capacity.
TEST_CASE("claims that a worker has not started yet count as used") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.reserve_claimed_amounts = is_enabled;
    world w(options);
    w.add_entry();
    w.add_worker("w1").is_disconnected = false;
    w.run(seconds(3));
    w.agents[0]->is_disconnected = true;
    REQUIRE(w.entries[0]->scheduler->submit(make_job("first", 3000), false).is_new);
    w.run(milliseconds(300));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("second", 3000), false).is_new);
    w.run(milliseconds(300));
    INFO("claims " << w.entries[0]->scheduler->counters().claims);
    CHECK((w.entries[0]->scheduler->counters().claims == 1) == is_enabled);
}

// Guards against a second run of a non-idempotent task.
TEST_CASE("a non-idempotent task without checkpoint is lost with its worker and never rerun") {
    world w;
    w.add_entry();
    agent_node& agent = w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    auto watch = make_job("stock-watch", 3000);
    watch.is_idempotent = false;
    watch.can_checkpoint = false;
    REQUIRE(w.entries[0]->scheduler->submit(watch, false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    agent.is_frozen = true;
    CHECK(w.run_until([&] { return w.state_of("stock-watch") == task_state::lost; }, seconds(60)));
    agent.is_frozen = false;
    w.run(seconds(20));
    CHECK(w.record.starts.size() == 1);
    CHECK(w.row_of("stock-watch").state == job_state::failed);
}
