#include "standin_server.hpp"

#include <csignal>
#include <deque>
#include <mutex>
#include <vector>

namespace tanagerpaddle::standin {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many = 429;
constexpr int status_internal = 500;
constexpr int status_unavailable = 503;

constexpr std::size_t max_requests_per_connection = 100'000'000;
constexpr std::size_t max_body_bytes = 64U << 20U;
// Threads that answer connections beyond the limit.
constexpr std::size_t overflow_threads = 2;

thread_local bool is_overflow_thread = false;

// Gives each connection its own thread, made on demand, up to a limit; those beyond it go to a few
// threads that answer 503. httplib::ThreadPool would leave them waiting without an answer.
class connection_threads final : public httplib::TaskQueue {
public:
    explicit connection_threads(std::size_t limit) : limit_(limit) {}

    void enqueue(std::function<void()> serve) override {
        {
            const std::lock_guard lock(mutex_);
            const bool is_within = regular_.open < limit_;
            lane& chosen = is_within ? regular_ : overflow_;
            ++chosen.open;
            chosen.waiting.push_back(std::move(serve));
            const std::size_t most = is_within ? limit_ : overflow_threads;
            if (chosen.threads < most && chosen.threads < chosen.open) {
                ++chosen.threads;
                threads_.emplace_back([this, &chosen, is_within] { run(chosen, !is_within); });
            }
        }
        changed_.notify_all();
    }

    void shutdown() override {
        {
            const std::lock_guard lock(mutex_);
            is_shut_down_ = true;
        }
        changed_.notify_all();
        for (auto& thread : threads_) {
            thread.join();
        }
    }

private:
    struct lane {
        std::deque<std::function<void()>> waiting;
        std::size_t open = 0;
        std::size_t threads = 0;
    };

    void run(lane& served, bool is_overflow) {
        is_overflow_thread = is_overflow;
        std::unique_lock lock(mutex_);
        while (true) {
            changed_.wait(lock, [&] { return is_shut_down_ || !served.waiting.empty(); });
            if (served.waiting.empty()) {
                return;
            }
            const auto serve = std::move(served.waiting.front());
            served.waiting.pop_front();
            lock.unlock();
            serve();
            lock.lock();
            --served.open;
        }
    }

    std::size_t limit_;
    std::mutex mutex_;
    std::condition_variable changed_;
    lane regular_;
    lane overflow_;
    std::vector<std::thread> threads_;
    bool is_shut_down_ = false;
};

int status_of(result_code code) {
    switch (code) {
        case result_code::store_unavailable:
        case result_code::too_many_connections:
            return status_unavailable;
        case result_code::overloaded:
            return status_too_many;
        case result_code::unknown_job:
            return status_not_found;
        case result_code::malformed_request:
            return status_bad_request;
        case result_code::internal_error:
            return status_internal;
        default:
            return status_conflict;
    }
}

// SO_REUSEPORT, which cpp-httplib sets by default, would let two stand-ins share a port unnoticed.
void set_listen_options(socket_t socket) {
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

}  // namespace

server::server(const server_options& options) {
    http_.set_tcp_nodelay(true);
    http_.set_socket_options(set_listen_options);
    http_.set_keep_alive_timeout(options.idle_timeout.count());
    http_.set_keep_alive_max_count(max_requests_per_connection);
    http_.set_payload_max_length(max_body_bytes);
    const std::size_t limit = options.connections;
    http_.new_task_queue = [limit] { return new connection_threads(limit); };
    http_.set_pre_routing_handler([](const httplib::Request&, httplib::Response& response) {
        if (!is_overflow_thread) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        response.set_header("Connection", "close");
        answer_error(response, error(result_code::too_many_connections, "too many connections"));
        return httplib::Server::HandlerResponse::Handled;
    });
    int port = options.port;
    if (port == 0) {
        port = http_.bind_to_any_port(options.address);
    } else if (!http_.bind_to_port(options.address, port)) {
        port = -1;
    }
    if (port <= 0) {
        throw error(result_code::internal_error,
                    "cannot listen on " + options.address + ":" + std::to_string(options.port));
    }
    port_ = static_cast<std::uint16_t>(port);
}

server::~server() {
    stop();
    if (listener_.joinable()) {
        listener_.join();
    }
}

void server::add_route(const std::string& method, const std::string& pattern, handler handle) {
    auto counted = [this, handle = std::move(handle)](const httplib::Request& request,
                                                      httplib::Response& response) {
        ++running_handlers_;
        try {
            handle(request, response);
        } catch (const error& failure) {
            answer_error(response, failure);
        } catch (const json::exception& failure) {
            answer_error(response, error(result_code::malformed_request, failure.what()));
        } catch (const std::exception& failure) {
            answer_error(response, error(result_code::internal_error, failure.what()));
        }
        --running_handlers_;
    };
    if (method == "GET") {
        http_.Get(pattern, std::move(counted));
    } else if (method == "PUT") {
        http_.Put(pattern, std::move(counted));
    } else if (method == "DELETE") {
        http_.Delete(pattern, std::move(counted));
    } else {
        http_.Post(pattern, std::move(counted));
    }
}

void server::add_json_route(const std::string& path, json_handler handle) {
    add_route(
        "POST", path,
        [handle = std::move(handle)](const httplib::Request& request, httplib::Response& response) {
            const json message = request.body.empty() ? json::object() : json::parse(request.body);
            answer_json(response, status_ok, handle(message));
        });
}

void server::start() {
    listener_ = std::thread([this] { http_.listen_after_bind(); });
    while (!http_.is_running()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

void server::stop() {
    http_.stop();
}

bool server::wait_until_idle(milliseconds limit) const {
    // The answer is written after the handler returned; loopback needs far less than this.
    constexpr milliseconds write_time{50};
    const auto until = std::chrono::steady_clock::now() + limit;
    while (running_handlers_ > 0) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(write_time);
    return true;
}

void answer_json(httplib::Response& response, int status, const json& body) {
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

void answer_error(httplib::Response& response, const error& failure) {
    json body{{"code", static_cast<int>(failure.code())}, {"message", failure.what()}};
    response.status = status_of(failure.code());
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                         "application/json");
}

void drop_connection(httplib::Response& response) {
    answer_truncated(response, "-", 0);
}

void answer_truncated(httplib::Response& response, const std::string& body, std::size_t bytes) {
    response.body.clear();
    response.status = status_ok;
    response.set_content_provider(
        body.size(), "application/octet-stream",
        [body, bytes](std::size_t offset, std::size_t, httplib::DataSink& sink) {
            if (offset >= bytes) {
                return false;
            }
            return sink.write(body.data() + offset, bytes - offset);
        });
}

namespace {
sigset_t termination_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}
}  // namespace

void block_termination() {
    const sigset_t signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A client that closes its connection early must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_termination() {
    const sigset_t signals = termination_signals();
    int received = 0;
    sigwait(&signals, &received);
}

}  // namespace tanagerpaddle::standin
