#pragma once

// Lookup of runs in an executor's lists.

#include <algorithm>
#include <utility>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// `Run` is a running_task or a finished_task.
template <class Run>
[[nodiscard]] bool contains(const std::vector<Run>& runs,
                            const std::pair<task_key, run_number>& key) {
    return std::any_of(runs.begin(), runs.end(), [&](const Run& each) {
        return each.run == key.second && each.task == key.first;
    });
}

}  // namespace tanagerpaddle::dispatch
