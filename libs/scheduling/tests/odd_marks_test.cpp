// Marks that only grow, at the end of their range.

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

scheduler_options four_partitions() {
    scheduler_options chosen = world::default_options();
    chosen.partition_count = 4;
    return chosen;
}

// The number of the four partitions that the entry owns.
std::size_t owned_partitions(const world& w) {
    return w.entries[0]->scheduler->partitions().size();
}

}  // namespace

// Guards against an epoch that starts again at 0, below which no agent accepts an order.
TEST_CASE("an epoch is never followed by a lower one") {
    world w(four_partitions());
    put(w, partition_key(partition_number(0)),
        "{\"owner\":\"gone\",\"epoch\":18446744073709551615}");
    w.add_entry();
    CHECK_NOTHROW(w.run(seconds(30)));
    CHECK(owned_partitions(w) >= w.options.partition_count - 1);
    for (const auto& each : w.entries[0]->scheduler->partitions()) {
        CHECK(each.epoch > epoch_number());
    }
}

// Guards against an attempt, a fencing token, that starts again at 0.
TEST_CASE("a task with the highest attempt stops no job of its partition") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    group_row row;
    row.declaration = make_job("odd", 1000, seconds(2));
    row.tasks.emplace_back().attempt = attempt_number(0xFFFF'FFFF);
    put(w, group_key(partition_number(0), job_id("odd"), 0), encode(row));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
    CHECK_NOTHROW(w.run(seconds(60)));
    CHECK(w.row_of("sound").state == job_state::finished);
    for (const auto& each : w.record.starts) {
        CHECK(each.attempt.attempt > attempt_number());
    }
}
