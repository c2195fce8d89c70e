#include <doctest/doctest.h>

#include "tanagerpaddle/store.hpp"

using namespace tanagerpaddle;

// A wave of cancellations must leave writes for urgent claims.
TEST_CASE("writes that are not urgent leave the reserve to urgent ones") {
    manual_clock time;
    write_budget budget(time, 100, 100, 20);
    std::size_t taken = 0;
    while (budget.try_take(1, false)) {
        ++taken;
    }
    CHECK(taken == 80);
    CHECK(budget.try_take(20, true));
    CHECK_FALSE(budget.try_take(1, true));
}

TEST_CASE("over time a budget passes its rate") {
    manual_clock time;
    write_budget budget(time, 100, 50, 0);
    std::size_t taken = 0;
    for (int step = 0; step < 1000; ++step) {
        time.advance(milliseconds(10));
        while (budget.try_take(1, false)) {
            ++taken;
        }
    }
    CHECK(taken >= 1000);
    CHECK(taken <= 1051);
}

TEST_CASE("a transaction larger than the burst passes once the bucket is full") {
    manual_clock time;
    write_budget budget(time, 10, 10, 0);
    CHECK(budget.try_take(100, false));
    CHECK_FALSE(budget.try_take(1, true));
    time.advance(milliseconds(9000));
    CHECK_FALSE(budget.try_take(1, true));
    time.advance(milliseconds(1000));
    CHECK(budget.try_take(1, true));
}
