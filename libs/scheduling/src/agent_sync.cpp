// Syncs with the owner: recovery, requests, replies and reports.

#include <algorithm>

#include "agent_state.hpp"

namespace tanagerpaddle {

namespace {

constexpr milliseconds min_sync_interval{1};
// An owner that hears nothing for longer gives the worker up; its horizon is no longer either.
constexpr milliseconds max_sync_interval{60'000};

}  // namespace

bool agent_state::recover() {
    std::vector<runtime_task> found;
    try {
        found = runtime.list();
    } catch (const error&) {
        return false;
    }
    // Higher attempts first, so that a stale one never uses the resources of the current one.
    std::sort(found.begin(), found.end(),
              [](const runtime_task& a, const runtime_task& b) { return b.attempt < a.attempt; });
    is_recovered = true;
    for (const auto& task : found) {
        adopt(task);
    }
    next_sync_at = deadline(time.now());
    return true;
}

// Adds a task that is unknown to the agent but listed by the runtime, and commits its resources.
void agent_state::adopt(const runtime_task& found) {
    attempt_number& newest = latest_attempts[found.attempt.task];
    if (found.attempt.attempt < newest) {
        stop_and_remove(found.attempt);
        return;
    }
    newest = found.attempt.attempt;
    agent_task task;
    task.demand = found.demand;
    task.started_at = time.now();
    task.state = found.state;
    task.progress = found.progress;
    task.checkpoint = found.checkpoint;
    task.run_ms = found.run_ms;
    const bool has_ended =
        found.state == runtime_task_state::finished || found.state == runtime_task_state::failed;
    if (!has_ended && options.mechanisms.rebuild_ledger &&
        !ledger.commit(to_string(found.attempt), found.demand)) {
        task.is_evicting = true;
    }
    tasks[found.attempt] = task;
    if (has_ended) {
        const bool is_finished = found.state == runtime_task_state::finished;
        end_task(found.attempt, is_finished ? report_kind::finished : report_kind::failed,
                 is_finished ? result_code::ok : result_code::task_failed);
    }
}

void agent_state::add_report(const task_attempt& attempt, report_kind kind, result_code code) {
    task_report report;
    report.sequence = ++report_sequence;
    report.attempt = attempt;
    report.kind = kind;
    report.code = code;
    const auto task = tasks.find(attempt);
    if (task != tasks.end()) {
        report.checkpoint = task->second.checkpoint;
        report.progress = task->second.progress;
        report.run_ms = task->second.run_ms;
    }
    reports.push_back(std::move(report));
    has_new_reports = true;
}

sync_request agent_state::next_sync_request() {
    if (!is_recovered) {
        throw error(result_code::not_ready, "the runtime's tasks are not known yet");
    }
    sync_request request;
    request.worker = identity.worker;
    request.incarnation = incarnation;
    request.sequence = ++sequence;
    request.control = identity.control;
    request.runtime = identity.runtime;
    request.domain = identity.domain;
    request.rack = identity.rack;
    request.capacity = ledger.capacity();
    request.free = ledger.free();
    for (const auto& [attempt, task] : tasks) {
        if (task.is_ended) {
            continue;
        }
        held_task held;
        held.attempt = attempt;
        held.state = task.is_evicting ? task_state::evicting : task_state::running;
        held.demand = task.demand;
        held.progress = task.progress;
        held.checkpoint = task.checkpoint;
        held.used_processors = task.used_processors;
        held.speed_percent = task.speed_percent;
        held.run_ms = task.run_ms;
        request.tasks.push_back(std::move(held));
    }
    request.reports = reports;
    request.targets = targets;
    request.configuration = current_configuration.version;
    request.epoch = epoch;
    request.is_leaving = is_leaving;
    has_new_reports = false;
    is_reply_pending = true;
    sent_at = time.now();
    next_sync_at = deadline::after(sent_at, options.sync_interval);
    return request;
}

void agent_state::on_reply(const sync_reply& reply, std::uint64_t answered_sequence) {
    // The owner relies on this: when it receives a later request, a permit in the reply to an
    // earlier one is either used or void.
    if (!is_recovered || !is_reply_pending || answered_sequence != sequence) {
        return;
    }
    is_reply_pending = false;
    redirect = reply.redirect;
    if (!reply.entries.empty()) {
        entries = reply.entries;
    }
    if (reply.configuration && reply.configuration->version > current_configuration.version) {
        current_configuration = *reply.configuration;
        apply_reservations();
    }
    if (reply.code != result_code::ok || (options.mechanisms.check_epoch && reply.epoch < epoch)) {
        return;
    }
    epoch = reply.epoch;
    next_sync_at = deadline::after(sent_at, std::clamp(milliseconds(reply.next_sync_ms),
                                                       min_sync_interval, max_sync_interval));
    acknowledge(reply.acknowledged);
    const instant requested_at = sent_at;
    const instant lease_end = requested_at + sound_time(reply.lease_ms);
    for (auto& [attempt, task] : tasks) {
        task.is_current = false;
    }
    for (const auto& attempt : reply.current) {
        const auto task = tasks.find(attempt);
        if (task != tasks.end()) {
            task->second.is_current = true;
            task->second.is_unconfirmed = false;
            task->second.lease_until = lease_end;
        }
    }
    for (const auto& order : reply.orders) {
        execute_order(order);
    }
    for (const auto& permit : reply.starts) {
        handle_permit(permit, requested_at, lease_end);
    }
    update_leases();
}

void agent_state::acknowledge(std::uint64_t up_to) {
    for (const auto& report : reports) {
        const auto task = tasks.find(report.attempt);
        if (report.sequence > up_to || report.kind == report_kind::started || task == tasks.end() ||
            !task->second.is_ended) {
            continue;
        }
        try {
            runtime.forget(report.attempt);
        } catch (const error&) {
            // The runtime lists the task again; its report is sent and acknowledged again.
        }
        tasks.erase(task);
    }
    std::erase_if(reports, [&](const task_report& report) { return report.sequence <= up_to; });
}

void agent_state::apply_reservations() {
    std::set<service_id> local;
    for (const auto& target : targets) {
        local.insert(target.service);
    }
    for (const auto& service : reserved) {
        if (!local.contains(service)) {
            ledger.release_reservation(service);
        }
    }
    std::erase_if(reserved, [&](const service_id& service) { return !local.contains(service); });
    for (const auto& service : current_configuration.services) {
        // A reservation that does not fit is retried with each tick, since tasks end.
        if (local.contains(service.id) && ledger.reserve(service.id, service.reserved)) {
            reserved.insert(service.id);
            ledger.slots(service.id)->resize(service.slots);
        }
    }
}

}  // namespace tanagerpaddle
