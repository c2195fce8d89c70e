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
    state(event_loop& loop, const endpoint& address, http_server_options with, http_handler act)
        : context(loop.internals().context),
          acceptor(listen_on(context, address)),
          options(std::move(with)),
          handler(std::move(act)) {}

    void accept();

    asio::io_context& context;
    tcp::acceptor acceptor;
    http_server_options options;
    http_handler handler;
    system_clock time;
    std::size_t connections = 0;
    std::size_t in_flight = 0;
    bool closes_after_answers = false;
};

namespace {

milliseconds parse_timeout(std::string_view text) {
    std::int64_t value = 0;
    const auto [last, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failure == std::errc() && value > 0 ? milliseconds(value) : milliseconds(0);
}

}  // namespace

// One accepted connection: reads a request, waits for its answer, writes it, and so on.
template <class State>
class server_connection : public std::enable_shared_from_this<server_connection<State>> {
public:
    server_connection(std::shared_ptr<State> owner, tcp::socket socket)
        : owner_(std::move(owner)), stream_(std::move(socket)) {
        ++owner_->connections;
        set_connection_options(stream_.socket());
    }
    ~server_connection() { --owner_->connections; }
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    void read() {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(owner_->options.max_header_bytes));
        parser_->body_limit(owner_->options.max_body_bytes);
        stream_.expires_after(owner_->options.idle_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](error_code failure, std::size_t) {
                             self->on_read(failure);
                         });
    }

private:
    void on_read(error_code failure) {
        if (failure == http::error::body_limit || failure == http::error::header_limit) {
            ++owner_->in_flight;
            write({413, {}, {}}, false);
            return;
        }
        if (failure) {
            return;  // the peer closed, sent no HTTP, or stayed idle
        }
        stream_.expires_never();
        ++owner_->in_flight;
        auto message = parser_->release();
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.host = std::string(message[http::field::host]);
        request.body = std::move(message.body());
        request.received_at = owner_->time.now();
        if (!owner_->options.timeout_header.empty()) {
            request.timeout =
                parse_timeout(std::string_view(message[owner_->options.timeout_header].data(),
                                               message[owner_->options.timeout_header].size()));
        }
        const bool keeps = message.keep_alive();
        auto answered = std::make_shared<bool>(false);
        owner_->handler(std::move(request),
                        [self = this->shared_from_this(), keeps, answered](http_response response) {
                            if (!*answered) {
                                *answered = true;
                                self->write(std::move(response), keeps);
                            }
                        });
    }

    void write(http_response response, bool keeps) {
        message_ = {};
        message_.version(11);
        message_.result(static_cast<unsigned>(response.status));
        for (const auto& [name, value] : response.headers) {
            message_.set(name, value);
        }
        if (!response.body.empty()) {
            message_.set(http::field::content_type, "application/json");
        }
        message_.body() = std::move(response.body);
        message_.keep_alive(keeps && !owner_->closes_after_answers);
        message_.prepare_payload();
        stream_.expires_after(owner_->options.idle_timeout);
        http::async_write(stream_, message_,
                          [self = this->shared_from_this()](error_code failure, std::size_t) {
                              --self->owner_->in_flight;
                              self->on_written(failure);
                          });
    }

    void on_written(error_code failure) {
        if (failure) {
            return;
        }
        if (message_.need_eof()) {
            error_code ignored;  // the peer may have closed first
            stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        read();
    }

    std::shared_ptr<State> owner_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> message_;
};

void http_server::state::accept() {
    acceptor.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure && self->connections < self->options.max_connections) {
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
    error_code ignored;  // nothing to do about a failing close
    state_->acceptor.close(ignored);
}

void http_server::disable_keep_alive() {
    state_->closes_after_answers = true;
}
std::size_t http_server::in_flight() const {
    return state_->in_flight;
}

}  // namespace tanagerpaddle::eventio
