#include "placement.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace tanagerpaddle::dispatch {

namespace {

// Number of different jobs with consecutive failures that quarantines an instance. One broken job
// fails everywhere, so failures of a single job do not count.
constexpr std::size_t quarantine_job_threshold = 3;
// Duration of the first quarantine; doubles with each further one, up to the maximum.
constexpr milliseconds initial_quarantine{2'000};
constexpr int max_quarantine_doublings = 3;
// Age of the last view of an instance up to which tasks start there. An executor that does not list
// its runs may not start any either, and what was started there cannot be resolved. Twice the
// longest time between views of an instance that reports as it should.
constexpr milliseconds max_view_age{2'000};
// Share of the processors reserved by serving tasks that fillers may use: serving tasks reserve for
// their peak.
constexpr std::int64_t reclaimable_percent = 50;

// Slack assumed for a serving task without measurements; allows a few fillers.
constexpr double unmeasured_slack = 0.1;

std::int64_t filler_usage(const interference_sample& sample, const std::string& image) {
    const auto found = std::find_if(sample.fillers.begin(), sample.fillers.end(),
                                    [&](const auto& filler) { return filler.image == image; });
    return found == sample.fillers.end() ? 0 : found->used.value();
}

double processor_share(const instance_state& instance, std::int64_t millicores_used) {
    const auto capacity = std::max<std::int64_t>(1, instance.executor->capacity.processors.value());
    return static_cast<double>(millicores_used) / static_cast<double>(capacity);
}

// Utilisation left below a serving task's limit if all fillers on the instance run at full pace.
double compute_slack(const instance_state& instance, const interference_model& model,
                     const std::string& image) {
    const auto measured =
        std::find_if(instance.sample.serving_tasks.begin(), instance.sample.serving_tasks.end(),
                     [&](const auto& task) { return task.image == image; });
    if (measured == instance.sample.serving_tasks.end()) {
        return unmeasured_slack;
    }
    double used = model.baseline_load(*measured, instance.sample);
    for (const auto& [filler, demand] : instance.filler_demand_by_image) {
        used += model.pressure(image, filler) * processor_share(instance, demand);
    }
    return model.utilisation_limit(image, measured->target) - used;
}

// Recomputes `slack` and `usable_filler_demand` after a change of the model or of the instance's
// tasks.
void refresh_slack(instance_state& instance, const interference_model& model) {
    if (instance.slack_revision == model.revision()) {
        return;
    }
    instance.slack_revision = model.revision();
    instance.slack.clear();
    for (const auto& [image, tasks] : instance.serving_tasks_by_image) {
        instance.slack.push_back({image, compute_slack(instance, model, image)});
    }
    instance.usable_filler_demand = 0;
    for (const auto& [image, demand] : instance.filler_demand_by_image) {
        instance.usable_filler_demand +=
            min_slack(instance, model, image, 0) >= 0
                ? demand
                : std::min(demand, filler_usage(instance.sample, image));
    }
}

// Slack that a filler must leave to the serving tasks that it interferes with, as a utilisation:
// what their own load may gain until it ends.
double reserved_slack(const ready_step& filler, const filler_rules& rules) {
    if (!filler.reserves_slack) {
        return 0;
    }
    const auto horizon = std::min(filler.spec->estimate, rules.max_load_horizon);
    return rules.load_rise_per_s * std::chrono::duration<double>(horizon).count();
}

bool fits(instance_state& instance, const ready_step& step, const placement_context& context) {
    const resources free = instance.free();
    resources needed = step.spec->demand;
    if (step.spec->is_filler) {
        const bool is_admitted =
            context.checks_capacity_only ||
            (min_slack(instance, *context.interference, step.spec->image,
                       needed.processors.value()) >= reserved_slack(step, context.fillers) &&
             instance.idle_millicores() >= needed.processors.value());
        if (!is_admitted) {
            return false;
        }
        needed.processors = millicores(0);
    }
    return needed.fits_in(free);
}

std::uint32_t count_step_tasks(const instance_state& instance, const step_key& key) {
    const auto found = instance.tasks_by_step.find(key);
    return found == instance.tasks_by_step.end() ? 0 : found->second;
}

// Smaller is better: penalty, then preference by the images on the instance, then a tie-breaker.
using score = std::tuple<int, int, std::int64_t>;

// Co-locates fillers with serving tasks that they do not interfere with, which keeps instances
// without serving tasks for fillers that interfere with all of them.
int filler_preference(const instance_state& instance, const std::string& image,
                      const interference_model& model) {
    if (instance.serving_tasks_by_image.empty()) {
        return 1;
    }
    const bool interferes =
        std::any_of(instance.serving_tasks_by_image.begin(), instance.serving_tasks_by_image.end(),
                    [&](const auto& serving) { return model.pressure(serving.first, image) > 0; });
    return interferes ? 2 : 0;
}

// Co-locates serving tasks of the same image: each filler image interferes with some serving images
// only, so the fewer images an instance serves, the more fillers can run there without
// interference.
int serving_preference(const instance_state& instance, const std::string& image) {
    if (instance.serving_tasks_by_image.empty()) {
        return 1;
    }
    return instance.serving_tasks_by_image.contains(image) ? 0 : 2;
}

// Added to the preference of a batch task for an instance on a rack that other steps want; exceeds
// the differences between the preferences.
constexpr int wanted_rack_preference = 3;

int rack_preference(const instance_state& instance, const step_spec& spec) {
    const bool is_others =
        instance.is_on_wanted_rack && (spec.preferred_rack.empty() ||
                                       !has_label(*instance.executor, spec.preferred_rack.value()));
    return is_others ? wanted_rack_preference : 0;
}

// Weights of the penalties; a higher one goes before the sum of the lower ones.
constexpr int near_suspect_penalty = 1;
constexpr int off_rack_penalty = 2;
constexpr int avoided_penalty = 4;
constexpr int second_suspect_penalty = 8;

// Separates tasks that may have crashed an executor from each other, and from other tasks where
// that costs nothing, so that the next crash has one suspect.
int crash_penalty(const instance_state& instance, const placement_context& context) {
    const auto is_recent = [&](instant when) {
        return context.now - when < context.crashes.suspicion_window;
    };
    if (is_recent(instance.last_suspect_at)) {
        return context.is_suspect ? second_suspect_penalty : near_suspect_penalty;
    }
    return context.is_suspect && is_recent(instance.last_start_at) ? near_suspect_penalty : 0;
}

score score_of(const instance_state& instance, const ready_step& step,
               const placement_context& context, std::size_t index) {
    const auto& spec = *step.spec;
    const bool is_off_rack =
        !spec.preferred_rack.empty() && !has_label(*instance.executor, spec.preferred_rack.value());
    const int penalty = crash_penalty(instance, context) +
                        (context.avoided_instance == index ? avoided_penalty : 0) +
                        (is_off_rack ? off_rack_penalty : 0);
    if (context.prefers_quiet_instance) {
        return {0, 0, instance.last_start_at.time_since_epoch().count()};
    }
    const std::int64_t remaining_millicores =
        instance.free().processors.value() - spec.demand.processors.value();
    if (spec.is_filler) {
        return {penalty,
                filler_preference(instance, spec.image, *context.interference) +
                    rack_preference(instance, spec),
                -instance.idle_millicores()};
    }
    if (spec.tail_target.count() > 0) {
        const int preference = serving_preference(instance, spec.image);
        // Among instances without serving tasks, prefers the one with the lowest filler demand.
        return {penalty, preference,
                preference == 1 ? instance.filler_demand.value() : remaining_millicores};
    }
    // Other tasks cause no interference: they go to instances with serving tasks first and then to
    // the fullest ones, which keeps capacity for large tasks.
    return {penalty,
            (instance.serving_tasks_by_image.empty() ? 1 : 0) + rack_preference(instance, spec),
            remaining_millicores};
}

}  // namespace

bool has_label(const executor_info& executor, const std::string& label) {
    return std::find(executor.labels.begin(), executor.labels.end(), label) !=
           executor.labels.end();
}

void instance_health::succeeded() noexcept {
    failing_jobs_.clear();
    quarantine_count_ = 0;
}

void instance_health::failed(const job_id& job, instant now) {
    failing_jobs_.insert(job);
    if (failing_jobs_.size() < quarantine_job_threshold || is_quarantined(now)) {
        return;
    }
    quarantined_until_ =
        now + initial_quarantine * (1 << std::min(quarantine_count_, max_quarantine_doublings));
    ++quarantine_count_;
    // One more failing job after the quarantine starts the next one.
    failing_jobs_.erase(std::prev(failing_jobs_.end()));
}

bool instance_state::has_run_of_unknown_demand() const {
    return std::any_of(orphaned_runs.begin(), orphaned_runs.end(),
                       [](const auto& run) { return !run.second; });
}

std::int64_t instance_state::idle_millicores() const {
    return free().processors.value() + serving_demand.value() * reclaimable_percent / 100 -
           (slack_revision ? usable_filler_demand : filler_demand.value());
}

double min_slack(instance_state& instance, const interference_model& model,
                 const std::string& image, std::int64_t added) {
    refresh_slack(instance, model);
    double result = 1;
    for (const auto& entry : instance.slack) {
        const double pressure = model.pressure(entry.image, image);
        if (pressure > 0) {
            result = std::min(result, entry.slack - pressure * processor_share(instance, added));
        }
    }
    return result;
}

int lateness_rank(const queue_rules& rules, instant accepted, milliseconds chain, milliseconds left,
                  instant now) {
    const auto objective = milliseconds(static_cast<std::int64_t>(
                               static_cast<double>(chain.count()) * rules.stretch)) +
                           rules.target;
    if (now + left <= accepted + objective) {
        return 0;
    }
    return now + left <= accepted + late_objective_factor * objective ? 1 : 2;
}

bool precedes(const ready_step& a, const ready_step& b) {
    return std::tuple(a.rules.priority, !a.has_precedence, a.rank, a.core_seconds_left, a.objective,
                      a.key) < std::tuple(b.rules.priority, !b.has_precedence, b.rank,
                                          b.core_seconds_left, b.objective, b.key);
}

bool is_eligible(const executor_info& executor, const ready_step& step) {
    const auto& spec = *step.spec;
    return executor.service == step.rules.service &&
           (spec.required_label.empty() || has_label(executor, spec.required_label)) &&
           spec.demand.fits_in(executor.capacity);
}

namespace {

// The first condition that the instance does not meet for any start.
placement_obstacle obstacle_to_starts(const instance_state& instance,
                                      const placement_context& context) {
    if (!instance.is_linked) {
        return placement_obstacle::not_linked;
    }
    if (!instance.executor) {
        return placement_obstacle::no_executor;
    }
    if (context.now - instance.observed_at > max_view_age) {
        return placement_obstacle::stale_view;
    }
    if (instance.executor->is_draining) {
        return placement_obstacle::draining;
    }
    if (context.evacuated->count(instance.executor->domain) != 0) {
        return placement_obstacle::evacuated;
    }
    return instance.has_run_of_unknown_demand() ? placement_obstacle::unknown_run
                                                : placement_obstacle::none;
}

// The first reason to keep the step from the instance whatever its capacity.
placement_obstacle obstacle_to_step(const instance_state& instance, const ready_step& step,
                                    const placement_context& context) {
    if (!is_eligible(*instance.executor, step)) {
        return placement_obstacle::not_eligible;
    }
    if (instance.isolated_task && instance.isolated_task != context.isolated_task) {
        return placement_obstacle::isolated;
    }
    if (!context.checks_capacity_only && instance.health.is_quarantined(context.now)) {
        return placement_obstacle::quarantined;
    }
    const bool is_reserved =
        !context.checks_capacity_only && instance.is_reserved && step.rules.priority > 0;
    const bool is_admitted =
        context.reservations == nullptr ||
        context.reservations->admits(instance.index, context.task, step.rules.priority,
                                     step.has_precedence, step.spec->demand, instance.free());
    if (is_reserved || !is_admitted) {
        return placement_obstacle::reserved;
    }
    if (!has_permit(*instance.executor, context)) {
        return placement_obstacle::no_permit;
    }
    if (!context.rack.empty() && !has_label(*instance.executor, context.rack.value())) {
        return placement_obstacle::other_rack;
    }
    if (step.spec->max_per_executor != 0 &&
        count_step_tasks(instance, step.key) >= step.spec->max_per_executor) {
        return placement_obstacle::spread_limit;
    }
    const bool has_refused = step.has_precedence && instance.refused_at &&
                             context.now - *instance.refused_at < context.pause_after_refusal;
    return has_refused ? placement_obstacle::refused_start : placement_obstacle::none;
}

}  // namespace

std::string_view name(placement_obstacle obstacle) noexcept {
    static constexpr std::array<std::string_view, 16> names{
        "none",        "not_linked",   "no_executor",   "stale_view",  "draining", "evacuated",
        "unknown_run", "not_eligible", "isolated",      "quarantined", "reserved", "no_permit",
        "other_rack",  "spread_limit", "refused_start", "no_capacity"};
    return names.at(static_cast<std::size_t>(obstacle));
}

bool accepts_starts(const instance_state& instance, const placement_context& context) {
    return obstacle_to_starts(instance, context) == placement_obstacle::none;
}

bool has_permit(const executor_info& executor, const placement_context& context) {
    return context.permits == nullptr || context.permits->count(executor.id) > 0;
}

placement_obstacle obstacle_of(instance_state& instance, const ready_step& step,
                               const placement_context& context) {
    if (const auto found = obstacle_to_starts(instance, context);
        found != placement_obstacle::none) {
        return found;
    }
    if (const auto found = obstacle_to_step(instance, step, context);
        found != placement_obstacle::none) {
        return found;
    }
    return fits(instance, step, context) ? placement_obstacle::none
                                         : placement_obstacle::no_capacity;
}

bool can_start(instance_state& instance, const ready_step& step, const placement_context& context) {
    return obstacle_of(instance, step, context) == placement_obstacle::none;
}

bool is_on_rack(const executor_info& executor, const placement_context& context) {
    return context.rack.empty() || has_label(executor, context.rack.value());
}

std::optional<std::size_t> choose_instance(std::vector<instance_state>& instances,
                                           const ready_step& step,
                                           const placement_context& context) {
    std::optional<std::size_t> best;
    score best_score;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[i];
        if (!can_start(instance, step, context)) {
            continue;
        }
        const score found = score_of(instance, step, context, i);
        if (!best || found < best_score) {
            best = i;
            best_score = found;
        }
    }
    return best;
}

}  // namespace tanagerpaddle::dispatch
