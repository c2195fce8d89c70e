// Planning: placement of ready steps, expiry of instances, and other periodic work.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Interval at which running tasks are inspected; equals the agents' heartbeat interval. Inspecting
// them in every plan would take most of the owner's processor time with many instances.
constexpr milliseconds inspection_interval{300};
// A task without progress for this long is stalled: reports arrive every 0.3 s, reading the
// executor's lists may take 1.2 s, and runs of up to 200 s advance by one percent within 2 s.
constexpr milliseconds min_stall_timeout{2'000};
// Longest time between two views of an instance that reports as it should: an executor may delay
// its lists by 0.5 s, and reports are sent every 0.3 s.
constexpr milliseconds max_view_gap{1'000};
// Longer tasks may go without progress for their estimate divided by this.
constexpr int stall_timeout_divisor = 20;
// A job without an assigned task for this long is placed by capacity alone, so that quarantines and
// interference estimates cannot block it indefinitely.
constexpr milliseconds starvation_timeout{1'000};

// Estimated run time of the longest chain of steps; `only_unfinished` skips steps that are done.
milliseconds longest_chain(const job_spec& spec, const occurrence_state& occurrence,
                           bool only_unfinished) {
    std::vector<milliseconds> finish_offsets(spec.steps.size());
    milliseconds longest{0};
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        milliseconds before{0};
        for (const auto earlier : spec.steps[s].depends_on) {
            before = std::max(before, finish_offsets[earlier]);
        }
        const bool counts = !only_unfinished || !occurrence.steps[s].is_done();
        finish_offsets[s] = before + (counts ? spec.steps[s].estimate : milliseconds(0));
        longest = std::max(longest, finish_offsets[s]);
    }
    return longest;
}

double core_seconds_left(const job_spec& spec, const occurrence_state& occurrence) {
    double total = 0;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        const auto& step = occurrence.steps[s];
        const auto left = static_cast<double>(step.tasks.size() - step.succeeded);
        total += left * static_cast<double>(spec.steps[s].demand.processors.value()) *
                 static_cast<double>(spec.steps[s].estimate.count()) / 1e6;
    }
    return total;
}

bool occupies_any_instance(const job_state& job) {
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            for (const auto& task : step.tasks) {
                if (task.occupies_instance()) {
                    return true;
                }
            }
        }
    }
    return false;
}

bool is_ready(const job_spec& spec, const occurrence_state& occurrence, std::size_t s) {
    const auto& after = spec.steps[s].depends_on;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t earlier) { return occurrence.steps[earlier].is_done(); });
}

// The checkpoint from which a gang resumes: all members need the same one, and that of any member
// is valid for all.
std::string newest_checkpoint(const std::vector<task_state>& members) {
    const auto newest =
        std::max_element(members.begin(), members.end(), [](const auto& left, const auto& right) {
            return std::pair(!left.checkpoint.empty(), left.checkpointed_at) <
                   std::pair(!right.checkpoint.empty(), right.checkpointed_at);
        });
    return newest->checkpoint;
}

}  // namespace

void coordinator::plan() {
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
    }
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

void coordinator::state::release_due_occurrences() {
    const auto utc = time.utc_now().value();
    const instant now = time.now();
    for (const auto& id : active_jobs) {
        auto& job = jobs.at(id);
        const auto& spec = job.submitted.spec;
        for (std::uint32_t k = 0; k < spec.occurrences; ++k) {
            auto& occurrence = job.occurrences[k];
            const auto due = spec.first_due.value() + std::int64_t{k} * spec.interval.count();
            if (!occurrence.is_due && utc >= due) {
                occurrence.is_due = true;
                occurrence.due_at = now - milliseconds(utc - due);
            }
        }
    }
}

std::vector<ready_step> coordinator::state::collect_ready_steps() {
    std::vector<ready_step> ready;
    const instant now = time.now();
    for (const auto& id : active_jobs) {
        auto& job = jobs.at(id);
        const auto rules = queues.find(job.submitted.queue);
        if (rules == queues.end()) {
            continue;
        }
        const auto& spec = job.submitted.spec;
        if (occupies_any_instance(job)) {
            job.idle_since.reset();
        } else if (!job.idle_since) {
            job.idle_since = now;
        }
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            auto& occurrence = job.occurrences[k];
            if (!occurrence.is_due) {
                continue;
            }
            for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
                ready_step step;
                auto& progress = occurrence.steps[s];
                for (std::uint32_t i = 0; i < progress.tasks.size(); ++i) {
                    const auto& task = progress.tasks[i];
                    if (task.phase == task_phase::waiting &&
                        (task.orphaned_runs == 0 || spec.steps[s].is_gang)) {
                        step.waiting.push_back(i);
                    }
                }
                if (step.waiting.empty() || !is_ready(spec, occurrence, s)) {
                    progress.waiting_since.reset();
                    continue;
                }
                if (!progress.waiting_since) {
                    progress.waiting_since = now;
                }
                step.reserves_slack =
                    now - *progress.waiting_since < config.fillers.max_wait_for_room;
                const auto chain = longest_chain(spec, occurrence, false);
                step.key = {id, k, s};
                step.spec = &spec.steps[s];
                step.rules = rules->second;
                step.rank = lateness_rank(step.rules, occurrence.due_at, chain,
                                          longest_chain(spec, occurrence, true), now);
                step.is_starved = job.idle_since && now - *job.idle_since >= starvation_timeout;
                step.core_seconds_left = core_seconds_left(spec, occurrence);
                step.objective = occurrence.due_at + chain + step.rules.target;
                ready.push_back(std::move(step));
            }
        }
    }
    std::sort(ready.begin(), ready.end(), precedes);
    return ready;
}

void coordinator::state::place_ready_steps() {
    for (auto& instance : instances) {
        instance.is_reserved = false;
    }
    unplaceable_fillers.clear();
    for (const auto& step : collect_ready_steps()) {
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
    }
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
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    if (step.rules.requires_permit) {
        context.permits = &permits_by_step[step.key].tickets();
    }
    context.interference = &interference;
    context.fillers = config.fillers;
    context.crashes = config.crashes;
    for (const auto index : step.waiting) {
        const auto& task = jobs.at(step.key.job)
                               .occurrences[step.key.occurrence]
                               .steps[step.key.step]
                               .tasks[index];
        context.avoided_instance = task.last_failed_instance;
        context.is_suspect = task.crashes.suspected > 0;
        if (needs_isolation(*step.spec, task)) {
            const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
            if (const auto instance = choose_isolated_instance(step, key, context)) {
                place_task(step, index, *instance);
            }
            continue;
        }
        const bool is_waiting_too_long = step.spec->is_long_running && task.run > run_number(0) &&
                                         context.now - task.phase_since >= starvation_timeout;
        context.checks_capacity_only =
            is_waiting_too_long || (step.is_starved && index == step.waiting.front());
        const auto instance = choose_instance(instances, step, context);
        if (!instance) {
            if (step.spec->is_filler && !context.checks_capacity_only &&
                context.permits == nullptr) {
                unplaceable_fillers.try_emplace({step.spec->image, step.reserves_slack},
                                                step.spec->demand.processors.value());
            }
            if (step.rules.priority == 0) {
                // Reserves the instance with the most free processors, so that work of lower
                // priority does not take the capacity that becomes free.
                std::optional<std::size_t> largest;
                for (std::size_t i = 0; i < instances.size(); ++i) {
                    if (accepts_starts(instances[i], context) &&
                        is_eligible(*instances[i].executor, step) &&
                        has_permit(*instances[i].executor, context) &&
                        !instances[i].health.is_quarantined(context.now) &&
                        (!largest ||
                         instances[i].free().processors > instances[*largest].free().processors)) {
                        largest = i;
                    }
                }
                if (largest) {
                    instances[*largest].is_reserved = true;
                }
            }
            return false;
        }
        place_task(step, index, *instance);
    }
    return true;
}

// Places all members or none: the trial assignments are undone, then made for good if all members
// fit.
bool coordinator::state::place_gang(const ready_step& step) {
    auto& tasks = jobs.at(step.key.job).occurrences[step.key.occurrence].steps[step.key.step].tasks;
    if (step.waiting.size() != tasks.size()) {
        return false;
    }
    run_number run;
    for (const auto& task : tasks) {
        run = std::max(run, task.run);
    }
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    context.interference = &interference;
    context.fillers = config.fillers;
    context.crashes = config.crashes;
    if (step.rules.requires_permit) {
        context.permits = &permits_by_step[step.key].tickets();
    }
    std::vector<std::size_t> chosen;
    for (const auto index : step.waiting) {
        const auto instance = choose_instance(instances, step, context);
        if (!instance) {
            break;
        }
        chosen.push_back(*instance);
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        tasks[index].phase = task_phase::placed;
        assign(key, tasks[index], *instance);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto index = step.waiting[i];
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        unassign(key, tasks[index]);
        tasks[index].phase = task_phase::waiting;
    }
    if (chosen.size() != tasks.size()) {
        return false;
    }
    const std::string checkpoint = newest_checkpoint(tasks);
    for (auto& task : tasks) {
        task.run = run;
        task.checkpoint = checkpoint;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        place_task(step, step.waiting[i], chosen[i]);
    }
    return true;
}

void coordinator::state::place_task(const ready_step& step, std::uint32_t index,
                                    std::size_t instance) {
    const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
    auto& job = jobs.at(step.key.job);
    auto& task = *find_task(key);
    task.phase = task_phase::placed;
    task.run = task.run.next();
    task.phase_since = time.now();
    assign(key, task, instance);
    auto& target = instances[instance];
    task.incarnation = target.executor->incarnation;
    target.last_start_at = time.now();
    if (task.crashes.suspected > 0) {
        target.last_suspect_at = time.now();
    }
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

// Time in which not all runs of an instance were known does not count as time without progress: the
// instance or its agent was suspended, slow or cut off, or its lists were incomplete.
void coordinator::state::record_view(instance_state& instance) {
    const instant now = time.now();
    const auto gap = now - instance.observed_at;
    if (gap > max_view_gap) {
        for (const auto& key : instance.tasks) {
            auto& progressed_at = find_task(key)->progressed_at;
            progressed_at = std::min(now, progressed_at + (gap - max_view_gap));
        }
    }
    instance.observed_at = now;
    if (instance.executor) {
        instance.listed_at = now;
        clear_outlived_crashes(instance);
    }
}

// Stops batch tasks without progress, which occur on instances that otherwise seem healthy, and
// counts each as a failure of the instance.
void coordinator::state::stop_stalled_tasks() {
    const instant now = time.now();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[i];
        if (!instance.is_linked || !instance.executor) {
            continue;
        }
        const std::vector<task_key> keys(instance.tasks.begin(), instance.tasks.end());
        for (const auto& key : keys) {
            auto& task = *find_task(key);
            const auto& spec = spec_of(key);
            // A filler may make no progress because it is throttled, a gang because a member is
            // missing.
            const bool is_monitored = task.phase == task_phase::running && !spec.is_long_running &&
                                      !spec.is_gang &&
                                      !(spec.is_filler && !instance.serving_tasks_by_image.empty());
            const auto limit = std::max(min_stall_timeout, spec.estimate / stall_timeout_divisor);
            const auto without_progress =
                std::chrono::duration_cast<milliseconds>(instance.observed_at - task.progressed_at);
            if (is_monitored && without_progress >= limit) {
                orders.report_stall(instance.name, key, task.run, without_progress);
                task.last_failed_instance = i;
                instance.health.failed(key.job, now);
                stop_task(key, task);
            }
        }
    }
}

job_worth coordinator::state::worth_of(const job_id& id, std::uint32_t occurrence) {
    const auto& job = *find_job(id);
    const auto& spec = job.submitted.spec;
    const auto& progress = job.occurrences[occurrence];
    return {
        lateness_rank(job.submitted.rules, progress.due_at, longest_chain(spec, progress, false),
                      longest_chain(spec, progress, true), time.now()),
        core_seconds_left(spec, progress)};
}

}  // namespace tanagerpaddle::dispatch
