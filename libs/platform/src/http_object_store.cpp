#include <array>

#include "platform_connections.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::string_view service_name = "object store";
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

// Everything but letters, digits and "-._~/" is percent-encoded.
std::string object_path(const std::string& key) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string path = "/objects/";
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        const bool is_plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                              (c >= 'A' && c <= 'Z') ||
                              std::string_view("-._~/").find(c) != std::string_view::npos;
        if (is_plain) {
            path.push_back(c);
        } else {
            path += {'%', digits[byte >> 4U], digits[byte & 15U]};
        }
    }
    return path;
}

call_result call_for_write(platform_connections& clients, const platform_call& request) {
    call_result result = clients.call(request);
    const bool is_answered = result.outcome == call_outcome::answered;
    if (is_answered && (result.status == status_ok || result.status == status_not_found)) {
        return result;
    }
    const bool is_refused =
        result.outcome == call_outcome::not_sent ||
        (is_answered && (result.status == status_too_many || result.status == status_unavailable));
    throw error(is_refused ? result_code::store_unavailable : result_code::store_outcome_unknown,
                describe(service_name, clients, result));
}

}  // namespace

http_object_store::http_object_store(const platform_client_options& options)
    : clients_(std::make_unique<platform_connections>(options)) {}

http_object_store::~http_object_store() = default;

void http_object_store::put(const std::string& key, std::string_view bytes) {
    platform_call request;
    request.method = "PUT";
    request.path = object_path(key);
    request.body = std::string(bytes);
    request.content_type = "application/octet-stream";
    const call_result result = call_for_write(*clients_, request);
    if (result.status != status_ok) {
        throw error(result_code::store_outcome_unknown, describe(service_name, *clients_, result));
    }
}

std::optional<std::string> http_object_store::read(const std::string& key) {
    platform_call request;
    request.method = "GET";
    request.path = object_path(key);
    request.is_repeatable = true;
    call_result result = clients_->call(request);
    if (result.outcome == call_outcome::answered && result.status == status_not_found) {
        return std::nullopt;
    }
    if (result.outcome != call_outcome::answered || result.status != status_ok) {
        throw error(result_code::store_unavailable, describe(service_name, *clients_, result));
    }
    return std::move(result.body);
}

void http_object_store::remove(const std::string& key) {
    platform_call request;
    request.method = "DELETE";
    request.path = object_path(key);
    (void)call_for_write(*clients_, request);
}

}  // namespace tanagerpaddle
