// The owner's log lines and metrics on waits for racks.

#include "owner_session.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

void owner_session::report_locality_wait(const locality_wait& wait) {
    log_event(log_level::info, "locality_wait",
              {{"step", wait.step.job.value() + "." + std::to_string(wait.step.occurrence) + "." +
                            std::to_string(wait.step.step)},
               {"rack", wait.rack.value()},
               {"until", env_.time->utc_now().value() + wait.until_in.count()},
               {"gain_ms", wait.gain},
               // -1: not before the end of the wait, or not known yet.
               {"predicted_ms", wait.predicted ? wait.predicted->count() : -1}});
}

void owner_session::report_locality_move(const task_key& task, const rack_id& rack) {
    log_event(log_level::info, "locality_move",
              {{"task", to_string(task)}, {"rack", rack.value()}});
    metrics().counter_of(metric::tasks_evicted, {"locality"}).add(1);
}

void owner_session::report_locality_start(milliseconds waited, bool is_on_rack) {
    metrics()
        .latency_of(metric::locality_wait_seconds, {is_on_rack ? "on_rack" : "elsewhere"})
        .record(waited);
}

}  // namespace tanagerpaddle::dispatch
