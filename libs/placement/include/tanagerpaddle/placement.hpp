#pragma once

// Placement of pending tasks on workers, and the related policies. Nothing here does I/O.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// Snapshot of a worker for planning.
struct worker_view {
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    // Capacity less running, claimed and reserved amounts.
    resources free;
    // False for drained, leaving, quarantined or unreachable workers.
    bool accepts_work = true;
    // Expected relative slowdown of latency-critical work by one more batch task, 0 for none.
    double interference = 0;
};

// A task waiting to be placed.
struct pending_task {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    resources demand;
    job_priority priority = job_priority::normal;
    utc_millis complete_by;
    utc_millis submitted_at;
    milliseconds remaining_run_time{0};
    // Workers on which the task failed before; it is not placed on them.
    std::vector<worker_id> excluded_workers;
    // Expected slowdown of latency-critical work by this task, 0 for none; nullopt if unknown.
    std::optional<double> interference = std::nullopt;
};

// Last known usage of a team across the whole system, and its quota.
struct team_share {
    team_id team;
    resources used;
    resources quota;
    bool can_borrow = true;
};

enum class unplaced_reason : std::uint8_t {
    no_capacity,
    over_quota,
    larger_than_any_worker,
    all_workers_excluded,
};

[[nodiscard]] std::string_view name(unplaced_reason reason) noexcept;

struct placed_task {
    job_id job;
    std::uint32_t index = 0;
    worker_id worker;
};

struct unplaced_task {
    job_id job;
    std::uint32_t index = 0;
    unplaced_reason reason = unplaced_reason::no_capacity;
};

struct placement_plan {
    std::vector<placed_task> placed;
    std::vector<unplaced_task> unplaced;
};

// Input of one plan. `max_starts` bounds the number of placed tasks.
struct placement_input {
    std::vector<worker_view> workers;
    std::vector<pending_task> tasks;
    std::vector<team_share> teams;
    utc_millis now;
    std::size_t max_starts = 1'000;
};

// Placement algorithm. Implementations keep no state between calls.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    // The tasks placed on a worker never exceed its free capacity in total.
    [[nodiscard]] virtual placement_plan plan(const placement_input& input) const = 0;
};

// Baseline: tasks in the given order, each on the first worker with enough free capacity.
class first_fit_placement final : public placement_strategy {
public:
    [[nodiscard]] placement_plan plan(const placement_input& input) const override;
};

struct deadline_placement_options {
    // Safety margin before the latest start: fixed, plus a fraction of the remaining run time.
    milliseconds margin{30'000};
    double margin_fraction = 0.25;
    // Slack of a task expected to miss its deadline, so that it does not displace work that can be
    // on time. Shrinks by 1 ms for each ms of delay, so that late work does not starve.
    milliseconds late_task_slack{15 * 60'000};
    // A task of at least `large_task_fraction` of the largest worker that has waited this long
    // reserves a worker; at most `max_reserved_fraction` of the workers are reserved, at least 1.
    milliseconds reservation_delay{60'000};
    double large_task_fraction = 0.25;
    double max_reserved_fraction = 0.1;
    // Workers with a higher expected slowdown accept only urgent tasks, tasks with at most
    // `interference_slack` of slack and tasks known to cause no interference.
    double max_interference = 1.0;
    milliseconds interference_slack{5 * 60'000};
    // Workers that are scored for one task; the one with the lowest cost is chosen.
    std::size_t max_candidates = 64;
    double balance_weight = 1.0;
    double tightness_weight = 1.0;
    double accelerator_weight = 4.0;
    double interference_weight = 4.0;
    double spread_weight = 1.0;
};

// Places tasks by latest start, urgent ones first. Respects quotas, spreads jobs over failure
// domains, limits interference and reserves workers for large tasks. A task that fits no worker
// does not block others. Teams missing from the input have no quota. Takes O(n log n) for n tasks
// plus about O(max_candidates + log w) per placed task with w workers.
class deadline_placement final : public placement_strategy {
public:
    explicit deadline_placement(deadline_placement_options options = {}) : options_(options) {}
    [[nodiscard]] placement_plan plan(const placement_input& input) const override;
    // Latest start that meets the deadline, which is one day after submission if not set.
    [[nodiscard]] static utc_millis latest_start(const pending_task& task);

private:
    deadline_placement_options options_;
};

// ---------------------------------------------------------------------------------------------
// Preemption

// A task running on a worker.
struct running_task {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    worker_id worker;
    resources demand;
    job_kind kind = job_kind::batch;
    job_priority priority = job_priority::normal;
    utc_millis complete_by;
    milliseconds remaining_run_time{0};
    // Run time since the last checkpoint, lost on eviction; 0 if the task checkpoints on eviction.
    milliseconds unsaved_work{0};
    // False for a task that must not be restarted and would be lost by an eviction.
    bool can_resume = true;
    // Time of the last eviction; 0 if never evicted.
    utc_millis evicted_at;
};

enum class eviction_cause : std::uint8_t { urgent_task, quota_reclaim, domain_drained };

[[nodiscard]] std::string_view name(eviction_cause cause) noexcept;

struct eviction {
    job_id job;
    std::uint32_t index = 0;
    worker_id worker;
    eviction_cause cause = eviction_cause::urgent_task;
    milliseconds lost_work{0};
};

struct preemption_options {
    // Minimum time between two evictions of a task.
    milliseconds eviction_cooldown{10 * 60'000};
    std::size_t max_evictions = 8;  // for one pending task
};

// Chooses batch tasks to evict. Holds, urgent tasks, tasks that cannot resume and tasks that were
// evicted recently are never chosen.
class preemption_policy {
public:
    explicit preemption_policy(preemption_options options = {}) : options_(options) {}

    // Returns the evictions on one worker that free enough capacity for `task`. Prefers the fewest
    // evictions, then victims of teams above their quota, then the least lost work. Empty if the
    // task fits without evictions or no set of victims is sufficient. For a normal task, which must
    // be within its team's quota, victims are only tasks of teams above quota, and only until the
    // team is back at its quota.
    [[nodiscard]] std::vector<eviction> select_victims(const pending_task& task,
                                                       const std::vector<worker_view>& workers,
                                                       const std::vector<running_task>& running,
                                                       const std::vector<team_share>& teams,
                                                       utc_millis now) const;

private:
    preemption_options options_;
};

// ---------------------------------------------------------------------------------------------
// Run times

struct run_time_options {
    double quantile = 0.7;
    double decay = 0.97;             // weight factor of older samples per new sample
    double min_sample_weight = 3.0;  // for an estimate by prefix or team
    std::size_t max_prefixes = 1'024;
};

// Learns the ratio of actual to declared run times by team and job name prefix (the name up to its
// last '-', digits removed). Estimates use the prefix, then the team, then the declared time.
// Memory is bounded: the least recently used prefix is evicted.
class run_time_model {
public:
    explicit run_time_model(run_time_options options = {}) : options_(options) {}

    // Records a task that ran to completion; `actual` is its run time at full speed.
    void record_completion(const job_id& job, const team_id& team, milliseconds declared,
                           milliseconds actual);
    // Run time at the configured quantile for such tasks.
    [[nodiscard]] milliseconds estimate(const job_id& job, const team_id& team,
                                        milliseconds declared) const;
    // Remaining run time of a task that has run for `run` and reports `progress`, 0 to 1.
    [[nodiscard]] milliseconds estimate_remaining(const job_id& job, const team_id& team,
                                                  milliseconds declared, milliseconds run,
                                                  double progress) const;
    [[nodiscard]] std::size_t prefix_count() const noexcept { return prefixes_.size(); }

private:
    // Log-scale buckets of the ratio, a quarter octave wide, from 1/128 to 128.
    struct ratio_histogram {
        std::array<double, 57> weights{};
        double total = 0;
        std::uint64_t last_use = 0;
    };
    void add(ratio_histogram& histogram, double ratio) const;
    [[nodiscard]] double quantile_of(const ratio_histogram& histogram) const;

    run_time_options options_;
    std::uint64_t use_counter_ = 0;
    std::map<std::string, ratio_histogram> prefixes_;
    std::map<team_id, ratio_histogram> teams_;
};

// ---------------------------------------------------------------------------------------------
// Quarantine of workers

struct quarantine_options {
    // Recent results of distinct jobs kept for each worker, and the number needed to judge it.
    std::size_t max_results_per_worker = 16;
    std::size_t min_jobs = 4;
    // A worker is suspect from this failure rate and this multiple of the rate of the others on.
    double min_failure_rate = 0.8;
    double min_fleet_ratio = 3.0;
    // Failures of a job that failed on this many distinct workers do not count against a worker.
    std::size_t bad_job_min_workers = 3;
    // Fraction of the fleet that may be in quarantine, at least one worker.
    double max_quarantined_fraction = 0.1;
    milliseconds initial_backoff{60'000};
    milliseconds max_backoff{60 * 60'000};
    // A probe without a result within this time no longer blocks the next one.
    milliseconds probe_timeout{10 * 60'000};
    // Jobs whose results are tracked; the least recently used one is evicted.
    std::size_t max_tracked_jobs = 4'096;
};

enum class quarantine_state : std::uint8_t { in_service, quarantined, probe_due, probing };

// Detects workers that fail most of their tasks while the rest of the fleet does not.
class worker_quarantine {
public:
    explicit worker_quarantine(quarantine_options options = {}) : options_(options) {}

    // Sets the number of workers in the fleet, which bounds those in quarantine.
    void set_fleet_size(std::size_t workers) noexcept { fleet_size_ = workers; }
    // Records that a task of the job completed or failed on the worker (not evicted or cancelled).
    void record_result(const worker_id& worker, const job_id& job, bool has_failed, instant now);
    // in_service: accepts work. quarantined: accepts none. probe_due: accepts one idempotent task,
    // to be reported with record_probe. probing: accepts none until that task's result.
    [[nodiscard]] quarantine_state state(const worker_id& worker, instant now) const;
    void record_probe(const worker_id& worker, instant now);
    // Removes the state of a worker that left or was replaced.
    void remove_worker(const worker_id& worker);
    [[nodiscard]] std::vector<worker_id> quarantined() const;

private:
    struct job_result {
        job_id job;
        bool has_failed = false;
    };
    struct worker_record {
        std::deque<job_result> results;  // latest result of each distinct job
        bool is_quarantined = false;
        milliseconds backoff{0};
        instant probe_at;
        std::optional<instant> probing_until;
    };
    struct job_record {
        std::vector<worker_id> failed_on;
        std::uint64_t last_use = 0;
    };
    struct counts {
        std::size_t jobs = 0;
        std::size_t failed = 0;
    };
    [[nodiscard]] bool is_bad_job(const job_id& job) const;
    [[nodiscard]] counts count_results(const worker_record& record) const;
    [[nodiscard]] bool is_suspect(const worker_id& worker) const;
    void record_job_result(const worker_id& worker, const job_id& job, bool has_failed);
    void finish_probe(worker_record& record, bool has_failed, instant now) const;

    quarantine_options options_;
    std::size_t fleet_size_ = 0;
    std::uint64_t use_counter_ = 0;
    std::map<worker_id, worker_record> workers_;
    std::map<job_id, job_record> jobs_;
};

// ---------------------------------------------------------------------------------------------
// Interference

// Tail latency of a service on one worker over one reporting interval, with the batch job classes
// (name prefixes) that ran there and their processor use.
struct interference_sample {
    service_id service;
    std::int64_t p99_us = 0;
    // Fraction of busy slots, 0 to 1.
    double load = 0;
    std::vector<std::pair<std::string, millicores>> class_usage;
};

// Learns the increase of a service's tail latency per 1,000 millicores of a batch job class from
// delayed and noisy reports. Memory is bounded by `max_pairs`.
class interference_model {
public:
    explicit interference_model(std::size_t max_pairs = 4'096) : max_pairs_(max_pairs) {}

    void add_sample(const interference_sample& sample);
    // Tail latency without batch work at that load, in microseconds; 0 if unknown.
    [[nodiscard]] double baseline_us(const service_id& service, double load) const;
    // Expected relative increase of the service's tail latency at that processor use of the class.
    [[nodiscard]] double slowdown(const std::string& job_class, const service_id& service,
                                  millicores use) const;
    // Number of samples that contain the class and the service.
    [[nodiscard]] std::uint64_t sample_count(const std::string& job_class,
                                             const service_id& service) const;

private:
    static constexpr std::size_t load_buckets = 5;
    struct baseline {
        std::array<double, load_buckets> p99_us{};
    };
    struct effect {
        double log_increase_per_core = 0;  // natural log, for each 1,000 millicores
        std::uint64_t count = 0;
    };
    std::size_t max_pairs_;
    std::map<service_id, baseline> baselines_;
    std::map<std::pair<std::string, service_id>, effect> effects_;
};

enum class interference_mode : std::uint8_t { none, evict_at_once, stepwise };
enum class interference_step : std::uint8_t { throttle, move, evict, restore };

[[nodiscard]] std::string_view name(interference_step step) noexcept;

// A batch task running on the worker.
struct batch_load {
    job_id job;
    std::uint32_t index = 0;
    std::string job_class;
    millicores use;
    std::uint32_t speed_percent = 100;
};

// Action on one task, with its cause.
struct interference_action {
    interference_step step = interference_step::throttle;
    worker_id worker;
    job_id job;
    std::uint32_t index = 0;
    std::uint32_t speed_percent = 100;
    // Cause: the service, its measured and allowed tail latency, and the expected slowdown of the
    // service by this task.
    service_id service;
    std::int64_t p99_us = 0;
    std::int64_t allowed_us = 0;
    double expected_slowdown = 0;
};

struct interference_options {
    interference_mode mode = interference_mode::stepwise;
    // The tail latency is high above `high_latency_ratio` times the baseline and calm below
    // `low_latency_ratio` times.
    double high_latency_ratio = 1.5;
    double low_latency_ratio = 1.2;
    std::uint32_t min_high_reports = 2;  // consecutive, before each step
    std::uint32_t min_calm_reports = 3;  // consecutive, before speed is restored
    // Samples of a class from which on it is throttled without a high report.
    std::uint64_t min_samples_to_throttle = 100;
    // Delay and interval of the platform's latency reports; no further step within the delay.
    milliseconds reporting_lag{10'000};
    milliseconds reporting_interval{5'000};
    std::uint32_t min_speed_percent = 40;     // lowest speed of a throttled task
    std::uint32_t restore_step_percent = 20;  // added by each restore step
};

// Limits the interference of batch work with services on the same worker. Escalates with
// hysteresis: throttles the class with the largest effect as far as the model requires, then moves
// a task, then evicts one. A class with enough samples is throttled before a high report. Restores
// speed gradually, and only while the model expects the latency to stay low.
class interference_controller {
public:
    explicit interference_controller(interference_options options = {}) : options_(options) {}

    // Handles a latency report of a service on a worker. `loads` are the batch tasks running there
    // now. Returns throttles for the tasks of one class, one other action, or nothing.
    std::vector<interference_action> decide(const worker_id& worker,
                                            const interference_sample& sample,
                                            const std::vector<batch_load>& loads,
                                            const interference_model& model, instant now);
    // Removes the state of a worker that left.
    void remove_worker(const worker_id& worker);

private:
    struct pair_state {
        std::uint32_t consecutive_high_reports = 0;
        std::uint32_t consecutive_calm_reports = 0;
        std::optional<instant> wait_until;
        bool has_moved = false;
    };
    // Inputs of one call of decide.
    struct decision_input;
    std::vector<interference_action> throttle(const decision_input& input, double latency_us) const;
    std::vector<interference_action> escalate(pair_state& state, const decision_input& input) const;
    std::vector<interference_action> restore(const decision_input& input) const;
    [[nodiscard]] std::uint32_t throttled_speed(const decision_input& input,
                                                const batch_load& dominant_task,
                                                double latency_us) const;

    interference_options options_;
    std::map<std::pair<worker_id, service_id>, pair_state> states_;
};

// ---------------------------------------------------------------------------------------------
// Evacuation of failure domains

struct evacuation_options {
    // Rate of moves that the write budget for checkpoints allows, and the burst.
    double moves_per_second = 20;
    double burst = 20;
    milliseconds min_remaining_run_time{20'000};  // shorter tasks are not moved
    // Start rate in a returned failure domain, and how long the limit applies.
    double refill_starts_per_second = 10;
    milliseconds refill_period{120'000};
};

// Moves batch work out of drained failure domains and limits the start rate when they return.
class domain_evacuation {
public:
    explicit domain_evacuation(evacuation_options options = {}) : options_(options) {}

    // Returns the next tasks to checkpoint and move, urgent ones first, then those that can still
    // be on time, each by latest start. Limited by the move rate and by the free capacity of
    // `destinations`, of which only workers that accept work count. `running` are the tasks in
    // drained failure domains that are not being evicted yet; `pending_moves` are demands of moved
    // tasks that have not been placed again. Holds and tasks that cannot resume are not moved.
    [[nodiscard]] std::vector<eviction> next_moves(const std::vector<running_task>& running,
                                                   const std::vector<worker_view>& destinations,
                                                   const std::vector<resources>& pending_moves,
                                                   utc_millis now_utc, instant now);
    void on_domain_returned(const failure_domain_id& domain, instant now);
    void on_domain_drained(const failure_domain_id& domain);
    // Number of starts allowed in the failure domain now; unlimited after the refill period.
    [[nodiscard]] std::size_t allowed_starts(const failure_domain_id& domain, instant now) const;
    void record_starts(const failure_domain_id& domain, std::size_t starts);

private:
    struct refill {
        instant returned_at;
        double starts = 0;
    };
    evacuation_options options_;
    double tokens_ = 0;
    std::optional<instant> tokens_updated_at_;
    std::map<failure_domain_id, refill> returned_;
};

}  // namespace tanagerpaddle
