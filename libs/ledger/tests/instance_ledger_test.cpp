#include <doctest/doctest.h>

#include "tanagerpaddle/ledger.hpp"

using namespace tanagerpaddle;

namespace {

resources amount(std::int64_t processors, std::int64_t memory, std::int64_t accelerators = 0) {
    return {millicores(processors), mebibytes(memory), accelerator_count(accelerators)};
}

}  // namespace

// Guards against an instance that is committed beyond one of its resources.
TEST_CASE("a commitment that exceeds any single resource is refused without effect") {
    instance_ledger ledger(amount(4000, 1000, 1));
    REQUIRE(ledger.reserve(service_id("quotes"), amount(1000, 100)));
    CHECK_FALSE(ledger.commit("a/0#1", amount(3001, 1)));
    CHECK_FALSE(ledger.commit("a/0#1", amount(1, 901)));
    CHECK_FALSE(ledger.commit("a/0#1", amount(1, 1, 2)));
    CHECK(ledger.commit("a/0#1", amount(3000, 900, 1)));
    INFO("free " << to_string(ledger.free()));
    CHECK(ledger.free() == amount(0, 0, 0));
    CHECK_FALSE(ledger.reserve(service_id("quotes"), amount(1001, 100)));
    CHECK(ledger.release("a/0#1"));
    CHECK(ledger.reserve(service_id("quotes"), amount(1001, 100)));
}

// Guards against committing or releasing the resources of one attempt twice.
TEST_CASE("a key holds resources at most once") {
    instance_ledger ledger(amount(4000, 1000));
    CHECK(ledger.commit("a/0#1", amount(1000, 100)));
    CHECK_FALSE(ledger.commit("a/0#1", amount(1000, 100)));
    CHECK(ledger.release("a/0#1"));
    CHECK_FALSE(ledger.release("a/0#1"));
    CHECK(ledger.free() == amount(4000, 1000));
}

// Guards against a negative demand, which would increase the free amount.
TEST_CASE("a negative amount is refused") {
    instance_ledger ledger(amount(4000, 1000));
    CHECK_FALSE(ledger.commit("a/0#1", amount(-1, 0)));
    CHECK_THROWS_AS(instance_ledger(amount(-1, 0)), invariant_violation);
}

// Guards against requests beyond a service's slots and against a slot that is released twice.
TEST_CASE("slots are acquired up to their count and released once each") {
    instance_ledger ledger(amount(4000, 1000));
    const auto slots = ledger.slots(service_id("quotes"));
    CHECK_FALSE(slots->try_acquire_slot());
    slots->resize(2);
    CHECK(slots->try_acquire_slot());
    CHECK(slots->try_acquire_slot());
    CHECK_FALSE(slots->try_acquire_slot());
    slots->release_slot();
    slots->release_slot();
    CHECK(slots->busy() == 0);
    CHECK_THROWS_AS(slots->release_slot(), invariant_violation);
}
