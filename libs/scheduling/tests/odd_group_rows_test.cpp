// Rows of groups whose content is odd.

#include <limits>

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against tasks that are looked up by a key other than the one of their row.
TEST_CASE("a group row that does not belong to its key stops no job of its partition") {
    group_row foreign;
    foreign.declaration = make_job("foreign", 1000, seconds(2));
    foreign.tasks.emplace_back();
    group_row high = foreign;
    high.declaration = make_job("odd", 1000, seconds(2));
    high.tasks.front().index = 0xFFFF'FFFF;
    group_row elsewhere = high;
    elsewhere.group = 0xFFFF'FFFF;
    group_row twice = high;
    twice.tasks.front().index = 1;
    twice.tasks.push_back(twice.tasks.front());
    group_row negative = high;
    negative.tasks.front().index = 0;
    negative.declaration.demand.processors = millicores(std::numeric_limits<std::int64_t>::min());
    group_row endless = negative;
    endless.declaration.demand.processors = millicores(1);
    endless.declaration.run_time = milliseconds::max();
    for (const auto& odd : {foreign, high, elsewhere, twice, negative, endless}) {
        INFO("row ", encode(odd));
        world w;
        w.add_entry();
        w.add_worker("w1");
        w.run(seconds(3));
        put(w, group_key(partition_number(0), job_id("odd"), 0), encode(odd));
        REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
        CHECK_NOTHROW(w.run(seconds(40)));
        CHECK(w.row_of("sound").state == job_state::finished);
    }
}
