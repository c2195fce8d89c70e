#include <doctest/doctest.h>

#include "tanagerpaddle/core.hpp"

using namespace tanagerpaddle;

// A code without a row would be reported to callers as internal_error.
TEST_CASE("every numbered code has its own name") {
    for (int number = 0; number < 600; ++number) {
        const result_code code = result_code_from_number(number);
        if (static_cast<int>(code) == number) {
            INFO("number ", number);
            CHECK((name(code) != "internal_error" || code == result_code::internal_error));
        }
    }
}

// Retrying a non-idempotent request relies on this classification.
TEST_CASE("an unknown outcome never means not run") {
    CHECK(means_not_run(result_code::overloaded));
    CHECK(means_not_run(result_code::store_unavailable));
    CHECK_FALSE(means_not_run(result_code::outcome_unknown));
    CHECK_FALSE(means_not_run(result_code::store_outcome_unknown));
    CHECK_FALSE(means_not_run(result_code::internal_error));
    CHECK_FALSE(means_not_run(result_code::target_failed));
    CHECK_FALSE(means_not_run(result_code::ok));
}
