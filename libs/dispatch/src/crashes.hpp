#pragma once

// Crashes of executors, and the tasks that may have caused them.

#include <cstdint>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// What is known of a crash.
enum class crash_evidence : std::uint8_t {
    // The instance was unreachable for so long that its lease expired; it may not have crashed.
    expired_lease,
    // The executor has ended, but may not have begun the run.
    ended_executor,
    // The executor has ended and is known to have begun the run.
    begun_run,
};

// Crashes of executors shortly after they had started a task.
struct crash_history {
    // All of them, those before which the run is known to have begun, and expired leases.
    std::uint32_t suspected = 0;
    std::uint32_t confirmed = 0;
    std::uint32_t expired_leases = 0;

    void add(crash_evidence evidence) noexcept {
        ++suspected;
        confirmed += evidence == crash_evidence::begun_run ? 1U : 0U;
        expired_leases += evidence == crash_evidence::expired_lease ? 1U : 0U;
    }
};

// True if the job of the task must fail. `latest` is what is known of the latest crash;
// `is_sole_suspect` is true if no run of another job can have caused it.
[[nodiscard]] inline bool must_fail_job(const crash_history& crashes, crash_evidence latest,
                                        bool is_sole_suspect, const crash_rules& rules) noexcept {
    if (crashes.suspected >= rules.max_suspected_crashes) {
        const auto known_ends = crashes.suspected - crashes.expired_leases;
        return latest != crash_evidence::expired_lease ||
               known_ends + 1 >= rules.max_suspected_crashes;
    }
    return latest == crash_evidence::begun_run &&
           crashes.confirmed >= rules.max_confirmed_crashes &&
           (is_sole_suspect || crashes.suspected >= rules.max_crashes);
}

}  // namespace tanagerpaddle::dispatch
