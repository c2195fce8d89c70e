#include <openssl/crypto.h>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::string_view scheme = "Bearer ";

bool equal_in_constant_time(std::string_view a, std::string_view b) {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

void key_ring::set_keys(std::string current, std::string previous) {
    const std::lock_guard lock(mutex_);
    current_ = std::move(current);
    previous_ = std::move(previous);
}

bool key_ring::accepts(std::string_view authorization) const {
    const std::lock_guard lock(mutex_);
    if (current_.empty()) {
        return true;
    }
    if (authorization.starts_with(scheme)) {
        const std::string_view key = authorization.substr(scheme.size());
        const bool is_current = equal_in_constant_time(key, current_);
        const bool is_previous = !previous_.empty() && equal_in_constant_time(key, previous_);
        if (is_current || is_previous) {
            return true;
        }
    }
    refused_.fetch_add(1, std::memory_order_relaxed);
    return false;
}

std::string key_ring::authorization() const {
    const std::lock_guard lock(mutex_);
    return current_.empty() ? std::string() : std::string(scheme) + current_;
}

bool key_ring::empty() const {
    const std::lock_guard lock(mutex_);
    return current_.empty();
}

}  // namespace tanagerpaddle
