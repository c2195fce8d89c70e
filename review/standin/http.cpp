#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <optional>
#include <stdexcept>

#include "record.hpp"

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listen_on(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket, 128) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    return socket;
}

bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Reads one message; what follows it stays in `buffer`. `until` is a time of now_ms().
std::optional<message> receive(int socket, std::string& buffer, std::int64_t until) {
    const auto read_more = [&] {
        pollfd ready{socket, POLLIN, 0};
        const auto left = until - now_ms();
        char bytes[16'384];
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        const auto count = ::recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_more()) {
            return std::nullopt;
        }
    }
    message found;
    std::size_t begin = buffer.find("\r\n");
    found.first_line = buffer.substr(0, begin);
    while (begin < end) {
        const auto next = buffer.find("\r\n", begin + 2);
        const auto line = buffer.substr(begin + 2, next - begin - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return std::tolower(c); });
            const auto value = line.find_first_not_of(' ', colon + 1);
            found.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        begin = next;
    }
    const auto length = static_cast<std::size_t>(
        std::strtoull(found.headers["content-length"].c_str(), nullptr, 10));
    while (buffer.size() < end + 4 + length) {
        if (!read_more()) {
            return std::nullopt;
        }
    }
    found.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return found;
}

}  // namespace

std::uint16_t free_port() {
    // Below the ports that the system gives to outgoing connections.
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t count = 12'000;
    static std::uint16_t next = static_cast<std::uint16_t>(::getpid() % count);
    for (std::uint16_t i = 0; i < count; ++i) {
        next = static_cast<std::uint16_t>((next + 1) % count);
        const auto port = static_cast<std::uint16_t>(first + next);
        try {
            ::close(listen_on(port));
            return port;
        } catch (const std::runtime_error&) {
            continue;  // in use
        }
    }
    throw std::runtime_error("no free port");
}

http_server::http_server(std::uint16_t port, handler handle)
    : handle_(std::move(handle)), listener_(listen_on(port)) {
    acceptor_ = std::thread([this] { accept_connections(); });
}

http_server::~http_server() {
    is_stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    for (auto& peer : connections_) {
        ::shutdown(peer.socket, SHUT_RDWR);
    }
    for (auto& peer : connections_) {
        peer.thread.join();
        ::close(peer.socket);
    }
}

void http_server::accept_connections() {
    while (!is_stopping_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int yes = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard lock(mutex_);
        for (auto peer = connections_.begin(); peer != connections_.end();) {
            if (peer->is_done) {
                peer->thread.join();
                ::close(peer->socket);
                peer = connections_.erase(peer);
            } else {
                ++peer;
            }
        }
        auto& added = connections_.emplace_back();
        added.socket = socket;
        added.thread = std::thread([this, &added] { serve(added); });
    }
}

void http_server::serve(connection& peer) {
    constexpr std::int64_t idle_timeout = 30'000;
    std::string buffer;
    while (!is_stopping_) {
        const auto received = receive(peer.socket, buffer, now_ms() + idle_timeout);
        if (!received) {
            break;
        }
        http_request request;
        const auto first = received->first_line.find(' ');
        const auto second = received->first_line.find(' ', first + 1);
        request.method = received->first_line.substr(0, first);
        request.target = received->first_line.substr(first + 1, second - first - 1);
        request.headers = received->headers;
        request.body = received->body;
        const auto response = handle_(request);
        if (response.status == 0 || is_stopping_ ||
            !send_all(peer.socket, "HTTP/1.1 " + std::to_string(response.status) +
                                       " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                       std::to_string(response.body.size()) + "\r\n\r\n" +
                                       response.body)) {
            break;
        }
    }
    ::shutdown(peer.socket, SHUT_RDWR);
    peer.is_done = true;
}

http_response call(std::uint16_t port, const http_request& request, std::int64_t timeout_ms) {
    const auto until = now_ms() + timeout_ms;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    text +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) +
        "\r\n\r\n" + request.body;
    http_response response{0, ""};
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        send_all(socket, text)) {
        std::string buffer;
        if (const auto answer = receive(socket, buffer, until)) {
            response.status = std::atoi(answer->first_line.c_str() + answer->first_line.find(' '));
            response.body = answer->body;
        }
    }
    ::close(socket);
    return response;
}

}  // namespace review
