// Read access for callers: job status, explanations of waiting tasks, summaries and usage.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

job_row scheduler_state::read_job(const job_id& id) {
    const auto stored = read_row(job_key(id));
    if (!stored) {
        throw error(result_code::unknown_job, "no job " + id.value());
    }
    return decode<job_row>(stored->value);
}

job_status scheduler_state::status(const job_id& id) {
    job_status answer{read_job(id), {}};
    for (std::uint32_t k = 0; k < answer.job.group_partitions.size(); ++k) {
        const partition_number shard = answer.job.group_partitions[k];
        const auto row = read_row(group_key(shard, id, k));
        if (!row) {
            continue;
        }
        const partition_state* p = owned(shard);
        for (auto& task : decode<group_row>(row->value).tasks) {
            const task_attempt attempt{{id, task.index}, task.attempt};
            if (p && is_active(task.state)) {
                const auto known = p->transient_states.find(attempt.task);
                if (known != p->transient_states.end() && known->second.attempt == task.attempt) {
                    task.state = task_state::running;
                    task.progress = known->second.progress;
                }
                if (p->evictions.contains(attempt)) {
                    task.state = task_state::evicting;
                }
            }
            answer.tasks.push_back(std::move(task));
        }
    }
    return answer;
}

std::vector<task_explanation> scheduler_state::explain(const job_id& id) {
    const job_status known = status(id);
    std::vector<task_explanation> answers;
    for (const auto& record : known.tasks) {
        task_explanation answer;
        answer.task = {id, record.index};
        answer.state = record.state;
        answer.partition = known.job.group_partitions.at(record.index / tasks_per_group);
        answer.worker = record.worker;
        answer.attempt = record.attempt;
        answer.failure_count = record.failure_count;
        answer.eviction_count = record.eviction_count;
        answer.crash_count = record.crash_count;
        const partition_state* p = owned(answer.partition);
        const group_state* group = p ? find_group(*p, answer.task) : nullptr;
        if (p) {
            answer.owner = self.id;
        } else if (const auto seen = observed.find(answer.partition); seen != observed.end()) {
            answer.owner = seen->second.row.owner;
        }
        if (is_terminal(record.state)) {
            answer.waits_for = wait_cause::nothing;
        } else if (!p) {
            answer.waits_for = wait_cause::owner;
        } else if (is_store_failing || p->needs_rescan || !group) {
            answer.waits_for = wait_cause::store;
        } else {
            explain_task(*p, *group, record, answer);
        }
        answers.push_back(std::move(answer));
    }
    return answers;
}

void scheduler_state::explain_task(const partition_state& p, const group_state& group,
                                   const task_record& record, task_explanation& answer) const {
    const auto known = p.transient_states.find(answer.task);
    if (record.state == task_state::pending) {
        answer.waits_for = wait_cause::planning;
        answer.reason = group.reason;
        if (known != p.transient_states.end() && now() < known->second.retry_at) {
            answer.waits_for = wait_cause::retry_backoff;
        } else if (answer.reason) {
            answer.waits_for = wait_cause::placement;
        } else if (were_claims_over_budget) {
            answer.waits_for = wait_cause::write_budget;
        }
        return;
    }
    const task_attempt attempt{answer.task, record.attempt};
    const auto worker = p.workers.find(record.worker);
    const bool is_silent = worker == p.workers.end() ||
                           now() >= worker->second.last_sync_at + options.worker_sync_timeout;
    if (is_silent) {
        answer.waits_for =
            now() < p.reclaim_from ? wait_cause::old_horizon : wait_cause::worker_lease;
    } else if (record.state == task_state::evicting) {
        answer.waits_for = wait_cause::eviction;
    } else if (record.state == task_state::claimed) {
        answer.waits_for =
            now() < permit_end(p, attempt) ? wait_cause::worker_start : wait_cause::void_claim;
    }
}

std::vector<partition_summary> scheduler_state::summaries() const {
    std::vector<partition_summary> result;
    for (const auto& [number, p] : partitions) {
        partition_summary summary;
        summary.partition = number;
        summary.epoch = p.epoch;
        for (const auto& worker : worker_views(p)) {
            if (!worker.accepts_work) {
                continue;
            }
            ++summary.worker_count;
            summary.free += worker.free;
            if (worker.capacity.processors > summary.largest_worker.processors) {
                summary.largest_worker = worker.capacity;
            }
            if (worker.free.processors > summary.largest_free.processors) {
                summary.largest_free = worker.free;
            }
        }
        for (const auto& [key, group] : p.groups) {
            summary.pending_tasks += static_cast<std::uint32_t>(std::count_if(
                group.row.tasks.begin(), group.row.tasks.end(),
                [](const task_record& task) { return task.state == task_state::pending; }));
        }
        result.push_back(summary);
    }
    return result;
}

std::vector<team_usage> scheduler_state::usage() const {
    std::map<team_id, resources> used;
    for (const auto& [number, p] : partitions) {
        for (const auto& [key, group] : p.groups) {
            for (const auto& task : group.row.tasks) {
                if (is_active(task.state)) {
                    used[group.row.declaration.team] += group.row.declaration.demand;
                }
            }
        }
    }
    std::vector<team_usage> result;
    result.reserve(used.size());
    for (const auto& [team, amount] : used) {
        result.push_back({team, amount});
    }
    return result;
}

}  // namespace tanagerpaddle
