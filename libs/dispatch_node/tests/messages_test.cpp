// Messages between entries and agents are decoded to the encoded values; malformed ones are
// rejected.

#include "messages.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

TEST_CASE("encoded pressures are decoded unchanged") {
    const interference_model::pressure_table pressures{{"web", {{"heavy", 1.0}, {"light", 0.0}}},
                                                       {"mail", {{"heavy", 0.5}}}};
    CHECK(messages::decode_pressures(messages::encode(pressures)) == pressures);
    CHECK(messages::decode_pressures(messages::json::array()).empty());
}

TEST_CASE("malformed pressures are rejected") {
    for (const auto* text : {R"([["web","heavy"]])", R"([["web",1,2]])", R"([1])"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(static_cast<void>(messages::decode_pressures(messages::json::parse(text))),
                        messages::json::exception);
    }
}

TEST_CASE("an encoded age of a run is decoded unchanged, and malformed ones are rejected") {
    const run_age age{{job_id("job"), 1, 2, 3}, run_number(4), milliseconds(50)};
    const auto decoded = messages::decode_run_age(messages::encode(age));
    CHECK(decoded.task == age.task);
    CHECK(decoded.run == age.run);
    CHECK(decoded.age == age.age);
    for (const auto* text : {R"([])", R"([["job",0,0,0],"x",1])", R"([["job",0,0,0],1])"}) {
        CAPTURE(text);
        CHECK_THROWS(static_cast<void>(messages::decode_run_age(messages::json::parse(text))));
    }
}

// Owners and agents of different versions work together during an upgrade.
TEST_CASE("an order is decoded with the capacity that it was sent by, or without") {
    start_order order;
    order.task = {job_id("job"), 0, 0, 0};
    CHECK_FALSE(messages::encode(order).contains("capacity"));
    CHECK_FALSE(messages::decode_start(messages::encode(order)).capacity);
    order.capacity = resources{millicores(8'000), mebibytes(1'000), accelerator_count(2)};
    CHECK(messages::decode_start(messages::encode(order)).capacity == order.capacity);
}

// Owners and agents of different versions work together during an upgrade.
TEST_CASE("the end of an executor is decoded with its unsettled runs, or without") {
    executor_end end{executor_incarnation(1'000), true, {}, {}};
    CHECK_FALSE(messages::encode(end).contains("unsettled"));
    CHECK(messages::decode_executor_end(messages::encode(end)).unsettled.empty());
    end.unsettled = {{{job_id("job"), 1, 2, 3}, run_number(4), true},
                     {{job_id("job"), 0, 0, 0}, run_number(1), false}};
    const auto decoded = messages::decode_executor_end(messages::encode(end));
    REQUIRE(decoded.unsettled.size() == 2);
    CHECK(decoded.unsettled[0].task == end.unsettled[0].task);
    CHECK(decoded.unsettled[0].run == end.unsettled[0].run);
    CHECK(decoded.unsettled[0].is_listed);
    CHECK_FALSE(decoded.unsettled[1].is_listed);
    CHECK(decoded.was_draining);
}

// The sender's clock has another origin than the receiver's.
TEST_CASE("an inventory tells for how long calls for earlier executors have been refused") {
    const instant sent_at{milliseconds(50'000)};
    const instant received_at{milliseconds(900)};
    inventory found;
    const auto decoded = [&] {
        return messages::decode_inventory(messages::encode(found, sent_at), received_at).earlier;
    };
    CHECK_FALSE(decoded().has_value());
    found.earlier.emplace();
    REQUIRE(decoded().has_value());
    CHECK_FALSE(decoded()->refused_since.has_value());
    found.earlier->refused_since = sent_at - milliseconds(300);
    REQUIRE(decoded().has_value());
    CHECK(decoded()->refused_since == received_at - milliseconds(300));
    for (const auto* text : {R"({"earlier":1})", R"({"earlier":{"refused_ms":"x"}})",
                             R"({"earlier":{"refused_ms":-1}})"}) {
        CAPTURE(text);
        auto message = messages::encode(inventory{}, sent_at);
        message.update(messages::json::parse(text));
        CHECK_THROWS(static_cast<void>(messages::decode_inventory(message, received_at)));
    }
}
