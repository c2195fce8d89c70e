#pragma once

// HTTP/1.1 over loopback for the stand-ins: blocking, with a thread for each connection.

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct http_request {
    std::string method;
    // Without the query.
    std::string path;
    std::map<std::string, std::string> parameters;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    // Empty if there is none.
    [[nodiscard]] std::string parameter(const std::string& name) const;
    [[nodiscard]] std::string header(const std::string& name) const;
};

struct http_response {
    int status = 200;
    std::string body;
};

class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    // Throws std::runtime_error if the port cannot be bound.
    http_server(int port, handler serve);
    // Closes all connections and waits for the calls in progress.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    void accept_all();
    void serve_connection(int connection);

    handler serve_;
    int listener_;
    std::mutex mutex_;
    std::condition_variable idle_;
    std::set<int> connections_;
    bool is_closing_ = false;
    std::thread thread_;
};

// Sends one request on a connection of its own. std::nullopt if there is no complete answer.
[[nodiscard]] std::optional<http_response> send_http(
    int port, const std::string& method, const std::string& target,
    const std::map<std::string, std::string>& headers, const std::string& body, int timeout_ms);

}  // namespace review
