// Values that other processes write and no decoder can use are refused, and the values beside them
// are read.

#include "tanagerpaddle/json_input.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;
using json_input::json;

namespace {

std::string nested(std::size_t levels, const std::string& open, const std::string& close,
                   bool is_closed = true) {
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += open;
    }
    for (std::size_t i = 0; i < levels && is_closed; ++i) {
        text += close;
    }
    return text;
}

}  // namespace

// Guards against a stack that overflows when the value is copied or printed.
TEST_CASE("a value of 100,000 levels is cut, and the values beside it are read") {
    constexpr std::size_t levels = 100'000;
    for (const auto& odd : {nested(levels, "[", "]"), nested(levels, R"({"a":)", "}") + "",
                            nested(levels, R"([{"]}":)", "}]"), nested(levels, "[1,", "]")}) {
        std::string body = odd;
        if (const auto empty = body.find(":}"); empty != std::string::npos) {
            body.insert(empty + 1, "1");
        }
        if (const auto empty = body.find(",]"); empty != std::string::npos) {
            body.insert(empty + 1, "1");
        }
        CAPTURE(body.substr(0, 20));
        const auto read = json_input::parse("[1," + body + ",\"]}\\\"[{\",2]");
        REQUIRE(read.size() == 4);
        CHECK(read.at(0) == 1);
        CHECK(read.at(2) == "]}\"[{");
        CHECK(read.at(3) == 2);
        const auto copy = read;
        CHECK(copy.dump().size() < 2'000);
    }
    for (const auto& body :
         {nested(levels, "[", "]", false), nested(levels, R"({"a":)", "}", false),
          nested(levels, "]", "["), nested(levels, "\"", "\"", false) + "\\"}) {
        CHECK_THROWS_AS((void)json_input::parse(body), json::exception);
    }
}

TEST_CASE("values down to the greatest depth are read") {
    const auto text = nested(json_input::max_depth, "[", "]");
    CHECK(json_input::parse(text).dump() == text);
}

// Guards against a list that cannot be read because of one entry.
TEST_CASE("a number beyond the range of double is refused, and the values beside it are read") {
    for (const auto& number : {std::string("1e999"), std::string("-1e999"), std::string(400, '9'),
                               "-" + std::string(400, '9') + ".5E+7"}) {
        CAPTURE(number);
        const auto read = json_input::parse("[1," + number + ",{\"1e999\":" + number + "},2]");
        REQUIRE(read.size() == 4);
        CHECK(read.at(0) == 1);
        CHECK(read.at(3) == 2);
        CHECK_THROWS((void)json_input::rounded_number<std::int64_t>(read.at(1)));
        CHECK_THROWS((void)json_input::rounded_number<std::int64_t>(read.at(2).at("1e999")));
    }
}

TEST_CASE("texts that are no JSON are refused") {
    for (const char* text : {"", "{", "]", "nul", "[1,]", "{\"a\":1", "[1e]", "[NaN]", "\"\xff\"",
                             "\"a", "1e999 x", "[-]", "[01]"}) {
        CAPTURE(text);
        CHECK_THROWS_AS((void)json_input::parse(text), json::exception);
    }
    CHECK(json_input::parse(R"({"a":1,"a":2})").at("a") == 2);
}

// Guards against numbers that nlohmann::json converts to other ones.
TEST_CASE("a number that does not fit is refused") {
    for (const char* text : {"-1", "4294967296", "9223372036854775808", "18446744073709551616",
                             "1.5", "1e3", "1e300", "true", "null", "\"1\"", "[]", "[1]", "{}"}) {
        CAPTURE(text);
        CHECK_THROWS((void)json_input::whole_number<std::uint32_t>(json_input::parse(text)));
    }
    CHECK(json_input::whole_number<std::uint32_t>(json_input::parse("4294967295")) == 4294967295U);
    CHECK(json_input::whole_number<std::uint64_t>(json_input::parse("18446744073709551615")) ==
          std::numeric_limits<std::uint64_t>::max());
    CHECK(json_input::whole_number<std::int64_t>(json_input::parse("-9223372036854775808")) ==
          std::numeric_limits<std::int64_t>::min());
    CHECK_THROWS_AS((void)json_input::whole_number<std::uint32_t>(json(7), 0U, 6U), error);
}

TEST_CASE("a measurement may have a fraction, which is dropped") {
    CHECK(json_input::rounded_number<int>(json_input::parse("41.9")) == 41);
    CHECK(json_input::rounded_number<int>(json_input::parse("-0.5")) == 0);
    CHECK(json_input::duration(json_input::parse("1e3")) == milliseconds(1'000));
    for (const char* text : {"1e300", "-1e300", "1e16", "4e9", "null", "\"1\""}) {
        CAPTURE(text);
        CHECK_THROWS((void)json_input::rounded_number<int>(json_input::parse(text)));
    }
    CHECK(json_input::percent(json(-1)) == 0);
    CHECK(json_input::percent(json(101)) == 100);
    CHECK(json_input::measurement(json(std::numeric_limits<std::int64_t>::max())) ==
          json_input::max_measurement);
    CHECK_THROWS_AS((void)json_input::duration(json(-1)), error);
    CHECK_THROWS_AS((void)json_input::amount<millicores>(json(json_input::max_amount + 1)), error);
}
