#pragma once

// Asks the target each second whether it is healthy.

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

// "http://127.0.0.1:7200" or "http://[::1]:7200". Throws error(invalid_settings).
[[nodiscard]] endpoint parse_url(const std::string& url);

class target_probe {
public:
    target_probe(endpoint target, const clock& time);
    ~target_probe();
    target_probe(const target_probe&) = delete;
    target_probe& operator=(const target_probe&) = delete;

    void start();
    void stop();
    // Any answer of GET /healthz below status 500 is healthy: a target need not have that route.
    // True before the first probe.
    [[nodiscard]] bool is_healthy() const noexcept { return is_healthy_.load(); }

private:
    void run();

    endpoint target_;
    const clock& time_;
    http_client_pool connections_;
    std::atomic<bool> is_healthy_{true};
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool is_stopping_ = false;
    std::thread thread_;
};

}  // namespace tanagerpaddle
