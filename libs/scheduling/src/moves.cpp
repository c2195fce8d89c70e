// Moves of groups that cannot be placed in their partition to one with free capacity.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// The free capacity known of other partitions is a few seconds old; more moves at once could
// exceed it.
constexpr std::size_t max_moves_per_tick = 8;

bool is_all_pending(const group_row& group) {
    return std::all_of(group.tasks.begin(), group.tasks.end(),
                       [](const task_record& task) { return task.state == task_state::pending; });
}

}  // namespace

std::vector<partition_summary> scheduler_state::other_partitions(const partition_state& p) const {
    std::vector<partition_summary> others;
    if (partitions.size() > 1) {
        others = summaries();
    }
    for (const auto& remote : remote_partitions) {
        if (!owned(remote.partition)) {
            others.push_back(remote);
        }
    }
    std::erase_if(others, [&](const partition_summary& other) {
        return other.partition == p.number || other.worker_count == 0;
    });
    std::sort(others.begin(), others.end(),
              [](const partition_summary& a, const partition_summary& b) {
                  return a.free.processors > b.free.processors;
              });
    return others;
}

void scheduler_state::move_groups(partition_state& p) {
    std::vector<std::string> waiting;
    for (const auto& [key, group] : p.groups) {
        if (group.unplaced_since != instant::max() && !group.is_commit_unresolved &&
            now() >= group.unplaced_since + options.move_after && is_all_pending(group.row)) {
            waiting.push_back(key);
        }
    }
    if (waiting.empty() || p.needs_rescan) {
        return;
    }
    const std::vector<partition_summary> others = other_partitions(p);
    std::size_t moved = 0;
    for (const auto& key : waiting) {
        const resources demand = p.groups.at(key).row.declaration.demand;
        const auto target = std::find_if(
            others.begin(), others.end(),
            [&](const partition_summary& other) { return demand.fits_in(other.largest_free); });
        if (target == others.end()) {
            continue;
        }
        if (!move_group(p, key, target->partition) || ++moved >= max_moves_per_tick) {
            return;
        }
    }
}

bool scheduler_state::move_group(partition_state& p, const std::string& key,
                                 partition_number target) {
    const group_state group = p.groups.at(key);
    const job_id& id = group.row.declaration.id;
    const std::string job = job_key(id);
    std::optional<table_row> stored;
    try {
        stored = read_row(job);
    } catch (const error&) {
        return false;
    }
    if (!stored) {
        return true;
    }
    auto readable = read_job_row(*stored);
    if (!readable || group.row.group >= readable->group_partitions.size()) {
        return true;
    }
    job_row row = *std::move(readable);
    row.group_partitions[group.row.group] = target;
    const std::string target_key = group_key(target, id, group.row.group);
    table_transaction transaction;
    add_owner_condition(p, transaction);
    transaction.conditions.push_back({key, group.version});
    transaction.conditions.push_back({target_key, row_version()});
    transaction.conditions.push_back({job, stored->version});
    transaction.deletes.push_back(key);
    transaction.puts.push_back({target_key, encode(group.row)});
    transaction.puts.push_back({job, encode(row)});
    const commit_attempt result =
        try_commit(transaction, write_class::deferrable, counts.move_rows);
    if (result.outcome != commit_outcome::committed) {
        apply_outcome(p, result, {{key, group.row}});
        return false;
    }
    p.groups.erase(key);
    ++counts.moves;
    record_decision(decision_kind::move, p.number, {{id, 0}, {}}, {},
                    "to partition " + std::to_string(target.value()) + ", which has room");
    if (partition_state* other = owned(target)) {
        other->groups[target_key] = {group.row, result.version, false, instant::max(), {}};
    } else {
        changed_shards.insert(target);
    }
    return true;
}

}  // namespace tanagerpaddle
