#include <doctest/doctest.h>

#include "tanagerpaddle/store.hpp"

using namespace tanagerpaddle;

// Two owners that both believe they hold a row must not both write it.
TEST_CASE("of two conditional writes with the same expected version one takes effect") {
    memory_table rows;
    const commit_result first = rows.commit({{{"a", row_version()}}, {{"a", "1"}}, {}});
    const commit_result second = rows.commit({{{"a", row_version()}}, {{"a", "2"}}, {}});
    CHECK(first.committed);
    CHECK_FALSE(second.committed);
    CHECK(second.conflicts == std::vector<std::string>{"a"});
    CHECK(rows.read("a")->value == "1");
}

// A row that was deleted and created again must not match a condition from before.
TEST_CASE("the version of a row created again is above all earlier ones") {
    memory_table rows;
    const auto first = rows.commit({{}, {{"a", "1"}}, {}}).version;
    CHECK(rows.commit({{}, {}, {"a"}}).committed);
    const auto second = rows.commit({{}, {{"a", "1"}}, {}}).version;
    CHECK(second > first);
    CHECK_FALSE(rows.commit({{{"a", first}}, {{"a", "2"}}, {}}).committed);
}

TEST_CASE("a transaction with one failed condition writes nothing") {
    memory_table rows;
    CHECK(rows.commit({{}, {{"a", "1"}}, {}}).committed);
    const auto result =
        rows.commit({{{"a", row_version()}, {"b", row_version()}}, {{"b", "1"}}, {}});
    CHECK_FALSE(result.committed);
    CHECK_FALSE(rows.read("b").has_value());
}

TEST_CASE("a commit whose answer is lost has taken effect") {
    memory_table rows;
    rows.set_faults({.is_down = false, .lost_answer = 1, .lost_request = 0});
    CHECK_THROWS_AS((void)rows.commit({{}, {{"a", "1"}}, {}}), error);
    rows.set_faults({});
    CHECK(rows.read("a")->value == "1");
}

TEST_CASE("a scan returns the rows of its prefix in pages") {
    memory_table rows;
    table_transaction fill;
    for (int i = 0; i < 1200; ++i) {
        fill.puts.push_back({"p/" + std::to_string(10000 + i), "x"});
    }
    fill.puts.push_back({"q/1", "x"});
    CHECK(rows.commit(fill).committed);
    CHECK(scan_all(rows, "p/").size() == 1200);
    CHECK(rows.scan("p/", "p/10001", 1).front().key == "p/10002");
}
