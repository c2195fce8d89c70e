#pragma once

// Scheduling decisions. entry_scheduler: ownership of partitions, claims, leases and the life
// cycle of jobs. agent_tasks: the life cycle of the tasks on one instance. Both read the time from
// the clock passed in; their daemon calls them under one lock.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/ledger.hpp"
#include "tanagerpaddle/placement.hpp"
#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// Entry: options

// Switches for the mechanisms that uphold the invariants. All are on in production; tests switch
// one off to show that its invariant fails without it.
struct scheduler_mechanisms {
    // Permits expire one permit window after their claim was sent.
    bool check_permit_window = true;
    // Writes of an owner are conditional on its partition row.
    bool condition_on_epoch = true;
    // Claims are conditional on the rows of the failure domains.
    bool condition_on_domain = true;
    // A new owner reclaims tasks of unreachable workers only after the previous owner's horizon.
    bool wait_for_horizon = true;
    // Resources of claimed tasks that the worker has not started count as used.
    bool reserve_claimed_amounts = true;
    // Reports take effect only for the current attempt.
    bool check_report_attempt = true;
    // The outcome of a commit without a reply is read back from the table, not taken as a failure.
    bool resolve_unknown_commits = true;
    // A claim whose permit has expired is void only once the agent's sync or the end of its lease
    // shows that the task did not start.
    bool confirm_void_claims = true;
    // A takeover takes effect only once its write is known to be committed.
    bool require_committed_takeover = true;
    // Before the tasks of an unreachable worker are reclaimed, its runtime is queried for ended
    // ones.
    bool query_runtime_before_reclaim = true;
};

struct scheduler_options {
    // The same in all entries; at least 1.
    std::uint32_t partition_count = 4;
    // How long after a write of the partition row its owner may grant leases.
    milliseconds horizon{60'000};
    milliseconds horizon_renewal{20'000};
    milliseconds worker_lease{20'000};
    // A task may start until this long after its claim was sent; bounds starts after a drain.
    milliseconds permit_window{3'000};
    milliseconds sync_interval{2'000};
    // Upper bound of the relative difference in rate between the clocks of two instances.
    double clock_rate_margin = 0.01;
    milliseconds tick_interval{200};
    // This entry's share of the table's write rate.
    double write_rows_per_second = 300;
    double write_burst_rows = 600;
    // Part of the burst reserved for claims of urgent jobs and for writes of partition rows.
    double urgent_reserve_rows = 100;
    milliseconds shard_rescan_interval{30'000};
    // How often the partition rows are read.
    milliseconds ownership_interval{1'000};
    // Pending groups that could not be placed for this long move to a partition with capacity.
    milliseconds move_after{5'000};
    // Tasks of an unreachable worker are reclaimed without an answer of its runtime after this
    // time, which allows three calls of 1 s.
    milliseconds runtime_query_timeout{3'000};
    // A worker without a sync for this long is unreachable and gets no new claims.
    milliseconds worker_sync_timeout{6'000};
    // A task fails for good after this many failed attempts.
    std::uint32_t max_failures = 3;
    // A task fails for good after this many workers have gone away shortly after its start.
    std::uint32_t max_crashes = 5;
    // From this many on, the task starts on workers where no other task has just started, and
    // nothing starts beside it, so that only one of them is suspected of the next crash.
    std::uint32_t isolate_after_crashes = 2;
    // A task that has run for this long on a worker is not the cause if the worker goes away.
    milliseconds crash_window{10'000};
    // Delay before the first retry of a failed task; doubles with each further failure.
    milliseconds retry_backoff{1'000};
    // Consecutive task failures after which a worker gets no claims for `quarantine_period`.
    std::uint32_t quarantine_after_failures = 5;
    milliseconds quarantine_period{60'000};
    // Limit on the evictions ordered by drains of failure domains.
    double drain_evictions_per_second = 10;
    std::size_t max_starts_per_tick = 200;
    // Number of decisions kept for recent_decisions().
    std::size_t max_decisions = 1'000;
    scheduler_mechanisms mechanisms;
};

// Estimates the run time of one task of a job.
class run_time_estimator {
public:
    run_time_estimator() = default;
    run_time_estimator(const run_time_estimator&) = delete;
    run_time_estimator& operator=(const run_time_estimator&) = delete;
    virtual ~run_time_estimator() = default;

    [[nodiscard]] virtual milliseconds estimate(const job_declaration& job) const = 0;
    // Called once for each finished task, with the time that it spent running.
    virtual void observe(const job_declaration& job, milliseconds run_time) = 0;
};

// Returns the declared run time.
class declared_run_time_estimator final : public run_time_estimator {
public:
    [[nodiscard]] milliseconds estimate(const job_declaration& job) const override {
        return job.run_time;
    }
    void observe(const job_declaration&, milliseconds) override {}
};

// ---------------------------------------------------------------------------------------------
// Entry: results

// The address of a worker's agent.
struct agent_endpoint {
    worker_id worker;
    endpoint control;
};

// A query to an agent after a change of owner: the agent accepts the epoch and syncs at once.
struct inventory_query {
    agent_endpoint agent;
    epoch_number epoch;
};

// A query to the runtime of a worker whose agent is unreachable and whose lease has expired.
struct runtime_query {
    worker_id worker;
    endpoint runtime;
};

struct tick_result {
    // Agents that should sync now: call agent.wake.
    std::vector<agent_endpoint> agents_to_wake;
    // Agents to query after a takeover: call agent.inventory.
    std::vector<inventory_query> inventory_queries;
    // Runtimes to query for their tasks: pass the replies to set_runtime_tasks().
    std::vector<runtime_query> runtime_queries;
    // Partitions of other owners whose shards this entry changed: call entry.notify.
    std::vector<partition_number> changed_shards;
};

enum class runtime_task_state : std::uint8_t { running, paused, finished, failed };

// A task as listed by the worker's runtime.
struct runtime_task {
    task_attempt attempt;
    runtime_task_state state = runtime_task_state::running;
    resources demand;
    double progress = 0;
    std::string checkpoint;
    millicores used_processors;
    std::int64_t run_ms = 0;
    std::uint32_t speed_percent = 100;
};

struct submit_result {
    // ok, malformed_request, quota_unknown_team, not_ready (no worker known yet),
    // job_can_never_run, job_already_exists, overloaded (write budget), store_unavailable or
    // store_outcome_unknown.
    result_code code = result_code::ok;
    // False if the job already existed with the same declaration.
    bool is_new = false;
    // With job_can_never_run: the capacity of the largest known worker.
    resources largest_worker;
};

struct cancel_result {
    // ok (also if the job had already ended), unknown_job, overloaded (write budget, not
    // recorded), store_unavailable or store_outcome_unknown. With any code but ok the call may be
    // repeated.
    result_code code = result_code::ok;
    // The job's state before the call; active if this call cancelled it.
    job_state state = job_state::active;
};

struct job_status {
    job_row job;
    // The tasks of groups that have not ended; ended ones are counted in `job.ended_tasks`.
    // `running` means a claimed task that its worker has reported as held, `evicting` one whose
    // eviction has been ordered.
    std::vector<task_record> tasks;
};

// What a task is waiting for.
enum class wait_cause : std::uint8_t {
    nothing,
    placement,      // see unplaced_reason
    planning,       // the next plan
    retry_backoff,  // after a failure
    worker_start,   // the worker's agent to fetch the permit and start the task
    void_claim,     // the permit has expired; the agent's confirmation that it was not used
    worker_lease,   // the worker is unreachable; the end of its lease
    old_horizon,    // ownership changed; the end of the previous owner's horizon
    eviction,       // the agent to write a checkpoint
    write_budget,   // the table's write budget, which is used up
    store,          // the table, which is unavailable, or the outcome of a commit
    owner,          // unknown here: another entry owns the partition
};

[[nodiscard]] std::string_view name(wait_cause cause) noexcept;

struct task_explanation {
    task_key task;
    task_state state = task_state::pending;
    partition_number partition;
    worker_id worker;
    attempt_number attempt;
    wait_cause waits_for = wait_cause::nothing;
    std::optional<unplaced_reason> reason;
    // The owner of the partition; empty if unknown.
    entry_id owner;
    std::uint32_t failure_count = 0;
    std::uint32_t eviction_count = 0;
    std::uint32_t crash_count = 0;
};

struct scheduler_counters {
    std::uint64_t claims = 0;
    std::uint64_t starts = 0;
    std::uint64_t void_claims = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t releases = 0;
    std::uint64_t evictions = 0;
    std::uint64_t reclaims = 0;
    std::uint64_t lost_tasks = 0;
    std::uint64_t finished_tasks = 0;
    std::uint64_t failed_attempts = 0;
    std::uint64_t cancelled_jobs = 0;
    std::uint64_t moves = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t unknown_commits = 0;
    std::uint64_t store_failures = 0;
    std::uint64_t budget_refusals = 0;
    // Rows written, by kind.
    std::uint64_t claim_rows = 0;
    std::uint64_t record_rows = 0;
    std::uint64_t partition_rows = 0;
    std::uint64_t submission_rows = 0;
    std::uint64_t cancellation_rows = 0;
    std::uint64_t move_rows = 0;
};

enum class decision_kind : std::uint8_t {
    takeover,
    release,
    ownership_lost,
    claim,
    void_claim,
    reclaim,
    eviction,
    task_lost,
    task_failed,
    move,
    cancellation,
    quarantine,
    unreadable_row,
};

[[nodiscard]] std::string_view name(decision_kind kind) noexcept;

// One decision with its cause; fields that do not apply are empty.
struct decision {
    instant at;
    decision_kind kind = decision_kind::claim;
    partition_number partition;
    task_attempt task;
    worker_id worker;
    std::string cause;
};

// ---------------------------------------------------------------------------------------------
// Entry: scheduler

class scheduler_state;

// Schedules the jobs of the partitions that this entry owns. Methods call the table synchronously.
// Except where noted, no method throws when the table fails; a later tick retries the work. Not
// thread-safe. All references must outlive the object.
class entry_scheduler {
public:
    entry_scheduler(const scheduler_options& options, entry_info self, table& rows,
                    const placement_strategy& strategy, const clock& time, std::uint64_t seed);
    ~entry_scheduler();
    entry_scheduler(const entry_scheduler&) = delete;
    entry_scheduler& operator=(const entry_scheduler&) = delete;

    // Ignored if `version` is not higher than the current one.
    void set_configuration(std::shared_ptr<const configuration> declared, config_version version);
    [[nodiscard]] config_version configured_version() const noexcept;
    // Live entries; `self` is added if missing. Partitions are assigned to them by rendezvous
    // hashing.
    void set_live_entries(std::vector<entry_info> entries);
    // The partitions of other entries and their usage by team, as reported by these entries.
    void set_remote_partitions(std::vector<partition_summary> partitions,
                               std::vector<team_usage> usage);
    // Agents known from membership, so that a new owner can query them. Optional.
    void set_known_workers(const std::vector<agent_endpoint>& workers);
    // The reply to a runtime query of tick(). Tasks that have ended are recorded as such; the
    // worker's other tasks are reclaimed.
    void set_runtime_tasks(const worker_id& worker, const std::vector<runtime_task>& tasks);
    // Replaces the declared run time. The estimator must outlive the scheduler.
    void set_estimator(run_time_estimator& estimator);

    // Does all work that is due. Call it once per tick_interval.
    [[nodiscard]] tick_result tick();
    // Handles a sync of an agent. The code is not_owner, with a redirect, if another entry owns
    // or should own the partition, and not_ready if no owner is known or this one cannot grant
    // leases now.
    // Throws error(malformed_request) for a sync without a worker or with amounts beyond the limits
    // of configurations, which has no effect.
    [[nodiscard]] sync_reply sync(const sync_request& request);

    // Creates the job in any partition. `is_declared`: the job is part of the current
    // configuration.
    [[nodiscard]] submit_result submit(const job_declaration& job, bool is_declared);
    // Cancels the job in any state of its tasks. With ok the cancellation is recorded in the table;
    // running tasks are stopped with their workers' next sync.
    [[nodiscard]] cancel_result cancel(const job_id& id);
    // As cancel() for each id, in order, with several jobs per transaction.
    [[nodiscard]] std::vector<cancel_result> cancel_many(const std::vector<job_id>& ids);
    // Throws error(unknown_job) or error(store_unavailable).
    [[nodiscard]] job_status status(const job_id& id);
    // Up to `limit` jobs with ids above `after`, by id. Throws error(store_unavailable).
    [[nodiscard]] std::vector<job_row> list_jobs(const job_id& after, std::size_t limit);
    // One element for each task that has not ended. Throws as status().
    [[nodiscard]] std::vector<task_explanation> explain(const job_id& id);

    // Another entry changed the shard: a later tick reads it again.
    void mark_shard_changed(partition_number partition);
    // Releases all partitions and acquires none until the object is destroyed. False if a release
    // was not committed; other entries then take over once this one has left the live entries.
    bool release_all();

    // Summaries of the partitions owned by this entry.
    [[nodiscard]] std::vector<partition_summary> partitions() const;
    // Usage by team in these partitions.
    [[nodiscard]] std::vector<team_usage> usage() const;
    [[nodiscard]] bool owns(partition_number partition) const;
    [[nodiscard]] const scheduler_counters& counters() const noexcept;
    // The most recent decisions, oldest first.
    [[nodiscard]] std::vector<decision> recent_decisions() const;

private:
    std::unique_ptr<scheduler_state> state_;
};

// ---------------------------------------------------------------------------------------------
// Agent

// The worker's runtime. Each call throws error(connection_refused) or another "not run" code if it
// had no effect, and error(outcome_unknown) if it may have had one. The runtime itself pauses a
// task whose lease is not renewed in time.
class worker_runtime {
public:
    worker_runtime() = default;
    worker_runtime(const worker_runtime&) = delete;
    worker_runtime& operator=(const worker_runtime&) = delete;
    virtual ~worker_runtime() = default;

    [[nodiscard]] virtual std::vector<runtime_task> list() = 0;
    virtual void start(const start_permit& permit, std::int64_t lease_ms) = 0;
    // Extends the tasks' leases to `lease_ms` from now; does not resume paused tasks.
    virtual void renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) = 0;
    virtual void pause(const task_attempt& attempt) = 0;
    // Resumes a paused task with a lease of `lease_ms`.
    virtual void resume(const task_attempt& attempt, std::int64_t lease_ms) = 0;
    // Writes a checkpoint and returns its key; empty if the task cannot be checkpointed.
    virtual std::string checkpoint(const task_attempt& attempt) = 0;
    virtual void throttle(const task_attempt& attempt, std::uint32_t speed_percent) = 0;
    virtual void stop(const task_attempt& attempt) = 0;
    // Removes an ended task from list().
    virtual void forget(const task_attempt& attempt) = 0;
};

// Switches for tests, like scheduler_mechanisms.
struct agent_mechanisms {
    bool check_permit_window = true;
    bool check_epoch = true;
    bool check_ledger = true;
    bool check_attempt = true;
    // Task leases end with the worker lease at the latest; each renewal reads the clock first.
    bool check_lease = true;
    // The ledger is rebuilt from the runtime before anything is accepted.
    bool rebuild_ledger = true;
    // A task is paused and its state read again before it is reported as evicted.
    bool check_completion_before_eviction = true;
};

struct agent_options {
    // Longest interval between calls of tick(), each of which renews the task leases.
    milliseconds tick_interval{500};
    // Lease that a task gets from one renewal; shorter if the worker lease ends earlier.
    milliseconds task_lease{5'000};
    milliseconds sync_interval{2'000};
    double clock_rate_margin = 0.01;
    agent_mechanisms mechanisms;
};

struct worker_identity {
    worker_id worker;
    failure_domain_id domain;
    rack_id rack;
    endpoint control;
    // Empty if the runtime cannot be reached from other instances.
    endpoint runtime = {};
};

class agent_state;

// Manages the life cycle of the tasks on one instance. Not thread-safe. All references must outlive
// the object. Methods do not throw when the runtime fails; a later tick retries the work.
class agent_tasks {
public:
    agent_tasks(const agent_options& options, worker_identity identity, instance_ledger& ledger,
                worker_runtime& runtime, const clock& time, incarnation_number incarnation);
    ~agent_tasks();
    agent_tasks(const agent_tasks&) = delete;
    agent_tasks& operator=(const agent_tasks&) = delete;

    // Rebuilds the ledger from the runtime's tasks; a task that does not fit is evicted. Call it
    // until it returns true; before that next_sync_request() throws and on_reply() has no effect.
    bool recover();
    [[nodiscard]] bool is_recovered() const noexcept;

    // The next request, with a new sequence number. Its send time is recorded as now, so the caller
    // sends it at once, with at most one request in flight. Throws error(not_ready) before
    // recover().
    [[nodiscard]] sync_request next_sync_request();
    // Handles the reply to the request with that sequence number. A reply to any but the last
    // request has no effect, one with an epoch lower than the accepted one changes no task, and
    // an expired permit is refused.
    void on_reply(const sync_reply& reply, std::uint64_t sequence);
    // When the next sync is due; an agent that is woken syncs at once.
    [[nodiscard]] deadline next_sync_at() const noexcept;
    // True if there are reports that no request has carried yet: sync before next_sync_at().
    [[nodiscard]] bool has_unsent_reports() const noexcept;

    // Polls the runtime, renews the task leases and pauses tasks whose lease has expired.
    void tick();
    // Handles the inventory query of a new owner. True if the epoch is accepted; lower ones are
    // refused from then on, and the caller syncs with the new owner.
    [[nodiscard]] bool accept_inventory(epoch_number epoch);

    // The targets on this instance; the amounts reserved for their services go into the ledger.
    void set_targets(std::vector<target_report> targets);
    // Refuses all starts from now on.
    void set_leaving();
    // True if no task is held and every report has been acknowledged.
    [[nodiscard]] bool is_idle() const noexcept;

    // The last configuration slice received; version 0 if none.
    [[nodiscard]] const agent_configuration& current_configuration() const noexcept;
    // The entries listed in the last reply that had any, as candidates for the next sync.
    [[nodiscard]] const std::vector<entry_info>& entries() const noexcept;
    // The entry to sync with if the last reply was a redirect.
    [[nodiscard]] const std::optional<entry_info>& redirect() const noexcept;
    [[nodiscard]] std::size_t held_tasks() const noexcept;
    [[nodiscard]] epoch_number epoch() const noexcept;

private:
    std::unique_ptr<agent_state> state_;
};

}  // namespace tanagerpaddle
