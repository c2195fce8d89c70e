#include <algorithm>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

bool worker_quarantine::is_bad_job(const job_id& job) const {
    const auto position = jobs_.find(job);
    return position != jobs_.end() &&
           position->second.failed_on.size() >= options_.bad_job_min_workers;
}

// Tracks the distinct workers on which the job failed. A success on any worker clears them, since
// it shows that the job can run.
void worker_quarantine::record_job_result(const worker_id& worker, const job_id& job,
                                          bool has_failed) {
    auto& record = jobs_[job];
    record.last_use = ++use_counter_;
    if (!has_failed) {
        record.failed_on.clear();
    } else if (record.failed_on.size() < options_.bad_job_min_workers &&
               std::find(record.failed_on.begin(), record.failed_on.end(), worker) ==
                   record.failed_on.end()) {
        record.failed_on.push_back(worker);
    }
    if (jobs_.size() > options_.max_tracked_jobs) {
        jobs_.erase(std::min_element(jobs_.begin(), jobs_.end(), [](const auto& a, const auto& b) {
            return a.second.last_use < b.second.last_use;
        }));
    }
}

// Counts the worker's distinct jobs and those that failed; failures of bad jobs are left out.
worker_quarantine::counts worker_quarantine::count_results(const worker_record& record) const {
    counts result;
    for (const auto& job : record.results) {
        if (job.has_failed && is_bad_job(job.job)) {
            continue;
        }
        ++result.jobs;
        result.failed += job.has_failed ? 1 : 0;
    }
    return result;
}

bool worker_quarantine::is_suspect(const worker_id& worker) const {
    const auto own = count_results(workers_.at(worker));
    if (own.jobs < options_.min_jobs) {
        return false;
    }
    counts others;
    for (const auto& [id, record] : workers_) {
        if (id != worker && !record.is_quarantined) {
            const auto other = count_results(record);
            others.jobs += other.jobs;
            others.failed += other.failed;
        }
    }
    const double own_failure_rate = static_cast<double>(own.failed) / static_cast<double>(own.jobs);
    // Without enough results of other workers there is no fleet failure rate to compare with.
    return others.jobs >= options_.min_jobs && own_failure_rate >= options_.min_failure_rate &&
           own_failure_rate >= options_.min_fleet_ratio * static_cast<double>(others.failed) /
                                   static_cast<double>(others.jobs);
}

void worker_quarantine::finish_probe(worker_record& record, bool has_failed, instant now) const {
    record.probing_until.reset();
    if (has_failed) {
        record.backoff = std::min(record.backoff * 2, options_.max_backoff);
        record.probe_at = now + record.backoff;
    } else {
        record.is_quarantined = false;
        record.results.clear();
    }
}

void worker_quarantine::record_result(const worker_id& worker, const job_id& job, bool has_failed,
                                      instant now) {
    record_job_result(worker, job, has_failed);
    auto& record = workers_[worker];
    if (record.is_quarantined) {
        // A success of a task started before the quarantine also releases the worker.
        if (!has_failed || (record.probing_until && !is_bad_job(job))) {
            finish_probe(record, has_failed, now);
        } else if (record.probing_until) {
            record.probing_until.reset();
        }
        return;
    }
    std::erase_if(record.results, [&](const job_result& old) { return old.job == job; });
    record.results.push_back({job, has_failed});
    if (record.results.size() > options_.max_results_per_worker) {
        record.results.pop_front();
    }
    const auto max_quarantined = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(std::max(fleet_size_, workers_.size())) *
                                    options_.max_quarantined_fraction));
    if (has_failed && quarantined().size() < max_quarantined && is_suspect(worker)) {
        record.is_quarantined = true;
        // The backoff is kept after a release, so a worker that fails again is probed less often.
        record.backoff = record.backoff.count() == 0
                             ? options_.initial_backoff
                             : std::min(record.backoff * 2, options_.max_backoff);
        record.probe_at = now + record.backoff;
    }
}

quarantine_state worker_quarantine::state(const worker_id& worker, instant now) const {
    const auto position = workers_.find(worker);
    if (position == workers_.end() || !position->second.is_quarantined) {
        return quarantine_state::in_service;
    }
    const auto& record = position->second;
    if (record.probing_until && now < *record.probing_until) {
        return quarantine_state::probing;
    }
    return now >= record.probe_at ? quarantine_state::probe_due : quarantine_state::quarantined;
}

void worker_quarantine::record_probe(const worker_id& worker, instant now) {
    const auto position = workers_.find(worker);
    if (position != workers_.end() && position->second.is_quarantined) {
        position->second.probing_until = now + options_.probe_timeout;
    }
}

void worker_quarantine::remove_worker(const worker_id& worker) {
    workers_.erase(worker);
}

std::vector<worker_id> worker_quarantine::quarantined() const {
    std::vector<worker_id> result;
    for (const auto& [id, record] : workers_) {
        if (record.is_quarantined) {
            result.push_back(id);
        }
    }
    return result;
}

}  // namespace tanagerpaddle
