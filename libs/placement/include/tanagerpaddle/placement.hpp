#pragma once

// Decides which pending task goes to which worker. Pure functions over views of the state.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// A worker as the planner sees it.
struct worker_view {
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    // What is left after running, claimed and reserved amounts.
    resources free;
    // False for drained, leaving, quarantined or silent workers.
    bool accepts_work = true;
    // Expected slowdown of latency-critical work if one more batch task is added, 0 for none.
    double interference = 0;
};

// A task that waits for a worker.
struct pending_task {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    resources demand;
    job_priority priority = job_priority::normal;
    utc_millis complete_by;
    utc_millis submitted_at;
    // Estimate of the run time that remains.
    milliseconds remaining{0};
    // Workers on which the task failed before.
    std::vector<worker_id> avoided;
};

// What a team uses in the whole system, as far as it is known.
struct team_share {
    team_id team;
    resources used;
    resources quota;
    bool can_borrow = true;
};

enum class unplaced_reason : std::uint8_t {
    no_capacity,
    over_quota,
    larger_than_any_worker,
    all_workers_excluded,
};

[[nodiscard]] std::string_view name(unplaced_reason reason) noexcept;

struct placed_task {
    job_id job;
    std::uint32_t index = 0;
    worker_id worker;
};

struct unplaced_task {
    job_id job;
    std::uint32_t index = 0;
    unplaced_reason reason = unplaced_reason::no_capacity;
};

struct placement_plan {
    std::vector<placed_task> placed;
    std::vector<unplaced_task> unplaced;
};

// The state that a plan is made from. `most_starts` bounds the number of placed tasks.
struct placement_input {
    std::vector<worker_view> workers;
    std::vector<pending_task> tasks;
    std::vector<team_share> teams;
    utc_millis now;
    std::size_t most_starts = 1'000;
};

// A way to place tasks. Implementations keep no state between calls.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    // Each placed task fits into what earlier ones of the plan left free on its worker.
    [[nodiscard]] virtual placement_plan plan(const placement_input& input) const = 0;
};

// Baseline: tasks in the given order, each on the first worker with room.
class first_fit_placement final : public placement_strategy {
public:
    [[nodiscard]] placement_plan plan(const placement_input& input) const override;
};

}  // namespace tanagerpaddle
