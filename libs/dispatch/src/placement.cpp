#include "placement.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerpaddle::dispatch {

namespace {

// Failures in a row, of tasks of different jobs, that make a machine suspect. One broken job fails
// everywhere, so a single job is no evidence.
constexpr std::size_t failing_jobs_of_suspect = 3;
// First quarantine; doubles with each round up to the longest.
constexpr milliseconds first_quarantine{2'000};
constexpr int most_doublings = 3;
// Share of the processors of serving tasks that fillers may count on: serving tasks reserve for
// their peak.
constexpr std::int64_t lendable_percent = 50;
// Late jobs earn up to this multiple of their objective.
constexpr int late_factor = 3;

// A serving task that has not been measured yet may be pressed on a little.
constexpr double slack_of_unmeasured = 0.1;

std::int64_t used_by_filler(const interference_sample& sample, const std::string& image) {
    const auto found = std::find_if(sample.fillers.begin(), sample.fillers.end(),
                                    [&](const auto& filler) { return filler.image == image; });
    return found == sample.fillers.end() ? 0 : found->used.value();
}

bool has_label(const executor_info& executor, const std::string& label) {
    return std::find(executor.labels.begin(), executor.labels.end(), label) !=
           executor.labels.end();
}

double share_of(const machine_state& machine, std::int64_t millicores_used) {
    const auto capacity = std::max<std::int64_t>(1, machine.executor->capacity.processors.value());
    return static_cast<double>(millicores_used) / static_cast<double>(capacity);
}

// What is left of a serving task's utilisation below its limit if all fillers here run at full
// pace.
double slack_of(const machine_state& machine, const interference_model& model,
                const std::string& image) {
    const auto measured =
        std::find_if(machine.sample.serving_tasks.begin(), machine.sample.serving_tasks.end(),
                     [&](const auto& task) { return task.image == image; });
    if (measured == machine.sample.serving_tasks.end()) {
        return slack_of_unmeasured;
    }
    double used = model.baseline_load(*measured, machine.sample);
    for (const auto& [filler, demand] : machine.filler_demand_by_image) {
        used += model.pressure(image, filler) * share_of(machine, demand);
    }
    return model.utilisation_limit(image, measured->target) - used;
}

// Computes `slack` and `filler_draw` anew after a change of the model or of the machine's tasks.
void refresh_slack(machine_state& machine, const interference_model& model) {
    if (machine.slack_revision == model.revision()) {
        return;
    }
    machine.slack_revision = model.revision();
    machine.slack.clear();
    for (const auto& [image, tasks] : machine.serving_tasks_by_image) {
        machine.slack.push_back({image, slack_of(machine, model, image)});
    }
    machine.filler_draw = 0;
    for (const auto& [image, demand] : machine.filler_demand_by_image) {
        machine.filler_draw += slack_beside(machine, model, image, 0) >= 0
                                   ? demand
                                   : std::min(demand, used_by_filler(machine.sample, image));
    }
}

bool fits(machine_state& machine, const ready_step& step, const placement_context& context) {
    const resources free = machine.free();
    resources needed = step.spec->demand;
    if (step.spec->is_filler) {
        const bool bears_it = context.only_room_counts ||
                              (slack_beside(machine, *context.interference, step.spec->image,
                                            needed.processors.value()) >= 0 &&
                               machine.idle_millicores() >= needed.processors.value());
        if (!bears_it) {
            return false;
        }
        needed.processors = millicores(0);
    }
    return needed.fits_in(free);
}

std::uint32_t tasks_here(const machine_state& machine, const step_key& key) {
    const auto found = machine.tasks_of_step.find(key);
    return found == machine.tasks_of_step.end() ? 0 : found->second;
}

// Smaller is better: first penalties, then the kind of machine, then a preference among equals.
using score = std::tuple<int, int, std::int64_t>;

// Fillers go beside serving tasks that they do not disturb, which keeps machines without serving
// tasks for the fillers that disturb all of them.
int filler_preference(const machine_state& machine, const std::string& image,
                      const interference_model& model) {
    if (machine.serving_tasks_by_image.empty()) {
        return 1;
    }
    const bool presses =
        std::any_of(machine.serving_tasks_by_image.begin(), machine.serving_tasks_by_image.end(),
                    [&](const auto& serving) { return model.pressure(serving.first, image) > 0; });
    return presses ? 2 : 0;
}

// Tasks with a tail latency target share machines with others of their image: each image is pressed
// on by some filler images only, so that the fewer images a machine serves, the more fillers find a
// machine where they disturb nobody.
int serving_preference(const machine_state& machine, const std::string& image) {
    if (machine.serving_tasks_by_image.empty()) {
        return 1;
    }
    return machine.serving_tasks_by_image.contains(image) ? 0 : 2;
}

score score_of(const machine_state& machine, const ready_step& step,
               const placement_context& context, std::size_t index) {
    const auto& spec = *step.spec;
    const bool is_far =
        !spec.preferred_rack.empty() && !has_label(*machine.executor, spec.preferred_rack.value());
    const int penalty = (context.avoid == index ? 2 : 0) + (is_far ? 1 : 0);
    const std::int64_t left = machine.free().processors.value() - spec.demand.processors.value();
    if (spec.is_filler) {
        return {penalty, filler_preference(machine, spec.image, *context.interference),
                -machine.idle_millicores()};
    }
    if (spec.tail_target.count() > 0) {
        const int preference = serving_preference(machine, spec.image);
        // Of the machines that serve nothing, the one whose fillers have the least to lose.
        return {penalty, preference, preference == 1 ? machine.filler_demand.value() : left};
    }
    // Others press on nobody: they fill the machines that serve and then the fullest ones, which
    // keeps room for wide tasks.
    return {penalty, machine.serving_tasks_by_image.empty() ? 1 : 0, left};
}

}  // namespace

void machine_health::succeeded() noexcept {
    failing_jobs_.clear();
    rounds_ = 0;
}

void machine_health::failed(const job_id& job, instant now) {
    failing_jobs_.insert(job);
    if (failing_jobs_.size() < failing_jobs_of_suspect || is_quarantined(now)) {
        return;
    }
    until_ = now + first_quarantine * (1 << std::min(rounds_, most_doublings));
    ++rounds_;
    // One more failure after the quarantine is enough for the next one.
    failing_jobs_.erase(std::prev(failing_jobs_.end()));
}

std::int64_t machine_state::idle_millicores() const {
    return free().processors.value() + serving_demand.value() * lendable_percent / 100 -
           (slack_revision ? filler_draw : filler_demand.value());
}

double slack_beside(machine_state& machine, const interference_model& model,
                    const std::string& image, std::int64_t added) {
    refresh_slack(machine, model);
    double least = 1;
    for (const auto& entry : machine.slack) {
        const double pressure = model.pressure(entry.image, image);
        if (pressure > 0) {
            least = std::min(least, entry.slack - pressure * share_of(machine, added));
        }
    }
    return least;
}

int rank_of(const queue_rules& rules, instant accepted, milliseconds chain, milliseconds left,
            instant now) {
    const auto objective = milliseconds(static_cast<std::int64_t>(
                               static_cast<double>(chain.count()) * rules.stretch)) +
                           rules.target;
    if (now + left <= accepted + objective) {
        return 0;
    }
    return now + left <= accepted + late_factor * objective ? 1 : 2;
}

bool goes_before(const ready_step& a, const ready_step& b) {
    return std::tuple(a.rules.priority, a.rank, a.core_seconds_left, a.objective, a.key) <
           std::tuple(b.rules.priority, b.rank, b.core_seconds_left, b.objective, b.key);
}

bool is_eligible(const executor_info& executor, const ready_step& step) {
    const auto& spec = *step.spec;
    return executor.service == step.rules.service &&
           (spec.required_label.empty() || has_label(executor, spec.required_label)) &&
           spec.demand.fits_in(executor.capacity);
}

bool accepts_starts(const machine_state& machine, const placement_context& context) {
    return machine.is_linked && machine.executor && !machine.executor->is_draining &&
           context.evacuated->count(machine.executor->domain) == 0;
}

std::optional<std::size_t> choose_machine(std::vector<machine_state>& machines,
                                          const ready_step& step,
                                          const placement_context& context) {
    std::optional<std::size_t> best;
    score best_score;
    for (std::size_t i = 0; i < machines.size(); ++i) {
        auto& machine = machines[i];
        if (!accepts_starts(machine, context) || !is_eligible(*machine.executor, step) ||
            (!context.only_room_counts && machine.health.is_quarantined(context.now)) ||
            (!context.only_room_counts && machine.is_reserved && step.rules.priority > 0) ||
            (context.permits != nullptr && context.permits->count(machine.executor->id) == 0) ||
            (!context.rack.empty() && !has_label(*machine.executor, context.rack.value())) ||
            (step.spec->max_per_executor > 0 &&
             tasks_here(machine, step.key) >= step.spec->max_per_executor) ||
            !fits(machine, step, context)) {
            continue;
        }
        const score found = score_of(machine, step, context, i);
        if (!best || found < best_score) {
            best = i;
            best_score = found;
        }
    }
    return best;
}

}  // namespace tanagerpaddle::dispatch
