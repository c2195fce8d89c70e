#pragma once

// Scheduling decisions. entry_scheduler: ownership of partitions, claims, leases and the life
// cycle of jobs. agent_tasks: the life cycle of the tasks on one instance. Both take the time from
// the clock passed in and are called under one lock by their daemon.

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

// Switches of the mechanisms that keep the invariants. All are on in production; tests switch one
// off to show that its invariant fails without it.
struct scheduler_mechanisms {
    // Permits end one window after their claim was sent.
    bool check_permit_window = true;
    // Writes of an owner are conditional on its partition row.
    bool condition_on_epoch = true;
    // Claims are conditional on the rows of the failure domains.
    bool condition_on_domain = true;
    // A new owner waits for the old horizon before it reclaims tasks of silent workers.
    bool wait_for_horizon = true;
    // Claims that a worker has not yet started count as used.
    bool reserve_claimed_amounts = true;
    // Reports count only for the attempt that is current.
    bool check_report_attempt = true;
    // A commit without an answer is resolved by reading back instead of taken as failed.
    bool resolve_unknown_commits = true;
    // A claim whose permit ended is void only once the agent or the lease shows that it did not
    // start.
    bool confirm_void_claims = true;
    // A takeover counts only once its write is known to be committed.
    bool require_committed_takeover = true;
    // The runtime of a silent worker is asked what has ended before its tasks are reclaimed.
    bool ask_runtime_before_reclaim = true;
};

struct scheduler_options {
    // Equal in all entries; at least 1.
    std::uint32_t partition_count = 4;
    // How long after a write of the partition row its owner may grant leases.
    milliseconds horizon{60'000};
    milliseconds horizon_renewal{20'000};
    milliseconds worker_lease{20'000};
    // A start is allowed this long after its claim was sent: bounds starts after a drain.
    milliseconds permit_window{3'000};
    milliseconds sync_interval{2'000};
    // Upper bound of the relative difference in rate between two machines' clocks.
    double clock_rate_margin = 0.01;
    milliseconds tick_interval{200};
    // This entry's share of the table's writes.
    double write_rows_per_second = 300;
    double write_burst_rows = 600;
    // Rows of the burst that only claims of urgent jobs and horizon renewals may use.
    double urgent_write_reserve = 100;
    milliseconds shard_rescan_interval{30'000};
    // How often the partition rows are read.
    milliseconds ownership_interval{1'000};
    // Pending groups that have found no room for this long move to a partition with room.
    milliseconds move_after{5'000};
    // Tasks of a silent worker whose runtime does not answer either are reclaimed after this time:
    // three calls of 1 s.
    milliseconds runtime_answer_limit{3'000};
    // A worker without a sync for this long gets no new claims.
    milliseconds silent_after{6'000};
    // A task that failed this often ends as failed.
    std::uint32_t most_failures = 3;
    // Delay before the first retry of a failed task; doubles with each further failure.
    milliseconds retry_backoff{1'000};
    // A worker whose last tasks all failed, this many in a row, gets none for a while.
    std::uint32_t quarantine_after_failures = 5;
    milliseconds quarantine_period{60'000};
    // Evictions a second that drains of failure domains may order.
    double drain_evictions_per_second = 10;
    std::size_t most_starts_per_tick = 200;
    // Decisions kept for recent_decisions().
    std::size_t most_decisions = 1'000;
    scheduler_mechanisms mechanisms;
};

// Estimates how long one task of a job runs from its start.
class run_time_estimator {
public:
    run_time_estimator() = default;
    run_time_estimator(const run_time_estimator&) = delete;
    run_time_estimator& operator=(const run_time_estimator&) = delete;
    virtual ~run_time_estimator() = default;

    [[nodiscard]] virtual milliseconds estimate(const job_declaration& job) const = 0;
    // Called once for each task that finished, with its time spent running.
    virtual void observe(const job_declaration& job, milliseconds run_time) = 0;
};

// Takes the declared run time as it is.
class declared_run_time final : public run_time_estimator {
public:
    [[nodiscard]] milliseconds estimate(const job_declaration& job) const override {
        return job.run_time;
    }
    void observe(const job_declaration&, milliseconds) override {}
};

// ---------------------------------------------------------------------------------------------
// Entry: results

// How to reach the agent of a worker.
struct worker_contact {
    worker_id worker;
    endpoint control;
};

// A question to a worker after a change of owner: it accepts the epoch and syncs at once.
struct inventory_query {
    worker_contact contact;
    epoch_number epoch;
};

// A question to the runtime of a worker whose agent is silent and whose lease has ended.
struct runtime_query {
    worker_id worker;
    endpoint runtime;
};

struct tick_result {
    // Workers that have something to fetch: call agent.wake.
    std::vector<worker_contact> wakes;
    // Workers to ask after a takeover: call agent.inventory.
    std::vector<inventory_query> inventories;
    // Runtimes to ask for their tasks: pass the answers to set_runtime_tasks().
    std::vector<runtime_query> runtimes;
    // Partitions of other owners whose shards this entry changed: call entry.notify.
    std::vector<partition_number> changed_shards;
};

enum class runtime_task_state : std::uint8_t { running, paused, finished, failed };

// A task as the worker's runtime knows it.
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
    // ok, malformed_request, quota_unknown_team, job_can_never_run, job_already_exists,
    // overloaded (write budget), store_unavailable or store_outcome_unknown.
    result_code code = result_code::ok;
    // False if the same declaration had been submitted before.
    bool is_new = false;
    // With job_can_never_run: the largest worker known.
    resources largest_worker;
};

struct cancel_result {
    // ok (also if the job has ended before), unknown_job, overloaded (write budget, not recorded),
    // store_unavailable or store_outcome_unknown. With any code but ok the call may be repeated.
    result_code code = result_code::ok;
    // The job's state before the call; active if this call cancelled it.
    job_state state = job_state::active;
};

struct job_status {
    job_row job;
    // The tasks of groups that have not ended; ended ones are counted in `job.ended_tasks`.
    // `running` stands for claimed tasks that their worker is known to hold, `evicting` for
    // those that were ordered to leave.
    std::vector<task_record> tasks;
};

// What a task waits for.
enum class wait_cause : std::uint8_t {
    nothing,
    placement,      // see unplaced_reason
    planning,       // the next plan
    retry_backoff,  // after a failure
    worker_start,   // the worker fetches its permit
    void_claim,     // the permit has ended; the agent has to confirm that it did not start
    worker_lease,   // the worker is silent; its lease has to run out
    old_horizon,    // ownership changed; the old owner's horizon has to pass
    eviction,       // the agent writes a checkpoint
    write_budget,   // the table's write budget is used up
    store,          // the table is unavailable or a commit is being resolved
    owner,          // another entry owns the partition and knows the reason
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
    // The entry that owns the partition, as far as known.
    entry_id owner;
    std::uint32_t failure_count = 0;
    std::uint32_t eviction_count = 0;
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
};

[[nodiscard]] std::string_view name(decision_kind kind) noexcept;

// One decision with its cause; unused fields are empty.
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

// What an entry does for the partitions that it owns. Calls to the table are made within the
// methods. Except where noted, no method throws when the table fails: work is taken up again by a
// later tick. Not thread-safe. All references must outlive the object.
class entry_scheduler {
public:
    entry_scheduler(const scheduler_options& options, entry_info self, table& rows,
                    const placement_strategy& strategy, const clock& time, std::uint64_t seed);
    ~entry_scheduler();
    entry_scheduler(const entry_scheduler&) = delete;
    entry_scheduler& operator=(const entry_scheduler&) = delete;

    // Ignored if `version` is not higher than the present one.
    void set_configuration(std::shared_ptr<const configuration> declared, config_version version);
    [[nodiscard]] config_version configured() const noexcept;
    // Entries that are alive, self included. Partitions belong to them by rendezvous hashing.
    void set_live_entries(std::vector<entry_info> entries);
    // What other entries said about their partitions and their use by team.
    void set_remote_partitions(std::vector<partition_summary> partitions,
                               std::vector<team_usage> usage);
    // Agents known from membership, so that a new owner can ask them. Optional.
    void set_known_workers(const std::vector<worker_contact>& workers);
    // What the runtime of a silent worker answered to a question of tick(). Tasks that it has seen
    // end are recorded as such; the worker's other tasks are reclaimed.
    void set_runtime_tasks(const worker_id& worker, const std::vector<runtime_task>& tasks);
    // Replaces the declared run time. The estimator must outlive the scheduler.
    void set_estimator(run_time_estimator& estimator);

    // Does everything that is due. To be called each tick_interval.
    [[nodiscard]] tick_result tick();
    // Answers an agent. Code not_owner with a redirect if another entry owns the partition, and
    // not_ready if nobody is known to.
    [[nodiscard]] sync_reply sync(const sync_request& request);

    // Creates the job in any partition. `is_declared`: it stands in the present configuration.
    [[nodiscard]] submit_result submit(const job_declaration& job, bool is_declared);
    // Ends the job, whatever its tasks do. With ok the cancellation is recorded in the table;
    // running tasks are stopped with their workers' next sync.
    [[nodiscard]] cancel_result cancel(const job_id& id);
    // As cancel() for each id, in order, in few transactions.
    [[nodiscard]] std::vector<cancel_result> cancel_many(const std::vector<job_id>& ids);
    // Throws error(unknown_job) or error(store_unavailable).
    [[nodiscard]] job_status status(const job_id& id);
    // Up to `limit` jobs with ids above `after`, by id. Throws error(store_unavailable).
    [[nodiscard]] std::vector<job_row> list_jobs(const job_id& after, std::size_t limit);
    // One element for each task that has not ended. Throws as status().
    [[nodiscard]] std::vector<task_explanation> explain(const job_id& id);

    // Another entry changed the shard: it is read again with the next tick.
    void note_shard_changed(partition_number partition);
    // Gives up all partitions and takes none until the object is destroyed. False if the table
    // failed; then other entries take over after they miss this one.
    bool release_all();

    // Of the partitions owned by this entry.
    [[nodiscard]] std::vector<partition_summary> partitions() const;
    // Use by team in these partitions.
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

// The worker's runtime. Each call throws error(connection_refused) or another code that means
// "not run" if it had no effect, and error(outcome_unknown) if it may have had one. The runtime
// pauses a task by itself when the task's lease is not renewed in time.
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
    // Drops an ended task from list().
    virtual void forget(const task_attempt& attempt) = 0;
};

// Switches for tests, as scheduler_mechanisms.
struct agent_mechanisms {
    bool check_permit_window = true;
    bool check_epoch = true;
    bool check_ledger = true;
    bool check_attempt = true;
    // Task leases end with the worker lease, and the clock is checked before any renewal.
    bool check_lease = true;
    // The ledger is rebuilt from the runtime before anything is accepted.
    bool rebuild_ledger = true;
    // A task is paused and looked at again before it is reported as evicted.
    bool check_end_before_eviction = true;
};

struct agent_options {
    // How often tick() is called at least; task leases are renewed with each.
    milliseconds tick_interval{500};
    // Longest lease that a task gets from one renewal; shorter if the worker lease ends before.
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
    // Empty if no other machine reaches the runtime.
    endpoint runtime = {};
};

class agent_state;

// The life cycle of the tasks on one instance. Not thread-safe. All references must outlive the
// object. Methods do not throw when the runtime fails; the work is taken up by a later tick.
class agent_tasks {
public:
    agent_tasks(const agent_options& options, worker_identity identity, instance_ledger& ledger,
                worker_runtime& runtime, const clock& time, incarnation_number incarnation);
    ~agent_tasks();
    agent_tasks(const agent_tasks&) = delete;
    agent_tasks& operator=(const agent_tasks&) = delete;

    // Rebuilds the ledger from the runtime. To be repeated until it returns true; before that
    // next_sync() and on_reply() accept nothing. A task that does not fit is evicted.
    bool recover();
    [[nodiscard]] bool is_recovered() const noexcept;

    // The next request, with a new sequence number whose send time is remembered. The caller
    // sends it at once and never sends two at a time. Throws error(not_ready) before recover().
    [[nodiscard]] sync_request next_sync();
    // Takes the reply to the request with that sequence. Replies to other requests than the last
    // one, with a lower epoch than one accepted, and permits that have ended have no effect.
    void on_reply(const sync_reply& reply, std::uint64_t sequence);
    // When the next sync is due; woken agents sync at once.
    [[nodiscard]] deadline next_sync_at() const noexcept;
    // True if a sync should be sent before next_sync_at(), for example for a new report.
    [[nodiscard]] bool has_urgent_reports() const noexcept;

    // Polls the runtime, renews the task leases and pauses tasks whose lease has run out.
    void tick();
    // A new owner asks: true if the epoch is accepted, so that lower ones are refused from now
    // on. The caller then syncs with the new owner.
    [[nodiscard]] bool accept_inventory(epoch_number epoch);

    // The services' targets beside this agent; their reserved amounts go into the ledger.
    void set_targets(std::vector<target_report> targets);
    // No start is accepted from now on.
    void set_leaving();
    // True if no task is held and no report waits for its acknowledgement.
    [[nodiscard]] bool is_idle() const noexcept;

    // The last configuration slice received, version 0 if none.
    [[nodiscard]] const agent_configuration& configured() const noexcept;
    // The entries named in the last reply, for the next sync.
    [[nodiscard]] const std::vector<entry_info>& entries() const noexcept;
    // The entry to sync with if the last reply was a redirect.
    [[nodiscard]] const std::optional<entry_info>& redirect() const noexcept;
    [[nodiscard]] std::size_t held_tasks() const noexcept;
    [[nodiscard]] epoch_number epoch() const noexcept;

private:
    std::unique_ptr<agent_state> state_;
};

}  // namespace tanagerpaddle
