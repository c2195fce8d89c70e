#include <doctest/doctest.h>

#include <map>

#include "pool_fixture.hpp"

using namespace tanagerpaddle;

namespace {

// Sends `count` requests sequentially; `outcome_for` gives the outcome for a target id. Returns the
// requests per target.
template <class OutcomeFor>
std::map<std::string, int> requests_by_target(
    const std::shared_ptr<const selection_strategy>& strategy, int count,
    const OutcomeFor& outcome_for) {
    manual_clock time;
    pool_options options = with_selection(strategy);
    options.outliers.is_enabled = false;
    target_pool pool(options, time, failure_domain_id("a"));
    pool.replace(make_targets(4));
    random_source random(7);
    std::map<std::string, int> requests;
    for (int request = 0; request < count; ++request) {
        auto acquired = pool.acquire(quotes, {}, random);
        const std::string id = acquired.lease->target().id.value();
        ++requests[id];
        time.advance(milliseconds(1));
        pool.release(*acquired.lease, outcome_for(id));
    }
    return requests;
}

}  // namespace

// Guards against a target that fails fast and attracts most requests because it is always idle.
TEST_CASE("power of two choices avoids a target that fails fast; random selection does not") {
    const auto fails = [](const std::string& id) {
        return id == "t0" ? outcome_of(result_code::target_failed, 1) : outcome_of(result_code::ok);
    };
    const auto by_random = requests_by_target(std::make_shared<random_selection>(), 1'000, fails);
    const auto by_cost =
        requests_by_target(std::make_shared<power_of_two_selection>(), 1'000, fails);
    INFO("random " << by_random.at("t0") << ", power of two " << by_cost.at("t0"));
    CHECK(by_random.at("t0") > 200);
    CHECK(by_cost.at("t0") < 50);
}

// Guards against a slow target that gets its full share of requests and determines the tail
// latency.
TEST_CASE("power of two choices gives a slow target fewer requests than round robin") {
    const auto slow = [](const std::string& id) {
        return outcome_of(result_code::ok, id == "t0" ? 200 : 20);
    };
    const auto in_turn = requests_by_target(std::make_shared<round_robin_selection>(), 1'000, slow);
    const auto by_cost =
        requests_by_target(std::make_shared<power_of_two_selection>(), 1'000, slow);
    INFO("round robin " << in_turn.at("t0") << ", power of two " << by_cost.at("t0"));
    CHECK(in_turn.at("t0") == 250);
    CHECK(by_cost.at("t0") < 50);
    CHECK(by_cost.at("t0") > 0);
}

// Guards against cross-domain traffic while the local failure domain has capacity, and against
// refusing requests while another failure domain has capacity.
TEST_CASE("the local failure domain is used up to its limit, then requests spill over to others") {
    manual_clock time;
    random_source random(8);
    std::vector<route_target> targets{make_target(0, "a"), make_target(1, "a"), make_target(2, "b"),
                                      make_target(3, "b")};
    const auto count_remote = [&](std::shared_ptr<const selection_strategy> strategy) {
        target_pool pool(with_selection(std::move(strategy)), time, failure_domain_id("a"));
        pool.replace(targets);
        std::vector<target_lease> leases;
        int remote = 0;
        for (int request = 0; request < 16; ++request) {
            leases.push_back(std::move(*pool.acquire(quotes, {}, random).lease));
            remote += leases.back().is_local() ? 0 : 1;
        }
        for (int request = 0; request < 16; ++request) {
            auto acquired = pool.acquire(quotes, {}, random);
            REQUIRE(acquired.lease);
            leases.push_back(std::move(*acquired.lease));
        }
        CHECK(pool.acquire(quotes, {}, random).reason == result_code::overloaded);
        return remote;
    };
    CHECK(count_remote(std::make_shared<random_selection>()) > 2);
    CHECK(count_remote(std::make_shared<power_of_two_selection>()) == 0);
}

// Guards against a target that is never selected again once its latency estimate is high: without
// requests no sample would correct the estimate.
TEST_CASE("a target that was slow gets requests again after its latency estimate has decayed") {
    manual_clock time;
    target_pool pool({}, time, failure_domain_id("a"));
    pool.replace(make_targets(2));
    random_source random(9);
    const auto run = [&](const std::vector<target_id>& excluded, std::int64_t latency_ms) {
        auto acquired = pool.acquire(quotes, excluded, random);
        const auto id = acquired.lease->target().id.value();
        pool.release(*acquired.lease, outcome_of(result_code::ok, latency_ms));
        return id;
    };
    for (int request = 0; request < 100; ++request) {
        run({target_id("t0")}, 20);
    }
    run({target_id("t1")}, 2'000);
    int early = 0;
    int late = 0;
    for (int request = 0; request < 100; ++request) {
        early += run({}, 20) == "t0" ? 1 : 0;
    }
    time.advance(milliseconds(60'000));
    for (int request = 0; request < 100; ++request) {
        late += run({}, 20) == "t0" ? 1 : 0;
    }
    INFO("early " << early << ", late " << late);
    CHECK(early == 0);
    CHECK(late > 10);
}
