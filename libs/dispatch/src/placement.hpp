#pragma once

// Order of steps and choice of an instance for a task.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "index_set.hpp"
#include "long_running_reservation.hpp"
#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Quarantines an instance after consecutive failures or stalls of tasks of different jobs. Without
// it, a broken instance always has free capacity and attracts most new tasks.
class instance_health {
public:
    void succeeded() noexcept;
    void failed(const job_id& job, instant now);
    [[nodiscard]] bool is_quarantined(instant now) const noexcept {
        return now < quarantined_until_;
    }

private:
    std::set<job_id> failing_jobs_;
    instant quarantined_until_{};
    int quarantine_count_ = 0;
};

struct instance_state {
    instance_name name;
    // Position in the list of instances.
    std::size_t index = 0;
    std::optional<executor_info> executor;
    // The agent is connected and accepts orders of this coordinator.
    bool is_linked = false;
    instant linked_at;
    // When no run of a disconnected instance can still be alive.
    instant expires_at;
    // Until when leases may last by calls that were meant for an earlier executor, whatever was
    // granted, and whether the executor may still take such calls.
    instant earlier_leases_end_by;
    bool may_take_earlier_calls = false;
    // Total demand of the tasks assigned to the instance, without the processors of fillers.
    resources committed;
    millicores filler_demand;
    // Processors committed to tasks with a tail latency target.
    millicores serving_demand;
    std::set<task_key> tasks;
    // Runs without an assigned task that are being stopped; their resources stay committed until
    // they end. Those of a run whose job has ended, or was never known, are not known.
    std::map<std::pair<task_key, run_number>, std::optional<resources>> orphaned_runs;
    // Utilisation that fillers may still add, by serving image; see min_slack.
    struct slack_entry {
        std::string image;
        double slack = 0;
    };
    std::vector<slack_entry> slack;
    // Model revision that `slack` was computed from; unset after a change of the tasks.
    std::optional<std::uint64_t> slack_revision;
    // Demand of the fillers in millicores, by image.
    std::map<std::string, std::int64_t> filler_demand_by_image;
    // Millicores that fillers can use next to the serving tasks; computed with `slack`.
    std::int64_t usable_filler_demand = 0;
    // Number of tasks with a tail latency target, by image.
    std::map<std::string, std::uint32_t> serving_tasks_by_image;
    // Number of tasks by step and occurrence.
    std::map<step_key, std::uint32_t> tasks_by_step;
    instance_health health;
    completion_number processed_completion;
    completion_number acknowledged_completion;
    // When the progress of the executor's tasks was last known.
    instant observed_at;
    // When an agent last reported the lists of the executor.
    instant listed_at;
    // The latest measurements of the executor.
    interference_sample sample;
    // Capacity is reserved for a waiting task of priority 0.
    bool is_reserved = false;
    // When a start was last placed here or sent, and a start of a task that may have crashed an
    // executor.
    instant last_start_at{};
    instant last_suspect_at{};
    // When a start was last refused here for another reason than capacity or a permit.
    std::optional<instant> refused_at;
    // Steps want the instance's rack: tasks that do not are placed elsewhere where that costs
    // nothing.
    bool is_on_wanted_rack = false;
    // The only task that may start here; see crash_rules.
    std::optional<task_key> isolated_task;

    // A run is being stopped of which it is not known what it takes.
    [[nodiscard]] bool has_run_of_unknown_demand() const;
    [[nodiscard]] resources free() const {
        return executor ? executor->capacity - committed : resources{};
    }
    // Millicores neither reserved by a task nor used by a filler. Once `slack` has been computed,
    // demand of throttled fillers beyond their actual use does not count.
    [[nodiscard]] std::int64_t idle_millicores() const;
};

// A step whose dependencies have succeeded and that has tasks to place.
struct ready_step {
    step_key key;
    const step_spec* spec = nullptr;
    const queue_id* queue = nullptr;
    queue_rules rules;
    // See lateness_rank.
    int rank = 0;
    // Estimated remaining work of the job.
    double core_seconds_left = 0;
    // Start of the job's objective.
    instant due_at;
    instant objective;
    // Long-running tasks, which are placed before others of their priority.
    bool has_precedence = false;
    // Estimated run time of the job's longest chain of steps, and of its unfinished part.
    milliseconds chain{0};
    milliseconds chain_left{0};
    // The job has had no assigned task for so long that one task may start wherever capacity
    // suffices.
    bool is_starved = false;
    // Leaves room for the rise of the serving tasks' own load; see filler_rules.
    bool reserves_slack = true;
    // A waiting task may have crashed an executor.
    bool has_suspect = false;
    index_set waiting;
};

// Late jobs yield a reduced benefit up to this multiple of their objective.
inline constexpr int late_objective_factor = 3;

// Ranks a job by the benefit it can still yield: 0 full (within its objective), 1 reduced (late), 2
// none. `accepted` is the start of the objective, `chain` the estimated run time of the longest
// chain of steps, `left` its remaining part.
[[nodiscard]] int lateness_rank(const queue_rules& rules, instant accepted, milliseconds chain,
                                milliseconds left, instant now);

// Order in which steps are placed when demand exceeds capacity. Work that can still be on time goes
// before work that cannot, since earliest-deadline-first would start work that is about to be late.
// Among equals the job with the least remaining work goes first: a job's benefit grows more slowly
// than its work, and jobs that are nearly finished free capacity soon.
[[nodiscard]] bool precedes(const ready_step& a, const ready_step& b);

// Inputs to placement other than the step.
struct placement_context {
    instant now;
    const std::set<failure_domain_id>* evacuated = nullptr;
    // Executors that the policy service allows; nullptr if all are allowed.
    const std::map<executor_id, std::string>* permits = nullptr;
    // Ignores quarantine, reservations and interference.
    bool checks_capacity_only = false;
    // Instance to use only if there is no other.
    std::optional<std::size_t> avoided_instance;
    const interference_model* interference = nullptr;
    filler_rules fillers;
    crash_rules crashes;
    const long_running_reservations* reservations = nullptr;
    milliseconds pause_after_refusal{0};
    // The task to place, if it is known.
    std::optional<task_key> task;
    // The task may have crashed an executor.
    bool is_suspect = false;
    // Prefers the instance whose last start is the longest ago to all others.
    bool prefers_quiet_instance = false;
    // The task to start, if an instance may be kept for it.
    std::optional<task_key> isolated_task;
    // Rack in which the tasks of the step must run; empty if any rack will do.
    rack_id rack;
};

// The best instance for one more task of the step; std::nullopt if none has capacity.
[[nodiscard]] std::optional<std::size_t> choose_instance(std::vector<instance_state>& instances,
                                                         const ready_step& step,
                                                         const placement_context& context);
// True if the policy service allows the executor, or need not be asked.
[[nodiscard]] bool has_permit(const executor_info& executor, const placement_context& context);
// True if the executor is on the rack of the context, or that names none.
[[nodiscard]] bool is_on_rack(const executor_info& executor, const placement_context& context);
[[nodiscard]] bool has_label(const executor_info& executor, const std::string& label);
// The first condition for a start on the instance that is not met.
enum class placement_obstacle : std::uint8_t {
    none,
    not_linked,
    no_executor,
    stale_view,
    draining,
    evacuated,
    unknown_run,
    not_eligible,
    isolated,
    quarantined,
    reserved,
    no_permit,
    other_rack,
    spread_limit,
    refused_start,
    no_capacity,
};
[[nodiscard]] std::string_view name(placement_obstacle obstacle) noexcept;
[[nodiscard]] placement_obstacle obstacle_of(instance_state& instance, const ready_step& step,
                                             const placement_context& context);
// True if one more task of the step may start on the instance now and has capacity there.
[[nodiscard]] bool can_start(instance_state& instance, const ready_step& step,
                             const placement_context& context);
// Smallest slack, as a utilisation, of the serving tasks on the instance that fillers of `image`
// interfere with, if `added` more millicores of that image ran there at full pace; negative if a
// serving task would miss its target.
[[nodiscard]] double min_slack(instance_state& instance, const interference_model& model,
                               const std::string& image, std::int64_t added);
// True if the executor's service, labels and total capacity suit the step.
[[nodiscard]] bool is_eligible(const executor_info& executor, const ready_step& step);
// True if tasks may start on the instance now.
[[nodiscard]] bool accepts_starts(const instance_state& instance, const placement_context& context);

}  // namespace tanagerpaddle::dispatch
