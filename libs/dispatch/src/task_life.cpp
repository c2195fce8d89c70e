// What becomes of tasks: starts, ends, stops, and machines that come and go.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

step_key step_of(const task_key& key) {
    return {key.job, key.occurrence, key.step};
}

resources reserved_by(const step_spec& spec) {
    resources demand = spec.demand;
    if (spec.is_filler) {
        demand.processors = millicores(0);
    }
    return demand;
}

// Adds to or subtracts from the sums that a machine keeps of its tasks.
void count_demand(machine_state& machine, const step_spec& spec, bool adds) {
    machine.slack_revision.reset();
    const std::int64_t cores = spec.demand.processors.value() * (adds ? 1 : -1);
    if (adds) {
        machine.committed += reserved_by(spec);
    } else {
        machine.committed -= reserved_by(spec);
    }
    if (spec.is_filler) {
        machine.filler_demand = millicores(machine.filler_demand.value() + cores);
        const auto entry = machine.filler_demand_by_image.try_emplace(spec.image, 0).first;
        entry->second += cores;
        if (entry->second == 0) {
            machine.filler_demand_by_image.erase(entry);
        }
    } else if (spec.tail_target.count() > 0) {
        machine.serving_demand = millicores(machine.serving_demand.value() + cores);
        const auto entry = machine.serving_tasks_by_image.try_emplace(spec.image, 0).first;
        entry->second += adds ? 1U : ~0U;
        if (entry->second == 0) {
            machine.serving_tasks_by_image.erase(entry);
        }
    }
}

}  // namespace

task_traits traits_of(const step_spec& spec) {
    return {spec.image, spec.tail_target, spec.demand.processors, spec.is_filler};
}

void coordinator::state::occupy(const task_key& key, task_state& task, std::size_t machine) {
    task.machine = machine;
    auto& owner = machines[machine];
    owner.tasks.insert(key);
    ++owner.tasks_of_step[step_of(key)];
    count_demand(owner, spec_of(key), true);
}

void coordinator::state::vacate(const task_key& key, task_state& task) {
    if (!task.machine) {
        return;
    }
    auto& owner = machines[*task.machine];
    owner.tasks.erase(key);
    const auto count = owner.tasks_of_step.find(step_of(key));
    if (count != owner.tasks_of_step.end() && --count->second == 0) {
        owner.tasks_of_step.erase(count);
    }
    count_demand(owner, spec_of(key), false);
    task.machine.reset();
}

void coordinator::state::back_to_waiting(const task_key& key, task_state& task) {
    vacate(key, task);
    task.phase = task_phase::waiting;
    task.since = time.now();
    task.percent = 0;
    if (auto* job = find_job(key.job); job != nullptr && !job->is_over()) {
        mark_dirty(*job);
    }
}

void coordinator::state::add_stray(std::size_t machine, const task_key& key, run_number run) {
    auto& owner = machines[machine];
    const auto id = std::pair(key, run);
    if (owner.strays.count(id) == 0) {
        // The room of a run whose job is unknown cannot be told; such runs are rare and short.
        const auto* task = find_task(key);
        const resources demand = task != nullptr ? reserved_by(spec_of(key)) : resources{};
        owner.strays.emplace(id, demand);
        owner.committed += demand;
    }
    orders.stop(owner.name, key, run);
}

void coordinator::state::release_stray(std::size_t machine, const task_key& key, run_number run) {
    auto& owner = machines[machine];
    const auto found = owner.strays.find(std::pair(key, run));
    if (found != owner.strays.end()) {
        owner.committed -= found->second;
        owner.strays.erase(found);
    }
}

void coordinator::state::stop_task(const task_key& key, task_state& task) {
    switch (task.phase) {
        case task_phase::placed:
            back_to_waiting(key, task);
            break;
        case task_phase::starting:
        case task_phase::running:
            task.phase = task_phase::stopping;
            task.since = time.now();
            if (machines[*task.machine].is_linked) {
                orders.stop(machines[*task.machine].name, key, task.run);
            }
            break;
        case task_phase::waiting:
        case task_phase::stopping:
        case task_phase::succeeded:
            break;
    }
}

void coordinator::state::empty_machine(std::size_t machine) {
    auto& owner = machines[machine];
    const std::vector<task_key> keys(owner.tasks.begin(), owner.tasks.end());
    for (const auto& key : keys) {
        back_to_waiting(key, *find_task(key));
    }
    for (const auto& [id, demand] : owner.strays) {
        owner.committed -= demand;
    }
    owner.strays.clear();
    check_invariant(owner.committed == resources{},
                    "an empty machine has commitments: " + to_string(owner.committed));
}

void coordinator::state::end_run(std::size_t machine, const finished_task& end) {
    release_stray(machine, end.task, end.run);
    auto* task = find_task(end.task);
    if (task == nullptr || task->machine != machine || task->run != end.run ||
        !task->occupies_machine()) {
        return;
    }
    auto& job = *find_job(end.task.job);
    mark_started(job);
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    if (job.is_over()) {
        back_to_waiting(end.task, *task);
        return;
    }
    const bool lasts = spec_of(end.task).is_long_running;
    if (end.outcome == run_outcome::succeeded && !lasts) {
        succeed(end.task, *task);
    } else if (end.outcome == run_outcome::failed) {
        fail(end.task, *task, machine);
    } else {
        back_to_waiting(end.task, *task);
    }
}

void coordinator::state::succeed(const task_key& key, task_state& task) {
    machines[*task.machine].health.succeeded();
    const bool is_gang = spec_of(key).is_gang;
    vacate(key, task);
    task.phase = task_phase::succeeded;
    task.checkpoint.clear();
    auto& job = *find_job(key.job);
    ++job.occurrences[key.occurrence].steps[key.step].succeeded;
    if (is_gang) {
        succeed_gang(key);
    }
    mark_dirty(job);
    finish_job_if_done(job);
}

// One success stands for all members; the others end by themselves and keep their room until then.
void coordinator::state::succeed_gang(const task_key& key) {
    auto& step = find_job(key.job)->occurrences[key.occurrence].steps[key.step];
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
        auto& member = step.tasks[i];
        if (member.phase == task_phase::succeeded) {
            continue;
        }
        const task_key member_key{key.job, key.occurrence, key.step, i};
        const auto machine = member.machine;
        vacate(member_key, member);
        member.phase = task_phase::succeeded;
        ++step.succeeded;
        if (machine) {
            const resources demand = reserved_by(spec_of(member_key));
            if (machines[*machine]
                    .strays.emplace(std::pair(member_key, member.run), demand)
                    .second) {
                machines[*machine].committed += demand;
            }
        }
    }
}

void coordinator::state::fail(const task_key& key, task_state& task, std::size_t machine) {
    machines[machine].health.failed(key.job, time.now());
    ++task.failures;
    task.failed_on = machine;
    const bool lasts = spec_of(key).is_long_running;
    back_to_waiting(key, task);
    auto& job = *find_job(key.job);
    if (!lasts && task.failures >= job.submitted.rules.max_attempts) {
        end_job(job, job_phase::failed);
    }
}

void coordinator::state::finish_job_if_done(job_state& job) {
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            if (!step.is_done()) {
                return;
            }
        }
    }
    end_job(job, job_phase::completed);
}

void coordinator::state::end_job(job_state& job, job_phase phase) {
    mark_started(job);
    job.phase = phase;
    active.erase(job.submitted.id);
    job.starts.clear();
    for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
        for (std::uint32_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
            auto& tasks = job.occurrences[k].steps[s].tasks;
            for (std::uint32_t i = 0; i < tasks.size(); ++i) {
                stop_task({job.submitted.id, k, s, i}, tasks[i]);
            }
            advice.erase({job.submitted.id, k, s});
        }
    }
    mark_dirty(job);
}

void coordinator::state::reconcile(std::size_t machine, const inventory& found) {
    std::map<task_key, run_number> present;
    for (const auto& run : found.running) {
        const auto* task = find_task(run.task);
        const bool is_expected = task != nullptr && task->machine == machine &&
                                 task->run == run.run && task->occupies_machine();
        if (is_expected) {
            present[run.task] = run.run;
        } else {
            add_stray(machine, run.task, run.run);
        }
    }
    const std::vector<task_key> keys(machines[machine].tasks.begin(),
                                     machines[machine].tasks.end());
    for (const auto& key : keys) {
        auto& task = *find_task(key);
        if (task.phase == task_phase::placed) {
            continue;
        }
        const bool is_wanted = !find_job(key.job)->is_over() && task.phase != task_phase::stopping;
        if (present.count(key) != 0 && is_wanted) {
            task.phase = task_phase::running;
            task.progressed_at = time.now();
            orders.send_traits(machines[machine].name, key, traits_of(spec_of(key)));
            continue;
        }
        // A start that was sent may still be on its way: only a stop makes sure of it.
        task.phase = task_phase::stopping;
        task.since = time.now();
        orders.stop(machines[machine].name, key, task.run);
    }
}

}  // namespace tanagerpaddle::dispatch
