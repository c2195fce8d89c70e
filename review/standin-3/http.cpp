#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <iostream>

#include "standin.hpp"

namespace standin {

namespace {

const auto origin = std::chrono::steady_clock::now();

sockaddr_in to_sockaddr(const address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

void reset_on_close(int socket) {
    const linger now{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto size = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string unescape(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

// A message's first line, headers and body. `buffer` keeps what follows.
struct message {
    std::string first;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::optional<message> read_message(int socket, std::string& buffer) {
    const auto more = [&] {
        char bytes[8192];
        const auto size = ::recv(socket, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return std::nullopt;
        }
    }
    message out;
    std::size_t at = buffer.find("\r\n");
    out.first = buffer.substr(0, at);
    while (at < end) {
        const auto next = buffer.find("\r\n", at + 2);
        const std::string line = buffer.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.headers[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        at = next;
    }
    const auto length = out.headers.find("content-length");
    const std::size_t size = length == out.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < end + 4 + size) {
        if (!more()) {
            return std::nullopt;
        }
    }
    out.body = buffer.substr(end + 4, size);
    buffer.erase(0, end + 4 + size);
    return out;
}

}  // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 origin)
        .count();
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

record::record(const std::string& file) : out_(file) {}

void record::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(now_ms()) / 1'000);
    out_ << time << text << std::endl;
    std::cout << time << text << std::endl;
}

struct http_server::state {
    handler handle;
    std::mutex mutex;
    std::set<int> sockets;
    int listener = -1;
    bool is_closed = false;
};

http_server::http_server(address at, handler handle) : state_(std::make_shared<state>()) {
    state_->handle = std::move(handle);
    state_->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(state_->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto local = to_sockaddr(at);
    if (::bind(state_->listener, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) != 0 ||
        ::listen(state_->listener, 256) != 0) {
        std::cerr << "cannot listen on " << at.text() << "\n";
        std::exit(2);
    }
    accepting_ = std::thread([shared = state_] {
        for (;;) {
            const int socket = ::accept4(shared->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(shared->mutex);
                if (shared->is_closed) {
                    reset_on_close(socket);
                    ::close(socket);
                    return;
                }
                shared->sockets.insert(socket);
            }
            std::thread([shared, socket] {
                std::string buffer;
                while (auto in = read_message(socket, buffer)) {
                    request parsed;
                    const auto space = in->first.find(' ');
                    parsed.method = in->first.substr(0, space);
                    std::string target =
                        in->first.substr(space + 1, in->first.find(' ', space + 1) - space - 1);
                    const auto mark = target.find('?');
                    parsed.path = target.substr(0, mark);
                    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
                    while (!rest.empty()) {
                        const auto end = std::min(rest.find('&'), rest.size());
                        const auto pair = rest.substr(0, end);
                        const auto equals = pair.find('=');
                        if (equals != std::string::npos) {
                            parsed.query[pair.substr(0, equals)] =
                                unescape(pair.substr(equals + 1));
                        }
                        rest.erase(0, std::min(end + 1, rest.size()));
                    }
                    parsed.headers = std::move(in->headers);
                    parsed.body = std::move(in->body);
                    const auto out = shared->handle(parsed);
                    if (out.status == 0) {
                        continue;
                    }
                    if (!send_all(socket,
                                  "HTTP/1.1 " + std::to_string(out.status) +
                                      " .\r\nContent-Type: application/json\r\nContent-Length: " +
                                      std::to_string(out.body.size()) + "\r\n\r\n" + out.body)) {
                        break;
                    }
                }
                const std::lock_guard lock(shared->mutex);
                shared->sockets.erase(socket);
                ::close(socket);
            }).detach();
        }
    });
}

void http_server::close_listener() {
    if (accepting_.joinable()) {
        ::shutdown(state_->listener, SHUT_RDWR);
        accepting_.join();
        ::close(state_->listener);
    }
}

http_server::~http_server() {
    {
        const std::lock_guard lock(state_->mutex);
        state_->is_closed = true;
        for (const int socket : state_->sockets) {
            reset_on_close(socket);
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    close_listener();
}

std::optional<response> call(const address& peer, const std::string& method,
                             const std::string& path, const std::string& body,
                             const std::map<std::string, std::string>& headers,
                             std::int64_t timeout_ms) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / 1'000, (timeout_ms % 1'000) * 1'000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const auto remote = to_sockaddr(peer);
    std::optional<response> out;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote)) == 0) {
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        if (headers.count("Host") == 0) {
            text += "Host: " + peer.text() + "\r\n";
        }
        for (const auto& [name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        if (!body.empty()) {
            text += "Content-Type: application/json\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::string buffer;
        if (send_all(socket, text)) {
            if (const auto in = read_message(socket, buffer)) {
                out = response{std::stoi(in->first.substr(in->first.find(' ') + 1)), in->body};
            }
        }
    }
    ::close(socket);
    return out;
}

}  // namespace standin
