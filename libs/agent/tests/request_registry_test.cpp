#include "request_registry.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;

namespace {

const incarnation_number life(7);
const request_id order("order-1");
constexpr milliseconds budget{1'000};

struct fixture {
    explicit fixture(request_registry_options chosen = {})
        : options(chosen), registry(options, life, time) {}

    result_code take(const request_id& id, bool is_idempotent = false) {
        const registry_verdict verdict = registry.check(id, is_idempotent);
        if (verdict.code != result_code::ok || verdict.answer) {
            return verdict.code;
        }
        return registry.accept(id, is_idempotent, deadline::after(time.now(), budget));
    }
    // The number of times that two deliveries of one non-idempotent request reach the target.
    int runs_of_two_deliveries() {
        int runs = 0;
        for (int delivery = 0; delivery < 2; ++delivery) {
            if (take(order) == result_code::ok && !registry.check(order, false).answer) {
                registry.begin(order);
                registry.finish(order, std::nullopt);
                ++runs;
            }
        }
        return runs;
    }
    cancel_outcome cancel(const request_id& id) { return registry.cancel({id, life}); }

    manual_clock time;
    request_registry_options options;
    request_registry registry;
};

}  // namespace

// Guards against a cut order that is placed twice because its delivery was repeated.
TEST_CASE("a repeated delivery of a non-idempotent request runs once") {
    CHECK(fixture().runs_of_two_deliveries() == 1);
}

// Shows that the test above fails without the registry's check.
TEST_CASE("with the check for known ids switched off the request runs twice") {
    request_registry_options options;
    options.refuse_known = false;
    CHECK(fixture(options).runs_of_two_deliveries() == 2);
}

// Guards against a second run while the first one waits or runs.
TEST_CASE("an id that waits or runs is refused as a duplicate") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    CHECK(world.take(order) == result_code::duplicate_request);
    world.registry.begin(order);
    CHECK(world.take(order) == result_code::duplicate_request);
}

// Guards against a caller that never learns the result of a run whose answer was lost.
TEST_CASE("a kept answer is given again") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.registry.finish(order, stored_answer{200, "text/plain", "cut 12 pallets", 0});
    const registry_verdict verdict = world.registry.check(order, false);
    REQUIRE(verdict.answer.has_value());
    CHECK(verdict.answer->body == "cut 12 pallets");
}

// Guards against answers that are dropped for room while their callers may still ask.
TEST_CASE("answers are kept until the deadline and new requests refused while they fill the room") {
    request_registry_options options;
    options.most_answers = 1;
    fixture world(options);
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.registry.finish(order, stored_answer{200, "text/plain", "done", 0});
    CHECK(world.take(request_id("order-2")) == result_code::overloaded);
    CHECK(world.registry.check(order, false).answer.has_value());
    world.time.advance(budget + milliseconds(1));
    CHECK(world.take(request_id("order-2")) == result_code::ok);
    CHECK(world.registry.answer_bytes() == 0);
    CHECK(world.take(order) == result_code::duplicate_request);
}

// Guards against a request that runs after its cancel was answered with not_run.
TEST_CASE("a request that arrives after its cancel is refused") {
    fixture world;
    CHECK(world.cancel(order) == cancel_outcome::not_run);
    CHECK(world.take(order) == result_code::cancelled_not_run);
    world.time.advance(world.options.early_cancel_time - milliseconds(1));
    CHECK(world.take(order) == result_code::cancelled_not_run);
    CHECK(world.take(order, true) == result_code::cancelled_not_run);
}

TEST_CASE("a cancel withdraws a waiting request and answers by its state later") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    SUBCASE("waiting") {
        CHECK(world.cancel(order) == cancel_outcome::not_run);
        CHECK(world.registry.is_withdrawn(order));
        CHECK_THROWS_AS(world.registry.begin(order), invariant_violation);
        world.registry.drop(order);
        CHECK(world.take(order) == result_code::cancelled_not_run);
    }
    SUBCASE("running and done") {
        world.registry.begin(order);
        CHECK(world.cancel(order) == cancel_outcome::running);
        world.registry.finish(order, std::nullopt);
        CHECK(world.cancel(order) == cancel_outcome::done);
    }
}

// Guards against `not_run` for a request that an earlier life of the agent may have run.
TEST_CASE("a cancel for another incarnation is answered unknown and leaves nothing") {
    fixture world;
    CHECK(world.registry.cancel({order, incarnation_number(8)}) == cancel_outcome::unknown);
    CHECK(world.take(order) == result_code::ok);
}

// Guards against `not_run` and a second run for ids whose record has expired.
TEST_CASE("an id that is too old to be known is answered unknown and does not run again") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.registry.finish(order, std::nullopt);
    world.time.advance(budget + world.options.margin - milliseconds(1));
    CHECK(world.cancel(order) == cancel_outcome::done);
    world.time.advance(milliseconds(1));
    CHECK(world.cancel(order) == cancel_outcome::unknown);
    CHECK(world.take(order) == result_code::duplicate_request);
    CHECK(world.registry.record_count() == 0);
}

// Guards against a record that expires while its request still runs.
TEST_CASE("a request that runs long after its deadline is not forgotten") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.time.advance(milliseconds(3'600'000));
    CHECK(world.cancel(order) == cancel_outcome::running);
    CHECK(world.take(order) == result_code::duplicate_request);
}

// Guards against ids that are forgotten early because the registry is full.
TEST_CASE("a full registry refuses new requests and promises nothing for unknown ids") {
    request_registry_options options;
    options.most_records = 1;
    fixture world(options);
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.registry.finish(order, std::nullopt);
    CHECK(world.take(request_id("order-2")) == result_code::overloaded);
    CHECK(world.cancel(request_id("order-2")) == cancel_outcome::unknown);
    CHECK(world.take(order) == result_code::duplicate_request);
    world.time.advance(budget + options.margin);
    CHECK(world.take(request_id("order-2")) == result_code::ok);
}

// Guards against a retry that is refused although the first try was refused before it ran.
TEST_CASE("an id that was refused before it ran or did not reach the target may come again") {
    fixture world;
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.drop(order);
    REQUIRE(world.take(order) == result_code::ok);
    world.registry.begin(order);
    world.registry.take_back(order);
    CHECK(world.take(order) == result_code::ok);
}

// Guards against retries and hedges of idempotent requests that are refused as duplicates.
TEST_CASE("an idempotent id may run several times") {
    fixture world;
    REQUIRE(world.take(order, true) == result_code::ok);
    world.registry.begin(order);
    CHECK(world.take(order, true) == result_code::ok);
    world.registry.begin(order);
    world.registry.finish(order, std::nullopt);
    CHECK(world.cancel(order) == cancel_outcome::running);
    world.registry.finish(order, std::nullopt);
    CHECK(world.cancel(order) == cancel_outcome::done);
    // The same id declared non-idempotent must not run after it has.
    CHECK(world.take(order, false) == result_code::duplicate_request);
}
