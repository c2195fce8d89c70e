#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// The runs of an instance that the end of an earlier executor does not end.
coordinator::state::surviving_runs runs_that_survive(const inventory& found) {
    coordinator::state::surviving_runs survivors;
    if (found.ended) {
        for (const auto& each : found.ended->unsettled) {
            survivors[{each.task, each.run}] = each.is_listed;
        }
    }
    for (const auto& run : found.running) {
        survivors[{run.task, run.run}] = true;
    }
    for (const auto& completion : found.finished) {
        survivors[{completion.task, completion.run}] = true;
    }
    return survivors;
}

}  // namespace

// ---------------------------------------------------------------------------------------------
// Lookup

std::optional<std::size_t> coordinator::state::find_instance(const instance_name& name) const {
    const auto found = index_by_name.find(name);
    return found == index_by_name.end() ? std::nullopt : std::optional(found->second);
}

std::size_t coordinator::state::instance_index(const instance_name& name) {
    const auto [position, is_new] = index_by_name.try_emplace(name, instances.size());
    if (is_new) {
        auto& added = instances.emplace_back();
        added.name = name;
        added.index = position->second;
    }
    return position->second;
}

job_state* coordinator::state::find_job(const job_id& id) {
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

const job_state* coordinator::state::find_job(const job_id& id) const {
    const auto found = jobs.find(id);
    return found == jobs.end() ? nullptr : &found->second;
}

bool coordinator::state::has_task(const task_key& key) const {
    const auto* job = find_job(key.job);
    if (job == nullptr || key.occurrence >= job->occurrences.size()) {
        return false;
    }
    const auto& steps = job->submitted.spec.steps;
    return key.step < steps.size() && key.index < steps[key.step].task_count;
}

task_state* coordinator::state::find_task(const task_key& key) {
    auto* job = find_job(key.job);
    auto* occurrence = job == nullptr ? nullptr : job->occurrences.find(key.occurrence);
    if (occurrence == nullptr || key.step >= occurrence->steps.size()) {
        return nullptr;
    }
    return occurrence->steps[key.step].find(key.index);
}

task_state* coordinator::state::open_task(const task_key& key) {
    if (auto* task = find_task(key); task != nullptr) {
        return task;
    }
    if (!has_task(key)) {
        return nullptr;
    }
    auto& job = *find_job(key.job);
    if (job.is_terminal() || job.occurrences.is_over(key.occurrence)) {
        return nullptr;
    }
    auto& step = open_occurrence(job, key.occurrence).steps[key.step];
    return step.has_succeeded(key.index) ? nullptr : &step.open(key.index);
}

bool coordinator::state::is_waiting(const task_key& key) const {
    const auto* job = find_job(key.job);
    if (job == nullptr || job->is_terminal()) {
        return false;
    }
    const auto occurrence = job->occurrences.kept().find(key.occurrence);
    if (occurrence == job->occurrences.kept().end()) {
        return false;
    }
    const auto& step = occurrence->second.steps.at(key.step);
    const auto* task = step.find(key.index);
    return !step.has_succeeded(key.index) &&
           (task == nullptr || task->phase == task_phase::waiting);
}

step_state& coordinator::state::kept_step(const step_key& key) {
    return jobs.at(key.job).occurrences.kept().at(key.occurrence).steps.at(key.step);
}

const step_state& coordinator::state::kept_step(const step_key& key) const {
    return jobs.at(key.job).occurrences.kept().at(key.occurrence).steps.at(key.step);
}

const step_spec& coordinator::state::spec_of(const task_key& key) const {
    return jobs.at(key.job).submitted.spec.steps.at(key.step);
}

// ---------------------------------------------------------------------------------------------
// Configuration

coordinator::coordinator(options settings, const clock& time, coordinator_orders& orders)
    : state_(std::make_unique<state>(settings, time, orders)) {}
coordinator::~coordinator() = default;

void coordinator::set_queues(const std::map<queue_id, queue_rules>& queues) {
    state_->queues = queues;
}

void coordinator::set_evacuated(const std::set<failure_domain_id>& domains) {
    state_->evacuated_domains = domains;
}

// ---------------------------------------------------------------------------------------------
// Instances

void coordinator::instance_claimed(const instance_name& name, const inventory& found) {
    state_->first_claimed_at = state_->first_claimed_at.value_or(state_->time.now());
    const auto index = state_->instance_index(name);
    auto& instance = state_->instances[index];
    const auto survivors = runs_that_survive(found);
    state_->remove_ended_executors(index, found, survivors);
    const bool is_other_life = instance.executor && found.executor &&
                               instance.executor->incarnation != found.executor->incarnation;
    if (is_other_life) {
        state_->remove_executor(index, {}, survivors);
    } else if (!instance.executor && found.executor) {
        state_->remove_tasks_of_earlier_executors(index, found.executor->incarnation, survivors);
    }
    // The agent takes no grants of earlier owners any more, and this one grants nothing to an agent
    // without an executor.
    state_->record_earlier_calls(instance, found);
    state_->limit_unlisted_runs(instance, found);
    const instant granted_runs_end_by = state_->time.now() + state_->config.timing.expiry_delay();
    const bool has_grants = instance.is_linked && instance.executor;
    instance.expires_at =
        has_grants ? granted_runs_end_by : std::min(instance.expires_at, granted_runs_end_by);
    instance.expires_at = std::max(instance.expires_at, instance.earlier_leases_end_by);
    if (!instance.is_linked) {
        instance.is_linked = true;
        instance.linked_at = state_->time.now();
        // An earlier owner or link may have sent starts until now.
        instance.last_start_at = instance.linked_at;
    }
    instance.observed_at = state_->time.now();
    state_->set_executor(instance, found.executor);
    instance.processed_completion = completion_number(0);
    instance.acknowledged_completion = completion_number(0);
    if (!found.executor) {
        // The agent has no view of its executor yet; the state of its runs stays unknown.
        return;
    }
    instance.listed_at = state_->time.now();
    state_->handle_completions(index, found.finished, true);
    state_->reconcile(index, found);
    state_->requeue_excess_tasks(index);
}

void coordinator::state::set_executor(instance_state& instance,
                                      const std::optional<executor_info>& executor) {
    if (instance.executor) {
        shares.remove_capacity(instance.executor->service, instance.executor->capacity);
    }
    instance.executor = executor;
    if (instance.executor) {
        shares.add_capacity(instance.executor->service, instance.executor->capacity);
    }
}

// True if starts were ordered, or runs listed, for the executor before.
bool coordinator::state::has_used_executor(const instance_state& instance,
                                           executor_incarnation incarnation) {
    if (instance.executor && instance.executor->incarnation == incarnation) {
        return true;
    }
    return std::any_of(instance.tasks.begin(), instance.tasks.end(), [&](const task_key& key) {
        return find_task(key)->incarnation == incarnation;
    });
}

void coordinator::state::record_earlier_calls(instance_state& instance, const inventory& found) {
    if (!found.earlier) {
        return;
    }
    const auto refused_since = found.earlier->refused_since;
    // An agent that has restarted knows of no ended executor, and not since when the one that was
    // in use before refuses the calls.
    const bool is_known =
        !found.ended && found.executor && has_used_executor(instance, found.executor->incarnation);
    if (refused_since && !is_known) {
        instance.earlier_leases_end_by = *refused_since + config.timing.max_expiry_delay();
    } else if (!refused_since && !instance.may_take_earlier_calls) {
        // Not counted again from each inventory, so that frequent claims do not keep tasks waiting.
        instance.earlier_leases_end_by = time.now() + last_calls_expiry_delay(found);
    }
    instance.may_take_earlier_calls = !refused_since;
}

// An agent whose executor refuses connections has no call on its way.
milliseconds coordinator::state::last_calls_expiry_delay(const inventory& found) const {
    return found.is_vacant ? config.timing.max_expiry_delay() : config.timing.call_expiry_delay();
}

// From then on the agent makes no calls for starts that were ordered on earlier links, or for an
// executor that has ended. The executor refuses those of earlier claims since it was first read.
void coordinator::state::limit_unlisted_runs(const instance_state& instance,
                                             const inventory& found) {
    const instant limit = time.now() + last_calls_expiry_delay(found);
    const instant refused_since =
        found.earlier ? found.earlier->refused_since.value_or(instant{}) : instant{};
    for (const auto& key : instance.tasks) {
        auto& task = *find_task(key);
        const bool is_of_earlier_executor =
            found.ended && task.incarnation <= found.ended->incarnation;
        if (!instance.is_linked || is_of_earlier_executor) {
            task.unlisted_until = std::min(task.unlisted_until, limit);
        }
        if (task.started_at <= refused_since) {
            task.unlisted_until =
                std::min(task.unlisted_until, refused_since + config.timing.max_expiry_delay());
        }
    }
}

void coordinator::instance_disconnected(const instance_name& name, instant expires_at) {
    const auto index = state_->instance_index(name);
    auto& instance = state_->instances[index];
    instance.is_linked = false;
    instance.expires_at =
        instance.executor ? expires_at : std::min(instance.expires_at, expires_at);
    instance.expires_at = std::max(instance.expires_at, instance.earlier_leases_end_by);
    state_->withdraw_placed(index);
}

bool coordinator::has_executor(const instance_name& name) const {
    const auto index = state_->find_instance(name);
    return index && state_->instances[*index].executor;
}

coordinator::unresolved_tasks coordinator::unresolved(const instance_name& name) const {
    const auto index = state_->find_instance(name);
    if (!index || state_->instances[*index].executor) {
        return {};
    }
    const auto& instance = state_->instances[*index];
    return {instance.tasks.size(), instance.expires_at};
}

void coordinator::executor_changed(const instance_name& name, const executor_info& info) {
    const auto index = state_->instance_index(name);
    auto& instance = state_->instances[index];
    if (!instance.is_linked) {
        return;
    }
    if (!instance.executor || instance.executor->incarnation != info.incarnation) {
        // A new incarnation has no runs, and an instance has only one executor.
        state_->remove_executor(index);
        instance.processed_completion = completion_number(0);
        instance.acknowledged_completion = completion_number(0);
        instance.health = {};
    }
    state_->set_executor(instance, info);
    state_->requeue_excess_tasks(index);
}

void coordinator::executor_terminated(const instance_name& name, executor_incarnation incarnation,
                                      const std::vector<run_age>& ages) {
    const auto index = state_->find_instance(name);
    if (!index) {
        return;
    }
    auto& instance = state_->instances[*index];
    if (instance.executor && instance.executor->incarnation == incarnation) {
        state_->remove_executor(*index, ages);
    }
}

void coordinator::executor_end_recorded(const instance_name& name, const executor_end& end) {
    if (const auto index = state_->find_instance(name)) {
        inventory found;
        found.ended = end;
        state_->remove_ended_executors(*index, found);
    }
}

void coordinator::start_reported(const instance_name& name, const task_key& key, run_number run,
                                 start_outcome outcome) {
    const auto index = state_->find_instance(name);
    if (index && outcome != start_outcome::started) {
        // A member that never started, of a gang that has succeeded.
        state_->remove_orphaned_run(*index, key, run);
    }
    auto* task = state_->find_task(key);
    if (!index || task == nullptr || task->instance != index || task->run != run) {
        return;
    }
    if (outcome == start_outcome::started) {
        state_->mark_begun(key, *task);
        if (task->phase == task_phase::starting) {
            task->phase = task_phase::running;
            task->phase_since = state_->time.now();
            task->progressed_at = task->phase_since;
            task->measurement.began_at = task->phase_since;
        }
        return;
    }
    const auto& executor = state_->instances[*index].executor;
    if (outcome == start_outcome::not_started) {
        state_->instances[*index].refused_at = state_->time.now();
    }
    if (outcome == start_outcome::bad_permit && executor) {
        state_->permits_by_step[{key.job, key.occurrence, key.step}].forget(executor->id);
    }
    state_->requeue(key, *task);
    task->last_failed_instance = index;
}

void coordinator::stop_confirmed(const instance_name& name, const task_key& key, run_number run) {
    const auto index = state_->find_instance(name);
    if (!index) {
        return;
    }
    state_->remove_orphaned_run(*index, key, run);
    auto* task = state_->find_task(key);
    if (task != nullptr && task->instance == index && task->run == run &&
        task->phase == task_phase::stopping) {
        state_->requeue(key, *task);
    }
}

void coordinator::runs_finished(const instance_name& name, executor_incarnation incarnation,
                                const std::vector<finished_task>& completions) {
    const auto index = state_->find_instance(name);
    if (!index) {
        return;
    }
    auto& instance = state_->instances[*index];
    if (instance.executor && instance.executor->incarnation == incarnation) {
        state_->handle_completions(*index, completions, false);
    }
}

void coordinator::progress_reported(const instance_name& name,
                                    const std::vector<running_task>& running,
                                    const interference_sample& sample, bool has_complete_view) {
    const auto index = state_->find_instance(name);
    if (!index) {
        return;
    }
    auto& instance = state_->instances[*index];
    if (has_complete_view) {
        state_->record_view(instance);
    }
    instance.sample = sample;
    state_->interference.observe(name.value(), state_->time.now(), sample);
    for (const auto& run : running) {
        if (!state_->is_expected(*index, run.task, run.run)) {
            state_->stop_unexpected_run(*index, run.task, run.run);
            continue;
        }
        auto* task = state_->find_task(run.task);
        state_->mark_listed(run.task, *task);
        state_->mark_begun(run.task, *task);
        state_->record_checkpoint(run.task, *task, run.checkpoint);
        state_->note_pace(state_->spec_of(run.task), *task, run.measurement);
        state_->record_speed(run.task, *task, run.measurement);
        if (run.percent != task->percent) {
            task->percent = run.percent;
            task->progressed_at = state_->time.now();
        }
    }
}

const interference_model& coordinator::interference() const {
    return state_->interference;
}

void coordinator::restore_pressures(const interference_model::pressure_table& pressures) {
    for (const auto& [serving, fillers] : pressures) {
        for (const auto& [filler, pressure] : fillers) {
            state_->interference.restore_pressure(serving, filler, pressure);
        }
    }
}

void coordinator::permits_granted(const step_key& step, const std::vector<executor_id>& asked,
                                  const std::vector<permit>& permits, instant valid_until) {
    // The job may have ended since.
    if (const auto found = state_->permits_by_step.find(step);
        found != state_->permits_by_step.end()) {
        found->second.granted(asked, permits, valid_until);
    }
}

void coordinator::permit_request_failed(const step_key& step) {
    if (const auto found = state_->permits_by_step.find(step);
        found != state_->permits_by_step.end()) {
        found->second.request_failed(state_->time.now());
    }
}

std::map<queue_id, std::int64_t> coordinator::queue_shares() const {
    return state_->shares.permille();
}

const run_times& coordinator::measured_run_times() const {
    return state_->measured_run_times;
}

coordinator::counts coordinator::count() const {
    counts result;
    result.jobs = state_->active_jobs.size() + state_->deferred_jobs.size();
    result.early_cancellations = state_->early_cancellations.size();
    for (const auto& id : state_->active_jobs) {
        const auto& job = state_->jobs.at(id);
        auto waiting =
            (job.occurrences.size() - job.occurrences.over().size()) * job.occurrences.tasks_each();
        for (const auto& [number, occurrence] : job.occurrences.kept()) {
            for (const auto& step : occurrence.steps) {
                waiting -= step.succeeded().size();
                for (const auto& [index, task] : step.tasks()) {
                    waiting -= task.occupies_instance() ? 1 : 0;
                    result.running_tasks += task.phase == task_phase::running ? 1 : 0;
                }
            }
        }
        result.waiting_tasks += waiting;
    }
    for (const auto& [id, job] : state_->deferred_jobs) {
        result.waiting_tasks += job.tasks;
    }
    const instant now = state_->time.now();
    for (const auto& instance : state_->instances) {
        result.instances += instance.is_linked && instance.executor ? 1 : 0;
        result.quarantined_instances += instance.health.is_quarantined(now) ? 1 : 0;
    }
    return result;
}

}  // namespace tanagerpaddle::dispatch
