// Rows and digests of entries that another writer left in an odd state.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string with_port(const std::string& port) {
    return "{\"id\":\"odd\",\"incarnation\":5,\"control\":{\"address\":\"127.0.0.1\",\"port\":" +
           port + "}}";
}

std::string with_address(const std::string& address) {
    return "{\"id\":\"odd\",\"control\":{\"address\":" + address + ",\"port\":7000}}";
}

const std::vector<std::string>& odd_values() {
    static const std::vector<std::string> all{
        "",
        "null",
        "7",
        "[]",
        "{}",
        "\xff",
        "{\"id\":\"o\xff\"}",
        nested(100'000),
        std::string(100'000, '['),
        "{\"id\":" + nested(100'000) + "}",
        "{\"id\":\"odd\",\"incarnation\":" + nested(100'000) + "}",
        "{\"id\":\"odd\",\"incarnation\":18446744073709551616}",
        "{\"id\":\"odd\",\"incarnation\":1e300}",
        "{\"id\":\"odd\",\"incarnation\":-1}",
        with_port("-1"),
        with_port("0"),
        with_port("65536"),
        with_port("1e300"),
        with_port("7000.5"),
        with_port("null"),
        with_port("\"7000\""),
        with_port(nested(100'000)),
        with_address("\"\""),
        with_address("7"),
        with_address("\"not an address\""),
        with_address("\"127.0.0.1\\u0000\""),
        // The row says that it is another entry's.
        encode(entry("b", 9)),
    };
    return all;
}

table_row row_of(const entry_info& info) {
    return {entry_key(info.id), encode(info), row_version(1)};
}

std::vector<entry_info> live_after(entry_directory& directory, const std::vector<table_row>& rows,
                                   std::int64_t ms) {
    directory.set_registered(read_registrations(rows).entries, at(ms));
    return directory.live(at(ms));
}

}  // namespace

// Guards against one row that keeps an entry from following all others.
TEST_CASE("an odd row among those of the entries hides no other entry") {
    for (const auto& value : odd_values()) {
        INFO("value ", value.substr(0, 60), " of ", value.size(), " bytes");
        entry_directory directory(entry("a"));
        const table_row odd{"entry/odd", value, row_version(1)};
        std::vector<entry_info> live;
        CHECK_NOTHROW(live =
                          live_after(directory, {row_of(entry("b")), odd, row_of(entry("z"))}, 0));
        CHECK(live == std::vector{entry("a"), entry("b"), entry("z")});
        // The next sound row under the same key takes effect.
        CHECK_NOTHROW(live = live_after(directory, {row_of(entry("b")), row_of(entry("odd"))}, 10));
        CHECK(live == std::vector{entry("a"), entry("b"), entry("odd"), entry("z")});
    }
}

// Guards against rows that are left out without a trace.
TEST_CASE("a row that cannot be read is named with its cause") {
    for (const auto& value : odd_values()) {
        INFO("value ", value.substr(0, 60), " of ", value.size(), " bytes");
        const auto found = read_registrations({{"entry/odd", value, row_version(1)}});
        CHECK(found.entries.empty());
        REQUIRE(found.unreadable.size() == 1);
        CHECK(found.unreadable.front().key == "entry/odd");
        CHECK_FALSE(found.unreadable.front().cause.empty());
        CHECK(found.unreadable.front().cause.size() < 1'000);
    }
}
