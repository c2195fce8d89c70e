// Placement of ready steps, expiry of machines, and what else time brings.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// An unanswered question to the policy service is asked again after this time.
constexpr milliseconds advice_retry{2'000};
// Executors named in one question; the service takes time for each.
constexpr std::size_t executors_asked = 30;
// Running tasks are looked through at the interval of the agents' reports; a look at each of them
// in every plan would cost the owner of a large fleet most of its processor.
constexpr milliseconds inspection_interval{300};
// A running task shows one percent more at least this often: reports come every 0.3 s, a look may
// take 1.2 s, and runs of up to 200 s advance by a percent in 2 s.
constexpr milliseconds stall{2'000};
// Longer tasks get this part of their estimate.
constexpr int stall_share = 20;
// A job with nothing running for this long gets a place, so that it is never held back for good by
// what is believed of machines and images.
constexpr milliseconds starvation{1'000};
// A filler that cannot resume elsewhere only leaves before it has done this share of its work.
constexpr int most_percent_lost = 15;
// Moves in one look through the machines: each takes room that the next one must not count on.
constexpr int most_moves = 4;
// A run is given this time before it is moved, which costs a restart.
constexpr milliseconds least_run_before_move{500};

// Estimated work on the longest chain of steps; `is_left` counts only steps that are not done.
milliseconds longest_chain(const job_spec& spec, const occurrence_state& occurrence,
                           bool only_left) {
    std::vector<milliseconds> until(spec.steps.size());
    milliseconds longest{0};
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        milliseconds before{0};
        for (const auto earlier : spec.steps[s].depends_on) {
            before = std::max(before, until[earlier]);
        }
        const bool counts = !only_left || !occurrence.steps[s].is_done();
        until[s] = before + (counts ? spec.steps[s].estimate : milliseconds(0));
        longest = std::max(longest, until[s]);
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

bool occupies_any_machine(const job_state& job) {
    for (const auto& occurrence : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            for (const auto& task : step.tasks) {
                if (task.occupies_machine()) {
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

}  // namespace

void coordinator::plan() {
    state_->expire_machines();
    state_->release_due_occurrences();
    const bool inspects = state_->time.now() - state_->inspected_at >= inspection_interval;
    if (inspects) {
        state_->inspected_at = state_->time.now();
        state_->stop_stalled_tasks();
    }
    state_->place_ready_steps();
    if (inspects) {
        state_->relieve_pressed_machines();
    }
    state_->flush_acknowledgements();
}

void coordinator::state::expire_machines() {
    const instant now = time.now();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        auto& machine = machines[i];
        if (!machine.is_linked && now >= machine.gone_at &&
            (!machine.tasks.empty() || !machine.strays.empty())) {
            empty_machine(i);
            machine.executor.reset();
        }
    }
}

void coordinator::state::release_due_occurrences() {
    const auto utc = time.utc_now().value();
    const instant now = time.now();
    for (const auto& id : active) {
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
    for (const auto& id : active) {
        auto& job = jobs.at(id);
        const auto rules = queues.find(job.submitted.queue);
        if (rules == queues.end()) {
            continue;
        }
        const auto& spec = job.submitted.spec;
        if (occupies_any_machine(job)) {
            job.idle_since.reset();
        } else if (!job.idle_since) {
            job.idle_since = now;
        }
        for (std::uint32_t k = 0; k < job.occurrences.size(); ++k) {
            const auto& occurrence = job.occurrences[k];
            if (!occurrence.is_due) {
                continue;
            }
            for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
                ready_step step;
                for (std::uint32_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
                    if (occurrence.steps[s].tasks[i].phase == task_phase::waiting) {
                        step.waiting.push_back(i);
                    }
                }
                if (step.waiting.empty() || !is_ready(spec, occurrence, s)) {
                    continue;
                }
                const auto chain = longest_chain(spec, occurrence, false);
                step.key = {id, k, s};
                step.spec = &spec.steps[s];
                step.rules = rules->second;
                step.rank = rank_of(step.rules, occurrence.due_at, chain,
                                    longest_chain(spec, occurrence, true), now);
                step.is_starved = job.idle_since && now - *job.idle_since >= starvation;
                step.core_seconds_left = core_seconds_left(spec, occurrence);
                step.objective = occurrence.due_at + chain + step.rules.target;
                ready.push_back(std::move(step));
            }
        }
    }
    std::sort(ready.begin(), ready.end(), goes_before);
    return ready;
}

void coordinator::state::place_ready_steps() {
    for (auto& machine : machines) {
        machine.is_reserved = false;
    }
    unplaceable_fillers.clear();
    for (const auto& step : collect_ready_steps()) {
        if (is_known_unplaceable(step) || !has_permits(step)) {
            continue;
        }
        if (step.spec->is_gang) {
            place_gang(step);
        } else {
            place_step(step);
        }
    }
}

// A filler of the same image that wanted no more has found no machine in this pass.
bool coordinator::state::is_known_unplaceable(const ready_step& step) const {
    if (!step.spec->is_filler || step.is_starved) {
        return false;
    }
    const auto found = unplaceable_fillers.find(step.spec->image);
    return found != unplaceable_fillers.end() &&
           step.spec->demand.processors.value() >= found->second;
}

bool coordinator::state::has_permits(const ready_step& step) {
    if (!step.rules.requires_permit) {
        return true;
    }
    const instant now = time.now();
    auto& entry = advice[step.key];
    if (now < entry.valid_until) {
        return true;
    }
    if (entry.is_asked && now < entry.asked_at + advice_retry) {
        return false;
    }
    placement_context context;
    context.now = now;
    context.evacuated = &evacuated;
    std::vector<executor_id> asked;
    for (const auto& machine : machines) {
        if (accepts_starts(machine, context) && is_eligible(*machine.executor, step) &&
            asked.size() < executors_asked) {
            asked.push_back(machine.executor->id);
        }
    }
    if (!asked.empty()) {
        entry.is_asked = true;
        entry.asked_at = now;
        orders.request_permits(step.key, asked);
    }
    return false;
}

bool coordinator::state::place_step(const ready_step& step) {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated;
    if (step.rules.requires_permit) {
        context.permits = &advice[step.key].tickets;
    }
    context.interference = &interference;
    for (const auto index : step.waiting) {
        const auto& task = jobs.at(step.key.job)
                               .occurrences[step.key.occurrence]
                               .steps[step.key.step]
                               .tasks[index];
        context.avoid = task.failed_on;
        const bool is_stranded = step.spec->is_long_running && task.run > run_number(0) &&
                                 context.now - task.since >= starvation;
        context.only_room_counts =
            is_stranded || (step.is_starved && index == step.waiting.front());
        const auto machine = choose_machine(machines, step, context);
        if (!machine) {
            if (step.spec->is_filler && !context.only_room_counts) {
                unplaceable_fillers.try_emplace(step.spec->image,
                                                step.spec->demand.processors.value());
            }
            if (step.rules.priority == 0) {
                // Keeps work of lower priority from taking the room as it becomes free.
                std::optional<std::size_t> widest;
                for (std::size_t i = 0; i < machines.size(); ++i) {
                    if (accepts_starts(machines[i], context) &&
                        is_eligible(*machines[i].executor, step) &&
                        !machines[i].health.is_quarantined(context.now) &&
                        (!widest ||
                         machines[i].free().processors > machines[*widest].free().processors)) {
                        widest = i;
                    }
                }
                if (widest) {
                    machines[*widest].is_reserved = true;
                }
            }
            return false;
        }
        place_task(step, index, *machine);
    }
    return true;
}

// Places all members or none. A trial placement that finds no room for a member is undone.
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
    context.evacuated = &evacuated;
    context.interference = &interference;
    if (step.rules.requires_permit) {
        context.permits = &advice[step.key].tickets;
    }
    std::vector<std::size_t> chosen;
    for (const auto index : step.waiting) {
        const auto machine = choose_machine(machines, step, context);
        if (!machine) {
            break;
        }
        chosen.push_back(*machine);
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        tasks[index].phase = task_phase::placed;
        occupy(key, tasks[index], *machine);
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        const auto index = step.waiting[i];
        const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
        vacate(key, tasks[index]);
        tasks[index].phase = task_phase::waiting;
    }
    if (chosen.size() != tasks.size()) {
        return false;
    }
    for (auto& task : tasks) {
        task.run = run;
    }
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        place_task(step, step.waiting[i], chosen[i]);
    }
    return true;
}

void coordinator::state::place_task(const ready_step& step, std::uint32_t index,
                                    std::size_t machine) {
    const task_key key{step.key.job, step.key.occurrence, step.key.step, index};
    auto& job = jobs.at(step.key.job);
    auto& task = *find_task(key);
    task.phase = task_phase::placed;
    task.run = task.run.next();
    task.since = time.now();
    occupy(key, task, machine);
    const auto& owner = machines[machine];
    check_invariant(owner.committed.fits_in(owner.executor->capacity),
                    "placement overcommits " + owner.name.value() + ": " +
                        to_string(owner.committed) + " of " + to_string(owner.executor->capacity));
    start_order order;
    order.task = key;
    order.run = task.run;
    order.payload = job.submitted.spec.payload;
    order.checkpoint = task.checkpoint;
    order.incarnation = owner.executor->incarnation;
    order.traits = traits_of(*step.spec);
    if (step.rules.requires_permit) {
        order.permit = advice[step.key].tickets[owner.executor->id];
    }
    job.starts.push_back({machine, std::move(order)});
    if (job.phase == job_phase::pending) {
        job.phase = job_phase::running;
    }
    mark_dirty(job);
}

// Stops batch tasks that stand still, which happens on machines that look healthy, and tells
// against the machine.
void coordinator::state::stop_stalled_tasks() {
    const instant now = time.now();
    for (std::size_t i = 0; i < machines.size(); ++i) {
        auto& machine = machines[i];
        if (!machine.is_linked || !machine.executor) {
            continue;
        }
        const std::vector<task_key> keys(machine.tasks.begin(), machine.tasks.end());
        for (const auto& key : keys) {
            auto& task = *find_task(key);
            const auto& spec = spec_of(key);
            // A filler may stand still because it is paced, a gang because a member is missing.
            const bool is_watched = task.phase == task_phase::running && !spec.is_long_running &&
                                    !spec.is_gang &&
                                    !(spec.is_filler && !machine.serving_tasks_by_image.empty());
            const auto limit = std::max(stall, spec.estimate / stall_share);
            if (is_watched && now - task.progressed_at >= limit) {
                task.failed_on = i;
                machine.health.failed(key.job, now);
                stop_task(key, task);
            }
        }
    }
}

// Moves fillers that are held back for the sake of serving tasks to machines where they can work.
void coordinator::state::relieve_pressed_machines() {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated;
    context.interference = &interference;
    int moves = 0;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        auto& machine = machines[i];
        if (!machine.is_linked || !machine.executor || machine.serving_tasks_by_image.empty()) {
            continue;
        }
        context.avoid = i;
        const std::vector<task_key> keys(machine.tasks.begin(), machine.tasks.end());
        for (const auto& key : keys) {
            auto& task = *find_task(key);
            if (moves >= most_moves || !is_worth_moving(key, task, machine)) {
                continue;
            }
            ready_step step;
            step.key = {key.job, key.occurrence, key.step};
            step.spec = &spec_of(key);
            step.rules = find_job(key.job)->submitted.rules;
            const auto target = choose_machine(machines, step, context);
            if (target && *target != i) {
                ++moves;
                stop_task(key, task);
            }
        }
    }
}

bool coordinator::state::is_worth_moving(const task_key& key, const task_state& task,
                                         machine_state& machine) {
    const auto& spec = spec_of(key);
    const auto& rules = find_job(key.job)->submitted.rules;
    return spec.is_filler && !spec.is_gang && !rules.requires_permit &&
           task.phase == task_phase::running && time.now() - task.since >= least_run_before_move &&
           (spec.writes_checkpoints || task.percent <= most_percent_lost) &&
           slack_beside(machine, interference, spec.image, 0) < 0;
}

void coordinator::state::flush_acknowledgements() {
    if (writing || !dirty.empty()) {
        return;
    }
    for (auto& machine : machines) {
        if (machine.is_linked && machine.executor &&
            machine.processed_end > machine.acknowledged_end) {
            machine.acknowledged_end = machine.processed_end;
            orders.acknowledge(machine.name, machine.executor->incarnation, machine.processed_end);
        }
    }
}

}  // namespace tanagerpaddle::dispatch
