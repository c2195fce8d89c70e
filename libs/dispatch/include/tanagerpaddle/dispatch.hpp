#pragma once

// Dispatching of batch jobs and long-lived holds to executors: the coordinator decides what runs
// where, the agent beside each executor carries it out. Both are state machines without input or
// output: events come in as calls, orders leave through an interface of the caller.
//
// What must survive a process is a row of the table service: the job as submitted, and its progress
// (job_progress). A start is sent only after the row that names its worker and run is durable; an
// end is acknowledged only after the row that records it is durable.

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
// Number of one start of a task, from 1; later starts have higher numbers.
using run_number = strong_number<struct run_tag, std::uint32_t>;
// Start of an executor's life; two lives of one executor have different values.
using executor_incarnation = strong_number<struct executor_incarnation_tag, std::int64_t>;
// Position in an executor's list of ends, from 1 in each life.
using completion_number = strong_number<struct completion_tag>;

// A group of equal tasks of a job.
struct step_spec {
    std::uint32_t task_count = 1;
    resources demand;
    // Declared run time of one task; often far off.
    milliseconds estimate{0};
    // Earlier steps whose tasks must all have succeeded first.
    std::vector<std::uint32_t> depends_on;
    // Label that the executor must have; empty: any.
    std::string required_label;
    // Rack where the data is; empty: none.
    rack_id preferred_rack;
    // Most tasks of the step and occurrence on one executor; 0: no limit.
    std::uint32_t max_per_executor = 0;
    // Name of the program; tasks of one image behave alike.
    std::string image;
    // Tail latency that a serving task must stay below; 0: it serves nobody.
    milliseconds tail_target{0};
    // Tasks that may be away at once through our own actions; unset: no such limit.
    std::optional<std::uint32_t> max_unavailable;
    bool writes_checkpoints = false;
    // All tasks start together, succeed together and fail together.
    bool is_gang = false;
    bool is_single_rack = false;
    bool is_speculative = false;
    // Runs until the job is cancelled; restarted however it ends.
    bool is_long_running = false;
    // Takes processors that others leave idle; its processors are not reserved.
    bool is_filler = false;
};

struct job_spec {
    // Opaque to the scheduler; handed to each task.
    std::string payload;
    std::vector<step_spec> steps;
    // Occurrences of a timed job; 0: the steps run once, at once.
    std::uint32_t occurrences = 0;
    utc_millis first_due;
    milliseconds interval{0};
};

// Throws error(malformed_request) that names the field unless the job is well formed.
void validate(const job_spec& job);

// Bounds for well-formed jobs; they keep a progress row under the store's 64 KiB.
constexpr std::size_t max_steps = 64;
constexpr std::uint32_t max_tasks_per_step = 1'000;

// What the configuration says of a queue.
struct queue_rules {
    service_id service;
    // 0 is the most urgent.
    int priority = 0;
    // Failed runs of one task after which its job has failed.
    std::uint32_t max_attempts = 1;
    // The objective of a job is stretch x its longest chain + target.
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
// Nothing unless the text has that form.
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

enum class job_phase : std::uint8_t { pending, running, completed, failed, cancelled };
[[nodiscard]] std::string_view name(job_phase phase) noexcept;

// ---------------------------------------------------------------------------------------------
// Executors

// What an executor says of itself. One executor runs beside each agent.
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
    // The lease ended.
    lease_expired,
    // Another member of the gang ended.
    gang_member_ended,
    // The other members of the gang did not come in time.
    gang_incomplete,
};

struct running_task {
    task_key task;
    run_number run;
    // Newest checkpoint; empty: none.
    std::string checkpoint;
    // Share of the work that is done; 100 for a long-running task at work.
    int percent = 0;
    // Tail latency in milliseconds of a serving task, otherwise the millicores in use.
    std::int64_t measurement = 0;
};

struct finished_task {
    completion_number number;
    task_key task;
    run_number run;
    run_outcome outcome = run_outcome::failed;
    std::string checkpoint;
};

// What an agent tells a coordinator that has claimed it.
struct inventory {
    std::optional<executor_info> executor;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

enum class start_outcome : std::uint8_t {
    started,
    // The run will never start: the executor said so, or a stop for it was confirmed.
    not_started,
    // As above, for want of room.
    no_capacity,
    // As above, and the permit was refused.
    bad_permit,
};

// What an agent needs to know of a task to pace fillers.
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
};

// ---------------------------------------------------------------------------------------------
// Timing

// Every duration that decides when a run is certainly gone. All processes of a system must use the
// same values.
struct lease_timing {
    // An agent keeps its executor's work alive for this long after it sent the message that the
    // coordinator's newest grant answers. Longer than a pause of 3.5 s and a missed beat.
    milliseconds lease_duration{4'500};
    // Interval of an agent's beats; each is answered by a grant.
    milliseconds heartbeat_interval{300};
    // A coordinator without the store keeps granting for this long, so that work survives an
    // outage of this plus `grant`.
    milliseconds max_renewal_without_store{7'000};
    // Share by which an executor's clock may be slow.
    double max_clock_drift = 0.02;
    // Time that an executor may take to kill its work after the lease has ended.
    milliseconds max_kill_time{200};
    // No beat for this long: the link is closed and made anew.
    milliseconds link_timeout{1'500};

    // After the last grant, the work of an agent that has not been heard is gone after this time.
    [[nodiscard]] milliseconds expiry_delay() const {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(lease_duration.count()) *
                                                      (1 + max_clock_drift))) +
               max_kill_time;
    }
};

// ---------------------------------------------------------------------------------------------
// Interference

// What an executor measured over the last half second: serving tasks, which have a tail latency
// target, and fillers beside them.
struct interference_sample {
    struct serving {
        std::string image;
        milliseconds target{0};
        // The worst of the image's tasks.
        milliseconds tail{0};
    };
    struct filler {
        std::string image;
        // In use, and wanted at full pace, by all tasks of the image.
        millicores used;
        millicores demand;
    };
    millicores capacity;
    std::vector<serving> serving_tasks;
    std::vector<filler> fillers;
};

// How much fillers of an image press on serving tasks of another, learned for each pair of images.
// A serving task behaves like a queue: its tail grows as floor / (1 - utilisation). Utilisation is
// its own load plus, for each filler, the pair's pressure times the filler's share of the machine's
// processors. The own load is unknown and differs by machine, but it changes slowly: a Kalman
// filter follows the pressures by the differences between successive samples of one machine.
class interference_model {
public:
    // `source` names the machine; samples of one machine come in order.
    void observe(const std::string& source, instant now, const interference_sample& sample);
    // Utilisation added by a filler that uses the whole machine; 0 for a pair whose fillers are not
    // told apart from harmless ones.
    [[nodiscard]] double pressure(const std::string& serving, const std::string& filler) const;
    // The part of a task's utilisation that fillers do not explain.
    [[nodiscard]] double baseline_load(const interference_sample::serving& task,
                                       const interference_sample& sample) const;
    // The utilisation up to which fillers are welcome.
    [[nodiscard]] double utilisation_limit(const std::string& serving, milliseconds target) const;
    using pressure_table = std::map<std::string, std::map<std::string, double>>;
    // The pressure of each pair that was seen together.
    [[nodiscard]] pressure_table pressures() const;
    void set(const std::string& serving, const std::string& filler, double pressure_value);
    // What an earlier owner had learned; pairs that are known here keep their estimate.
    void restore_pressure(const std::string& serving, const std::string& filler, double pressure_value);
    // Grows with each change.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

private:
    struct estimate {
        double mean;
        double variance;
    };
    struct earlier_sample {
        instant at;
        interference_sample sample;
    };

    [[nodiscard]] double floor_of(const std::string& serving, milliseconds target) const;
    [[nodiscard]] double utilisation(const std::string& serving, milliseconds target,
                                     double tail_ms) const;
    void learn_difference(const interference_sample::serving& task,
                          const interference_sample::serving& earlier,
                          const std::map<std::string, double>& changes, double seconds);

    // Keyed by serving image, then by the filler's.
    std::map<std::string, std::map<std::string, estimate>> estimates_;
    std::map<std::string, earlier_sample> earlier_;
    std::uint64_t revision_ = 0;
    std::map<std::string, double> floors_;
};

// Decides how much of their processors the fillers of each image may use on one machine. Answers
// load in which batch work makes a serving task miss its target: the images that press least run
// first, the others get what the serving tasks can bear. A task that stays over its target whatever
// the model says has all fillers beside it held back until it is well.
class interference_pacer {
public:
    // Percent by image.
    const std::map<std::string, int>& update(const interference_model& model,
                                             const interference_sample& sample, instant now);
    [[nodiscard]] const std::map<std::string, int>& pace_percents() const noexcept {
        return percents_;
    }

private:
    [[nodiscard]] bool is_overdue(const interference_sample& sample, instant now);

    std::map<std::string, int> percents_;
    // Serving images over their target, and since when.
    std::map<std::string, instant> over_since_;
};

// ---------------------------------------------------------------------------------------------
// Coordinator

// Name of the machine of an agent and its executor.
using instance_name = strong_id<struct instance_tag>;

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

// Orders that leave the coordinator.
class coordinator_orders {
public:
    coordinator_orders() = default;
    coordinator_orders(const coordinator_orders&) = delete;
    coordinator_orders& operator=(const coordinator_orders&) = delete;
    virtual ~coordinator_orders() = default;

    virtual void start(const instance_name& machine, const start_order& order) = 0;
    virtual void stop(const instance_name& machine, const task_key& task, run_number run) = 0;
    // All ends up to `number` are durable.
    virtual void acknowledge(const instance_name& machine, executor_incarnation lifetime,
                             completion_number number) = 0;
    virtual void request_permits(const step_key& step,
                                 const std::vector<executor_id>& executors) = 0;
    // Tells an agent what it needs to pace a run that an earlier owner started.
    virtual void send_traits(const instance_name& machine, const task_key& task,
                             const task_traits& traits) = 0;
};

// A row of the progress table.
struct progress_row {
    job_id job;
    std::string value;
};

struct job_status {
    job_phase phase = job_phase::pending;
};

class placement_policy;

// Decides what runs where for all jobs of a system. One process at a time writes progress rows; the
// caller makes sure of that (see libs/dispatch_node). All state that matters after a takeover is in
// the rows: add_job and restore rebuild it, claimed() adds what agents report.
class coordinator {
public:
    struct options {
        lease_timing timing;
        // Rows of one write; the store takes 100 entries, one of which is the owner's row.
        std::size_t max_rows_per_write = 90;
    };

    coordinator(options with, const clock& time, coordinator_orders& orders);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    // --- configuration -------------------------------------------------------------------------
    // Queues that exist now. Jobs of other queues keep the rules that they were accepted with, but
    // start nothing.
    void set_queues(const std::map<queue_id, queue_rules>& queues);
    // Failure domains in which nothing may start.
    void set_evacuated(const std::set<failure_domain_id>& domains);

    // --- jobs ----------------------------------------------------------------------------------
    // A job that the store holds. `age` is the time since its acceptance. Known jobs are ignored.
    void add_job(const submitted_job& job, milliseconds age);
    // A progress row that an earlier owner wrote, after add_job of its job. Rows that cannot be
    // read are reported and ignored. Tasks that the row places on a machine stay there until the
    // machine's inventory or certain end tells what became of them.
    // Returns false if the row cannot be read.
    bool restore(const job_id& job, std::string_view row, instant machines_gone_at);
    void cancel_job(const job_id& job);
    // Nothing if no such job is known. Only durable states are shown.
    [[nodiscard]] std::optional<job_status> status(const job_id& job) const;
    // Accepted jobs of the queue, those with due times left out, none of whose tasks has started.
    [[nodiscard]] std::size_t queued_jobs(const queue_id& queue) const;

    // --- machines ------------------------------------------------------------------------------
    // The agent of `machine` obeys this coordinator now; `found` is what it reports.
    void instance_claimed(const instance_name& machine, const inventory& found);
    // The link to the agent is gone. Its work counts as running until gone_at.
    void instance_disconnected(const instance_name& machine, instant gone_at);
    void executor_changed(const instance_name& machine, const executor_info& info);
    // The executor has crashed or left; nothing runs on it any more.
    void executor_terminated(const instance_name& machine, executor_incarnation lifetime);
    void start_reported(const instance_name& machine, const task_key& task, run_number run,
                        start_outcome outcome);
    // A stop was confirmed for a run that the executor does not know, or that has ended.
    void stop_confirmed(const instance_name& machine, const task_key& task, run_number run);
    void runs_finished(const instance_name& machine, executor_incarnation lifetime,
                       const std::vector<finished_task>& ends);
    // Tasks that have progressed, and what the executor measured last.
    void progress_reported(const instance_name& machine, const std::vector<running_task>& running,
                           const interference_sample& sample);
    // What has been learned of all machines.
    [[nodiscard]] const interference_model& interference() const;
    // What an earlier owner had learned, as an agent remembers it.
    void restore_pressures(const interference_model::pressure_table& pressures);
    void permits_granted(const step_key& step, const std::vector<permit>& permits,
                         instant valid_until);
    void permit_request_failed(const step_key& step);

    // --- time and writes -----------------------------------------------------------------------
    // Expires machines, releases occurrences that are due, and places what can be placed. Call it
    // after events and at least every 100 ms.
    void plan();
    // True if there is something to write.
    [[nodiscard]] bool has_writes() const;
    // The rows to write next; one write is in progress at a time.
    [[nodiscard]] std::vector<progress_row> begin_write();
    // The write is durable: the orders that waited for it leave.
    void write_done();
    // The write had no effect, or it is not known to have had one; its rows are written again.
    void write_failed();

    struct counts {
        std::size_t jobs = 0;
        std::size_t waiting_tasks = 0;
        std::size_t running_tasks = 0;
        std::size_t instances = 0;
        std::size_t quarantined_instances = 0;
    };
    [[nodiscard]] counts count() const;

    struct state;

private:
    std::unique_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// Agent

// Claims of one agent by one owner; the rest of a claim's number is the owner's epoch.
constexpr unsigned claim_counter_bits = 20;

// The fencing number of an owner's n-th claim of an agent. It grows with each connection, so that
// an order that was sent over an earlier one and is carried out late is refused by the executor.
[[nodiscard]] constexpr epoch_number claim_epoch(epoch_number owner, std::uint64_t claims) {
    return epoch_number((owner.value() << claim_counter_bits) + claims);
}
[[nodiscard]] constexpr epoch_number owner_epoch(epoch_number claim) {
    return epoch_number(claim.value() >> claim_counter_bits);
}

// Orders that leave the agent. Calls to the executor carry the epoch, so that orders of an earlier
// coordinator that arrive late are refused.
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
    virtual void report_finished(executor_incarnation lifetime,
                                 const std::vector<finished_task>& ends) = 0;
    virtual void report_executor_terminated(executor_incarnation lifetime) = 0;
};

enum class start_answer : std::uint8_t {
    started,
    refused,
    no_capacity,
    bad_permit,
    stale_epoch,
    no_answer
};

// What an executor's lists held, read at one moment.
struct executor_view {
    executor_incarnation incarnation;
    // When the lists were asked for, and by which coordinator's number.
    instant requested_at;
    epoch_number epoch;
    std::vector<running_task> running;
    std::vector<finished_task> finished;
};

class agent {
public:
    agent(const clock& time, agent_orders& orders);

    // --- coordinator ---------------------------------------------------------------------------
    // A coordinator presents itself; false if a later one has done so.
    bool claim(epoch_number epoch);
    [[nodiscard]] epoch_number epoch() const noexcept { return epoch_; }
    [[nodiscard]] inventory current_inventory() const;
    // Orders; ignored unless they carry the current epoch.
    void start(const start_order& order, epoch_number epoch);
    void stop(const task_key& task, run_number run, epoch_number epoch);
    void acknowledge(executor_incarnation lifetime, completion_number number);
    // The coordinator knows these runs; tells which of them serve and which fill.
    void set_traits(const task_key& task, const task_traits& traits);
    // What the coordinator has learned of a pair of images.
    void set_pressure(const std::string& serving, const std::string& filler, double pressure);
    // All that was learned, for the next owner.
    [[nodiscard]] interference_model::pressure_table pressures() const {
        return model_.pressures();
    }
    // The coordinator answered a beat that was sent at `sent`.
    void lease_granted(instant until);
    [[nodiscard]] instant lease_expires_at() const noexcept { return granted_until_; }

    // --- executor ------------------------------------------------------------------------------
    // Returns true if the coordinator should hear of a change. A life that was followed by another
    // is ignored.
    bool executor_reported(const executor_info& info);
    // Returns true if the coordinator should get an inventory: this is the first view of this life.
    bool executor_view_received(const executor_view& view);
    // The executor's port refuses connections, or it has left.
    void executor_unreachable();
    void start_answered(const task_key& task, run_number run, start_answer answer);
    void stop_answered(const task_key& task, run_number run, bool is_confirmed);
    [[nodiscard]] const std::optional<executor_info>& executor() const noexcept {
        return executor_;
    }
    // What the executor measured last.
    [[nodiscard]] const interference_sample& sample() const noexcept { return sample_; }
    // Highest end that may be forgotten.
    [[nodiscard]] completion_number acknowledged() const noexcept { return acknowledged_; }

    // Repeats unanswered orders. Call it every 100 ms.
    void tick();

private:
    struct order_state {
        start_order order;
        instant sent_at;
        int tries = 0;
        // A stop that replaces a start without an answer.
        bool is_withdrawal = false;
        // When the executor confirmed the stop; unset before that.
        std::optional<instant> confirmed_at;
    };
    using run_key = std::pair<task_key, run_number>;

    void forget_executor_state();
    void take_sample();
    void update_pace();
    void withdraw(const run_key& key);
    void settle_starts(const executor_view& view);
    void settle_stops(const executor_view& view);

    const clock& time_;
    agent_orders& orders_;
    epoch_number epoch_;
    instant granted_until_;
    std::optional<executor_info> executor_;
    // The lists of this life have been read under the current number: the executor refuses orders
    // of earlier ones, so that nothing starts that the lists do not hold.
    bool has_view_ = false;
    std::map<run_key, order_state> starting_;
    std::map<run_key, order_state> stopping_;
    std::map<run_key, running_task> running_;
    std::map<std::uint64_t, finished_task> finished_;
    std::map<task_key, task_traits> traits_;
    std::map<run_key, int> paced_;
    interference_model model_;
    interference_pacer pacer_;
    interference_sample sample_;
    completion_number acknowledged_;
    completion_number reported_;
};

// ---------------------------------------------------------------------------------------------
// Encodings

// The row of a job; throws error(malformed_request) if it cannot be read.
[[nodiscard]] std::string encode_job(const submitted_job& job);
[[nodiscard]] submitted_job decode_job(std::string_view text);

// The phase that a progress row states; nothing if it cannot be read.
[[nodiscard]] std::optional<job_phase> decode_job_phase(std::string_view row);

}  // namespace tanagerpaddle::dispatch
