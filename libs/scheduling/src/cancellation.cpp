// Cancellation of jobs, by any entry. One transaction deletes the group rows and updates the job
// row, conditional on both. An owner that claims a task at the same time gets a conflict and then
// stops the running tasks.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// A conflict rejects the whole transaction, so this many jobs are repeated.
constexpr std::size_t max_jobs_per_transaction = 25;
constexpr std::size_t removed_jobs_per_tick = 25;
// A partition's owner may change the job's rows between the read and the commit.
constexpr int max_cancel_attempts = 3;

}  // namespace

// Removes deleted groups from the view and wakes the workers that hold their tasks.
void scheduler_state::remove_cancelled_groups(const std::vector<std::string>& keys,
                                              const std::vector<partition_number>& shards) {
    for (std::size_t i = 0; i < keys.size(); ++i) {
        partition_state* p = owned(shards[i]);
        if (!p) {
            changed_shards.insert(shards[i]);
            continue;
        }
        const auto group = p->groups.find(keys[i]);
        if (group == p->groups.end()) {
            continue;
        }
        for (const auto& task : group->second.row.tasks) {
            if (is_active(task.state)) {
                wake(*p, task.worker);
            }
        }
        p->groups.erase(group);
    }
}

bool scheduler_state::prepare_cancel(const job_id& id, table_transaction& transaction,
                                     std::vector<partition_number>& shards, cancel_result& result) {
    const auto stored = read_row(job_key(id));
    if (!stored) {
        result.code = result_code::unknown_job;
        return false;
    }
    job_row job = decode<job_row>(stored->value);
    result.state = job.state;
    if (job.state != job_state::active) {
        return false;
    }
    // Added to the transaction once all groups have been read: a job is cancelled as a whole.
    table_transaction change;
    std::vector<partition_number> changed;
    for (std::uint32_t k = 0; k < job.group_partitions.size(); ++k) {
        const partition_number shard = job.group_partitions[k];
        const std::string key = group_key(shard, id, k);
        const auto row = read_row(key);
        if (!row) {
            continue;  // The group has ended and is counted in the job row.
        }
        change.conditions.push_back({key, row->version});
        change.deletes.push_back(key);
        ++job.ended_groups;
        for (const auto& task : decode<group_row>(row->value).tasks) {
            job.ended_tasks.finished += task.state == task_state::finished ? 1 : 0;
            job.ended_tasks.failed += task.state == task_state::failed ? 1 : 0;
            job.ended_tasks.lost += task.state == task_state::lost ? 1 : 0;
            const bool ends_now = !is_terminal(task.state) || task.state == task_state::cancelled;
            job.ended_tasks.cancelled += ends_now ? 1 : 0;
        }
        changed.push_back(shard);
    }
    job.state = job_state::cancelled;
    job.ended_at = time.utc_now();
    change.conditions.push_back({job_key(id), stored->version});
    transaction.puts.push_back({job_key(id), encode(job)});
    transaction.conditions.insert(transaction.conditions.end(), change.conditions.begin(),
                                  change.conditions.end());
    transaction.deletes.insert(transaction.deletes.end(), change.deletes.begin(),
                               change.deletes.end());
    shards.insert(shards.end(), changed.begin(), changed.end());
    return true;
}

void scheduler_state::commit_cancels(const std::vector<job_id>& ids, std::size_t first,
                                     std::size_t last, std::vector<cancel_result>& results) {
    table_transaction transaction;
    std::vector<partition_number> shards;
    std::vector<std::size_t> included;
    std::set<job_id> seen;
    for (std::size_t i = first; i < last; ++i) {
        if (!seen.insert(ids[i]).second) {
            results[i].code = result_code::ok;  // A duplicate within the call.
            continue;
        }
        try {
            if (prepare_cancel(ids[i], transaction, shards, results[i])) {
                included.push_back(i);
            }
        } catch (const error& failure) {
            results[i].code = failure.code();
        }
    }
    if (included.empty()) {
        return;
    }
    const commit_attempt result =
        try_commit(transaction, write_class::deferrable, counts.cancellation_rows);
    for (const std::size_t i : included) {
        switch (result.outcome) {
            case commit_outcome::committed:
                ++counts.cancelled_jobs;
                record_decision(decision_kind::cancellation, {}, {{ids[i], 0}, {}}, {},
                                "requested");
                break;
            case commit_outcome::over_budget:
                results[i].code = result_code::overloaded;
                break;
            case commit_outcome::failed:
                results[i].code = result_code::store_unavailable;
                break;
            case commit_outcome::unknown:
                results[i].code = result_code::store_outcome_unknown;
                break;
            case commit_outcome::conflict:
                results[i].code = result_code::row_conflict;
                break;
        }
    }
    if (result.outcome == commit_outcome::committed) {
        remove_cancelled_groups(transaction.deletes, shards);
        return;
    }
    for (const auto shard : shards) {
        partition_state* p = owned(shard);
        if (p && result.outcome != commit_outcome::over_budget) {
            p->is_stale = true;
        } else if (!p && result.outcome == commit_outcome::unknown) {
            changed_shards.insert(shard);
        }
    }
}

cancel_result scheduler_state::cancel_one(const job_id& id) {
    std::vector<cancel_result> results(1);
    for (int i = 0; i < max_cancel_attempts; ++i) {
        results[0] = cancel_result();
        commit_cancels({id}, 0, 1, results);
        // After a lost reply the next attempt reads the outcome of this one.
        if (results[0].code != result_code::row_conflict &&
            results[0].code != result_code::store_outcome_unknown) {
            break;
        }
    }
    if (results[0].code == result_code::row_conflict) {
        results[0].code = result_code::overloaded;
    }
    return results[0];
}

std::vector<cancel_result> scheduler_state::cancel_many(const std::vector<job_id>& ids) {
    std::vector<cancel_result> results(ids.size());
    bool is_budget_spent = false;
    for (std::size_t first = 0; first < ids.size(); first += max_jobs_per_transaction) {
        const std::size_t last = std::min(ids.size(), first + max_jobs_per_transaction);
        if (is_budget_spent) {
            // Reads for the remaining jobs would only load the table.
            for (std::size_t i = first; i < last; ++i) {
                results[i].code = result_code::overloaded;
            }
            continue;
        }
        commit_cancels(ids, first, last, results);
        for (std::size_t i = first; i < last; ++i) {
            if (results[i].code == result_code::row_conflict ||
                results[i].code == result_code::store_outcome_unknown) {
                results[i] = cancel_one(ids[i]);
            }
            is_budget_spent = is_budget_spent || results[i].code == result_code::overloaded;
        }
    }
    return results;
}

void scheduler_state::cancel_removed_jobs() {
    if (std::exchange(check_removed_jobs, false) && current_configuration) {
        std::set<job_id> declared_ids;
        for (const auto& job : current_configuration->jobs) {
            declared_ids.insert(job.id);
        }
        std::set<job_id> queued(removed_jobs.begin(), removed_jobs.end());
        for (const auto& [number, p] : partitions) {
            for (const auto& [key, group] : p.groups) {
                const job_id& id = group.row.declaration.id;
                if (group.row.declared_in > config_version() &&
                    group.row.declared_in <= configuration_version && !declared_ids.contains(id) &&
                    queued.insert(id).second) {
                    removed_jobs.push_back(id);
                }
            }
        }
    }
    if (removed_jobs.empty() || is_store_failing) {
        return;
    }
    const auto count = std::min(removed_jobs.size(), removed_jobs_per_tick);
    const std::vector<job_id> ids(removed_jobs.begin(),
                                  removed_jobs.begin() + static_cast<std::ptrdiff_t>(count));
    removed_jobs.erase(removed_jobs.begin(),
                       removed_jobs.begin() + static_cast<std::ptrdiff_t>(count));
    const auto results = cancel_many(ids);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        if (results[i].code != result_code::ok && results[i].code != result_code::unknown_job) {
            removed_jobs.push_back(ids[i]);
        }
    }
}

}  // namespace tanagerpaddle
