// Placement of pending tasks on the owner's workers, and the claims that record it.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

bool scheduler_state::is_drained(const failure_domain_id& domain) const {
    if (current_configuration && current_configuration->is_drained(domain)) {
        return true;
    }
    const auto found = domains.find(domain);
    return found != domains.end() && found->second.is_drained;
}

std::vector<worker_view> scheduler_state::worker_views(const partition_state& p) const {
    const instant current_time = now();
    std::map<worker_id, resources> unreported;
    if (options.mechanisms.reserve_claimed_amounts) {
        for (const auto& [key, group] : p.groups) {
            for (const auto& record : group.row.tasks) {
                const auto worker = p.workers.find(record.worker);
                if (is_active(record.state) && worker != p.workers.end() &&
                    !worker->second.held.contains(
                        {{group.row.declaration.id, record.index}, record.attempt})) {
                    unreported[record.worker] += group.row.declaration.demand;
                }
            }
        }
    }
    std::vector<worker_view> views;
    for (const auto& [id, worker] : p.workers) {
        worker_view view;
        view.id = id;
        view.domain = worker.domain;
        view.rack = worker.rack;
        view.capacity = worker.capacity;
        view.free = worker.free - unreported[id];
        view.accepts_work = !worker.is_leaving && !is_drained(worker.domain) &&
                            domains.contains(worker.domain) &&
                            current_time >= worker.excluded_until &&
                            current_time < worker.last_sync_at + options.worker_sync_timeout;
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<pending_task> scheduler_state::pending_tasks(partition_state& p) const {
    const instant current_time = now();
    std::vector<pending_task> tasks;
    for (const auto& [key, group] : p.groups) {
        const job_declaration& job = group.row.declaration;
        if (group.is_commit_unresolved) {
            continue;
        }
        for (const auto& record : group.row.tasks) {
            if (record.state != task_state::pending) {
                continue;
            }
            pending_task task;
            const auto known = p.transient_states.find({job.id, record.index});
            if (known != p.transient_states.end()) {
                if (current_time < known->second.retry_at) {
                    continue;
                }
                task.excluded_workers.assign(known->second.excluded_workers.begin(),
                                             known->second.excluded_workers.end());
            }
            task.job = job.id;
            task.index = record.index;
            task.team = job.team;
            task.demand = job.demand;
            task.priority = job.priority;
            task.complete_by = job.complete_by;
            task.submitted_at = group.row.submitted_at;
            const auto run_time_ms = static_cast<double>(estimator->estimate(job).count());
            task.remaining_run_time =
                milliseconds(static_cast<std::int64_t>(run_time_ms * (1 - record.progress)));
            tasks.push_back(std::move(task));
        }
    }
    return tasks;
}

std::vector<team_share> scheduler_state::team_shares() const {
    std::map<team_id, resources> used;
    for (const auto& team : usage()) {
        used[team.team] += team.used;
    }
    for (const auto& team : remote_usage) {
        used[team.team] += team.used;
    }
    std::vector<team_share> shares;
    if (current_configuration) {
        for (const auto& team : current_configuration->teams) {
            shares.push_back({team.id, used[team.id], team.quota, team.can_borrow});
        }
    }
    return shares;
}

void scheduler_state::plan_claims(partition_state& p) {
    // No permit may expire later than the horizon.
    if (p.needs_rescan || now() + with_margin(options.permit_window) >= p.horizon_end) {
        return;
    }
    placement_input input;
    input.tasks = pending_tasks(p);
    if (input.tasks.empty()) {
        return;
    }
    input.workers = worker_views(p);
    input.teams = team_shares();
    input.now = time.utc_now();
    input.max_starts = options.max_starts_per_tick;
    placement_plan plan = plan_suspects(p, input);
    const placement_plan others = strategy.plan(input);
    plan.placed.insert(plan.placed.end(), others.placed.begin(), others.placed.end());
    plan.unplaced.insert(plan.unplaced.end(), others.unplaced.begin(), others.unplaced.end());
    record_unplaced(p, plan);
    std::vector<placed_task> urgent;
    std::vector<placed_task> normal;
    for (const auto& placed : plan.placed) {
        const group_state* group = find_group(p, {placed.job, placed.index});
        check_invariant(group, "the plan places a task that is not pending: " + placed.job.value());
        const bool is_urgent = group->row.declaration.priority == job_priority::urgent;
        (is_urgent ? urgent : normal).push_back(placed);
    }
    commit_claims(p, urgent, write_class::urgent);
    commit_claims(p, normal, write_class::deferrable);
}

void scheduler_state::record_unplaced(partition_state& p, const placement_plan& plan) {
    const auto group_of = [&](const job_id& job, std::uint32_t index) {
        return p.groups.find(group_key(p.number, job, index / tasks_per_group));
    };
    for (const auto& task : plan.unplaced) {
        const auto group = group_of(task.job, task.index);
        if (group == p.groups.end()) {
            continue;
        }
        group->second.reason = task.reason;
        // A team over its quota is over it in every partition, so a move would not help.
        if (task.reason != unplaced_reason::over_quota) {
            group->second.unplaced_since = std::min(group->second.unplaced_since, now());
        }
    }
    for (const auto& task : plan.placed) {
        const auto group = group_of(task.job, task.index);
        if (group != p.groups.end()) {
            group->second.unplaced_since = instant::max();
            group->second.reason.reset();
        }
    }
}

void scheduler_state::commit_claims(partition_state& p, const std::vector<placed_task>& placed,
                                    write_class priority) {
    if (placed.empty() || p.needs_rescan) {
        return;
    }
    table_transaction transaction;
    add_owner_condition(p, transaction);
    group_edits edits;
    std::set<failure_domain_id> affected_domains;
    std::vector<std::pair<task_attempt, worker_id>> claimed;
    for (const auto& task : placed) {
        task_record& record = *edit_task(p, {task.job, task.index}, edits);
        record.attempt = record.attempt.next();
        record.state = task_state::claimed;
        record.worker = task.worker;
        record.domain = p.workers.at(task.worker).domain;
        affected_domains.insert(record.domain);
        claimed.push_back({{{task.job, task.index}, record.attempt}, task.worker});
    }
    if (options.mechanisms.condition_on_domain) {
        for (const auto& domain : affected_domains) {
            transaction.conditions.push_back({domain_key(domain), domains.at(domain).version});
        }
    }
    for (const auto& [key, row] : edits) {
        transaction.conditions.push_back({key, p.groups.at(key).version});
        transaction.puts.push_back({key, encode(row)});
    }
    const instant sent_at = now();
    const commit_attempt result = try_commit(transaction, priority, counts.claim_rows);
    were_claims_over_budget = result.outcome == commit_outcome::over_budget;
    const bool may_be_committed =
        result.outcome == commit_outcome::committed || result.outcome == commit_outcome::unknown;
    for (const auto& [attempt, worker] : claimed) {
        if (!may_be_committed) {
            continue;
        }
        claim_record claim;
        claim.worker = worker;
        claim.sent_at = sent_at;
        p.claims[attempt] = claim;
        ++counts.claims;
        wake(p, worker);
        record_decision(decision_kind::claim, p.number, attempt, worker,
                        result.outcome == commit_outcome::committed
                            ? "placed"
                            : "no answer from the table yet");
    }
    for (const auto& key : result.conflicts) {
        for (const auto& domain : affected_domains) {
            if (domain_key(domain) == key) {
                domains.erase(domain);  // The next tick reads it again.
            }
        }
    }
    apply_outcome(p, result, edits);
}

}  // namespace tanagerpaddle
