#pragma once

// State of entry_scheduler. Its member functions are grouped by purpose in the source files.

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

// A worker that has synced with this owner in the current epoch.
struct worker_record {
    incarnation_number incarnation;
    std::uint64_t sequence = 0;
    endpoint control;
    endpoint runtime;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    resources free;
    bool is_leaving = false;
    // The epoch that the agent had accepted when it sent the last request.
    epoch_number epoch;
    instant last_sync_at;
    // No lease granted in this epoch ends later.
    instant lease_until;
    // The same for leases of earlier incarnations of the agent.
    instant earlier_lease_until;
    // The tasks of the last request.
    std::map<task_attempt, held_task> held;
    // The attempts of these tasks and of the request's reports.
    std::set<task_attempt> reported;
    // No new claims before this time.
    instant excluded_until;
    std::uint32_t consecutive_failures = 0;
    // When the runtime was first and last queried since the agent became unreachable.
    std::optional<instant> first_runtime_query_at;
    instant last_runtime_query_at;
    bool has_runtime_replied = false;
};

// A claim of this epoch. Kept until the attempt has ended.
struct claim_record {
    worker_id worker;
    // Taken before the claim transaction was sent.
    instant sent_at;
    bool is_permit_sent = false;
    bool was_reported = false;
    incarnation_number permit_incarnation;
    std::uint64_t permit_sequence = 0;
};

// State of a task that is not in its row; lost with a change of owner.
struct transient_task_state {
    attempt_number attempt;
    std::string checkpoint;
    double progress = 0;
    // How long the attempt has run, as last reported.
    milliseconds run_time{0};
    std::set<worker_id> excluded_workers;
    instant retry_at;
};

struct group_state {
    group_row row;
    row_version version;
    // The outcome of a commit that wrote this group is unknown.
    bool is_commit_unresolved = false;
    // Since when no task of the group could be placed; max if not applicable.
    instant unplaced_since = instant::max();
    // Why the last plan did not place a task of the group.
    std::optional<unplaced_reason> reason;
};

struct received_report {
    worker_id worker;
    task_report report;
};

struct partition_state {
    partition_number number;
    row_version version;
    epoch_number epoch;
    instant acquired_at;
    // No lease ends later. Counted from before the write of the row was sent.
    instant horizon_end;
    // All leases of earlier epochs have expired by this time.
    instant reclaim_from;
    instant scanned_at;
    // False until the shard has been read for the first time.
    bool is_loaded = false;
    // The view may differ from the table: no decisions until the shard has been read again.
    bool needs_rescan = true;
    // A release may have taken effect or may still do so: no leases are granted.
    bool is_release_unresolved = false;
    // Another entry changed the shard; the view is incomplete but safe to decide on.
    bool is_stale = false;
    std::map<std::string, group_state> groups;
    // Rows that cannot be decoded, by version: their tasks run on, and nothing of them is decided.
    std::map<std::string, row_version> unreadable_groups;
    std::map<worker_id, worker_record> workers;
    std::map<task_attempt, claim_record> claims;
    std::map<task_key, transient_task_state> transient_states;
    std::set<task_attempt> evictions;
    std::map<std::pair<task_attempt, report_kind>, received_report> reports;
};

// A partition row as last read.
struct observed_partition {
    partition_row row;
    row_version version;
    // When this version was first read.
    instant first_seen_at;
    // When a change by another entry was read, which shows that its owner was alive.
    instant changed_at = instant::min();
};

struct cached_domain {
    bool is_drained = false;
    row_version version;
};

// Order of preference for the write budget: claims of urgent jobs and partition rows; records of
// task changes; all other writes.
enum class write_class : std::uint8_t { urgent, task_update, deferrable };

enum class commit_outcome : std::uint8_t { committed, conflict, unknown, failed, over_budget };

struct commit_attempt {
    commit_outcome outcome = commit_outcome::failed;
    row_version version;
    std::vector<std::string> conflicts;
};

// Modified copies of group rows, by key, to be written together.
using group_edits = std::map<std::string, group_row>;

class scheduler_state {
public:
    scheduler_state(const scheduler_options& chosen, entry_info own, table& store,
                    const placement_strategy& placement, const clock& source, std::uint64_t seed);

    // --- commits.cpp
    [[nodiscard]] commit_attempt try_commit(const table_transaction& transaction,
                                            write_class priority, std::uint64_t& row_counter);
    void add_owner_condition(const partition_state& p, table_transaction& transaction) const;
    // Writes the edited groups in transactions of limited size; ended groups go into job rows.
    void commit_edits(partition_state& p, const group_edits& edits);
    // Updates the partition's state with the outcome of a transaction.
    void apply_outcome(partition_state& p, const commit_attempt& result,
                       const group_edits& written);
    // Adds the job's new counts and state to the transaction; false if the job row cannot be read.
    [[nodiscard]] bool add_ended_groups(table_transaction& transaction,
                                        const std::vector<const group_row*>& ended);
    [[nodiscard]] bool rescan(partition_state& p);
    // Returns false while a write of unknown outcome may still change groups of `found`.
    [[nodiscard]] bool invalidate_unresolved_write(partition_state& p,
                                                   const std::vector<table_row>& found);
    void replace_groups(partition_state& p, const std::vector<table_row>& found);
    // As table::read(); records failures of the table.
    [[nodiscard]] std::optional<table_row> read_row(const std::string& key);
    void record_store_failure();
    void record_decision(decision_kind kind, partition_number partition, const task_attempt& task,
                         const worker_id& worker, std::string cause);

    // --- stored_rows.cpp
    // The row of a partition; one without an owner if it cannot be read, which is recorded.
    [[nodiscard]] partition_row stored_owner(partition_number number, const table_row& stored);
    // Nothing if the row cannot be read, which is recorded.
    [[nodiscard]] std::optional<job_row> read_job_row(const table_row& stored);
    // Records a decision for each version of a row that cannot be read.
    void record_unreadable(partition_number partition, const table_row& stored,
                           const error& failure);

    // --- ownership.cpp
    void update_ownership();
    void renew_horizons();
    void observe_partitions();
    void observe_partition(partition_number number, const table_row* stored);
    [[nodiscard]] partition_row replacement_of(const partition_row& last, row_version read) const;
    [[nodiscard]] bool should_take_over(const observed_partition& seen) const;
    void take_over(partition_number number);
    void become_owner(partition_number number, const partition_row& row, row_version version,
                      instant sent_at, instant reclaim_from);
    [[nodiscard]] bool release(partition_state& p);
    // Repeats a release of unknown outcome unless `stored` shows that it has taken effect. Erases
    // the partition once it is released.
    void resolve_release(partition_state& p, const partition_row& stored);
    void record_release(partition_number number, const partition_row& row, row_version version);
    void release_one();
    void drop_partition(partition_number number, const std::string& cause);
    [[nodiscard]] const entry_info* live_entry(const entry_id& id) const;
    [[nodiscard]] entry_id desired_owner(partition_number number) const;

    // --- sync.cpp
    [[nodiscard]] sync_reply sync(const sync_request& request);
    [[nodiscard]] sync_reply redirect_reply(partition_number number, sync_reply reply) const;
    [[nodiscard]] bool record_worker(partition_state& p, const sync_request& request);
    void add_task_orders(partition_state& p, const sync_request& request, sync_reply& reply);
    void add_permits(partition_state& p, const sync_request& request, sync_reply& reply);
    [[nodiscard]] bool is_recorded(const partition_state& p, const task_report& report) const;

    // --- records.cpp
    void record_changes(partition_state& p);
    // True if the report changes its task: the attempt is current and has not ended.
    [[nodiscard]] bool has_effect(const partition_state& p, const received_report& received) const;
    void apply_report(partition_state& p, const received_report& received, group_edits& edits);
    void apply_eviction(partition_state& p, const received_report& received, task_record& record,
                        const group_row& group);
    void apply_failure(partition_state& p, const worker_id& worker, const task_report& report,
                       task_record& record, const group_row& group);
    void reclaim_tasks(partition_state& p, group_edits& edits);
    void reclaim(partition_state& p, const task_attempt& attempt, task_record& record,
                 const job_declaration& job, bool may_have_started, const std::string& cause);
    void finish_expired_holds(partition_state& p, group_edits& edits);
    // True while the runtime of an unreachable worker may still report the outcome of its tasks.
    [[nodiscard]] bool awaits_runtime_reply(partition_state& p, const worker_id& worker);
    void apply_runtime_tasks(const worker_id& worker, const std::vector<runtime_task>& tasks);
    [[nodiscard]] bool has_lease_expired(const partition_state& p, const worker_id& worker) const;
    [[nodiscard]] bool is_no_longer_held(const partition_state& p, const task_attempt& attempt,
                                         const task_record& record) const;
    [[nodiscard]] instant permit_end(const partition_state& p, const task_attempt& attempt) const;
    void wake(const partition_state& p, const worker_id& worker);

    // --- worker_crashes.cpp
    // True if the attempt is known to have run for longer than the crash window.
    [[nodiscard]] bool has_outlived_start(const partition_state& p,
                                          const task_attempt& attempt) const;
    // The task's worker is gone. False if the task is given up.
    [[nodiscard]] bool count_crash(partition_state& p, const task_attempt& attempt,
                                   task_record& record);
    void clear_outlived_crashes(partition_state& p, group_edits& edits);
    [[nodiscard]] bool is_suspect(const partition_state& p, const task_key& task) const;
    // Workers with a task that has not outlived its start, and those where it is a suspect.
    struct start_risks {
        std::set<worker_id> with_recent_start;
        std::set<worker_id> with_suspect;
    };
    [[nodiscard]] start_risks recent_starts(const partition_state& p) const;
    // Places the suspects and removes them and their workers from the input.
    [[nodiscard]] placement_plan plan_suspects(const partition_state& p, placement_input& input);

    // --- claims.cpp
    void plan_claims(partition_state& p);
    [[nodiscard]] std::vector<worker_view> worker_views(const partition_state& p) const;
    [[nodiscard]] std::vector<pending_task> pending_tasks(partition_state& p) const;
    [[nodiscard]] std::vector<team_share> team_shares() const;
    void record_unplaced(partition_state& p, const placement_plan& plan);
    void commit_claims(partition_state& p, const std::vector<placed_task>& placed,
                       write_class priority);
    [[nodiscard]] bool is_drained(const failure_domain_id& domain) const;

    // --- drains.cpp
    void order_drain_evictions();
    void remove_completed_evictions(partition_state& p);

    // --- moves.cpp
    void move_groups(partition_state& p);
    // All partitions except `p` that have workers, those with the most free processors first.
    [[nodiscard]] std::vector<partition_summary> other_partitions(const partition_state& p) const;
    [[nodiscard]] bool move_group(partition_state& p, const std::string& key,
                                  partition_number target);

    // --- submission.cpp
    [[nodiscard]] submit_result submit(const job_declaration& job, bool is_declared);
    [[nodiscard]] std::vector<partition_number> partitions_for(const job_declaration& job) const;
    [[nodiscard]] bool has_known_workers() const;
    [[nodiscard]] bool fits_any_worker(const job_declaration& job, resources& largest) const;
    [[nodiscard]] submit_result commit_submission(const job_row& row, const group_edits& groups);
    [[nodiscard]] submit_result existing_job(const job_declaration& job);
    void apply_submission(const group_edits& groups, const std::vector<partition_number>& shards,
                          row_version written);
    void submit_declared_jobs();

    // --- cancellation.cpp
    [[nodiscard]] std::vector<cancel_result> cancel_many(const std::vector<job_id>& ids);
    [[nodiscard]] bool prepare_cancel(const job_id& id, table_transaction& transaction,
                                      std::vector<partition_number>& shards, cancel_result& result);
    void commit_cancels(const std::vector<job_id>& ids, std::size_t first, std::size_t last,
                        std::vector<cancel_result>& results);
    [[nodiscard]] cancel_result cancel_one(const job_id& id);
    void remove_cancelled_groups(const std::vector<std::string>& keys,
                                 const std::vector<partition_number>& shards);
    void cancel_removed_jobs();

    // --- explain.cpp
    [[nodiscard]] job_row read_job(const job_id& id);
    [[nodiscard]] job_status status(const job_id& id);
    [[nodiscard]] std::vector<task_explanation> explain(const job_id& id);
    void explain_task(const partition_state& p, const group_state& group, const task_record& record,
                      task_explanation& answer) const;
    [[nodiscard]] std::vector<partition_summary> summaries() const;
    [[nodiscard]] std::vector<team_usage> usage() const;

    // --- entry_scheduler.cpp
    void run_tick();
    // Does all due work for an owned partition; ownership may be lost in the process.
    void run_partition(partition_number number);
    // Reads the rows of the workers' failure domains that are not cached.
    void read_domains();
    [[nodiscard]] partition_state* owned(partition_number number);
    [[nodiscard]] const partition_state* owned(partition_number number) const;
    [[nodiscard]] static const task_record* find_task(const partition_state& p,
                                                      const task_key& task);
    // The task's record in the edits, copied there by the first call; nullptr if there is none.
    [[nodiscard]] static task_record* edit_task(const partition_state& p, const task_key& task,
                                                group_edits& edits);
    [[nodiscard]] static bool is_group_unreadable(const partition_state& p, const task_key& task);
    [[nodiscard]] static const group_state* find_group(const partition_state& p,
                                                       const task_key& task);
    // The longest time that `duration` on another instance's clock may take on this one's.
    [[nodiscard]] milliseconds with_margin(milliseconds duration) const;
    [[nodiscard]] instant now() const { return time.now(); }

    scheduler_options options;
    entry_info self;
    table& rows;
    const placement_strategy& strategy;
    const clock& time;
    random_source random;
    write_budget budget;
    // Keeps deferrable writes from using up the whole budget.
    write_budget deferrable_budget;
    declared_run_time_estimator default_estimator;
    run_time_estimator* estimator = &default_estimator;

    std::shared_ptr<const configuration> current_configuration;
    config_version configuration_version;
    std::vector<entry_info> live_entries;
    instant live_entries_set_at = instant::min();
    std::vector<partition_summary> remote_partitions;
    std::vector<team_usage> remote_usage;
    std::map<worker_id, endpoint> known_workers;

    std::map<partition_number, partition_state> partitions;
    std::map<partition_number, observed_partition> observed;
    // For takeovers with unknown outcome: when tasks of the previous owner may be reclaimed.
    std::map<partition_number, instant> unresolved_takeovers;
    instant observed_at = instant::min();
    instant last_release_at = instant::min();
    bool is_releasing = false;
    // The last claims exceeded the write budget.
    bool were_claims_over_budget = false;
    bool is_store_failing = false;
    // While the table fails, each tick makes at most one call, so that it does not wait for many.
    instant store_retry_at = instant::min();

    // The last version of each row that was recorded as unreadable.
    std::map<std::string, row_version> unreadable_rows;
    std::map<failure_domain_id, cached_domain> domains;
    double drain_tokens = 1;
    instant drain_refilled_at;
    std::set<job_id> submitted_declared_jobs;
    bool check_removed_jobs = false;
    std::deque<job_id> removed_jobs;

    std::map<worker_id, endpoint> pending_wakes;
    std::vector<inventory_query> pending_inventory_queries;
    std::map<worker_id, endpoint> pending_runtime_queries;
    std::set<partition_number> changed_shards;
    scheduler_counters counts;
    std::deque<decision> decisions;
};

// Unreadable rows that are recorded once only; beyond it they are recorded again.
inline constexpr std::size_t max_remembered_unreadable_rows = 10'000;

// Both throw error(malformed_request) if the row cannot be read, contradicts its key or holds
// amounts or times beyond the limits of configurations.
[[nodiscard]] partition_row read_partition_row(const table_row& stored);
[[nodiscard]] group_row read_group_row(partition_number partition, const table_row& stored);
// Throws error(malformed_request) if the worker has no id or names amounts beyond the limits.
void check_sync(const sync_request& request);
// True if demand and run time are within the limits of configurations.
[[nodiscard]] bool has_sound_size(const job_declaration& job);
// The nearest value from 0 to 1.
[[nodiscard]] double sound_progress(double reported);
// The nearest value from 0 to the longest run time of a configuration.
[[nodiscard]] milliseconds sound_run_time(std::int64_t reported_ms);

// True for claimed, running and evicting: the attempt uses resources of its worker.
[[nodiscard]] constexpr bool is_active(task_state state) noexcept {
    return state == task_state::claimed || state == task_state::running ||
           state == task_state::evicting;
}

}  // namespace tanagerpaddle
