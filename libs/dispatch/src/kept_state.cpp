// Memory that the coordinator takes for jobs.

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

namespace {

std::size_t bytes_of(const std::string& text) {
    static const std::size_t inner_capacity = std::string().capacity();
    return text.capacity() > inner_capacity ? text.capacity() + 1 : 0;
}

std::size_t bytes_of(const step_spec& spec) {
    return sizeof(spec) + spec.depends_on.capacity() * sizeof(spec.depends_on[0]) +
           bytes_of(spec.required_label) + bytes_of(spec.preferred_rack.value()) +
           bytes_of(spec.image);
}

std::size_t bytes_of(const submitted_job& job) {
    std::size_t bytes = bytes_of(job.id.value()) + bytes_of(job.queue.value()) +
                        bytes_of(job.rules.service.value()) + bytes_of(job.spec.payload);
    for (const auto& step : job.spec.steps) {
        bytes += bytes_of(step);
    }
    return bytes;
}

void add(coordinator::kept_state& kept, const occurrence_state& occurrence) {
    ++kept.occurrences;
    kept.bytes += sizeof(occurrence);
    for (const auto& step : occurrence.steps) {
        kept.bytes += sizeof(step);
        for (const auto& [index, task] : step.tasks()) {
            ++kept.tasks;
            kept.bytes += sizeof(task) + bytes_of(task.checkpoint);
        }
    }
}

}  // namespace

std::size_t bytes_of_unstarted(const job_state& job) {
    return sizeof(job) + bytes_of(job.submitted) + sizeof(occurrence_state) +
           job.submitted.spec.steps.size() * sizeof(step_state);
}

coordinator::kept_state coordinator::kept() const {
    kept_state kept;
    for (const auto& [id, job] : state_->jobs) {
        ++kept.jobs;
        kept.bytes += sizeof(job) + bytes_of(job.submitted);
        for (const auto& [number, occurrence] : job.occurrences.kept()) {
            add(kept, occurrence);
        }
    }
    for (const auto* each : {&state_->unstarted_jobs, &state_->deferred_jobs}) {
        for (const auto& [id, job] : *each) {
            kept.bytes +=
                sizeof(id) + sizeof(job) + bytes_of(id.value()) + bytes_of(job.queue.value());
        }
    }
    kept.deferred_jobs = state_->deferred_jobs.size();
    for (const auto& [id, phase] : state_->ended_jobs) {
        ++kept.ended_jobs;
        kept.bytes += sizeof(id) + sizeof(phase) + bytes_of(id.value());
    }
    return kept;
}

}  // namespace tanagerpaddle::dispatch
