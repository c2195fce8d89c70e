#pragma once

// Keeps jobs that can yield no more benefit from waiting forever behind those that can.

#include <map>
#include <utility>
#include <vector>

#include "placement.hpp"

namespace tanagerpaddle::dispatch {

// The rank of a job that can yield no more benefit; see lateness_rank.
inline constexpr int late_rank = 2;

// Gives one placement in ordering_rules::placements_per_late_turn to the oldest late step of the
// service and priority. A turn is for one task, or for one gang, and not for a step with a task
// that may have crashed an executor.
class late_turns {
public:
    explicit late_turns(const ordering_rules& rules) : interval_(rules.placements_per_late_turn) {}

    // A task of the step was placed.
    void placed(const ready_step& step);
    // Moves what has its turn before the other steps of its priority. `ready` is in the order of
    // `precedes`.
    void apply(std::vector<ready_step>& ready) const;

private:
    using competition = std::pair<service_id, int>;

    [[nodiscard]] bool is_due(const competition& among) const;

    std::uint32_t interval_;
    // Placements since the last one of a late step.
    std::map<competition, std::uint32_t> placements_;
};

}  // namespace tanagerpaddle::dispatch
