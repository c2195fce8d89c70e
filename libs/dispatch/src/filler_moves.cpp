// Moves of throttled fillers; filler_relief.hpp decides which gain by it.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// A filler without checkpoints is moved only while it has done at most this share of its work.
constexpr int max_lost_progress_percent = 15;
// Minimum run time before a move, since a move costs a restart.
constexpr milliseconds min_run_time_before_move{500};

}  // namespace

// Stops fillers that are throttled to protect serving tasks, if another instance can run them.
void coordinator::state::move_throttled_fillers() {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    context.interference = &interference;
    context.fillers = config.fillers;
    context.crashes = config.crashes;
    context.reservations = &reservations;
    const auto max_moves = std::max(
        config.fillers.min_moves, static_cast<std::size_t>(config.fillers.moves_per_instance *
                                                           static_cast<double>(instances.size())));
    std::size_t moves = 0;
    for (std::size_t i = 0; i < instances.size(); ++i) {
        auto& instance = instances[i];
        if (!instance.is_linked || !instance.executor || instance.serving_tasks_by_image.empty()) {
            continue;
        }
        context.avoided_instance = i;
        const std::vector<task_key> keys(instance.tasks.begin(), instance.tasks.end());
        for (const auto& key : keys) {
            auto& task = *find_task(key);
            if (moves >= max_moves || !should_move(key, task, instance)) {
                continue;
            }
            ready_step step;
            step.key = {key.job, key.occurrence, key.step};
            step.spec = &spec_of(key);
            step.rules = find_job(key.job)->submitted.rules;
            const auto target = choose_instance(instances, step, context);
            if (target && *target != i) {
                ++moves;
                move_filler(key, task, step.spec->writes_checkpoints ? task.percent : 0);
            }
        }
        if (config.fillers.relieves_throttled) {
            stop_least_worthy_filler(i);
        }
    }
}

void coordinator::state::move_filler(const task_key& key, task_state& task, int kept_percent) {
    task.relief.record_move(time.now());
    orders.report_filler_stopped({instances[*task.instance].name, key, task.run, task.speed.percent,
                                  restart_gain_percent(task.speed, task.percent, kept_percent)});
    stop_task(key, task);
}

void coordinator::state::stop_least_worthy_filler(std::size_t index) {
    auto& instance = instances[index];
    std::vector<relief_candidate> candidates;
    for (const auto& key : instance.tasks) {
        const auto& task = *find_task(key);
        const auto& spec = spec_of(key);
        if (!spec.is_filler || task.phase != task_phase::running ||
            min_slack(instance, interference, spec.image, 0) >= 0) {
            continue;
        }
        const bool may_stop = !spec.is_gang && !find_job(key.job)->submitted.rules.requires_permit;
        const bool keeps_work =
            !task.checkpoint.empty() || task.percent <= max_lost_progress_percent;
        candidates.push_back({key, worth_of(key.job, key.occurrence), may_stop && keeps_work,
                              task.speed, task.relief});
    }
    if (const auto chosen = choose_filler_to_stop(candidates, time.now())) {
        const auto& key = candidates[*chosen].task;
        auto& task = *find_task(key);
        task.last_failed_instance = index;
        move_filler(key, task, task.checkpoint.empty() ? 0 : task.percent);
    }
}

void coordinator::state::record_speed(const task_key& key, task_state& task,
                                      std::int64_t millicores_used) const {
    const auto& spec = spec_of(key);
    if (spec.is_filler) {
        task.speed.record(millicores_used, spec.demand.processors.value(), time.now());
    }
}

bool coordinator::state::should_move(const task_key& key, const task_state& task,
                                     instance_state& instance) {
    const auto& spec = spec_of(key);
    const auto& rules = find_job(key.job)->submitted.rules;
    return spec.is_filler && !spec.is_gang && !rules.requires_permit &&
           task.phase == task_phase::running &&
           time.now() - task.phase_since >= min_run_time_before_move &&
           (spec.writes_checkpoints || task.percent <= max_lost_progress_percent ||
            (config.fillers.relieves_throttled && task.speed.is_throttled(time.now()) &&
             task.relief.allows_move(time.now()) && gains_by_restart(task.speed, task.percent))) &&
           min_slack(instance, interference, spec.image, 0) < 0;
}

}  // namespace tanagerpaddle::dispatch
