// Rows of partitions that are odd or gone.

#include <vector>

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

const std::vector<std::string>& odd_values() {
    static const std::vector<std::string> all{
        "",
        "7",
        "[]",
        "\xff",
        nested(100'000),
        "{\"epoch\":" + nested(100'000) + "}",
        "{\"epoch\":1e300}",
        "{\"epoch\":-1}",
        "{\"horizon_ms\":1e300}",
        "{\"owner\":7}",
    };
    return all;
}

}  // namespace

// Guards against one partition row that keeps an entry from following all other partitions.
TEST_CASE("an odd partition row keeps no entry from taking over the other partitions") {
    for (const auto& value : odd_values()) {
        INFO("value ", value.substr(0, 40), " of ", value.size(), " bytes");
        world w(four_partitions());
        put(w, partition_key(partition_number(0)), value);
        w.add_entry();
        CHECK_NOTHROW(w.run(seconds(5)));
        CHECK(owned_partitions(w) >= w.options.partition_count - 1);
    }
}

// Guards against partitions that are lost for good since their row became odd.
TEST_CASE("an owner keeps its other partitions when one of the rows becomes odd") {
    for (const auto& value : odd_values()) {
        INFO("value ", value.substr(0, 40), " of ", value.size(), " bytes");
        world w(four_partitions());
        w.add_entry();
        w.run(seconds(5));
        REQUIRE(owned_partitions(w) == w.options.partition_count);
        put(w, partition_key(partition_number(0)), value);
        CHECK_NOTHROW(w.run(seconds(100)));
        CHECK(owned_partitions(w) >= w.options.partition_count - 1);
    }
}

// Guards against a row that is looked up after it is gone, which ends the process.
TEST_CASE("a partition whose row was deleted is owned again, and the others stay owned") {
    world w(four_partitions());
    w.add_entry();
    w.run(seconds(5));
    table_transaction transaction;
    transaction.deletes.push_back(partition_key(partition_number(0)));
    REQUIRE(w.rows.commit(transaction).committed);
    CHECK_NOTHROW(w.run(seconds(100)));
    CHECK(owned_partitions(w) == w.options.partition_count);
}
