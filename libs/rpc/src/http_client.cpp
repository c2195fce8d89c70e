#include <httplib.h>

#include <list>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

namespace {

constexpr milliseconds shortest_timeout{1};

void set_timeouts(httplib::Client& client, const http_call& call, instant now) {
    const milliseconds whole = std::max(call.limit.remaining(now), shortest_timeout);
    const milliseconds first =
        std::max(std::min(call.first_byte.remaining(now), whole), shortest_timeout);
    client.set_connection_timeout(first);
    client.set_read_timeout(first);
    client.set_write_timeout(whole);
}

httplib::Request to_library_request(const http_call& call, const clock& time) {
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    for (const auto& item : call.headers) {
        request.headers.emplace(item.name, item.value);
    }
    if (!call.body.empty() || call.method != "GET") {
        request.headers.emplace("Content-Type", call.content_type);
    }
    request.body = call.body;
    // Ends an answer that arrives too slowly; read timeouts only bound the gap between two reads.
    request.progress = [&call, &time](std::uint64_t, std::uint64_t) {
        return !call.limit.has_passed(time.now());
    };
    return request;
}

http_result to_result(httplib::Result& from) {
    http_result result;
    if (from) {
        result.response.status = from->status;
        result.response.body = std::move(from->body);
        for (const auto& [name, value] : from->headers) {
            result.response.headers.push_back({name, value});
        }
        return result;
    }
    const httplib::Error failure = from.error();
    result.failure =
        failure == httplib::Error::Connection || failure == httplib::Error::BindIPAddress
            ? http_failure::not_connected
            : http_failure::no_answer;
    result.message = httplib::to_string(failure);
    return result;
}

}  // namespace

class http_client_pool::implementation {
public:
    implementation(const clock& time, std::size_t most_idle, std::int64_t reuse_ms)
        : time_(time), most_idle_(most_idle), reuse_ms_(reuse_ms) {}

    http_result call(const http_call& request) {
        if (request.limit.has_passed(time_.now())) {
            http_result late;
            late.failure = http_failure::not_connected;
            late.message = "the deadline passed before the call";
            return late;
        }
        std::unique_ptr<httplib::Client> client = take(request.to);
        set_timeouts(*client, request, time_.now());
        httplib::Result answer = client->send(to_library_request(request, time_));
        http_result result = to_result(answer);
        if (result.failure == http_failure::none &&
            result.response.header("Connection") != "close") {
            give_back(request.to, std::move(client));
        }
        return result;
    }

    void close_idle() {
        const std::lock_guard lock(mutex_);
        const instant now = time_.now();
        idle_.remove_if([&](const idle_client& item) { return item.reuse_until.has_passed(now); });
    }

    std::size_t idle_count() const {
        const std::lock_guard lock(mutex_);
        return idle_.size();
    }

private:
    struct idle_client {
        endpoint to;
        deadline reuse_until;
        std::unique_ptr<httplib::Client> client;
    };

    std::unique_ptr<httplib::Client> take(const endpoint& to) {
        {
            const std::lock_guard lock(mutex_);
            const instant now = time_.now();
            // The newest first: it is the one most likely to be alive.
            for (auto item = idle_.rbegin(); item != idle_.rend(); ++item) {
                if (item->to == to && !item->reuse_until.has_passed(now)) {
                    auto client = std::move(item->client);
                    idle_.erase(std::next(item).base());
                    return client;
                }
            }
        }
        auto client = std::make_unique<httplib::Client>(to.address, to.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_follow_location(false);
        client->set_decompress(false);
        return client;
    }

    void give_back(const endpoint& to, std::unique_ptr<httplib::Client> client) {
        std::unique_ptr<httplib::Client> evicted;
        const std::lock_guard lock(mutex_);
        idle_.push_back(
            {to, deadline::after(time_.now(), milliseconds(reuse_ms_)), std::move(client)});
        if (idle_.size() > most_idle_) {
            evicted = std::move(idle_.front().client);
            idle_.pop_front();
        }
    }

    const clock& time_;
    std::size_t most_idle_;
    std::int64_t reuse_ms_;
    mutable std::mutex mutex_;
    std::list<idle_client> idle_;
};

http_client_pool::http_client_pool(const clock& time, std::size_t most_idle, std::int64_t reuse_ms)
    : implementation_(std::make_unique<implementation>(time, most_idle, reuse_ms)) {}

http_client_pool::~http_client_pool() = default;

http_result http_client_pool::call(const http_call& request) {
    return implementation_->call(request);
}

void http_client_pool::close_idle() {
    implementation_->close_idle();
}
std::size_t http_client_pool::idle_count() const {
    return implementation_->idle_count();
}

}  // namespace tanagerpaddle
