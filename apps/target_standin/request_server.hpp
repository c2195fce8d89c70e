#pragma once

// The service's target: runs requests in slots and answers with bytes that a client can check.

#include <httplib.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>

#include "event_record.hpp"
#include "target_faults.hpp"

namespace tanagerpaddle::standin {

struct request_server_options {
    std::uint32_t slots = 8;
    double mean_service_ms = 5;
    // The service time is uniform in mean * (1 - jitter) to mean * (1 + jitter).
    double jitter = 0.2;
    // With this probability it is `tail_factor` times as long.
    double tail_probability = 0;
    double tail_factor = 10;
    std::uint64_t seed = 1;
};

// The right answer: "<id>|<method>|" and the reversed request body, repeated and cut to `bytes` if
// that is not 0.
[[nodiscard]] std::string answer_body(std::string_view id, std::string_view method,
                                      std::string_view body, std::size_t bytes);

// Thread-safe.
class request_server {
public:
    // `slowdown` gives how many times as long a request takes now because of colocated tasks. The
    // references must outlive the object.
    request_server(const request_server_options& options, const fault_switches& faults,
                   event_record& record, std::function<double()> slowdown);

    // POST /serve/<method>. Waits for a slot in order of arrival, takes the service time, answers.
    void serve(const std::string& method, const httplib::Request& request,
               httplib::Response& response);

    // Requests that are running.
    [[nodiscard]] std::uint32_t busy_slots() const;
    // Requests that have run.
    [[nodiscard]] std::uint64_t served() const;

private:
    struct answer {
        std::string id;
        std::string body;
    };
    // What happens to one request, drawn when it starts.
    struct fate {
        milliseconds service_time{};
        bool is_crossed = false;
        bool is_truncated = false;
        bool is_late = false;
    };

    void take_slot();
    void release_slot();
    [[nodiscard]] fate draw(const target_faults& faults);
    // The answer to send in place of `own`: an earlier one if there is one.
    [[nodiscard]] answer cross(const answer& own);

    request_server_options options_;
    const fault_switches& faults_;
    event_record& record_;
    std::function<double()> slowdown_;
    mutable std::mutex mutex_;
    std::condition_variable freed_;
    // Tickets are numbered in order of arrival; those below ended_ + slots may run.
    std::uint64_t next_ticket_ = 0;
    std::uint64_t ended_ = 0;
    random_source random_;
    answer previous_;
};

}  // namespace tanagerpaddle::standin
