// Capacity for long-running tasks without a run: reservations, preemption, and the log of waits.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Time after which a stop that has not ended its run is not expected to end it soon: twice the
// platform's bound on a stop.
constexpr milliseconds max_stop_time{1'800};
// Expected end of a run that is being stopped: the platform's bound.
constexpr milliseconds expected_stop_time{900};
// Progress from which the remaining run time is computed; below it the estimate is better.
constexpr int min_percent_for_projection = 5;
// Interval at which a reservation is tried again after no instance could be reserved: choosing one
// visits the tasks of all instances, as the inspection of running tasks at the same interval does.
constexpr milliseconds reservation_retry_interval{300};
// Reservations decided in one pass: by measurement 64 take 0.2 s with 3,200 instances of 30 tasks,
// less than the agents' heartbeat interval.
constexpr std::size_t max_reservations_per_pass = 64;
// Time without a run after which a long-running task is reported, and the interval of the reports.
constexpr milliseconds min_wait_to_report{1'000};
constexpr milliseconds waiting_report_interval{1'000};

double core_seconds(const step_spec& spec, milliseconds time) {
    return static_cast<double>(spec.demand.processors.value()) * static_cast<double>(time.count()) /
           1e6;
}

// When the run is expected to end by itself; std::nullopt if it has outlasted its estimate.
std::optional<instant> expected_end(const step_spec& spec, const task_state& task, instant now) {
    if (task.phase == task_phase::stopping) {
        return now - task.phase_since < max_stop_time
                   ? std::optional(task.phase_since + expected_stop_time)
                   : std::nullopt;
    }
    if (spec.is_long_running) {
        return std::nullopt;
    }
    if (task.phase != task_phase::running) {
        return now + spec.estimate;
    }
    if (task.percent >= min_percent_for_projection) {
        const auto until_progress = task.progressed_at - task.phase_since;
        return std::max(now, task.phase_since + until_progress * 100 / task.percent);
    }
    const instant estimated = task.phase_since + spec.estimate;
    return estimated > now ? std::optional(estimated) : std::nullopt;
}

// What a task without a run waits for; empty if it has one.
std::string_view wait_of(const task_state& task, bool is_gang) {
    switch (task.phase) {
        case task_phase::waiting:
            return task.orphaned_runs == 0 || is_gang ? "capacity" : "end_of_other_run";
        case task_phase::placed:
            return "write";
        case task_phase::starting:
            return task.has_begun ? "" : "start";
        case task_phase::stopping:
            return "stop";
        case task_phase::running:
        case task_phase::succeeded:
            break;
    }
    return "";
}

}  // namespace

bool coordinator::state::has_precedence(const step_spec& spec) const {
    return config.long_running.is_enabled && spec.is_long_running && !spec.is_filler;
}

void coordinator::state::record_unreachable_runs(const std::vector<task_key>& keys,
                                                 instant observed_at) {
    const instant now = time.now();
    // An earlier owner may have observed the instance last.
    const instant ended_at = std::clamp(observed_at, now - config.timing.max_expiry_delay(), now);
    for (const auto& key : keys) {
        auto& task = *find_task(key);
        task.without_run_since = task.without_run_since.value_or(ended_at);
    }
}

placement_context coordinator::state::make_context(const ready_step& step) {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    context.interference = &interference;
    context.fillers = config.fillers;
    context.crashes = config.crashes;
    context.reservations = &reservations;
    context.pause_after_refusal = config.long_running.pause_after_refusal;
    if (step.rules.requires_permit) {
        context.permits = &permits_by_step[step.key].tickets();
    }
    return context;
}

// Drops reservations that have ended, whose task no longer waits, or whose instance accepts no
// starts any more.
void coordinator::state::release_void_reservations() {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    std::vector<task_key> released;
    for (const auto& [key, reservation] : reservations.all()) {
        const auto& instance = instances[reservation.instance];
        if (!is_waiting(key) || context.now >= reservation.until ||
            !accepts_starts(instance, context) || instance.isolated_task ||
            instance.health.is_quarantined(context.now)) {
            released.push_back(key);
        }
    }
    for (const auto& key : released) {
        reservations.remove(key);
    }
}

void coordinator::state::place_reserved_tasks(const ready_step& step) {
    if (!step.has_precedence || reservations.all().empty()) {
        return;
    }
    auto context = make_context(step);
    context.checks_capacity_only = true;
    for (const auto index : step.waiting) {
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        const auto* reservation = reservations.find(key);
        const auto* task = find_task(key);
        if (reservation == nullptr || needs_isolation(*step.spec, task)) {
            continue;
        }
        context.task = key;
        if (can_start(instances[reservation->instance], step, context)) {
            place_task(step, index, reservation->instance);
            continue;
        }
        // Not where it was refused: the reservation would be lost for a start that fails again.
        const auto other = choose_instance(instances, step, context);
        if (other && (task == nullptr || other != task->last_failed_instance)) {
            place_task(step, index, *other);
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Reservations

namespace {

// How many tasks of the step may be stopped while the task counts as available; std::nullopt if
// there is no limit.
std::optional<std::uint32_t> stop_allowance(const step_spec& spec, const step_state& step,
                                            std::uint32_t index) {
    if (!spec.max_unavailable) {
        return std::nullopt;
    }
    // Tasks without a state have no run.
    auto others = static_cast<std::uint32_t>(step.unfinished());
    for (const auto& [i, task] : step.tasks()) {
        others -= i == index || task.phase == task_phase::running ? 1U : 0U;
    }
    return *spec.max_unavailable > others ? *spec.max_unavailable - others : 0;
}

bool is_stoppable(const step_spec& spec, const task_state& task) {
    return !spec.is_long_running && !spec.is_gang &&
           (task.phase == task_phase::placed || task.phase == task_phase::starting ||
            task.phase == task_phase::running);
}

}  // namespace

capacity_holder coordinator::state::holder_of(const task_key& key) const {
    const auto& job = jobs.at(key.job);
    const auto& spec = job.submitted.spec.steps[key.step];
    const auto& step = kept_step({key.job, key.occurrence, key.step});
    const auto& task = *step.find(key.index);
    const instant now = time.now();
    capacity_holder holder;
    holder.task = key;
    holder.held = reserved_resources(spec);
    holder.ends_at = expected_end(spec, task, now);
    holder.priority = job.submitted.rules.priority;
    holder.step_allowance = stop_allowance(spec, step, key.index);
    holder.is_preemptible = is_stoppable(spec, task) && holder.step_allowance != 0U;
    holder.writes_checkpoints = spec.writes_checkpoints;
    if (task.phase == task_phase::running) {
        holder.core_seconds_done =
            core_seconds(spec, std::chrono::duration_cast<milliseconds>(now - task.phase_since));
    }
    return holder;
}

reservable_instance coordinator::state::view_of(std::size_t index) const {
    const auto& instance = instances[index];
    reservable_instance view;
    view.index = index;
    view.free = instance.free() - reservations.reserved_on(index);
    view.is_reserved = reservations.is_reserved(index);
    for (const auto& key : instance.tasks) {
        view.holders.push_back(holder_of(key));
    }
    for (const auto& [id, demand] : instance.orphaned_runs) {
        capacity_holder holder;
        holder.task = id.first;
        holder.held = demand.value_or(resources{});
        holder.ends_at = time.now() + expected_stop_time;
        view.holders.push_back(holder);
    }
    sort_holders(view);
    return view;
}

std::vector<reservable_instance> coordinator::state::view_instances(
    const placement_context& context) const {
    std::vector<reservable_instance> views;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (accepts_starts(instances[i], context) && !instances[i].isolated_task &&
            !instances[i].health.is_quarantined(context.now)) {
            views.push_back(view_of(i));
        }
    }
    return views;
}

capacity_request coordinator::state::request_for(const ready_step& step,
                                                 std::uint32_t index) const {
    const auto& rules = config.long_running;
    const auto& progress = kept_step(step.key);
    const auto* task = progress.find(index);
    capacity_request request;
    request.task = {step.key.job, step.key.occurrence, step.key.step, index};
    request.demand = step.spec->demand;
    request.priority = step.rules.priority;
    const instant since = task == nullptr ? *progress.without_run_since : *task->without_run_since;
    request.preempt_at = since + rules.max_wait + rules.max_wait_for_ends;
    request.avoided_instance = task == nullptr ? std::nullopt : task->last_failed_instance;
    const auto limit = std::max<std::size_t>(
        1,
        static_cast<std::size_t>(rules.max_reserved_share * static_cast<double>(instances.size())));
    request.needs_reserved_instance =
        reservations.reserved_instances() >= limit && time.now() < request.preempt_at;
    return request;
}

void coordinator::state::reserve_capacity(const std::vector<ready_step>& steps) {
    const instant now = time.now();
    std::vector<reservable_instance> views;
    std::size_t decisions = 0;
    bool has_failed = false;
    for (const auto& step : steps) {
        auto& progress = kept_step(step.key);
        for (const auto index : step.waiting) {
            const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
            auto* task = progress.find(index);
            if (task != nullptr && task->phase != task_phase::waiting) {
                continue;
            }
            auto& since = task == nullptr ? progress.without_run_since : task->without_run_since;
            since = since.value_or(now);
            // While no row can be written, tasks would be preempted for a start that cannot be
            // sent.
            if (has_failed_write || step.spec->is_gang || needs_isolation(*step.spec, task)) {
                continue;
            }
            if (reservations.find(key) != nullptr) {
                preempt_overdue(step, index);
                continue;
            }
            const bool is_due =
                now - *since >= config.long_running.max_wait && now >= next_reservation_at;
            if (!is_due || decisions >= max_reservations_per_pass) {
                continue;
            }
            if (views.empty()) {
                views = view_instances(make_context(step));
            }
            ++decisions;
            if (!reserve_for(step, index, views)) {
                has_failed = true;
                break;  // the other tasks of the step have the same demand
            }
        }
    }
    if (has_failed) {
        next_reservation_at = now + reservation_retry_interval;
    }
}

bool coordinator::state::reserve_for(const ready_step& step, std::uint32_t index,
                                     std::vector<reservable_instance>& views) {
    const auto request = request_for(step, index);
    const instant now = time.now();
    auto context = make_context(step);
    // Reservations of other tasks do not hinder: the views count their demand.
    context.reservations = nullptr;
    context.checks_capacity_only = true;
    const auto plan = choose_capacity(views, request, now, [&](std::size_t i) {
        const auto obstacle = obstacle_of(instances[i], step, context);
        return obstacle == placement_obstacle::none || obstacle == placement_obstacle::no_capacity;
    });
    if (!plan) {
        return false;
    }
    capacity_reservation reservation;
    reservation.instance = plan->instance;
    reservation.demand = request.demand;
    reservation.priority = request.priority;
    reservation.until = now + config.long_running.reservation_time;
    reservation.preempt_at = std::max(now, request.preempt_at);
    reservation.has_preempted = !plan->preempted.empty();
    reservations.add(request.task, reservation);
    orders.report_reservation(instances[plan->instance].name, request.task, reservation.until);
    apply_plan(views, *plan, request, now);
    preempt(*plan, request.task);
    return true;
}

void coordinator::state::preempt_overdue(const ready_step& step, std::uint32_t index) {
    auto request = request_for(step, index);
    const auto& reservation = *reservations.find(request.task);
    if (reservation.has_preempted || time.now() < reservation.preempt_at) {
        return;
    }
    auto view = view_of(reservation.instance);
    view.free += reservation.demand;
    request.preempt_at = time.now();
    if (const auto plan = plan_capacity(view, request, time.now())) {
        reservations.mark_preempted(request.task);
        preempt(*plan, request.task);
    } else {
        reservations.remove(request.task);
    }
}

void coordinator::state::preempt(const capacity_plan& plan, const task_key& key) {
    std::vector<task_key> stopped;
    for (const auto& preempted : plan.preempted) {
        // A plan before this one may have stopped others of its step.
        if (holder_of(preempted).is_preemptible) {
            stopped.push_back(preempted);
            stop_task(preempted, *find_task(preempted));
        }
    }
    if (!stopped.empty()) {
        orders.report_preemption(instances[plan.instance].name, key, stopped);
    }
}

// ---------------------------------------------------------------------------------------------
// Log of waits

void coordinator::state::report_waiting_tasks() {
    const instant now = time.now();
    if (now < next_waiting_report_at) {
        return;
    }
    next_waiting_report_at = now + waiting_report_interval;
    for (const auto& id : active_jobs) {
        auto& job = jobs.at(id);
        const auto& steps = job.submitted.spec.steps;
        for (std::uint32_t s = 0; s < steps.size(); ++s) {
            if (!steps[s].is_long_running) {
                continue;
            }
            for (const auto& [k, occurrence] : job.occurrences.kept()) {
                report_waiting_step(job, k, s);
            }
        }
    }
}

void coordinator::state::report_waiting_step(job_state& job, std::uint32_t occurrence,
                                             std::uint32_t s) {
    const instant now = time.now();
    const auto& spec = job.submitted.spec.steps[s];
    const auto& step = kept_step({job.submitted.id, occurrence, s});
    waiting_task report;
    const auto add = [&](std::uint32_t index, std::optional<instant> since, std::string_view wait) {
        if (wait.empty() || !since || now - *since < min_wait_to_report) {
            return;
        }
        const auto time_without = std::chrono::duration_cast<milliseconds>(now - *since);
        if (report.tasks_of_step++ == 0 || time_without > report.without_run) {
            report.task = {job.submitted.id, occurrence, s, index};
            report.without_run = time_without;
            report.waits_for = wait;
        }
    };
    for (const auto& [i, task] : step.tasks()) {
        add(i, task.without_run_since, wait_of(task, spec.is_gang));
    }
    if (step.without_run_since) {
        for (const auto i : step.waiting(spec.is_gang)) {
            if (step.find(i) == nullptr) {
                add(i, step.without_run_since, "capacity");
            }
        }
    }
    if (report.tasks_of_step == 0) {
        return;
    }
    const auto rules = queues.find(job.submitted.queue);
    if (rules == queues.end()) {
        report.waits_for = "queue";
    } else if (report.waits_for == "capacity") {
        ready_step waiting;
        waiting.key = {job.submitted.id, occurrence, s};
        waiting.spec = &spec;
        waiting.rules = rules->second;
        waiting.has_precedence = has_precedence(spec);
        auto context = make_context(waiting);
        context.task = report.task;
        std::map<std::string_view, std::size_t> counts;
        for (auto& instance : instances) {
            ++counts[name(obstacle_of(instance, waiting, context))];
        }
        report.instances_by_obstacle.assign(counts.begin(), counts.end());
    }
    orders.report_waiting_task(report);
}

}  // namespace tanagerpaddle::dispatch
