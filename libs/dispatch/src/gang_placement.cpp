// Placement of gangs: all members at once.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

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

// The trial assignments are undone.
std::vector<std::size_t> coordinator::state::choose_gang_instances(
    const ready_step& step, const placement_context& context) {
    auto& tasks = jobs.at(step.key.job).occurrences[step.key.occurrence].steps[step.key.step].tasks;
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
    return chosen;
}

// Places all members or none.
bool coordinator::state::place_gang(const ready_step& step) {
    auto& tasks = jobs.at(step.key.job).occurrences[step.key.occurrence].steps[step.key.step].tasks;
    if (step.waiting.size() != tasks.size()) {
        return false;
    }
    run_number run;
    for (const auto& task : tasks) {
        run = std::max(run, task.run);
    }
    auto context = make_context(step);
    context.rack = rack_to_wait_for(step);
    auto chosen = choose_gang_instances(step, context);
    if (chosen.size() != tasks.size() && !context.rack.empty() &&
        gives_up_rack(step, context, tasks.size())) {
        context.rack = {};
        chosen = choose_gang_instances(step, context);
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

}  // namespace tanagerpaddle::dispatch
