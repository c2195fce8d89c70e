#include "platform_connections.hpp"

#include <algorithm>

namespace tanagerpaddle {

platform_connections::platform_connections(const platform_client_options& options)
    : options_(options), server_(options.address + ":" + std::to_string(options.port)) {}

std::unique_ptr<httplib::Client> platform_connections::make_client() const {
    auto client = std::make_unique<httplib::Client>(options_.address, options_.port);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_follow_location(false);
    return client;
}

bool platform_connections::acquire(const deadline& until, kept_client& result) {
    std::unique_lock lock(mutex_);
    const auto has_room = [this] { return in_use_ < options_.connections; };
    if (!freed_.wait_for(lock, until.remaining(time_.now()), has_room)) {
        return false;
    }
    ++in_use_;
    // The most recently used one is the least likely to have been closed by the server.
    if (!idle_.empty()) {
        result = std::move(idle_.back());
        idle_.pop_back();
    }
    return true;
}

void platform_connections::release(kept_client client) {
    {
        const std::lock_guard lock(mutex_);
        --in_use_;
        if (client.client) {
            idle_.push_back(std::move(client));
        }
    }
    freed_.notify_one();
}

call_result platform_connections::send(httplib::Client& client, const platform_call& request,
                                       const deadline& until) const {
    // A timeout of zero means "no timeout" to poll-based code, so at least 1 ms is left.
    const milliseconds left = std::max(until.remaining(time_.now()), milliseconds(1));
    client.set_connection_timeout(std::min(left, options_.connect_timeout));
    client.set_read_timeout(left);
    client.set_write_timeout(left);

    httplib::Request message;
    message.method = request.method;
    message.path = request.path;
    if (request.method != "GET" && request.method != "DELETE") {
        message.body = request.body;
        message.set_header("Content-Type", request.content_type);
    }
    // The read timeout applies to each read, so the deadline of the whole call is checked here.
    message.progress = [&](std::uint64_t, std::uint64_t) { return !until.has_passed(time_.now()); };

    call_result result;
    const httplib::Result answer = client.send(message);
    if (answer) {
        result.outcome = call_outcome::answered;
        result.status = answer->status;
        result.body = answer->body;
        return result;
    }
    const bool is_connect_failure = answer.error() == httplib::Error::Connection ||
                                    answer.error() == httplib::Error::ConnectionTimeout;
    result.outcome = is_connect_failure ? call_outcome::not_sent : call_outcome::unknown;
    result.failure = httplib::to_string(answer.error());
    return result;
}

call_result platform_connections::call(const platform_call& request) {
    const deadline until = deadline::after(time_.now(), options_.call_timeout);
    kept_client kept;
    if (!acquire(until, kept)) {
        return {call_outcome::not_sent, 0, {}, "no free connection"};
    }
    const bool is_reused = kept.client && time_.now() - kept.used_at < options_.idle_limit;
    if (!is_reused) {
        kept.client = make_client();
    }
    call_result result = send(*kept.client, request, until);
    if (result.outcome == call_outcome::unknown && is_reused && request.is_repeatable &&
        !until.has_passed(time_.now())) {
        kept.client = make_client();
        result = send(*kept.client, request, until);
    }
    if (result.outcome != call_outcome::answered) {
        kept.client.reset();
    }
    kept.used_at = time_.now();
    release(std::move(kept));
    return result;
}

std::string describe(std::string_view what, const platform_connections& clients,
                     const call_result& result) {
    std::string text = std::string(what) + " at " + clients.server() + ": ";
    return text + (result.outcome == call_outcome::answered
                       ? "status " + std::to_string(result.status)
                       : result.failure);
}

}  // namespace tanagerpaddle
