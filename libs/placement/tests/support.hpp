#pragma once

#include <algorithm>
#include <string>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle::testing {

inline constexpr std::int64_t minute_ms = 60'000;
inline constexpr std::int64_t start_ms = 1'700'000'000'000;

inline resources amount(std::int64_t cores, std::int64_t gib, std::int64_t accelerators = 0) {
    return {millicores(cores * 1'000), mebibytes(gib * 1'024), accelerator_count(accelerators)};
}

inline worker_view worker(const std::string& id, resources capacity) {
    worker_view result;
    result.id = worker_id(id);
    result.capacity = capacity;
    result.free = capacity;
    return result;
}

// A task of team "t" that takes ten minutes and is due in `due_minutes`.
inline pending_task task(const std::string& job, resources demand, std::int64_t due_minutes = 600) {
    pending_task result;
    result.job = job_id(job);
    result.team = team_id("t");
    result.demand = demand;
    result.complete_by = utc_millis(start_ms + due_minutes * minute_ms);
    result.submitted_at = utc_millis(start_ms);
    result.remaining_run_time = milliseconds(10 * minute_ms);
    return result;
}

// The worker of the job's first placed task; empty if none is placed.
inline std::string place_of(const placement_plan& plan, const std::string& job) {
    const auto found = std::find_if(plan.placed.begin(), plan.placed.end(),
                                    [&](const placed_task& p) { return p.job.value() == job; });
    return found == plan.placed.end() ? "" : found->worker.value();
}

// The reason of the job's first unplaced task; empty if none is unplaced.
inline std::string reason_of(const placement_plan& plan, const std::string& job) {
    const auto found = std::find_if(plan.unplaced.begin(), plan.unplaced.end(),
                                    [&](const unplaced_task& u) { return u.job.value() == job; });
    return found == plan.unplaced.end() ? "" : std::string(name(found->reason));
}

}  // namespace tanagerpaddle::testing
