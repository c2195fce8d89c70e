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
                {[this](epoch_number epoch, const std::optional<owner_record>&) {
                     epochs.push_back(epoch.value());
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
    int losses = 0;
    int durable_writes = 0;
    bool is_paused = false;
    ownership owner;
};

void run_for(eventio::event_loop& loop, milliseconds time) {
    loop.after(time, [&loop] { loop.stop(); });
    loop.run();
}

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

TEST_CASE("unreadable owner records name no owner, and encoded ones are decoded") {
    CHECK_FALSE(decode_owner("").has_value());
    CHECK_FALSE(decode_owner("{}").has_value());
    CHECK_FALSE(decode_owner(R"({"name":1})").has_value());
    owner_record record{"a", "life", "127.0.0.1:1", epoch_number(7), true, millicores(5)};
    const auto read = decode_owner(encode(record));
    REQUIRE(read.has_value());
    CHECK(read->epoch == epoch_number(7));
    CHECK(read->is_released);
}
