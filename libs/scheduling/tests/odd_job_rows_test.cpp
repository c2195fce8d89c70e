// Rows of jobs that are odd.

#include <vector>

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against one job row that hides all jobs from the operators' list.
TEST_CASE("an odd job row hides no other job") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    put(w, job_key(job_id("odd")), "{\"group_count\":" + nested(100'000) + "}");
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
    CHECK_NOTHROW(w.run(seconds(10)));
    CHECK(w.row_of("sound").state == job_state::finished);
    for (const std::size_t limit : {1U, 2U, 10U}) {
        INFO("limit ", limit);
        std::vector<job_row> jobs;
        CHECK_NOTHROW(jobs = w.entries[0]->scheduler->list_jobs(job_id(), limit));
        REQUIRE(jobs.size() == 1);
        CHECK(jobs.front().declaration.id == job_id("sound"));
    }
}

// Guards against the end of a job that cannot be recorded and stops its whole partition.
TEST_CASE("a job whose row becomes odd while it runs stops no other job") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    REQUIRE(w.entries[0]->scheduler->submit(make_job("odd", 1000, seconds(5)), false).is_new);
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(8)), false).is_new);
    w.run(seconds(2));
    put(w, job_key(job_id("odd")), "{\"group_count\":" + nested(100'000) + "}");
    CHECK_NOTHROW(w.run(seconds(20)));
    CHECK(w.row_of("sound").state == job_state::finished);
}
