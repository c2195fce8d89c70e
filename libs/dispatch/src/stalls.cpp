// Tasks that make no progress.

#include <algorithm>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// A task without progress for this long is stalled: reports arrive every 0.3 s, reading the
// executor's lists may take 1.2 s, and runs of up to 200 s advance by one percent within 2 s.
constexpr milliseconds min_stall_timeout{2'000};
// Longest time between two views of an instance that reports as it should: an executor may delay
// its lists by 0.5 s, and reports are sent every 0.3 s.
constexpr milliseconds max_view_gap{1'000};
// Longer tasks may go without progress for their estimate divided by this.
constexpr int stall_timeout_divisor = 20;

}  // namespace

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

}  // namespace tanagerpaddle::dispatch
