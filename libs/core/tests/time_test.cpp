#include <doctest/doctest.h>

#include "tanagerpaddle/core.hpp"

using namespace tanagerpaddle;

// A budget that is larger than the time left would let work run past its deadline.
TEST_CASE("a deadline reports the time left and never a negative one") {
    manual_clock time;
    const deadline limit = deadline::after(time.now(), milliseconds(500));
    CHECK(limit.remaining(time.now()) == milliseconds(500));
    time.advance(milliseconds(499));
    CHECK_FALSE(limit.has_passed(time.now()));
    time.advance(milliseconds(1));
    CHECK(limit.has_passed(time.now()));
    time.advance(milliseconds(100));
    CHECK(limit.remaining(time.now()) == milliseconds(0));
}

TEST_CASE("a default deadline never passes") {
    manual_clock time;
    CHECK_FALSE(deadline().has_passed(time.now()));
    CHECK(deadline().remaining(time.now()) > milliseconds(0));
}
