#include <httplib.h>
#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <thread>

#include "refused_connections.hpp"
#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

namespace {

// Connections in the kernel's queue; cpp-httplib asks for 5, which a burst of callers exceeds.
constexpr int listen_backlog = 1'024;

// True while a connection beyond the bound is passed on to be refused.
thread_local bool is_refusing = false;

// One thread for each connection up to the bound, started when first needed. Connections beyond it
// are refused at once, however long the served ones last.
class bounded_connections final : public httplib::TaskQueue {
public:
    bounded_connections(std::size_t bound, std::atomic<std::uint64_t>& refused)
        : bound_(bound), refused_(refused) {}

    void enqueue(std::function<void()> serve) override {
        std::unique_lock lock(mutex_);
        if (open_ >= bound_) {
            lock.unlock();
            refused_.fetch_add(1, std::memory_order_relaxed);
            is_refusing = true;
            serve();
            is_refusing = false;
            return;
        }
        ++open_;
        if (threads_.size() < open_) {
            threads_.emplace_back([this] { run(); });
        }
        waiting_.push_back([this, serve = std::move(serve)] {
            serve();
            const std::lock_guard guard(mutex_);
            --open_;
        });
        changed_.notify_one();
    }

    void shutdown() override {
        {
            const std::lock_guard lock(mutex_);
            is_stopping_ = true;
        }
        changed_.notify_all();
        for (auto& thread : threads_) {
            thread.join();
        }
    }

private:
    void run() {
        std::unique_lock lock(mutex_);
        while (true) {
            changed_.wait(lock, [&] { return !waiting_.empty() || is_stopping_; });
            if (waiting_.empty()) {
                return;
            }
            const auto serve = std::move(waiting_.front());
            waiting_.pop_front();
            lock.unlock();
            serve();
            lock.lock();
        }
    }

    std::size_t bound_;
    std::atomic<std::uint64_t>& refused_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> waiting_;
    std::size_t open_ = 0;
    bool is_stopping_ = false;
    std::vector<std::thread> threads_;
};

// A connection as cpp-httplib's requests and responses use it. The library's own stream class is
// not part of its header, and a server that replaces process_and_close_socket needs one.
class connection_stream final : public httplib::Stream {
public:
    connection_stream(socket_t connection, milliseconds read_timeout)
        : socket_(connection), read_timeout_(read_timeout) {}

    [[nodiscard]] bool is_readable() const override { return wait_for(POLLIN, read_timeout_); }
    [[nodiscard]] bool is_writable() const override { return wait_for(POLLOUT, read_timeout_); }
    // True if a byte or the end of the connection can be read within `limit`.
    [[nodiscard]] bool wait_for_input(milliseconds limit) const {
        return position_ < filled_ || wait_for(POLLIN, limit);
    }

    ssize_t read(char* to, std::size_t size) override {
        // The library reads headers byte by byte.
        if (position_ == filled_) {
            if (!is_readable()) {
                return -1;
            }
            const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
            if (received <= 0) {
                return received;
            }
            position_ = 0;
            filled_ = static_cast<std::size_t>(received);
        }
        const std::size_t count = std::min(size, filled_ - position_);
        std::memcpy(to, buffer_.data() + position_, count);
        position_ += count;
        return static_cast<ssize_t>(count);
    }

    ssize_t write(const char* from, std::size_t size) override {
        return is_writable() ? ::send(socket_, from, size, MSG_NOSIGNAL) : -1;
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override {
        read_address(::getpeername, ip, port);
    }
    void get_local_ip_and_port(std::string& ip, int& port) const override {
        read_address(::getsockname, ip, port);
    }

    [[nodiscard]] socket_t socket() const override { return socket_; }

private:
    using name_function = int (*)(int, sockaddr*, socklen_t*);

    void read_address(name_function read_name, std::string& ip, int& port) const {
        sockaddr_storage address{};
        socklen_t length = sizeof address;
        std::array<char, NI_MAXHOST> host{};
        std::array<char, NI_MAXSERV> service{};
        // The socket interface takes any address family through this type.
        auto* const generic = reinterpret_cast<sockaddr*>(&address);  // NOLINT
        if (read_name(socket_, generic, &length) == 0 &&
            ::getnameinfo(generic, length, host.data(), host.size(), service.data(), service.size(),
                          NI_NUMERICHOST | NI_NUMERICSERV) == 0) {
            ip = host.data();
            port = std::atoi(service.data());
        }
    }

    [[nodiscard]] bool wait_for(short events, milliseconds limit) const {
        pollfd wanted{socket_, events, 0};
        return ::poll(&wanted, 1, static_cast<int>(limit.count())) > 0;
    }

    socket_t socket_;
    milliseconds read_timeout_;
    std::array<char, 4096> buffer_{};
    std::size_t position_ = 0;
    std::size_t filled_ = 0;
};

class refusing_server final : public httplib::Server {
public:
    explicit refusing_server(const http_server_options& options)
        : idle_timeout_(std::chrono::seconds(options.idle_s)),
          read_timeout_(std::chrono::seconds(options.read_s)) {
        new_task_queue = [this, bound = options.connections] {
            return new bounded_connections(bound, refused_);
        };
    }

    void widen_backlog() { ::listen(svr_sock_, listen_backlog); }
    void set_draining() noexcept { is_draining_.store(true); }
    [[nodiscard]] std::uint64_t refused() const noexcept { return refused_.load(); }

private:
    bool process_and_close_socket(socket_t sock) override;
    // Answers requests until the connection is idle too long, closed or asked to close.
    void serve(socket_t sock);

    milliseconds idle_timeout_;
    milliseconds read_timeout_;
    system_clock time_;
    std::atomic<bool> is_draining_{false};
    std::atomic<std::uint64_t> refused_{0};
    refused_connections refusals_;
};

void refusing_server::serve(socket_t sock) {
    constexpr milliseconds poll_interval(100);
    connection_stream stream(sock, read_timeout_);
    bool is_closed = false;
    deadline idle_limit = deadline::after(time_.now(), idle_timeout_);
    while (!is_closed && svr_sock_ != INVALID_SOCKET && !idle_limit.has_passed(time_.now())) {
        if (!stream.wait_for_input(poll_interval)) {
            continue;
        }
        const bool is_last = is_draining_.load(std::memory_order_relaxed);
        if (!process_request(stream, is_last, is_closed, nullptr) || is_last) {
            break;
        }
        idle_limit = deadline::after(time_.now(), idle_timeout_);
    }
    ::shutdown(sock, SHUT_RDWR);
    ::close(sock);
}

bool refusing_server::process_and_close_socket(socket_t sock) {
    if (is_refusing) {
        refusals_.add(sock);
    } else {
        serve(sock);
    }
    return true;
}

http_request to_request(const httplib::Request& from) {
    http_request request;
    request.method = from.method;
    request.path = from.path;
    request.body = from.body;
    request.peer = from.remote_addr;
    request.parameters = from.params;
    for (std::size_t i = 1; i < from.matches.size(); ++i) {
        request.captures.push_back(from.matches[i].str());
    }
    for (const auto& [name, value] : from.headers) {
        request.headers.push_back({name, value});
    }
    return request;
}

void fill(httplib::Response& to, const http_response& from) {
    to.status = from.status;
    for (const auto& item : from.headers) {
        to.set_header(item.name, item.value);
    }
    to.set_content(from.body, from.content_type.c_str());
}

http_response run_handler(const http_server::handler& handle, const http_request& request) {
    try {
        return handle(request);
    } catch (const error& failure) {
        return error_response(failure.code(), failure.what());
    } catch (const std::exception& failure) {
        return error_response(result_code::internal_error, failure.what());
    }
}

// cpp-httplib answers these statuses by itself, with an empty body.
result_code code_of_library_status(int status) {
    if (status == 413) {
        return result_code::body_too_large;
    }
    return result_code::malformed_request;
}

}  // namespace

class http_server::implementation {
public:
    explicit implementation(const http_server_options& options)
        : options_(options), server_(options) {
        server_.set_tcp_nodelay(true);
        server_.set_payload_max_length(options.max_body_bytes);
        server_.set_error_handler(httplib::Server::HandlerWithResponse(
            [](const httplib::Request&, httplib::Response& response) {
                if (response.body.empty()) {
                    const int status = response.status;
                    fill(response,
                         error_response(code_of_library_status(status),
                                        "refused with HTTP status " + std::to_string(status)));
                    response.status = status;
                }
                return httplib::Server::HandlerResponse::Handled;
            }));
    }

    void route(const std::string& method, const std::string& pattern, handler handle) {
        auto serve = [handle = std::move(handle)](const httplib::Request& request,
                                                  httplib::Response& response) {
            fill(response, run_handler(handle, to_request(request)));
        };
        if (method == "GET") {
            server_.Get(pattern, serve);
        } else if (method == "PUT") {
            server_.Put(pattern, serve);
        } else if (method == "DELETE") {
            server_.Delete(pattern, serve);
        } else {
            server_.Post(pattern, serve);
        }
    }

    std::uint16_t bind() {
        if (port_ != 0) {
            return port_;
        }
        const std::string& address = options_.listen.address;
        if (options_.listen.port == 0) {
            const int port = server_.bind_to_any_port(address);
            port_ = static_cast<std::uint16_t>(port < 0 ? 0 : port);
        } else if (server_.bind_to_port(address, options_.listen.port)) {
            port_ = options_.listen.port;
        }
        if (port_ == 0) {
            throw error(result_code::internal_error,
                        "cannot listen on " + to_string(options_.listen));
        }
        server_.widen_backlog();
        return port_;
    }

    void start() {
        (void)bind();
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running()) {
            std::this_thread::yield();
        }
    }

    void stop() {
        if (thread_.joinable()) {
            server_.stop();
            thread_.join();
        }
    }

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
    void set_draining() noexcept { server_.set_draining(); }
    [[nodiscard]] std::uint64_t refused() const noexcept { return server_.refused(); }

private:
    http_server_options options_;
    refusing_server server_;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

http_server::http_server(const http_server_options& options)
    : implementation_(std::make_unique<implementation>(options)) {}

http_server::~http_server() {
    stop();
}

void http_server::route(const std::string& method, const std::string& pattern, handler handle) {
    implementation_->route(method, pattern, std::move(handle));
}

std::uint16_t http_server::bind() {
    return implementation_->bind();
}
void http_server::start() {
    implementation_->start();
}
std::uint16_t http_server::port() const noexcept {
    return implementation_->port();
}
void http_server::set_draining() noexcept {
    implementation_->set_draining();
}
void http_server::stop() {
    implementation_->stop();
}

std::uint64_t http_server::refused_connections() const noexcept {
    return implementation_->refused();
}

}  // namespace tanagerpaddle
