#pragma once

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::standin {

struct target_faults {
    // Requests are accepted and neither run nor answered.
    bool is_silent = false;
    // The same for calls of the runtime.
    bool is_runtime_silent = false;
    // Probability that the answer, with its id, is the one of an earlier request.
    double crossed = 0;
    // Probability that the connection is closed in the middle of the answer.
    double truncated = 0;
    // Probability that the answer is sent `late_ms` after the request has run.
    double late = 0;
    std::int64_t late_ms = 0;
    // Tasks fail as soon as they start; running ones go on.
    bool fail_tasks = false;
    // Requests are run and answered 500.
    bool fail_requests = false;
    // Requests and tasks take this many times as long.
    double slow_factor = 1;
};

// The faults as switched by POST /control/faults. Thread-safe.
class fault_switches {
public:
    [[nodiscard]] target_faults current() const;
    // Takes {"silent", "runtime_silent", "crossed", "truncated", "late", "late_ms", "fail_tasks",
    // "fail_requests", "slow_factor"}; those not named keep their values. Throws
    // error(malformed_request) for others and for a slow_factor that is not positive.
    void change(const nlohmann::json& changes);
    // Blocks as long as that switch is on.
    void wait_while(bool target_faults::*is_on) const;

private:
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    target_faults faults_;
};

}  // namespace tanagerpaddle::standin
