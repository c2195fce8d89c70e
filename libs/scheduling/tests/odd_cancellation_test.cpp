// Cancellation of jobs with odd rows.

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against a cancellation that removes a part of a job together with other jobs.
TEST_CASE("a job with an odd group row is cancelled as a whole or not at all") {
    world w;
    w.add_entry();
    w.add_worker("w1");
    w.run(seconds(3));
    job_declaration wide = make_job("odd", 4000);
    wide.task_count = tasks_per_group + 1;
    REQUIRE(w.entries[0]->scheduler->submit(wide, false).is_new);
    REQUIRE(w.entries[0]->scheduler->submit(make_job("sound"), false).is_new);
    put(w, group_key(partition_number(0), job_id("odd"), 1), nested(100'000));
    const auto results = w.entries[0]->scheduler->cancel_many({job_id("odd"), job_id("sound")});
    CHECK(results.at(0).code == result_code::malformed_request);
    CHECK(results.at(1).code == result_code::ok);
    CHECK(w.rows.read(group_key(partition_number(0), job_id("odd"), 0)).has_value());
    CHECK(w.row_of("odd").state == job_state::active);
    CHECK(w.row_of("sound").state == job_state::cancelled);
}
