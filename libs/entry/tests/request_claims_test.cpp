#include "request_claims.hpp"

#include <doctest/doctest.h>

#include <functional>

using namespace tanagerpaddle;

namespace {

result_code code_of(const std::function<void()>& action) {
    try {
        action();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

entry_info make_entry(const std::string& id) {
    return {entry_id(id), incarnation_number(1), {"127.0.0.1", 1}, failure_domain_id("a")};
}

const request_id order("order-1");

}  // namespace

// A caller that repeats its request through the balancer reaches another entry.
TEST_CASE("an id claimed by one entry is refused by another") {
    memory_table rows;
    manual_clock time;
    request_claims first(rows, make_entry("e1"), time);
    request_claims second(rows, make_entry("e2"), time);
    SUBCASE("with the claim in the table") {
        first.claim(order, duplicate_scope::everywhere);
        CHECK(code_of([&] { second.claim(order, duplicate_scope::everywhere); }) ==
              result_code::duplicate_request);
    }
    SUBCASE("without it both entries take the id") {
        first.claim(order, duplicate_scope::entry);
        CHECK(code_of([&] { second.claim(order, duplicate_scope::entry); }) == result_code::ok);
        CHECK(code_of([&] { first.claim(order, duplicate_scope::entry); }) ==
              result_code::duplicate_request);
    }
}

TEST_CASE("a claim whose answer was lost belongs to the entry that made it") {
    memory_table rows;
    manual_clock time;
    request_claims claims(rows, make_entry("e1"), time);
    rows.set_faults({.is_down = false, .lost_answer = 1, .lost_request = 0});
    CHECK(code_of([&] { claims.claim(order, duplicate_scope::everywhere); }) == result_code::ok);
    rows.set_faults({});
    request_claims other(rows, make_entry("e2"), time);
    CHECK(code_of([&] { other.claim(order, duplicate_scope::everywhere); }) ==
          result_code::duplicate_request);
}

TEST_CASE("a request that did not run may be sent again") {
    memory_table rows;
    manual_clock time;
    request_claims claims(rows, make_entry("e1"), time);
    claims.claim(order, duplicate_scope::everywhere);
    claims.release(order, duplicate_scope::everywhere);
    CHECK(code_of([&] { claims.claim(order, duplicate_scope::everywhere); }) == result_code::ok);
}

TEST_CASE("without the table nothing is claimed") {
    memory_table rows;
    manual_clock time;
    request_claims claims(rows, make_entry("e1"), time);
    rows.set_faults({.is_down = true, .lost_answer = 0, .lost_request = 0});
    CHECK(code_of([&] { claims.claim(order, duplicate_scope::everywhere); }) ==
          result_code::store_unavailable);
    rows.set_faults({});
    CHECK(code_of([&] { claims.claim(order, duplicate_scope::everywhere); }) == result_code::ok);
}

// Rows that are never deleted would fill the table: 17,000 requests a day for years.
TEST_CASE("rows older than the retention are deleted") {
    memory_table rows;
    manual_clock time;
    request_claims claims(rows, make_entry("e1"), time);
    for (int i = 0; i < 450; ++i) {
        claims.claim(request_id("old-" + std::to_string(i)), duplicate_scope::everywhere);
    }
    time.advance(std::chrono::hours(25));
    claims.claim(order, duplicate_scope::everywhere);
    CHECK(claims.sweep() == 450);
    CHECK(scan_all(rows, "request/").size() == 1);
}
