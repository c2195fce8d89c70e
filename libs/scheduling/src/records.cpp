// Changes of tasks that are recorded in their group rows: reports, void claims, tasks of
// unreachable workers and expired holds.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// A worker that refused a start gets no claim until its next sync has reported its tasks.
constexpr milliseconds refusal_backoff{1'000};
// Keeps the backoff far below the deadlines of batch jobs.
constexpr std::uint32_t max_backoff_doublings = 6;
// A call to a runtime times out after 1 s; the query is then repeated.
constexpr milliseconds runtime_query_interval{1'000};

void make_pending(task_record& record) {
    record.state = task_state::pending;
    record.worker = worker_id();
    record.domain = failure_domain_id();
}

}  // namespace

void scheduler_state::wake(const partition_state& p, const worker_id& worker) {
    const auto found = p.workers.find(worker);
    if (found != p.workers.end()) {
        pending_wakes[worker] = found->second.control;
    }
}

void scheduler_state::record_changes(partition_state& p) {
    std::erase_if(p.reports, [&](const auto& item) { return is_recorded(p, item.second.report); });
    group_edits edits;
    for (const auto& [key, received] : p.reports) {
        const group_state* group = find_group(p, received.report.attempt.task);
        if (group && !group->is_commit_unresolved) {
            apply_report(p, received, edits);
        }
    }
    clear_outlived_crashes(p, edits);
    reclaim_tasks(p, edits);
    finish_expired_holds(p, edits);
    commit_edits(p, edits);
    std::erase_if(p.claims, [&](const auto& item) {
        const task_record* record = find_task(p, item.first.task);
        return !p.needs_rescan &&
               (!record || (record->attempt == item.first.attempt && !is_active(record->state)));
    });
}

bool scheduler_state::has_effect(const partition_state& p, const received_report& received) const {
    const task_report& report = received.report;
    const task_record* before = find_task(p, report.attempt.task);
    if (!before || is_terminal(before->state) || report.kind == report_kind::started) {
        return false;
    }
    const bool is_current =
        before->attempt == report.attempt.attempt &&
        (before->worker == received.worker || before->state == task_state::pending);
    // A reclaimed task that finished before it was claimed again need not run again.
    const bool is_late_finish =
        before->state == task_state::pending && report.kind == report_kind::finished;
    return !options.mechanisms.check_report_attempt ||
           (is_current && (is_active(before->state) || is_late_finish));
}

void scheduler_state::apply_report(partition_state& p, const received_report& received,
                                   group_edits& edits) {
    const task_report& report = received.report;
    if (!has_effect(p, received)) {
        return;
    }
    const group_row& group = find_group(p, report.attempt.task)->row;
    task_record& record = *edit_task(p, report.attempt.task, edits);
    worker_record* worker = nullptr;
    if (const auto found = p.workers.find(received.worker); found != p.workers.end()) {
        worker = &found->second;
    }
    switch (report.kind) {
        case report_kind::started:
            break;
        case report_kind::refused:
            make_pending(record);
            ++counts.void_claims;
            if (worker) {
                worker->excluded_until = std::max(worker->excluded_until, now() + refusal_backoff);
            }
            record_decision(decision_kind::void_claim, p.number, report.attempt, received.worker,
                            "refused: " + std::string(name(report.code)));
            break;
        case report_kind::finished:
            record.state = task_state::finished;
            record.progress = 1;
            ++counts.finished_tasks;
            estimator->observe(group.declaration, sound_run_time(report.run_ms));
            if (worker) {
                worker->consecutive_failures = 0;
            }
            break;
        case report_kind::failed:
            apply_failure(p, received.worker, report, record, group);
            break;
        case report_kind::evicted:
            apply_eviction(p, received, record, group);
            break;
    }
}

void scheduler_state::apply_eviction(partition_state& p, const received_report& received,
                                     task_record& record, const group_row& group) {
    const task_report& report = received.report;
    ++record.eviction_count;
    ++counts.evictions;
    record.progress = sound_progress(report.progress);
    if (!report.checkpoint.empty()) {
        record.checkpoint = report.checkpoint;
    }
    p.evictions.erase(report.attempt);
    if (!group.declaration.is_idempotent && record.checkpoint.empty()) {
        // The task has run; a restart without a checkpoint would repeat its side effects.
        record.state = task_state::lost;
        record.code = result_code::outcome_unknown;
        ++counts.lost_tasks;
        record_decision(decision_kind::task_lost, p.number, report.attempt, received.worker,
                        "evicted without a checkpoint");
        return;
    }
    make_pending(record);
    record_decision(decision_kind::eviction, p.number, report.attempt, received.worker,
                    "evicted with checkpoint '" + record.checkpoint + "'");
}

void scheduler_state::apply_failure(partition_state& p, const worker_id& worker,
                                    const task_report& report, task_record& record,
                                    const group_row& group) {
    ++counts.failed_attempts;
    ++record.failure_count;
    record.code = report.code;
    transient_task_state& transient = p.transient_states[report.attempt.task];
    transient.excluded_workers.insert(worker);
    const auto doublings = std::min(record.failure_count - 1, max_backoff_doublings);
    transient.retry_at = now() + options.retry_backoff * (1LL << doublings);
    // A second run of a non-idempotent task would repeat the side effects of the failed one.
    const bool can_retry = group.declaration.is_idempotent || !record.checkpoint.empty();
    if (record.failure_count >= options.max_failures || !can_retry) {
        record.state = task_state::failed;
        record_decision(decision_kind::task_failed, p.number, report.attempt, worker,
                        "failed " + std::to_string(record.failure_count) + " times");
    } else {
        make_pending(record);
    }
    const auto found = p.workers.find(worker);
    if (found != p.workers.end() &&
        ++found->second.consecutive_failures >= options.quarantine_after_failures) {
        found->second.excluded_until = now() + options.quarantine_period;
        // One more failure after the quarantine starts another one.
        found->second.consecutive_failures = options.quarantine_after_failures - 1;
        record_decision(decision_kind::quarantine, p.number, report.attempt, worker,
                        std::to_string(options.quarantine_after_failures) + " failures in a row");
    }
}

bool scheduler_state::has_lease_expired(const partition_state& p, const worker_id& worker) const {
    const instant current_time = now();
    if (current_time < p.reclaim_from) {
        return false;
    }
    const auto found = p.workers.find(worker);
    return found == p.workers.end() ||
           (current_time >= found->second.lease_until &&
            current_time >= found->second.earlier_lease_until &&
            current_time >= found->second.last_sync_at + options.worker_sync_timeout);
}

instant scheduler_state::permit_end(const partition_state& p, const task_attempt& attempt) const {
    const auto claim = p.claims.find(attempt);
    // A claim of an earlier epoch was sent before the takeover.
    const instant sent_at = claim == p.claims.end() ? p.acquired_at : claim->second.sent_at;
    return sent_at + with_margin(options.permit_window);
}

bool scheduler_state::is_no_longer_held(const partition_state& p, const task_attempt& attempt,
                                        const task_record& record) const {
    if (now() < permit_end(p, attempt)) {
        return false;
    }
    if (has_lease_expired(p, record.worker)) {
        return true;
    }
    const auto found = p.workers.find(record.worker);
    const auto claim = p.claims.find(attempt);
    const bool is_own_claim = claim != p.claims.end() && claim->second.worker == record.worker;
    if (!options.mechanisms.confirm_void_claims) {
        return !is_own_claim || !claim->second.was_reported;
    }
    if (is_own_claim && !claim->second.is_permit_sent) {
        return true;  // No permit was sent to any agent.
    }
    if (found == p.workers.end()) {
        return false;
    }
    const worker_record& worker = found->second;
    // The last sync must come from an agent that no longer accepts permits of earlier epochs.
    if (worker.reported.contains(attempt) || worker.epoch != p.epoch ||
        worker.last_sync_at < permit_end(p, attempt)) {
        return false;
    }
    if (!is_own_claim) {
        return true;
    }
    if (worker.incarnation == claim->second.permit_incarnation) {
        // The agent accepts replies to its last request only, so a permit in the reply to an
        // earlier request has either been used or is void.
        return worker.sequence > claim->second.permit_sequence;
    }
    return now() >= worker.earlier_lease_until;
}

void scheduler_state::reclaim_tasks(partition_state& p, group_edits& edits) {
    for (const auto& [key, group] : p.groups) {
        if (group.is_commit_unresolved) {
            continue;
        }
        for (const auto& record : group.row.tasks) {
            const task_key task{group.row.declaration.id, record.index};
            const task_attempt attempt{task, record.attempt};
            if (!is_active(record.state) || !is_no_longer_held(p, attempt, record)) {
                continue;
            }
            task_record& changed = *edit_task(p, task, edits);
            if (!is_active(changed.state)) {
                continue;  // A report has already changed the task.
            }
            const auto claim = p.claims.find(attempt);
            const bool is_own_claim =
                claim != p.claims.end() && claim->second.worker == record.worker;
            const auto worker = p.workers.find(record.worker);
            const bool is_known_unstarted =
                is_own_claim && !claim->second.was_reported &&
                (!claim->second.is_permit_sent ||
                 (worker != p.workers.end() && !has_lease_expired(p, record.worker) &&
                  worker->second.incarnation == claim->second.permit_incarnation));
            if (!is_known_unstarted && has_lease_expired(p, record.worker) &&
                awaits_runtime_reply(p, record.worker)) {
                continue;
            }
            reclaim(p, attempt, changed, group.row.declaration, !is_known_unstarted,
                    is_known_unstarted ? "the permit expired unused"
                                       : "the worker no longer holds the task");
        }
    }
}

bool scheduler_state::awaits_runtime_reply(partition_state& p, const worker_id& id) {
    const auto found = p.workers.find(id);
    if (!options.mechanisms.query_runtime_before_reclaim || found == p.workers.end() ||
        found->second.runtime.address.empty() || found->second.has_runtime_replied) {
        return false;
    }
    worker_record& worker = found->second;
    const instant current_time = now();
    if (!worker.first_runtime_query_at) {
        worker.first_runtime_query_at = current_time;
    } else if (current_time >= *worker.first_runtime_query_at + options.runtime_query_timeout) {
        return false;
    } else if (current_time < worker.last_runtime_query_at + runtime_query_interval) {
        return true;
    }
    worker.last_runtime_query_at = current_time;
    pending_runtime_queries[id] = worker.runtime;
    return true;
}

void scheduler_state::apply_runtime_tasks(const worker_id& id,
                                          const std::vector<runtime_task>& tasks) {
    partition_state* p = owned(partition_of(id.value(), options.partition_count));
    const auto found = p ? p->workers.find(id) : decltype(p->workers.find(id)){};
    if (!p || found == p->workers.end() || !found->second.first_runtime_query_at) {
        return;  // The agent has synced since, or another entry owns the partition.
    }
    found->second.has_runtime_replied = true;
    for (const auto& task : tasks) {
        const bool has_finished = task.state == runtime_task_state::finished;
        if (!has_finished && task.state != runtime_task_state::failed) {
            continue;
        }
        task_report report;
        report.attempt = task.attempt;
        report.kind = has_finished ? report_kind::finished : report_kind::failed;
        report.code = has_finished ? result_code::ok : result_code::task_failed;
        report.progress = task.progress;
        report.run_ms = task.run_ms;
        p->reports[{report.attempt, report.kind}] = {id, report};
    }
}

void scheduler_state::reclaim(partition_state& p, const task_attempt& attempt, task_record& record,
                              const job_declaration& job, bool may_have_started,
                              const std::string& cause) {
    const auto known = p.transient_states.find(attempt.task);
    if (known != p.transient_states.end() && known->second.attempt == attempt.attempt &&
        !known->second.checkpoint.empty()) {
        record.checkpoint = known->second.checkpoint;
        record.progress = known->second.progress;
    }
    const worker_id worker = record.worker;
    if (may_have_started && !job.is_idempotent && record.checkpoint.empty()) {
        record.state = task_state::lost;
        record.code = result_code::outcome_unknown;
        ++counts.lost_tasks;
        record_decision(decision_kind::task_lost, p.number, attempt, worker, cause);
        return;
    }
    if (may_have_started && !count_crash(p, attempt, record)) {
        return;
    }
    make_pending(record);
    if (may_have_started) {
        ++counts.reclaims;
        record_decision(decision_kind::reclaim, p.number, attempt, worker, cause);
    } else {
        ++counts.void_claims;
        record_decision(decision_kind::void_claim, p.number, attempt, worker, cause);
    }
}

void scheduler_state::finish_expired_holds(partition_state& p, group_edits& edits) {
    const utc_millis current_utc = time.utc_now();
    for (const auto& [key, group] : p.groups) {
        const job_declaration& job = group.row.declaration;
        if (job.kind != job_kind::hold || job.complete_by.value() <= 0 ||
            job.complete_by > current_utc || group.is_commit_unresolved) {
            continue;
        }
        for (const auto& record : group.row.tasks) {
            task_record& changed = *edit_task(p, {job.id, record.index}, edits);
            if (!is_terminal(changed.state)) {
                wake(p, changed.worker);
                changed.state = task_state::finished;
                ++counts.finished_tasks;
            }
        }
    }
}

}  // namespace tanagerpaddle
