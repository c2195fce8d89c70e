#include <doctest/doctest.h>

#include "pool_fixture.hpp"

using namespace tanagerpaddle;

namespace {

struct ejection_fixture {
    manual_clock time;
    random_source random{11};
    target_pool pool;

    explicit ejection_fixture(int targets, bool is_enabled = true)
        : pool(options_for(is_enabled), time, failure_domain_id("a")) {
        pool.replace(make_targets(targets));
    }

    static pool_options options_for(bool is_enabled) {
        pool_options options = with_selection(std::make_shared<random_selection>());
        options.outliers.is_enabled = is_enabled;
        return options;
    }

    // Runs one request, which fails with `failure` on the targets in `failing`. True on success.
    bool run(const std::vector<std::string>& failing,
             result_code failure = result_code::connection_refused) {
        auto acquired = pool.acquire(quotes, {}, random);
        if (!acquired.lease) {
            return false;
        }
        const auto& id = acquired.lease->target().id.value();
        const bool fails = std::find(failing.begin(), failing.end(), id) != failing.end();
        pool.release(*acquired.lease, outcome_of(fails ? failure : result_code::ok, 1));
        return !fails;
    }

    int ejected() const {
        int count = 0;
        for (const auto& status : pool.status()) {
            count += status.is_ejected ? 1 : 0;
        }
        return count;
    }
};

}  // namespace

// Guards against a faulty target that keeps failing its share of the requests.
TEST_CASE("a target that fails all requests is ejected; without ejection it keeps failing them") {
    int failed_with = 0;
    int failed_without = 0;
    ejection_fixture with(4);
    ejection_fixture without(4, false);
    for (int request = 0; request < 400; ++request) {
        failed_with += with.run({"t0"}) ? 0 : 1;
        failed_without += without.run({"t0"}) ? 0 : 1;
    }
    INFO("failed with ejection " << failed_with << ", without " << failed_without);
    CHECK(status_of(with.pool, "t0").is_ejected);
    CHECK(failed_with == 5);
    CHECK(failed_without > 60);
}

// Guards against ejecting all targets on a network fault, which makes all targets fail at once.
TEST_CASE("at most half of the targets are ejected and none if the whole fleet fails") {
    ejection_fixture partial(4);
    for (int request = 0; request < 100; ++request) {
        partial.run({"t0"});
    }
    for (int request = 0; request < 100; ++request) {
        partial.run({"t0", "t1"});
    }
    for (int request = 0; request < 400; ++request) {
        partial.run({"t0", "t1", "t2"});
    }
    CHECK(partial.ejected() == 2);

    ejection_fixture all(4);
    for (int request = 0; request < 400; ++request) {
        all.run({"t0", "t1", "t2", "t3"});
    }
    CHECK(all.ejected() == 0);
}

// Guards against ejecting healthy targets that correctly refuse requests.
TEST_CASE("refusals by full or leaving targets and cancelled requests do not cause ejection") {
    for (const auto code : {result_code::overloaded, result_code::leaving,
                            result_code::too_many_connections, result_code::cancelled_not_run}) {
        ejection_fixture fixture(4);
        for (int request = 0; request < 200; ++request) {
            fixture.run({"t0"}, code);
        }
        INFO(name(code));
        CHECK(fixture.ejected() == 0);
    }
}

// Guards against a burst of requests to a faulty target after each ejection, and against a
// recovered target that is not reinstated or gets full load at once.
TEST_CASE("an ejected target is probed by single requests with growing backoff") {
    ejection_fixture fixture(2);
    for (int request = 0; request < 100; ++request) {
        fixture.run({"t0"});
    }
    REQUIRE(status_of(fixture.pool, "t0").is_ejected);
    int probes = 0;
    for (int tick = 0; tick < 150; ++tick) {
        fixture.time.advance(milliseconds(100));
        for (int request = 0; request < 10; ++request) {
            probes += fixture.run({"t0"}) ? 0 : 1;
        }
    }
    // Backoffs of 1, 2, 4 and 8 s expire at 1, 3, 7 and 15 s.
    CHECK(probes == 4);
    fixture.time.advance(milliseconds(16'000));
    auto probe = fixture.pool.acquire(quotes, {}, fixture.random);
    CHECK(probe.lease->is_probe());
    CHECK_FALSE(fixture.pool.acquire(quotes, {}, fixture.random).lease->is_probe());
    fixture.pool.release(*probe.lease, outcome_of(result_code::ok));
    CHECK_FALSE(status_of(fixture.pool, "t0").is_ejected);
    CHECK(status_of(fixture.pool, "t0").limit == doctest::Approx(1));
    fixture.time.advance(milliseconds(5'000));
    CHECK(status_of(fixture.pool, "t0").limit == doctest::Approx(8));
}

// Guards against probing an ejected target with a request that must not fail on a probe.
TEST_CASE("a request that cannot probe is never sent to an ejected target") {
    ejection_fixture fixture(2);
    for (int request = 0; request < 100; ++request) {
        fixture.run({"t0"});
    }
    fixture.time.advance(milliseconds(2'000));
    for (int request = 0; request < 20; ++request) {
        auto acquired = fixture.pool.acquire(quotes, {}, fixture.random, {.can_probe = false});
        REQUIRE(acquired.lease);
        CHECK(acquired.lease->target().id.value() == "t1");
    }
}

// Guards against a target that is never probed again after its failure domain was drained and
// undrained while it was ejected, and against a pool without usable targets after the healthy ones
// have left.
TEST_CASE("ejected targets are reinstated after a drain and when the healthy ones leave") {
    ejection_fixture fixture(4);
    for (int request = 0; request < 200; ++request) {
        fixture.run({"t0"});
    }
    REQUIRE(fixture.ejected() == 1);
    auto targets = make_targets(4);
    targets[0].accepts = false;
    fixture.pool.replace(targets);
    fixture.time.advance(milliseconds(2'000));
    CHECK(fixture.run({}));
    fixture.pool.replace(make_targets(4));
    CHECK(fixture.run({}));
    CHECK(fixture.ejected() == 0);

    for (int request = 0; request < 200; ++request) {
        fixture.run({"t0"});
    }
    REQUIRE(fixture.ejected() == 1);
    fixture.pool.replace({make_target(0)});
    CHECK(fixture.ejected() == 0);
}
