// Starts, stops and evictions of tasks on the worker's runtime.

#include <algorithm>

#include "agent_state.hpp"

namespace tanagerpaddle {

namespace {

// Above this number, attempts of tasks that are no longer held are removed. They only guard against
// stale permits, which expire within seconds.
constexpr std::size_t max_tracked_attempts = 50'000;

}  // namespace

result_code agent_state::check_permit(const start_permit& permit, instant requested_at) const {
    if (is_leaving) {
        return result_code::leaving;
    }
    const auto known = latest_attempts.find(permit.attempt.task);
    if (options.mechanisms.check_attempt && known != latest_attempts.end() &&
        permit.attempt.attempt <= known->second) {
        return result_code::stale_epoch;
    }
    if (options.mechanisms.check_permit_window &&
        time.now() >= requested_at + sound_time(permit.valid_ms)) {
        return result_code::deadline_exceeded_not_run;
    }
    return result_code::ok;
}

void agent_state::handle_permit(const start_permit& permit, instant requested_at,
                                instant lease_end) {
    const auto known = latest_attempts.find(permit.attempt.task);
    if (known != latest_attempts.end() && permit.attempt.attempt == known->second) {
        return;  // A repeated permit: the attempt is held here or its report is pending.
    }
    result_code refusal = check_permit(permit, requested_at);
    if (refusal == result_code::ok && !stop_earlier_attempts(permit.attempt)) {
        refusal = result_code::connection_refused;
    }
    if (refusal != result_code::ok) {
        add_report(permit.attempt, report_kind::refused, refusal);
        return;
    }
    if (latest_attempts.size() > max_tracked_attempts) {
        std::erase_if(latest_attempts, [&](const auto& item) {
            return !tasks.contains({item.first, item.second});
        });
    }
    latest_attempts[permit.attempt.task] = permit.attempt.attempt;
    start(permit, requested_at, lease_end);
}

bool agent_state::stop_earlier_attempts(const task_attempt& attempt) {
    const auto is_earlier = [&](const task_attempt& other) {
        return other.task == attempt.task && other.attempt < attempt.attempt;
    };
    std::vector<task_attempt> stale;
    for (const auto& [other, task] : tasks) {
        if (is_earlier(other) && !task.is_ended) {
            stale.push_back(other);
        }
    }
    for (const auto& other : stale) {
        stop_and_remove(other);
    }
    return std::none_of(stale.begin(), stale.end(),
                        [&](const task_attempt& other) { return tasks.contains(other); });
}

void agent_state::start(const start_permit& permit, instant requested_at, instant lease_end) {
    const std::string key = to_string(permit.attempt);
    const bool fits = ledger.commit(key, permit.demand);
    if (!fits && options.mechanisms.check_ledger) {
        add_report(permit.attempt, report_kind::refused, result_code::overloaded);
        return;
    }
    agent_task task;
    task.demand = permit.demand;
    task.can_checkpoint = permit.can_checkpoint;
    task.checkpoint = permit.checkpoint;
    task.is_unconfirmed = false;
    task.is_current = true;
    task.started_at = time.now();
    // The clock is read again, since stopping earlier attempts may have taken time.
    task.lease_until = lease_end;
    const std::int64_t lease_ms = remaining_lease_ms(task);
    const bool has_expired = options.mechanisms.check_permit_window &&
                             time.now() >= requested_at + sound_time(permit.valid_ms);
    if (has_expired || lease_ms <= 0) {
        ledger.release(key);
        add_report(permit.attempt, report_kind::refused, result_code::deadline_exceeded_not_run);
        return;
    }
    start_permit adjusted_permit = permit;
    if (options.mechanisms.check_permit_window) {
        // The runtime measures the time from its receipt of this call, which may wait in the
        // socket while the runtime is frozen.
        const auto end = requested_at + sound_time(permit.valid_ms);
        adjusted_permit.valid_ms =
            std::chrono::duration_cast<milliseconds>(end - time.now()).count();
    }
    try {
        runtime.start(adjusted_permit, lease_ms);
    } catch (const error& failure) {
        if (means_not_run(failure.code())) {
            ledger.release(key);
            add_report(permit.attempt, report_kind::refused, failure.code());
            return;
        }
        task.is_start_unknown = true;
    }
    tasks[permit.attempt] = task;
    if (!task.is_start_unknown) {
        add_report(permit.attempt, report_kind::started, result_code::ok);
    }
}

void agent_state::execute_order(const task_order& order) {
    const auto found = tasks.find(order.attempt);
    if (found == tasks.end() || found->second.is_ended) {
        return;
    }
    switch (order.kind) {
        case order_kind::stop:
            stop_and_remove(order.attempt);
            break;
        case order_kind::evict:
            found->second.is_evicting = true;
            evict(order.attempt);
            break;
        case order_kind::throttle:
            try {
                runtime.throttle(order.attempt, order.speed_percent);
                found->second.speed_percent = order.speed_percent;
            } catch (const error&) {
                // The next sync reports the old speed, and the owner repeats the order.
            }
            break;
    }
}

void agent_state::evict(const task_attempt& attempt) {
    agent_task& task = tasks.at(attempt);
    try {
        if (has_ended_at_runtime(attempt)) {
            return;
        }
        if (task.can_checkpoint) {
            const std::string key = runtime.checkpoint(attempt);
            if (!key.empty()) {
                task.checkpoint = key;
            }
        }
        runtime.stop(attempt);
    } catch (const error&) {
        return;  // The next tick retries.
    }
    end_task(attempt, report_kind::evicted, result_code::ok);
}

// True if the task has ended since the last poll: reported as evicted, it would run again. The task
// is paused first, so that it cannot end between this check and its stop.
bool agent_state::has_ended_at_runtime(const task_attempt& attempt) {
    if (!options.mechanisms.check_completion_before_eviction) {
        return false;
    }
    try {
        runtime.pause(attempt);
    } catch (const error& failure) {
        if (failure.code() != result_code::unknown_job &&
            failure.code() != result_code::duplicate_request) {
            throw;
        }
    }
    for (const auto& found : runtime.list()) {
        const bool has_ended = found.state == runtime_task_state::finished ||
                               found.state == runtime_task_state::failed;
        if (found.attempt == attempt && has_ended) {
            apply_listing(found);
            return true;
        }
    }
    return false;
}

void agent_state::stop_and_remove(const task_attempt& attempt) {
    const auto found = tasks.find(attempt);
    try {
        runtime.stop(attempt);
        runtime.forget(attempt);
    } catch (const error&) {
        // The task keeps its resources while it may be running. The runtime pauses it once its
        // lease expires, and the owner repeats the order.
        if (found != tasks.end()) {
            found->second.is_current = false;
            found->second.lease_until = instant::min();
        }
        return;
    }
    remove_task(attempt);
}

// The owner finds that the attempt is no longer held and decides whether the task may run again.
void agent_state::remove_task(const task_attempt& attempt) {
    ledger.release(to_string(attempt));
    tasks.erase(attempt);
}

void agent_state::resolve_unknown_start(const task_attempt& attempt,
                                        const std::set<task_attempt>& listed) {
    agent_task& task = tasks.at(attempt);
    if (listed.contains(attempt)) {
        task.is_start_unknown = false;
        add_report(attempt, report_kind::started, result_code::ok);
        return;
    }
    // A start request that is still in flight would have arrived within two task leases.
    if (time.now() < task.started_at + 2 * options.task_lease) {
        return;
    }
    try {
        runtime.stop(attempt);
    } catch (const error&) {
        return;
    }
    remove_task(attempt);
}

}  // namespace tanagerpaddle
