#pragma once

// Declarations shared by the sources of this library; its only header that includes Boost.Asio.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <utility>

#include "limits.hpp"

namespace tanagerpaddle::eventio {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct event_loop::implementation {
    // A concurrency hint of 1 lets Asio skip its internal locking.
    asio::io_context context{1};
    std::list<asio::signal_set> signal_sets;
    std::list<std::function<void()>> periodic_actions;
    std::function<void(const std::exception&)> exception_handler;
    process_limits limits;
    // Shared with connections, which may be destroyed after the loop.
    std::shared_ptr<byte_budget> request_budget =
        std::make_shared<byte_budget>(limits.request_bytes);
    std::shared_ptr<byte_budget> message_budget =
        std::make_shared<byte_budget>(limits.message_bytes);
    std::vector<std::weak_ptr<connection_pool>> pools;

    [[nodiscard]] std::shared_ptr<connection_pool> make_pool(const std::string& name,
                                                             listener_share share,
                                                             std::size_t max_connections);
};

// Runs an action when the scope ends, also by an exception.
template <class Action>
class on_scope_exit {
public:
    explicit on_scope_exit(Action action) : action_(std::move(action)) {}
    ~on_scope_exit() { action_(); }
    on_scope_exit(const on_scope_exit&) = delete;
    on_scope_exit& operator=(const on_scope_exit&) = delete;

private:
    Action action_;
};

[[nodiscard]] tcp::endpoint to_asio(const endpoint& address);
// Disables the delay of small packets (Nagle) and closes connections whose peer has become
// unreachable.
void set_connection_options(tcp::socket& socket);
// Throws error(invalid_settings) if the address cannot be bound. Each accepted socket receives and
// sends through buffers of `socket_buffer_bytes`.
[[nodiscard]] tcp::acceptor listen_on(asio::io_context& context, const endpoint& address,
                                      int socket_buffer_bytes);

// Accepts connections one after the other and passes them to `on_accepted` as long as the pool has
// room. Ends when the acceptor is closed.
class accept_loop : public std::enable_shared_from_this<accept_loop> {
public:
    accept_loop(tcp::acceptor acceptor, std::shared_ptr<connection_pool> pool,
                std::function<void(tcp::socket)> on_accepted);
    void run();
    void close();

private:
    tcp::acceptor acceptor_;
    asio::steady_timer retry_timer_;
    std::shared_ptr<connection_pool> pool_;
    std::function<void(tcp::socket)> on_accepted_;
    bool is_closed_ = false;
};

}  // namespace tanagerpaddle::eventio
