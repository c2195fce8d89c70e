// Election of the owner: the first owner, takeover and handover, and delayed writes of earlier
// owners.

#include "ownership.hpp"

#include <doctest/doctest.h>

#include "fake_store.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct candidate {
    candidate(eventio::event_loop& loop, fake_store& store, const std::string& name,
              std::int64_t processors = 1'000)
        : owner(loop, time, store, options(name, processors),
                {[this](const ownership::gain& gained) {
                     epochs.push_back(gained.epoch.value());
                     gains.push_back(gained);
                     renew();
                 },
                 [this] { ++losses; }}) {}

    static entry_options options(const std::string& name, std::int64_t processors) {
        return {name, "life-" + name, {"127.0.0.1", 1}, millicores(processors), {}};
    }
    // Writes continuously while it is the owner.
    void renew() {
        if (is_paused || !owner.can_write()) {
            return;
        }
        owner.write({}, [this](bool is_durable) {
            durable_writes += is_durable ? 1 : 0;
            renew();
        });
    }

    system_clock time;
    std::vector<std::uint64_t> epochs;
    std::vector<ownership::gain> gains;
    int losses = 0;
    int durable_writes = 0;
    bool is_paused = false;
    ownership owner;
};

void run_for(eventio::event_loop& loop, milliseconds time) {
    loop.after(time, [&loop] { loop.stop(); });
    loop.run();
}

owner_record record_of(const std::string& name, std::uint64_t epoch) {
    return {name, "life-" + name, "127.0.0.1:1", epoch_number(epoch), false, millicores(1'000)};
}

// Writes the owner row as another entry.
void put_owner(fake_store& store, const owner_record& record) {
    store.put(owner_table, owner_part, "owner", encode(record));
}

// Interval at which an entry reads the row, and time for the answer on a busy machine.
constexpr milliseconds max_observation_delay{600};

}  // namespace

TEST_CASE("one of two entries becomes the owner and remains it while it writes") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate a(loop, store, "a");
    candidate b(loop, store, "b");
    a.owner.start();
    b.owner.start();
    run_for(loop, milliseconds(2'500));
    CHECK(a.epochs.size() + b.epochs.size() == 1);
    CHECK(a.losses + b.losses == 0);
    CHECK(a.durable_writes + b.durable_writes > 100);
}

TEST_CASE(
    "an owner that stops writing is replaced within 3 s, and its later writes have no effect") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate a(loop, store, "a");
    a.owner.start();
    run_for(loop, milliseconds(200));
    REQUIRE(a.owner.is_owner());
    a.is_paused = true;
    candidate b(loop, store, "b");
    b.owner.start();
    loop.after(milliseconds(3'000), [&loop] { loop.stop(); });
    loop.run();
    CHECK(b.epochs == std::vector<std::uint64_t>{2});
    bool was_durable = true;
    a.owner.write({{job_id("job"), "late"}}, [&](bool is_durable) { was_durable = is_durable; });
    run_for(loop, milliseconds(100));
    CHECK(a.losses == 1);
    CHECK(store.value(progress_table, owner_part, "job").empty());
}

TEST_CASE("the rows of one job are written under keys of their own") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate a(loop, store, "a");
    a.owner.start();
    run_for(loop, milliseconds(200));
    a.is_paused = true;
    run_for(loop, milliseconds(50));
    REQUIRE(a.owner.can_write());
    a.owner.write({{job_id("job"), "first"}, {job_id("job"), "twelfth", 12}}, [](bool) {});
    run_for(loop, milliseconds(50));
    CHECK(store.value(progress_table, owner_part, "job") == "first");
    CHECK(store.value(progress_table, owner_part, "job/12") == "twelfth");
}

TEST_CASE("an owner whose answers are lost remains the owner and continues to write") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate a(loop, store, "a");
    a.owner.start();
    run_for(loop, milliseconds(200));
    store.loses_answers = true;
    run_for(loop, milliseconds(900));
    store.loses_answers = false;
    const int before = a.durable_writes;
    run_for(loop, milliseconds(1'500));
    CHECK(a.owner.is_owner());
    CHECK(a.durable_writes > before);
}

TEST_CASE("an owner that leaves is replaced at once and does not become the owner again") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate a(loop, store, "a");
    a.owner.start();
    run_for(loop, milliseconds(200));
    candidate b(loop, store, "b");
    b.owner.start();
    a.owner.leave();
    run_for(loop, milliseconds(900));
    CHECK(a.losses == 1);
    CHECK(b.owner.is_owner());
    CHECK(a.epochs.size() == 1);
}

// Guards against an entry that remains the owner because it was the first to start, although
// another has ten times its processors.
TEST_CASE("an owner releases the ownership to an entry with at least twice its processors") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate small(loop, store, "small", 69);
    small.owner.start();
    run_for(loop, milliseconds(200));
    REQUIRE(small.owner.is_owner());
    candidate large(loop, store, "large", 500);
    large.owner.start();
    small.owner.set_max_peer_processors(millicores(500));
    run_for(loop, milliseconds(3'500));
    CHECK(large.owner.is_owner());
    CHECK_FALSE(small.owner.is_owner());
}

// Guards against runs that end in an outage of the store since their owner has sent a release and
// grants no more leases.
TEST_CASE("a handover does not begin while a write has no answer") {
    eventio::event_loop loop;
    fake_store store(loop);
    candidate small(loop, store, "small", 69);
    small.owner.start();
    run_for(loop, milliseconds(2'200));
    REQUIRE(small.owner.is_owner());
    SUBCASE("the store is silent") {
        store.loses_requests = true;
    }
    SUBCASE("the store refuses writes") {
        store.rejects_writes = true;
    }
    run_for(loop, milliseconds(100));
    small.owner.set_max_peer_processors(millicores(500));
    run_for(loop, milliseconds(1'500));
    CHECK_FALSE(small.owner.may_be_released());
    store.loses_requests = false;
    store.rejects_writes = false;
    run_for(loop, milliseconds(2'500));
    CHECK(small.losses == 1);
}

// The following cases guard against a successor that restarts a task while an earlier owner may
// still grant leases to the instance that runs it.

TEST_CASE("a row counts as unchanged since its version was first seen, also if reads fail later") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    put_owner(store, record_of("a", 1));
    candidate b(loop, store, "b");
    b.owner.start();
    run_for(loop, milliseconds(600));
    const instant written_at = time.now();
    put_owner(store, record_of("a", 1));
    run_for(loop, milliseconds(900));
    SUBCASE("reads are rejected") {
        store.is_down = true;
    }
    SUBCASE("reads are not answered") {
        store.loses_requests = true;
    }
    run_for(loop, milliseconds(1'000));
    store.is_down = false;
    store.loses_requests = false;
    run_for(loop, milliseconds(3'500));
    REQUIRE(b.gains.size() == 1);
    CHECK(b.gains.front().previous->name == "a");
    CHECK(b.gains.front().previous_written_by - written_at >= milliseconds(0));
    CHECK(b.gains.front().previous_written_by - written_at < max_observation_delay);
}

TEST_CASE("an entry that has not read the row before counts from its first read") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    put_owner(store, record_of("a", 1));
    store.is_down = true;
    candidate b(loop, store, "b");
    b.owner.start();
    run_for(loop, milliseconds(1'000));
    const instant restored_at = time.now();
    store.is_down = false;
    run_for(loop, milliseconds(3'000));
    REQUIRE(b.gains.size() == 1);
    CHECK(b.gains.front().previous_written_by - restored_at >= milliseconds(0));
}

// Incarnations differ only between processes of the same name.
TEST_CASE("a record of another name is not an own one, also if its incarnation is the same") {
    eventio::event_loop loop;
    fake_store store(loop);
    auto record = record_of("a", 1);
    record.incarnation = "life-b";
    put_owner(store, record);
    candidate b(loop, store, "b");
    b.owner.start();
    run_for(loop, milliseconds(3'000));
    REQUIRE(b.gains.size() == 1);
    REQUIRE(b.gains.front().previous.has_value());
    CHECK(b.gains.front().previous->name == "a");
}

TEST_CASE("an entry that has lost the ownership counts from its first read since") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    candidate b(loop, store, "b");
    b.owner.start();
    run_for(loop, milliseconds(200));
    REQUIRE(b.owner.is_owner());
    const instant replaced_at = time.now();
    put_owner(store, record_of("a", 2));
    run_for(loop, milliseconds(3'000));
    CHECK(b.losses == 1);
    REQUIRE(b.gains.size() == 2);
    CHECK(b.gains.back().previous->name == "a");
    CHECK(b.gains.back().previous_written_by - replaced_at >= milliseconds(0));
}

TEST_CASE("a row that changes after the last read is not acquired by its earlier version") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    store.latency = milliseconds(100);
    put_owner(store, record_of("a", 1));
    candidate b(loop, store, "b");
    b.owner.start();
    // An unanswered write of the owner is carried out late, while the entry's acquisition is on its
    // way.
    instant written_at;
    store.before_next_transaction = [&] {
        written_at = time.now();
        put_owner(store, record_of("a", 1));
    };
    run_for(loop, milliseconds(2'800));
    REQUIRE(store.transactions == 1);
    CHECK(b.gains.empty());
    run_for(loop, milliseconds(3'000));
    REQUIRE(b.gains.size() == 1);
    CHECK(b.gains.front().previous_written_by - written_at >= milliseconds(0));
}

TEST_CASE("an acquisition whose answer was lost leaves the earlier owner the previous one") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    const instant begun_at = time.now();
    put_owner(store, record_of("a", 1));
    candidate b(loop, store, "b");
    b.owner.start();
    SUBCASE("the next read shows the own record") {
        store.loses_answers = true;
    }
    SUBCASE("the store carries it out late") {
        store.write_delay = milliseconds(1'500);
    }
    run_for(loop, milliseconds(3'700));
    CHECK(b.gains.empty());
    CHECK(decode_owner(store.value(owner_table, owner_part, "owner"))->name == "b");
    store.loses_answers = false;
    store.write_delay.reset();
    run_for(loop, milliseconds(4'000));
    REQUIRE(b.gains.size() == 1);
    REQUIRE(b.gains.front().previous.has_value());
    CHECK(b.gains.front().previous->name == "a");
    CHECK(b.gains.front().previous_written_by - begun_at >= milliseconds(0));
    CHECK(b.gains.front().previous_written_by - begun_at < max_observation_delay);
}

// Guards against a wait that counts from the end of a store outage although the owner's last write
// came before it: entries do not read the row after each write of a busy owner.
TEST_CASE("the time of the owner's last write is known by the store's clock") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    store.tells_time = true;
    candidate a(loop, store, "a");
    a.owner.start();
    run_for(loop, milliseconds(200));
    REQUIRE(a.owner.is_owner());
    candidate b(loop, store, "b");
    b.owner.start();
    run_for(loop, milliseconds(300));
    SUBCASE("the owner writes between the last read of the other entry and the outage") {}
    SUBCASE("its last write is carried out after the outage has begun") {
        a.is_paused = true;
        run_for(loop, milliseconds(100));
        store.write_delay = milliseconds(700);
        a.owner.write({}, [](bool) {});
    }
    const instant begun_at = time.now();
    store.loses_requests = true;
    a.is_paused = true;
    run_for(loop, milliseconds(2'000));
    store.write_delay.reset();
    store.loses_requests = false;
    run_for(loop, milliseconds(3'500));
    REQUIRE(b.gains.size() == 1);
    const auto written_by = b.gains.front().previous_written_by;
    CHECK(written_by - a.owner.renewed_at() >= milliseconds(0));
    CHECK(written_by - begun_at < milliseconds(100));
}

TEST_CASE("the ownership is renewed only by writes that change the row") {
    eventio::event_loop loop;
    fake_store store(loop);
    system_clock time;
    candidate a(loop, store, "a");
    a.is_paused = true;
    a.owner.start();
    run_for(loop, milliseconds(100));
    REQUIRE(a.owner.is_owner());
    const instant acquired_at = a.owner.renewed_at();
    std::vector<bool> results;
    const auto write = [&] {
        a.owner.write({}, [&](bool is_durable) { results.push_back(is_durable); });
    };
    SUBCASE("a write that is done renews it from the time when it was sent") {
        store.latency = milliseconds(200);
        const instant sent_at = time.now();
        write();
        run_for(loop, milliseconds(400));
        CHECK(a.owner.renewed_at() - sent_at >= milliseconds(0));
        CHECK(a.owner.renewed_at() - sent_at < milliseconds(200));
    }
    SUBCASE("a conflict with an own write whose answer was lost renews it from that write") {
        store.loses_answers = true;
        const instant sent_at = time.now();
        write();
        run_for(loop, milliseconds(50));
        const instant changed_by = time.now();
        store.loses_answers = false;
        run_for(loop, milliseconds(900));
        REQUIRE(results == std::vector<bool>{false});
        CHECK(a.owner.renewed_at() - acquired_at == milliseconds(0));
        write();
        run_for(loop, milliseconds(100));
        REQUIRE(results == std::vector<bool>{false, false});
        CHECK(a.owner.is_owner());
        CHECK(a.owner.renewed_at() - sent_at >= milliseconds(0));
        CHECK(a.owner.renewed_at() - changed_by <= milliseconds(0));
    }
    SUBCASE("answers that do not change the row do not renew it") {
        store.rejects_writes = true;
        write();
        run_for(loop, milliseconds(200));
        CHECK(results == std::vector<bool>{false});
        CHECK(a.owner.renewed_at() - acquired_at == milliseconds(0));
    }
    SUBCASE("a write that is carried out late renews it from its first attempt") {
        store.write_delay = milliseconds(1'000);
        const instant sent_at = time.now();
        write();
        run_for(loop, milliseconds(900));
        store.write_delay.reset();
        store.rejects_writes = true;
        write();  // a second attempt with the same condition
        run_for(loop, milliseconds(300));
        store.rejects_writes = false;
        write();
        run_for(loop, milliseconds(100));
        CHECK(results == std::vector<bool>{false, false, false});
        CHECK(a.owner.renewed_at() - sent_at >= milliseconds(0));
        CHECK(a.owner.renewed_at() - sent_at < milliseconds(500));
    }
}

TEST_CASE("unreadable owner records name no owner, and encoded ones are decoded") {
    CHECK_FALSE(decode_owner("").has_value());
    CHECK_FALSE(decode_owner("{}").has_value());
    CHECK_FALSE(decode_owner(R"({"name":1})").has_value());
    owner_record record{"a", "life", "127.0.0.1:1", epoch_number(7), true, millicores(5)};
    const auto read = decode_owner(encode(record));
    REQUIRE(read.has_value());
    CHECK(read->epoch == epoch_number(7));
    CHECK(read->is_released);
    CHECK_FALSE(read->sent_by.has_value());
    CHECK_FALSE(read->earlier_grants_end_by.has_value());
    record.sent_by = store_instant(milliseconds(17));
    record.earlier_grants_end_by = store_instant(milliseconds(18));
    CHECK(decode_owner(encode(record))->sent_by == record.sent_by);
    CHECK(decode_owner(encode(record))->earlier_grants_end_by == record.earlier_grants_end_by);
}
