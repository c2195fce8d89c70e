#pragma once

#include <httplib.h>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "tanagerpaddle/platform.hpp"

namespace tanagerpaddle {

// How a call ended, as far as its caller can know.
enum class call_outcome : std::uint8_t {
    answered,
    // Nothing was sent.
    not_sent,
    // Something was sent and no whole answer came back.
    unknown,
};

struct call_result {
    call_outcome outcome = call_outcome::unknown;
    // HTTP status and body, if answered.
    int status = 0;
    std::string body;
    // Text for messages, if not answered.
    std::string failure;
};

struct platform_call {
    std::string method = "POST";
    std::string path;
    std::string body;
    std::string content_type = "application/json";
    // May be sent again if its kept connection turns out to be closed.
    bool is_repeatable = false;
};

// A bounded set of kept connections to one server. cpp-httplib sends one request at a time with a
// client object, so each is used by one thread at a time. Thread-safe.
class platform_connections {
public:
    explicit platform_connections(const platform_client_options& options);

    // Never throws for a failed call.
    [[nodiscard]] call_result call(const platform_call& request);
    // "127.0.0.1:8080", for messages.
    [[nodiscard]] const std::string& server() const noexcept { return server_; }

private:
    struct kept_client {
        std::unique_ptr<httplib::Client> client;
        instant used_at;
    };

    // Waits for a free connection; nothing if there is none until `until`. The client is null if a
    // new one has to be made.
    [[nodiscard]] bool acquire(const deadline& until, kept_client& result);
    void release(kept_client client);
    [[nodiscard]] std::unique_ptr<httplib::Client> make_client() const;
    [[nodiscard]] call_result send(httplib::Client& client, const platform_call& request,
                                   const deadline& until) const;

    platform_client_options options_;
    std::string server_;
    system_clock time_;
    std::mutex mutex_;
    std::condition_variable freed_;
    std::vector<kept_client> idle_;
    std::size_t in_use_ = 0;
};

// "table service at 127.0.0.1:8080: connection refused"
[[nodiscard]] std::string describe(std::string_view what, const platform_connections& clients,
                                   const call_result& result);

}  // namespace tanagerpaddle
