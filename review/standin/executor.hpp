#pragma once

// An executor as PROTOCOL.md describes it: one life after the other at the same address.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http.hpp"
#include "record.hpp"

namespace review {

struct executor_options {
    // For the record.
    std::string name;
    std::string zone;
    std::string service;
    std::vector<std::string> labels;
    std::uint16_t port = 0;
    // Where the agent takes status reports.
    std::uint16_t report_port = 0;
    std::int64_t cpu = 32'000;
    std::int64_t memory_mb = 125'000;
    std::int64_t heartbeat_ms = 1'100;
    std::int64_t hold_max_ms = 6'000;
    std::int64_t stop_ms = 50;
};

// The spec of a task tells the stand-in how long it runs: "run_ms=2000". Without it the task lasts
// until it is stopped.
class executor {
public:
    executor(executor_options options, record& log);
    ~executor();

    // Begins a new life; `first_report_ms` is the time until its first status report.
    void start(const std::string& id, std::int64_t first_report_ms = 0);
    // The next start of a task whose name begins with `prefix` is not carried out: the executor
    // falls silent, and is to be crashed by the caller. Unset by that.
    void fail_at_start_of(const std::string& prefix);
    [[nodiscard]] bool has_failed() const;
    // Ends the life at once: everything that runs is gone, and its connections are closed.
    void crash();

    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t report_port() const { return options_.report_port; }
    [[nodiscard]] std::size_t running_count() const;
    // Ends of the current life that have been listed and not been taken note of.
    [[nodiscard]] std::size_t unacknowledged_count() const;
    // A status report as this executor would send it now.
    [[nodiscard]] nlohmann::json report();

private:
    using json = nlohmann::json;
    struct run {
        std::uint32_t number = 0;
        std::int64_t begun_at = 0;
        // 0: until it is stopped.
        std::int64_t duration = 0;
        std::optional<std::int64_t> stops_at;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    [[nodiscard]] http_response answer(const http_request& request);
    [[nodiscard]] http_response start_run(const json& body);
    [[nodiscard]] http_response stop_run(const json& body);
    [[nodiscard]] http_response hold(const json& body, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] bool passes_fence(const json& body);
    void extend_lease(const json& body);
    void end_run(const std::string& task, const std::string& how);
    void tick();
    void send_reports(std::int64_t first_report_ms);
    // Milliseconds of the life's own clock.
    [[nodiscard]] std::int64_t clock_ms() const { return now_ms() - begun_at_; }
    [[nodiscard]] http_response reply(int status, json body = json::object()) const;

    executor_options options_;
    record& log_;
    std::string id_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, run> running_;
    std::vector<end> finished_;
    // The highest run of each task that was stopped or has ended.
    std::map<std::string, std::uint32_t> closed_runs_;
    std::uint64_t last_end_ = 0;
    std::uint64_t highest_token_ = 0;
    std::int64_t lease_until_ = 0;
    std::int64_t begun_at_ = 0;
    std::int64_t born_ = 0;
    std::int64_t sequence_ = 0;
    std::string fails_at_;
    bool has_failed_ = false;
    bool is_alive_ = false;
    std::unique_ptr<http_server> server_;
    std::thread ticker_;
    std::thread reporter_;
};

}  // namespace review
