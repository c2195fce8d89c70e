#pragma once

// The HTTP server of the stand-ins: bounded connections, JSON calls, dropped connections.

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::standin {

struct server_options {
    std::string address = "127.0.0.1";
    // 0: any free port.
    std::uint16_t port = 0;
    // Connections served at a time, one thread each; a request on another one is answered 503.
    std::size_t connections = 64;
    // Idle connections are closed after this. Clients of the platform library replace a connection
    // that was idle for 4 s.
    std::chrono::seconds idle_timeout{8};
};

// Binds at construction and throws error(internal_error) if it cannot. Routes are added before
// start().
class server {
public:
    using handler = std::function<void(const httplib::Request&, httplib::Response&)>;
    using json_handler = std::function<nlohmann::json(const nlohmann::json&)>;

    explicit server(const server_options& options);
    // Stops and waits for the connections to close; idle ones do so at the idle timeout.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    // `pattern` is a regular expression for the whole path.
    void add_route(const std::string& method, const std::string& pattern, handler handle);
    // POST with JSON both ways; an empty body counts as {}. A thrown error is answered with the
    // status of its code and {"code": number, "message": text}, malformed JSON with 400.
    void add_json_route(const std::string& path, json_handler handle);

    void start();
    // Accepts no more connections.
    void stop();
    // Waits until no handler runs and its answer is on the way; false after `limit`.
    [[nodiscard]] bool wait_until_idle(milliseconds limit) const;

private:
    httplib::Server http_;
    std::uint16_t port_ = 0;
    std::atomic<int> running_handlers_{0};
    std::thread listener_;
};

// Answers with JSON and that status.
void answer_json(httplib::Response& response, int status, const nlohmann::json& body);
// The answer for an error; see server::add_json_route.
void answer_error(httplib::Response& response, const error& failure);
// Closes the connection in place of an answer. cpp-httplib sends a header before it asks for the
// body, so the client gets a header whose body never comes and can take nothing from it.
void drop_connection(httplib::Response& response);
// Answers with the first `bytes` bytes of `body` and closes the connection.
void answer_truncated(httplib::Response& response, const std::string& body, std::size_t bytes);

// Blocks SIGTERM and SIGINT in the calling thread and in those it starts later.
void block_termination();
// Waits for one of them.
void wait_for_termination();

}  // namespace tanagerpaddle::standin
