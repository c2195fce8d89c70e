#pragma once

// Which step goes first, and which machine takes a task.

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Recognises a machine that fails or stalls what it starts, by the failures in a row of tasks of
// different jobs. Answers load in which a broken machine, always free, draws the work of the fleet.
class machine_health {
public:
    void succeeded() noexcept;
    void failed(const job_id& job, instant now);
    [[nodiscard]] bool is_quarantined(instant now) const noexcept { return now < until_; }

private:
    std::set<job_id> failing_jobs_;
    instant until_{};
    int rounds_ = 0;
};

struct machine_state {
    instance_name name;
    std::optional<executor_info> executor;
    // The agent obeys this coordinator.
    bool is_linked = false;
    // When the work of a machine that is not linked is certainly gone.
    instant gone_at;
    // Demands of the tasks that occupy the machine, without the processors of fillers.
    resources committed;
    millicores filler_demand;
    // Processors committed to tasks with a tail latency target.
    millicores serving_demand;
    std::set<task_key> tasks;
    // Runs that should not be there and are being stopped; they take room until they end.
    std::map<std::pair<task_key, run_number>, resources> strays;
    // What the serving tasks can still bear; see slack_beside.
    struct slack_entry {
        std::string image;
        double slack = 0;
    };
    std::vector<slack_entry> slack;
    // The state of the model that `slack` was computed from; unset after a change of the tasks.
    std::optional<std::uint64_t> slack_revision;
    // Processors that fillers want, by image.
    std::map<std::string, std::int64_t> filler_demand_by_image;
    // Processors that fillers can use beside the serving tasks; computed with `slack`.
    std::int64_t filler_draw = 0;
    // Tasks with a tail latency target, by image.
    std::map<std::string, std::uint32_t> serving_tasks_by_image;
    // Tasks of one step of an occurrence.
    std::map<step_key, std::uint32_t> tasks_of_step;
    machine_health health;
    completion_number processed_end;
    completion_number acknowledged_end;
    // What the executor measured last.
    interference_sample sample;
    // A task of higher priority waits for room here.
    bool is_reserved = false;

    [[nodiscard]] resources free() const {
        return executor ? executor->capacity - committed : resources{};
    }
    // Processors that no task has reserved and no filler uses. Fillers that are held back for the
    // sake of serving tasks do not count, once `slack` is known.
    [[nodiscard]] std::int64_t idle_millicores() const;
};

// A step whose turn has come and that has tasks to place.
struct ready_step {
    step_key key;
    const step_spec* spec = nullptr;
    queue_rules rules;
    // Sort key; see rank_of.
    int rank = 0;
    // Estimated work that the job still needs.
    double core_seconds_left = 0;
    instant objective;
    // The job has waited so long with nothing running that one task starts wherever it fits.
    bool is_starved = false;
    std::vector<std::uint32_t> waiting;
};

// What a job can still earn: 0 its whole benefit, 1 the part for late jobs, 2 nothing. `accepted`
// is the start of the objective's clock, `chain` the work on the longest chain, `left` the part of
// it that remains.
[[nodiscard]] int rank_of(const queue_rules& rules, instant accepted, milliseconds chain,
                          milliseconds left, instant now);

// The order in which steps are placed. Answers bursts that ask for more than there is: work that
// can still be on time goes before work that cannot, since placing by deadline alone starts what
// is about to be late first. Among equals the job that needs least goes first: a job's benefit
// grows more slowly than its work, and what is nearly finished frees the machines for the next.
[[nodiscard]] bool goes_before(const ready_step& a, const ready_step& b);

// What decides beyond the step itself.
struct placement_context {
    instant now;
    const std::set<failure_domain_id>* evacuated = nullptr;
    // Executors that the policy service allows; nullptr: all.
    const std::map<executor_id, std::string>* permits = nullptr;
    // Quarantine and interference do not count.
    bool only_room_counts = false;
    // The machine to avoid if there is another one.
    std::optional<std::size_t> avoid;
    const interference_model* interference = nullptr;
    // Rack that all tasks of the step should be in; empty: any.
    rack_id rack;
};

// The best machine for one more task of the step, if any has room.
[[nodiscard]] std::optional<std::size_t> choose_machine(std::vector<machine_state>& machines,
                                                        const ready_step& step,
                                                        const placement_context& context);
// The least slack of the serving tasks on the machine that fillers of `image` press on, if `added`
// more millicores of it ran there at full pace, as a utilisation; negative if one would miss its
// target.
[[nodiscard]] double slack_beside(machine_state& machine, const interference_model& model,
                                  const std::string& image, std::int64_t added);
// True if the executor may ever run the step: service, label, size.
[[nodiscard]] bool is_eligible(const executor_info& executor, const ready_step& step);
// True if something may start on the machine now.
[[nodiscard]] bool accepts_starts(const machine_state& machine, const placement_context& context);

}  // namespace tanagerpaddle::dispatch
