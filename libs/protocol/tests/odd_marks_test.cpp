// Numbers that only grow, near the end of their range.

#include <doctest/doctest.h>

#include <limits>
#include <string>

#include "tanagerpaddle/protocol.hpp"

using namespace tanagerpaddle;

namespace {

constexpr std::uint64_t highest = std::numeric_limits<std::uint64_t>::max();

template <class Message>
bool is_refused(const std::string& field, std::uint64_t value) {
    try {
        (void)decode<Message>("{\"" + field + "\":" + std::to_string(value) + "}");
    } catch (const error&) {
        return true;
    }
    return false;
}

}  // namespace

// Guards against one message after which every later sound one counts as old, and against a next
// number that starts again at 0.
TEST_CASE("the upper half of the range of a number that only grows is refused") {
    for (const std::uint64_t value : {highest, highest - 1, highest / 2 + 1}) {
        INFO("value ", value);
        CHECK(is_refused<sync_request>("sequence", value));
        CHECK(is_refused<sync_request>("epoch", value));
        CHECK(is_refused<sync_request>("configuration", value));
        CHECK(is_refused<sync_reply>("epoch", value));
        CHECK(is_refused<sync_reply>("acknowledged", value));
        CHECK(is_refused<inventory_request>("epoch", value));
        CHECK(is_refused<entry_digest>("targets_version", value));
        CHECK(is_refused<digest_reply>("acknowledged", value));
        CHECK(is_refused<entry_notice>("configuration", value));
        CHECK(is_refused<partition_row>("epoch", value));
        CHECK(is_refused<configuration_row>("version", value));
        CHECK(is_refused<domain_row>("version", value));
        CHECK(is_refused<group_row>("declared_in", value));
    }
    CHECK(is_refused<task_record>("attempt", std::numeric_limits<std::uint32_t>::max()));
    CHECK(is_refused<task_record>("attempt", std::numeric_limits<std::uint32_t>::max() / 2 + 1));
    CHECK_FALSE(is_refused<task_record>("attempt", std::numeric_limits<std::uint32_t>::max() / 2));
    CHECK_FALSE(is_refused<sync_reply>("epoch", highest / 2));
}

// Guards against a restarted process that is not heard: its incarnation is chosen at random.
TEST_CASE("an incarnation may be any number of 64 bits") {
    CHECK_FALSE(is_refused<sync_request>("incarnation", highest));
    CHECK_FALSE(is_refused<partition_row>("incarnation", highest));
}
