#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>

#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Kept connections are not reused after this time, since the peer may have closed them.
constexpr milliseconds longest_idle{8'000};
constexpr std::size_t largest_answer = 16U << 20U;

struct pending_call {
    http_call request;
    deadline until;
    http_callback done;
};

class client_connection;

}  // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    state(event_loop& loop, endpoint to, std::size_t most)
        : owner(loop),
          context(loop.internals().context),
          peer(std::move(to)),
          max_connections(most) {}

    void dispatch();
    void expire_waiting();

    event_loop& owner;
    asio::io_context& context;
    endpoint peer;
    std::size_t max_connections;
    system_clock time;
    std::size_t connections = 0;
    std::vector<std::shared_ptr<client_connection>> idle;
    std::deque<pending_call> waiting;
};

namespace {

class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    explicit client_connection(const std::shared_ptr<http_client::state>& owner)
        : owner_(owner), stream_(owner->context) {
        ++owner->connections;
    }
    ~client_connection() {
        if (const auto owner = owner_.lock()) {
            --owner->connections;
        }
    }
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    [[nodiscard]] bool is_reusable(instant now) {
        if (now - idle_since_ > longest_idle) {
            return false;
        }
        // A readable idle connection has been closed by the peer.
        error_code failure;
        stream_.socket().non_blocking(true, failure);
        char byte = 0;
        stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure == asio::error::would_block;
    }

    void start(pending_call call) {
        call_ = std::move(call);
        stream_.expires_after(call_->until.remaining(time_.now()));
        if (is_connected_) {
            write();
            return;
        }
        const auto owner = owner_.lock();
        stream_.async_connect(
            to_asio(owner->peer), [self = shared_from_this()](error_code failure) {
                if (failure) {
                    http_result result;
                    result.outcome = call_outcome::not_sent;
                    result.was_connection_refused = failure == asio::error::connection_refused;
                    self->finish(result, false);
                    return;
                }
                self->is_connected_ = true;
                set_connection_options(self->stream_.socket());
                self->write();
            });
    }

private:
    void write() {
        request_ = {};
        request_.version(11);
        request_.method_string(call_->request.method);
        request_.target(call_->request.target);
        const auto owner = owner_.lock();
        request_.set(http::field::host, owner ? to_string(owner->peer) : "");
        for (const auto& [name, value] : call_->request.headers) {
            request_.set(name, value);
        }
        if (!call_->request.body.empty()) {
            request_.set(http::field::content_type, "application/json");
        }
        request_.body() = std::move(call_->request.body);
        request_.prepare_payload();
        http::async_write(stream_, request_,
                          [self = shared_from_this()](error_code failure, std::size_t) {
                              if (failure) {
                                  self->finish({}, false);
                                  return;
                              }
                              self->read();
                          });
    }

    void read() {
        parser_.emplace();
        parser_->body_limit(largest_answer);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](error_code failure, std::size_t) {
                             if (failure) {
                                 self->finish({}, false);
                                 return;
                             }
                             const bool keeps = self->parser_->keep_alive();
                             auto message = self->parser_->release();
                             http_result result;
                             result.outcome = call_outcome::answered;
                             result.status = static_cast<int>(message.result_int());
                             result.body = std::move(message.body());
                             self->finish(result, keeps);
                         });
    }

    void finish(const http_result& result, bool keeps) {
        const auto call = std::move(call_);
        call_.reset();
        stream_.expires_never();
        const auto owner = owner_.lock();
        if (keeps && owner) {
            idle_since_ = time_.now();
            owner->idle.push_back(shared_from_this());
        } else {
            stream_.close();
        }
        call->done(result);
        if (owner) {
            owner->owner.post([weak = owner_] {
                if (const auto alive = weak.lock()) {
                    alive->dispatch();
                }
            });
        }
    }

    std::weak_ptr<http_client::state> owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    http::request<http::string_body> request_;
    std::optional<pending_call> call_;
    system_clock time_;
    instant idle_since_;
    bool is_connected_ = false;
};

}  // namespace

void http_client::state::expire_waiting() {
    const instant now = time.now();
    while (!waiting.empty() && waiting.front().until.has_passed(now)) {
        const auto call = std::move(waiting.front());
        waiting.pop_front();
        http_result result;
        result.outcome = call_outcome::not_sent;
        call.done(result);
    }
}

void http_client::state::dispatch() {
    expire_waiting();
    while (!waiting.empty()) {
        std::shared_ptr<client_connection> connection;
        while (!idle.empty() && !connection) {
            connection = idle.back();
            idle.pop_back();
            if (!connection->is_reusable(time.now())) {
                connection.reset();
            }
        }
        if (!connection) {
            if (connections >= max_connections) {
                return;
            }
            connection = std::make_shared<client_connection>(shared_from_this());
        }
        auto call = std::move(waiting.front());
        waiting.pop_front();
        connection->start(std::move(call));
    }
}

http_client::http_client(event_loop& loop, endpoint peer, std::size_t max_connections)
    : state_(std::make_shared<state>(loop, std::move(peer), max_connections)) {}

http_client::~http_client() {
    state_->idle.clear();
}

void http_client::call(http_call request, milliseconds limit, http_callback done) {
    state_->waiting.push_back(
        {std::move(request), deadline::after(state_->time.now(), limit), std::move(done)});
    state_->dispatch();
    if (!state_->waiting.empty()) {
        state_->owner.after(limit, [weak = std::weak_ptr(state_)] {
            if (const auto alive = weak.lock()) {
                alive->expire_waiting();
            }
        });
    }
}

}  // namespace tanagerpaddle::eventio
