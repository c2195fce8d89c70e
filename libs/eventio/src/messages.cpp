#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace {

constexpr std::size_t max_message_bytes = 8U << 20U;
constexpr std::size_t max_queued_bytes = 8U << 20U;
// Memory follows the bytes of a message that have arrived, in steps of at least this size; most
// messages need one step.
constexpr std::size_t min_read_step = 16'384;
// For links that were accepted, as those of HTTP servers are bounded: enough for 18 MB/s at 3.4 ms.
constexpr int socket_buffer_bytes = 65'536;

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
    // `pool` is null for a link that this process has opened.
    tcp_link(tcp::socket socket, std::shared_ptr<byte_budget> budget,
             std::shared_ptr<connection_pool> pool)
        : socket_(std::move(socket)), budget_(std::move(budget)), pool_(std::move(pool)) {
        set_connection_options(socket_);
    }
    ~tcp_link() override { leave_limits(); }

    // Called before the link is passed on, which may send at once.
    void join_limits() {
        const auto close_socket = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                // The pending read fails, and closes the link in a callback of its own.
                error_code ignored;  // closing a failed connection may itself fail
                self->socket_.close(ignored);
            }
        };
        holder_ = budget_->add(close_socket);
        if (pool_) {
            number_ = pool_->add(time_.now(), close_socket);
        }
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
        hold();
    }

    void close() override {
        is_closed_ = true;
        handlers_ = {};
        error_code ignored;  // closing a failed connection may itself fail
        socket_.close(ignored);
        leave_limits();
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
                if (self->pool_ && !self->has_received_) {
                    self->pool_->set_phase(self->number_, connection_phase::reading,
                                           self->time_.now());
                }
                self->message_.clear();
                self->read_body();
            });
    }

    // Reads at most as many bytes again as have arrived.
    void read_body() {
        const std::size_t announced = decode_length(length_prefix_);
        const auto arrived = message_.size();
        if (arrived >= announced) {
            on_message();
            return;
        }
        message_.resize(std::min(announced, arrived + std::max(arrived, min_read_step)));
        asio::async_read(socket_,
                         asio::buffer(message_.data() + arrived, message_.size() - arrived),
                         [self = shared_from_this()](error_code failure, std::size_t) {
                             if (failure) {
                                 self->fail();
                                 return;
                             }
                             self->read_body();
                         });
        hold();
    }

    void on_message() {
        has_received_ = true;
        if (pool_) {
            pool_->set_phase(number_, connection_phase::linked, time_.now());
        }
        // Copied because the handler may close the link, which destroys the stored handlers.
        const auto handle = handlers_.on_message;
        if (handle) {
            try {
                handle(message_);
            } catch (...) {
                // The rest of the stream may depend on this message.
                fail();
                throw;
            }
        }
        if (message_.capacity() > min_read_step) {
            message_ = {};
        }
        if (!is_closed_) {
            hold();
            read_length();
        }
    }

    void hold() { budget_->set(holder_, message_.capacity() + queued_bytes_, true); }

    void leave_limits() {
        budget_->remove(holder_);
        if (pool_) {
            pool_->remove(number_);
        }
    }

    void write() {
        std::swap(write_buffer_, queued_frames_);
        asio::async_write(socket_, asio::buffer(write_buffer_),
                          [self = shared_from_this()](error_code failure, std::size_t) {
                              self->queued_bytes_ -= self->write_buffer_.size();
                              self->write_buffer_.clear();
                              self->hold();
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
    std::shared_ptr<byte_budget> budget_;
    std::shared_ptr<connection_pool> pool_;
    holder_number holder_;
    connection_number number_;
    system_clock time_;
    bool has_received_ = false;
    bool is_closed_ = false;
};

}  // namespace

struct message_server::state {
    std::shared_ptr<accept_loop> accepting;
};

message_server::message_server(event_loop& loop, const endpoint& address, accept_handler on_accept)
    : state_(std::make_shared<state>()) {
    auto& internals = loop.internals();
    auto pool = internals.make_pool("messages", internals.limits.message_share,
                                    internals.limits.max_connections);
    state_->accepting = std::make_shared<accept_loop>(
        listen_on(internals.context, address, socket_buffer_bytes), pool,
        [pool, budget = internals.message_budget,
         on_accept = std::move(on_accept)](tcp::socket socket) {
            auto link = std::make_shared<tcp_link>(std::move(socket), budget, pool);
            link->join_limits();
            link->start(on_accept(link));
        });
    state_->accepting->run();
}

message_server::~message_server() {
    state_->accepting->close();
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
        to_asio(peer), [socket, timer, budget = loop.internals().message_budget,
                        on_connected = std::move(on_connected)](error_code failure) {
            timer->cancel();
            if (failure) {
                on_connected(nullptr);
                return;
            }
            auto link = std::make_shared<tcp_link>(std::move(*socket), budget, nullptr);
            link->join_limits();
            link->start(on_connected(link));
        });
}

}  // namespace tanagerpaddle::eventio
