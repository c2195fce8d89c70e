#pragma once

// HTTP servers with bounded connections, HTTP clients with kept connections, and JSON-RPC 2.0
// calls between the daemons. HTTP is cpp-httplib's, JSON-RPC is libjsonrpccpp's.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// HTTP

struct http_header {
    std::string name;
    std::string value;
};

namespace header_name {
inline constexpr const char* request_id = "Tanagerpaddle-Request-Id";
inline constexpr const char* timeout_ms = "Tanagerpaddle-Timeout-Ms";
inline constexpr const char* result = "Tanagerpaddle-Result";
inline constexpr const char* body_length = "Tanagerpaddle-Body-Length";
inline constexpr const char* body_checksum = "Tanagerpaddle-Body-Checksum";
inline constexpr const char* service = "Tanagerpaddle-Service";
inline constexpr const char* method = "Tanagerpaddle-Method";
inline constexpr const char* incarnation = "Tanagerpaddle-Incarnation";
inline constexpr const char* busy_slots = "Tanagerpaddle-Busy-Slots";
inline constexpr const char* idempotent = "Tanagerpaddle-Idempotent";
inline constexpr const char* traceparent = "traceparent";
inline constexpr const char* authorization = "Authorization";
}  // namespace header_name

struct http_request {
    std::string method;
    std::string path;
    // The parts of the path that the route's groups matched.
    std::vector<std::string> captures;
    std::vector<http_header> headers;
    std::string body;
    std::string peer;

    // The value of the header, compared without case; empty if absent.
    [[nodiscard]] std::string header(std::string_view wanted) const;
    // The query parameter; empty if absent.
    [[nodiscard]] std::string parameter(const std::string& wanted) const;
    std::multimap<std::string, std::string> parameters;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<http_header> headers;

    [[nodiscard]] std::string header(std::string_view wanted) const;
};

// The HTTP status that goes with a result code.
[[nodiscard]] int http_status(result_code code) noexcept;
// {"code":N,"name":"...","message":"..."} with the matching status and the result header.
[[nodiscard]] http_response error_response(result_code code, const std::string& message);

struct http_server_options {
    endpoint listen;  // port 0 picks a free one
    // Connections served at a time, one thread each; further ones are answered 503 at once.
    std::size_t connections = 64;
    std::size_t max_body_bytes = 1'048'576;
    // How long a kept connection may be idle, and how long a read may wait, in whole seconds.
    std::int64_t idle_s = 15;
    std::int64_t read_s = 5;
};

// An HTTP server on an address of its own. Handlers run concurrently; an `error` that leaves a
// handler becomes its error_response.
class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    explicit http_server(const http_server_options& options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Adds a route; `pattern` is a regular expression for the whole path. Before start() only.
    void route(const std::string& method, const std::string& pattern, handler handle);
    // Binds without serving yet, and returns the port. Throws error(internal_error) if it cannot.
    std::uint16_t bind();
    // Binds, if bind() was not called, and serves from threads of its own.
    void start();
    // The bound port.
    [[nodiscard]] std::uint16_t port() const noexcept;
    // From now on each answer asks its client to close the connection.
    void set_draining() noexcept;
    // Closes the listening socket, lets running requests end, joins the threads.
    void stop();
    // Connections that were refused because the bound was reached.
    [[nodiscard]] std::uint64_t refused_connections() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

enum class http_failure : std::uint8_t {
    none,
    // No connection: the request was certainly not sent.
    not_connected,
    // Sent at least in part; whether it took effect is unknown.
    no_answer,
};

struct http_result {
    http_failure failure = http_failure::none;
    http_response response;
    std::string message;
};

struct http_call {
    endpoint to;
    std::string method = "POST";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/octet-stream";
    // The whole call ends by then.
    deadline limit;
    // The call is given up if no byte of the answer came by then.
    deadline first_byte;
};

// Kept connections to many servers. Thread-safe. A connection carries one call at a time, is
// used again only within `reuse_ms` of its last answer, and at most `most_idle` are kept.
class http_client_pool {
public:
    http_client_pool(const clock& time, std::size_t most_idle, std::int64_t reuse_ms = 10'000);
    ~http_client_pool();
    http_client_pool(const http_client_pool&) = delete;
    http_client_pool& operator=(const http_client_pool&) = delete;

    // Never throws for a failed call; the result says what happened.
    [[nodiscard]] http_result call(const http_call& request);
    // Closes connections that have been idle too long. Called from time to time.
    void close_idle();
    [[nodiscard]] std::size_t idle_count() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

// ---------------------------------------------------------------------------------------------
// Keys

// The keys that authenticate calls between processes. Two may be valid during a rotation.
// Thread-safe.
class key_ring {
public:
    // Without a key every call is accepted.
    void set_keys(std::string current, std::string previous);
    // True if an Authorization header's value carries a valid key; compares in constant time.
    [[nodiscard]] bool accepts(std::string_view authorization) const;
    // The value of the Authorization header for own calls; empty without a key.
    [[nodiscard]] std::string authorization() const;
    [[nodiscard]] bool empty() const;
    // Calls that were refused.
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_.load(); }

private:
    mutable std::mutex mutex_;
    std::string current_;
    std::string previous_;
    mutable std::atomic<std::uint64_t> refused_{0};
};

// ---------------------------------------------------------------------------------------------
// JSON-RPC

// The methods of a process. Register all before it serves.
class rpc_dispatcher {
public:
    // Takes the params as JSON text, gives the result as JSON text. May throw `error`.
    using method_handler = std::function<std::string(const std::string&)>;

    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    void add(const std::string& method, method_handler handle);
    // Answers one JSON-RPC request text.
    [[nodiscard]] std::string handle(const std::string& request) const;
    // Serves POST /rpc on the server; calls without a valid key are refused.
    void mount(http_server& server, const key_ring& keys);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

// Calls methods of other processes.
class rpc_client {
public:
    rpc_client(http_client_pool& connections, const key_ring& keys)
        : connections_(connections), keys_(keys) {}

    // The result as JSON text. Throws the error of the other side, or connection_refused if the
    // call was certainly not made, or outcome_unknown if it may have been.
    [[nodiscard]] std::string call(const endpoint& to, const std::string& method,
                                   const std::string& params, deadline limit);

    // Typed form of call().
    template <class Reply, class Request>
    [[nodiscard]] Reply call_typed(const endpoint& to, const std::string& method,
                                   const Request& request, deadline limit) {
        return decode<Reply>(call(to, method, encode(request), limit));
    }

    // Bytes sent and received in bodies so far.
    [[nodiscard]] std::uint64_t bytes() const noexcept { return bytes_.load(); }
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_.load(); }

private:
    http_client_pool& connections_;
    const key_ring& keys_;
    std::atomic<std::uint64_t> bytes_{0};
    std::atomic<std::uint64_t> calls_{0};
};

}  // namespace tanagerpaddle
