#pragma once

#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::standin {

// An append-only file of JSON lines, one for each event, flushed at each line. "ms" is
// CLOCK_MONOTONIC in milliseconds, comparable among the processes of one machine. Thread-safe.
class event_record {
public:
    // Keeps nothing if `path` is empty. Throws error(invalid_settings) if the file cannot be
    // opened.
    event_record(const std::string& path, worker_id worker, failure_domain_id domain,
                 const clock& time);

    // `at` is when the event took place, at most the present.
    void write(std::string_view event, instant at,
               nlohmann::json fields = nlohmann::json::object());
    // As above, at present.
    void write(std::string_view event, nlohmann::json fields = nlohmann::json::object());

private:
    worker_id worker_;
    failure_domain_id domain_;
    const clock& time_;
    // Of CLOCK_MONOTONIC from the clock that is passed in.
    std::chrono::nanoseconds offset_;
    std::mutex mutex_;
    std::ofstream file_;
};

}  // namespace tanagerpaddle::standin
