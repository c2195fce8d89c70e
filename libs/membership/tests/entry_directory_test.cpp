#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

std::vector<std::string> ids(const std::vector<entry_info>& entries) {
    std::vector<std::string> result;
    for (const auto& value : entries) {
        result.push_back(value.id.value());
    }
    return result;
}

using names = std::vector<std::string>;

}  // namespace

// Guards against partitions that remain assigned to a dead entry.
TEST_CASE("an entry is live until three digests are missed, and again from its next digest") {
    entry_directory directory(entry("a"));
    directory.set_registered({entry("a"), entry("b")}, at(0));
    for (int ms = 2'000; ms <= 6'000; ms += 2'000) {
        CHECK(ids(directory.live(at(ms))) == names{"a", "b"});
    }
    CHECK(ids(directory.live(at(6'001))) == names{"a"});
    CHECK(ids(directory.all()) == names{"a", "b"});
    directory.record_heartbeat(entry("b"), at(7'000));
    CHECK(ids(directory.live(at(7'000))) == names{"a", "b"});
}

// Guards against an entry that takes over every partition when its process resumes after a pause.
TEST_CASE("after a pause of its own process an entry grants the others one more interval") {
    entry_directory directory(entry("a"));
    directory.set_registered({entry("b")}, at(0));
    directory.record_heartbeat(entry("b"), at(1'000));
    CHECK(ids(directory.live(at(300'000))) == names{"a", "b"});
    CHECK(directory.pause_count() == 1);
    CHECK(ids(directory.live(at(302'000))) == names{"a", "b"});
    for (int ms = 304'000; ms <= 308'000; ms += 2'000) {
        CHECK(ids(directory.live(at(ms))) == names{"a", "b"});
    }
    CHECK(ids(directory.live(at(308'001))) == names{"a"});
}

// Guards against entries being removed because the table cannot be read.
TEST_CASE("the last list is kept while the table is unavailable") {
    entry_directory directory(entry("a"));
    directory.set_registered({entry("b"), entry("c")}, at(0));
    for (int ms = 1'000; ms <= 600'000; ms += 1'000) {
        directory.record_heartbeat(entry("b"), at(ms));
        directory.record_heartbeat(entry("c"), at(ms));
    }
    CHECK(ids(directory.live(at(600'000))) == names{"a", "b", "c"});
}

// Guards against partitions assigned to an entry that is shutting down.
TEST_CASE("a leaving entry is not live") {
    entry_directory directory(entry("a"));
    directory.record_heartbeat(entry("b"), at(0), true);
    CHECK(ids(directory.live(at(1))) == names{"a"});
    directory.record_heartbeat(entry("b", 2), at(2));  // next incarnation with the same id
    CHECK(ids(directory.live(at(3))) == names{"a", "b"});
    directory.mark_self_leaving();
    CHECK(ids(directory.live(at(4))) == names{"b"});
}

// Guards against a delayed digest or an old row that restores a replaced incarnation of an entry.
TEST_CASE("a replaced incarnation of an entry is ignored") {
    entry_directory directory(entry("a"));
    directory.record_heartbeat(entry("b", 9), at(0));
    directory.record_heartbeat(entry("b", 4), at(1'000));
    directory.record_heartbeat(entry("b", 9), at(2'000));
    directory.set_registered({entry("b", 9)}, at(2'000));
    CHECK(directory.all().at(1).incarnation == incarnation_number(4));
    CHECK(ids(directory.live(at(5'000))) == names{"a", "b"});
    CHECK(ids(directory.live(at(7'001))) == names{"a"});
}

// Guards against partitions that move because of one burst of failed calls.
TEST_CASE("concurrent failed calls count as one, and a digest resets the count") {
    entry_directory directory(entry("a"));
    directory.record_heartbeat(entry("b"), at(0));
    for (int i = 0; i < 10; ++i) {
        directory.record_call_failure(entry_id("b"), at(100));
    }
    CHECK(ids(directory.live(at(100))) == names{"a", "b"});
    directory.record_call_failure(entry_id("b"), at(1'200));
    directory.record_call_failure(entry_id("b"), at(2'300));
    CHECK(ids(directory.live(at(2'400))) == names{"a"});
    directory.record_heartbeat(entry("b"), at(2'500));
    CHECK(ids(directory.live(at(2'500))) == names{"a", "b"});
}

// Guards against keeping entries that died long ago and never sent a digest.
TEST_CASE("an entry without a row and without digests is removed") {
    entry_directory directory(entry("a"));
    directory.set_registered({entry("b"), entry("c")}, at(0));
    for (int ms = 2'000; ms <= 8'000; ms += 2'000) {
        directory.record_heartbeat(entry("c"), at(ms));
    }
    directory.set_registered({}, at(8'000));
    CHECK(ids(directory.all()) == names{"a", "c"});
}

// Guards against partitions of other entries that move when one entry joins or leaves.
TEST_CASE("only the partitions of an entry that joins or leaves change their owner") {
    constexpr std::uint32_t partitions = 64;
    std::vector<entry_info> entries;
    for (int i = 0; i < 32; ++i) {
        entries.push_back(entry("entry-" + std::to_string(i)));
    }
    auto fewer = entries;
    fewer.erase(fewer.begin() + 11);
    std::uint32_t moved = 0;
    for (std::uint32_t p = 0; p < partitions; ++p) {
        const auto& before = owner_of(partition_number(p), entries)->id;
        const auto& after = owner_of(partition_number(p), fewer)->id;
        if (before != entries[11].id) {
            INFO("partition " << p);
            CHECK(before == after);
        } else {
            ++moved;
        }
    }
    INFO("moved " << moved);
    CHECK(moved < partitions / 8);
    CHECK(owner_of(partition_number(0), {}) == nullptr);
}
