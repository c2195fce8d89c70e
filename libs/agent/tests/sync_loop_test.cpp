#include "sync_loop.hpp"

#include <doctest/doctest.h>

#include <atomic>

using namespace tanagerpaddle;

namespace {

http_server_options any_port() {
    http_server_options chosen;
    chosen.listen = {"127.0.0.1", 0};
    return chosen;
}

// Answers entry.sync with the reply that the test chose.
struct fake_entry {
    explicit fake_entry(const std::string& key = "") : server(any_port()) {
        keys.set_keys(key, "");
        calls.add("entry.sync", [this](const std::string& params) {
            const std::lock_guard lock(mutex);
            last = decode<sync_request>(params);
            ++syncs;
            return encode(reply);
        });
        calls.mount(server, keys);
        server.start();
    }
    endpoint address() const { return {"127.0.0.1", server.port()}; }

    std::mutex mutex;
    sync_reply reply;
    sync_request last;
    std::atomic<int> syncs{0};
    key_ring keys;
    rpc_dispatcher calls;
    http_server server;
};

// A runtime without tasks that does not answer the first `failures` calls.
class empty_runtime final : public worker_runtime {
public:
    std::vector<runtime_task> list() override {
        if (failures > 0) {
            --failures;
            throw error(result_code::connection_refused, "the runtime is down");
        }
        return {};
    }
    void start(const start_permit&, std::int64_t) override {}
    void renew(const std::vector<task_attempt>&, std::int64_t) override {}
    void pause(const task_attempt&) override {}
    void resume(const task_attempt&, std::int64_t) override {}
    std::string checkpoint(const task_attempt&) override { return {}; }
    void throttle(const task_attempt&, std::uint32_t) override {}
    void stop(const task_attempt&) override {}
    void forget(const task_attempt&) override {}
    int failures = 0;
};

struct fixture {
    explicit fixture(std::vector<endpoint> entries, const std::string& key = "", int failures = 0)
        : ledger({millicores(4'000), mebibytes(4'096), accelerator_count(0)}),
          pool(time, 4),
          calls(pool, keys),
          tasks({}, {worker_id("w1"), {}, {}, {"127.0.0.1", 1}}, ledger, runtime, time,
                incarnation_number(7)),
          loop(
              {std::move(entries)}, tasks, calls, time, [] { return std::vector<target_report>(); },
              [] {}) {
        keys.set_keys(key, "");
        runtime.failures = failures;
        loop.start();
    }
    system_clock time;
    key_ring keys;
    instance_ledger ledger;
    empty_runtime runtime;
    http_client_pool pool;
    rpc_client calls;
    agent_tasks tasks;
    sync_loop loop;
};

bool becomes_true(const std::function<bool()>& condition, int limit_ms = 5'000) {
    for (int i = 0; i < limit_ms && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    return condition();
}

constexpr std::int64_t long_interval_ms = 60'000;

}  // namespace

// Guards against new work that waits for the next regular sync.
TEST_CASE("a wake leads to a sync within 100 ms") {
    fake_entry owner;
    owner.reply.next_sync_ms = long_interval_ms;
    fixture agent({owner.address()});
    REQUIRE(becomes_true([&] { return owner.syncs >= 1; }));
    std::this_thread::sleep_for(milliseconds(100));
    const int before = owner.syncs;
    const instant woken = agent.time.now();
    agent.loop.wake();
    REQUIRE(becomes_true([&] { return owner.syncs > before; }));
    const auto took = std::chrono::duration_cast<milliseconds>(agent.time.now() - woken).count();
    INFO("took " << took << " ms");
    CHECK(took <= 100);
}

// Guards against an agent that stays with an entry that does not own its partition.
TEST_CASE("a redirect is followed at once and remembered") {
    fake_entry other;
    fake_entry owner;
    owner.reply.next_sync_ms = long_interval_ms;
    other.reply.code = result_code::not_owner;
    other.reply.redirect = entry_info{entry_id("e2"), {}, owner.address(), {}};
    fixture agent({other.address()});
    REQUIRE(becomes_true([&] { return owner.syncs >= 1; }, 1'500));
    std::this_thread::sleep_for(milliseconds(100));
    const int before = other.syncs;
    const int seen = owner.syncs;
    agent.loop.wake();
    CHECK(becomes_true([&] { return owner.syncs > seen; }));
    CHECK(other.syncs == before);
}

// Guards against an agent that is lost with the one entry it knows.
TEST_CASE("a dead entry and one with another key are passed over") {
    endpoint dead;
    {
        const fake_entry gone;
        dead = gone.address();
    }
    fake_entry foreign("0123456789abcdef-other");
    fake_entry owner("0123456789abcdef");
    owner.reply.next_sync_ms = long_interval_ms;
    fixture agent({dead, foreign.address(), owner.address()}, "0123456789abcdef");
    CHECK(becomes_true([&] { return owner.syncs >= 1; }));
    CHECK(foreign.syncs == 0);
}

// Guards against a start that is accepted before the ledger is rebuilt.
TEST_CASE("no sync is sent before the runtime has answered") {
    fake_entry owner;
    owner.reply.next_sync_ms = long_interval_ms;
    fixture agent({owner.address()}, "", 3);
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(owner.syncs == 0);
    CHECK(becomes_true([&] { return owner.syncs >= 1; }));
    CHECK(agent.loop.is_recovered());
}

// Guards against a new owner that waits for the next regular sync, and against an old one that
// draws the agent back.
TEST_CASE("an inventory call is followed by a sync with the asking entry") {
    fake_entry before;
    fake_entry after;
    before.reply.next_sync_ms = after.reply.next_sync_ms = long_interval_ms;
    before.reply.epoch = epoch_number(3);
    after.reply.epoch = epoch_number(4);
    fixture agent({before.address()});
    REQUIRE(becomes_true([&] { return before.syncs >= 1; }));
    std::this_thread::sleep_for(milliseconds(50));
    REQUIRE(agent.loop.accept_inventory(epoch_number(4), after.address()));
    CHECK(becomes_true([&] { return after.syncs >= 1; }, 1'000));
    CHECK_FALSE(agent.loop.accept_inventory(epoch_number(3), before.address()));
}

// Guards against an owner that keeps sending work to an agent that is leaving.
TEST_CASE("leaving is reported at once") {
    fake_entry owner;
    owner.reply.next_sync_ms = long_interval_ms;
    fixture agent({owner.address()});
    REQUIRE(becomes_true([&] { return owner.syncs >= 1; }));
    agent.loop.set_leaving();
    CHECK(becomes_true(
        [&] {
            const std::lock_guard lock(owner.mutex);
            return owner.last.is_leaving;
        },
        1'000));
}
