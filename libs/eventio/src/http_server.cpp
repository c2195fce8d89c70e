#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

#include "http_body.hpp"
#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace beast = boost::beast;
namespace http = beast::http;

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(event_loop& loop, http_server_options server_options, http_handler request_handler)
        : options(std::move(server_options)),
          handler(std::move(request_handler)),
          pool(loop.internals().make_pool(options.name, options.share, options.max_connections)),
          budget(loop.internals().request_budget) {}

    http_server_options options;
    http_handler handler;
    std::shared_ptr<connection_pool> pool;
    std::shared_ptr<byte_budget> budget;
    std::shared_ptr<accept_loop> accepting;
    system_clock time;
    std::size_t in_flight = 0;
    bool is_keep_alive_disabled = false;
};

namespace {

// How long a connection is kept open after its last response. Closing it while request bytes are
// still arriving resets it, and the caller sees a failed write in place of the response.
constexpr milliseconds linger_time{1'000};
constexpr std::size_t discard_size = 4'096;
// Taken at once while a connection waits or reads a body: most requests fit.
constexpr std::size_t read_size = 4'096;
// What a pipelined request may add to the longest header in the read buffer.
constexpr std::size_t pipelined_size = 4'096;
// Bytes on the wire for one byte of a body: one in a chunk of its own takes six.
constexpr std::size_t max_framing_factor = 8;
// Received but not yet read, and sent but not yet acknowledged, for each connection: a body of
// 262,144 bytes arrives in 8 round trips.
constexpr int socket_buffer_bytes = 32'768;
// For a request that was refused because others hold the memory: a body has arrived or is given up
// after some seconds.
constexpr int retry_after_seconds = 1;

milliseconds parse_timeout(std::string_view text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data(), end, value);
    return failure == std::errc() && last == end && value > 0 ? milliseconds(value)
                                                              : milliseconds(0);
}

http_response refusal() {
    return {503, {}, {{"Retry-After", std::to_string(retry_after_seconds)}}};
}

}  // namespace

// An accepted connection. Reads a request, waits for the handler's response, writes it, and
// repeats.
template <class State>
class server_connection : public std::enable_shared_from_this<server_connection<State>> {
public:
    server_connection(std::shared_ptr<State> server, tcp::socket socket)
        : server_(std::move(server)),
          stream_(std::move(socket)),
          buffer_(server_->options.max_header_bytes + pipelined_size) {
        set_connection_options(stream_.socket());
    }
    ~server_connection() {
        server_->pool->remove(number_);
        server_->budget->remove(holder_);
    }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    void start() {
        const auto weak = this->weak_from_this();
        number_ = server_->pool->add(server_->time.now(), [weak] {
            if (const auto self = weak.lock()) {
                self->stream_.close();
            }
        });
        holder_ = server_->budget->add([weak] {
            if (const auto self = weak.lock()) {
                self->release();
            }
        });
        wait();
    }

private:
    // Waits for the first byte of the next request.
    void wait() {
        parser_.reset();
        response_ = {};
        if (buffer_.size() > 0) {
            begin_request();
            return;
        }
        if (buffer_.capacity() > read_size) {
            buffer_ = beast::flat_buffer(buffer_.max_size());
        }
        enter(connection_phase::waiting);
        stream_.expires_after(server_->options.idle_timeout);
        stream_.async_read_some(
            buffer_.prepare(read_size),
            [self = this->shared_from_this()](error_code failure, std::size_t size) {
                if (!failure) {
                    self->buffer_.commit(size);
                    self->begin_request();
                }
            });
    }

    void begin_request() {
        enter(connection_phase::reading);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->options.max_header_bytes));
        parser_->body_limit(server_->options.max_body_bytes);
        body_bytes_on_wire_ = 0;
        stream_.expires_after(server_->options.header_timeout);
        http::async_read_header(stream_, buffer_, *parser_,
                                [self = this->shared_from_this()](error_code failure, std::size_t) {
                                    if (self->may_continue(failure)) {
                                        self->on_header();
                                    }
                                });
    }

    void on_header() {
        auto& message = parser_->get();
        request_ = {};
        request_.method = std::string(message.method_string());
        request_.target = std::string(message.target());
        request_.host = std::string(message[http::field::host]);
        if (!server_->options.timeout_header.empty()) {
            const auto value = message[server_->options.timeout_header];
            request_.timeout = parse_timeout(std::string_view(value.data(), value.size()));
        }
        // A header of 16 KiB can have 4,000 fields, which take 20 times its size in memory.
        message.clear();
        parser_->eager(true);
        stream_.expires_after(server_->options.body_timeout);
        if (!parser_->is_done()) {
            buffer_.reserve(std::max(buffer_.size(), read_size));
        }
        read_body();
    }

    void read_body() {
        if (parser_->is_done()) {
            on_request();
            return;
        }
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = this->shared_from_this()](error_code failure, std::size_t size) {
                self->body_bytes_on_wire_ += size;
                const auto limit = self->server_->options.max_body_bytes * max_framing_factor +
                                   self->server_->options.max_header_bytes;
                if (!failure && self->body_bytes_on_wire_ > limit) {
                    failure = http::error::body_limit;
                }
                if (self->may_continue(failure)) {
                    self->read_body();
                }
            });
    }

    // Accounts for what has been read. Answers and returns false if the request ends here.
    bool may_continue(error_code failure) {
        if (!failure) {
            hold(buffer_.capacity() + parser_->get().body().capacity(), true);
        }
        if (is_released_) {
            refuse(refusal());
            return false;
        }
        // The buffer overflows when trailers or the extensions of a chunk exceed the header limit.
        if (failure == http::error::body_limit || failure == http::error::header_limit ||
            failure == http::error::buffer_overflow) {
            refuse({413, {}, {}});
            return false;
        }
        // Otherwise the peer closed the connection, sent invalid HTTP or was too slow.
        return !failure;
    }

    void refuse(http_response response) {
        is_released_ = false;
        parser_.reset();
        buffer_ = beast::flat_buffer(buffer_.max_size());
        ++server_->in_flight;
        write(std::move(response), false);
    }

    void on_request() {
        stream_.expires_never();
        ++server_->in_flight;
        const bool is_keep_alive = parser_->keep_alive();
        auto request = std::move(request_);
        request.body = std::move(parser_->get().body());
        request.received_at = server_->time.now();
        parser_.reset();
        enter(connection_phase::handling);
        // Until the response is there: the handler may keep the body as long.
        hold(buffer_.capacity() + request.body.capacity(), false);
        auto has_responded = std::make_shared<bool>(false);
        server_->handler(std::move(request), [self = this->shared_from_this(), is_keep_alive,
                                              has_responded](http_response response) {
            if (!*has_responded) {
                *has_responded = true;
                self->write(std::move(response), is_keep_alive);
            }
        });
    }

    void write(http_response response, bool is_keep_alive) {
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(response.status));
        for (const auto& [name, value] : response.headers) {
            response_.set(name, value);
        }
        if (!response.body.empty()) {
            response_.set(http::field::content_type, "application/json");
        }
        response_.body() = std::move(response.body);
        response_.keep_alive(is_keep_alive && !server_->is_keep_alive_disabled);
        response_.prepare_payload();
        enter(connection_phase::writing);
        stream_.expires_after(server_->options.idle_timeout);
        http::async_write(stream_, response_,
                          [self = this->shared_from_this()](error_code failure, std::size_t) {
                              --self->server_->in_flight;
                              self->on_written(failure);
                          });
        // Last, since it may close the connection.
        hold(buffer_.capacity() + response_.body().capacity(), true);
    }

    void on_written(error_code failure) {
        if (failure) {
            return;
        }
        if (response_.need_eof()) {
            error_code ignored;  // the peer may have closed first
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            stream_.expires_after(linger_time);
            response_ = {};
            enter(connection_phase::waiting);
            discard_input();
            return;
        }
        wait();
    }

    // Reads until the peer closes the connection or the linger time is over.
    void discard_input() {
        buffer_.clear();
        stream_.async_read_some(buffer_.prepare(discard_size),
                                [self = this->shared_from_this()](error_code failure, std::size_t) {
                                    if (!failure) {
                                        self->discard_input();
                                    }
                                });
    }

    void enter(connection_phase phase) {
        phase_ = phase;
        server_->pool->set_phase(number_, phase, server_->time.now());
        if (phase == connection_phase::waiting) {
            hold(0, false);
        }
    }

    void hold(std::size_t bytes, bool is_releasable) {
        server_->budget->set(holder_, bytes, is_releasable);
    }

    // Gives up the bytes that the connection holds, since the process holds too many. A request
    // that is being read is refused when its pending read ends.
    void release() {
        if (phase_ == connection_phase::reading) {
            is_released_ = true;
            stream_.cancel();
        } else {
            stream_.close();
        }
    }

    std::shared_ptr<State> server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<arriving_body>> parser_;
    http_request request_;
    http::response<http::string_body> response_;
    connection_number number_;
    holder_number holder_;
    connection_phase phase_ = connection_phase::waiting;
    std::size_t body_bytes_on_wire_ = 0;
    bool is_released_ = false;
};

http_server::http_server(event_loop& loop, const endpoint& address, http_server_options options,
                         http_handler handler)
    : state_(std::make_shared<state>(loop, std::move(options), std::move(handler))) {
    state_->accepting = std::make_shared<accept_loop>(
        listen_on(loop.internals().context, address, socket_buffer_bytes), state_->pool,
        [weak = std::weak_ptr(state_)](tcp::socket socket) {
            if (const auto self = weak.lock()) {
                std::make_shared<server_connection<state>>(self, std::move(socket))->start();
            }
        });
    state_->accepting->run();
}

http_server::~http_server() {
    state_->accepting->close();
}

void http_server::disable_keep_alive() {
    state_->is_keep_alive_disabled = true;
}
std::size_t http_server::in_flight() const {
    return state_->in_flight;
}

}  // namespace tanagerpaddle::eventio
