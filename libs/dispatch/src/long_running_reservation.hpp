#pragma once

// Which instance to reserve for a long-running task without a run, and which tasks to preempt
// there.

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// A run that holds capacity of an instance.
struct capacity_holder {
    task_key task;
    resources held;
    // When the run is expected to end and to free its capacity; unset if no such time is known.
    std::optional<instant> ends_at;
    int priority = 0;
    // Neither long-running nor a member of a gang, and not being stopped already.
    bool is_preemptible = false;
    bool writes_checkpoints = false;
    // Work that is lost without a checkpoint.
    double core_seconds_done = 0;
    // Number of tasks of its step that may be made unavailable now; unset if there is no limit.
    std::optional<std::uint32_t> step_allowance;
};

// An instance on which tasks may start.
struct reservable_instance {
    std::size_t index = 0;
    // Capacity without what is committed, and without what is reserved; negative while reservations
    // wait for runs to end.
    resources free;
    std::vector<capacity_holder> holders;
    bool is_reserved = false;
};

struct capacity_request {
    task_key task;
    resources demand;
    // Only tasks of this priority or of a lower one (a higher number) are preempted.
    int priority = 0;
    // Tasks are preempted if those that hold the capacity are not expected to end by then.
    instant preempt_at;
    // Instance to use only if there is no other.
    std::optional<std::size_t> avoided_instance;
    // No more instances may be reserved.
    bool needs_reserved_instance = false;
};

struct capacity_plan {
    std::size_t instance = 0;
    // When the demand is expected to fit.
    instant free_at;
    // In the order in which they were chosen; empty if their ends are awaited.
    std::vector<task_key> preempted;
};

// Puts the holders in the order of preemption, in which the functions below find them soonest; any
// other order gives the same plans.
void sort_holders(reservable_instance& instance);
// The plan for one instance; std::nullopt if the demand does not fit there even after preemption.
[[nodiscard]] std::optional<capacity_plan> plan_capacity(const reservable_instance& instance,
                                                         const capacity_request& request,
                                                         instant now);
// The best plan among the instances for which `is_allowed` is true: without preemption, where the
// demand fits soonest, and with the least work lost.
[[nodiscard]] std::optional<capacity_plan> choose_capacity(
    const std::vector<reservable_instance>& instances, const capacity_request& request, instant now,
    const std::function<bool(std::size_t)>& is_allowed);
// Updates the view of the instance after the plan was carried out for the request.
void apply_plan(std::vector<reservable_instance>& instances, const capacity_plan& plan,
                const capacity_request& request, instant now);

struct capacity_reservation {
    std::size_t instance = 0;
    resources demand;
    int priority = 0;
    instant until;
    // Tasks are preempted if the demand does not fit by then.
    instant preempt_at;
    bool has_preempted = false;
};

// Reservations by task and by instance.
class long_running_reservations {
public:
    void add(const task_key& task, const capacity_reservation& reservation);
    void remove(const task_key& task);
    [[nodiscard]] const capacity_reservation* find(const task_key& task) const;
    void mark_preempted(const task_key& task);
    // True if a task of that priority and demand may start on the instance, which has `free`
    // capacity: nothing else starts on a reserved instance but tasks of a higher priority, tasks
    // that hold a reservation there, and long-running ones that fit beside the reserved demand.
    [[nodiscard]] bool admits(std::size_t instance, const std::optional<task_key>& task,
                              int priority, bool is_long_running, const resources& demand,
                              const resources& free) const;
    [[nodiscard]] resources reserved_on(std::size_t instance) const;
    [[nodiscard]] bool is_reserved(std::size_t instance) const {
        return by_instance_.count(instance) != 0;
    }
    [[nodiscard]] std::size_t reserved_instances() const noexcept { return by_instance_.size(); }
    [[nodiscard]] const std::map<task_key, capacity_reservation>& all() const noexcept {
        return by_task_;
    }

private:
    struct totals {
        resources demand;
        std::map<int, std::uint32_t> tasks_by_priority;
    };
    std::map<task_key, capacity_reservation> by_task_;
    std::map<std::size_t, totals> by_instance_;
};

}  // namespace tanagerpaddle::dispatch
