// Crashes of executors: which tasks may have caused one, and starts apart from other tasks.

#include "crashes.hpp"

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Time after the start of a suspect in which a view of its run arrives.
constexpr milliseconds max_time_to_clear{10'000};

// The age of a run at the end of its executor, if the agent has reported it.
std::optional<milliseconds> reported_age(const task_key& key, run_number run,
                                         const std::vector<run_age>& ages) {
    const auto found = std::find_if(ages.begin(), ages.end(), [&](const run_age& each) {
        return each.task == key && each.run == run;
    });
    return found == ages.end() ? std::nullopt : std::optional(found->age);
}

}  // namespace

bool coordinator::state::may_have_crashed(const task_key& key, const task_state& task,
                                          const std::vector<run_age>& ages) const {
    if (!task.occupies_instance() || task.phase == task_phase::placed) {
        return false;
    }
    if (const auto age = reported_age(key, task.run, ages)) {
        return *age < config.crashes.suspicion_window;
    }
    const auto& instance = instances[*task.instance];
    if (task.has_begun) {
        return instance.listed_at - task.started_at < config.crashes.unobserved_window;
    }
    // An agent that has lost the run to a restart may have sent the start.
    return ages.empty() || task.started_at < instance.linked_at;
}

// Requeues the tasks of an executor that no longer exists. One that was draining has left as it
// announced; any other has crashed.
void coordinator::state::remove_executor(std::size_t index, const std::vector<run_age>& ages,
                                         const surviving_runs& survivors) {
    auto& instance = instances[index];
    std::vector<task_key> keys;
    for (const auto& key : instance.tasks) {
        const auto survivor = survivors.find({key, find_task(key)->run});
        if (survivor == survivors.end() || !survivor->second) {
            keys.push_back(key);
        }
    }
    const bool has_crashed =
        instance.executor ? !instance.executor->is_draining : !instance.tasks.empty();
    auto suspects = has_crashed ? collect_suspects(index, keys, ages) : crash_suspects{};
    clear_instance(index, survivors);
    if (instance.executor) {
        for (auto& [step, permits] : permits_by_step) {
            permits.forget(instance.executor->id);
        }
    }
    set_executor(instance, std::nullopt);
    // No leases are granted until the next executor has reported itself, but it may take a call
    // that was meant for this one.
    instance.expires_at = time.now() + config.timing.call_expiry_delay();
    if (has_crashed) {
        record_crash(index, std::move(suspects));
    }
}

void coordinator::state::remove_ended_executors(std::size_t index, const inventory& found,
                                                const surviving_runs& survivors) {
    if (!found.ended && !found.is_vacant) {
        return;
    }
    auto& instance = instances[index];
    const auto end = found.ended.value_or(executor_end{});
    if (instance.executor) {
        const auto incarnation = instance.executor->incarnation;
        const bool is_this_end = found.ended && end.incarnation == incarnation;
        if (is_this_end && end.was_draining) {
            instance.executor->is_draining = true;  // announced while no link was open
        }
        if (found.is_vacant || incarnation <= end.incarnation) {
            remove_executor(index, is_this_end ? end.ages : std::vector<run_age>{}, survivors);
        }
        return;
    }
    // An earlier owner started the tasks, or this one on an earlier link.
    std::vector<task_key> ended;
    bool has_left = end.was_draining;
    for (const auto& key : instance.tasks) {
        const auto& task = *find_task(key);
        const auto incarnation = task.incarnation;
        // Rows of earlier versions do not name the executor.
        const bool is_known = incarnation != executor_incarnation(0);
        if (survivors.count({key, task.run}) != 0) {
            continue;
        }
        if (found.is_vacant || (is_known && incarnation <= end.incarnation)) {
            ended.push_back(key);
            has_left = has_left && incarnation == end.incarnation;
        }
    }
    auto suspects = has_left ? crash_suspects{} : collect_suspects(index, ended, end.ages);
    // An agent that has restarted has not seen the end either.
    suspects.is_unreachable = !found.ended;
    for (const auto& key : ended) {
        requeue(key, *find_task(key));
    }
    if (found.is_vacant) {
        clear_instance(index, survivors);  // runs that were being stopped
    }
    if (!has_left && !ended.empty()) {
        record_crash(index, std::move(suspects));
    }
}

// Requeues the tasks of an executor whose lease has expired, but for those that may be on another
// incarnation. It may have crashed before, which nobody has seen: no run counts as having begun.
void coordinator::state::remove_unreachable_executor(std::size_t index) {
    auto& instance = instances[index];
    std::vector<task_key> ended;
    surviving_runs survivors;
    std::optional<instant> next_end;
    for (const auto& key : instance.tasks) {
        const auto& task = *find_task(key);
        if (task.is_listed || task.unlisted_until <= time.now()) {
            ended.push_back(key);
            continue;
        }
        survivors[{key, task.run}] = false;
        next_end = std::min(next_end.value_or(task.unlisted_until), task.unlisted_until);
    }
    auto suspects = collect_suspects(index, ended, {});
    suspects.is_unreachable = true;
    record_unreachable_runs(ended, instance.observed_at);
    clear_instance(index, survivors);
    set_executor(instance, std::nullopt);
    instance.expires_at = next_end.value_or(instance.expires_at);
    for (auto& suspect : suspects.tasks) {
        suspect.has_begun = false;
    }
    record_crash(index, std::move(suspects));
}

// Requeues the tasks that an earlier owner started on an executor before the one that is found now.
void coordinator::state::remove_tasks_of_earlier_executors(std::size_t index,
                                                           executor_incarnation found,
                                                           const surviving_runs& survivors) {
    std::vector<task_key> keys;
    for (const auto& key : instances[index].tasks) {
        const auto& task = *find_task(key);
        // Rows of earlier versions do not name the executor.
        if (task.incarnation != executor_incarnation(0) && task.incarnation < found &&
            survivors.count({key, task.run}) == 0) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    auto suspects = collect_suspects(index, keys, {});
    for (const auto& key : keys) {
        requeue(key, *find_task(key));
    }
    record_crash(index, std::move(suspects));
}

coordinator::state::crash_suspects coordinator::state::collect_suspects(
    std::size_t index, const std::vector<task_key>& keys, const std::vector<run_age>& ages) {
    crash_suspects found;
    std::set<job_id> job_ids;
    for (const auto& key : keys) {
        auto& task = *find_task(key);
        if (may_have_crashed(key, task, ages)) {
            // A run whose age is not reported may have ended before the executor did.
            const bool is_confirmed =
                task.has_begun && reported_age(key, task.run, ages).has_value();
            found.tasks.push_back({key, task.run, 0, is_confirmed, false});
            job_ids.insert(key.job);
        } else if (task.has_begun) {
            task.crashes = {};  // it did not crash this executor while it could
        }
    }
    // The runs that are being stopped may have caused the crash as well.
    found.are_of_one_job = job_ids.size() == 1 && instances[index].orphaned_runs.empty();
    return found;
}

void coordinator::state::clear_outlived_crashes(const instance_state& instance) {
    if (instance.listed_at - instance.last_suspect_at > max_time_to_clear) {
        return;
    }
    for (const auto& key : instance.tasks) {
        auto& task = *find_task(key);
        if (task.crashes.suspected > 0 && task.has_begun &&
            instance.listed_at - task.started_at >= config.crashes.unobserved_window) {
            task.crashes = {};
            mark_dirty(key);
        }
    }
}

void coordinator::state::record_crash(std::size_t index, crash_suspects suspects) {
    for (auto& suspect : suspects.tasks) {
        auto& job = *find_job(suspect.task.job);
        auto& task = *find_task(suspect.task);
        auto evidence = crash_evidence::ended_executor;
        if (suspects.is_unreachable) {
            evidence = crash_evidence::expired_lease;
        } else if (suspect.has_begun) {
            evidence = crash_evidence::begun_run;
        }
        task.crashes.add(evidence);
        suspect.crashes = task.crashes.suspected;
        if (!job.is_terminal() &&
            must_fail_job(task.crashes, evidence, suspects.are_of_one_job, config.crashes)) {
            suspect.has_failed = true;
            finish_job(job, job_phase::failed);
        }
    }
    orders.report_crash(
        {instances[index].name, suspects.is_unreachable, std::move(suspects.tasks)});
}

// ---------------------------------------------------------------------------------------------
// Starts apart from other tasks

bool coordinator::state::needs_isolation(const step_spec& spec, const task_state* task) const {
    return !spec.is_gang && task != nullptr && task->phase == task_phase::waiting &&
           task->crashes.suspected >= config.crashes.min_crashes_to_isolate &&
           time.now() - task->phase_since < config.crashes.max_wait_for_isolation;
}

// Releases the instances whose isolated task has outlived the suspicion window, has ended, or has
// waited too long.
void coordinator::state::release_isolated_instances() {
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[i];
        if (!instance.isolated_task) {
            continue;
        }
        const auto& key = *instance.isolated_task;
        const auto* task = find_task(key);
        const bool is_on_trial =
            task != nullptr && task->instance == i &&
            (!task->has_begun || time.now() - task->started_at < config.crashes.isolation_time);
        const bool is_awaited = task != nullptr && instance.is_linked && instance.executor &&
                                !instance.executor->is_draining &&
                                !find_job(key.job)->is_terminal() &&
                                needs_isolation(spec_of(key), task);
        if (!is_on_trial && !is_awaited) {
            instance.isolated_task.reset();
        }
    }
}

// The instance on which a task may start apart from others now. Keeps one free of other starts
// until then.
std::optional<std::size_t> coordinator::state::choose_isolated_instance(const ready_step& step,
                                                                        const task_key& key,
                                                                        placement_context context) {
    const auto isolated_count = static_cast<std::size_t>(
        std::count_if(instances.begin(), instances.end(),
                      [](const instance_state& each) { return each.isolated_task.has_value(); }));
    const auto kept =
        std::find_if(instances.begin(), instances.end(),
                     [&](const instance_state& each) { return each.isolated_task == key; });
    if (kept == instances.end()) {
        const auto limit = std::max<std::size_t>(
            1, static_cast<std::size_t>(config.crashes.max_isolated_share *
                                        static_cast<double>(instances.size())));
        if (isolated_count >= limit) {
            return std::nullopt;
        }
        context.prefers_quiet_instance = true;
        const auto chosen = choose_instance(instances, step, context);
        if (chosen) {
            instances[*chosen].isolated_task = key;
        }
        return chosen && is_quiet(instances[*chosen]) ? chosen : std::nullopt;
    }
    context.isolated_task = key;
    const bool is_usable = is_quiet(*kept) && can_start(*kept, step, context);
    return is_usable ? std::optional(static_cast<std::size_t>(kept - instances.begin()))
                     : std::nullopt;
}

bool coordinator::state::is_quiet(const instance_state& instance) const {
    return time.now() - instance.last_start_at >= config.crashes.suspicion_window;
}

}  // namespace tanagerpaddle::dispatch
