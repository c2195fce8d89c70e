// Failures of entries and of the table. Each test with a switch shows that its invariant fails
// without the mechanism that upholds it, and holds with it.

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

// Runs the test case twice, as subcases: with the mechanism off and on.
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

partition_row partition_in_table(world& w) {
    return decode<partition_row>(w.rows.read(partition_key(partition_number(0))).value().value);
}

}  // namespace

// Guards against an owner that was frozen past its horizon and then overwrites its successor's
// rows.
TEST_CASE("an owner that resumes after it was replaced writes nothing") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.condition_on_epoch = is_enabled;
    world w(options);
    w.add_entry();
    w.add_entry();
    w.set_live({0});
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->owns(partition_number(0)));
    w.entries[0]->is_frozen = true;
    w.entries[1]->scheduler->set_live_entries({w.entries[1]->info});
    w.agents[0]->entry = 1;
    w.run(seconds(90));
    REQUIRE(partition_in_table(w).owner == w.entries[1]->info.id);
    REQUIRE(w.entries[1]->scheduler->submit(make_job("harvest"), false).is_new);
    const auto before = w.entries[0]->scheduler->counters();
    static_cast<void>(w.entries[0]->scheduler->tick());
    const auto& after = w.entries[0]->scheduler->counters();
    const auto written =
        after.partition_rows + after.claim_rows - before.partition_rows - before.claim_rows;
    INFO("rows written by the old owner: " << written);
    CHECK((written == 0) == is_enabled);
    CHECK((partition_in_table(w).owner == w.entries[1]->info.id) == is_enabled);
    if (is_enabled) {
        CHECK_FALSE(w.entries[0]->scheduler->owns(partition_number(0)));
    }
}

// Guards against a new owner that restarts the tasks of a live worker that only it cannot reach.
TEST_CASE("a new owner waits for the old horizon before it reclaims tasks of unreachable workers") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.wait_for_horizon = is_enabled;
    world w(options);
    w.add_entry();
    w.add_entry();
    w.set_live({0});
    w.add_worker("w1");
    w.add_worker("w2");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    REQUIRE(w.record.starts[0].worker == worker_id("w1"));
    w.entries[0]->is_frozen = true;
    w.entries[1]->scheduler->set_live_entries({w.entries[1]->info});
    w.agents[0]->is_disconnected = true;
    w.agents[1]->entry = 1;
    CHECK(w.run_until([&] { return w.record.starts.size() == 2; }, seconds(90)));
    INFO("concurrent runs " << w.record.concurrent_runs);
    CHECK((w.record.concurrent_runs == 0) == is_enabled);
    CHECK(w.record.starts.back().worker == worker_id("w2"));
}

// Guards against tasks that are paused or restarted although their worker syncs with the new owner.
TEST_CASE("a task on a worker that answers the new owner runs on without interruption") {
    world w;
    w.add_entry();
    w.add_entry();
    w.set_live({0});
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.entries[0]->is_frozen = true;
    w.entries[1]->scheduler->set_live_entries({w.entries[1]->info});
    w.agents[0]->entry = 1;
    w.run(seconds(100));
    CHECK(w.agents[0]->tasks->epoch() == epoch_number(2));
    CHECK(w.record.starts.size() == 1);
    CHECK(w.agents[0]->runtime->list().front().state == runtime_task_state::running);
}

// Guards against two concurrent owners when a takeover could not be written.
TEST_CASE("an entry whose takeover is not known to be committed does not act as owner") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.require_committed_takeover = is_enabled;
    world w(options);
    w.add_entry();
    w.add_entry();
    w.set_live({0});
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest", 3000), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.rows.set_faults({.is_down = true, .lost_answer = 0, .lost_request = 0});
    w.entries[1]->scheduler->set_live_entries({w.entries[1]->info});
    w.run(seconds(5));
    CHECK(w.entries[0]->scheduler->owns(partition_number(0)));
    CHECK(w.entries[1]->scheduler->owns(partition_number(0)) == !is_enabled);
    // Once the table is available again, the takeover commits and the task continues.
    w.entries[0]->is_frozen = true;
    w.agents[0]->entry = 1;
    w.rows.set_faults({});
    w.run(seconds(10));
    CHECK(w.entries[1]->scheduler->owns(partition_number(0)));
    CHECK(w.agents[0]->tasks->epoch() == partition_in_table(w).epoch);
    CHECK(w.record.starts.size() == 1);
}

// Guards against an entry that treats a takeover with unknown outcome as failed, or that takes over
// from its own row without a new epoch.
TEST_CASE("a takeover whose answer was lost is resolved with a higher epoch") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.rows.set_faults({.is_down = false, .lost_answer = 1, .lost_request = 0});
    w.run(milliseconds(200));
    CHECK_FALSE(w.entries[0]->scheduler->owns(partition_number(0)));
    w.rows.set_faults({});
    w.run(seconds(3));
    CHECK(w.entries[0]->scheduler->owns(partition_number(0)));
    CHECK(partition_in_table(w).epoch == epoch_number(2));
}

// Guards against a committed claim that is treated as failed because its reply was lost.
TEST_CASE("a claim whose answer was lost is read back and started under its own attempt") {
    const bool is_enabled = is_mechanism_enabled();
    auto options = world::default_options();
    options.mechanisms.resolve_unknown_commits = is_enabled;
    world w(options);
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(5));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest"), false).is_new);
    w.rows.set_faults({.is_down = false, .lost_answer = 1, .lost_request = 0});
    w.run(milliseconds(100));
    w.rows.set_faults({});
    REQUIRE(w.entries[0]->scheduler->counters().unknown_commits == 1);
    REQUIRE(w.run_until([&] { return !w.record.starts.empty(); }, seconds(30)));
    INFO("attempt " << w.record.starts[0].attempt.attempt.value());
    CHECK((w.record.starts[0].attempt.attempt == attempt_number(1)) == is_enabled);
    w.run(seconds(10));
    CHECK(w.record.starts.size() == 1);
}

// Guards against partitions with no owner or two owners after an entry joins or leaves.
TEST_CASE("partitions are transferred one at a time and each has one owner") {
    auto options = world::default_options();
    options.partition_count = 16;
    world w(options);
    w.add_entry();
    w.add_entry();
    w.set_live({0});
    w.run(seconds(3));
    w.set_live({0, 1});
    w.run(seconds(40));
    int of_first = 0;
    int of_second = 0;
    for (std::uint32_t i = 0; i < 16; ++i) {
        const bool first = w.entries[0]->scheduler->owns(partition_number(i));
        const bool second = w.entries[1]->scheduler->owns(partition_number(i));
        CHECK(first != second);
        of_first += first ? 1 : 0;
        of_second += second ? 1 : 0;
    }
    INFO("first owns " << of_first << ", second " << of_second);
    CHECK(of_first > 0);
    CHECK(of_second > 0);
    CHECK(w.entries[1]->scheduler->release_all());
    w.set_live({0});
    w.run(seconds(3));
    for (std::uint32_t i = 0; i < 16; ++i) {
        CHECK(w.entries[0]->scheduler->owns(partition_number(i)));
    }
}

// Guards against tasks that are lost or started twice when the table is unavailable beyond the
// horizon.
TEST_CASE("tasks pause while the table is down past the horizon and then continue") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("harvest"), false).is_new);
    REQUIRE(w.run_until([&] { return w.record.starts.size() == 1; }, seconds(5)));
    w.rows.set_faults({.is_down = true, .lost_answer = 0, .lost_request = 0});
    w.run(seconds(100));
    CHECK(w.agents[0]->runtime->list().front().state == runtime_task_state::paused);
    w.rows.set_faults({});
    w.run(seconds(5));
    CHECK(w.agents[0]->runtime->list().front().state == runtime_task_state::running);
    CHECK(w.record.starts.size() == 1);
}
