#pragma once

// What the order of steps depends on: the work that a job has left by the best known run times, and
// whose turn it is among jobs that are too late to yield any benefit.

#include <map>
#include <utility>
#include <vector>

#include "coordinator_state.hpp"
#include "placement.hpp"
#include "run_times.hpp"

namespace tanagerpaddle::dispatch {

// Work of one occurrence of a job.
struct remaining_work {
    // Run time of the longest chain of steps, and of its part whose steps are not done.
    milliseconds chain{0};
    milliseconds chain_left{0};
    double core_seconds_left = 0;
};

// Estimated run time of one task of the step: the declared one, or what `measured` makes of it
// unless that is nullptr.
[[nodiscard]] milliseconds run_time_of(const step_spec& spec, const run_times* measured);
// `occurrence` is nullptr if nothing of it has begun.
[[nodiscard]] remaining_work work_of(const job_spec& spec, const occurrence_state* occurrence,
                                     const run_times* measured);
// The lateness rank of a step with its rules and due time; 0 for a long-running one, which yields
// benefit whenever it runs.
[[nodiscard]] int rank_of(const ready_step& step, const remaining_work& work, instant now);

}  // namespace tanagerpaddle::dispatch
