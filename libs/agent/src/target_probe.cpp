#include "target_probe.hpp"

#include <charconv>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

constexpr milliseconds probe_interval{1'000};
constexpr milliseconds probe_timeout{1'000};

}  // namespace

endpoint parse_url(const std::string& url) {
    constexpr std::string_view scheme = "http://";
    const std::size_t colon = url.rfind(':');
    endpoint parsed;
    if (url.starts_with(scheme) && colon != std::string::npos && colon > scheme.size()) {
        parsed.address = url.substr(scheme.size(), colon - scheme.size());
        if (parsed.address.starts_with('[') && parsed.address.ends_with(']')) {
            parsed.address = parsed.address.substr(1, parsed.address.size() - 2);
        }
        const char* const end = url.data() + url.size();
        const auto result = std::from_chars(url.data() + colon + 1, end, parsed.port);
        if (result.ec == std::errc() && result.ptr == end && parsed.port != 0) {
            return parsed;
        }
    }
    throw error(result_code::invalid_settings, "\"" + url + "\" is not http://<address>:<port>");
}

target_probe::target_probe(endpoint target, const clock& time)
    : target_(std::move(target)), time_(time), connections_(time, 0) {}

target_probe::~target_probe() {
    stop();
}

void target_probe::start() {
    thread_ = std::thread([this] { run(); });
}

void target_probe::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    stopped_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void target_probe::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        lock.unlock();
        http_call call;
        call.to = target_;
        call.method = "GET";
        call.path = "/healthz";
        call.limit = deadline::after(time_.now(), probe_timeout);
        call.first_byte = call.limit;
        const http_result result = connections_.call(call);
        const bool is_healthy =
            result.failure == http_failure::none && result.response.status < 500;
        if (is_healthy_.exchange(is_healthy) != is_healthy) {
            log_event(is_healthy ? log_level::info : log_level::warning, "target_health_changed",
                      {{"is_healthy", is_healthy}, {"message", result.message}});
        }
        lock.lock();
        stopped_.wait_for(lock, probe_interval, [this] { return is_stopping_; });
    }
}

}  // namespace tanagerpaddle
