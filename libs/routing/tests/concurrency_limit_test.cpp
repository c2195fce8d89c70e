#include <doctest/doctest.h>

#include "pool_fixture.hpp"

using namespace tanagerpaddle;

namespace {

limit_sample sample_of(double limit, std::uint32_t busy) {
    limit_sample sample;
    sample.limit = limit;
    sample.slots = 8;
    sample.outstanding = static_cast<std::uint32_t>(limit);
    sample.recent_latency = sample.base_latency = sample.latency = milliseconds(20);
    sample.busy_slots = busy;
    sample.time_since_decrease = std::chrono::seconds(1);
    return sample;
}

}  // namespace

// Guards against idle slots of a target while part of its requests is in transit.
TEST_CASE("the limit grows above the slots while the target reports a free slot") {
    const aimd_limit limit;
    CHECK(limit.initial(8, 64) == 8);
    CHECK(limit.next(sample_of(8, 6)) > 8);
    CHECK(limit.next(sample_of(8, 8)) == 8);
    auto unused = sample_of(8, 6);
    unused.outstanding = 2;
    CHECK(limit.next(unused) == 8);
}

// Guards against repeated decreases by a burst of responses that report the same overload. The
// baseline, a fixed limit, keeps the target overloaded.
TEST_CASE("rejections and high latency lower the limit at most once per interval") {
    const aimd_limit adaptive;
    const fixed_limit constant(64);
    auto rejected = sample_of(20, 8);
    rejected.was_rejected = true;
    CHECK(adaptive.next(rejected) == doctest::Approx(18));
    CHECK(constant.next(rejected) == 64);
    rejected.time_since_decrease = milliseconds(10);
    CHECK(adaptive.next(rejected) == 20);
    auto slow = sample_of(20, 8);
    slow.recent_latency = milliseconds(50);
    CHECK(adaptive.next(slow) == doctest::Approx(18));
}
