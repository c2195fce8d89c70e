#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <list>
#include <thread>

#include "tanagerpaddle/rpc.hpp"

using namespace tanagerpaddle;

namespace {

// A raw connection that sends nothing, as a half-open peer would.
class silent_connection {
public:
    explicit silent_connection(std::uint16_t port) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    silent_connection(const silent_connection&) = delete;
    silent_connection& operator=(const silent_connection&) = delete;
    ~silent_connection() { ::close(socket_); }

private:
    int socket_;
};

http_response echo(const http_request& request) {
    http_response response;
    response.body = request.body;
    return response;
}

http_call make_call(const http_server& server, const tanagerpaddle::clock& time,
                    const std::string& body) {
    http_call call;
    call.to = {"127.0.0.1", server.port()};
    call.path = "/echo";
    call.body = body;
    call.limit = deadline::after(time.now(), milliseconds(3000));
    call.first_byte = call.limit;
    return call;
}

// Measures for how long the machine did not run a thread that was due.
class stall_monitor {
public:
    stall_monitor() : thread_([this] { run(); }) {}
    stall_monitor(const stall_monitor&) = delete;
    stall_monitor& operator=(const stall_monitor&) = delete;
    ~stall_monitor() {
        is_stopped_ = true;
        thread_.join();
    }

    void reset() { longest_ms_ = 0; }
    [[nodiscard]] bool has_seen_stall() const { return longest_ms_ >= min_stall.count(); }

private:
    static constexpr milliseconds interval{5};
    static constexpr milliseconds min_stall{200};

    void run() {
        const system_clock time;
        auto last = time.now();
        while (!is_stopped_) {
            std::this_thread::sleep_for(interval);
            const auto now = time.now();
            const auto passed = std::chrono::duration_cast<milliseconds>(now - last).count();
            longest_ms_ = std::max<std::int64_t>(longest_ms_, passed);
            last = now;
        }
    }

    std::atomic<bool> is_stopped_ = false;
    std::atomic<std::int64_t> longest_ms_ = 0;
    std::thread thread_;
};

// The time of an attempt. One in which the machine has stalled says nothing of the server: it is
// repeated, a few times at most.
instant::duration time_without_stall(const std::function<instant::duration()>& attempt) {
    constexpr int max_attempts = 5;
    stall_monitor monitor;
    for (int i = 1;; ++i) {
        monitor.reset();
        const auto taken = attempt();
        // A stall at the end of the attempt is known after the next interval.
        std::this_thread::sleep_for(milliseconds(20));
        if (!monitor.has_seen_stall() || i == max_attempts) {
            return taken;
        }
    }
}

}  // namespace

// Without the bound, callers beyond the pool's size wait in a queue until their deadline.
TEST_CASE("connections beyond the bound are refused at once while silent ones hold the pool") {
    system_clock time;
    http_server server({.listen = {"127.0.0.1", 0}, .connections = 2});
    server.route("POST", "/echo", [](const http_request& request) { return echo(request); });
    server.start();
    const silent_connection first(server.port());
    const silent_connection second(server.port());
    std::this_thread::sleep_for(milliseconds(50));
    http_client_pool connections(time, 4);
    std::uint64_t calls = 0;
    const auto refused_after = time_without_stall([&] {
        ++calls;
        const instant started = time.now();
        const http_result result = connections.call(make_call(server, time, "x"));
        CHECK(result.response.status == 503);
        CHECK(result.response.header(header_name::result) == "206");
        return time.now() - started;
    });
    CHECK(refused_after < std::chrono::seconds(1));
    CHECK(server.refused_connections() == calls);
}

// A refused connection that is closed while its request is still arriving is reset, and the caller
// sees a failed write in place of the refusal.
TEST_CASE("a refusal reaches a caller that is still sending its request") {
    system_clock time;
    http_server server({.listen = {"127.0.0.1", 0}, .connections = 1});
    server.route("POST", "/echo", [](const http_request& request) { return echo(request); });
    server.start();
    const silent_connection first(server.port());
    std::this_thread::sleep_for(milliseconds(50));
    http_client_pool connections(time, 4);
    for (int i = 0; i < 20; ++i) {
        http_result result;
        // A refused connection is kept for a second, which may pass in a stall.
        time_without_stall([&] {
            const instant started = time.now();
            result = connections.call(make_call(server, time, std::string(1'000'000, 'x')));
            return time.now() - started;
        });
        CAPTURE(i);
        CAPTURE(result.message);
        CHECK(result.failure == http_failure::none);
        CHECK(result.response.header(header_name::result) == "206");
    }
}

// Refused connections that are kept open until their callers have read the answer must not delay
// the refusals after them.
TEST_CASE("a refused caller that never closes its connection delays no other refusal") {
    system_clock time;
    instant::duration refused_after{};
    const auto stopped_after = time_without_stall([&] {
        http_server server({.listen = {"127.0.0.1", 0}, .connections = 1});
        server.route("POST", "/echo", [](const http_request& request) { return echo(request); });
        server.start();
        std::list<silent_connection> silent;
        for (int i = 0; i < 50; ++i) {
            silent.emplace_back(server.port());
        }
        http_client_pool connections(time, 4);
        const instant started = time.now();
        CHECK(connections.call(make_call(server, time, "x")).response.status == 503);
        refused_after = time.now() - started;
        server.stop();
        return time.now() - started;
    });
    CHECK(refused_after < std::chrono::seconds(1));
    CHECK(stopped_after < std::chrono::seconds(1));
}

TEST_CASE("a body beyond the limit is refused with its numbered code") {
    system_clock time;
    http_server server({.listen = {"127.0.0.1", 0}, .max_body_bytes = 1000});
    server.route("POST", "/echo", [](const http_request& request) { return echo(request); });
    server.start();
    http_client_pool connections(time, 4);
    CHECK(connections.call(make_call(server, time, std::string(1000, 'x'))).response.status == 200);
    const auto refused = connections.call(make_call(server, time, std::string(1001, 'x')));
    CHECK(refused.response.status == 413);
    CHECK(refused.response.header(header_name::result) == "101");
}

// A server that closes kept connections without notice cuts off the next request on them.
TEST_CASE("a draining server asks its clients to close their connections") {
    system_clock time;
    http_server server({.listen = {"127.0.0.1", 0}});
    server.route("POST", "/echo", [](const http_request&) { return http_response{}; });
    server.start();
    http_client_pool connections(time, 4);
    CHECK(connections.call(make_call(server, time, "x")).response.status == 200);
    CHECK(connections.idle_count() == 1);
    server.set_draining();
    CHECK(connections.call(make_call(server, time, "x")).response.status == 200);
    CHECK(connections.idle_count() == 0);
}

TEST_CASE("an answer that does not come by its deadline is reported as unknown") {
    system_clock time;
    http_server server({.listen = {"127.0.0.1", 0}});
    server.route("POST", "/echo", [](const http_request&) {
        std::this_thread::sleep_for(milliseconds(300));
        return http_response{};
    });
    server.start();
    http_client_pool connections(time, 4);
    http_result result;
    time_without_stall([&] {
        const instant started = time.now();
        http_call call = make_call(server, time, "x");
        call.limit = deadline::after(started, milliseconds(50));
        result = connections.call(call);
        return time.now() - started;
    });
    CHECK(result.failure == http_failure::no_answer);
}
