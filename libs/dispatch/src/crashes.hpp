#pragma once

// Crashes of executors, and the tasks that may have caused them.

#include <cstdint>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Crashes of executors shortly after they had started a task.
struct crash_history {
    // All of them, and those before which the run is known to have begun.
    std::uint32_t suspected = 0;
    std::uint32_t confirmed = 0;

    void add(bool has_begun) noexcept {
        ++suspected;
        confirmed += has_begun ? 1U : 0U;
    }
};

// True if the job of the task must fail. `is_sole_suspect` is true if no run of another job can
// have caused the latest crash.
[[nodiscard]] inline bool must_fail_job(const crash_history& crashes, bool is_sole_suspect,
                                        const crash_rules& rules) noexcept {
    return crashes.confirmed >= rules.max_confirmed_crashes &&
           (is_sole_suspect || crashes.suspected >= rules.max_crashes);
}

}  // namespace tanagerpaddle::dispatch
