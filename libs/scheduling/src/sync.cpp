// Replies to agents' syncs: leases, permits, orders and acknowledgements.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

bool holds_attempt(const task_record* record, const task_attempt& attempt,
                   const worker_id& worker) {
    return record && record->attempt == attempt.attempt && record->worker == worker &&
           is_active(record->state);
}

}  // namespace

sync_reply scheduler_state::redirect_reply(partition_number number, sync_reply reply) const {
    reply.code = result_code::not_ready;
    const auto seen = observed.find(number);
    if (seen != observed.end() && !seen->second.row.is_released) {
        const entry_info* owner = live_entry(seen->second.row.owner);
        if (owner && owner->id != self.id) {
            reply.code = result_code::not_owner;
            reply.redirect = *owner;
            return reply;
        }
    }
    const entry_info* desired = live_entry(desired_owner(number));
    if (desired && desired->id != self.id) {
        reply.code = result_code::not_owner;
        reply.redirect = *desired;
    }
    return reply;
}

sync_reply scheduler_state::sync(const sync_request& request) {
    check_sync(request);
    sync_reply reply;
    reply.entries = live_entries;
    reply.next_sync_ms = options.sync_interval.count();
    if (current_configuration && configuration_version > request.configuration) {
        reply.configuration =
            agent_configuration{configuration_version, current_configuration->services,
                                current_configuration->is_drained(request.domain)};
    }
    const auto number = partition_of(request.worker.value(), options.partition_count);
    partition_state* p = owned(number);
    if (!p) {
        return redirect_reply(number, std::move(reply));
    }
    if (!record_worker(*p, request) || !p->is_loaded || p->is_release_unresolved ||
        now() >= p->horizon_end) {
        // Past the horizon, or after a release, another owner may exist: no lease, no order, no
        // acknowledgement.
        reply.code = result_code::not_ready;
        return reply;
    }
    reply.epoch = p->epoch;
    const instant granted_at = now();
    const auto until_horizon =
        std::chrono::duration_cast<milliseconds>(p->horizon_end - granted_at);
    const milliseconds lease = std::min(options.worker_lease, until_horizon);
    reply.lease_ms = lease.count();
    worker_record& worker = p->workers.at(request.worker);
    worker.lease_until = std::max(worker.lease_until, granted_at + with_margin(lease));
    add_task_orders(*p, request, reply);
    add_permits(*p, request, reply);
    auto reports = request.reports;
    std::sort(reports.begin(), reports.end(),
              [](const task_report& a, const task_report& b) { return a.sequence < b.sequence; });
    for (const auto& report : reports) {
        if (!is_recorded(*p, report)) {
            break;
        }
        reply.acknowledged = report.sequence;
    }
    return reply;
}

bool scheduler_state::record_worker(partition_state& p, const sync_request& request) {
    const auto [found, is_new] = p.workers.try_emplace(request.worker);
    worker_record& worker = found->second;
    if (is_new || worker.incarnation != request.incarnation) {
        worker.earlier_lease_until = is_new ? p.reclaim_from : worker.lease_until;
        worker.incarnation = request.incarnation;
    } else if (request.sequence <= worker.sequence) {
        return false;
    }
    worker.sequence = request.sequence;
    worker.control = request.control;
    worker.runtime = request.runtime;
    worker.first_runtime_query_at.reset();
    worker.has_runtime_replied = false;
    worker.domain = request.domain;
    worker.rack = request.rack;
    worker.capacity = request.capacity;
    worker.free = request.free;
    worker.is_leaving = request.is_leaving;
    worker.epoch = request.epoch;
    worker.last_sync_at = now();
    known_workers[request.worker] = request.control;
    worker.held.clear();
    worker.reported.clear();
    for (const auto& task : request.tasks) {
        worker.held[task.attempt] = task;
        worker.reported.insert(task.attempt);
        const task_record* record = find_task(p, task.attempt.task);
        if (!holds_attempt(record, task.attempt, request.worker)) {
            continue;
        }
        transient_task_state& transient = p.transient_states[task.attempt.task];
        if (transient.attempt != task.attempt.attempt) {
            transient.checkpoint.clear();  // The attempt may have started without it.
        }
        transient.attempt = task.attempt.attempt;
        transient.progress = sound_progress(task.progress);
        transient.run_time = sound_run_time(task.run_ms);
        if (!task.checkpoint.empty()) {
            transient.checkpoint = task.checkpoint;
        }
    }
    for (const auto& report : request.reports) {
        worker.reported.insert(report.attempt);
        p.reports[{report.attempt, report.kind}] = {request.worker, report};
    }
    for (const auto& attempt : worker.reported) {
        const auto claim = p.claims.find(attempt);
        if (claim != p.claims.end() && claim->second.worker == request.worker) {
            counts.starts += claim->second.was_reported ? 0 : 1;
            claim->second.was_reported = true;
        }
    }
    return true;
}

void scheduler_state::add_task_orders(partition_state& p, const sync_request& request,
                                      sync_reply& reply) {
    for (const auto& task : request.tasks) {
        const group_state* group = find_group(p, task.attempt.task);
        if (group && group->is_commit_unresolved) {
            continue;  // No order until the outcome of the commit is known.
        }
        if (is_group_unreadable(p, task.attempt.task)) {
            reply.current.push_back(task.attempt);
            continue;
        }
        if (holds_attempt(find_task(p, task.attempt.task), task.attempt, request.worker)) {
            reply.current.push_back(task.attempt);
            if (p.evictions.contains(task.attempt)) {
                reply.orders.push_back({task.attempt, order_kind::evict, 100});
            }
        } else if (!p.needs_rescan) {
            reply.orders.push_back({task.attempt, order_kind::stop, 100});
        }
    }
}

void scheduler_state::add_permits(partition_state& p, const sync_request& request,
                                  sync_reply& reply) {
    const worker_record& worker = p.workers.at(request.worker);
    if (request.is_leaving || is_drained(request.domain)) {
        return;
    }
    for (auto& [attempt, claim] : p.claims) {
        const task_record* record = find_task(p, attempt.task);
        const group_state* group = find_group(p, attempt.task);
        if (claim.worker != request.worker || claim.was_reported || !group ||
            group->is_commit_unresolved || !holds_attempt(record, attempt, request.worker) ||
            worker.reported.contains(attempt)) {
            continue;
        }
        // An earlier incarnation of the agent may have used the permit.
        if (claim.is_permit_sent && claim.permit_incarnation != request.incarnation) {
            continue;
        }
        milliseconds valid = options.permit_window;
        if (options.mechanisms.check_permit_window) {
            const auto elapsed = std::chrono::ceil<milliseconds>(now() - claim.sent_at);
            valid -= with_margin(elapsed);
        }
        if (valid.count() <= 0) {
            continue;
        }
        claim.is_permit_sent = true;
        claim.permit_incarnation = request.incarnation;
        claim.permit_sequence = request.sequence;
        const job_declaration& job = group->row.declaration;
        reply.starts.push_back({attempt, job.kind, job.demand, valid.count(), job.run_time.count(),
                                job.command, record->checkpoint, job.can_checkpoint});
    }
}

bool scheduler_state::is_recorded(const partition_state& p, const task_report& report) const {
    const group_state* group = find_group(p, report.attempt.task);
    if (is_group_unreadable(p, report.attempt.task)) {
        return false;
    }
    if (!group) {
        return !p.needs_rescan;  // The job has ended, or the group was moved while pending.
    }
    const task_record* record = find_task(p, report.attempt.task);
    if (group->is_commit_unresolved || !record || record->attempt < report.attempt.attempt) {
        return false;
    }
    if (is_terminal(record->state) || report.kind == report_kind::started) {
        return true;
    }
    if (record->attempt > report.attempt.attempt) {
        return options.mechanisms.check_report_attempt;
    }
    return record->state == task_state::pending && report.kind != report_kind::finished;
}

}  // namespace tanagerpaddle
