#pragma once

// Blocking HTTP/1.1 with a thread for each connection.

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

struct http_request {
    std::string method;
    // Path and query as sent.
    std::string target;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_response {
    // 0: the connection is closed without an answer.
    int status = 200;
    std::string body;
};

// A TCP port of 127.0.0.1 that was free just now.
[[nodiscard]] std::uint16_t free_port();

class http_server {
public:
    using handler = std::function<http_response(const http_request&)>;

    http_server(std::uint16_t port, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

private:
    struct connection {
        int socket = -1;
        std::thread thread;
        std::atomic<bool> is_done = false;
    };

    void accept_connections();
    void serve(connection& peer);

    handler handle_;
    int listener_ = -1;
    std::atomic<bool> is_stopping_ = false;
    std::mutex mutex_;
    std::list<connection> connections_;
    std::thread acceptor_;
};

// Sends one request on a connection of its own. The status is 0 if there was no whole answer.
[[nodiscard]] http_response call(std::uint16_t port, const http_request& request,
                                 std::int64_t timeout_ms);

}  // namespace review
