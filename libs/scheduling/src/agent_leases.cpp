// Polling of the runtime and renewal of the tasks' leases.

#include <algorithm>

#include "agent_state.hpp"

namespace tanagerpaddle {

void agent_state::tick() {
    if (!is_recovered) {
        return;
    }
    // Leases first: after a pause of this process, an expired lease must not be renewed.
    update_leases();
    apply_reservations();
    std::vector<runtime_task> listing;
    try {
        listing = runtime.list();
    } catch (const error&) {
        return;
    }
    std::set<task_attempt> listed;
    for (const auto& found : listing) {
        listed.insert(found.attempt);
        apply_listing(found);
    }
    std::vector<task_attempt> attempts;
    for (const auto& [attempt, task] : tasks) {
        if (!task.is_ended) {
            attempts.push_back(attempt);
        }
    }
    for (const auto& attempt : attempts) {
        const auto found = tasks.find(attempt);
        if (found == tasks.end()) {
            continue;
        }
        if (found->second.is_start_unknown) {
            resolve_unknown_start(attempt, listed);
        } else if (!listed.contains(attempt)) {
            // The runtime has restarted and lost the task.
            remove_task(attempt);
        } else if (found->second.is_evicting) {
            evict(attempt);
        }
    }
    update_leases();
}

void agent_state::apply_listing(const runtime_task& found) {
    const auto known = tasks.find(found.attempt);
    if (known == tasks.end()) {
        adopt(found);
        return;
    }
    agent_task& task = known->second;
    if (task.is_ended) {
        return;
    }
    task.state = found.state;
    task.progress = found.progress;
    task.used_processors = found.used_processors;
    task.run_ms = found.run_ms;
    task.speed_percent = found.speed_percent;
    if (!found.checkpoint.empty()) {
        task.checkpoint = found.checkpoint;
    }
    if (found.state == runtime_task_state::finished) {
        end_task(found.attempt, report_kind::finished, result_code::ok);
    } else if (found.state == runtime_task_state::failed) {
        end_task(found.attempt, report_kind::failed, result_code::task_failed);
    }
}

void agent_state::end_task(const task_attempt& attempt, report_kind kind, result_code code) {
    agent_task& task = tasks.at(attempt);
    task.is_ended = true;
    task.is_current = false;
    ledger.release(to_string(attempt));
    add_report(attempt, kind, code);
}

std::int64_t agent_state::remaining_lease_ms(const agent_task& task) const {
    if (!options.mechanisms.check_lease) {
        return options.task_lease.count();
    }
    const instant current_time = time.now();
    if (task.lease_until <= current_time) {
        return 0;
    }
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(task.lease_until - current_time);
    return std::min(remaining, options.task_lease).count();
}

void agent_state::update_leases() {
    std::map<std::int64_t, std::vector<task_attempt>> renewals;
    for (auto& [attempt, task] : tasks) {
        const bool awaits_confirmation =
            options.mechanisms.check_lease && task.is_unconfirmed && !task.is_current;
        if (!task.is_ended && !task.is_start_unknown && !task.is_evicting && !awaits_confirmation) {
            try {
                update_lease(attempt, task, renewals);
            } catch (const error&) {
                // The runtime itself pauses the task when its lease expires.
            }
        }
    }
    for (const auto& [lease_ms, attempts] : renewals) {
        try {
            runtime.renew(attempts, lease_ms);
        } catch (const error&) {
            return;  // As above; the next tick renews again.
        }
    }
}

void agent_state::update_lease(const task_attempt& attempt, agent_task& task,
                               std::map<std::int64_t, std::vector<task_attempt>>& renewals) {
    const std::int64_t remaining = remaining_lease_ms(task);
    const bool may_run = task.is_current || !options.mechanisms.check_lease;
    if (remaining <= 0) {
        if (task.state == runtime_task_state::running) {
            runtime.pause(attempt);
            task.state = runtime_task_state::paused;
        }
    } else if (task.state == runtime_task_state::running) {
        renewals[remaining].push_back(attempt);
    } else if (task.state == runtime_task_state::paused && may_run) {
        runtime.resume(attempt, remaining);
        task.state = runtime_task_state::running;
    }
}

}  // namespace tanagerpaddle
