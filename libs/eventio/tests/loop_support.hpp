#pragma once

// Ports and run times for tests that run servers and their clients on one event loop.

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

#include "tanagerpaddle/eventio.hpp"

namespace tanagerpaddle::eventio::testing {

// A port of the loopback interface that a server of this process can listen on. No other process is
// given it, as a listener or for a connection; connections to it are refused while no server
// listens.
class reserved_port {
public:
    reserved_port() : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(socket_, generic, size) == 0);
        REQUIRE(::getsockname(socket_, generic, &size) == 0);
        number_ = ntohs(address.sin_port);
        // Only after the bind, which has to choose a port that no other process holds.
        const int yes = 1;
        REQUIRE(::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes) == 0);
    }
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;
    ~reserved_port() { ::close(socket_); }

    [[nodiscard]] std::uint16_t number() const { return number_; }

private:
    int socket_;
    std::uint16_t number_ = 0;
};

// An endpoint that is reserved until the process ends; each index has its own.
inline endpoint local_endpoint(int index) {
    static std::map<int, reserved_port> ports;
    return {"127.0.0.1", ports[index].number()};
}

// Runs the loop for `limit`, in steps: if the process is not scheduled for a while, that takes up
// one step, and the loop still gets the others.
inline void run_for(event_loop& loop, milliseconds limit) {
    const milliseconds step = std::max(limit / 20, milliseconds(1));
    for (milliseconds left = limit; left.count() > 0; left -= step) {
        loop.after(std::min(step, left), [&loop] { loop.stop(); });
        loop.run();
    }
}

// The same until `is_done`, which is asked whenever the loop has been stopped; returns its last
// answer.
inline bool run_until(event_loop& loop, milliseconds limit, const std::function<bool()>& is_done) {
    const milliseconds step = std::max(limit / 20, milliseconds(1));
    for (milliseconds left = limit; left.count() > 0 && !is_done(); left -= step) {
        // The timer of a step that is_done has ended must not stop a later run.
        const auto is_current = std::make_shared<bool>(true);
        loop.after(std::min(step, left), [&loop, is_current] {
            if (*is_current) {
                loop.stop();
            }
        });
        loop.run();
        *is_current = false;
    }
    return is_done();
}

}  // namespace tanagerpaddle::eventio::testing
