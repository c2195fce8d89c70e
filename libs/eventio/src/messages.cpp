#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace {

constexpr std::size_t max_message_bytes = 8U << 20U;
constexpr std::size_t max_queued_bytes = 8U << 20U;

std::uint32_t decode_length(const std::array<unsigned char, 4>& bytes) {
    return (std::uint32_t{bytes[0]} << 24U) | (std::uint32_t{bytes[1]} << 16U) |
           (std::uint32_t{bytes[2]} << 8U) | std::uint32_t{bytes[3]};
}

std::string encode_frame(const std::string& message) {
    const auto size = static_cast<std::uint32_t>(message.size());
    std::string frame;
    frame.reserve(message.size() + 4);
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        frame.push_back(static_cast<char>((size >> shift) & 0xffU));
    }
    return frame += message;
}

class tcp_link final : public message_link, public std::enable_shared_from_this<tcp_link> {
public:
    explicit tcp_link(tcp::socket socket) : socket_(std::move(socket)) {
        set_connection_options(socket_);
    }

    void start(link_handlers handlers) {
        handlers_ = std::move(handlers);
        read_length();
    }

    void send(std::string message) override {
        if (is_closed_) {
            return;
        }
        queued_bytes_ += message.size() + 4;
        if (queued_bytes_ > max_queued_bytes) {
            fail();
            return;
        }
        queued_frames_ += encode_frame(message);
        if (write_buffer_.empty()) {
            write();
        }
    }

    void close() override {
        is_closed_ = true;
        handlers_ = {};
        error_code ignored;  // closing a failed connection may itself fail
        socket_.close(ignored);
    }

private:
    void read_length() {
        asio::async_read(
            socket_, asio::buffer(length_prefix_),
            [self = shared_from_this()](error_code failure, std::size_t) {
                if (failure || decode_length(self->length_prefix_) > max_message_bytes) {
                    self->fail();
                    return;
                }
                self->read_body();
            });
    }

    void read_body() {
        message_.resize(decode_length(length_prefix_));
        asio::async_read(socket_, asio::buffer(message_),
                         [self = shared_from_this()](error_code failure, std::size_t) {
                             if (failure) {
                                 self->fail();
                                 return;
                             }
                             // Copied because the handler may close the link, which destroys the
                             // stored handlers.
                             const auto handle = self->handlers_.on_message;
                             if (handle) {
                                 try {
                                     handle(self->message_);
                                 } catch (...) {
                                     // The rest of the stream may depend on this message.
                                     self->fail();
                                     throw;
                                 }
                             }
                             if (!self->is_closed_) {
                                 self->read_length();
                             }
                         });
    }

    void write() {
        std::swap(write_buffer_, queued_frames_);
        asio::async_write(socket_, asio::buffer(write_buffer_),
                          [self = shared_from_this()](error_code failure, std::size_t) {
                              self->queued_bytes_ -= self->write_buffer_.size();
                              self->write_buffer_.clear();
                              if (failure) {
                                  self->fail();
                              } else if (!self->queued_frames_.empty()) {
                                  self->write();
                              }
                          });
    }

    void fail() {
        if (is_closed_) {
            return;
        }
        const auto on_closed = handlers_.on_closed;
        close();
        if (on_closed) {
            on_closed();
        }
    }

    tcp::socket socket_;
    link_handlers handlers_;
    std::array<unsigned char, 4> length_prefix_{};
    std::string message_;
    std::string queued_frames_;
    std::string write_buffer_;
    std::size_t queued_bytes_ = 0;
    bool is_closed_ = false;
};

}  // namespace

struct message_server::state : std::enable_shared_from_this<message_server::state> {
    state(event_loop& loop, const endpoint& address, accept_handler accept_callback)
        : acceptor(listen_on(loop.internals().context, address)),
          on_accept(std::move(accept_callback)) {}

    void accept() {
        acceptor.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!failure) {
                auto link = std::make_shared<tcp_link>(std::move(socket));
                link->start(self->on_accept(link));
            }
            self->accept();
        });
    }

    tcp::acceptor acceptor;
    accept_handler on_accept;
};

message_server::message_server(event_loop& loop, const endpoint& address, accept_handler on_accept)
    : state_(std::make_shared<state>(loop, address, std::move(on_accept))) {
    state_->accept();
}

message_server::~message_server() {
    error_code ignored;  // a failure to close needs no handling
    state_->acceptor.close(ignored);
}

void connect_link(event_loop& loop, const endpoint& peer, milliseconds connect_timeout,
                  std::function<link_handlers(std::shared_ptr<message_link>)> on_connected) {
    auto& context = loop.internals().context;
    auto socket = std::make_shared<tcp::socket>(context);
    auto timer = std::make_shared<asio::steady_timer>(context, connect_timeout);
    timer->async_wait([socket](error_code failure) {
        if (!failure) {
            error_code ignored;  // the pending connect reports the failure
            socket->close(ignored);
        }
    });
    socket->async_connect(
        to_asio(peer), [socket, timer, on_connected = std::move(on_connected)](error_code failure) {
            timer->cancel();
            if (failure) {
                on_connected(nullptr);
                return;
            }
            auto link = std::make_shared<tcp_link>(std::move(*socket));
            link->start(on_connected(link));
        });
}

}  // namespace tanagerpaddle::eventio
