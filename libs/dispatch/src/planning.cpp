// Planning: placement of ready steps, expiry of instances, and other periodic work.

#include <algorithm>

#include "coordinator_state.hpp"
#include "ordering.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Interval at which running tasks are inspected; equals the agents' heartbeat interval. Inspecting
// them in every plan would take most of the owner's processor time with many instances.
constexpr milliseconds inspection_interval{300};
// A job without an assigned task for this long is placed by capacity alone, so that quarantines and
// interference estimates cannot block it indefinitely.
constexpr milliseconds starvation_timeout{1'000};

bool is_ready(const job_spec& spec, const occurrence_state& occurrence, std::size_t s) {
    const auto& after = spec.steps[s].depends_on;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t earlier) { return occurrence.steps[earlier].is_done(); });
}

}  // namespace

void coordinator::plan() {
    state_->discard_ended_state();
    state_->load_deferred();
    state_->expire_instances();
    state_->release_due_occurrences();
    const bool is_inspection_due = state_->time.now() - state_->inspected_at >= inspection_interval;
    if (is_inspection_due) {
        state_->inspected_at = state_->time.now();
        state_->stop_stalled_tasks();
    }
    state_->release_isolated_instances();
    state_->place_ready_steps();
    if (is_inspection_due) {
        state_->move_throttled_fillers();
        state_->move_back_to_racks();
    }
    state_->report_waiting_tasks();
    state_->flush_acknowledgements();
}

void coordinator::state::expire_instances() {
    const instant now = time.now();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[i];
        const bool has_grants = instance.is_linked && instance.executor;
        if (!has_grants && now >= instance.expires_at &&
            (!instance.tasks.empty() || !instance.orphaned_runs.empty())) {
            remove_unreachable_executor(i);
        }
    }
}

void coordinator::state::set_estimates(ready_step& step, const job_spec& spec,
                                       const occurrence_state& occurrence) const {
    const auto work = work_of(spec, &occurrence, ordering_run_times());
    step.rank = rank_of(step, work, time.now());
    step.core_seconds_left = work.core_seconds_left;
    step.objective = step.due_at + work.chain + step.rules.target;
    if (may_wait_for_rack(*step.spec)) {
        // Measured run times end with their owner, and the next one has to find the same deadline.
        const auto declared = work_of(spec, &occurrence, nullptr);
        step.chain = declared.chain;
        step.chain_left = declared.chain_left;
    }
}

std::vector<ready_step> coordinator::state::collect_ready_steps() {
    std::vector<ready_step> ready;
    for (const auto& id : active_jobs) {
        auto& job = jobs.at(id);
        if (queues.count(job.submitted.queue) != 0) {
            collect_ready_steps(id, job, ready);
        }
    }
    std::sort(ready.begin(), ready.end(), precedes);
    turns.apply(ready);
    return ready;
}

void coordinator::state::collect_ready_steps(const job_id& id, job_state& job,
                                             std::vector<ready_step>& ready) {
    const instant now = time.now();
    const auto& spec = job.submitted.spec;
    if (job.assigned_tasks > 0) {
        job.idle_since.reset();
    } else if (!job.idle_since) {
        job.idle_since = now;
    }
    for (auto& [k, occurrence] : job.occurrences.kept()) {
        if (!occurrence.is_due) {
            continue;
        }
        for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
            auto& progress = occurrence.steps[s];
            ready_step step;
            if (is_ready(spec, occurrence, s)) {
                step.waiting = progress.waiting(spec.steps[s].is_gang);
            }
            if (step.waiting.empty()) {
                progress.waiting_since.reset();
                continue;
            }
            if (!progress.waiting_since) {
                progress.waiting_since = now;
            }
            step.has_suspect = std::any_of(
                progress.tasks().begin(), progress.tasks().end(), [&](const auto& entry) {
                    return entry.second.crashes.suspected > 0 && step.waiting.contains(entry.first);
                });
            step.reserves_slack = now - *progress.waiting_since < config.fillers.max_wait_for_room;
            step.key = {id, k, s};
            step.spec = &spec.steps[s];
            step.queue = &job.submitted.queue;
            step.rules = queues.at(job.submitted.queue);
            step.due_at = occurrence.due_at;
            step.has_precedence = has_precedence(*step.spec);
            step.is_starved = job.idle_since && now - *job.idle_since >= starvation_timeout;
            set_estimates(step, spec, occurrence);
            ready.push_back(std::move(step));
        }
    }
}

void coordinator::state::place_ready_steps() {
    for (auto& instance : instances) {
        instance.is_reserved = false;
    }
    unplaceable_fillers.clear();
    begin_rack_pass();
    release_void_reservations();
    std::vector<ready_step> without_capacity;
    const auto steps = collect_ready_steps();
    fair_order order(steps, shares, config.has_fair_shares);
    while (const auto* next = order.next()) {
        const auto& step = *next;
        if (is_known_unplaceable(step)) {
            continue;
        }
        if (step.rules.requires_permit) {
            auto& permits = permits_by_step[step.key];
            permits.expire(time.now());
            if (permits.tickets().empty()) {
                request_permits(step);
                continue;
            }
        }
        const bool is_placed = step.spec->is_gang ? place_gang(step) : place_step(step);
        if (!is_placed && step.rules.requires_permit) {
            request_permits(step);
        }
        if (step.has_precedence) {
            without_capacity.push_back(step);
        }
    }
    reserve_capacity(without_capacity);
}

// True if this pass found no instance for a filler of the same image with no greater demand.
bool coordinator::state::is_known_unplaceable(const ready_step& step) const {
    if (!step.spec->is_filler || step.is_starved) {
        return false;
    }
    const auto found = unplaceable_fillers.find({step.spec->image, step.reserves_slack});
    return found != unplaceable_fillers.end() &&
           step.spec->demand.processors.value() >= found->second;
}

void coordinator::state::request_permits(const ready_step& step) {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    context.interference = &interference;
    context.fillers = config.fillers;
    context.crashes = config.crashes;
    context.reservations = &reservations;
    std::vector<permit_candidate> candidates;
    // Steps begin at different instances, so that they do not all get permits for the same ones.
    const auto first = instances.empty() ? 0 : std::hash<job_id>{}(step.key.job) % instances.size();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[(first + i) % instances.size()];
        if (accepts_starts(instance, context) && is_eligible(*instance.executor, step)) {
            const auto& rack = step.spec->preferred_rack;
            candidates.push_back({instance.executor->id, can_start(instance, step, context),
                                  rack.empty() || has_label(*instance.executor, rack.value())});
        }
    }
    const auto executors =
        permits_by_step[step.key].begin_request(std::move(candidates), context.now);
    if (!executors.empty()) {
        orders.request_permits(step.key, executors);
    }
}

bool coordinator::state::place_step(const ready_step& step) {
    auto context = make_context(step);
    place_reserved_tasks(step);
    rack_id rack = rack_to_wait_for(step);
    for (const auto index : step.waiting) {
        context.rack = {};
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        const auto* task = find_task(key);
        const bool is_waiting = task == nullptr || task->phase == task_phase::waiting;
        if (!is_waiting || reservations.find(key) != nullptr) {
            continue;
        }
        context.task = key;
        context.avoided_instance = task == nullptr ? std::nullopt : task->last_failed_instance;
        context.is_suspect = task != nullptr && task->crashes.suspected > 0;
        if (needs_isolation(*step.spec, task)) {
            if (const auto instance = choose_isolated_instance(step, key, context)) {
                place_task(step, index, *instance);
            }
            continue;
        }
        context.rack = rack;
        const bool is_waiting_too_long =
            step.spec->is_long_running && task != nullptr && task->run > run_number(0) &&
            context.now - task->without_run_since.value_or(task->phase_since) >= starvation_timeout;
        context.checks_capacity_only =
            is_waiting_too_long || (step.is_starved && index == step.waiting.front());
        const auto instance = choose_instance_near_rack(step, index, context);
        rack = context.rack;
        if (!instance) {
            if (step.spec->is_filler && !context.checks_capacity_only &&
                context.permits == nullptr && rack.empty()) {
                unplaceable_fillers.try_emplace({step.spec->image, step.reserves_slack},
                                                step.spec->demand.processors.value());
            }
            if (step.rules.priority == 0) {
                keep_largest_instance(step, context);
            }
            return false;
        }
        place_task(step, index, *instance);
    }
    return true;
}

// Reserves the instance with the most free processors, so that work of lower priority does not take
// the capacity that becomes free.
void coordinator::state::keep_largest_instance(const ready_step& step,
                                               const placement_context& context) {
    std::optional<std::size_t> largest;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (accepts_starts(instances[i], context) && is_eligible(*instances[i].executor, step) &&
            is_on_rack(*instances[i].executor, context) &&
            has_permit(*instances[i].executor, context) &&
            !instances[i].health.is_quarantined(context.now) &&
            (!largest || instances[i].free().processors > instances[*largest].free().processors)) {
            largest = i;
        }
    }
    if (largest) {
        instances[*largest].is_reserved = true;
    }
}

void coordinator::state::place_task(const ready_step& step, std::uint32_t index,
                                    std::size_t instance) {
    const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
    auto& job = jobs.at(step.key.job);
    auto& task = *open_task(key);
    reservations.remove(key);
    task.phase = task_phase::placed;
    task.run = task.run.next();
    task.phase_since = time.now();
    task.sent_at.reset();
    assign(key, task, instance);
    auto& target = instances[instance];
    task.incarnation = target.executor->incarnation;
    target.last_start_at = time.now();
    begin_measurement(step, task, target);
    turns.placed(step);
    if (task.crashes.suspected > 0) {
        target.last_suspect_at = time.now();
    }
    record_rack_start(step, key, instance);
    check_invariant(target.committed.fits_in(target.executor->capacity),
                    "placement overcommits " + target.name.value() + ": " +
                        to_string(target.committed) + " of " +
                        to_string(target.executor->capacity));
    start_order order;
    order.task = key;
    order.run = task.run;
    order.payload = job.submitted.spec.payload;
    order.checkpoint = task.checkpoint;
    order.incarnation = target.executor->incarnation;
    order.traits = traits_of(*step.spec);
    if (step.rules.requires_permit) {
        order.permit = permits_by_step[step.key].tickets().at(target.executor->id);
    }
    job.pending_starts.push_back({instance, std::move(order)});
    if (job.phase == job_phase::pending) {
        job.phase = job_phase::running;
        mark_dirty(job, 0);
    }
    mark_dirty(key);
}

job_worth coordinator::state::worth_of(const job_id& id, std::uint32_t occurrence) {
    auto& job = *find_job(id);
    const auto* progress = job.occurrences.find(occurrence);
    const auto work = work_of(job.submitted.spec, progress, ordering_run_times());
    return {lateness_rank(job.submitted.rules, progress->due_at, work.chain, work.chain_left,
                          time.now()),
            work.core_seconds_left};
}

}  // namespace tanagerpaddle::dispatch
