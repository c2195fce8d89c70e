// Rows of the table that cannot be read.

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
