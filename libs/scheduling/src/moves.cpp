// Groups that find no room in their partition move to one that has room.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// The room seen elsewhere is a few seconds old; more moves at once would overrun it.
constexpr std::size_t most_moves_per_tick = 8;

bool is_all_pending(const group_row& group) {
    return std::all_of(group.tasks.begin(), group.tasks.end(),
                       [](const task_record& task) { return task.state == task_state::pending; });
}

}  // namespace

std::optional<partition_number> scheduler_state::partition_with_room(
    const resources& demand, partition_number other_than) const {
    std::vector<partition_summary> candidates = summaries();
    for (const auto& remote : remote_partitions) {
        if (!owned(remote.partition)) {
            candidates.push_back(remote);
        }
    }
    std::optional<partition_number> best;
    std::int64_t most_free = -1;
    for (const auto& candidate : candidates) {
        if (candidate.partition != other_than && demand.fits_in(candidate.largest_free) &&
            candidate.free.processors.value() > most_free) {
            best = candidate.partition;
            most_free = candidate.free.processors.value();
        }
    }
    return best;
}

void scheduler_state::move_groups(partition_state& p) {
    std::vector<std::pair<std::string, partition_number>> moves;
    for (const auto& [key, group] : p.groups) {
        if (moves.size() >= most_moves_per_tick) {
            break;
        }
        if (group.unplaced_since == instant::max() || group.is_uncertain ||
            now() < group.unplaced_since + options.move_after || !is_all_pending(group.row)) {
            continue;
        }
        const auto target = partition_with_room(group.row.declaration.demand, p.number);
        if (target) {
            moves.emplace_back(key, *target);
        }
    }
    for (const auto& [key, target] : moves) {
        if (p.needs_rescan || !move_group(p, key, target)) {
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
    job_row row = decode<job_row>(stored->value);
    if (group.row.group >= row.group_partitions.size()) {
        return true;
    }
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
    const commit_attempt result = try_commit(transaction, write_class::rest, counts.move_rows);
    if (result.outcome != commit_outcome::committed) {
        settle(p, result, {{key, group.row}});
        return false;
    }
    p.groups.erase(key);
    ++counts.moves;
    note_decision(decision_kind::move, p.number, {{id, 0}, {}}, {},
                  "to partition " + std::to_string(target.value()) + ", which has room");
    if (partition_state* other = owned(target)) {
        other->groups[target_key] = {group.row, result.version, false, instant::max()};
    } else {
        changed_shards.insert(target);
    }
    return true;
}

}  // namespace tanagerpaddle
