// Waits of steps for a place on a rack: feeds the decisions of delay_scheduling.hpp.

#include <algorithm>
#include <tuple>

#include "coordinator_state.hpp"
#include "ordering.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Distance of the passes that decide about waits. A forecast walks the tasks of a rack; a step that
// finds no place there waits at most this long for its decision.
constexpr milliseconds review_interval{50};
// Time from the first inventory in which a new owner gets those of the other agents. Before, a rack
// without a known executor may have some, and its tasks are not all known.
constexpr milliseconds settling_time{1'000};
// A wait that was decided goes on while the forecast exceeds its end by no more than this: ends of
// runs are known only by the next report, 0.3 s apart.
constexpr milliseconds forecast_tolerance{300};
// Time for which a rack counts as wanted after a step that wants it was ready.
constexpr milliseconds wanted_time{2'000};
// Time to stop a run; its resources are free afterwards.
constexpr milliseconds stop_time{300};

place_demand demand_of(const step_spec& spec) {
    place_demand demand{spec.demand, spec.demand.processors.value(), spec.is_filler};
    if (spec.is_filler) {
        demand.reserved.processors = millicores(0);
    }
    return demand;
}

milliseconds scaled(milliseconds time, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

milliseconds time_between(instant from, instant to) {
    return std::chrono::duration_cast<milliseconds>(to - from);
}

bool is_off_preferred_rack(const step_spec& spec, const executor_info& executor) {
    return !spec.preferred_rack.empty() && !has_label(executor, spec.preferred_rack.value());
}

}  // namespace

bool coordinator::state::may_wait_for_rack(const step_spec& spec) const {
    // A long-running task has no run time that a wait could be weighed against.
    return config.delays.off_rack_factor > 1 && !spec.is_long_running &&
           (!spec.preferred_rack.empty() || (spec.is_single_rack && spec.task_count > 1));
}

milliseconds coordinator::state::expected_run_time(const step_spec& spec) const {
    return spec.estimate;
}

// Never in the future: a row may have been written by a clock that is ahead.
instant coordinator::state::instant_of(utc_millis utc) const {
    const auto age = std::max<std::int64_t>(0, time.utc_now().value() - utc.value());
    return time.now() - milliseconds(age);
}

instant coordinator::state::ready_time(const step_key& key) {
    auto& occurrence = jobs.at(key.job).occurrences.kept().at(key.occurrence);
    instant ready = occurrence.due_at;
    for (const auto earlier : spec_of({key.job, key.occurrence, key.step, 0}).depends_on) {
        auto& step = occurrence.steps[earlier];
        if (!step.ended_at) {
            // The row was written by an earlier version.
            step.ended_at = time.utc_now();
        }
        ready = std::max(ready, instant_of(*step.ended_at));
    }
    return ready;
}

wait_terms coordinator::state::terms_of(const ready_step& step) {
    const auto& spec = *step.spec;
    const auto objective = milliseconds(static_cast<std::int64_t>(
                               static_cast<double>(step.chain.count()) * step.rules.stretch)) +
                           step.rules.target;
    wait_terms terms;
    terms.ready_at = ready_time(step.key);
    terms.run_time = expected_run_time(spec);
    terms.off_rack_factor = rack_waits.factors.factor(spec.image, config.delays.off_rack_factor);
    terms.chain_left = std::max(step.chain_left, terms.run_time);
    terms.objective = step.due_at + objective;
    terms.late_objective = step.due_at + late_objective_factor * objective;
    return terms;
}

void coordinator::state::begin_rack_pass() {
    if (config.delays.off_rack_factor <= 1) {
        return;
    }
    const instant now = time.now();
    rack_waits.is_review = now - rack_waits.reviewed_at >= review_interval;
    if (!rack_waits.is_review) {
        return;
    }
    rack_waits.reviewed_at = now;
    rack_waits.forecasts.clear();
    rack_waits.rack_of_instance.clear();
    std::erase_if(rack_waits.wanted_at,
                  [&](const auto& wanted) { return now - wanted.second > wanted_time; });
    for (auto& instance : instances) {
        instance.is_on_wanted_rack =
            instance.executor &&
            std::any_of(rack_waits.wanted_at.begin(), rack_waits.wanted_at.end(),
                        [&](const auto& wanted) {
                            return has_label(*instance.executor, wanted.first.value());
                        });
    }
}

rack_id coordinator::state::rack_to_wait_for(const ready_step& step) {
    if (!may_wait_for_rack(*step.spec)) {
        return {};
    }
    const instant now = time.now();
    auto& wait = kept_step(step.key).wait;
    const instant latest = latest_start_on_rack(terms_of(step));
    if (now >= std::min(latest, wait.until.value_or(latest))) {
        return {};
    }
    rack_id rack = step.spec->preferred_rack;
    if (rack.empty()) {
        rack = choose_single_rack(step, latest);
        // A new owner chooses again until it knows its instances.
        wait.rack = is_settled() ? rack : rack_id();
        if (rack.empty() && is_settled()) {
            end_wait(wait, now);
        }
    }
    if (!rack.empty()) {
        rack_waits.wanted_at[rack] = now;
    }
    return rack;
}

bool coordinator::state::is_settled() const {
    return first_claimed_at && time.now() - *first_claimed_at >= settling_time;
}

void coordinator::state::end_wait(rack_wait& wait, instant until) const {
    wait.until = until;
    wait.until_utc = utc_millis(time.utc_now().value() + time_between(time.now(), until).count());
}

// The label that an executor shares with the fewest others, but with at least one: labels for other
// properties than the rack are assumed to span racks.
rack_id coordinator::state::rack_of(std::size_t index) {
    auto& racks = rack_waits.rack_of_instance;
    if (racks.empty()) {
        std::map<std::string, std::size_t> executors_by_label;
        for (const auto& instance : instances) {
            for (const auto& label :
                 instance.executor ? instance.executor->labels : std::vector<std::string>()) {
                ++executors_by_label[label];
            }
        }
        for (const auto& instance : instances) {
            auto& rack = racks.emplace_back();
            std::size_t fewest = 0;
            for (const auto& label :
                 instance.executor ? instance.executor->labels : std::vector<std::string>()) {
                const auto count = executors_by_label.at(label);
                if (rack.empty() || (count > 1 && (count <= fewest || fewest == 1))) {
                    rack = rack_id(label);
                    fewest = count;
                }
            }
        }
    }
    return index < racks.size() ? racks[index] : rack_id();
}

// The rack of the tasks that the step already has, the one chosen before, or the one where all its
// tasks can start soonest. Empty if its tasks span racks, or if no rack has places by `latest`; a
// new owner that does not know all its instances yet takes any.
rack_id coordinator::state::choose_single_rack(const ready_step& step, instant latest) {
    const auto& chosen = kept_step(step.key);
    std::set<rack_id> occupied;
    for (const auto& [index, task] : chosen.tasks()) {
        if (task.instance) {
            occupied.insert(rack_of(*task.instance));
        }
    }
    if (!occupied.empty() || !chosen.wait.rack.empty()) {
        return occupied.empty()       ? chosen.wait.rack
               : occupied.size() == 1 ? *occupied.begin()
                                      : rack_id();
    }
    const auto context = make_context(step);
    std::set<rack_id> racks;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        if (places_on(i, step, context) > 0) {
            racks.insert(rack_of(i));
        }
    }
    // Among equals one that no other step wants.
    std::optional<std::tuple<instant, bool, rack_id>> best;
    for (const auto& rack : racks) {
        auto forecast = forecast_of(rack, context);
        const auto begins = forecast.reserve(
            demand_of(*step.spec), step.waiting.size(), expected_run_time(*step.spec), latest,
            [&](std::size_t i) { return places_on(i, step, context); });
        if (begins) {
            const std::tuple found(*begins, rack_waits.wanted_at.contains(rack), rack);
            best = best ? std::min(*best, found) : found;
        }
    }
    if (best) {
        return std::get<rack_id>(*best);
    }
    return is_settled() || racks.empty() ? rack_id() : *racks.begin();
}

std::uint32_t coordinator::state::places_on(std::size_t index, const ready_step& step,
                                            const placement_context& context) const {
    const auto& instance = instances[index];
    if (!accepts_starts(instance, context) || !is_eligible(*instance.executor, step) ||
        !has_permit(*instance.executor, context) || instance.health.is_quarantined(context.now) ||
        instance.isolated_task) {
        return 0;
    }
    const auto most = step.spec->max_per_executor;
    if (most == 0) {
        return step.spec->task_count;
    }
    const auto found = instance.tasks_by_step.find(step.key);
    return most - std::min(most, found == instance.tasks_by_step.end() ? 0 : found->second);
}

rack_forecast& coordinator::state::forecast_of(const rack_id& rack,
                                               const placement_context& context) {
    const auto [position, is_new] = rack_waits.forecasts.try_emplace(rack, context.now);
    if (!is_new) {
        return position->second;
    }
    for (std::size_t i = 0; i < instances.size(); ++i) {
        const auto& instance = instances[i];
        if (!accepts_starts(instance, context) || !has_label(*instance.executor, rack.value())) {
            continue;
        }
        std::vector<rack_forecast::release> releases;
        for (const auto& key : instance.tasks) {
            const auto& spec = spec_of(key);
            const auto& task = *find_task(key);
            if (task.phase == task_phase::stopping) {
                releases.push_back({context.now + stop_time, demand_of(spec)});
            } else if (!spec.is_long_running) {
                const double factor =
                    is_off_preferred_rack(spec, *instance.executor)
                        ? rack_waits.factors.factor(spec.image, config.delays.off_rack_factor)
                        : 1;
                run_progress run;
                run.estimate = scaled(expected_run_time(spec), factor);
                run.started_at = task.sent_at;
                run.percent = task.percent;
                run.progressed_at =
                    task.phase == task_phase::running ? task.progressed_at : task.phase_since;
                releases.push_back({predicted_end(run, context.now), demand_of(spec)});
            }
        }
        for (const auto& [id, demand] : instance.orphaned_runs) {
            const auto reserved = demand.value_or(resources{});
            releases.push_back(
                {context.now + stop_time, {reserved, reserved.processors.value(), false}});
        }
        position->second.add_instance(i, instance.free(), instance.idle_millicores(), releases);
    }
    return position->second;
}

bool coordinator::state::gives_up_rack(const ready_step& step, const placement_context& context,
                                       std::size_t remaining) {
    if (!rack_waits.is_review) {
        return false;
    }
    auto& wait = kept_step(step.key).wait;
    const auto terms = terms_of(step);
    const instant latest = latest_start_on_rack(terms);
    const bool is_first = !wait.until;
    instant until = std::min(latest, wait.until.value_or(latest));
    const auto limit = until + (is_first ? milliseconds(0) : forecast_tolerance);
    const auto start = forecast_of(context.rack, context)
                           .reserve(demand_of(*step.spec), remaining, terms.run_time, limit,
                                    [&](std::size_t i) { return places_on(i, step, context); });
    const bool gives_up = !start && is_settled();
    if (gives_up) {
        until = context.now;
    }
    if (!wait.is_reported || gives_up) {
        wait.is_reported = true;
        locality_wait report{step.key, context.rack, time_between(context.now, until),
                             gain_on_rack(terms), std::nullopt};
        if (start) {
            report.predicted = time_between(context.now, *start);
        }
        orders.report_locality_wait(report);
    }
    end_wait(wait, until);
    return gives_up;
}

std::optional<std::size_t> coordinator::state::choose_instance_near_rack(
    const ready_step& step, std::uint32_t index, placement_context& context) {
    const auto instance = choose_instance(instances, step, context);
    if (instance || context.rack.empty()) {
        return instance;
    }
    const auto remaining = step.waiting.size() - step.waiting.count_below(index);
    if (!gives_up_rack(step, context, remaining)) {
        return std::nullopt;
    }
    context.rack = {};
    return choose_instance(instances, step, context);
}

void coordinator::state::record_rack_start(const ready_step& step, const task_key& key,
                                           std::size_t instance) {
    rack_waits.off_rack_tasks.erase(key);
    if (!may_wait_for_rack(*step.spec)) {
        return;
    }
    const auto& spec = *step.spec;
    const auto& executor = *instances[instance].executor;
    const auto& wait = kept_step(step.key).wait;
    const bool is_off_rack = spec.preferred_rack.empty()
                                 ? wait.rack.empty() || !has_label(executor, wait.rack.value())
                                 : is_off_preferred_rack(spec, executor);
    if (is_off_rack && !spec.preferred_rack.empty() && step.spec->writes_checkpoints) {
        rack_waits.off_rack_tasks.insert(key);
    }
    orders.report_locality_start(
        std::max(milliseconds(0), time_between(ready_time(step.key), time.now())), !is_off_rack);
}

bool coordinator::state::should_move_back(const task_key& key, const task_state& task) {
    const auto& spec = spec_of(key);
    const auto& rules = find_job(key.job)->submitted.rules;
    if (task.phase != task_phase::running || task.checkpoint.empty() || spec.is_gang ||
        spec.max_unavailable || rules.requires_permit) {
        return false;
    }
    const instant now = time.now();
    const double factor = rack_waits.factors.factor(spec.image, config.delays.off_rack_factor);
    const run_progress run{scaled(expected_run_time(spec), factor), task.sent_at, task.percent,
                           task.progressed_at};
    if (!is_worth_moving_back(time_between(now, predicted_end(run, now)),
                              time_between(task.checkpointed_at, now), factor)) {
        return false;
    }
    ready_step step;
    step.key = {key.job, key.occurrence, key.step};
    step.spec = &spec;
    step.rules = rules;
    auto context = make_context(step);
    context.rack = spec.preferred_rack;
    return choose_instance(instances, step, context).has_value();
}

// Stops tasks that run elsewhere if their rack has a place again. Only first runs are moved, so
// that a task moves at most once, whoever owns the coordinator; one for each rack at a time, since
// the place is free for others until the run has ended.
void coordinator::state::move_back_to_racks() {
    std::set<rack_id> used;
    auto& candidates = rack_waits.off_rack_tasks;
    for (auto next = candidates.begin(); next != candidates.end();) {
        const auto key = *next;
        auto* task = find_task(key);
        if (task == nullptr || !task->occupies_instance() || task->run > run_number(1) ||
            task->phase == task_phase::stopping) {
            next = candidates.erase(next);
            continue;
        }
        ++next;
        const auto& rack = spec_of(key).preferred_rack;
        if (!used.contains(rack) && should_move_back(key, *task)) {
            used.insert(rack);
            orders.report_locality_move(key, rack);
            stop_task(key, *task);
        }
    }
}

// Runs that were resumed from a checkpoint, or whose start this coordinator did not send, do not
// show the run time of the whole task, and those of fillers show their pace.
void coordinator::state::record_rack_run(const task_key& key, const task_state& task) {
    const auto& spec = spec_of(key);
    if (!may_wait_for_rack(spec) || spec.preferred_rack.empty() || spec.is_filler ||
        !task.instance || !task.sent_at || task.run != run_number(1) ||
        spec.estimate <= milliseconds(0) || !instances[*task.instance].executor) {
        return;
    }
    const auto run_time = time_between(*task.sent_at, time.now());
    rack_waits.factors.record(
        spec.image, !is_off_preferred_rack(spec, *instances[*task.instance].executor),
        static_cast<double>(run_time.count()) / static_cast<double>(spec.estimate.count()));
}

void coordinator::state::record_step_end(const task_key& key) {
    auto& step = kept_step({key.job, key.occurrence, key.step});
    const auto& steps = jobs.at(key.job).submitted.spec.steps;
    const bool is_awaited = std::any_of(steps.begin(), steps.end(), [&](const step_spec& later) {
        return may_wait_for_rack(later) &&
               std::find(later.depends_on.begin(), later.depends_on.end(), key.step) !=
                   later.depends_on.end();
    });
    if (is_awaited && step.is_done() && !step.ended_at) {
        step.ended_at = time.utc_now();
    }
}

// A step may have several rows: the latest end is that of its last task, and the earliest end of a
// wait holds.
bool coordinator::state::restore_waits(job_state& job, const progress_record& record) {
    bool is_known = true;
    const auto visit = [&](const std::vector<progress_record::step_time>& times,
                           const auto& restore_time) {
        for (const auto& entry : times) {
            if (!has_task({job.submitted.id, entry.occurrence, entry.step, 0})) {
                is_known = false;
                continue;
            }
            restore_time(open_occurrence(job, entry.occurrence).steps[entry.step], entry.at);
        }
    };
    visit(record.step_ends, [](step_state& step, utc_millis at) {
        step.ended_at = std::max(at, step.ended_at.value_or(at));
    });
    visit(record.wait_ends, [&](step_state& step, utc_millis at) {
        if (!step.wait.until || at < step.wait.until_utc) {
            step.wait.until = time.now() + milliseconds(at.value() - time.utc_now().value());
            step.wait.until_utc = at;
        }
    });
    return is_known;
}

}  // namespace tanagerpaddle::dispatch
