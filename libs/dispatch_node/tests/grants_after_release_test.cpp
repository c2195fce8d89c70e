// Leases that an owner grants around the release of the ownership.

#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>

#include "fake_store.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

// Below the ephemeral ports (from 32768), and apart from those of the other tests.
eventio::endpoint local_endpoint(int offset) {
    const auto base = 21'000 + (getpid() % 300) * 8;
    return {"127.0.0.1", static_cast<std::uint16_t>(base + offset)};
}

// Records the longest lease; its clock is that of the test.
class leased_executor final : public executor_control {
public:
    leased_executor(eventio::event_loop& loop, const tanagerpaddle::clock& time)
        : loop_(loop), time_(time) {}

    void sync(epoch_number, completion_number, std::optional<std::int64_t> lease_until_ms,
              milliseconds wait, std::function<void(const sync_result&)> done) override {
        if (lease_until_ms) {
            leased_until = std::max(leased_until, instant(milliseconds(*lease_until_ms)));
        }
        loop_.after(wait / 10, [this, done] {
            sync_result result;
            result.is_answered = true;
            result.executor_clock_ms =
                std::chrono::floor<milliseconds>(time_.now().time_since_epoch()).count();
            result.view.incarnation = executor_incarnation(1);
            done(result);
        });
    }
    void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)>) override {}
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}

    instant leased_until;

private:
    eventio::event_loop& loop_;
    const tanagerpaddle::clock& time_;
};

}  // namespace

// Guards against leases that outlast what a successor waits: it takes a released row as the end of
// the grants, also if the owner has no answer yet.
TEST_CASE("an owner grants no lease once it has sent a release that may be carried out") {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store(loop);
    leased_executor executor(loop, time);
    const lease_timing timing;
    entry_node entry(loop, time, store, nullptr,
                     {"entry", "life", local_endpoint(0), millicores(1'000), timing});
    agent_node agent(loop, time, store, executor, {"agent", "life", local_endpoint(1), timing});
    const auto run_for = [&](milliseconds limit) {
        loop.after(limit, [&] { loop.stop(); });
        loop.run();
    };
    entry.start();
    agent.start();
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    agent.executor_reported(info);
    run_for(milliseconds(1'500));
    REQUIRE(entry.is_owner());
    REQUIRE(executor.leased_until > time.now());

    std::optional<instant> released_at;
    store.before_next_transaction = [&] { released_at = time.now(); };
    bool is_carried_out = true;
    SUBCASE("its answer is lost") {
        store.loses_answers = true;
    }
    SUBCASE("the store may carry it out late") {
        store.write_delay = milliseconds(3'000);
    }
    SUBCASE("the store refuses it") {
        store.rejects_writes = true;
        is_carried_out = false;
    }
    entry.leave();
    run_for(milliseconds(2'000));
    REQUIRE(released_at.has_value());
    const bool has_later_lease = executor.leased_until > *released_at + timing.lease_duration;
    CHECK(has_later_lease == !is_carried_out);
}
