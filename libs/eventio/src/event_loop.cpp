#include <netinet/tcp.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <charconv>

#include "loop_internals.hpp"

namespace tanagerpaddle::eventio {

namespace {

// Longest time that sent data may stay unacknowledged before the connection is closed. Short enough
// to detect an unreachable peer within one heartbeat timeout, long enough for several
// retransmissions.
constexpr int max_unacknowledged_ms = 2'000;
constexpr int listen_backlog = 512;

void schedule_periodic(event_loop& loop, milliseconds period, std::function<void()>& action) {
    loop.after(period, [&loop, period, &action] {
        const on_scope_exit reschedule([&] { schedule_periodic(loop, period, action); });
        action();
    });
}

void wait_for_signal(asio::signal_set& set, const std::function<void()>& action) {
    set.async_wait([&set, action](error_code failure, int) {
        if (!failure) {
            const on_scope_exit wait_again([&] { wait_for_signal(set, action); });
            action();
        }
    });
}

}  // namespace

endpoint parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    endpoint result;
    if (colon != std::string_view::npos && colon > 0) {
        const char* end = text.data() + text.size();
        const auto [last, failure] = std::from_chars(text.data() + colon + 1, end, result.port);
        result.host = text.substr(0, colon);
        error_code not_ipv4;
        (void)asio::ip::make_address_v4(result.host, not_ipv4);
        if (failure == std::errc() && last == end && result.port != 0 && !not_ipv4) {
            return result;
        }
    }
    throw error(result_code::invalid_settings,
                "not an address of the form IPV4:PORT: '" + std::string(text) + "'");
}

std::string to_string(const endpoint& address) {
    return address.host + ":" + std::to_string(address.port);
}

tcp::endpoint to_asio(const endpoint& address) {
    error_code failure;
    const auto ip = asio::ip::make_address_v4(address.host, failure);
    if (failure) {
        throw error(result_code::invalid_settings, "not an IPv4 address: " + address.host);
    }
    return {ip, address.port};
}

void set_connection_options(tcp::socket& socket) {
    // A connection works without an option that cannot be set; call deadlines still apply.
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout(max_unacknowledged_ms), ignored);
}

tcp::acceptor listen_on(asio::io_context& context, const endpoint& address) {
    try {
        const auto local = to_asio(address);
        tcp::acceptor acceptor(context);
        acceptor.open(local.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen(listen_backlog);
        return acceptor;
    } catch (const boost::system::system_error& failure) {
        throw error(result_code::invalid_settings,
                    "cannot listen on " + to_string(address) + ": " + failure.what());
    }
}

event_loop::event_loop() : implementation_(std::make_unique<implementation>()) {}
event_loop::~event_loop() = default;

void event_loop::run() {
    const auto work = asio::make_work_guard(implementation_->context);
    implementation_->context.restart();
    for (;;) {
        try {
            implementation_->context.run();
            return;
        } catch (const invariant_violation&) {
            throw;
        } catch (const std::exception& failure) {
            if (!implementation_->exception_handler) {
                throw;
            }
            implementation_->exception_handler(failure);
        }
    }
}

void event_loop::on_exception(std::function<void(const std::exception&)> handler) {
    implementation_->exception_handler = std::move(handler);
}

void event_loop::stop() {
    implementation_->context.stop();
}

void event_loop::post(std::function<void()> action) {
    asio::post(implementation_->context, std::move(action));
}

void event_loop::after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(implementation_->context, delay);
    timer->async_wait([timer, action = std::move(action)](error_code failure) {
        if (!failure) {
            action();
        }
    });
}

void event_loop::every(milliseconds period, std::function<void()> action) {
    implementation_->periodic_actions.push_back(std::move(action));
    schedule_periodic(*this, period, implementation_->periodic_actions.back());
}

void event_loop::on_signal(int signal_number, const std::function<void()>& action) {
    auto& set = implementation_->signal_sets.emplace_back(implementation_->context, signal_number);
    wait_for_signal(set, action);
}

}  // namespace tanagerpaddle::eventio
