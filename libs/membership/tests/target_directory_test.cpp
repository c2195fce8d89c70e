#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

// Guards against requests sent to a target whose agent has stopped.
TEST_CASE("a local agent expires after three missed syncs and not before") {
    target_directory directory;
    REQUIRE(directory.record_sync(sync("w1"), at(0)));
    for (int ms = 2'000; ms <= 6'000; ms += 2'000) {
        INFO("ms " << ms);
        CHECK(directory.targets(at(ms)).size() == 1);
    }
    CHECK(directory.targets(at(6'001)).empty());
    CHECK(directory.expire(at(6'002)) == std::vector<worker_id>{worker_id("w1")});
}

// Guards against the loss of all targets after a pause of the local process.
TEST_CASE("agents do not expire right after a pause of the local process") {
    target_directory directory;
    REQUIRE(directory.record_sync(sync("w1"), at(0)));
    CHECK(directory.expire(at(2'000)).empty());
    CHECK(directory.expire(at(60'000)).empty());
    CHECK(directory.targets(at(61'000)).size() == 1);
    // After the grace period an agent without a sync expires.
    CHECK(directory.expire(at(63'000)).empty());
    CHECK(directory.expire(at(66'001)).size() == 1);
}

// Guards against sending the full list after each sync, which exceeds the bandwidth of a node.
TEST_CASE("load figures do not change the version, other changes do") {
    target_directory directory;
    auto request = sync("w1");
    directory.record_sync(request, at(0));
    const auto version = directory.version();
    request.sequence = 2;
    request.targets[0].busy_slots = 7;
    request.targets[0].p99_us = 90'000;
    directory.record_sync(request, at(1'000));
    CHECK(directory.version() == version);
    request.sequence = 3;
    request.is_leaving = true;
    directory.record_sync(request, at(2'000));
    CHECK(directory.version() == version + 1);
    CHECK(directory.targets(at(2'000)).at(0).is_leaving);
    request.sequence = 4;
    request.targets[0].is_healthy = false;
    directory.record_sync(request, at(3'000));
    CHECK(directory.version() == version + 2);
}

// Guards against a delayed message of a replaced agent that overrides its successor.
TEST_CASE("a new incarnation replaces the previous one immediately and a late message is ignored") {
    target_directory directory;
    directory.record_sync(sync("w1", 71), at(0));
    REQUIRE(directory.record_sync(sync("w1", 12), at(100)));
    CHECK(directory.targets(at(100)).at(0).incarnation == incarnation_number(12));
    CHECK_FALSE(directory.record_sync(sync("w1", 71, 9), at(200)));
    CHECK(directory.targets(at(200)).at(0).incarnation == incarnation_number(12));
}

// Guards against a receiver that never gets the list, or gets it with each digest.
TEST_CASE("a digest holds the list until the receiver has acknowledged its version") {
    target_directory sender;
    target_directory receiver;
    sender.set_local_state(owner_state("a", 1));
    sender.record_sync(sync("w1"), at(0));
    const auto first = sender.make_digest(entry_id("b"));
    CHECK_FALSE(first.is_unchanged);
    CHECK_FALSE(sender.make_digest(entry_id("b")).is_unchanged);  // the reply was lost
    digest_reply reply;
    reply.acknowledged = receiver.apply_digest(first, at(0));
    sender.record_reply(entry_id("b"), reply);
    CHECK(sender.make_digest(entry_id("b")).is_unchanged);
    CHECK(receiver.targets(at(1)).size() == 1);

    // A restarted receiver does not have the list and requests it.
    target_directory restarted;
    reply.acknowledged = restarted.apply_digest(sender.make_digest(entry_id("b")), at(1));
    CHECK(reply.acknowledged == 0);
    sender.record_reply(entry_id("b"), reply);
    CHECK_FALSE(sender.make_digest(entry_id("b")).is_unchanged);
}

// Guards against a newer list replaced by an older one when digests arrive out of order.
TEST_CASE("a digest that arrives after a newer one is ignored") {
    target_directory sender;
    target_directory receiver;
    sender.set_local_state(owner_state("a", 1));
    sender.record_sync(sync("w1"), at(0));
    const auto old = sender.make_digest(entry_id("b"));
    sender.remove(worker_id("w1"));
    const auto recent = sender.make_digest(entry_id("b"));
    CHECK(receiver.apply_digest(recent, at(1)) == recent.targets_version);
    CHECK(receiver.apply_digest(old, at(2)) == recent.targets_version);
    CHECK(receiver.targets(at(2)).empty());
}

// Guards against a previous owner whose old list overrides that of the new owner.
TEST_CASE("of two owners of a worker the one with the higher epoch takes precedence") {
    target_directory former;
    former.set_local_state(owner_state("a", 1));
    former.record_sync(sync("w1"), at(0));
    auto moved = sync("w1", 1, 2);
    moved.is_leaving = true;
    target_directory present;
    present.set_local_state(owner_state("b", 2));
    present.record_sync(moved, at(0));

    target_directory reader;
    reader.apply_digest(present.make_digest(entry_id("c")), at(10));
    reader.apply_digest(former.make_digest(entry_id("c")), at(20));  // newer report, lower epoch
    const auto targets = reader.targets(at(30));
    REQUIRE(targets.size() == 1);
    CHECK(targets[0].is_leaving);
}

// Guards against the address of a dead incarnation kept because of a higher epoch.
TEST_CASE("the most recently seen incarnation takes precedence over the epoch") {
    target_directory high_epoch;
    high_epoch.set_local_state(owner_state("a", 5));
    high_epoch.record_sync(sync("w1", 1), at(0));
    target_directory low_epoch;
    low_epoch.set_local_state(owner_state("b", 2));
    low_epoch.record_sync(sync("w1", 2), at(0));

    target_directory reader;
    reader.apply_digest(high_epoch.make_digest(entry_id("c")), at(10));
    reader.apply_digest(low_epoch.make_digest(entry_id("c")), at(20));
    reader.apply_digest(high_epoch.make_digest(entry_id("c")), at(30));
    const auto targets = reader.targets(at(30));
    REQUIRE(targets.size() == 1);
    CHECK(targets[0].incarnation == incarnation_number(2));
}

// Guards against the immediate loss of all targets of an entry that fails.
TEST_CASE(
    "the agents of an unreachable entry expire only after a longer time-out than for an agent") {
    target_directory sender;
    sender.set_local_state(owner_state("a", 1));
    sender.record_sync(sync("w1"), at(0));
    target_directory reader;
    reader.apply_digest(sender.make_digest(entry_id("c")), at(0));
    for (int ms = 2'000; ms <= 20'000; ms += 2'000) {
        reader.expire(at(ms));
        INFO("ms " << ms);
        CHECK(reader.targets(at(ms)).size() == 1);
    }
    reader.expire(at(20'001));
    CHECK(reader.targets(at(20'001)).empty());
}
