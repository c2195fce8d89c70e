// Races between the removal of the cancellations of unknown jobs and submissions, repeated
// cancellations, changes of the owner, and answers that are lost.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

constexpr milliseconds lifetime{1'000};
// Time after the lifetime in which a removal is sent, answered and read.
constexpr milliseconds removal_time{700};

const std::string job = "0123456789abcdef";
const std::string cancellation = job + cancel_suffix;

submitted_job make_job() {
    submitted_job submitted;
    submitted.id = job_id(job);
    submitted.queue = queue_id("queue");
    submitted.rules.service = service_id("service");
    submitted.spec.steps.emplace_back();
    return submitted;
}

struct fixture {
    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    entry_node first{loop, time, store, nullptr, options("first", 0)};
    entry_node second{loop, time, store, nullptr, options("second", 1)};

    static entry_options options(const std::string& name, int offset) {
        entry_options result{name, "life", local_endpoint(offset), millicores(1'000), {}};
        result.early_cancellation_lifetime = lifetime;
        return result;
    }
    fixture() {
        first.start();
        run_for(milliseconds(300));
        REQUIRE(first.is_owner());
    }
    void run_for(milliseconds limit) {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
    // Replaces the owner.
    void replace_owner() {
        second.start();
        first.leave();
        for (int i = 0; i < 50 && !second.is_owner(); ++i) {
            run_for(milliseconds(100));
        }
        REQUIRE(second.is_owner());
        run_for(milliseconds(100));
    }
    submit_outcome submit(entry_node& entry) {
        submit_outcome outcome{};
        loop.post([&] {
            entry.submit(make_job(), deadline::after(time.now(), milliseconds(1'000)),
                         [&](submit_outcome result) {
                             outcome = result;
                             loop.stop();
                         });
        });
        loop.run();
        run_for(milliseconds(100));
        return outcome;
    }
    entry_node::lookup cancel(entry_node& entry, const std::string& id = job) {
        entry_node::lookup outcome{};
        loop.post([&] {
            entry.cancel(job_id(id), deadline::after(time.now(), milliseconds(1'000)),
                         [&](entry_node::lookup found) {
                             outcome = found;
                             loop.stop();
                         });
        });
        loop.run();
        return outcome;
    }
    std::pair<entry_node::lookup, job_phase> status(entry_node& entry) {
        std::optional<std::pair<entry_node::lookup, job_phase>> outcome;
        loop.post([&] {
            entry.status(job_id(job), deadline::after(time.now(), milliseconds(5'000)),
                         [&](entry_node::lookup found, job_phase phase) {
                             outcome = {found, phase};
                             loop.stop();
                         });
        });
        // Not by the deadline, of which a stall of the process takes away.
        REQUIRE(eventio::testing::run_until(loop, milliseconds(1'000),
                                            [&] { return outcome.has_value(); }));
        return *outcome;
    }
    void store_job() { store.put(job_table, part_of(job_id(job)), job, encode_job(make_job())); }
    [[nodiscard]] bool has_cancellation() const {
        return store.rows.contains({job_table, part_of(job_id(job)), cancellation});
    }
    [[nodiscard]] std::size_t job_rows() const {
        return static_cast<std::size_t>(
            std::count_if(store.rows.begin(), store.rows.end(),
                          [](const auto& row) { return std::get<0>(row.first) == job_table; }));
    }
    void check_cancelled(entry_node& owner) {
        CHECK(status(owner) == std::pair(entry_node::lookup::found, job_phase::cancelled));
        CHECK(owner.count().jobs == 0);
        CHECK(has_cancellation());
    }
    // The job is accepted as one that was never cancelled.
    void check_accepted(entry_node& owner) {
        CHECK(submit(owner) == submit_outcome::accepted);
        CHECK(status(owner) == std::pair(entry_node::lookup::found, job_phase::pending));
        CHECK(owner.count().jobs == 1);
    }
};

}  // namespace

// Guards against a table and an owner that callers fill by cancelling jobs that never existed.
TEST_CASE("cancellations of jobs that are never stored leave no row and no key") {
    fixture f;
    constexpr std::size_t count = 150;
    for (std::size_t i = 0; i < count; ++i) {
        CHECK(f.cancel(f.first, "never" + std::to_string(i)) == entry_node::lookup::missing);
    }
    f.run_for(milliseconds(50));
    CHECK(f.first.count().early_cancellations > 0);
    f.run_for(lifetime + milliseconds(2'000));
    CHECK(f.job_rows() == 0);
    CHECK(f.first.count().early_cancellations == 0);
    CHECK(f.store.max_removals <= early_cancellations::max_removals_per_write);
}

TEST_CASE("the cancellation of a job that is stored later stays") {
    fixture f;
    f.cancel(f.first);
    f.run_for(lifetime / 2);
    CHECK(f.submit(f.first) == submit_outcome::accepted);
    CHECK(f.first.count().early_cancellations == 0);
    f.run_for(lifetime + removal_time);
    f.check_cancelled(f.first);
    CHECK(f.store.removal_writes == 0);
}

// Guards against a cancelled job that runs since it was stored just before the removal.
TEST_CASE("a job that is stored between the owner's reading and the removal stays cancelled") {
    fixture f;
    f.cancel(f.first);
    f.store.before_next_removal = [&] { f.store_job(); };
    f.run_for(lifetime + removal_time);
    CHECK(f.store.removal_writes > 0);
    f.check_cancelled(f.first);
    f.replace_owner();
    f.check_cancelled(f.second);
}

// Guards against a confirmed cancellation that ends with the lifetime of an earlier one.
TEST_CASE("a repeated cancellation holds for a lifetime of its own") {
    fixture f;
    CHECK(f.cancel(f.first) == entry_node::lookup::missing);
    SUBCASE("it is repeated before the removal is sent") {
        f.run_for(lifetime * 3 / 4);
        CHECK(f.cancel(f.second) == entry_node::lookup::missing);
    }
    SUBCASE("it is repeated between the owner's reading and the removal") {
        bool was_called = false;
        f.store.before_next_removal = [&] {
            was_called = true;
            f.store.put(job_table, part_of(job_id(job)), cancellation, "{}");
        };
        for (int i = 0; i < 200 && !was_called; ++i) {
            f.run_for(milliseconds(10));
        }
        REQUIRE(was_called);
    }
    SUBCASE("it is repeated after the removal") {
        f.run_for(lifetime + removal_time);
        REQUIRE_FALSE(f.has_cancellation());
        CHECK(f.cancel(f.second) == entry_node::lookup::missing);
    }
    f.run_for(lifetime * 3 / 4);
    CHECK(f.submit(f.first) == submit_outcome::accepted);
    f.check_cancelled(f.first);
}

TEST_CASE("a repeated cancellation is durable only once it is written again") {
    fixture f;
    CHECK(f.cancel(f.first) == entry_node::lookup::missing);
    SUBCASE("writes are rejected") {
        f.store.rejects_writes = true;
        CHECK(f.cancel(f.first) == entry_node::lookup::unavailable);
    }
    SUBCASE("writes are not answered and done later") {
        f.store.write_delay = milliseconds(1'500);
        CHECK(f.cancel(f.first) == entry_node::lookup::unknown);
    }
    SUBCASE("the answer is lost and a later attempt finds the new row") {
        f.store.loses_answers = true;
        CHECK(f.cancel(f.first) == entry_node::lookup::missing);
    }
}

TEST_CASE("a job that is submitted after the removal is accepted and not cancelled") {
    fixture f;
    f.cancel(f.first);
    f.run_for(lifetime + removal_time);
    CHECK(f.status(f.first).first == entry_node::lookup::missing);
    f.check_accepted(f.first);
    f.replace_owner();
    CHECK(f.status(f.second) == std::pair(entry_node::lookup::found, job_phase::pending));
    CHECK(f.second.count().jobs == 1);
}

// Guards against an unknown outcome being taken as "not done": the store removes the row later.
TEST_CASE("a removal whose answer is lost and that is carried out late harms no job") {
    fixture f;
    f.store.removal_delay = milliseconds(2'500);
    f.cancel(f.first);
    f.run_for(lifetime + removal_time);
    REQUIRE(f.store.removal_writes == 1);
    REQUIRE(f.has_cancellation());
    SUBCASE("nothing happens in between") {
        f.run_for(milliseconds(2'500));
        CHECK_FALSE(f.has_cancellation());
        CHECK(f.first.count().early_cancellations == 0);
        f.check_accepted(f.first);
    }
    SUBCASE("the job is stored in between") {
        CHECK(f.submit(f.first) == submit_outcome::accepted);
        f.run_for(milliseconds(4'000));
        f.check_cancelled(f.first);
    }
    SUBCASE("the cancellation is repeated in between, and the job is stored after the removal") {
        f.run_for(milliseconds(1'500));
        CHECK(f.cancel(f.first) == entry_node::lookup::missing);
        f.run_for(milliseconds(700));
        CHECK(f.submit(f.first) == submit_outcome::accepted);
        f.check_cancelled(f.first);
    }
}

// Guards against a removal by an earlier owner of which its successor knows nothing.
TEST_CASE("a removal that is carried out under the next owner harms no job") {
    fixture f;
    f.store.removal_delay = milliseconds(3'000);
    f.cancel(f.first);
    f.run_for(lifetime + milliseconds(150));
    REQUIRE(f.store.removal_writes == 1);
    f.replace_owner();
    REQUIRE(f.has_cancellation());
    SUBCASE("the row is unchanged") {
        CHECK(f.second.count().early_cancellations == 1);
        f.run_for(milliseconds(3'000));
        CHECK_FALSE(f.has_cancellation());
        CHECK(f.second.count().early_cancellations == 0);
        f.check_accepted(f.second);
    }
    SUBCASE("the job is stored") {
        CHECK(f.submit(f.second) == submit_outcome::accepted);
        f.run_for(milliseconds(3'000));
        f.check_cancelled(f.second);
    }
}

TEST_CASE("the next owner removes the rows that an earlier one has left") {
    fixture f;
    f.cancel(f.first);
    f.replace_owner();
    CHECK(f.second.count().early_cancellations == 1);
    f.run_for(lifetime + removal_time);
    CHECK(f.job_rows() == 0);
    CHECK(f.second.count().early_cancellations == 0);
}

// Guards against an owner that cancels a job although the cancellation is no longer stored, which
// its successor would run.
TEST_CASE("an owner forgets a cancellation whose removal it learns of from the table") {
    fixture f;
    f.cancel(f.first);
    f.run_for(milliseconds(50));
    REQUIRE(f.first.count().early_cancellations == 1);
    const auto part = part_of(job_id(job));
    SUBCASE("the watch reports it") {
        f.store.remove(job_table, part, cancellation);
    }
    SUBCASE("the watch reports it together with the job") {
        f.store.remove(job_table, part, cancellation);
        f.store_job();
    }
    SUBCASE("the table is read again") {
        f.store.remove(job_table, part, cancellation);
        f.store.removed_rows.clear();
        f.store_job();
        f.store.lost_history_table = job_table;
    }
    f.run_for(milliseconds(400));
    CHECK(f.first.count().early_cancellations == 0);
    f.check_accepted(f.first);
}

// Guards against an owner that adds to the load of a store that does not answer.
TEST_CASE("no removal is sent while the store is away") {
    fixture f;
    f.cancel(f.first);
    SUBCASE("it rejects calls") {
        f.store.is_down = true;
    }
    SUBCASE("it does not answer") {
        f.store.loses_requests = true;
        f.store.loses_watches = true;
    }
    f.run_for(lifetime + milliseconds(1'500));
    const auto removal_writes = f.store.removal_writes;
    f.run_for(milliseconds(2'000));
    CHECK(f.store.removal_writes == removal_writes);
    CHECK(removal_writes <= 1);
    f.store.is_down = false;
    f.store.loses_requests = false;
    f.store.loses_watches = false;
    f.run_for(milliseconds(5'000));
    CHECK(f.job_rows() == 0);
}
