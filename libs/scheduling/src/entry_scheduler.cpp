#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

// --- scheduler_state: functions shared by its source files

const group_state* scheduler_state::find_group(const partition_state& p, const task_key& task) {
    const auto found = p.groups.find(group_key(p.number, task.job, task.index / tasks_per_group));
    return found == p.groups.end() ? nullptr : &found->second;
}

bool scheduler_state::is_group_unreadable(const partition_state& p, const task_key& task) {
    return p.unreadable_groups.contains(
        group_key(p.number, task.job, task.index / tasks_per_group));
}

const task_record* scheduler_state::find_task(const partition_state& p, const task_key& task) {
    const group_state* group = find_group(p, task);
    const std::uint32_t position = task.index % tasks_per_group;
    return group && position < group->row.tasks.size() ? &group->row.tasks[position] : nullptr;
}

task_record* scheduler_state::edit_task(const partition_state& p, const task_key& task,
                                        group_edits& edits) {
    const std::string key = group_key(p.number, task.job, task.index / tasks_per_group);
    const auto group = p.groups.find(key);
    if (group == p.groups.end()) {
        return nullptr;
    }
    group_row& row = edits.try_emplace(key, group->second.row).first->second;
    const std::uint32_t position = task.index % tasks_per_group;
    return position < row.tasks.size() ? &row.tasks[position] : nullptr;
}

// --- entry_scheduler

entry_scheduler::entry_scheduler(const scheduler_options& options, entry_info self, table& rows,
                                 const placement_strategy& strategy, const clock& time,
                                 std::uint64_t seed)
    : state_(std::make_unique<scheduler_state>(options, std::move(self), rows, strategy, time,
                                               seed)) {}

entry_scheduler::~entry_scheduler() = default;

void entry_scheduler::set_configuration(std::shared_ptr<const configuration> declared,
                                        config_version version) {
    if (!declared || version <= state_->configuration_version) {
        return;
    }
    // Workers whose domain's drain has changed fetch the configuration at once.
    for (const auto& [number, p] : state_->partitions) {
        for (const auto& [id, worker] : p.workers) {
            if (declared->is_drained(worker.domain) != state_->is_drained(worker.domain)) {
                state_->pending_wakes[id] = worker.control;
            }
        }
    }
    state_->current_configuration = std::move(declared);
    state_->configuration_version = version;
    state_->domains.clear();
    state_->submitted_declared_jobs.clear();
    state_->check_removed_jobs = true;
}

config_version entry_scheduler::configured_version() const noexcept {
    return state_->configuration_version;
}

void entry_scheduler::set_live_entries(std::vector<entry_info> entries) {
    const bool has_self = std::any_of(entries.begin(), entries.end(), [&](const entry_info& entry) {
        return entry.id == state_->self.id;
    });
    if (!has_self) {
        entries.push_back(state_->self);
    }
    state_->live_entries = std::move(entries);
    state_->live_entries_set_at = state_->now();
}

void entry_scheduler::set_remote_partitions(std::vector<partition_summary> partitions,
                                            std::vector<team_usage> usage) {
    state_->remote_partitions = std::move(partitions);
    state_->remote_usage = std::move(usage);
}

void entry_scheduler::set_known_workers(const std::vector<agent_endpoint>& workers) {
    state_->known_workers.clear();
    for (const auto& worker : workers) {
        state_->known_workers[worker.worker] = worker.control;
    }
}

void entry_scheduler::set_runtime_tasks(const worker_id& worker,
                                        const std::vector<runtime_task>& tasks) {
    state_->apply_runtime_tasks(worker, tasks);
}

void entry_scheduler::set_estimator(run_time_estimator& estimator) {
    state_->estimator = &estimator;
}

tick_result entry_scheduler::tick() {
    scheduler_state& state = *state_;
    state.run_tick();
    tick_result result;
    for (auto& [worker, control] : std::exchange(state.pending_wakes, {})) {
        result.agents_to_wake.push_back({worker, control});
    }
    result.inventory_queries = std::exchange(state.pending_inventory_queries, {});
    for (auto& [worker, runtime] : std::exchange(state.pending_runtime_queries, {})) {
        result.runtime_queries.push_back({worker, runtime});
    }
    const auto changed = std::exchange(state.changed_shards, {});
    result.changed_shards.assign(changed.begin(), changed.end());
    return result;
}

void scheduler_state::run_tick() {
    if (is_store_failing && now() < store_retry_at) {
        return;
    }
    update_ownership();
    read_domains();
    for (std::uint32_t i = 0; i < options.partition_count; ++i) {
        if (is_store_failing && now() < store_retry_at) {
            return;
        }
        run_partition(partition_number(i));
    }
    order_drain_evictions();
    if (!is_releasing) {
        cancel_removed_jobs();
        submit_declared_jobs();
    }
}

void scheduler_state::run_partition(partition_number number) {
    partition_state* p = owned(number);
    if (!p) {
        return;
    }
    // Change notices of a burst of submissions share one scan. The delay must stay well below the
    // 3 s within which urgent jobs start.
    constexpr milliseconds stale_scan_delay{500};
    if (now() >= p->scanned_at + options.shard_rescan_interval ||
        (p->is_stale && now() >= p->scanned_at + stale_scan_delay)) {
        p->needs_rescan = true;
    }
    if (p->needs_rescan && !rescan(*p)) {
        return;
    }
    // Past the horizon another entry may schedule these tasks, and the epoch condition rejects
    // writes. No decisions until the horizon has been renewed.
    if (options.mechanisms.condition_on_epoch && now() >= p->horizon_end) {
        return;
    }
    record_changes(*p);
    plan_claims(*p);
    move_groups(*p);
    // A commit with unknown outcome is read back at once, while its permits are still valid.
    if (p->needs_rescan) {
        static_cast<void>(rescan(*p));
    }
}

void scheduler_state::read_domains() {
    std::set<failure_domain_id> unreadable;
    for (const auto& [number, p] : partitions) {
        for (const auto& [id, worker] : p.workers) {
            if (domains.contains(worker.domain) || unreadable.contains(worker.domain)) {
                continue;
            }
            std::optional<table_row> row;
            try {
                row = read_row(domain_key(worker.domain));
            } catch (const error&) {
                return;
            }
            try {
                domains[worker.domain] =
                    row ? cached_domain{decode<domain_row>(row->value).is_drained, row->version}
                        : cached_domain{};
            } catch (const error& failure) {
                // No claim in this domain until its row can be read; it may be drained.
                unreadable.insert(worker.domain);
                record_unreadable(number, *row, failure);
            }
        }
    }
}

sync_reply entry_scheduler::sync(const sync_request& request) {
    return state_->sync(request);
}

submit_result entry_scheduler::submit(const job_declaration& job, bool is_declared) {
    return state_->submit(job, is_declared);
}

cancel_result entry_scheduler::cancel(const job_id& id) {
    return state_->cancel_one(id);
}

std::vector<cancel_result> entry_scheduler::cancel_many(const std::vector<job_id>& ids) {
    return state_->cancel_many(ids);
}

job_status entry_scheduler::status(const job_id& id) {
    return state_->status(id);
}

std::vector<job_row> entry_scheduler::list_jobs(const job_id& after, std::size_t limit) {
    std::vector<job_row> jobs;
    std::string start = after.empty() ? std::string() : job_key(after);
    // A shorter page is the last one, so rows that are left out are made up for.
    while (jobs.size() < limit) {
        const std::size_t wanted = limit - jobs.size();
        const auto page = state_->rows.scan("job/", start, wanted);
        for (const auto& row : page) {
            start = row.key;
            if (auto job = state_->read_job_row(row)) {
                jobs.push_back(*std::move(job));
            }
        }
        if (page.size() < wanted) {
            break;
        }
    }
    return jobs;
}

std::vector<task_explanation> entry_scheduler::explain(const job_id& id) {
    return state_->explain(id);
}

void entry_scheduler::mark_shard_changed(partition_number partition) {
    if (partition_state* p = state_->owned(partition)) {
        p->is_stale = true;
    }
}

bool entry_scheduler::release_all() {
    state_->is_releasing = true;
    std::vector<partition_number> released;
    for (auto& [number, p] : state_->partitions) {
        if (state_->release(p)) {
            released.push_back(number);
        }
    }
    for (const auto number : released) {
        state_->partitions.erase(number);
    }
    return state_->partitions.empty();
}

std::vector<partition_summary> entry_scheduler::partitions() const {
    return state_->summaries();
}

std::vector<team_usage> entry_scheduler::usage() const {
    return state_->usage();
}

bool entry_scheduler::owns(partition_number partition) const {
    return state_->owned(partition) != nullptr;
}

const scheduler_counters& entry_scheduler::counters() const noexcept {
    return state_->counts;
}

std::vector<decision> entry_scheduler::recent_decisions() const {
    return {state_->decisions.begin(), state_->decisions.end()};
}

}  // namespace tanagerpaddle
