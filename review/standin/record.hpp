#pragma once

// What was sent, answered and run during a case. Thread-safe.

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Milliseconds since the start of the process, on the steady clock.
[[nodiscard]] std::int64_t now_ms();
[[nodiscard]] std::int64_t unix_ms();
void sleep_ms(std::int64_t duration);
// Waits until `condition` holds; false if it does not within `timeout`.
template <class Condition>
bool wait_for(std::int64_t timeout, Condition condition) {
    const auto until = now_ms() + timeout;
    while (!condition()) {
        if (now_ms() >= until) {
            return false;
        }
        sleep_ms(10);
    }
    return true;
}

// One run of a task, as its executor saw it.
struct run_record {
    std::string task;
    std::uint32_t run = 0;
    std::string executor;
    std::int64_t started_at = 0;
    // -1 while the run goes on.
    std::int64_t ended_at = -1;
    // "crashed" if the executor ended; otherwise the kind of end that the executor lists.
    std::string how;
};

class record {
public:
    explicit record(const std::string& file) : out_(file) {}

    void line(const std::string& text);
    void run_started(const std::string& task, std::uint32_t run, const std::string& executor);
    void run_ended(const std::string& task, std::uint32_t run, const std::string& executor,
                   const std::string& how);
    // The runs of the tasks whose names begin with `prefix`, in the order of their starts.
    [[nodiscard]] std::vector<run_record> runs(const std::string& prefix = "") const;

private:
    void write(const std::string& text);

    mutable std::mutex mutex_;
    std::ofstream out_;
    std::vector<run_record> runs_;
};

}  // namespace review
