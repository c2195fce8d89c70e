#pragma once

// Single-threaded I/O on one event loop: timers, HTTP/1.1 servers and clients, and framed messages
// between processes. Nothing here is thread-safe; all callbacks run in the thread that calls
// event_loop::run().

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::eventio {

// An IPv4 address and a TCP port, written "10.1.0.13:8161".
struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// Throws error(invalid_settings) unless `text` is an IPv4 address and a port from 1 to 65535.
[[nodiscard]] endpoint parse_endpoint(std::string_view text);
[[nodiscard]] std::string to_string(const endpoint& address);

// ---------------------------------------------------------------------------------------------
// Limits of a process

// A listener's part of the descriptors that connections may use, in thousandths.
using listener_share = strong_number<struct listener_share_tag, std::uint32_t>;

// Bounds on what the clients of a process can make it hold. Where one would be exceeded, a request
// is refused with 503, or a connection or link is closed.
struct process_limits {
    // Descriptors of the process; zero stands for its RLIMIT_NOFILE.
    std::size_t max_descriptors = 0;
    // Kept for files by the rules of the platform; no listener uses them.
    std::size_t reserved_descriptors = 200;
    // Connections of each listener. With the socket buffers of 32 KiB and 4 KiB of header each, a
    // listener that is full holds 36 MB of a machine of 128 MB.
    std::size_t max_connections = 1'000;
    // Bytes of requests that are read or handled, and of responses that are sent: 64 bodies of the
    // promised 262,144 bytes.
    std::size_t request_bytes = 16U << 20U;
    // The same for messages: two of the largest of 8 MiB, and as much again for the others.
    std::size_t message_bytes = 24U << 20U;
    // Share of the listener for messages. What the listeners leave is for connections to others.
    listener_share message_share{150};
};

struct listener_counts {
    std::string name;
    std::size_t capacity = 0;
    std::size_t connections = 0;
    // Connections that were not accepted, or were closed to make room for others.
    std::uint64_t refused = 0;
};

struct budget_counts {
    // Requests or messages given up since the start because their bytes exceeded the budget.
    std::uint64_t released_requests = 0;
    std::uint64_t released_messages = 0;
};

// ---------------------------------------------------------------------------------------------
// Event loop

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    // Runs callbacks until stop() is called; may be called again after it returns. An exception
    // that a callback lets escape ends that callback only, provided that an exception handler is
    // set; otherwise, and for an invariant_violation, run() throws it.
    void run();
    // `handler` gets each exception that a callback lets escape. The connection whose callback
    // threw is closed; periodic actions continue.
    void on_exception(std::function<void(const std::exception&)> handler);
    void stop();
    // Runs `action` once, after the current callback returns.
    void post(std::function<void()> action);
    // Runs `action` once, `delay` from now.
    void after(milliseconds delay, std::function<void()> action);
    // Runs `action` repeatedly while the loop runs, waiting for `period` before each run.
    void every(milliseconds period, std::function<void()> action);
    // Runs `action` each time the signal is delivered.
    void on_signal(int signal_number, const std::function<void()>& action);

    // Applies to servers and links that are created afterwards.
    void set_limits(const process_limits& limits);
    // One row for each listener.
    [[nodiscard]] std::vector<listener_counts> count_connections() const;
    [[nodiscard]] budget_counts count_released() const;

    struct implementation;
    [[nodiscard]] implementation& internals() noexcept { return *implementation_; }

private:
    std::unique_ptr<implementation> implementation_;
};

// ---------------------------------------------------------------------------------------------
// HTTP server

using http_headers = std::map<std::string, std::string, std::less<>>;

struct http_request {
    std::string method;
    // Path and query as sent.
    std::string target;
    std::string host;
    std::string body;
    // When the last byte of the request was read.
    instant received_at;
    // Caller's timeout from the timeout header; zero if the header is absent or invalid.
    milliseconds timeout{0};
};

struct http_response {
    int status = 200;
    std::string body;
    http_headers headers;
};

// Sends the response to one request. Calls after the first have no effect.
using http_responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, http_responder)>;

struct http_server_options {
    // The listener in listener_counts.
    std::string name = "http";
    listener_share share{500};
    // Also bounds the trailers of a request, and each line of a chunk's size and extensions.
    std::size_t max_header_bytes = 16'384;
    std::size_t max_body_bytes = 524'288;
    // Time between requests, and for a response to be taken.
    milliseconds idle_timeout{15'000};
    // Time from the first byte of a header to its end.
    milliseconds header_timeout{3'000};
    // Time from the end of the header to the end of the body.
    milliseconds body_timeout{15'000};
    std::size_t max_connections = 2'000;
    // Name of the header that carries http_request::timeout in milliseconds.
    std::string timeout_header;
};

class http_server {
public:
    // Throws error(invalid_settings) if the address cannot be bound.
    http_server(event_loop& loop, const endpoint& address, http_server_options options,
                http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    // Each response sent from now on closes its connection.
    void disable_keep_alive();
    // Number of requests whose response has not been written yet.
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// HTTP client

// Outcome of a completed call, as far as the client can tell.
enum class call_outcome : std::uint8_t {
    answered,
    // No connection was established or became free in time: the peer has not received the request.
    not_sent,
    // The connection failed or the deadline passed: the peer may have processed the request or may
    // still process it.
    unknown,
};

struct http_result {
    call_outcome outcome = call_outcome::unknown;
    int status = 0;
    std::string body;
    // True if the peer's host refused the connection attempt.
    bool was_connection_refused = false;
    // True if the peer's host ended an established connection before the answer was complete. The
    // peer may be another process by the next call.
    bool was_connection_lost = false;
};

struct http_call {
    std::string method;
    std::string target;
    std::string body;
    http_headers headers;
};

using http_callback = std::function<void(const http_result&)>;

// Calls to one peer over persistent connections, with one request at a time on each.
class http_client {
public:
    http_client(event_loop& loop, endpoint peer, std::size_t max_connections);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // `done` is called exactly once, within `call_timeout` from now.
    void call(http_call request, milliseconds call_timeout, http_callback done);

    struct state;

private:
    std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// Framed messages

// A bidirectional message connection. A frame is a 4-byte big-endian length and the message.
class message_link {
public:
    virtual ~message_link() = default;
    message_link() = default;
    message_link(const message_link&) = delete;
    message_link& operator=(const message_link&) = delete;

    // Queues a message. The link fails, and calls on_closed, if more than 8 MiB are queued because
    // the peer does not read, or if process_limits::message_bytes are used up and this link holds
    // most of them.
    virtual void send(std::string message) = 0;
    // Closes the connection without calling on_closed.
    virtual void close() = 0;
};

struct link_handlers {
    std::function<void(const std::string&)> on_message;
    std::function<void()> on_closed;
};

using accept_handler = std::function<link_handlers(std::shared_ptr<message_link>)>;

class message_server {
public:
    // Throws error(invalid_settings) if the address cannot be bound.
    message_server(event_loop& loop, const endpoint& address, accept_handler on_accept);
    ~message_server();
    message_server(const message_server&) = delete;
    message_server& operator=(const message_server&) = delete;

private:
    struct state;
    std::shared_ptr<state> state_;
};

// Connects to a message_server. Calls `on_connected` exactly once: with the link, or with nullptr
// if the attempt fails or takes longer than `connect_timeout`.
void connect_link(event_loop& loop, const endpoint& peer, milliseconds connect_timeout,
                  std::function<link_handlers(std::shared_ptr<message_link>)> on_connected);

}  // namespace tanagerpaddle::eventio
