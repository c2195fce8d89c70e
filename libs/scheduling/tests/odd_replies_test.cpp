// Replies to syncs with values that no sound owner sends.

#include <functional>
#include <limits>
#include <vector>

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

// Guards against an agent that is lost for good after one reply: it waits for years until it syncs
// again, or holds a lease that never ends.
TEST_CASE("an agent syncs on and its lease ends after a reply with odd times") {
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    for (const std::int64_t odd : {highest, highest / 1'000'000, std::int64_t{1'000'000'000'000},
                                   lowest, std::int64_t{-1}}) {
        for (std::int64_t sync_reply::*const field :
             {&sync_reply::next_sync_ms, &sync_reply::lease_ms}) {
            INFO("value ", odd, field == &sync_reply::lease_ms ? " of the lease" : " of the sync");
            world w;
            w.add_entry();
            auto& agent = w.add_worker("w1");
            w.run(seconds(3));
            bool is_sent = false;
            agent.reply_filter = [&](sync_reply& reply) {
                if (!is_sent) {
                    reply.*field = odd;
                    is_sent = true;
                }
                return true;
            };
            w.run(seconds(20));
            REQUIRE(is_sent);
            REQUIRE(
                w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
            CHECK_NOTHROW(w.run(seconds(90)));
            CHECK(w.row_of("sound").state == job_state::finished);
        }
    }
}
