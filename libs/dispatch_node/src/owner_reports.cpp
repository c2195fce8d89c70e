// Log lines and metrics of what the coordinator reports.

#include <algorithm>

#include "owner_session.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Number of tasks that one log line names.
constexpr std::size_t max_logged_tasks = 8;

}  // namespace

void owner_session::report_crash(const executor_crash& crash) {
    const auto agent = agents_.find(crash.instance);
    const bool has_connected = agent != agents_.end() && agent->second.last_message_at != instant{};
    const auto silent = has_connected ? env_.time->now() - agent->second.last_message_at
                                      : env_.time->now() - gained_at_;
    log_event(log_level::warning, crash.is_unreachable ? "executor_expired" : "executor_crashed",
              {{"agent", crash.instance.value()},
               {"suspects", crash.suspects.size()},
               {"has_connected", has_connected},
               {"silent_ms", std::chrono::duration_cast<milliseconds>(silent)}});
    for (const auto& suspect : crash.suspects) {
        log_event(log_level::warning, suspect.has_failed ? "task_given_up" : "task_suspected",
                  {{"task", to_string(suspect.task)},
                   {"run", suspect.run.value()},
                   {"agent", crash.instance.value()},
                   {"crashes", suspect.crashes},
                   {"has_begun", suspect.has_begun}});
    }
}

void owner_session::report_stall(const instance_name& instance, const task_key& task,
                                 run_number run, milliseconds without_progress) {
    log_event(log_level::warning, "task_stalled",
              {{"task", to_string(task)},
               {"run", run.value()},
               {"agent", instance.value()},
               {"without_progress_ms", without_progress}});
}

void owner_session::report_unstored_checkpoint(const task_key& task, std::size_t bytes) {
    log_event(log_level::warning, "checkpoint_not_stored",
              {{"task", to_string(task)}, {"bytes", bytes}});
}

void owner_session::report_reservation(const instance_name& instance, const task_key& task,
                                       instant until) {
    log_event(log_level::info, "capacity_reserved",
              {{"agent", instance.value()},
               {"task", to_string(task)},
               {"until_ms", std::chrono::duration_cast<milliseconds>(until - env_.time->now())}});
}

void owner_session::report_preemption(const instance_name& instance, const task_key& task,
                                      const std::vector<task_key>& stopped) {
    std::string names;
    for (std::size_t i = 0; i < std::min(stopped.size(), max_logged_tasks); ++i) {
        if (i > 0) {
            names += ' ';
        }
        names += to_string(stopped[i]);
    }
    log_event(log_level::info, "tasks_preempted",
              {{"agent", instance.value()},
               {"task", to_string(task)},
               {"count", stopped.size()},
               {"stopped", names}});
    metrics().counter_of(metric::tasks_evicted, {"long_running"}).add(stopped.size());
}

void owner_session::report_waiting_task(const waiting_task& waiting) {
    std::string obstacles;
    for (const auto& [name, instances] : waiting.instances_by_obstacle) {
        if (!obstacles.empty()) {
            obstacles += ' ';
        }
        obstacles += std::string(name) + ':' + std::to_string(instances);
    }
    log_event(log_level::warning, "task_waiting",
              {{"task", to_string(waiting.task)},
               {"tasks", waiting.tasks_of_step},
               {"without_run_ms", waiting.without_run},
               {"waits_for", waiting.waits_for},
               {"instances", obstacles}});
}

void owner_session::report_filler_stopped(const filler_stop& stop) {
    metrics().counter_of(metric::tasks_evicted, {"filler_relief"}).add();
    log_event(log_level::info, "filler_stopped",
              {{"task", to_string(stop.task)},
               {"run", stop.run.value()},
               {"agent", stop.instance.value()},
               {"speed_percent", stop.speed_percent},
               {"gain_percent", stop.gain_percent}});
}

}  // namespace tanagerpaddle::dispatch
