#pragma once

// Finds violations of the system's promises in the records of all workers of one run.

#include <cstddef>
#include <istream>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace tanagerpaddle::record_check {

// No task may start in the domain from `from_ms` on, up to `until_ms`. Times as in the records.
struct drained_domain {
    std::string domain;
    double from_ms = 0;
    double until_ms = std::numeric_limits<double>::infinity();
};

struct check_options {
    std::vector<drained_domain> drained;
    // Methods whose requests may run more than once.
    std::set<std::string> idempotent_methods;
    // Shorter overlaps are not reported; processes differ by the error of their clock offsets.
    double tolerance_ms = 1;
    // A checkpoint or an end of a task counts only if its worker lived on for longer than this, as
    // a worker that crashes takes reports with it that nobody has read.
    double crash_grace_ms = 0;
};

// The text is "DOMAIN@MS" or "DOMAIN@MS-MS". Throws std::invalid_argument.
[[nodiscard]] drained_domain parse_drained(const std::string& text);

struct check_result {
    std::size_t workers = 0;
    std::size_t events = 0;
    std::size_t task_starts = 0;
    std::size_t tasks_finished = 0;
    std::size_t requests = 0;
    // One sentence each.
    std::vector<std::string> violations;
};

struct named_record {
    std::string name;
    std::istream* lines = nullptr;
};

// Each record is of one worker, in the order of its events; a worker that was started again goes
// on in the same record.
[[nodiscard]] check_result check(const std::vector<named_record>& records,
                                 const check_options& options);

}  // namespace tanagerpaddle::record_check
