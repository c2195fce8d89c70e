#include <netinet/tcp.h>
#include <sys/resource.h>

#include <algorithm>
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
// Pause after a failed accept. A process without free descriptors fails at once each time, and
// would use a whole core; a descriptor becomes free within some 10 ms in ordinary operation.
constexpr milliseconds accept_retry_delay{100};
// Counted for a process whose number of descriptors is not limited.
constexpr rlim_t unlimited_descriptors = 1'000'000;

std::size_t descriptors_of_process() {
    rlimit limit{};
    const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return is_known ? std::min(limit.rlim_cur, unlimited_descriptors) : 0;
}

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

tcp::acceptor listen_on(asio::io_context& context, const endpoint& address,
                        int socket_buffer_bytes) {
    try {
        const auto local = to_asio(address);
        tcp::acceptor acceptor(context);
        acceptor.open(local.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        // Accepted sockets inherit both. Without them a socket grows its buffers to megabytes while
        // nothing reads.
        acceptor.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
        acceptor.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes));
        acceptor.bind(local);
        acceptor.listen(listen_backlog);
        return acceptor;
    } catch (const boost::system::system_error& failure) {
        throw error(result_code::invalid_settings,
                    "cannot listen on " + to_string(address) + ": " + failure.what());
    }
}

accept_loop::accept_loop(tcp::acceptor acceptor, std::shared_ptr<connection_pool> pool,
                         std::function<void(tcp::socket)> on_accepted)
    : acceptor_(std::move(acceptor)),
      retry_timer_(acceptor_.get_executor()),
      pool_(std::move(pool)),
      on_accepted_(std::move(on_accepted)) {}

void accept_loop::run() {
    acceptor_.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
        if (self->is_closed_ || failure == asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            // Out of descriptors or memory, mostly.
            self->pool_->count_refused();
            self->pool_->close_one();
            self->retry_timer_.expires_after(accept_retry_delay);
            self->retry_timer_.async_wait([self](error_code cancelled) {
                if (!cancelled && !self->is_closed_) {
                    self->run();
                }
            });
            return;
        }
        const on_scope_exit accept_next([&self] {
            if (!self->is_closed_) {
                self->run();
            }
        });
        if (self->pool_->make_room()) {
            self->on_accepted_(std::move(socket));
        } else {
            self->pool_->count_refused();
        }
    });
}

void accept_loop::close() {
    is_closed_ = true;
    error_code ignored;  // a failure to close needs no handling
    acceptor_.close(ignored);
    retry_timer_.cancel();
}

std::shared_ptr<connection_pool> event_loop::implementation::make_pool(
    const std::string& name, listener_share share, std::size_t max_connections) {
    const auto descriptors =
        limits.max_descriptors > 0 ? limits.max_descriptors : descriptors_of_process();
    auto pool = std::make_shared<connection_pool>(
        name, capacity_of(limits, descriptors, share, max_connections));
    pools.push_back(pool);
    return pool;
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

void event_loop::set_limits(const process_limits& limits) {
    implementation_->limits = limits;
    implementation_->request_budget = std::make_shared<byte_budget>(limits.request_bytes);
    implementation_->message_budget = std::make_shared<byte_budget>(limits.message_bytes);
}

std::vector<listener_counts> event_loop::count_connections() const {
    std::vector<listener_counts> counts;
    for (const auto& each : implementation_->pools) {
        if (const auto pool = each.lock()) {
            counts.push_back(pool->counts());
        }
    }
    return counts;
}

budget_counts event_loop::count_released() const {
    return {implementation_->request_budget->released(),
            implementation_->message_budget->released()};
}

}  // namespace tanagerpaddle::eventio
