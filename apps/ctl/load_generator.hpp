#pragma once

// Open-loop load: requests are sent at planned times, whether or not earlier ones were answered.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tanagerpaddle/rpc.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::ctl {

struct weighted_method {
    std::string name;
    double weight = 1;
};

struct load_options {
    // Requests go to all of them in turn. One that refuses the connection is followed by the next.
    std::vector<endpoint> callers;
    std::string service;
    std::vector<weighted_method> methods;
    double requests_per_second = 100;
    double seconds = 10;
    std::size_t body_bytes = 256;
    milliseconds timeout{1'000};
    // Requests on the way at a time; a request that waits for a connection is late, and its
    // latency says so.
    std::size_t connections = 64;
    std::uint64_t seed = 1;
    // Request ids are "<prefix>-<number>".
    std::string id_prefix;
    // The answer must be "<request id>|<method>|" and the reversed body.
    bool checks_standin = false;
};

struct planned_request {
    std::uint64_t number = 0;
    // From the start of the run.
    std::chrono::nanoseconds at{};
    std::size_t method = 0;
    std::uint64_t body_seed = 0;
};

// Poisson arrivals; equal options give equal plans.
[[nodiscard]] std::vector<planned_request> plan_load(const load_options& options);
// Bytes of all values, determined by the seed.
[[nodiscard]] std::string body_of(std::uint64_t seed, std::size_t bytes);

enum class answer_kind : std::uint8_t { right, honest_error, wrong };

struct answer_verdict {
    answer_kind kind = answer_kind::right;
    // For honest errors, for example "overloaded" or "no_answer".
    std::string code;
    // For wrong answers: what differs.
    std::string reason;
};

struct sent_request {
    std::string id;
    std::string method;
    std::string body;
};

// Judges one answer: headers of id, length and checksum, and the text if `checks_standin`.
[[nodiscard]] answer_verdict judge(const sent_request& sent, const http_result& result,
                                   bool checks_standin);

// Results of a run. Thread-safe.
class load_results {
public:
    void add(const sent_request& sent, const answer_verdict& verdict,
             std::chrono::nanoseconds latency);
    [[nodiscard]] std::uint64_t right() const noexcept { return right_.load(); }
    [[nodiscard]] std::uint64_t wrong() const noexcept { return wrong_.load(); }
    [[nodiscard]] std::uint64_t errors() const noexcept { return errors_.load(); }
    // Counts, errors by code, the first wrong answers, quantiles of the right answers in seconds.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    std::atomic<std::uint64_t> right_{0};
    std::atomic<std::uint64_t> errors_{0};
    std::atomic<std::uint64_t> wrong_{0};
    latency_histogram latency_;
    mutable std::mutex mutex_;
    std::map<std::string, std::uint64_t> errors_by_code_;
    std::vector<std::string> first_wrong_;
};

// Sends the plan and waits for the answers. Returns when each request has its verdict.
void run_load(const load_options& options, const std::vector<planned_request>& plan,
              const clock& time, load_results& results);

}  // namespace tanagerpaddle::ctl
