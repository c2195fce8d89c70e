#include "tanagerpaddle/rpc.hpp"

#include <doctest/doctest.h>

using namespace tanagerpaddle;

namespace {

struct rpc_fixture {
    rpc_fixture() : server({.listen = {"127.0.0.1", 0}}), connections(time, 4) {
        dispatcher.add("entry.sync", [](const std::string& params) {
            sync_reply reply;
            reply.lease_ms = static_cast<std::int64_t>(decode<sync_request>(params).sequence);
            return encode(reply);
        });
        dispatcher.add("entry.fails", [](const std::string&) -> std::string {
            throw error(result_code::not_owner, "another entry owns it");
        });
        dispatcher.mount(server, keys);
        server.start();
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server.port()}; }
    [[nodiscard]] deadline limit() const { return deadline::after(time.now(), milliseconds(2000)); }

    system_clock time;
    key_ring keys;
    http_server server;
    rpc_dispatcher dispatcher;
    http_client_pool connections;
    rpc_client client{connections, keys};
};

result_code code_of(const std::function<void()>& action) {
    try {
        action();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

}  // namespace

TEST_CASE("a typed call reaches its method and returns the reply") {
    rpc_fixture f;
    sync_request request;
    request.sequence = 42;
    const auto reply =
        f.client.call_typed<sync_reply>(f.address(), "entry.sync", request, f.limit());
    CHECK(reply.lease_ms == 42);
    CHECK(f.connections.idle_count() == 1);
}

// Callers decide on retries by the code, so it has to survive the way over JSON-RPC.
TEST_CASE("an error of a method arrives with its result code") {
    rpc_fixture f;
    CHECK(code_of([&] { (void)f.client.call(f.address(), "entry.fails", "{}", f.limit()); }) ==
          result_code::not_owner);
    CHECK(code_of([&] {
              (void)f.client.call(f.address(), "entry.sync", "{\"tasks\":5}", f.limit());
          }) == result_code::malformed_request);
}

TEST_CASE("a call to a closed port is known not to have been made") {
    rpc_fixture f;
    const endpoint address = f.address();
    f.server.stop();
    CHECK(code_of([&] { (void)f.client.call(address, "entry.sync", "{}", f.limit()); }) ==
          result_code::connection_refused);
}

// A process outside the system must not be able to act as an agent or an entry.
TEST_CASE("calls without a valid key are refused and counted, and keys rotate") {
    rpc_fixture f;
    key_ring wrong;
    wrong.set_keys("wrong", "");
    rpc_client stranger(f.connections, wrong);
    f.keys.set_keys("new", "old");
    CHECK(code_of([&] { (void)stranger.call(f.address(), "entry.sync", "{}", f.limit()); }) ==
          result_code::unauthorized);
    CHECK(f.keys.refused() == 1);
    for (const char* key : {"old", "new"}) {
        INFO("key ", key);
        key_ring valid;
        valid.set_keys(key, "");
        rpc_client member(f.connections, valid);
        CHECK(code_of([&] { (void)member.call(f.address(), "entry.sync", "{}", f.limit()); }) ==
              result_code::ok);
    }
}
