#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <unordered_set>

#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace beast = boost::beast;
namespace http = beast::http;

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(event_loop& loop, const endpoint& address, http_server_options server_options,
          http_handler request_handler)
        : context(loop.internals().context),
          acceptor(listen_on(context, address)),
          options(std::move(server_options)),
          handler(std::move(request_handler)) {}

    void accept();

    asio::io_context& context;
    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    system_clock time;
    std::size_t connection_count = 0;
    std::size_t in_flight = 0;
    bool is_keep_alive_disabled = false;
};

namespace {

// How long a connection is kept open after its last response. Closing it while request bytes are
// still arriving resets it, and the caller sees a failed write in place of the response.
constexpr milliseconds linger_time{1'000};
constexpr std::size_t discard_size = 16'384;

milliseconds parse_timeout(std::string_view text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [last, failure] = std::from_chars(text.data(), end, value);
    return failure == std::errc() && last == end && value > 0 ? milliseconds(value)
                                                              : milliseconds(0);
}

}  // namespace

// An accepted connection. Reads a request, waits for the handler's response, writes it, and
// repeats.
template <class State>
class server_connection : public std::enable_shared_from_this<server_connection<State>> {
public:
    server_connection(std::shared_ptr<State> server, tcp::socket socket)
        : server_(std::move(server)), stream_(std::move(socket)) {
        ++server_->connection_count;
        set_connection_options(stream_.socket());
    }
    ~server_connection() { --server_->connection_count; }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    void read() {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(server_->options.max_header_bytes));
        parser_->body_limit(server_->options.max_body_bytes);
        stream_.expires_after(server_->options.idle_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](error_code failure, std::size_t) {
                             self->on_read(failure);
                         });
    }

private:
    void on_read(error_code failure) {
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            ++server_->in_flight;
            write({413, {}, {}}, false);
            return;
        }
        if (failure) {
            return;  // the peer closed the connection, sent invalid HTTP or was idle for too long
        }
        stream_.expires_never();
        ++server_->in_flight;
        auto message = parser_->release();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.body = std::move(message.body());
        request.received_at = server_->time.now();
        if (!server_->options.timeout_header.empty()) {
            request.timeout =
                parse_timeout(std::string_view(message[server_->options.timeout_header].data(),
                                               message[server_->options.timeout_header].size()));
        }
        const bool is_keep_alive = message.keep_alive();
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
        stream_.expires_after(server_->options.idle_timeout);
        http::async_write(stream_, response_,
                          [self = this->shared_from_this()](error_code failure, std::size_t) {
                              --self->server_->in_flight;
                              self->on_written(failure);
                          });
    }

    void on_written(error_code failure) {
        if (failure) {
            return;
        }
        if (response_.need_eof()) {
            error_code ignored;  // the peer may have closed first
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            stream_.expires_after(linger_time);
            discard_input();
            return;
        }
        read();
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

    std::shared_ptr<State> server_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

void http_server::state::accept() {
    acceptor.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure && self->connection_count < self->options.max_connections) {
            std::make_shared<server_connection<state>>(self, std::move(socket))->read();
        }
        self->accept();
    });
}

http_server::http_server(event_loop& loop, const endpoint& address, http_server_options options,
                         http_handler handler)
    : state_(std::make_shared<state>(loop, address, std::move(options), std::move(handler))) {
    state_->accept();
}

http_server::~http_server() {
    error_code ignored;  // a failure to close needs no handling
    state_->acceptor.close(ignored);
}

void http_server::disable_keep_alive() {
    state_->is_keep_alive_disabled = true;
}
std::size_t http_server::in_flight() const {
    return state_->in_flight;
}

}  // namespace tanagerpaddle::eventio
