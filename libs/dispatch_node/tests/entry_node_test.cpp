// Results that callers of an entry get when the store answers, rejects calls, or loses answers.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

submitted_job make_job(const std::string& id) {
    submitted_job job;
    job.id = job_id(id);
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    job.spec.steps.emplace_back();
    return job;
}

struct fixture {
    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    entry_node entry{
        loop, time, store, nullptr, {"entry", "life", local_endpoint(0), millicores(1'000), {}}};

    explicit fixture(bool starts = true) {
        if (starts) {
            entry.set_queues({{queue_id("queue"), queue_rules{}}});
            entry.start();
            run_for(milliseconds(300));
        }
    }
    void run_for(milliseconds limit) { eventio::testing::run_for(loop, limit); }
    submit_outcome submit(const std::string& id, milliseconds limit = milliseconds(1'000)) {
        std::optional<submit_outcome> outcome;
        loop.post([&] {
            entry.submit(make_job(id), deadline::after(time.now(), limit),
                         [&](submit_outcome result) {
                             outcome = result;
                             loop.stop();
                         });
        });
        loop.run();
        return *outcome;
    }
    std::pair<entry_node::lookup, job_phase> status(const std::string& id) {
        std::optional<std::pair<entry_node::lookup, job_phase>> outcome;
        loop.post([&] {
            entry.status(job_id(id), deadline::after(time.now(), milliseconds(5'000)),
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
    entry_node::lookup cancel(const std::string& id) {
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
};

}  // namespace

TEST_CASE("an accepted job is stored and visible at once, and a repeated submission adds no job") {
    fixture f;
    CHECK(f.submit("0123456789abcdef") == submit_outcome::accepted);
    CHECK(f.submit("0123456789abcdef") == submit_outcome::accepted);
    CHECK(f.store.rows.count(
              {job_table, part_of(job_id("0123456789abcdef")), "0123456789abcdef"}) == 1);
    CHECK(f.status("0123456789abcdef") == std::pair(entry_node::lookup::found, job_phase::pending));
}

TEST_CASE("if the store rejects calls, a submission is refused promptly and not stored") {
    fixture f;
    f.store.is_down = true;
    const instant begun = f.time.now();
    CHECK(f.submit("0123456789abcdef") == submit_outcome::refused);
    CHECK(f.time.now() - begun < milliseconds(500));
    f.store.is_down = false;
    CHECK(f.status("0123456789abcdef").first == entry_node::lookup::missing);
}

// Guards against submissions that wait for their deadline at an entry that has lost its connections
// to the store, while other entries could store them.
TEST_CASE("submissions are refused at once while the store does not answer") {
    fixture f;
    f.store.loses_requests = true;
    CHECK(f.submit("0123456789abcdef", milliseconds(3'000)) == submit_outcome::unknown);
    f.run_for(milliseconds(700));
    const instant begun = f.time.now();
    CHECK(f.submit("fedcba9876543210", milliseconds(3'000)) == submit_outcome::refused);
    CHECK(f.time.now() - begun < milliseconds(50));
    f.store.loses_requests = false;
    f.run_for(milliseconds(1'500));
    CHECK(f.submit("fedcba9876543210") == submit_outcome::accepted);
}

// Guards against repeated writes of one submission when the store is a hundred times slower than
// usual, as in incident inc-2835.
TEST_CASE("a submission to a slow store takes one store call") {
    fixture f;
    f.store.latency = milliseconds(900);
    f.run_for(milliseconds(2'500));
    const int before = f.store.job_writes;
    CHECK(f.submit("0123456789abcdef", milliseconds(3'000)) == submit_outcome::accepted);
    CHECK(f.store.job_writes == before + 1);
}

// Guards against reporting a job as refused although a delayed write stores it.
TEST_CASE("a submission without an answer is unknown, also if a later attempt is rejected") {
    fixture f;
    f.store.loses_requests = true;
    f.loop.after(milliseconds(800), [&] {
        f.store.loses_requests = false;
        f.store.is_down = true;
    });
    CHECK(f.submit("0123456789abcdef", milliseconds(1'500)) == submit_outcome::unknown);
}

TEST_CASE("a submission whose answer was lost is accepted by the next attempt") {
    fixture f;
    f.store.loses_answers = true;
    f.loop.after(milliseconds(600), [&] { f.store.loses_answers = false; });
    CHECK(f.submit("0123456789abcdef", milliseconds(2'000)) == submit_outcome::accepted);
}

TEST_CASE("an entry that is not the owner and cannot reach it reads the status from the store") {
    fixture f(false);
    CHECK(f.status("0123456789abcdef").first == entry_node::lookup::missing);
    f.store.put(job_table, part_of(job_id("0123456789abcdef")), "0123456789abcdef", "{}");
    CHECK(f.status("0123456789abcdef") == std::pair(entry_node::lookup::found, job_phase::pending));
    f.store.put(progress_table, owner_part, "0123456789abcdef", R"({"p":2})");
    CHECK(f.status("0123456789abcdef").second == job_phase::completed);
    f.store.is_down = true;
    CHECK(f.status("0123456789abcdef").first == entry_node::lookup::unavailable);
}

// Guards against a phase that is read from another row than the first: a later one keeps the phase
// that the job had when it was written.
TEST_CASE("the phase of a job in several rows is that of its first row") {
    fixture f(false);
    const std::string job = "0123456789abcdef";
    f.store.put(job_table, part_of(job_id(job)), job, "{}");
    f.store.put(progress_table, owner_part, progress_key(job_id(job), 1), R"({"p":1})");
    CHECK(f.status(job) == std::pair(entry_node::lookup::found, job_phase::pending));
    f.store.put(progress_table, owner_part, progress_key(job_id(job), 0), R"({"p":2})");
    CHECK(f.status(job) == std::pair(entry_node::lookup::found, job_phase::completed));
}

TEST_CASE("an owner reads all rows of a job, also those that begin with the key of another") {
    fixture f(false);
    auto submitted = make_job("job");
    submitted.spec.steps[0].task_count = max_tasks_per_row + 1;
    const std::string later =
        R"({"p":1,"t":[[0,0,)" + std::to_string(max_tasks_per_row) + R"(,3,1,"",""]],"d":[]})";
    f.store.put(job_table, part_of(job_id("job")), "job", encode_job(submitted));
    f.store.put(job_table, part_of(job_id("job2")), "job2", encode_job(make_job("job2")));
    f.store.put(progress_table, owner_part, "job/1", later);
    f.store.put(progress_table, owner_part, "job2", R"({"p":2})");
    f.entry.start();
    f.run_for(milliseconds(400));
    REQUIRE(f.entry.is_owner());
    CHECK(f.status("job").second == job_phase::running);
    CHECK(f.status("job2").second == job_phase::completed);
    // The first row was missing: the owner writes it, and leaves the other as it was.
    CHECK(decode_job_phase(f.store.value(progress_table, owner_part, "job")) == job_phase::running);
    CHECK(f.store.value(progress_table, owner_part, "job/1") == later);
}

TEST_CASE("a cancellation is durable and repeatable, and unknown jobs are reported as missing") {
    fixture f;
    CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
    f.submit("0123456789abcdef");
    CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::found);
    CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::found);
    f.run_for(milliseconds(100));
    CHECK(f.status("0123456789abcdef").second == job_phase::cancelled);
}

// Guards against a job that runs although its cancellation was confirmed: the store may carry out a
// submission seconds after the caller has given up waiting and has cancelled the job.
TEST_CASE("a job that is stored after its cancellation was confirmed counts as cancelled") {
    SUBCASE("the owner is asked") {
        fixture f;
        f.store.write_delay = milliseconds(1'500);
        REQUIRE(f.submit("0123456789abcdef") == submit_outcome::unknown);
        f.store.write_delay.reset();
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
        CHECK(f.status("0123456789abcdef").first == entry_node::lookup::missing);
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
        f.run_for(milliseconds(2'500));
        CHECK(f.status("0123456789abcdef") ==
              std::pair(entry_node::lookup::found, job_phase::cancelled));
        CHECK(f.entry.count().jobs == 0);
    }
    SUBCASE("the store is asked, and the job is found in it by the next owner") {
        fixture f(false);
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
        CHECK(f.status("0123456789abcdef").first == entry_node::lookup::missing);
        f.store.put(job_table, part_of(job_id("0123456789abcdef")), "0123456789abcdef",
                    encode_job(make_job("0123456789abcdef")));
        CHECK(f.status("0123456789abcdef") ==
              std::pair(entry_node::lookup::found, job_phase::cancelled));
        f.entry.start();
        f.run_for(milliseconds(500));
        REQUIRE(f.entry.is_owner());
        CHECK(f.status("0123456789abcdef").second == job_phase::cancelled);
        CHECK(f.entry.count().jobs == 0);
    }
    SUBCASE("it is stored after a change of the owner") {
        fixture f(false);
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
        f.entry.start();
        f.run_for(milliseconds(500));
        CHECK(f.submit("0123456789abcdef") == submit_outcome::accepted);
        f.run_for(milliseconds(100));
        CHECK(f.status("0123456789abcdef") ==
              std::pair(entry_node::lookup::found, job_phase::cancelled));
        CHECK(f.entry.count().jobs == 0);
    }
}

// Guards against a confirmation that nothing durable backs.
TEST_CASE("an unknown job is reported as missing only once its cancellation is durable") {
    fixture f(false);
    SUBCASE("writes are rejected") {
        f.store.rejects_writes = true;
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::unavailable);
    }
    SUBCASE("writes are not answered and done later") {
        f.store.write_delay = milliseconds(1'500);
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::unknown);
    }
    SUBCASE("the answer is lost and a later attempt finds the cancellation") {
        f.store.loses_answers = true;
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::missing);
    }
}

// Guards against callers being told that their cancellation was not accepted although it took
// effect.
TEST_CASE("a cancellation whose answer is lost is repeated, and otherwise reported as unknown") {
    fixture f;
    f.submit("0123456789abcdef");
    f.store.loses_answers = true;
    SUBCASE("a later attempt is answered") {
        f.loop.after(milliseconds(100), [&] { f.store.loses_answers = false; });
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::found);
    }
    SUBCASE("no attempt is answered, and later ones are rejected") {
        f.loop.after(milliseconds(100), [&] { f.store.is_down = true; });
        CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::unknown);
    }
    f.store.loses_answers = false;
    f.store.is_down = false;
    f.run_for(milliseconds(1'500));
    CHECK(f.status("0123456789abcdef").second == job_phase::cancelled);
}

TEST_CASE("a cancellation that the store rejects is reported as unavailable and not stored") {
    fixture f;
    f.submit("0123456789abcdef");
    f.store.is_down = true;
    const instant begun = f.time.now();
    CHECK(f.cancel("0123456789abcdef") == entry_node::lookup::unavailable);
    CHECK(f.time.now() - begun < milliseconds(500));
    f.store.is_down = false;
    f.run_for(milliseconds(1'500));
    CHECK(f.status("0123456789abcdef").second == job_phase::pending);
}

// Guards against rows of another job being taken for the job's own or for its cancellation.
TEST_CASE("a job is not confused with a job whose identifier begins with its own") {
    fixture f(false);
    const std::string part = part_of(job_id("job"));
    f.store.put(job_table, part, "job-2", "{}");
    f.store.put(progress_table, owner_part, "job-2", R"({"p":2})");
    CHECK(f.status("job").first == entry_node::lookup::missing);
    f.store.put(job_table, part_of(job_id("unknown")), "unknown-2", "{}");
    CHECK(f.cancel("unknown") == entry_node::lookup::missing);
    f.store.put(job_table, part, "job", "{}");
    CHECK(f.status("job") == std::pair(entry_node::lookup::found, job_phase::pending));
    CHECK(f.cancel("job") == entry_node::lookup::found);
    CHECK(f.status("job") == std::pair(entry_node::lookup::found, job_phase::cancelled));
}

// Guards against tasks that wait longer than the earlier owner can have renewed leases, and against
// a second run of a task while it still may.
TEST_CASE("a run that cannot be reached has ended by the last change of the earlier owner's row") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    lease_timing timing;
    timing.lease_duration = milliseconds(500);
    timing.max_renewal_without_store = milliseconds(3'000);
    const milliseconds wait = timing.max_renewal_without_store + timing.expiry_delay();
    entry_node entry(loop, time, store, nullptr,
                     {"entry", "life", local_endpoint(0), millicores(1'000), timing});
    const auto run_for = [&](milliseconds limit) {
        loop.after(limit, [&] { loop.stop(); });
        loop.run();
    };
    const auto renew_as_other = [&] {
        store.put(owner_table, owner_part, "owner",
                  encode({"other", "life", to_string(local_endpoint(1)), epoch_number(1), false,
                          millicores(1'000)}));
    };
    const std::string id = "0123456789abcdef";
    store.put(job_table, part_of(job_id(id)), id, encode_job(make_job(id)));
    store.put(progress_table, owner_part, id,
              R"({"p":1,"t":[[0,0,0,1,0,"away",""]],"d":[],"l":[[0,0,[0]]]})");
    store.put(agent_table, "", "away", to_string(local_endpoint(2)));
    renew_as_other();
    entry.start();
    run_for(milliseconds(600));
    const instant renewed_at = time.now();
    renew_as_other();
    std::optional<instant> ended_at;
    loop.every(milliseconds(20), [&] {
        if (!ended_at && entry.count().waiting_tasks == 1) {
            ended_at = time.now();
            loop.stop();
        }
    });
    run_for(wait + milliseconds(2'500));
    REQUIRE(entry.is_owner());
    REQUIRE(ended_at.has_value());
    CHECK(*ended_at - renewed_at >= wait);
    // The row is read every 400 ms, and the takeover takes at least 1.6 s.
    CHECK(*ended_at - renewed_at < wait + milliseconds(1'200));
}

TEST_CASE("the owner reads a table again after the store has lost its history") {
    fixture f;
    f.store.has_lost_history = true;
    f.run_for(milliseconds(1'300));
    CHECK(f.submit("0123456789abcdef") == submit_outcome::accepted);
    f.run_for(milliseconds(100));
    CHECK(f.status("0123456789abcdef").first == entry_node::lookup::found);
}

// Guards against owners that hold hours of ended jobs in memory, at once or while they read.
TEST_CASE("an owner keeps the phase of jobs that have ended, whichever page tells it of them") {
    constexpr int job_count = 200;
    fixture f(false);
    f.store.max_rows_per_read = 16;
    for (int i = 0; i < job_count; ++i) {
        const auto id = "job" + std::to_string(i);
        f.store.put(job_table, part_of(job_id(id)), id, encode_job(make_job(id)));
        f.store.put(progress_table, owner_part, id, R"({"p":2})");
    }
    f.store.put(job_table, part_of(job_id("open")), "open", encode_job(make_job("open")));
    f.store.put(job_table, part_of(job_id("open")), "open/cancel", "{}");
    f.entry.start();
    REQUIRE(eventio::testing::run_until(f.loop, milliseconds(4'000),
                                        [&] { return f.entry.kept().ended_jobs >= job_count; }));
    f.run_for(milliseconds(200));
    CHECK(f.entry.kept().jobs == 0);
    CHECK(f.entry.kept().ended_jobs == job_count + 1);
    CHECK(f.status("job199").second == job_phase::completed);
    CHECK(f.status("open").second == job_phase::cancelled);
    // The whole table is read again; what was stored meanwhile counts, and nothing else.
    f.store.has_lost_history = true;
    f.store.put(job_table, part_of(job_id("later")), "later", encode_job(make_job("later")));
    f.store.put(job_table, part_of(job_id("later")), "later/cancel", "{}");
    f.store.put(job_table, part_of(job_id("last")), "last", encode_job(make_job("last")));
    f.run_for(milliseconds(1'300));
    f.store.has_lost_history = false;
    f.run_for(milliseconds(1'300));
    CHECK(f.entry.kept().jobs == 1);
    CHECK(f.entry.kept().ended_jobs == job_count + 2);
    CHECK(f.status("later").second == job_phase::cancelled);
    CHECK(f.status("last").second == job_phase::pending);
    CHECK(f.status("job0").second == job_phase::completed);
}

// Guards against jobs that are forgotten once the owner does not keep them, and against owners that
// keep as many as the table holds.
TEST_CASE("an owner keeps a bounded part of the jobs that have not begun, and the others in turn") {
    constexpr int job_count = 2'000;
    constexpr int last_count = 100;
    fixture f(false);
    f.entry.set_queues({{queue_id("queue"), queue_rules{}}});
    auto large = make_job("job");
    large.spec.payload.assign(4'000, 'x');
    large.spec.steps.resize(max_steps);
    for (int i = 0; i < job_count; ++i) {
        large.id = job_id("job" + std::to_string(i));
        f.store.put(job_table, part_of(large.id), large.id.value(), encode_job(large));
    }
    f.entry.start();
    REQUIRE(eventio::testing::run_until(f.loop, milliseconds(8'000), [&] {
        return f.entry.kept().jobs + f.entry.kept().deferred_jobs == job_count;
    }));
    CHECK(f.entry.kept().deferred_jobs > last_count);
    CHECK(f.entry.kept().bytes <= 10'000'000);
    for (int i = last_count; i < job_count; ++i) {
        const job_id id("job" + std::to_string(i));
        f.store.put(job_table, part_of(id), id.value() + "/cancel", "{}");
    }
    eventio::testing::run_until(f.loop, milliseconds(20'000), [&] {
        return f.entry.kept().jobs == last_count && f.entry.kept().deferred_jobs == 0;
    });
    CHECK(f.entry.kept().jobs == last_count);
    CHECK(f.entry.kept().deferred_jobs == 0);
    CHECK(f.entry.count().waiting_tasks == last_count * max_steps);
    CHECK(f.status("job0").second == job_phase::pending);
    CHECK(f.status("job1999").second == job_phase::cancelled);
}
