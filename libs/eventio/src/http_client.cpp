#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>

#include "http_body.hpp"
#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Idle connections are not reused after this time, since the peer may have closed them.
constexpr milliseconds max_idle_time{8'000};
constexpr std::size_t max_response_body_bytes = 16U << 20U;
// As for requests: bounds the header, and with the read buffer also trailers and the extensions of
// a chunk.
constexpr std::uint32_t max_response_header_bytes = 16'384;
// Bodies pass through the buffer; beyond this size larger reads save no more calls.
constexpr std::size_t max_read_buffer_bytes = 65'536;

struct pending_call {
    http_call request;
    deadline expires_at;
    http_callback done;
};

class client_connection;

}  // namespace

struct http_client::state : std::enable_shared_from_this<http_client::state> {
    state(event_loop& loop, endpoint peer_endpoint, std::size_t connection_limit)
        : io_loop(loop),
          context(loop.internals().context),
          peer(std::move(peer_endpoint)),
          max_connections(connection_limit) {}

    void start_waiting_calls();
    void expire_waiting_calls();
    void fail_unsent(std::vector<pending_call> calls);

    event_loop& io_loop;
    asio::io_context& context;
    endpoint peer;
    std::size_t max_connections;
    system_clock time;
    std::size_t connection_count = 0;
    std::vector<std::shared_ptr<client_connection>> idle_connections;
    std::deque<pending_call> waiting_calls;
};

namespace {

class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    explicit client_connection(const std::shared_ptr<http_client::state>& client)
        : client_(client), stream_(client->context) {
        ++client->connection_count;
    }
    ~client_connection() {
        if (const auto client = client_.lock()) {
            --client->connection_count;
        }
    }
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    [[nodiscard]] bool is_reusable(instant now) {
        if (now - idle_since_ > max_idle_time) {
            return false;
        }
        // An idle connection is readable only if the peer has closed it.
        error_code failure;
        stream_.socket().non_blocking(true, failure);
        char byte = 0;
        stream_.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure == asio::error::would_block;
    }

    void start(pending_call call) {
        call_ = std::move(call);
        stream_.expires_after(call_->expires_at.remaining(time_.now()));
        if (is_connected_) {
            write();
            return;
        }
        const auto client = client_.lock();
        stream_.async_connect(
            to_asio(client->peer), [self = shared_from_this()](error_code failure) {
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
        const auto client = client_.lock();
        request_.set(http::field::host, client ? to_string(client->peer) : "");
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
                                  self->fail(failure);
                                  return;
                              }
                              self->read();
                          });
    }

    void read() {
        parser_.emplace();
        parser_->header_limit(max_response_header_bytes);
        parser_->body_limit(max_response_body_bytes);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](error_code failure, std::size_t) {
                             if (failure) {
                                 self->fail(failure);
                                 return;
                             }
                             const bool is_keep_alive = self->parser_->keep_alive();
                             auto message = self->parser_->release();
                             http_result result;
                             result.outcome = call_outcome::answered;
                             result.status = static_cast<int>(message.result_int());
                             result.body = std::move(message.body());
                             self->finish(result, is_keep_alive);
                         });
    }

    void fail(error_code failure) {
        http_result result;
        result.was_connection_lost = failure != beast::error::timeout;
        finish(result, false);
    }

    void finish(const http_result& result, bool is_keep_alive) {
        const auto call = std::move(call_);
        call_.reset();
        stream_.expires_never();
        const auto client = client_.lock();
        if (is_keep_alive && client) {
            idle_since_ = time_.now();
            client->idle_connections.push_back(shared_from_this());
        } else {
            stream_.close();
        }
        if (client) {
            // Posted first, so that waiting calls start even if the callback throws.
            client->io_loop.post([weak = client_] {
                if (const auto locked_client = weak.lock()) {
                    locked_client->start_waiting_calls();
                }
            });
        }
        call->done(result);
    }

    std::weak_ptr<http_client::state> client_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{max_read_buffer_bytes};
    std::optional<http::response_parser<arriving_body>> parser_;
    http::request<http::string_body> request_;
    std::optional<pending_call> call_;
    system_clock time_;
    instant idle_since_;
    bool is_connected_ = false;
};

}  // namespace

void http_client::state::expire_waiting_calls() {
    const instant now = time.now();
    const auto first_expired = std::stable_partition(
        waiting_calls.begin(), waiting_calls.end(),
        [&](const pending_call& call) { return !call.expires_at.has_passed(now); });
    std::vector<pending_call> expired(std::make_move_iterator(first_expired),
                                      std::make_move_iterator(waiting_calls.end()));
    waiting_calls.erase(first_expired, waiting_calls.end());
    fail_unsent(std::move(expired));
}

// Completes calls that no connection has taken. Each in a callback of its own: the caller may be
// inside call(), and may add or destroy calls in `done`.
void http_client::state::fail_unsent(std::vector<pending_call> calls) {
    for (auto& call : calls) {
        io_loop.post([done = std::move(call.done)] {
            http_result result;
            result.outcome = call_outcome::not_sent;
            done(result);
        });
    }
}

void http_client::state::start_waiting_calls() {
    expire_waiting_calls();
    while (!waiting_calls.empty()) {
        std::shared_ptr<client_connection> connection;
        while (!idle_connections.empty() && !connection) {
            connection = idle_connections.back();
            idle_connections.pop_back();
            if (!connection->is_reusable(time.now())) {
                connection.reset();
            }
        }
        if (!connection) {
            if (connection_count >= max_connections) {
                return;
            }
            connection = std::make_shared<client_connection>(shared_from_this());
        }
        auto call = std::move(waiting_calls.front());
        waiting_calls.pop_front();
        connection->start(std::move(call));
    }
}

http_client::http_client(event_loop& loop, endpoint peer, std::size_t max_connections)
    : state_(std::make_shared<state>(loop, std::move(peer), max_connections)) {}

http_client::~http_client() {
    state_->idle_connections.clear();
    state_->fail_unsent({std::make_move_iterator(state_->waiting_calls.begin()),
                         std::make_move_iterator(state_->waiting_calls.end())});
    state_->waiting_calls.clear();
}

void http_client::call(http_call request, milliseconds call_timeout, http_callback done) {
    state_->waiting_calls.push_back(
        {std::move(request), deadline::after(state_->time.now(), call_timeout), std::move(done)});
    state_->start_waiting_calls();
    if (!state_->waiting_calls.empty()) {
        state_->io_loop.after(call_timeout, [weak = std::weak_ptr(state_)] {
            if (const auto locked_client = weak.lock()) {
                locked_client->expire_waiting_calls();
            }
        });
    }
}

}  // namespace tanagerpaddle::eventio
