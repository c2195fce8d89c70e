// Leases that an owner grants around the release of the ownership.

#include <doctest/doctest.h>

#include <algorithm>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

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

// A job with a run on an instance that no entry reaches.
struct unreachable_run {
    unreachable_run() {
        timing.lease_duration = milliseconds(500);
        timing.max_renewal_without_store = milliseconds(5'000);
        store.tells_time = true;
        submitted_job job;
        job.id = job_id("0123456789abcdef");
        job.queue = queue_id("queue");
        job.rules.service = service_id("service");
        job.spec.steps.emplace_back();
        const auto& id = job.id.value();
        store.put(job_table, part_of(job.id), id, encode_job(job));
        store.put(progress_table, owner_part, id,
                  R"({"p":1,"t":[[0,0,0,1,0,"away",""]],"d":[],"l":[[0,0,[0]]]})");
        store.put(agent_table, "", "away", to_string(local_endpoint(2)));
    }
    std::unique_ptr<entry_node> start_entry(const std::string& name, const std::string& incarnation,
                                            int port) {
        auto entry = std::make_unique<entry_node>(
            loop, time, store, nullptr,
            entry_options{name, incarnation, local_endpoint(port), millicores(1'000), timing});
        entry->start();
        return entry;
    }
    void put_owner(bool is_released) {
        owner_record record{"first",         "life",      to_string(local_endpoint(3)),
                            epoch_number(1), is_released, millicores(1'000)};
        record.sent_by = store.now();
        store.put(owner_table, owner_part, "owner", encode(record));
    }
    void run_for(milliseconds limit) {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
    // Runs until the entry is the owner.
    void run_until_owner(const entry_node& entry) {
        const instant begun = time.now();
        while (!entry.is_owner() && time.now() - begun < milliseconds(4'000)) {
            run_for(milliseconds(20));
        }
        REQUIRE(entry.is_owner());
    }
    // Runs until the owner counts the run as ended.
    instant run_until_ended(const entry_node& owner) {
        const instant begun = time.now();
        while (owner.count().waiting_tasks == 0 && time.now() - begun < milliseconds(8'000)) {
            run_for(milliseconds(20));
        }
        CHECK(owner.count().waiting_tasks == 1);
        return time.now();
    }

    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    lease_timing timing;
};

// The expiry of the lease of 500 ms, and time for the takeover and the answers on a busy machine.
constexpr milliseconds max_wait_without_grants{1'500};

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

// Guards against a second run of a task while an owner before the last one, which has lost the
// store, still grants leases to an instance that only it reaches.
TEST_CASE("an owner waits for the grants of the owners before the one that it replaces") {
    unreachable_run f;
    const instant last_written_at = f.time.now();
    f.put_owner(false);
    auto second = f.start_entry("second", "life", 4);
    f.run_until_owner(*second);
    f.run_for(milliseconds(600));
    std::unique_ptr<entry_node> third;
    SUBCASE("the last owner has released the ownership") {
        third = f.start_entry("third", "life", 5);
        second->leave();
    }
    SUBCASE("the last owner was an earlier process of the same instance") {
        second.reset();
        third = f.start_entry("second", "next life", 5);
    }
    f.run_until_owner(*third);
    const milliseconds wait = f.timing.max_renewal_without_store + f.timing.expiry_delay();
    const instant ended_at = f.run_until_ended(*third);
    CHECK(ended_at - last_written_at >= wait);
    // The takeover delays no run beyond that.
    CHECK(ended_at - last_written_at < wait + milliseconds(500));
}

TEST_CASE("an owner waits for no grants if all owners before it are known to have ended theirs") {
    unreachable_run f;
    auto first = f.start_entry("first", "life", 4);
    f.run_until_owner(*first);
    f.run_for(milliseconds(600));
    const instant ends_at = f.time.now();
    std::unique_ptr<entry_node> second;
    SUBCASE("the last owner has released the ownership") {
        second = f.start_entry("second", "life", 5);
        first->leave();
    }
    SUBCASE("the last owner was an earlier process of the same instance") {
        first.reset();
        second = f.start_entry("first", "next life", 5);
    }
    f.run_until_owner(*second);
    CHECK(f.run_until_ended(*second) - ends_at < max_wait_without_grants);
}

// Guards against a second run at once: the run may be on an executor that took the place of the
// intended one shortly before the release, with the longest lease.
TEST_CASE("a run that no executor has listed may outlast the grants of an owner that has left") {
    unreachable_run f;
    f.timing.max_lease = milliseconds(1'500);
    f.timing.max_start_delay = milliseconds(300);
    f.timing.max_call_time = milliseconds(200);
    f.store.put(progress_table, owner_part, "0123456789abcdef",
                R"({"p":1,"t":[[0,0,0,1,0,"away",""]],"d":[]})");
    auto first = f.start_entry("first", "life", 4);
    f.run_until_owner(*first);
    f.run_for(milliseconds(600));
    const instant released_at = f.time.now();
    auto second = f.start_entry("second", "life", 5);
    first->leave();
    f.run_until_owner(*second);
    const instant ended_at = f.run_until_ended(*second);
    CHECK(ended_at - released_at >= f.timing.start_expiry_delay());
    CHECK(ended_at - released_at < f.timing.start_expiry_delay() + milliseconds(1'500));
}

// Earlier versions grant leases until they have the answer to their release.
TEST_CASE("an owner waits for the grants of an earlier version that has released the ownership") {
    unreachable_run f;
    const instant released_at = f.time.now();
    f.put_owner(true);
    auto second = f.start_entry("second", "life", 4);
    f.run_until_owner(*second);
    CHECK(f.run_until_ended(*second) - released_at >=
          f.timing.max_renewal_without_store + f.timing.expiry_delay());
}
