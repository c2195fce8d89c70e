#pragma once

// Dispatches batch jobs and long-running tasks to executors: the coordinator decides what runs
// where, the agent beside each executor carries it out. Both are state machines that do no I/O:
// events arrive as calls, orders are sent through an interface that the caller implements.
//
// State that must survive a process is stored in the table service: a row with the submitted job,
// and progress rows with up to `max_tasks_per_row` tasks each. A start is sent only after the row
// that names its instance and run is durable; a completion is acknowledged only after the row that
// records it is durable.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::dispatch {

// ---------------------------------------------------------------------------------------------
// Jobs

using queue_id = strong_id<struct queue_tag>;
using executor_id = strong_id<struct executor_tag>;
// Number of one run of a task, from 1; later runs have higher numbers.
using run_number = strong_number<struct run_tag, std::uint32_t>;
// Incarnation of an executor process; later incarnations have higher values.
using executor_incarnation = strong_number<struct executor_incarnation_tag, std::int64_t>;
// Position in an executor's list of finished runs, from 1 in each incarnation.
using completion_number = strong_number<struct completion_tag>;

// A group of equal tasks of a job.
struct step_spec {
    std::uint32_t task_count = 1;
    resources demand;
    // Declared run time of one task; it can be inaccurate.
    milliseconds estimate{0};
    // Indices of earlier steps that must succeed before this one starts.
    std::vector<std::uint32_t> depends_on;
    // Label that the executor must have; empty if any executor will do.
    std::string required_label;
    // Rack that holds the data; empty if none.
    rack_id preferred_rack;
    // Maximum number of tasks of one step and occurrence on an executor; 0 means no limit.
    std::uint32_t max_per_executor = 0;
    // Name of the program; tasks with the same image are assumed to behave alike.
    std::string image;
    // Tail latency that a serving task must not exceed; 0 if it is not a serving task.
    milliseconds tail_target{0};
    // Maximum number of tasks that the scheduler itself may make unavailable at a time; unset means
    // no limit.
    std::optional<std::uint32_t> max_unavailable;
    bool writes_checkpoints = false;
    // All tasks start together, succeed together and fail together.
    bool is_gang = false;
    bool is_single_rack = false;
    bool is_speculative = false;
    // Runs until the job is cancelled; restarted after every exit.
    bool is_long_running = false;
    // Best-effort task that uses idle processors; its processors are not reserved.
    bool is_filler = false;
};

struct job_spec {
    // Opaque to the scheduler; passed to each task.
    std::string payload;
    std::vector<step_spec> steps;
    // Number of occurrences of a timed job; 0 if the steps run once, immediately.
    std::uint32_t occurrences = 0;
    utc_millis first_due;
    milliseconds interval{0};
};

// Throws error(malformed_request) with the reason unless the job is well formed.
void validate(const job_spec& job);

// Limits on a job. All members of a gang of `max_tasks_per_step` fit in one write.
constexpr std::size_t max_steps = 64;
constexpr std::uint32_t max_tasks_per_step = 1'000;
// Over all occurrences; bounds the memory that one job takes from the owner.
constexpr std::uint64_t max_tasks_per_job = max_steps * max_tasks_per_step;

// Configuration of a queue.
struct queue_rules {
    service_id service;
    // 0 is the most urgent.
    int priority = 0;
    // Number of failed runs of one task after which its job fails.
    std::uint32_t max_attempts = 1;
    // The objective of a job is stretch x its longest chain of steps + target.
    double stretch = 1;
    milliseconds target{0};
    // Placement needs a permit from the policy service.
    bool requires_permit = false;
};

struct submitted_job {
    job_id id;
    queue_id queue;
    queue_rules rules;
    job_spec spec;
    utc_millis accepted_at;
};

// One task of one occurrence of a job.
struct task_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_key&, const task_key&) = default;
    friend std::strong_ordering operator<=>(const task_key& a, const task_key& b) noexcept {
        if (const auto order = a.job <=> b.job; order != 0) {
            return order;
        }
        return std::tie(a.occurrence, a.step, a.index) <=> std::tie(b.occurrence, b.step, b.index);
    }
};

// "job.occurrence.step.index"
[[nodiscard]] std::string to_string(const task_key& task);
// Returns std::nullopt unless the text has that form.
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

enum class job_phase : std::uint8_t { pending, running, completed, failed, cancelled };
[[nodiscard]] std::string_view name(job_phase phase) noexcept;
[[nodiscard]] constexpr bool is_terminal(job_phase phase) noexcept {
    return phase != job_phase::pending && phase != job_phase::running;
}

// ---------------------------------------------------------------------------------------------
// Executors

// State that an executor reports. One executor runs beside each agent.
struct executor_info {
    executor_id id;
    executor_incarnation incarnation;
    service_id service;
    failure_domain_id domain;
    resources capacity;
    std::vector<std::string> labels;
    bool is_draining = false;
};

enum class run_outcome : std::uint8_t {
    succeeded,
    failed,
    stopped,
    // The lease expired.
    lease_expired,
    // Another member of the gang exited.
    gang_member_ended,
    // The other members of the gang did not start in time.
    gang_incomplete,
};

struct running_task {
    task_key task;
    run_number run;
    // Latest checkpoint; empty if none.
    std::string checkpoint;
    // Completed share of the work in percent; 100 for a long-running task that is running.
    int percent = 0;
    // Tail latency in milliseconds for a serving task, otherwise the millicores in use.
    std::int64_t measurement = 0;
};

struct finished_task {
    completion_number number;
    task_key task;
    run_number run;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

// How long an executor had a run before it terminated.
struct run_age {
    task_key task;
    run_number run;
    // Time from the answer to the start, or from the first list with the run, to the executor's
    // last answer to any call; 0 for a start that was not answered. Not reported for a run that may
    // have begun shortly before if an earlier process of the agent has started it, or if the
    // executor was out of reach before its end.
    milliseconds age{0};
};

// A run that may be alive although the executor for which its start was ordered has ended: the
// start may have reached, or may yet reach, the executor that took its place under the same id.
struct unsettled_run {
    task_key task;
    run_number run;
    // The lists of that executor show the run.
    bool is_listed = false;
};

// An executor that has ended, as its agent remembers it.
struct executor_end {
    executor_incarnation incarnation;
    // It had announced that it would leave.
    bool was_draining = false;
    // The runs that it had.
    std::vector<run_age> ages;
    // Runs that must not start elsewhere until a later inventory of the agent names an executor,
    // which resolves them, or until their leases have expired.
    std::vector<unsettled_run> unsettled{};
};

// What an agent reports to the coordinator that has claimed it. It holds all that the agent knows:
// events that happened while no coordinator was linked are not repeated.
struct inventory {
    // The executor, once its lists have been read under the current claim.
    std::optional<executor_info> executor;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
    // The newest executor that is known to have ended; those before it have ended as well. Unset
    // while the agent knows one that is not newer.
    std::optional<executor_end> ended{};
    // No executor of the instance is alive, also none that the agent does not know.
    bool is_vacant = false;
    // What calls that were meant for earlier executors may have done to the leases of the listed
    // one.
    struct earlier_calls {
        // Since when the executor refuses them; unset while it may take them.
        std::optional<instant> refused_since;
    };
    // Unset if the agent knows of no earlier executor, and by agents of earlier versions.
    std::optional<earlier_calls> earlier{};
};

enum class start_outcome : std::uint8_t {
    started,
    // The run will never start: the executor refused it, or a stop for it was confirmed.
    not_started,
    // As above, because the executor lacks capacity.
    no_capacity,
    // As above, because the executor refused the permit.
    bad_permit,
};

// Properties of a task that an agent needs to pace fillers.
struct task_traits {
    std::string image;
    milliseconds tail_target{0};
    millicores demand;
    bool is_filler = false;
};

struct start_order {
    task_key task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    std::string permit;
    executor_incarnation incarnation;
    task_traits traits;
    // The executor's capacity as the coordinator knew it when it sent the order; unset by earlier
    // versions.
    std::optional<resources> capacity;
};

// ---------------------------------------------------------------------------------------------
// Timing

// Durations that determine when a run on an unreachable instance has certainly ended. All processes
// of a system must use the same values.
struct lease_timing {
    // Duration of an executor's lease, counted from when the agent sent the heartbeat that the
    // coordinator's latest grant answers. Exceeds a pause of 3.5 s plus a missed heartbeat.
    milliseconds lease_duration{4'500};
    // Interval of an agent's heartbeats; the coordinator answers each with a grant.
    milliseconds heartbeat_interval{300};
    // A coordinator that cannot reach the store keeps renewing leases for this long, so that work
    // survives a store outage of this plus `lease_duration`.
    milliseconds max_renewal_without_store{7'000};
    // Maximum relative error by which an executor's clock runs slow.
    double max_clock_drift = 0.02;
    // Maximum time that an executor needs to kill its tasks after its lease has expired.
    milliseconds max_kill_time{200};
    // A link without a heartbeat for this long is closed and reconnected.
    milliseconds link_timeout{1'500};
    // Executors shorten longer leases to this. A call that was meant for an earlier executor
    // carries a time of another clock and may extend the leases by as much.
    milliseconds max_lease{6'000};
    // An agent calls its executor for a start only within this time after it sent the heartbeat
    // that the latest grant before the order answers. As grants and orders arrive in the order in
    // which they were sent, the call is made within this time after the order was sent.
    milliseconds max_start_delay{2'000};
    // A call to an executor is abandoned before this time has passed.
    milliseconds max_call_time{500};
    // A coordinator sends starts only within this time after it sent the write that makes them
    // durable, and repeats a write that took longer. A store that is slow refuses writes which
    // would wait for over a second.
    milliseconds max_start_write_age{3'000};

    // Time after the last grant at which no run of an unreachable instance is still alive that its
    // executor has listed.
    [[nodiscard]] milliseconds expiry_delay() const { return time_to_end(lease_duration); }
    // The same after the last call that may carry a time of another clock.
    [[nodiscard]] milliseconds max_expiry_delay() const { return time_to_end(max_lease); }
    // The same after the agent has ceased to make such calls, while one may be on its way.
    [[nodiscard]] milliseconds call_expiry_delay() const {
        return max_call_time + max_expiry_delay();
    }
    // The same after the order of a start that no executor has listed: another incarnation may have
    // taken it, unnoticed by the agent, and holds it for the longest lease.
    [[nodiscard]] milliseconds start_expiry_delay() const {
        return max_start_delay + call_expiry_delay();
    }

private:
    // Upper bound of the time in which all runs end that have a lease of that duration.
    [[nodiscard]] milliseconds time_to_end(milliseconds lease) const {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(lease.count()) *
                                                      (1 + max_clock_drift))) +
               max_kill_time;
    }
};

// When runs on instances whose agents a new owner has not claimed have ended.
struct run_ends {
    // Runs that their executor has listed, and those that it has not.
    instant listed;
    instant unlisted;
};

// ---------------------------------------------------------------------------------------------
// Interference

// Measurements of an executor over the last half second: serving tasks, which have a tail latency
// target, and the co-located fillers.
struct interference_sample {
    struct serving {
        std::string image;
        milliseconds target{0};
        // The highest tail latency of the image's tasks.
        milliseconds tail{0};
    };
    struct filler {
        std::string image;
        // Processors in use, and needed at full pace, by all tasks of the image.
        millicores used;
        millicores demand;
    };
    millicores capacity;
    std::vector<serving> serving_tasks;
    std::vector<filler> fillers;
};

// Estimates how much fillers of an image slow down serving tasks of another, for each pair of
// images. A serving task is modelled as a queue: its tail latency is idle tail / (1 - utilisation).
// Utilisation is the task's baseline load plus, for each filler, the pair's pressure times the
// filler's share of the instance's processors. The baseline load is unknown and differs between
// instances, but changes slowly: a Kalman filter estimates the pressures from the differences
// between successive samples of one instance.
class interference_model {
public:
    // `source` names the instance; samples of one instance must arrive in order.
    void observe(const std::string& source, instant now, const interference_sample& sample);
    // Utilisation added by a filler that uses all processors of an instance; 0 for a pair without
    // significant interference.
    [[nodiscard]] double pressure(const std::string& serving, const std::string& filler) const;
    // The part of a task's utilisation that is not attributed to fillers.
    [[nodiscard]] double baseline_load(const interference_sample::serving& task,
                                       const interference_sample& sample) const;
    // The utilisation up to which fillers may be added.
    [[nodiscard]] double utilisation_limit(const std::string& serving, milliseconds target) const;
    using pressure_table = std::map<std::string, std::map<std::string, double>>;
    // The pressure of each pair of images that has been observed together.
    [[nodiscard]] pressure_table pressures() const;
    void set(const std::string& serving, const std::string& filler, double pressure_value);
    // Restores an estimate of an earlier owner; pairs that already have an estimate keep it.
    void restore_pressure(const std::string& serving, const std::string& filler,
                          double pressure_value);
    // Increases with each change.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct estimate {
        double mean;
        double variance;
    };
    struct timed_sample {
        instant at;
        interference_sample sample;
    };

    [[nodiscard]] double idle_tail_ms(const std::string& serving, milliseconds target) const;
    [[nodiscard]] double utilisation(const std::string& serving, milliseconds target,
                                     double tail_ms) const;
    void update_estimates(const interference_sample::serving& task,
                          const interference_sample::serving& earlier,
                          const std::map<std::string, double>& changes, double seconds);

    // Keyed by serving image, then by the filler's.
    std::map<std::string, std::map<std::string, estimate>> estimates_;
    std::map<std::string, timed_sample> previous_samples_;
    std::uint64_t revision_ = 0;
    std::map<std::string, double> idle_tails_ms_;
};

// Decides which share of their demand the fillers of each image may use on one instance, so that
// batch work does not make a serving task miss its target. Images with the lowest pressure get
// processors first, the others get what the remaining slack allows. While a serving task stays over
// its target against the model's prediction, all fillers on its instance are paused.
class interference_pacer {
public:
    // Returns the pace in percent of the demand, by image.
    const std::map<std::string, int>& update(const interference_model& model,
                                             const interference_sample& sample, instant now);
    [[nodiscard]] const std::map<std::string, int>& pace_percents() const noexcept {
        return percents_;
    }

private:
    [[nodiscard]] bool exceeds_target_too_long(const interference_sample& sample, instant now);

    std::map<std::string, int> percents_;
    // Baseline loads at the last sample, by serving image.
    std::map<std::string, double> baseline_loads_;
    // When each serving image that is over its target first exceeded it.
    std::map<std::string, instant> over_since_;
};

// ---------------------------------------------------------------------------------------------
// Coordinator

// Name of an instance: one executor with its agent.
using instance_name = strong_id<struct instance_tag>;
// Throws error(malformed_request) if the name is longer than max_instance_name_bytes.
void validate(const instance_name& name);

struct step_key {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    friend bool operator==(const step_key&, const step_key&) = default;
    friend auto operator<=>(const step_key&, const step_key&) = default;
};

struct permit {
    executor_id executor;
    std::string ticket;
};

// The end of an executor that had not announced it, or has been unreachable for so long that its
// runs have ended.
struct executor_crash {
    // A run that the executor had begun so shortly before that it may have caused the crash.
    struct suspect {
        task_key task;
        run_number run;
        // Crashes under the task so far.
        std::uint32_t crashes = 0;
        // The executor is known to have had the run shortly before its end.
        bool has_begun = false;
        // The crashes are proof against the task: its job has failed.
        bool has_failed = false;
    };
    instance_name instance;
    bool is_unreachable = false;
    std::vector<suspect> suspects;
};

// Why a long-running task has no run; for the log.
struct waiting_task {
    task_key task;
    // Number of tasks of its step that have no run.
    std::size_t tasks_of_step = 0;
    milliseconds without_run{0};
    // What the task waits for: "capacity" if it is ready to be placed.
    std::string_view waits_for;
    // For capacity: number of instances by the first condition that each does not meet.
    std::vector<std::pair<std::string_view, std::size_t>> instances_by_obstacle;
};

// How long the tasks of a step start only on one rack, as decided while the step waits.
struct locality_wait {
    step_key step;
    rack_id rack;
    // Afterwards they start anywhere; not after now if the step does not wait any more.
    milliseconds until_in{0};
    // What a task saves by running on the rack.
    milliseconds gain{0};
    // Time until the last waiting task can start on the rack; unset if that is not before the end
    // of the wait, or cannot be told yet.
    std::optional<milliseconds> predicted;
};

// A throttled filler that is about to be stopped because another instance can run it.
struct filler_stop {
    instance_name instance;
    task_key task;
    run_number run;
    // Measured speed in percent of full speed.
    int speed_percent = 0;
    // Expected time saved, in percent of the task's run time.
    int gain_percent = 0;
};

// Orders that leave the coordinator.
class coordinator_orders {
public:
    coordinator_orders() = default;
    coordinator_orders(const coordinator_orders&) = delete;
    coordinator_orders& operator=(const coordinator_orders&) = delete;
    virtual ~coordinator_orders() = default;

    virtual void start(const instance_name& instance, const start_order& order) = 0;
    virtual void stop(const instance_name& instance, const task_key& task, run_number run) = 0;
    // All completions up to `number` are durable.
    virtual void acknowledge(const instance_name& instance, executor_incarnation incarnation,
                             completion_number number) = 0;
    // At most 30 executors, not empty.
    virtual void request_permits(const step_key& step,
                                 const std::vector<executor_id>& executors) = 0;
    // Sends an agent the properties of a run that an earlier owner started.
    virtual void send_traits(const instance_name& instance, const task_key& task,
                             const task_traits& traits) = 0;
    // The row of a deferred job is needed: call add_job with it, now or later. Asked again if that
    // takes seconds.
    virtual void load_job(const job_id& /*job*/) {}
    // For the log only.
    virtual void report_crash(const executor_crash& /*crash*/) {}
    // For the log only: a run is about to be stopped because it has made no progress.
    virtual void report_stall(const instance_name& /*instance*/, const task_key& /*task*/,
                              run_number /*run*/, milliseconds /*without_progress*/) {}
    // For the log and metrics only.
    virtual void report_filler_stopped(const filler_stop& /*stop*/) {}
    // For the log only: a checkpoint of `bytes` exceeds `max_checkpoint_bytes`. It is left out of
    // the row, so that a task restarts from its beginning after a change of the owner. Reported
    // once for each task.
    virtual void report_unstored_checkpoint(const task_key& /*task*/, std::size_t /*bytes*/) {}
    // For the log only: nothing but the long-running task starts on the instance until then.
    virtual void report_reservation(const instance_name& /*instance*/, const task_key& /*task*/,
                                    instant /*until*/) {}
    // For the log only: tasks are about to be stopped so that the long-running task fits.
    virtual void report_preemption(const instance_name& /*instance*/, const task_key& /*task*/,
                                   const std::vector<task_key>& /*stopped*/) {}
    // For the log only: at most once a second for each step.
    virtual void report_waiting_task(const waiting_task& /*waiting*/) {}
    // For the log only: a wait was decided, or ended before its deadline.
    virtual void report_locality_wait(const locality_wait& /*wait*/) {}
    // For the log only: a run elsewhere is about to be stopped, to be resumed on its rack.
    virtual void report_locality_move(const task_key& /*task*/, const rack_id& /*rack*/) {}
    // For metrics only: a task of a step with such a wait is placed, this long after the step was
    // ready.
    virtual void report_locality_start(milliseconds /*waited*/, bool /*is_on_rack*/) {}
};

// How the coordinator recognises a task that crashes the executors that start it. Such a task
// reports no failure, so that `max_attempts` does not end it.
struct crash_rules {
    // A crash counts against the runs that began less than this time before the executor's last
    // answer, since a task that crashes its executor does so soon after its start. The other tasks
    // are cleared of earlier crashes.
    milliseconds suspicion_window{300};
    // The same for an executor whose agent could not tell, before the instance's last observation:
    // longer by the age of an observation, a sync of 0.5 s and a heartbeat of 0.3 s.
    milliseconds unobserved_window{1'100};
    // A crash is confirmed if the executor is known to have had the run, by the report of its
    // agent, otherwise suspected: the executor may not have begun the run, or the run may have
    // ended before, and an executor whose lease has expired may not have crashed. The job fails
    // after this many confirmed crashes, if the latest is confirmed and no run of another job can
    // have caused it.
    std::uint32_t max_confirmed_crashes = 2;
    // Crashes of both kinds after which the job of a task with as many confirmed ones as above
    // fails whoever else is to blame, if the latest is confirmed.
    std::uint32_t max_crashes = 4;
    // Crashes of both kinds after which the job fails in any case, with the next end of an executor
    // that is known, or with an expired lease if all others were known ends.
    std::uint32_t max_suspected_crashes = 5;
    // A task with this many crashes is started apart from others: on an instance where nothing else
    // has started within the suspicion window and nothing else does until the run has outlived it.
    std::uint32_t min_crashes_to_isolate = 2;
    // Longest wait for such an instance.
    milliseconds max_wait_for_isolation{2'000};
    // Time after the start of such a run at which no news of a crash is proof that it has outlived
    // the suspicion window: the agent notices a crash within 0.2 s.
    milliseconds isolation_time{600};
    // Share of the instances that may be kept for such tasks at a time; at least one.
    double max_isolated_share = 0.25;
};

// The store's limit on the value of a row, which holds also for its base64.
constexpr std::size_t max_row_bytes = 65'536;
// Largest number of tasks in a progress row. It is part of the format: another value would assign
// stored tasks to other rows.
constexpr std::uint32_t max_tasks_per_row = 64;
// Limits on an instance name and on a checkpoint, as JSON without quotes; they bound what a task
// adds to a row.
constexpr std::size_t max_instance_name_bytes = 200;
constexpr std::size_t max_checkpoint_bytes = 128;

// A row of the progress table. Each task of a job has a fixed row, so that a later write of the row
// replaces all that was stored of the task. The first row (0) also holds the phase of the job.
struct progress_row {
    job_id job;
    std::string value;
    std::uint32_t number = 0;
};

struct job_status {
    job_phase phase = job_phase::pending;
};

// How fillers share instances with serving tasks whose own load rises and falls within seconds.
struct filler_rules {
    // Utilisation that a serving task's own load may gain per second. A filler starts only if the
    // serving tasks that it interferes with have room for that rise over the filler's run time;
    // without it a filler that starts while the load is low stands still at the next peak and holds
    // up its step. The own load was seen to swing by half of 0.48 within 10 to 20 s, which is 0.08
    // to 0.15 per second at its steepest.
    double load_rise_per_s = 0.1;
    // Longest part of a run time for which that rise is reserved: a quarter of a swing of 20 s.
    milliseconds max_load_horizon{5'000};
    // A step that has waited this long starts without that room: past capacity, a start that may be
    // throttled later is better than none.
    milliseconds max_wait_for_room{1'000};
    // Share of the instances whose throttled fillers may be moved in one inspection, and the least
    // number of moves. Each move takes capacity that the next one must not count on, but in a fleet
    // the number of serving tasks at their peak grows with the number of instances.
    double moves_per_instance = 1;
    std::size_t min_moves = 4;
    // Throttled fillers are relieved also where that costs them their progress; see
    // docs/design/filler-relief.md.
    bool relieves_throttled = true;
};

// How capacity is found for long-running tasks that have no run. One must run again within 6 s of
// the end of its last run; the times below leave 2.5 s for the stops (0.9 s), the write and the
// start.
struct long_running_rules {
    // Long-running tasks go before others of their priority, and capacity is reserved for them.
    bool is_enabled = true;
    // Time without a run after which an instance is reserved.
    milliseconds max_wait{1'000};
    // Further time for which the ends of the tasks there are awaited before some are preempted.
    milliseconds max_wait_for_ends{1'500};
    // A reservation ends after this time, and another instance may be chosen.
    milliseconds reservation_time{4'000};
    // Share of the instances that may be reserved at a time, at least one. It does not hold for a
    // task that has waited for both times above: after the loss of half of the instances, tasks
    // that need more of them would miss the 6 s.
    double max_reserved_share = 0.25;
    // No long-running task starts for this long on an instance that has refused a start: one
    // heartbeat, after which an agent that had no lease has one.
    milliseconds pause_after_refusal{300};
};

class run_times;

// Order in which steps of the same priority are placed.
struct ordering_rules {
    // Ranks and remaining work follow from measured run times instead of the declared ones, which
    // can be wrong by 0.9 of their value.
    bool uses_measured_run_times = true;
    // One placement in this many goes to the oldest job that can yield no more benefit, while such
    // a job waits; 0 means that these jobs get only what the others leave. A tenth of the capacity
    // is what the requirements grant them (docs/two-customers.md, part 1).
    std::uint32_t placements_per_late_turn = 10;
};

// What an entry needs to decide on a submission; see decide_admission.
struct fleet_forecast {
    struct executor_shape {
        resources capacity;
        // Sorted.
        std::vector<std::string> labels;

        friend bool operator==(const executor_shape&, const executor_shape&) = default;
    };
    struct queue_delay {
        // From the acceptance of a job to the start of its first task.
        milliseconds start{0};
        // From that start to the end of the job, for each second of its critical path.
        milliseconds end_per_s{1'000};

        friend bool operator==(const queue_delay&, const queue_delay&) = default;
    };
    // For each service, executors such that each executor of the service, in whatever state, is
    // matched or exceeded by one of them. A service is left out if that is not known.
    std::map<service_id, std::vector<executor_shape>> services;
    std::map<queue_id, queue_delay> queues;

    friend bool operator==(const fleet_forecast&, const fleet_forecast&) = default;
};

// Limit on the rows of a service in a forecast: 4 KB with three labels each.
constexpr std::size_t max_shapes_per_service = 32;

enum class refusal_reason : std::uint8_t {
    // No executor of the service can ever hold one of the tasks.
    never_fits,
    // The job would end too late to yield any benefit.
    overload,
    // The table service does not answer.
    store,
};
[[nodiscard]] std::string_view name(refusal_reason reason) noexcept;

struct refusal {
    refusal_reason reason = refusal_reason::overload;
    // Unset if repeating the submission is of no use.
    std::optional<std::chrono::seconds> retry_after;
};

// Decides whether a job is refused by the forecast; std::nullopt admits it. `refuses_overload` is
// the setting scheduling.admission. Timed jobs and jobs with long-running tasks are never refused
// for overload: they yield benefit whenever they run.
[[nodiscard]] std::optional<refusal> decide_admission(const submitted_job& job,
                                                      const fleet_forecast& forecast,
                                                      bool refuses_overload);
// When a job that is refused because the store does not answer is to be submitted again: `silence`
// is the time since the store's last answer, `longest_outage` the longest of the recent outages.
[[nodiscard]] std::chrono::seconds store_retry_after(const job_id& job, milliseconds silence,
                                                     milliseconds longest_outage);

// Waiting for a place near a step's data (`preferred_rack`) or near its group (`is_single_rack`).
struct delay_rules {
    // Run time off the rack, as a multiple of that on it. At 1 no step waits.
    double off_rack_factor = 1;
};

// Decides what runs where for all jobs of a system. The caller ensures that only one process at a
// time writes progress rows (see libs/dispatch_node). All state needed after a takeover is in the
// rows: add_job and restore rebuild it, instance_claimed adds what agents report.
class coordinator {
public:
    struct options {
        lease_timing timing;
        // Maximum number of rows in one write; the store accepts 100 entries, one of which is the
        // owner's row.
        std::size_t max_rows_per_write = 90;
        // Maximum size of the rows of one write; the store accepts 1 MB, with the rows in base64.
        std::size_t max_bytes_per_write = 700'000;
        // At least 1. Smaller values than the default are for tests.
        std::uint32_t tasks_per_row = max_tasks_per_row;
        // Steps of occurrences that are due and have not begun, over all jobs, of which the owner
        // keeps a state: several times what starts between two plans, at most 50 ms apart.
        std::size_t max_offered_steps = 1'024;
        // Memory of the jobs that have not begun; the others are deferred.
        std::size_t max_unstarted_bytes = 8'000'000;
        filler_rules fillers;
        crash_rules crashes;
        long_running_rules long_running;
        // Among steps of the same priority and rank, those of the queue with the smallest share of
        // its service in use go first.
        bool has_fair_shares = true;
        ordering_rules ordering;
        delay_rules delays;
    };

    coordinator(options settings, const clock& time, coordinator_orders& orders);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    // --- configuration -------------------------------------------------------------------------
    // Sets the existing queues. Jobs of other queues keep the rules they were accepted with, but no
    // task of theirs starts.
    void set_queues(const std::map<queue_id, queue_rules>& queues);
    // Sets the failure domains in which no task may start.
    void set_evacuated(const std::set<failure_domain_id>& domains);

    // --- jobs ----------------------------------------------------------------------------------
    // Adds a stored job, or one that was deferred. `age` is the time since its acceptance;
    // `has_rows` tells that an earlier owner wrote progress rows of it. Jobs already added are
    // ignored. The coordinator may defer jobs that have not begun: it keeps little more of them
    // than that they were accepted, and calls coordinator_orders::load_job when it is their turn.
    void add_job(const submitted_job& job, milliseconds age, bool has_rows = false);
    // Adds a stored job that has ended, by the phase in its first progress row. Nothing but its
    // phase is kept, as of every job that has ended once its phase is stored and no run of it is
    // left; add_job and restore have no effect on it.
    void add_ended(const job_id& job, job_phase phase);
    // Restores a progress row that an earlier owner wrote; call it after add_job of its job, for
    // the rows of a job in any order. Tasks that the row places on an instance stay assigned to it
    // until the instance's inventory resolves their state or `ends_by` has passed. Returns false
    // if the row cannot be read or the job has no such row, which is then ignored, or if it lists a
    // task twice or one that does not belong to it: these entries are ignored. A first row that
    // lists tasks of other rows was written by an earlier version; these count unless their own row
    // is restored.
    bool restore(const job_id& job, std::string_view row, const run_ends& ends_by,
                 std::uint32_t number = 0);
    // The same with one time for all runs.
    bool restore(const job_id& job, std::string_view row, instant expires_at,
                 std::uint32_t number = 0);
    // A job that is added later counts as cancelled as well, unless forget_cancellation is called
    // before.
    void cancel_job(const job_id& job);
    // The job's cancellation is no longer stored. Has no effect on a job that has been added.
    void forget_cancellation(const job_id& job);
    // Returns std::nullopt for an unknown job. Only durable states are reported.
    [[nodiscard]] std::optional<job_status> status(const job_id& job) const;
    // Number of accepted jobs of the queue of which no task has started; timed jobs are not
    // counted.
    [[nodiscard]] std::size_t queued_jobs(const queue_id& queue) const;

    // --- instances ------------------------------------------------------------------------------
    // The agent of `instance` now accepts orders of this coordinator; `found` is its inventory.
    // Called again for each further inventory, such as after the end of an executor. Runs on an
    // instance without a known executor end at the latest one expiry_delay after the first, or one
    // call_expiry_delay if no executor has listed them or one has ended whose calls the next one
    // may take.
    void instance_claimed(const instance_name& instance, const inventory& found);
    // The link to the agent is closed. Its runs count as running until `expires_at`, or until the
    // earlier time at which those of an instance without a known executor end; those that no
    // executor has listed at least until one start_expiry_delay after their order.
    void instance_disconnected(const instance_name& instance, instant expires_at);
    // True if the instance's executor is known. An agent without one must get no grants: the runs
    // that an earlier owner started there count as ended when the earlier grants expire.
    [[nodiscard]] bool has_executor(const instance_name& instance) const;
    // The tasks of an instance whose executor is not known, and when their runs have ended unless
    // an inventory resolves them before.
    struct unresolved_tasks {
        std::size_t count = 0;
        instant runs_end_by;
    };
    [[nodiscard]] unresolved_tasks unresolved(const instance_name& instance) const;
    void executor_changed(const instance_name& instance, const executor_info& info);
    // The executor has crashed or left; none of its runs is alive. `ages` holds the runs that the
    // agent knew of; empty if the agent does not report them. Ignored if the instance's executor is
    // not known yet: the agent's next inventory tells of the end.
    void executor_terminated(const instance_name& instance, executor_incarnation incarnation,
                             const std::vector<run_age>& ages = {});
    // The agent recorded the end before it left itself, so that no inventory tells of it. Has no
    // effect on runs of newer executors.
    void executor_end_recorded(const instance_name& instance, const executor_end& end);
    void start_reported(const instance_name& instance, const task_key& task, run_number run,
                        start_outcome outcome);
    // A stop was confirmed for a run that the executor does not have, or that has finished.
    void stop_confirmed(const instance_name& instance, const task_key& task, run_number run);
    void runs_finished(const instance_name& instance, executor_incarnation incarnation,
                       const std::vector<finished_task>& completions);
    // Tasks whose progress changed, and the executor's latest sample. `has_complete_view` is false
    // if the agent has not read complete lists of its executor since its previous report: the
    // progress of the other tasks is then unknown, not zero. A run that the coordinator does not
    // expect is stopped.
    void progress_reported(const instance_name& instance, const std::vector<running_task>& running,
                           const interference_sample& sample, bool has_complete_view = true);
    // Interference estimated from the samples of all instances.
    [[nodiscard]] const interference_model& interference() const;
    // Restores the estimates of an earlier owner as an agent has kept them.
    void restore_pressures(const interference_model::pressure_table& pressures);
    // The answer to a request for `asked`: the permits of those that may run the step.
    void permits_granted(const step_key& step, const std::vector<executor_id>& asked,
                         const std::vector<permit>& permits, instant valid_until);
    void permit_request_failed(const step_key& step);

    // --- time and writes -----------------------------------------------------------------------
    // Expires unreachable instances, releases occurrences that are due, and places ready tasks.
    // Call it after events and at least every 100 ms.
    void plan();
    [[nodiscard]] bool has_writes() const;
    // Returns the rows to write next; only one write may be in progress at a time.
    [[nodiscard]] std::vector<progress_row> begin_write();
    // The write is durable: sends the orders that waited for it.
    void write_done();
    // The write failed or its outcome is unknown; its rows are written again.
    void write_failed();

    struct counts {
        std::size_t jobs = 0;
        std::size_t waiting_tasks = 0;
        std::size_t running_tasks = 0;
        std::size_t instances = 0;
        std::size_t quarantined_instances = 0;
        // Cancelled jobs that have not been added.
        std::size_t early_cancellations = 0;
    };
    [[nodiscard]] counts count() const;
    // What is kept in memory of all jobs.
    struct kept_state {
        // Without deferred ones, and those of which only the phase is kept.
        std::size_t jobs = 0;
        std::size_t deferred_jobs = 0;
        std::size_t ended_jobs = 0;
        std::size_t occurrences = 0;
        std::size_t tasks = 0;
        // Of the objects and what they hold, without the overhead of the allocator.
        std::size_t bytes = 0;
    };
    [[nodiscard]] kept_state kept() const;
    // The share of its service's capacity that each queue with assigned tasks has in use, in
    // thousandths: the largest of its shares of processors, memory and accelerators.
    [[nodiscard]] std::map<queue_id, std::int64_t> queue_shares() const;
    // Run times by image as measured under this coordinator.
    [[nodiscard]] const run_times& measured_run_times() const;
    // Predicts from the current state when a job of each queue would start and end, and lists the
    // executors. `expected_instances` is the number of registered agents. Takes a walk over all
    // open tasks: meant for two calls a second.
    [[nodiscard]] fleet_forecast forecast(std::size_t expected_instances);

    struct state;

private:
    std::unique_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// Agent

// Low bits of a claim's epoch that count an owner's claims of one agent; the others hold the
// owner's epoch.
constexpr unsigned claim_counter_bits = 20;

// The fencing epoch of an owner's n-th claim of an agent. It increases with each connection, so
// that the executor refuses delayed orders of an earlier connection.
[[nodiscard]] constexpr epoch_number claim_epoch(epoch_number owner, std::uint64_t claims) {
    return epoch_number((owner.value() << claim_counter_bits) + claims);
}
[[nodiscard]] constexpr epoch_number owner_epoch(epoch_number claim) {
    return epoch_number(claim.value() >> claim_counter_bits);
}

// Orders that leave the agent. Calls to the executor carry the epoch, so that the executor refuses
// delayed orders of an earlier coordinator.
class agent_orders {
public:
    agent_orders() = default;
    agent_orders(const agent_orders&) = delete;
    agent_orders& operator=(const agent_orders&) = delete;
    virtual ~agent_orders() = default;

    virtual void call_start(const start_order& order, epoch_number epoch) = 0;
    virtual void call_stop(const task_key& task, run_number run, epoch_number epoch) = 0;
    virtual void call_pace(const task_key& task, run_number run, int percent,
                           epoch_number epoch) = 0;
    virtual void report_start(const task_key& task, run_number run, start_outcome outcome) = 0;
    virtual void report_stop(const task_key& task, run_number run) = 0;
    virtual void report_finished(executor_incarnation incarnation,
                                 const std::vector<finished_task>& completions) = 0;
    virtual void report_executor_terminated(executor_incarnation incarnation,
                                            const std::vector<run_age>& ages) = 0;
};

enum class start_answer : std::uint8_t {
    started,
    refused,
    no_capacity,
    bad_permit,
    stale_epoch,
    no_answer
};

// Snapshot of an executor's lists of running and finished runs.
struct executor_view {
    executor_incarnation incarnation;
    // When the lists were requested, and under which coordinator's epoch.
    instant requested_at;
    epoch_number epoch;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
    // False if runs may have finished that `finished` does not list: an executor returns a limited
    // number at a time, and the next ones once these are acknowledged. A run that such a view does
    // not list is then in an unknown state.
    bool is_complete = true;
};

class agent {
public:
    agent(const clock& time, agent_orders& orders, const lease_timing& timing = {});

    // --- coordinator ---------------------------------------------------------------------------
    // A coordinator claims this agent. Returns false if a later one already has.
    bool claim(epoch_number epoch);
    [[nodiscard]] epoch_number epoch() const noexcept { return epoch_; }
    [[nodiscard]] inventory current_inventory() const;
    // Orders of the coordinator; ignored unless they carry the current epoch.
    void start(const start_order& order, epoch_number epoch);
    void stop(const task_key& task, run_number run, epoch_number epoch);
    void acknowledge(executor_incarnation incarnation, completion_number number);
    // Sets the properties of a task that was started before this agent or its claim.
    void set_traits(const task_key& task, const task_traits& traits);
    // Sets the coordinator's estimate for a pair of images.
    void set_pressure(const std::string& serving, const std::string& filler, double pressure);
    // All estimates, for the next owner.
    [[nodiscard]] interference_model::pressure_table pressures() const {
        return model_.pressures();
    }
    // The coordinator answered a heartbeat: the lease is extended to `until` unless it already ends
    // later.
    void lease_granted(instant until);
    [[nodiscard]] instant lease_expires_at() const noexcept { return granted_until_; }

    // --- executor ------------------------------------------------------------------------------
    // A report describes an incarnation, and anyone may send one; only the lists tell which
    // incarnation the executor has. A report of another one is kept until they do. Returns true if
    // the coordinator must be notified of a change.
    bool executor_reported(const executor_info& info);
    // True if the report names the incarnation of the executor's lists but another id or service:
    // it comes from another writer and is ignored.
    [[nodiscard]] bool contradicts_lists(const executor_info& info) const;
    // Views must be delivered in the order in which they were requested. Returns true if the
    // coordinator must get an inventory: this is the first view of a reported executor under the
    // current claim, or it shows that the known executor has ended.
    bool executor_view_received(const executor_view& view);
    // The executor did not answer, or a connection to it broke or was refused: another one may
    // listen at its address by now. No start is sent until the next lists tell which one does.
    void connection_lost() noexcept { is_in_doubt_ = true; }
    // The executor's port refuses connections: none of the instance is alive. Returns true if the
    // coordinator must get an inventory, since this was not known. Call it only while no start is
    // open, which the next executor might take.
    bool executor_unreachable();
    // A start has been sent to the executor and start_answered has not been called for it.
    [[nodiscard]] bool has_open_starts() const noexcept { return !open_starts_.empty(); }
    void start_answered(const task_key& task, run_number run, start_answer answer);
    // Number of times that a start which is still unresolved has been sent to the executor.
    [[nodiscard]] int start_attempts(const task_key& task, run_number run) const;
    void stop_answered(const task_key& task, run_number run, bool is_confirmed);
    [[nodiscard]] const std::optional<executor_info>& executor() const noexcept {
        return executor_;
    }
    // Number of complete views received from executors since the agent's start.
    [[nodiscard]] std::uint64_t complete_view_count() const noexcept {
        return complete_view_count_;
    }
    // The latest measurements of the executor.
    [[nodiscard]] const interference_sample& sample() const noexcept { return sample_; }
    // Highest completion that the executor may discard.
    [[nodiscard]] completion_number acknowledged() const noexcept {
        return acknowledged_completion_;
    }

    // The lists of another incarnation than the first one under the current claim were read: calls
    // that were meant for that one may still reach this one. The coordinator must claim the agent
    // again, with a higher epoch; no inventory names an executor until then.
    [[nodiscard]] bool needs_claim() const;

    // Repeats unanswered orders. Call it every 100 ms.
    void tick();

private:
    struct order_state {
        start_order order;
        // When the order was last sent, or held.
        instant sent_at;
        // A start is not sent to the executor after that; see lease_timing::max_start_delay.
        instant start_until;
        // 0 for a start that is held until the next lists.
        int attempts = 0;
        // This stop withdraws a start that was not answered.
        bool is_withdrawal = false;
        // When the executor confirmed the stop; unset until then.
        std::optional<instant> confirmed_at;
    };
    using run_key = std::pair<task_key, run_number>;

    void forget_lists();
    void keep_report(const executor_info& info);
    [[nodiscard]] std::optional<executor_info> kept_report(executor_incarnation incarnation) const;
    void begin_incarnation(const executor_view& view);
    void record_end(executor_incarnation incarnation);
    void read_lists(const executor_view& view);
    [[nodiscard]] std::vector<unsettled_run> unsettled_runs() const;
    void update_sample();
    void update_pace();
    // True if the executor that the order is meant for may start a task now.
    [[nodiscard]] bool accepts(const start_order& order) const;
    // True if the start may be sent to the executor now, for the first time or again.
    [[nodiscard]] bool may_send(const order_state& state) const;
    // True if the executor's capacity is smaller than the one that the order was sent by.
    [[nodiscard]] bool has_shrunk_since(const start_order& order) const;
    void send_start(const run_key& key, order_state& state);
    void send_stop(const run_key& key, order_state& state);
    void withdraw_start(const run_key& key);
    void resolve_starts(const executor_view& view);
    void resolve_stops(const executor_view& view);
    void send_held_starts();
    void refuse_held_starts();
    // Drops all orders; the starts that may yet be carried out stay known.
    void leave_starts_unresolved();
    void record_begin(const run_key& key);
    [[nodiscard]] std::vector<run_age> run_ages() const;

    const clock& time_;
    agent_orders& orders_;
    lease_timing timing_;
    epoch_number epoch_;
    instant granted_until_;
    // The incarnation that the executor's lists name, and its report. Before any lists were read,
    // the latest report.
    std::optional<executor_incarnation> listed_incarnation_;
    std::optional<executor_info> executor_;
    // The latest report of each of the incarnations that have reported last, in order of arrival.
    std::vector<executor_info> reports_;
    std::optional<executor_end> last_end_;
    bool is_vacant_ = false;
    bool is_in_doubt_ = false;
    // The incarnation that the first lists under the current epoch named. Calls that were sent to
    // it may reach another one, which takes them: that one is used under a later epoch only.
    std::optional<executor_incarnation> epoch_incarnation_;
    // When the listed incarnation was first read under an epoch of its own. It has refused calls
    // that were meant for earlier ones since.
    std::optional<instant> refuses_earlier_calls_since_;
    // The lists of this incarnation have been read under the current epoch, and it is the epoch's
    // own: the executor refuses orders of earlier epochs, so that no run can start that the lists
    // do not contain.
    bool has_view_ = false;
    bool has_had_view_ = false;
    std::uint64_t complete_view_count_ = 0;
    std::map<run_key, order_state> pending_starts_;
    std::map<run_key, order_state> pending_stops_;
    // Runs whose start has been sent and not been answered. Its connection may be to a later
    // executor than the one that it is meant for.
    std::set<run_key> open_starts_;
    // Runs whose starts an earlier claim, or an executor that has ended, left unresolved. The first
    // lists under a claim of their own incarnation resolve them.
    std::set<run_key> unresolved_starts_;
    // Those that these lists did not show: the executor refuses the starts from now on.
    std::set<run_key> refused_starts_;
    std::map<run_key, running_task> running_;
    // When the executor answered the start of each run, or first listed it, and when it last
    // answered any call.
    std::map<run_key, instant> begun_at_;
    // Runs that an earlier process of this agent has started: they may be older than they seem.
    std::set<run_key> found_runs_;
    instant answered_at_;
    std::map<std::uint64_t, finished_task> finished_;
    std::map<task_key, task_traits> traits_;
    std::map<run_key, int> sent_pace_;
    interference_model model_;
    interference_pacer pacer_;
    interference_sample sample_;
    completion_number acknowledged_completion_;
    completion_number reported_completion_;
};

// ---------------------------------------------------------------------------------------------
// Encodings

// The row of a job; decode_job throws error(malformed_request) if it cannot be read.
[[nodiscard]] std::string encode_job(const submitted_job& job);
[[nodiscard]] submitted_job decode_job(std::string_view text);

// The key of a progress row: that of the job for the first row, otherwise "job/number".
[[nodiscard]] std::string progress_key(const job_id& job, std::uint32_t number);
struct progress_row_name {
    job_id job;
    std::uint32_t number = 0;
};
[[nodiscard]] progress_row_name parse_progress_key(std::string_view key);

// The phase in a first progress row; std::nullopt if it cannot be read.
[[nodiscard]] std::optional<job_phase> decode_job_phase(std::string_view row);

}  // namespace tanagerpaddle::dispatch
