#pragma once

// The objects and events of the routing model.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "routing_model.hpp"

namespace routing_model {

inline constexpr std::int64_t ms = 1'000'000;
inline constexpr std::int64_t second = 1'000 * ms;
inline constexpr std::int64_t warm_up_ns = 5 * second;
inline constexpr std::int64_t run_ns = 40 * second;
inline constexpr std::int64_t local_one_way_ns = ms / 5;
inline constexpr std::uint32_t slots = 8;
inline constexpr std::uint32_t connections = 64;
inline constexpr double mean_service_ms = 20;
// Shape of the log-normal service time: its p99 is about 4.6 times its mean.
inline constexpr double service_sigma = 0.8;
inline constexpr std::int64_t budget_ns = 500 * ms;
inline constexpr int most_tries = 3;

class event_clock final : public clock {
public:
    [[nodiscard]] instant now() const override { return instant(nanoseconds(now_ns)); }
    [[nodiscard]] utc_millis utc_now() const override { return utc_millis(now_ns / ms); }
    std::int64_t now_ns = 0;
};

enum class event_kind : std::uint8_t {
    arrival,    // index: none
    at_target,  // index: try
    served,     // index: try
    answer,     // index: try
    give_up,    // index: request
    hedge,      // index: request
    shift,      // index: none
};

struct event {
    std::int64_t at_ns = 0;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::arrival;
    std::size_t index = 0;
    friend bool operator>(const event& a, const event& b) {
        return std::tie(a.at_ns, a.sequence) > std::tie(b.at_ns, b.sequence);
    }
};

struct request {
    std::size_t entry = 0;
    std::int64_t arrived_ns = 0;
    request_priority priority = request_priority::standard;
    bool is_done = false;
    int tries = 0;
    int open_tries = 0;
    std::vector<target_id> tried;
    std::vector<std::size_t> open;
    std::optional<ticket_number> ticket;
};

struct attempt {
    std::size_t request = 0;
    std::size_t target = 0;
    std::int64_t sent_ns = 0;
    std::int64_t one_way_ns = 0;
    std::optional<target_lease> lease;
    result_code code = result_code::ok;
    std::uint32_t busy = 0;
};

struct target_model {
    std::size_t domain = 0;
    std::uint32_t busy = 0;
    std::deque<std::size_t> queue;
};

struct entry_model {
    std::unique_ptr<target_pool> pool;
    std::unique_ptr<retry_policy> retries;
    std::unique_ptr<hedge_policy> hedges;
    std::unique_ptr<admission_queue> admission;
    std::map<ticket_number, std::size_t> waiting;
    std::deque<std::size_t> fifo;
    quantile_estimator p95{0.95};
    std::uint32_t outstanding = 0;
    double mean_latency_ns = mean_service_ms * ms;
};

}  // namespace routing_model
