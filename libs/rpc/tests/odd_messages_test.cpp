// JSON-RPC texts that no sound process sends.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tanagerpaddle/rpc.hpp"

using namespace tanagerpaddle;

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

// A peer that answers each call with a text of the test's choice.
struct odd_peer {
    odd_peer() : server({.listen = {"127.0.0.1", 0}}), connections(time, 4) {
        server.route("POST", "/rpc", [this](const http_request&) {
            http_response response;
            response.body = answer;
            return response;
        });
        server.start();
    }

    std::string call() {
        return client.call({"127.0.0.1", server.port()}, "entry.sync", "{}",
                           deadline::after(time.now(), milliseconds(5'000)));
    }

    system_clock time;
    key_ring keys;
    std::string answer;
    http_server server;
    http_client_pool connections;
    rpc_client client{connections, keys};
};

const std::vector<std::string>& odd_answers() {
    static const std::vector<std::string> all{
        "",
        "null",
        "7",
        "[]",
        "{}",
        "\xff",
        nested(1'001),
        nested(100'000),
        std::string(100'000, '['),
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":" + nested(100'000) + "}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":1e5000}",
        "{\"jsonrpc\":\"2.0\",\"id\":1e300,\"result\":{}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":7}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":[]}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":0,\"message\":\"m\"}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":\"x\",\"message\":\"m\"}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":4294967296,\"message\":\"m\"}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":1e300,\"message\":\"m\"}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":-32000,\"message\":[]}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":-32000,\"message\":{}}}",
        "{\"jsonrpc\":[],\"id\":1,\"result\":{}}",
        "{\"jsonrpc\":2e99,\"id\":[],\"result\":{}}",
    };
    return all;
}

}  // namespace

// Guards against an answer that ends the calling process: its threads handle error and nothing
// else.
TEST_CASE("an odd answer is an error with a result code, and the next sound one is read") {
    odd_peer peer;
    for (const auto& answer : odd_answers()) {
        INFO("answer ", answer.substr(0, 80), " of ", answer.size(), " bytes");
        peer.answer = answer;
        try {
            const auto result = peer.call();
            CHECK(result.size() < 100);
        } catch (const error& failure) {
            CHECK(failure.code() != result_code::ok);
        } catch (const std::exception& failure) {
            FAIL_CHECK("not an error with a result code: ", std::string(failure.what()));
        }
        peer.answer = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"a\":1}}";
        CHECK(peer.call() == "{\"a\":1}");
    }
}

// Guards against a request that ends the process or leaves it without an answer.
TEST_CASE("an odd request is answered, and the next sound one is served") {
    rpc_dispatcher dispatcher;
    dispatcher.add("entry.echo", [](const std::string& params) { return params; });
    const std::string head = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":";
    const std::vector<std::string> requests{
        "",
        "null",
        "7",
        "[]",
        "{}",
        "\xff",
        nested(1'001),
        nested(100'000),
        std::string(100'000, '['),
        "{\"a\":" + nested(100'000) + "}",
        head + "7}",
        head + "[]}",
        head + "null,\"params\":{}}",
        head + "\"entry.echo\",\"params\":7}",
        head + "\"entry.echo\",\"params\":[]}",
        head + "\"entry.echo\",\"params\":" + nested(100'000) + "}",
        head + "\"entry.echo\",\"params\":{\"a\":1e5000}}",
        head + "\"entry.echo\",\"params\":{\"a\":18446744073709551616}}",
        "{\"jsonrpc\":2e300,\"id\":1,\"method\":\"entry.echo\",\"params\":{}}",
        "{\"jsonrpc\":[],\"id\":{},\"method\":\"entry.echo\",\"params\":{}}",
        "{\"jsonrpc\":\"2.0\",\"id\":1e300,\"method\":\"entry.echo\",\"params\":{}}"};
    for (const auto& request : requests) {
        INFO("request ", request.substr(0, 80), " of ", request.size(), " bytes");
        try {
            CHECK_FALSE(dispatcher.handle(request).empty());
        } catch (const std::exception& failure) {
            FAIL_CHECK("not answered: ", std::string(failure.what()));
        }
        CHECK(dispatcher.handle(head + "\"entry.echo\",\"params\":{\"a\":1}}")
                  .find("\"result\":{\"a\":1}") != std::string::npos);
    }
}
