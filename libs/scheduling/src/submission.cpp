// Creation of jobs that are submitted by clients or declared in the configuration.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// Commits of a submission with unknown outcome before store_outcome_unknown is returned.
constexpr int max_submission_attempts = 3;
// Declared jobs checked in one tick; each needs a read.
constexpr std::size_t declared_jobs_per_tick = 20;
// Limits the transaction that creates a job to 160 group rows.
constexpr std::uint32_t max_tasks_per_job = 10'000;

bool is_well_formed(const job_declaration& job) {
    return !job.id.empty() && job.id.value().find('/') == std::string::npos && job.task_count > 0 &&
           job.task_count <= max_tasks_per_job && has_sound_size(job);
}

resources larger_of(const resources& a, const resources& b) {
    return a.processors != b.processors ? (a.processors > b.processors ? a : b)
                                        : (a.memory > b.memory ? a : b);
}

}  // namespace

bool scheduler_state::has_known_workers() const {
    return std::any_of(partitions.begin(), partitions.end(),
                       [](const auto& entry) { return !entry.second.workers.empty(); }) ||
           std::any_of(remote_partitions.begin(), remote_partitions.end(),
                       [](const auto& remote) { return remote.worker_count > 0; });
}

bool scheduler_state::fits_any_worker(const job_declaration& job, resources& largest) const {
    bool fits = false;
    const auto check_capacity = [&](const resources& capacity) {
        fits = fits || job.demand.fits_in(capacity);
        largest = larger_of(largest, capacity);
    };
    for (const auto& [number, p] : partitions) {
        for (const auto& [id, worker] : p.workers) {
            check_capacity(worker.capacity);
        }
    }
    for (const auto& remote : remote_partitions) {
        if (remote.worker_count > 0) {
            check_capacity(remote.largest_worker);
        }
    }
    return fits;
}

std::vector<partition_number> scheduler_state::partitions_for(const job_declaration& job) const {
    std::set<partition_number> fitting;
    for (const auto& summary : summaries()) {
        if (summary.worker_count > 0 && job.demand.fits_in(summary.largest_worker)) {
            fitting.insert(summary.partition);
        }
    }
    for (const auto& remote : remote_partitions) {
        if (remote.worker_count > 0 && job.demand.fits_in(remote.largest_worker)) {
            fitting.insert(remote.partition);
        }
    }
    std::vector<partition_number> chosen(fitting.begin(), fitting.end());
    if (chosen.empty()) {
        for (std::uint32_t i = 0; i < options.partition_count; ++i) {
            chosen.emplace_back(i);
        }
    }
    const auto first = hash_bytes(job.id.value()) % chosen.size();
    std::rotate(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(first), chosen.end());
    return chosen;
}

submit_result scheduler_state::existing_job(const job_declaration& job) {
    const auto stored = read_row(job_key(job.id));
    if (!stored) {
        throw error(result_code::store_outcome_unknown,
                    "the row of job " + job.id.value() + " is missing");
    }
    const bool is_same = decode<job_row>(stored->value).declaration == job;
    return {is_same ? result_code::ok : result_code::job_already_exists, false, {}};
}

submit_result scheduler_state::submit(const job_declaration& job, bool is_declared) {
    if (!is_well_formed(job)) {
        return {result_code::malformed_request, false, {}};
    }
    if (current_configuration && !current_configuration->find_team(job.team)) {
        return {result_code::quota_unknown_team, false, {}};
    }
    submit_result answer;
    if (!has_known_workers()) {
        // Without a known worker it cannot be decided whether the job can ever run.
        answer.code = result_code::not_ready;
        return answer;
    }
    if (!fits_any_worker(job, answer.largest_worker)) {
        answer.code = result_code::job_can_never_run;
        return answer;
    }
    const auto targets = partitions_for(job);
    job_row row;
    row.declaration = job;
    row.group_count = (job.task_count + tasks_per_group - 1) / tasks_per_group;
    row.is_declared = is_declared;
    row.submitted_at = time.utc_now();
    group_edits groups;
    for (std::uint32_t k = 0; k < row.group_count; ++k) {
        const partition_number target = targets[k % targets.size()];
        row.group_partitions.push_back(target);
        group_row group;
        group.declaration = job;
        group.group = k;
        group.submitted_at = row.submitted_at;
        group.declared_in = is_declared ? configuration_version : config_version();
        const std::uint32_t end = std::min(job.task_count, (k + 1) * tasks_per_group);
        for (std::uint32_t index = k * tasks_per_group; index < end; ++index) {
            group.tasks.emplace_back().index = index;
        }
        groups.emplace(group_key(target, job.id, k), std::move(group));
    }
    return commit_submission(row, groups);
}

submit_result scheduler_state::commit_submission(const job_row& row, const group_edits& groups) {
    const job_declaration& job = row.declaration;
    table_transaction transaction;
    for (const auto& [key, group] : groups) {
        transaction.puts.push_back({key, encode(group)});
    }
    transaction.conditions.push_back({job_key(job.id), row_version()});
    transaction.puts.push_back({job_key(job.id), encode(row)});
    for (int i = 0; i < max_submission_attempts; ++i) {
        const commit_attempt result =
            try_commit(transaction, write_class::deferrable, counts.submission_rows);
        switch (result.outcome) {
            case commit_outcome::committed:
                apply_submission(groups, row.group_partitions, result.version);
                return {result_code::ok, true, {}};
            case commit_outcome::over_budget:
                return {result_code::overloaded, false, {}};
            case commit_outcome::conflict:
                apply_submission({}, row.group_partitions, {});
                try {
                    // After a lost reply the row may be from this call; it counts as existing.
                    return existing_job(job);
                } catch (const error& failure) {
                    return {failure.code(), false, {}};
                }
            case commit_outcome::failed:
                // An earlier commit with unknown outcome may have created the job.
                return {
                    i == 0 ? result_code::store_unavailable : result_code::store_outcome_unknown,
                    false,
                    {}};
            case commit_outcome::unknown:
                break;  // The transaction is conditional, so it is safe to commit it again.
        }
    }
    apply_submission({}, row.group_partitions, {});
    return {result_code::store_outcome_unknown, false, {}};
}

// Adds the written rows to the view of this entry's partitions. `groups` is empty if it is unknown
// whether the rows were written.
void scheduler_state::apply_submission(const group_edits& groups,
                                       const std::vector<partition_number>& shards,
                                       row_version written) {
    for (const auto shard : std::set<partition_number>(shards.begin(), shards.end())) {
        partition_state* p = owned(shard);
        if (!p) {
            changed_shards.insert(shard);
        } else if (groups.empty()) {
            p->is_stale = true;
        }
    }
    for (const auto& [key, group] : groups) {
        if (partition_state* p = owned(shards.at(group.group))) {
            p->groups[key] = {group, written, false, instant::max(), {}};
        }
    }
}

void scheduler_state::submit_declared_jobs() {
    if (!current_configuration || is_store_failing) {
        return;
    }
    std::size_t checked = 0;
    for (const auto& job : current_configuration->jobs) {
        if (submitted_declared_jobs.contains(job.id) ||
            !owned(partition_of(job.id.value(), options.partition_count))) {
            continue;
        }
        if (++checked > declared_jobs_per_tick) {
            return;
        }
        std::optional<table_row> stored;
        try {
            stored = read_row(job_key(job.id));
        } catch (const error&) {
            return;
        }
        const result_code code = stored ? result_code::ok : submit(job, true).code;
        if (code == result_code::ok || code == result_code::job_already_exists) {
            submitted_declared_jobs.insert(job.id);
        }
        if (code == result_code::overloaded || code == result_code::store_unavailable) {
            return;
        }
    }
}

}  // namespace tanagerpaddle
