// Jobs from their acceptance to their end.

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

void coordinator::state::mark_begun(const task_key& key, task_state& task) {
    task.has_begun = true;
    task.without_run_since.reset();
    mark_started(*find_job(key.job));
}

void coordinator::state::mark_started(job_state& job) {
    if (!job.has_started) {
        job.has_started = true;
        forget_unstarted(job.submitted.id);
        count_queued(job.submitted.queue, job.submitted.spec, -1);
    }
}

// Timed jobs are not counted.
void coordinator::state::count_queued(const queue_id& queue, const job_spec& spec,
                                      std::int64_t change) {
    if (spec.occurrences == 0) {
        queued_job_counts[queue] += change;
    }
}

void coordinator::state::complete_job_if_done(job_state& job) {
    if (job.occurrences.are_done()) {
        finish_job(job, job_phase::completed);
    }
}

void coordinator::state::finish_job(job_state& job, job_phase phase) {
    mark_started(job);
    job.phase = phase;
    active_jobs.erase(job.submitted.id);
    drop_writes(job);
    const auto& id = job.submitted.id;
    for (auto& [k, occurrence] : job.occurrences.kept()) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            for (auto& [i, task] : occurrence.steps[s].tasks()) {
                stop_task({id, k, s, i}, task);
            }
        }
    }
    drop_permits(id);
    discard_later(id);
    mark_dirty(job, 0);
}

void coordinator::add_job(const submitted_job& job, milliseconds age, bool has_rows) {
    if (state_->ended_jobs.contains(job.id)) {
        return;
    }
    const auto [position, is_new] = state_->jobs.try_emplace(job.id);
    if (!is_new) {
        return;
    }
    auto& added = position->second;
    const instant now = state_->time.now();
    added.submitted = job;
    const auto deferred = state_->take_deferred(job.id);
    added.accepted_at = deferred ? deferred->accepted_at : now - age;
    added.has_rows = has_rows;
    added.occurrences.reset(job.spec);
    if (job.spec.occurrences == 0) {
        (void)state_->open_occurrence(added, 0);
    }
    added.layout = row_layout(job.spec, state_->config.tasks_per_row);
    state_->active_jobs.insert(job.id);
    if (!deferred) {
        state_->note_added(added);
        state_->count_queued(job.queue, job.spec, 1);
    }
    if (state_->early_cancellations.erase(job.id) != 0) {
        state_->finish_job(added, job_phase::cancelled);
    } else if (!has_rows) {
        state_->note_unstarted(added);  // may drop it
    }
}

void coordinator::add_ended(const job_id& id, job_phase phase) {
    check_invariant(is_terminal(phase), "a job that is open was added as ended");
    if (!state_->jobs.contains(id)) {
        state_->ended_jobs.emplace(id, phase);
    }
}

void coordinator::cancel_job(const job_id& id) {
    if (state_->ended_jobs.contains(id)) {
        return;
    }
    if (const auto deferred = state_->take_deferred(id)) {
        // Its row tells the next owner; nothing else of it is stored.
        state_->count_queued(deferred->queue, deferred->schedule, -1);
        state_->ended_jobs.emplace(id, job_phase::cancelled);
        return;
    }
    auto* job = state_->find_job(id);
    if (job == nullptr) {
        state_->early_cancellations.insert(id);
    } else if (!job->is_terminal()) {
        state_->finish_job(*job, job_phase::cancelled);
    }
}

void coordinator::forget_cancellation(const job_id& id) {
    state_->early_cancellations.erase(id);
}

std::optional<job_status> coordinator::status(const job_id& id) const {
    if (const auto ended = state_->ended_jobs.find(id); ended != state_->ended_jobs.end()) {
        return job_status{ended->second};
    }
    if (state_->deferred_jobs.contains(id)) {
        return job_status{job_phase::pending};
    }
    const auto found = state_->jobs.find(id);
    if (found == state_->jobs.end()) {
        return std::nullopt;
    }
    const auto& job = found->second;
    // A cancellation has a row of its own, which is durable before cancel_job is called.
    if (job.phase == job_phase::cancelled) {
        return job_status{job_phase::cancelled};
    }
    if (is_terminal(job.durable_phase)) {
        return job_status{job.durable_phase};
    }
    return job_status{job.has_started ? job_phase::running : job_phase::pending};
}

std::size_t coordinator::queued_jobs(const queue_id& queue) const {
    const auto found = state_->queued_job_counts.find(queue);
    return found == state_->queued_job_counts.end() || found->second < 0
               ? 0
               : static_cast<std::size_t>(found->second);
}

}  // namespace tanagerpaddle::dispatch
