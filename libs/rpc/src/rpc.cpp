#include "tanagerpaddle/rpc.hpp"

#include <charconv>

#include "jsonrpc/bridge.hpp"

namespace tanagerpaddle {

namespace {

// The code of a failed call as the other side named it; a failure is never "ok".
result_code failure_code(int number) {
    const result_code code = result_code_from_number(number);
    return code == result_code::ok ? result_code::internal_error : code;
}

result_code failure_code(const std::string& number) {
    int value = 0;
    const auto [end, problem] =
        std::from_chars(number.data(), number.data() + number.size(), value);
    return problem == std::errc() ? failure_code(value) : result_code::internal_error;
}

}  // namespace

class rpc_dispatcher::implementation {
public:
    jsonrpc_bridge::server server;
};

rpc_dispatcher::rpc_dispatcher() : implementation_(std::make_unique<implementation>()) {}
rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string& method, method_handler handle) {
    implementation_->server.add(method, [handle = std::move(handle)](const std::string& params) {
        try {
            return handle(params);
        } catch (const error& failure) {
            throw jsonrpc_bridge::call_failure(static_cast<int>(failure.code()), failure.what());
        } catch (const std::exception& failure) {
            throw jsonrpc_bridge::call_failure(static_cast<int>(result_code::internal_error),
                                               failure.what());
        }
    });
}

std::string rpc_dispatcher::handle(const std::string& request) const {
    return implementation_->server.handle(request);
}

void rpc_dispatcher::mount(http_server& server, const key_ring& keys) {
    server.route("POST", "/rpc", [this, &keys](const http_request& request) {
        if (!keys.accepts(request.header(header_name::authorization))) {
            return error_response(result_code::unauthorized, "the call carries no valid key");
        }
        http_response response;
        response.body = handle(request.body);
        return response;
    });
}

std::string rpc_client::call(const endpoint& to, const std::string& method,
                             const std::string& params, deadline limit) {
    const auto transport = [&](const std::string& message) {
        http_call request;
        request.to = to;
        request.path = "/rpc";
        request.body = message;
        request.content_type = "application/json";
        request.limit = limit;
        request.first_byte = limit;
        if (const std::string key = keys_.authorization(); !key.empty()) {
            request.headers.push_back({header_name::authorization, key});
        }
        http_result result = connections_.call(request);
        calls_.fetch_add(1, std::memory_order_relaxed);
        bytes_.fetch_add(message.size() + result.response.body.size(), std::memory_order_relaxed);
        if (result.failure == http_failure::not_connected) {
            throw error(result_code::connection_refused, method + ": " + result.message);
        }
        if (result.failure == http_failure::no_answer) {
            throw error(result_code::outcome_unknown, method + ": " + result.message);
        }
        if (result.response.status != 200) {
            throw error(failure_code(result.response.header(header_name::result)),
                        method + ": HTTP status " + std::to_string(result.response.status));
        }
        return std::move(result.response.body);
    };
    try {
        return jsonrpc_bridge::call(transport, method, params);
    } catch (const jsonrpc_bridge::call_failure& failure) {
        throw error(failure_code(failure.number()), method + ": " + failure.what());
    }
}

}  // namespace tanagerpaddle
