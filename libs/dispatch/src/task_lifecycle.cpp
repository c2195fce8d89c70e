// Task lifecycle: starts, completions, stops, and loss and return of instances.

#include <algorithm>
#include <tuple>
#include <utility>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

step_key step_of(const task_key& key) {
    return {key.job, key.occurrence, key.step};
}

// Adds a task's demand to the totals of an instance or subtracts it.
void update_demand(instance_state& instance, const step_spec& spec, bool adds) {
    instance.slack_revision.reset();
    const std::int64_t cores = spec.demand.processors.value() * (adds ? 1 : -1);
    if (adds) {
        instance.committed += reserved_resources(spec);
    } else {
        instance.committed -= reserved_resources(spec);
    }
    if (spec.is_filler) {
        instance.filler_demand = millicores(instance.filler_demand.value() + cores);
        const auto entry = instance.filler_demand_by_image.try_emplace(spec.image, 0).first;
        entry->second += cores;
        if (entry->second == 0) {
            instance.filler_demand_by_image.erase(entry);
        }
    } else if (spec.tail_target.count() > 0) {
        instance.serving_demand = millicores(instance.serving_demand.value() + cores);
        const auto entry = instance.serving_tasks_by_image.try_emplace(spec.image, 0).first;
        entry->second += adds ? 1U : ~0U;
        if (entry->second == 0) {
            instance.serving_tasks_by_image.erase(entry);
        }
    }
}

// The largest share of an amount's components in those of `capacity`.
double dominant_share(const resources& amount, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    return std::max({share(amount.processors.value(), capacity.processors.value()),
                     share(amount.memory.value(), capacity.memory.value()),
                     share(amount.accelerators.value(), capacity.accelerators.value())});
}

}  // namespace

resources reserved_resources(const step_spec& spec) {
    resources demand = spec.demand;
    if (spec.is_filler) {
        demand.processors = millicores(0);
    }
    return demand;
}

task_traits traits_of(const step_spec& spec) {
    return {spec.image, spec.tail_target, spec.demand.processors, spec.is_filler};
}

void coordinator::state::assign(const task_key& key, task_state& task, std::size_t index) {
    task.instance = index;
    auto& instance = instances[index];
    instance.tasks.insert(key);
    ++instance.tasks_by_step[step_of(key)];
    update_demand(instance, spec_of(key), true);
    auto& owner = *find_job(key.job);
    ++owner.assigned_tasks;
    const auto& job = owner.submitted;
    shares.add_use(job.queue, job.rules.service, spec_of(key).demand);
    load.task_assigned(job.rules, spec_of(key));
}

void coordinator::state::unassign(const task_key& key, task_state& task) {
    if (!task.instance) {
        return;
    }
    auto& instance = instances[*task.instance];
    instance.tasks.erase(key);
    const auto count = instance.tasks_by_step.find(step_of(key));
    if (count != instance.tasks_by_step.end() && --count->second == 0) {
        instance.tasks_by_step.erase(count);
    }
    update_demand(instance, spec_of(key), false);
    auto& owner = *find_job(key.job);
    --owner.assigned_tasks;
    const auto& job = owner.submitted;
    shares.remove_use(job.queue, job.rules.service, spec_of(key).demand);
    load.task_unassigned(job.rules, spec_of(key));
    task.instance.reset();
}

void coordinator::state::requeue(const task_key& key, task_state& task) {
    unassign(key, task);
    task.phase = task_phase::waiting;
    task.phase_since = time.now();
    task.without_run_since = task.without_run_since.value_or(task.phase_since);
    task.percent = 0;
    task.speed = {};
    task.has_begun = false;
    task.incarnation = executor_incarnation(0);
    task.is_listed = false;
    task.unlisted_until = {};
    mark_open_job_dirty(key);
}

void coordinator::state::mark_listed(const task_key& key, task_state& task) {
    // Long-running tasks have to run again soon also if the owner and the instance are lost
    // together; for the others the next write of the row tells it.
    if (!std::exchange(task.is_listed, true) && spec_of(key).is_long_running) {
        mark_open_job_dirty(key);
    }
}

void coordinator::state::mark_open_job_dirty(const task_key& key) {
    const auto* job = find_job(key.job);
    if (job != nullptr && !job->is_terminal()) {
        mark_dirty(key);
    } else if (job != nullptr) {
        discard_later(key.job);
    }
}

bool coordinator::state::is_expected(std::size_t index, const task_key& key, run_number run) {
    const auto* task = find_task(key);
    return task != nullptr && task->instance == index && task->run == run &&
           task->occupies_instance();
}

// An agent reports what it has learned in the order in which it learned it: a run is listed after
// its end, its stop or its refusal was reported only if the executor carried out a start after all.
void coordinator::state::stop_unexpected_run(std::size_t index, const task_key& key,
                                             run_number run) {
    const auto& instance = instances[index];
    // Without an executor the report precedes the inventory, which resolves its runs.
    if (!instance.is_linked || !instance.executor ||
        instance.orphaned_runs.count(std::pair(key, run)) != 0) {
        return;
    }
    stop_orphaned_run(index, key, run);
    requeue_excess_tasks(index);
}

void coordinator::state::stop_orphaned_run(std::size_t index, const task_key& key, run_number run) {
    auto& instance = instances[index];
    const auto id = std::pair(key, run);
    if (instance.orphaned_runs.count(id) == 0) {
        auto* task = open_task(key);
        if (task != nullptr && task->phase == task_phase::placed) {
            withdraw(key);
        }
        if (has_task(key)) {
            const resources demand = reserved_resources(spec_of(key));
            instance.orphaned_runs.emplace(id, demand);
            instance.committed += demand;
        } else {
            // Nothing starts beside it until it has ended; such runs are rare and short.
            instance.orphaned_runs.emplace(id, std::nullopt);
            withdraw_placed(index);
        }
        if (task != nullptr) {
            ++task->orphaned_runs;
            task->orphan_instance = index;
            mark_open_job_dirty(key);
        }
    }
    orders.stop(instance.name, key, run);
}

void coordinator::state::withdraw_placed(std::size_t index) {
    const auto& tasks = instances[index].tasks;
    const std::vector<task_key> keys(tasks.begin(), tasks.end());
    for (const auto& key : keys) {
        if (find_task(key)->phase == task_phase::placed) {
            withdraw(key);
        }
    }
}

bool coordinator::state::remove_orphaned_run(std::size_t index, const task_key& key,
                                             run_number run) {
    auto& instance = instances[index];
    const auto found = instance.orphaned_runs.find(std::pair(key, run));
    if (found == instance.orphaned_runs.end()) {
        return false;
    }
    instance.committed -= found->second.value_or(resources{});
    instance.orphaned_runs.erase(found);
    count_orphaned_run_ended(key);
    return true;
}

void coordinator::state::count_orphaned_run_ended(const task_key& key) {
    auto* task = find_task(key);
    // The job may have been unknown when its run was found.
    if (task != nullptr && task->orphaned_runs > 0) {
        --task->orphaned_runs;
        mark_open_job_dirty(key);
        discard_later(key.job);
    }
}

void coordinator::state::stop_task(const task_key& key, task_state& task) {
    switch (task.phase) {
        case task_phase::placed:
            requeue(key, task);
            break;
        case task_phase::starting:
        case task_phase::running:
            task.phase = task_phase::stopping;
            task.phase_since = time.now();
            if (instances[*task.instance].is_linked) {
                orders.stop(instances[*task.instance].name, key, task.run);
            }
            break;
        case task_phase::waiting:
        case task_phase::stopping:
        case task_phase::succeeded:
            break;
    }
}

void coordinator::state::clear_instance(std::size_t index, const surviving_runs& survivors) {
    auto& instance = instances[index];
    resources kept;
    const std::vector<task_key> keys(instance.tasks.begin(), instance.tasks.end());
    for (const auto& key : keys) {
        auto& task = *find_task(key);
        if (task.phase == task_phase::placed) {
            withdraw(key);
        } else if (task.instance != index) {
            continue;
        } else if (survivors.count({key, task.run}) != 0) {
            kept += reserved_resources(spec_of(key));
            // Which executor has the run, if any, is not known until it has reported itself.
            task.incarnation = executor_incarnation(0);
        } else {
            requeue(key, task);
        }
    }
    std::erase_if(instance.orphaned_runs, [&](const auto& orphan) {
        const auto& [id, known_demand] = orphan;
        const auto demand = known_demand.value_or(resources{});
        if (survivors.count(id) != 0) {
            kept += demand;
            return false;
        }
        instance.committed -= demand;
        count_orphaned_run_ended(id.first);
        return true;
    });
    check_invariant(instance.committed == kept, "cleared instance still has committed resources: " +
                                                    to_string(instance.committed));
}

// Withdraws a start that was not sent; that of a gang with all members, which start together or not
// at all.
void coordinator::state::withdraw(const task_key& key) {
    if (!spec_of(key).is_gang) {
        stop_task(key, *find_task(key));
        return;
    }
    for (auto& [i, member] : kept_step(step_of(key)).tasks()) {
        stop_task({key.job, key.occurrence, key.step, i}, member);
    }
}

void coordinator::state::requeue_excess_tasks(std::size_t index) {
    auto& instance = instances[index];
    if (!instance.executor || instance.committed.fits_in(instance.executor->capacity)) {
        return;
    }
    const resources& capacity = instance.executor->capacity;
    // The most urgent are kept first; among equals the smallest, so that as many as possible are.
    using candidate = std::tuple<int, double, task_key>;
    std::vector<candidate> placed;
    resources kept = instance.committed;
    for (const auto& key : instance.tasks) {
        if (find_task(key)->phase == task_phase::placed) {
            const resources demand = reserved_resources(spec_of(key));
            kept -= demand;
            placed.emplace_back(find_job(key.job)->submitted.rules.priority,
                                dominant_share(demand, capacity), key);
        }
    }
    std::sort(placed.begin(), placed.end());
    for (const auto& [priority, share, key] : placed) {
        const resources demand = reserved_resources(spec_of(key));
        if ((kept + demand).fits_in(capacity)) {
            kept += demand;
        } else {
            withdraw(key);
        }
    }
}

void coordinator::state::record_checkpoint(const task_key& key, task_state& task,
                                           const std::string& checkpoint) {
    if (checkpoint.empty()) {
        return;
    }
    task.checkpoint = checkpoint;
    task.checkpointed_at = time.now();
    if (!fits_in_row(checkpoint) && !task.has_reported_checkpoint) {
        task.has_reported_checkpoint = true;
        orders.report_unstored_checkpoint(key, checkpoint.size());
    }
}

void coordinator::state::handle_completions(std::size_t index,
                                            const std::vector<finished_task>& completions,
                                            bool is_inventory) {
    auto& instance = instances[index];
    for (const auto& completion : completions) {
        if (completion.number > instance.processed_completion) {
            handle_completion(index, completion, is_inventory);
            instance.processed_completion = completion.number;
        }
    }
}

void coordinator::state::handle_completion(std::size_t index, const finished_task& completion,
                                           bool is_in_inventory) {
    const bool was_orphaned = remove_orphaned_run(index, completion.task, completion.run);
    if (!is_expected(index, completion.task, completion.run)) {
        // An inventory repeats completions of earlier links, whose leases may have expired since.
        if (was_orphaned || !is_in_inventory) {
            handle_unexpected_completion(index, completion);
        }
        return;
    }
    auto* task = find_task(completion.task);
    auto& job = *find_job(completion.task.job);
    mark_started(job);
    record_checkpoint(completion.task, *task, completion.checkpoint);
    if (job.is_terminal()) {
        requeue(completion.task, *task);
        return;
    }
    const bool is_long_running = spec_of(completion.task).is_long_running;
    if (completion.outcome == run_outcome::succeeded && !is_long_running) {
        record_run_time(completion.task, *task);
        mark_succeeded(completion.task, *task, index);
        return;
    }
    requeue(completion.task, *task);
    if (completion.outcome == run_outcome::failed) {
        record_failure(completion.task, *task, index);
    }
}

// A success completes the task, which must not start again, and a failure is one of its attempts.
void coordinator::state::handle_unexpected_completion(std::size_t index,
                                                      const finished_task& completion) {
    const bool counts =
        completion.outcome == run_outcome::failed || completion.outcome == run_outcome::succeeded;
    if (!counts || !has_task(completion.task) || find_job(completion.task.job)->is_terminal()) {
        return;
    }
    const auto& spec = spec_of(completion.task);
    if (spec.is_long_running || spec.is_gang) {
        return;
    }
    auto* task = open_task(completion.task);
    if (task == nullptr || task->phase == task_phase::succeeded) {
        return;
    }
    if (completion.outcome == run_outcome::failed) {
        record_failure(completion.task, *task, index);
        return;
    }
    if (task->phase == task_phase::placed) {
        withdraw(completion.task);
    }
    if (task->instance) {
        const auto other = *task->instance;
        unassign(completion.task, *task);
        stop_orphaned_run(other, completion.task, task->run);
    }
    mark_succeeded(completion.task, *task, index);
}

void coordinator::state::mark_succeeded(const task_key& key, task_state& task, std::size_t index) {
    instances[index].health.succeeded();
    const bool is_gang = spec_of(key).is_gang;
    record_rack_run(key, task);
    unassign(key, task);
    task.checkpoint.clear();
    auto& job = *find_job(key.job);
    kept_step(step_of(key)).mark_succeeded(key.index);
    discard_later(key.job);
    if (is_gang) {
        mark_gang_succeeded(key);
    }
    record_step_end(key);
    mark_dirty(key);
    complete_job_if_done(job);
}

// One successful member completes the gang; the others exit by themselves and keep their resources
// until then.
void coordinator::state::mark_gang_succeeded(const task_key& key) {
    auto& step = kept_step(step_of(key));
    for (std::uint32_t i = 0; i < step.task_count(); ++i) {
        if (step.has_succeeded(i)) {
            continue;
        }
        const task_key member_key{key.job, key.occurrence, key.step, i};
        auto* member = step.find(i);
        const auto index = member == nullptr ? std::nullopt : member->instance;
        if (index) {
            unassign(member_key, *member);
            const resources demand = reserved_resources(spec_of(member_key));
            if (instances[*index]
                    .orphaned_runs.emplace(std::pair(member_key, member->run), demand)
                    .second) {
                instances[*index].committed += demand;
                ++member->orphaned_runs;
            }
        }
        step.mark_succeeded(i);
        mark_dirty(member_key);
    }
}

void coordinator::state::record_failure(const task_key& key, task_state& task, std::size_t index) {
    instances[index].health.failed(key.job, time.now());
    ++task.failures;
    task.last_failed_instance = index;
    mark_dirty(key);
    auto& job = *find_job(key.job);
    if (!spec_of(key).is_long_running && task.failures >= job.submitted.rules.max_attempts) {
        finish_job(job, job_phase::failed);
    }
}

void coordinator::state::reconcile(std::size_t index, const inventory& found) {
    std::map<task_key, run_number> present;
    auto unlisted_orphans = instances[index].orphaned_runs;
    for (const auto& run : found.running) {
        if (is_expected(index, run.task, run.run)) {
            present[run.task] = run.run;
        } else {
            unlisted_orphans.erase(std::pair(run.task, run.run));
            stop_orphaned_run(index, run.task, run.run);
        }
    }
    // The agent has dropped the orders of the earlier link.
    for (const auto& [id, demand] : unlisted_orphans) {
        orders.stop(instances[index].name, id.first, id.second);
    }
    const std::vector<task_key> keys(instances[index].tasks.begin(), instances[index].tasks.end());
    for (const auto& key : keys) {
        auto& task = *find_task(key);
        if (task.phase == task_phase::placed) {
            continue;
        }
        const bool is_wanted =
            !find_job(key.job)->is_terminal() && task.phase != task_phase::stopping;
        if (present.count(key) != 0 && is_wanted) {
            task.phase = task_phase::running;
            task.incarnation = found.executor->incarnation;
            mark_listed(key, task);
            mark_begun(key, task);
            task.progressed_at = time.now();
            // It may have ended some time before the link is back.
            task.measurement.is_representative = false;
            orders.send_traits(instances[index].name, key, traits_of(spec_of(key)));
            continue;
        }
        // A start may still be in transit: only a confirmed stop rules it out.
        task.phase = task_phase::stopping;
        task.phase_since = time.now();
        orders.stop(instances[index].name, key, task.run);
    }
}

}  // namespace tanagerpaddle::dispatch
