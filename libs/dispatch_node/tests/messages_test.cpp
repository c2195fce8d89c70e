// Messages between entries and agents keep what they carry, and refuse other shapes.

#include "messages.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

TEST_CASE("learned pressures arrive as they were sent") {
    const interference_model::pressure_table pressures{{"web", {{"heavy", 1.0}, {"light", 0.0}}},
                                                       {"mail", {{"heavy", 0.5}}}};
    CHECK(messages::decode_pressures(messages::encode(pressures)) == pressures);
    CHECK(messages::decode_pressures(messages::json::array()).empty());
}

TEST_CASE("pressures of another shape are refused") {
    for (const auto* text : {R"([["web","heavy"]])", R"([["web",1,2]])", R"([1])"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(messages::decode_pressures(messages::json::parse(text))),
                        messages::json::exception);
    }
}
