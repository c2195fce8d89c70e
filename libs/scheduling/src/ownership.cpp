// Ownership of partitions: takeover, renewal of the horizon, release.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

scheduler_state::scheduler_state(const scheduler_options& chosen, entry_info own, table& store,
                                 const placement_strategy& placement, const clock& source,
                                 std::uint64_t seed)
    : options(chosen),
      self(std::move(own)),
      rows(store),
      strategy(placement),
      time(source),
      random(seed),
      budget(source, chosen.write_rows_per_second, chosen.write_burst_rows,
             chosen.urgent_reserve_rows),
      // Two thirds, so that task completions can be recorded during mass cancellations.
      deferrable_budget(source, chosen.write_rows_per_second * 2 / 3,
                        chosen.write_burst_rows * 2 / 3, 0),
      live_entries{self},
      drain_refilled_at(source.now()) {
    check_invariant(chosen.partition_count > 0, "partition_count is 0; expected at least 1");
}

milliseconds scheduler_state::with_margin(milliseconds duration) const {
    const double extended =
        static_cast<double>(duration.count()) * (1.0 + options.clock_rate_margin);
    return milliseconds(static_cast<std::int64_t>(extended) + 1);
}

partition_state* scheduler_state::owned(partition_number number) {
    const auto found = partitions.find(number);
    return found == partitions.end() ? nullptr : &found->second;
}

const partition_state* scheduler_state::owned(partition_number number) const {
    const auto found = partitions.find(number);
    return found == partitions.end() ? nullptr : &found->second;
}

const entry_info* scheduler_state::live_entry(const entry_id& id) const {
    const auto found = std::find_if(live_entries.begin(), live_entries.end(),
                                    [&](const entry_info& entry) { return entry.id == id; });
    return found == live_entries.end() ? nullptr : &*found;
}

entry_id scheduler_state::desired_owner(partition_number number) const {
    const std::string key = partition_key(number);
    const auto best = std::max_element(
        live_entries.begin(), live_entries.end(), [&](const entry_info& a, const entry_info& b) {
            return rendezvous_weight(a.id.value(), key) < rendezvous_weight(b.id.value(), key);
        });
    return best == live_entries.end() ? self.id : best->id;
}

void scheduler_state::update_ownership() {
    renew_horizons();
    if (now() < observed_at + options.ownership_interval) {
        return;
    }
    observe_partitions();
    if (is_releasing) {
        return;
    }
    for (std::uint32_t i = 0; i < options.partition_count; ++i) {
        const partition_number number(i);
        if (!owned(number) && desired_owner(number) == self.id &&
            should_take_over(observed[number])) {
            take_over(number);
        }
    }
    release_one();
}

void scheduler_state::renew_horizons() {
    const instant sent_at = now();
    std::vector<partition_state*> due;
    for (auto& [number, p] : partitions) {
        if (!p.needs_rescan &&
            p.horizon_end - sent_at <= options.horizon - options.horizon_renewal) {
            due.push_back(&p);
        }
    }
    if (due.empty()) {
        return;
    }
    table_transaction transaction;
    for (const auto* p : due) {
        add_owner_condition(*p, transaction);
        transaction.puts.push_back(
            {partition_key(p->number), encode(partition_row{self.id, self.incarnation, p->epoch,
                                                            options.horizon.count(), false})});
    }
    const commit_attempt result =
        try_commit(transaction, write_class::urgent, counts.partition_rows);
    for (auto* p : due) {
        if (result.outcome == commit_outcome::committed) {
            p->version = result.version;
            p->horizon_end = sent_at + options.horizon;
        } else if (result.outcome != commit_outcome::over_budget &&
                   result.outcome != commit_outcome::failed) {
            p->needs_rescan = true;
        }
    }
}

void scheduler_state::observe_partitions() {
    std::vector<table_row> found;
    try {
        found = scan_all(rows, "partition/");
        is_store_failing = false;
    } catch (const error&) {
        record_store_failure();
        return;
    }
    observed_at = now();
    std::map<std::string, const table_row*> by_key;
    for (const auto& row : found) {
        by_key.emplace(row.key, &row);
    }
    for (std::uint32_t i = 0; i < options.partition_count; ++i) {
        const partition_number number(i);
        const auto row = by_key.find(partition_key(number));
        observe_partition(number, row == by_key.end() ? nullptr : row->second);
    }
}

void scheduler_state::observe_partition(partition_number number, const table_row* stored) {
    observed_partition& seen = observed[number];
    const row_version read = stored ? stored->version : row_version();
    if (read != seen.version) {
        if (seen.version != row_version()) {
            seen.changed_at = observed_at;
        }
        seen.version = read;
        seen.first_seen_at = observed_at;
        try {
            // A row that is gone names no owner; the last known epoch and horizon still count.
            seen.row = stored ? read_partition_row(*stored)
                              : partition_row{{}, {}, seen.row.epoch, seen.row.horizon_ms, false};
        } catch (const error& failure) {
            record_unreadable(number, *stored, failure);
            seen.row = replacement_of(seen.row, read);
        }
    }
    const partition_state* p = owned(number);
    const bool is_ours = seen.row.owner == self.id && seen.row.incarnation == self.incarnation &&
                         p && seen.row.epoch == p->epoch;
    if (p && !is_ours && options.mechanisms.condition_on_epoch &&
        options.mechanisms.require_committed_takeover) {
        drop_partition(number, "another entry took over the partition");
    }
}

// What stands for a row that cannot be read: no owner, and an epoch that is at least the one that
// the row had before. Each change of owner writes the row once, so that its version is higher than
// any epoch of the rows before it.
partition_row scheduler_state::replacement_of(const partition_row& last, row_version read) const {
    const epoch_number by_version(read.value() - 1);
    return {{},
            {},
            std::max(last.epoch, by_version),
            std::max(last.horizon_ms, options.horizon.count()),
            false};
}

bool scheduler_state::should_take_over(const observed_partition& seen) const {
    if (observed_at == instant::min()) {
        // The owners are unknown until the partition rows have been read once.
        return !options.mechanisms.require_committed_takeover;
    }
    if (seen.version == row_version() || seen.row.is_released || seen.row.owner == self.id) {
        return true;
    }
    const entry_info* owner = live_entry(seen.row.owner);
    if (!owner || owner->incarnation != seen.row.incarnation) {
        // After a pause of this process the list of live entries is outdated, so an owner that has
        // written since the list was set counts as live. A live owner writes once per renewal
        // interval.
        return seen.changed_at <= live_entries_set_at ||
               now() >= seen.changed_at + options.horizon_renewal * 3 / 2;
    }
    // A live owner that no longer renews its horizon cannot release the partition.
    return now() >
           seen.first_seen_at + with_margin(milliseconds(seen.row.horizon_ms)) + options.horizon;
}

void scheduler_state::take_over(partition_number number) {
    const observed_partition& seen = observed[number];
    const partition_row row{self.id, self.incarnation, seen.row.epoch.next(),
                            options.horizon.count(), false};
    table_transaction transaction;
    transaction.conditions.push_back({partition_key(number), seen.version});
    transaction.puts.push_back({partition_key(number), encode(row)});
    const instant sent_at = now();
    instant reclaim_from = sent_at;
    if (seen.version != row_version() || seen.row.horizon_ms > 0) {
        reclaim_from += with_margin(milliseconds(seen.row.horizon_ms));
    }
    // This entry granted no lease after its own takeover with unknown outcome, so the previous
    // owner's horizon applies.
    const auto unresolved = unresolved_takeovers.find(number);
    if (unresolved != unresolved_takeovers.end() && seen.row.owner == self.id &&
        seen.row.incarnation == self.incarnation) {
        reclaim_from = unresolved->second;
    }
    const commit_attempt result =
        try_commit(transaction, write_class::urgent, counts.partition_rows);
    if (result.outcome == commit_outcome::unknown) {
        unresolved_takeovers[number] = reclaim_from;
    }
    const bool is_taken_over = result.outcome == commit_outcome::committed ||
                               (!options.mechanisms.require_committed_takeover &&
                                result.outcome != commit_outcome::conflict);
    if (is_taken_over) {
        become_owner(number, row, result.version, sent_at,
                     options.mechanisms.wait_for_horizon ? reclaim_from : sent_at);
    }
}

void scheduler_state::become_owner(partition_number number, const partition_row& row,
                                   row_version written, instant sent_at, instant reclaim_from) {
    unresolved_takeovers.erase(number);
    observed[number] = {row, written, sent_at, instant::min()};
    partition_state p;
    p.number = number;
    p.version = written;
    p.epoch = row.epoch;
    p.acquired_at = sent_at;
    p.horizon_end = sent_at + options.horizon;
    p.reclaim_from = reclaim_from;
    partitions[number] = std::move(p);
    ++counts.takeovers;
    record_decision(decision_kind::takeover, number, {}, {},
                    "epoch " + std::to_string(row.epoch.value()));
    for (const auto& [worker, control] : known_workers) {
        if (partition_of(worker.value(), options.partition_count) == number) {
            pending_inventory_queries.push_back({{worker, control}, row.epoch});
        }
    }
    submitted_declared_jobs.clear();
}

bool scheduler_state::release(partition_state& p) {
    const instant sent_at = now();
    // The next owner waits for unreachable workers only until the last lease has expired.
    instant last_lease = std::max(sent_at, p.reclaim_from);
    for (const auto& [id, worker] : p.workers) {
        last_lease = std::max({last_lease, worker.lease_until, worker.earlier_lease_until});
    }
    const auto remaining = std::chrono::ceil<milliseconds>(last_lease - sent_at);
    table_transaction transaction;
    transaction.conditions.push_back({partition_key(p.number), p.version});
    const partition_row row{self.id, self.incarnation, p.epoch, remaining.count(), true};
    transaction.puts.push_back({partition_key(p.number), encode(row)});
    const commit_attempt result =
        try_commit(transaction, write_class::urgent, counts.partition_rows);
    if (result.outcome != commit_outcome::committed) {
        p.needs_rescan = p.needs_rescan || result.outcome != commit_outcome::over_budget;
        p.is_release_unresolved =
            p.is_release_unresolved || result.outcome == commit_outcome::unknown;
        return false;
    }
    record_release(p.number, row, result.version);
    return true;
}

void scheduler_state::resolve_release(partition_state& p, const partition_row& stored) {
    const partition_number number = p.number;
    if (stored.is_released) {
        record_release(number, stored, p.version);
        partitions.erase(number);
    } else if (release(p)) {
        partitions.erase(number);
    }
}

void scheduler_state::record_release(partition_number number, const partition_row& row,
                                     row_version version) {
    observed[number] = {row, version, now(), instant::min()};
    ++counts.releases;
    record_decision(decision_kind::release, number, {}, {}, "another entry should own it");
}

void scheduler_state::release_one() {
    if (now() < last_release_at + options.ownership_interval) {
        return;
    }
    for (auto& [number, p] : partitions) {
        if (desired_owner(number) != self.id && !p.needs_rescan) {
            last_release_at = now();
            const partition_number released = number;
            if (release(p)) {
                partitions.erase(released);
            }
            return;
        }
    }
}

void scheduler_state::drop_partition(partition_number number, const std::string& cause) {
    record_decision(decision_kind::ownership_lost, number, {}, {}, cause);
    partitions.erase(number);
}

}  // namespace tanagerpaddle
