#include "refused_connections.hpp"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <vector>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

namespace {

// Enough for a request of 1 MiB that is already on its way, and short enough that a burst of
// refusals does not use up the descriptors.
constexpr milliseconds linger_time(1'000);
// Beyond this many the oldest one is closed at once.
constexpr std::size_t max_lingering = 256;

std::string refusal_text() {
    const http_response refusal =
        error_response(result_code::too_many_connections, "too many connections");
    return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
           "Content-Type: application/json\r\n" +
           std::string(header_name::result) + ": " + refusal.header(header_name::result) +
           "\r\nContent-Length: " + std::to_string(refusal.body.size()) + "\r\n\r\n" + refusal.body;
}

// Discards what has arrived; false if the caller has closed the connection.
bool discard_input(int connection) {
    std::array<char, 16'384> unread{};
    while (true) {
        const ssize_t count = ::recv(connection, unread.data(), unread.size(), MSG_DONTWAIT);
        if (count == 0) {
            return false;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
    }
}

}  // namespace

refused_connections::refused_connections() : wake_up_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (wake_up_ < 0) {
        throw error(result_code::internal_error, "cannot create an event descriptor");
    }
    thread_ = std::thread([this] { run(); });
}

refused_connections::~refused_connections() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    wake();
    thread_.join();
    ::close(wake_up_);
}

void refused_connections::add(int connection) {
    static const std::string text = refusal_text();
    ::send(connection, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    ::shutdown(connection, SHUT_WR);
    {
        const std::lock_guard lock(mutex_);
        added_.push_back({connection, deadline::after(time_.now(), linger_time)});
    }
    wake();
}

void refused_connections::run() {
    std::list<lingering> open;
    bool is_stopping = false;
    while (!is_stopping) {
        wait(open);
        {
            const std::lock_guard lock(mutex_);
            open.splice(open.end(), added_);
            is_stopping = is_stopping_;
        }
        const instant now = time_.now();
        std::size_t excess = open.size() > max_lingering ? open.size() - max_lingering : 0;
        open.remove_if([&](const lingering& item) {
            const bool is_kept = !is_stopping && excess == 0 && !item.close_at.has_passed(now) &&
                                 discard_input(item.connection);
            excess -= excess > 0 ? 1 : 0;
            if (!is_kept) {
                ::close(item.connection);
            }
            return !is_kept;
        });
    }
}

void refused_connections::wait(const std::list<lingering>& open) const {
    std::vector<pollfd> wanted{{wake_up_, POLLIN, 0}};
    for (const auto& item : open) {
        wanted.push_back({item.connection, POLLIN, 0});
    }
    // Deadlines are in the order of arrival.
    const milliseconds limit =
        open.empty() ? milliseconds(-1) : open.front().close_at.remaining(time_.now());
    ::poll(wanted.data(), wanted.size(), static_cast<int>(limit.count()));
    std::uint64_t count = 0;
    // Fails if add() was not called meanwhile.
    (void)!::read(wake_up_, &count, sizeof count);
}

void refused_connections::wake() const {
    const std::uint64_t one = 1;
    // Fails only if a wake-up is already waiting to be read.
    (void)!::write(wake_up_, &one, sizeof one);
}

}  // namespace tanagerpaddle
