#include <doctest/doctest.h>

#include "pool_fixture.hpp"

using namespace tanagerpaddle;

// Guards against requests that are never released, or released twice, when a lease is moved or
// destroyed: the target would stay at its limit, or get more requests than its limit.
TEST_CASE("a lease counts exactly one outstanding request until destroyed or released") {
    manual_clock time;
    target_pool pool({}, time, failure_domain_id("a"));
    pool.replace(make_targets(1));
    random_source random(1);
    {
        auto first = pool.acquire(quotes, {}, random);
        REQUIRE(first.lease);
        target_lease moved = std::move(*first.lease);
        CHECK_FALSE(first.lease->is_held());
        CHECK(status_of(pool, "t0").outstanding == 1);
    }
    CHECK(status_of(pool, "t0").outstanding == 0);
    auto second = pool.acquire(quotes, {}, random);
    pool.release(*second.lease, outcome_of(result_code::ok));
    pool.release(*second.lease, outcome_of(result_code::ok));
    CHECK(status_of(pool, "t0").outstanding == 0);
}

// Guards against callers that cannot distinguish a full service from one without targets.
TEST_CASE("acquire reports whether targets are missing or at their limit") {
    manual_clock time;
    target_pool pool({}, time, failure_domain_id("a"));
    random_source random(2);
    CHECK(pool.acquire(quotes, {}, random).reason == result_code::no_target);

    auto targets = make_targets(2);
    targets[1].accepts = false;
    pool.replace(targets);
    std::vector<target_lease> leases;
    for (std::uint32_t slot = 0; slot < targets[0].slots; ++slot) {
        auto acquired = pool.acquire(quotes, {}, random);
        REQUIRE(acquired.lease);
        CHECK(acquired.lease->target().id.value() == "t0");
        leases.push_back(std::move(*acquired.lease));
    }
    CHECK(pool.acquire(quotes, {}, random).reason == result_code::overloaded);
    CHECK(pool.acquire(quotes, {target_id("t0")}, random).reason == result_code::no_target);
}

// Guards against resetting the counters of a target with each change of the routing table, and
// against a restarted target that inherits the failures of its previous incarnation.
TEST_CASE("counters are kept across snapshots for an incarnation and reset for a new one") {
    manual_clock time;
    target_pool pool({}, time, failure_domain_id("a"));
    pool.replace({make_target(0)});
    random_source random(3);
    auto kept = pool.acquire(quotes, {}, random);
    pool.replace({make_target(0), make_target(1)});
    CHECK(status_of(pool, "t0").outstanding == 1);

    pool.replace({make_target(0, "a", 2)});
    CHECK(status_of(pool, "t0").outstanding == 0);
    // The lease of the previous incarnation stays valid; its release does not affect the new one.
    CHECK(kept.lease->target().incarnation == incarnation_number(1));
    pool.release(*kept.lease, outcome_of(result_code::target_failed));
    CHECK(status_of(pool, "t0").outstanding == 0);
    CHECK(status_of(pool, "t0").failure_share == 0);
}

// Guards against requests to a leaving target before the routing table lists it as leaving.
TEST_CASE("a target that responded with leaving gets no requests for the exclusion time") {
    manual_clock time;
    target_pool pool({}, time, failure_domain_id("a"));
    pool.replace(make_targets(2));
    random_source random(4);
    auto refused = pool.acquire(quotes, {target_id("t1")}, random);
    pool.release(*refused.lease, outcome_of(result_code::leaving));
    for (int request = 0; request < 20; ++request) {
        auto acquired = pool.acquire(quotes, {}, random);
        REQUIRE(acquired.lease);
        CHECK(acquired.lease->target().id.value() == "t1");
    }
    CHECK_FALSE(status_of(pool, "t0").is_ejected);
    time.advance(milliseconds(10'000));
    CHECK(pool.acquire(quotes, {target_id("t1")}, random).lease);
}

// Guards against a limit above the maximum connections of a target, which refuses further ones.
TEST_CASE("the limit never exceeds the connections of a target, regardless of the strategy") {
    manual_clock time;
    pool_options options;
    options.limit = std::make_shared<fixed_limit>(1'000);
    target_pool pool(options, time, failure_domain_id("a"));
    auto target = make_target(0);
    target.connections = 5;
    pool.replace({target});
    random_source random(5);
    std::vector<target_lease> leases;
    while (auto lease = pool.acquire(quotes, {}, random).lease) {
        leases.push_back(std::move(*lease));
    }
    CHECK(leases.size() == 5);
}
