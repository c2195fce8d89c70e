// Transactions of an owner and the handling of their outcomes.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// A conflict rejects the whole transaction; larger transactions need fewer calls.
constexpr std::size_t max_groups_per_transaction = 50;

task_counts& operator+=(task_counts& sum, const group_row& group) {
    for (const auto& task : group.tasks) {
        sum.finished += task.state == task_state::finished ? 1 : 0;
        sum.cancelled += task.state == task_state::cancelled ? 1 : 0;
        sum.failed += task.state == task_state::failed ? 1 : 0;
        sum.lost += task.state == task_state::lost ? 1 : 0;
    }
    return sum;
}

job_state final_state(const task_counts& ended) {
    if (ended.failed + ended.lost > 0) {
        return job_state::failed;
    }
    return ended.cancelled > 0 ? job_state::cancelled : job_state::finished;
}

bool has_ended(const group_row& group) {
    return std::all_of(group.tasks.begin(), group.tasks.end(),
                       [](const task_record& task) { return is_terminal(task.state); });
}

// Adds the progress and checkpoints reported by agents to a row that is written anyway.
void add_reported_progress(const partition_state& p, group_row& group) {
    for (auto& task : group.tasks) {
        const auto known = p.transient_states.find({group.declaration.id, task.index});
        if (!is_active(task.state) || known == p.transient_states.end() ||
            known->second.attempt != task.attempt) {
            continue;
        }
        task.state = task_state::running;
        task.progress = known->second.progress;
        if (!known->second.checkpoint.empty()) {
            task.checkpoint = known->second.checkpoint;
        }
    }
}

}  // namespace

commit_attempt scheduler_state::try_commit(const table_transaction& transaction,
                                           write_class priority, std::uint64_t& row_counter) {
    const std::size_t written = transaction.write_count();
    if ((priority == write_class::deferrable && !deferrable_budget.try_take(written, false)) ||
        !budget.try_take(written, priority == write_class::urgent)) {
        ++counts.budget_refusals;
        return {commit_outcome::over_budget, {}, {}};
    }
    try {
        commit_result result = rows.commit(transaction);
        is_store_failing = false;
        if (result.committed) {
            row_counter += written;
            return {commit_outcome::committed, result.version, {}};
        }
        ++counts.conflicts;
        return {commit_outcome::conflict, {}, std::move(result.conflicts)};
    } catch (const error& failure) {
        // Only store_unavailable guarantees that nothing was written.
        if (failure.code() == result_code::store_unavailable) {
            record_store_failure();
            return {commit_outcome::failed, {}, {}};
        }
        ++counts.unknown_commits;
        return {options.mechanisms.resolve_unknown_commits ? commit_outcome::unknown
                                                           : commit_outcome::failed,
                {},
                {}};
    }
}

void scheduler_state::add_owner_condition(const partition_state& p,
                                          table_transaction& transaction) const {
    if (options.mechanisms.condition_on_epoch) {
        transaction.conditions.push_back({partition_key(p.number), p.version});
    }
}

void scheduler_state::apply_outcome(partition_state& p, const commit_attempt& result,
                                    const group_edits& written) {
    switch (result.outcome) {
        case commit_outcome::committed:
            for (const auto& [key, row] : written) {
                if (has_ended(row)) {
                    p.groups.erase(key);
                } else {
                    p.groups[key].row = row;
                    p.groups[key].version = result.version;
                }
            }
            return;
        case commit_outcome::unknown:
            for (const auto& [key, row] : written) {
                p.groups[key].is_commit_unresolved = true;
            }
            p.needs_rescan = true;
            return;
        case commit_outcome::conflict:
            p.needs_rescan = true;
            return;
        case commit_outcome::failed:
        case commit_outcome::over_budget:
            return;
    }
}

bool scheduler_state::add_ended_groups(table_transaction& transaction,
                                       const std::vector<const group_row*>& ended) {
    struct changed_job {
        job_row row;
        row_version version;
    };
    std::map<std::string, changed_job> jobs;
    for (const group_row* group : ended) {
        const std::string key = job_key(group->declaration.id);
        auto found = jobs.find(key);
        if (found == jobs.end()) {
            std::optional<table_row> stored;
            try {
                stored = read_row(key);
            } catch (const error&) {
                return false;
            }
            if (!stored) {
                continue;
            }
            auto row = read_job_row(*stored);
            if (!row) {
                continue;  // As for a job without a row: nothing counts its groups.
            }
            found = jobs.emplace(key, changed_job{*std::move(row), stored->version}).first;
        }
        job_row& job = found->second.row;
        ++job.ended_groups;
        job.ended_tasks += *group;
        if (job.ended_groups >= job.group_count && job.state == job_state::active) {
            job.state = final_state(job.ended_tasks);
            job.ended_at = time.utc_now();
        }
    }
    for (const auto& [key, job] : jobs) {
        transaction.conditions.push_back({key, job.version});
        transaction.puts.push_back({key, encode(job.row)});
    }
    return true;
}

void scheduler_state::commit_edits(partition_state& p, const group_edits& edits) {
    auto next = edits.begin();
    while (next != edits.end() && !p.needs_rescan) {
        table_transaction transaction;
        add_owner_condition(p, transaction);
        group_edits written;
        std::vector<const group_row*> ended;
        for (; next != edits.end() && written.size() < max_groups_per_transaction; ++next) {
            group_row row = next->second;
            add_reported_progress(p, row);
            transaction.conditions.push_back({next->first, p.groups.at(next->first).version});
            if (has_ended(row)) {
                transaction.deletes.push_back(next->first);
                ended.push_back(&next->second);
            } else {
                transaction.puts.push_back({next->first, encode(row)});
            }
            written.emplace(next->first, std::move(row));
        }
        if (!add_ended_groups(transaction, ended)) {
            return;
        }
        const commit_attempt result =
            try_commit(transaction, write_class::task_update, counts.record_rows);
        apply_outcome(p, result, written);
        if (result.outcome != commit_outcome::committed) {
            return;
        }
    }
}

void scheduler_state::record_store_failure() {
    constexpr milliseconds retry_interval{1'000};
    ++counts.store_failures;
    is_store_failing = true;
    store_retry_at = now() + retry_interval;
}

std::optional<table_row> scheduler_state::read_row(const std::string& key) {
    try {
        auto row = rows.read(key);
        is_store_failing = false;
        return row;
    } catch (const error&) {
        record_store_failure();
        throw;
    }
}

void scheduler_state::replace_groups(partition_state& p, const std::vector<table_row>& found) {
    std::map<std::string, group_state> groups;
    std::map<std::string, row_version> unreadable;
    for (const auto& row : found) {
        group_state group;
        const auto before = p.groups.find(row.key);
        if (before != p.groups.end()) {
            group.unplaced_since = before->second.unplaced_since;
            group.reason = before->second.reason;
        }
        // A group with an unchanged version is not decoded again: a shard holds thousands.
        if (before != p.groups.end() && before->second.version == row.version) {
            group.row = std::move(before->second.row);
        } else {
            try {
                group.row = read_group_row(p.number, row);
            } catch (const error& failure) {
                // The row stays in the table; the other groups are scheduled.
                unreadable[row.key] = row.version;
                if (!p.unreadable_groups.contains(row.key)) {
                    record_decision(decision_kind::unreadable_row, p.number, {}, {},
                                    row.key + ": " + failure.what());
                }
                continue;
            }
        }
        group.version = row.version;
        groups.emplace_hint(groups.end(), row.key, std::move(group));
    }
    p.groups = std::move(groups);
    p.unreadable_groups = std::move(unreadable);
}

// A write whose answer is missing may take effect after its groups have been read without it. Until
// then their tasks would be granted leases that it revokes. A new version of the partition row, on
// which each write of the owner is conditional, rules that out.
bool scheduler_state::invalidate_unresolved_write(partition_state& p,
                                                  const std::vector<table_row>& found) {
    table_transaction transaction;
    for (const auto& row : found) {
        const auto group = p.groups.find(row.key);
        if (group != p.groups.end() && group->second.is_commit_unresolved &&
            group->second.version == row.version) {
            transaction.conditions.push_back({row.key, row.version});
        }
    }
    if (transaction.conditions.empty() || !options.mechanisms.condition_on_epoch) {
        return true;
    }
    const instant sent_at = now();
    add_owner_condition(p, transaction);
    transaction.puts.push_back(
        {partition_key(p.number), encode(partition_row{self.id, self.incarnation, p.epoch,
                                                       options.horizon.count(), false})});
    const commit_attempt result =
        try_commit(transaction, write_class::urgent, counts.partition_rows);
    if (result.outcome != commit_outcome::committed) {
        return false;
    }
    p.version = result.version;
    p.horizon_end = sent_at + options.horizon;
    return true;
}

bool scheduler_state::rescan(partition_state& p) {
    std::vector<table_row> found;
    try {
        const auto row = rows.read(partition_key(p.number));
        const partition_row owner = row ? stored_owner(p.number, *row) : partition_row{};
        if (owner.owner != self.id || owner.incarnation != self.incarnation ||
            owner.epoch != p.epoch) {
            if (options.mechanisms.condition_on_epoch) {
                drop_partition(p.number, "the partition row names another owner");
                return false;
            }
        } else {
            p.version = row->version;
            if (p.is_release_unresolved) {
                resolve_release(p, owner);
                return false;
            }
        }
        found = scan_all(rows, shard_prefix(p.number));
        is_store_failing = false;
    } catch (const error&) {
        record_store_failure();
        return false;
    }
    if (!invalidate_unresolved_write(p, found)) {
        return false;
    }
    replace_groups(p, found);
    p.is_loaded = true;
    p.needs_rescan = false;
    p.is_stale = false;
    p.scanned_at = now();
    check_removed_jobs = true;
    std::erase_if(p.transient_states, [&](const auto& item) { return !find_task(p, item.first); });
    std::erase_if(p.claims, [&](const auto& item) {
        const task_record* record = find_task(p, item.first.task);
        return !record || record->attempt > item.first.attempt;
    });
    return true;
}

void scheduler_state::record_decision(decision_kind kind, partition_number partition,
                                      const task_attempt& task, const worker_id& worker,
                                      std::string cause) {
    decisions.push_back({now(), kind, partition, task, worker, std::move(cause)});
    if (decisions.size() > options.max_decisions) {
        decisions.pop_front();
    }
}

}  // namespace tanagerpaddle
