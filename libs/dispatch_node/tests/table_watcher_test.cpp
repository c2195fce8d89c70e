// How soon a watched table is up to date after faults of the store.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

struct fixture {
    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    std::vector<std::string> keys;
    instant changed_at;
    table_watcher watcher{loop, store, table_watcher::options{"table", {"part"}},
                          [this](const std::vector<stored_row>& rows, bool) {
                              for (const auto& row : rows) {
                                  keys.push_back(row.address.key);
                                  changed_at = time.now();
                              }
                          }};

    void run_for(milliseconds limit) {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
};

}  // namespace

// Guards against starts of cancelled jobs: calls that a silent store had lost were awaited for up
// to 6 s, since their timeout grows with each failure, and the owner saw no cancellation meanwhile.
TEST_CASE("changes are seen within 2 s after a silent store answers again") {
    fixture f;
    f.run_for(milliseconds(50));
    f.store.loses_watches = true;
    // The third call is sent just before the end of the silence.
    f.run_for(milliseconds(5'200));
    f.store.loses_watches = false;
    f.store.put("table", "part", "key", "value");
    const instant returned_at = f.time.now();
    f.run_for(milliseconds(3'800));
    REQUIRE(f.keys == std::vector<std::string>{"key"});
    CHECK(f.changed_at - returned_at < milliseconds(2'000));
}

// Guards against a watch that runs several times at once after a fault, and loads the store.
TEST_CASE("one call at a time watches a table once the store answers again") {
    fixture f;
    f.run_for(milliseconds(50));
    f.store.loses_watches = true;
    f.run_for(milliseconds(4'500));
    f.store.loses_watches = false;
    f.run_for(milliseconds(3'500));
    const int before = f.store.watches;
    f.run_for(milliseconds(2'100));
    CHECK(f.store.watches - before <= 3);
}

// Guards against a watch of a slow store that never waits long enough for an answer.
TEST_CASE("a table is watched although the store answers each call 2 s late") {
    fixture f;
    f.store.watch_delay = milliseconds(2'000);
    f.run_for(milliseconds(50));
    f.store.put("table", "part", "key", "value");
    f.run_for(milliseconds(9'000));
    CHECK_FALSE(f.keys.empty());
}

// Guards against tests of late answers in which the store gives no answer at all: nothing changes,
// and the list of the watcher grows old for good.
TEST_CASE("a watch without changes is answered late, and watched again") {
    fixture f;
    f.store.watch_delay = milliseconds(300);
    const instant begun = f.time.now();
    f.run_for(milliseconds(6'000));
    CHECK(f.store.watches >= 3);
    CHECK(f.watcher.confirmed_at() - begun > milliseconds(1'000));
}

// Guards against an owner that acts on its old list after a silence that has cost the history too.
TEST_CASE("a read that the store loses after a silence is repeated within 2 s") {
    fixture f;
    f.run_for(milliseconds(50));
    f.store.loses_watches = true;
    f.run_for(milliseconds(8'000));
    f.store.loses_watches = false;
    f.store.has_lost_history = true;
    f.store.loses_requests = true;
    f.run_for(milliseconds(2'000));  // the watch is answered with 410, its read is lost
    f.store.loses_requests = false;
    f.store.has_lost_history = false;
    f.store.put("table", "part", "key", "value");
    const instant returned_at = f.time.now();
    f.run_for(milliseconds(9'000));
    REQUIRE(f.keys == std::vector<std::string>{"key"});
    CHECK(f.changed_at - returned_at < milliseconds(2'000));
}

// Guards against a process that acts on its old rows because the read that follows an expired
// history was lost in a silence: its timeout grew to 6.5 s with each failure.
TEST_CASE("a table whose read a silent store has lost is up to date within 2 s of the return") {
    fixture f;
    f.run_for(milliseconds(50));
    f.store.has_lost_history = true;
    f.store.loses_requests = true;
    // The watch is answered with 410; the third read is sent just before the end of the silence.
    f.run_for(milliseconds(5'200));
    f.store.loses_requests = false;
    f.store.has_lost_history = false;
    f.store.put("table", "part", "key", "value");
    const instant returned_at = f.time.now();
    f.run_for(milliseconds(5'000));
    REQUIRE(f.keys == std::vector<std::string>{"key"});
    CHECK(f.changed_at - returned_at < milliseconds(2'000));
}

// Guards against rows that are delivered twice, and against reads that run several times at once.
TEST_CASE("a read that was repeated delivers the rows once") {
    fixture f;
    f.store.put("table", "part", "first", "value");
    f.store.put("table", "part", "second", "value");
    f.store.latency = milliseconds(3'000);
    f.store.has_lost_history = true;
    f.run_for(milliseconds(9'500));
    CHECK(f.keys == std::vector<std::string>{"first", "second"});
}

// Guards against a reader that holds a whole table in memory before it looks at the first row.
TEST_CASE("a read gives its rows page by page, and begins again after a failure") {
    eventio::event_loop loop;
    fake_store store(loop);
    store.max_rows_per_read = 2;
    for (const auto* key : {"a", "b", "c", "d", "e"}) {
        store.put("table", "part", key, "value");
    }
    std::string pages;
    std::size_t rows_at_end = SIZE_MAX;
    table_watcher::options options{"table", {"part"}};
    options.on_page = [&](const std::vector<stored_row>& rows, bool is_first) {
        pages += is_first ? "|" : "";
        for (const auto& row : rows) {
            pages += row.address.key;
        }
        pages += " ";
        store.is_down = pages == "|ab ";
    };
    const table_watcher watcher(loop, store, options,
                                [&](const std::vector<stored_row>& rows, bool is_full) {
                                    rows_at_end = rows.size();
                                    CHECK(is_full);
                                });
    eventio::testing::run_until(loop, milliseconds(1'000), [&] { return store.is_down; });
    store.is_down = false;
    eventio::testing::run_until(loop, milliseconds(9'000), [&] { return rows_at_end == 0; });
    CHECK(rows_at_end == 0);
    CHECK(pages == "|ab |ab cd e ");
}
