#pragma once

// Declarations shared by the sources of this library; its only header that includes Boost.Asio.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <utility>

#include "tanagerpaddle/eventio.hpp"

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
// Throws error(invalid_settings) if the address cannot be bound.
[[nodiscard]] tcp::acceptor listen_on(asio::io_context& context, const endpoint& address);

}  // namespace tanagerpaddle::eventio
