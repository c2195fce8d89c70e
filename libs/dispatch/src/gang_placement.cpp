// Placement of gangs: all members at once.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// The checkpoint from which a gang resumes: all members need the same one, and that of any member
// is valid for all.
std::string newest_checkpoint(const step_state& gang) {
    const auto& members = gang.tasks();
    const auto newest = std::max_element(
        members.begin(), members.end(), [](const auto& left_entry, const auto& right_entry) {
            const auto& left = left_entry.second;
            const auto& right = right_entry.second;
            return std::pair(!left.checkpoint.empty(), left.checkpointed_at) <
                   std::pair(!right.checkpoint.empty(), right.checkpointed_at);
        });
    return newest == members.end() ? std::string() : newest->second.checkpoint;
}

}  // namespace

// The trial assignments are undone.
std::vector<std::size_t> coordinator::state::choose_gang_instances(
    const ready_step& step, const placement_context& context) {
    std::vector<std::size_t> chosen;
    // Stands for each member in turn, so that a gang which finds no place takes no memory.
    task_state member;
    const auto key_of = [&](std::uint32_t index) {
        return task_key{step.key.job, step.key.occurrence, step.key.step, index};
    };
    for (const auto index : step.waiting) {
        const auto instance = choose_instance(instances, step, context);
        if (!instance) {
            break;
        }
        chosen.push_back(*instance);
        assign(key_of(index), member, *instance);
    }
    auto index = step.waiting.begin();
    for (const auto instance : chosen) {
        member.instance = instance;
        unassign(key_of(*index++), member);
    }
    return chosen;
}

// Places all members or none.
bool coordinator::state::place_gang(const ready_step& step) {
    const std::size_t size = step.spec->task_count;
    if (step.waiting.size() != size) {
        return false;
    }
    auto context = make_context(step);
    context.rack = rack_to_wait_for(step);
    auto chosen = choose_gang_instances(step, context);
    if (chosen.size() != size && !context.rack.empty() && gives_up_rack(step, context, size)) {
        context.rack = {};
        chosen = choose_gang_instances(step, context);
    }
    if (chosen.size() != size) {
        return false;
    }
    auto& gang = kept_step(step.key);
    run_number run;
    for (const auto& [index, task] : gang.tasks()) {
        run = std::max(run, task.run);
    }
    const std::string checkpoint = newest_checkpoint(gang);
    auto instance = chosen.begin();
    for (const auto index : step.waiting) {
        auto& task = gang.open(index);
        task.run = run;
        task.checkpoint = checkpoint;
        place_task(step, index, *instance++);
    }
    return true;
}

}  // namespace tanagerpaddle::dispatch
