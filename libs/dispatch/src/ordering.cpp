#include "ordering.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch {

milliseconds run_time_of(const step_spec& spec, const run_times* measured) {
    if (measured == nullptr || spec.is_long_running) {
        return spec.estimate;
    }
    return measured->estimate(spec.image, spec.estimate).value_or(spec.estimate);
}

remaining_work work_of(const job_spec& spec, const occurrence_state* occurrence,
                       const run_times* measured) {
    constexpr double core_seconds = 1e6;  // of millicores x milliseconds
    struct offsets {
        milliseconds all{0};
        milliseconds unfinished{0};
    };
    std::vector<offsets> ends(spec.steps.size());
    remaining_work work;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        const auto* step = occurrence == nullptr ? nullptr : &occurrence->steps[s];
        const auto unfinished = step == nullptr ? spec.steps[s].task_count : step->unfinished();
        const auto run_time = run_time_of(spec.steps[s], measured);
        offsets before;
        for (const auto earlier : spec.steps[s].depends_on) {
            before.all = std::max(before.all, ends[earlier].all);
            before.unfinished = std::max(before.unfinished, ends[earlier].unfinished);
        }
        ends[s].all = before.all + run_time;
        ends[s].unfinished = before.unfinished + (unfinished == 0 ? milliseconds(0) : run_time);
        work.chain = std::max(work.chain, ends[s].all);
        work.chain_left = std::max(work.chain_left, ends[s].unfinished);
        work.core_seconds_left += static_cast<double>(unfinished) *
                                  static_cast<double>(spec.steps[s].demand.processors.value()) *
                                  static_cast<double>(run_time.count()) / core_seconds;
    }
    return work;
}

int rank_of(const ready_step& step, const remaining_work& work, instant now) {
    return step.spec->is_long_running
               ? 0
               : lateness_rank(step.rules, step.due_at, work.chain, work.chain_left, now);
}

// ---------------------------------------------------------------------------------------------
// Measurement of runs

const run_times* coordinator::state::ordering_run_times() const {
    return config.ordering.uses_measured_run_times ? &measured_run_times : nullptr;
}

void coordinator::state::begin_measurement(const ready_step& step, task_state& task,
                                           const instance_state& instance) {
    const bool is_off_rack = !step.spec->preferred_rack.empty() &&
                             !has_label(*instance.executor, step.spec->preferred_rack.value());
    task.measurement = {};
    task.measurement.is_representative = !step.spec->image.empty() && !step.spec->is_long_running &&
                                         task.checkpoint.empty() && !is_off_rack;
}

void coordinator::state::note_pace(const step_spec& spec, task_state& task,
                                   std::int64_t millicores_used) const {
    // The executor's figure covers the last half second, in which the run may not have begun.
    constexpr milliseconds measured_span{500};
    // Share of its demand below which a filler counts as throttled: its run then takes more than a
    // quarter longer than its work.
    constexpr std::int64_t full_pace_percent = 80;
    const auto& began_at = task.measurement.began_at;
    if (spec.is_filler && began_at && time.now() - *began_at >= measured_span &&
        millicores_used * 100 < spec.demand.processors.value() * full_pace_percent) {
        task.measurement.is_representative = false;
    }
}

void coordinator::state::record_run_time(const task_key& key, const task_state& task) {
    if (!task.measurement.began_at || !task.measurement.is_representative) {
        return;
    }
    const auto& spec = spec_of(key);
    const instant now = time.now();
    measured_run_times.record(
        spec.image, spec.estimate,
        std::chrono::duration_cast<milliseconds>(now - *task.measurement.began_at), now);
}

}  // namespace tanagerpaddle::dispatch
