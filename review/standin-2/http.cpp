#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t read_size = 65'536;
constexpr int ms_per_s = 1'000;
constexpr int us_per_ms = 1'000;

sockaddr_in loopback_address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void set_no_delay(int connection) {
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool send_all(int connection, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads more bytes into the buffer; false at the end of the stream or after a failure.
bool receive(int connection, std::string& buffer) {
    std::array<char, read_size> bytes{};
    const auto count = recv(connection, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

// Takes the next message out of the stream. Its body has a Content-Length, or none.
std::optional<message> read_message(int connection, std::string& buffer) {
    std::size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(connection, buffer)) {
            return std::nullopt;
        }
    }
    message found;
    std::istringstream head(buffer.substr(0, head_end));
    buffer.erase(0, head_end + 4);
    std::string line;
    std::getline(head, found.first_line);
    while (std::getline(head, line)) {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r ");
        found.headers[name] =
            begin == std::string::npos || end < begin ? "" : line.substr(begin, end - begin + 1);
    }
    const auto length = found.headers.find("content-length");
    const std::size_t size = length == found.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!receive(connection, buffer)) {
            return std::nullopt;
        }
    }
    found.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return found;
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

http_request to_request(message&& from) {
    http_request request;
    std::istringstream words(from.first_line);
    std::string target;
    words >> request.method >> target;
    const auto query = target.find('?');
    request.path = target.substr(0, query);
    std::istringstream pairs(query == std::string::npos ? "" : target.substr(query + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const auto equals = pair.find('=');
        request.parameters[pair.substr(0, equals)] =
            equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
    }
    request.headers = std::move(from.headers);
    request.body = std::move(from.body);
    return request;
}

std::string value_of(const std::map<std::string, std::string>& in, const std::string& name) {
    const auto found = in.find(name);
    return found == in.end() ? "" : found->second;
}

}  // namespace

std::string http_request::parameter(const std::string& name) const {
    return value_of(parameters, name);
}

std::string http_request::header(const std::string& name) const {
    return value_of(headers, name);
}

http_server::http_server(int port, handler serve)
    : serve_(std::move(serve)), listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback_address(port);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(listener_, listen_backlog) != 0) {
        close(listener_);
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    thread_ = std::thread([this] { accept_all(); });
}

http_server::~http_server() {
    {
        const std::lock_guard lock(mutex_);
        is_closing_ = true;
        shutdown(listener_, SHUT_RDWR);
        for (const int each : connections_) {
            shutdown(each, SHUT_RDWR);
        }
    }
    thread_.join();
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [&] { return connections_.empty(); });
    close(listener_);
}

void http_server::accept_all() {
    for (;;) {
        const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(mutex_);
        if (is_closing_) {
            if (connection >= 0) {
                close(connection);
            }
            return;
        }
        if (connection >= 0) {
            set_no_delay(connection);
            connections_.insert(connection);
            std::thread([this, connection] { serve_connection(connection); }).detach();
        }
    }
}

void http_server::serve_connection(int connection) {
    std::string buffer;
    while (auto received = read_message(connection, buffer)) {
        http_response response;
        try {
            response = serve_(to_request(std::move(*received)));
        } catch (const std::exception&) {
            response = {400, ""};
        }
        const std::string head = "HTTP/1.1 " + std::to_string(response.status) +
                                 " -\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(response.body.size()) + "\r\n\r\n";
        if (!send_all(connection, head + response.body)) {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
    close(connection);
    idle_.notify_all();
}

std::optional<http_response> send_http(int port, const std::string& method,
                                       const std::string& target,
                                       const std::map<std::string, std::string>& headers,
                                       const std::string& body, int timeout_ms) {
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout_ms / ms_per_s, (timeout_ms % ms_per_s) * us_per_ms};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    set_no_delay(connection);
    const auto address = loopback_address(port);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text +=
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<message> received;
    std::string buffer;
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
        send_all(connection, text)) {
        received = read_message(connection, buffer);
    }
    close(connection);
    std::istringstream words(received ? received->first_line : "");
    std::string version;
    http_response response;
    if (!(words >> version >> response.status)) {
        return std::nullopt;
    }
    response.body = std::move(received->body);
    return response;
}

}  // namespace review
