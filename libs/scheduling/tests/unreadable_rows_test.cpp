// Rows of the table that cannot be read.

#include <algorithm>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against one row that stops the scheduling of its partition under each of its owners.
TEST_CASE("an unreadable group row stops no other job") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    table_transaction transaction;
    transaction.puts.push_back({group_key(partition_number(0), job_id("odd"), 0), "{\"tasks\":7}"});
    REQUIRE(w.rows.commit(transaction).committed);
    CHECK_NOTHROW(w.run(seconds(3)));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
    CHECK_NOTHROW(w.run(seconds(10)));
    CHECK(w.row_of("sound").state == job_state::finished);
    CHECK(w.rows.read(group_key(partition_number(0), job_id("odd"), 0)).has_value());
}

// Guards against stopping work because the owner cannot read its row.
TEST_CASE("tasks run on while their group row is unreadable") {
    world w;
    w.add_entry();
    auto& agent = w.add_worker("w1");
    const auto is_running = [&] {
        const auto runs = agent.runtime->list();
        return runs.size() == 1 && runs.front().state == runtime_task_state::running;
    };
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("long", 1000, seconds(60)), false).is_new);
    REQUIRE(w.run_until(is_running, seconds(10)));
    const auto key = group_key(partition_number(0), job_id("long"), 0);
    table_transaction transaction;
    transaction.puts.push_back({key, "{\"tasks\":7}"});
    REQUIRE(w.rows.commit(transaction).committed);
    w.run(seconds(40));  // the owner reads its shard again every 30 s
    CHECK(is_running());
    const auto decisions = w.entries[0]->scheduler->recent_decisions();
    CHECK(std::count_if(decisions.begin(), decisions.end(), [](const decision& each) {
              return each.kind == decision_kind::unreadable_row;
          }) == 1);
}
