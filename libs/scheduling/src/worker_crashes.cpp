// Tasks that may crash the workers that start them: the count of crashes, and starts apart from
// other tasks.

#include <algorithm>
#include <functional>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

bool is_excluded(const pending_task& task, const worker_id& worker) {
    return std::find(task.excluded_workers.begin(), task.excluded_workers.end(), worker) !=
           task.excluded_workers.end();
}

// The first worker with room for the task that still accepts work.
const worker_view* first_with_room(const std::vector<worker_view>& workers,
                                   const pending_task& task) {
    const auto found = std::find_if(workers.begin(), workers.end(), [&](const worker_view& worker) {
        return worker.accepts_work && task.demand.fits_in(worker.free) &&
               !is_excluded(task, worker.id);
    });
    return found == workers.end() ? nullptr : &*found;
}

// Adds the demand of the placed tasks to the usage of their teams.
void add_usage(const std::vector<pending_task>& tasks, const placement_plan& plan,
               std::vector<team_share>& teams) {
    for (const auto& placed : plan.placed) {
        const auto task = std::find_if(tasks.begin(), tasks.end(), [&](const pending_task& item) {
            return item.job == placed.job && item.index == placed.index;
        });
        for (auto& team : teams) {
            if (task != tasks.end() && team.team == task->team) {
                team.used += task->demand;
            }
        }
    }
}

}  // namespace

bool scheduler_state::has_outlived_start(const partition_state& p,
                                         const task_attempt& attempt) const {
    const auto known = p.transient_states.find(attempt.task);
    return known != p.transient_states.end() && known->second.attempt == attempt.attempt &&
           known->second.run_time >= options.crash_window;
}

// The run time of an attempt of an earlier owner may be unknown. It counts as short: otherwise
// changes of the owner would hide the crashes.
bool scheduler_state::count_crash(partition_state& p, const task_attempt& attempt,
                                  task_record& record) {
    record.crash_count = has_outlived_start(p, attempt) ? 0 : record.crash_count + 1;
    if (record.crash_count < options.max_crashes) {
        return true;
    }
    record.state = task_state::failed;
    record.code = result_code::task_failed;
    record_decision(decision_kind::task_failed, p.number, attempt, record.worker,
                    std::to_string(record.crash_count) +
                        " workers went away shortly after they had started the task");
    return false;
}

void scheduler_state::clear_outlived_crashes(partition_state& p, group_edits& edits) {
    for (const auto& [key, group] : p.groups) {
        if (group.is_commit_unresolved) {
            continue;
        }
        for (const auto& record : group.row.tasks) {
            const task_key task{group.row.declaration.id, record.index};
            if (record.crash_count > 0 && is_active(record.state) &&
                has_outlived_start(p, {task, record.attempt})) {
                edit_task(p, task, edits)->crash_count = 0;
            }
        }
    }
}

bool scheduler_state::is_suspect(const partition_state& p, const task_key& task) const {
    const task_record* record = find_task(p, task);
    return record && record->crash_count >= options.isolate_after_crashes;
}

scheduler_state::start_risks scheduler_state::recent_starts(const partition_state& p) const {
    start_risks found;
    for (const auto& [key, group] : p.groups) {
        for (const auto& record : group.row.tasks) {
            const task_key task{group.row.declaration.id, record.index};
            if (is_active(record.state) && !has_outlived_start(p, {task, record.attempt})) {
                found.with_recent_start.insert(record.worker);
                if (is_suspect(p, task)) {
                    found.with_suspect.insert(record.worker);
                }
            }
        }
    }
    return found;
}

placement_plan scheduler_state::plan_suspects(const partition_state& p, placement_input& input) {
    const start_risks risks = recent_starts(p);
    for (auto& worker : input.workers) {
        worker.accepts_work = worker.accepts_work && !risks.with_suspect.contains(worker.id);
    }
    placement_input apart = input;
    const auto is_suspected = [&](const pending_task& task) {
        return is_suspect(p, {task.job, task.index});
    };
    std::erase_if(apart.tasks, std::not_fn(is_suspected));
    if (apart.tasks.empty()) {
        return {};
    }
    std::erase_if(input.tasks, is_suspected);
    std::set<worker_id> taken;
    // No new start on one worker with room, so that the first suspect does not wait for ever.
    if (const auto* reserved = first_with_room(input.workers, apart.tasks.front())) {
        taken.insert(reserved->id);
    }
    for (auto& worker : apart.workers) {
        worker.accepts_work = worker.accepts_work && !risks.with_recent_start.contains(worker.id);
    }
    placement_plan plan = strategy.plan(apart);
    std::set<worker_id> used;
    std::erase_if(plan.placed,
                  [&](const placed_task& placed) { return !used.insert(placed.worker).second; });
    taken.insert(used.begin(), used.end());
    for (auto& worker : input.workers) {
        worker.accepts_work = worker.accepts_work && !taken.contains(worker.id);
    }
    input.max_starts -= std::min(input.max_starts, plan.placed.size());
    add_usage(apart.tasks, plan, input.teams);
    return plan;
}

}  // namespace tanagerpaddle
