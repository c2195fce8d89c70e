// Rows of failure domains that are odd.

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against one drain row that stops the claims of the whole partition.
TEST_CASE("an odd drain row stops no job of another failure domain") {
    world w;
    w.add_entry();
    w.add_worker("w1", 4000, "richmond");
    w.add_worker("w2", 4000, "wharton");
    put(w, domain_key(failure_domain_id("wharton")), "{\"version\":" + nested(100'000) + "}");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
    CHECK_NOTHROW(w.run(seconds(20)));
    CHECK(w.row_of("sound").state == job_state::finished);
}
