#pragma once

// Decides which pending task goes to which worker. Pure functions over views of the state.

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

// A worker as the planner sees it.
struct worker_view {
    worker_id id;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    // What is left after running, claimed and reserved amounts.
    resources free;
    // False for drained, leaving, quarantined or silent workers.
    bool accepts_work = true;
    // Expected slowdown of latency-critical work if one more batch task is added, 0 for none.
    double interference = 0;
};

// A task that waits for a worker.
struct pending_task {
    job_id job;
    std::uint32_t index = 0;
    team_id team;
    resources demand;
    job_priority priority = job_priority::normal;
    utc_millis complete_by;
    utc_millis submitted_at;
    // Estimate of the run time that remains.
    milliseconds remaining_run_time{0};
    // Workers on which the task failed before.
    std::vector<worker_id> excluded_workers;
    // Expected slowdown of latency-critical work by this task, 0 for none; unknown if not set.
    std::optional<double> interference = std::nullopt;
};

// What a team uses in the whole system, as far as it is known.
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

// The state that a plan is made from. `max_starts` bounds the number of placed tasks.
struct placement_input {
    std::vector<worker_view> workers;
    std::vector<pending_task> tasks;
    std::vector<team_share> teams;
    utc_millis now;
    std::size_t max_starts = 1'000;
};

// A way to place tasks. Implementations keep no state between calls.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    // Each placed task fits into what earlier ones of the plan left free on its worker.
    [[nodiscard]] virtual placement_plan plan(const placement_input& input) const = 0;
};

// Baseline: tasks in the given order, each on the first worker with room.
class first_fit_placement final : public placement_strategy {
public:
    [[nodiscard]] placement_plan plan(const placement_input& input) const override;
};

struct deadline_placement_options {
    // Added to the remaining run time when the latest start is computed.
    milliseconds margin{30'000};
    double margin_fraction = 0.25;
    // A task that is expected to miss its deadline is ranked as if it had this much time left, so
    // that it does not take the place of work that can still be on time. Each ms of delay reduces
    // it by one ms, so late work does not starve.
    milliseconds late_task_slack{15 * 60'000};
    // A task of at least `large_task_fraction` of the largest worker that has waited this long
    // reserves a worker; at most `max_reserved_fraction` of the workers are reserved, at least 1.
    milliseconds reservation_delay{60'000};
    double large_task_fraction = 0.25;
    double max_reserved_fraction = 0.1;
    // Workers whose services would be slowed down more take only urgent tasks, those with less
    // slack and those known to slow nothing down.
    double max_interference = 1.0;
    milliseconds interference_slack{5 * 60'000};
    // Workers that are compared for one task; the best of these is taken.
    std::size_t max_candidates = 64;
    double balance_weight = 1.0;
    double tightness_weight = 1.0;
    double accelerator_weight = 4.0;
    double interference_weight = 4.0;
    double spread_weight = 1.0;
};

// Places tasks in the order of their latest start, urgent ones first, with quotas, spread,
// interference and reservations for large tasks. A task that fits no worker blocks no other. Teams
// without a share in the input have no quota. Takes O(n log n) for n tasks and about
// O(max_candidates + log w) for each placed one of w workers.
class deadline_placement final : public placement_strategy {
public:
    explicit deadline_placement(deadline_placement_options options = {}) : options_(options) {}
    [[nodiscard]] placement_plan plan(const placement_input& input) const override;
    // When the task has to start to be complete in time, in UTC milliseconds. A task without a
    // deadline has one day from its submission.
    [[nodiscard]] static utc_millis latest_start(const pending_task& task);

private:
    deadline_placement_options options_;
};

// ---------------------------------------------------------------------------------------------
// Preemption

// A task that occupies a worker.
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
    // Work since the last checkpoint, which an eviction loses; 0 if it checkpoints on eviction.
    milliseconds unsaved_work{0};
    // False for a task that may not run again, so that an eviction would lose it.
    bool can_resume = true;
    // When it was evicted last; 0: never.
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
    // A task that was evicted is left alone for this long.
    milliseconds eviction_cooldown{10 * 60'000};
    std::size_t max_evictions = 8;  // for one pending task
};

// Chooses batch tasks to evict. Holds, urgent tasks, tasks that cannot resume and tasks that were
// evicted recently are never chosen.
class preemption_policy {
public:
    explicit preemption_policy(preemption_options options = {}) : options_(options) {}

    // The evictions on one worker that make room for `task`: the fewest, then those of teams above
    // their quota, then those with the least lost work. Empty if the task fits without or cannot
    // be helped. For a normal task, which must be within the quota of its team, only tasks of
    // teams above their quotas are evicted, and none of a team once it is back at its quota.
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
    double decay = 0.97;             // weight that each further sample leaves to the older ones
    double min_sample_weight = 3.0;  // of samples, to believe a prefix rather than its team
    std::size_t max_prefixes = 1'024;
};

// Learns the ratio of actual to declared run times by team and job name prefix (the name up to its
// last '-', digits removed). Memory is bounded: the prefix unused for longest is forgotten.
class run_time_model {
public:
    explicit run_time_model(run_time_options options = {}) : options_(options) {}

    // Notes a task that ran to its end; `actual` is the time that it takes at full speed.
    void record_completion(const job_id& job, const team_id& team, milliseconds declared,
                           milliseconds actual);
    // The run time that the configured quantile of such tasks does not exceed.
    [[nodiscard]] milliseconds estimate(const job_id& job, const team_id& team,
                                        milliseconds declared) const;
    // The time left for a task that has run for `run` and reports `progress`, 0 to 1.
    [[nodiscard]] milliseconds estimate_remaining(const job_id& job, const team_id& team,
                                                  milliseconds declared, milliseconds run,
                                                  double progress) const;
    [[nodiscard]] std::size_t prefix_count() const noexcept { return prefixes_.size(); }

private:
    // Weights over the logarithm of the ratio, in steps of a quarter octave from 1/128 to 128.
    struct ratio_histogram {
        std::array<double, 57> weights{};
        double total = 0;
        std::uint64_t used_at = 0;
    };
    void add(ratio_histogram& histogram, double ratio) const;
    [[nodiscard]] double quantile_of(const ratio_histogram& histogram) const;

    run_time_options options_;
    std::uint64_t uses_ = 0;
    std::map<std::string, ratio_histogram> prefixes_;
    std::map<team_id, ratio_histogram> teams_;
};

// ---------------------------------------------------------------------------------------------
// Quarantine of workers

struct quarantine_options {
    // Recent results of distinct jobs that are kept for each worker, and how many are needed.
    std::size_t max_results_per_worker = 16;
    std::size_t min_jobs = 4;
    // A worker is suspect at this share of failed jobs, and at this multiple of the fleet's share.
    double min_failure_rate = 0.8;
    double min_fleet_ratio = 3.0;
    // A job that failed on this many distinct workers says nothing about a worker.
    std::size_t bad_job_min_workers = 3;
    // Share of the fleet that may be in quarantine, at least one worker.
    double max_quarantined_fraction = 0.1;
    milliseconds initial_backoff{60'000};
    milliseconds max_backoff{60 * 60'000};
    // A result of a probe that does not arrive in time does not block the next probe.
    milliseconds probe_timeout{10 * 60'000};
    // Jobs whose results are remembered.
    std::size_t max_tracked_jobs = 4'096;
};

enum class quarantine_state : std::uint8_t { in_service, quarantined, probe_due, probing };

// Finds workers that fail nearly everything they start, compared with the rest of the fleet.
class worker_quarantine {
public:
    explicit worker_quarantine(quarantine_options options = {}) : options_(options) {}

    // The number of workers in the fleet, which bounds those in quarantine.
    void set_fleet_size(std::size_t workers) noexcept { fleet_size_ = workers; }
    // Notes that a task of the job ended on the worker by itself (not evicted or cancelled).
    void record_result(const worker_id& worker, const job_id& job, bool has_failed, instant now);
    // in_service: accepts work. quarantined: accepts none. probe_due: accepts one idempotent task,
    // to be reported with record_probe. probing: accepts none until that task's result.
    [[nodiscard]] quarantine_state state(const worker_id& worker, instant now) const;
    void record_probe(const worker_id& worker, instant now);
    // Forgets a worker that left or was replaced.
    void remove_worker(const worker_id& worker);
    // The workers in quarantine.
    [[nodiscard]] std::vector<worker_id> quarantined() const;

private:
    struct job_result {
        job_id job;
        bool has_failed = false;
    };
    struct worker_record {
        std::deque<job_result> results;  // the last one of each distinct job
        bool is_quarantined = false;
        milliseconds backoff{0};
        instant probe_at;
        std::optional<instant> probing_until;
    };
    struct job_record {
        std::vector<worker_id> failed_on;
        std::uint64_t used_at = 0;
    };
    struct counts {
        std::size_t jobs = 0;
        std::size_t failed = 0;
    };
    [[nodiscard]] bool is_bad_job(const job_id& job) const;
    [[nodiscard]] counts counted(const worker_record& record) const;
    [[nodiscard]] bool is_suspect(const worker_id& worker) const;
    void note_job(const worker_id& worker, const job_id& job, bool has_failed);
    void end_probe(worker_record& record, bool has_failed, instant now) const;

    quarantine_options options_;
    std::size_t fleet_size_ = 0;
    std::uint64_t uses_ = 0;
    std::map<worker_id, worker_record> workers_;
    std::map<job_id, job_record> jobs_;
};

// ---------------------------------------------------------------------------------------------
// Interference

// The tail latency of a service on one worker over an interval that ended at `measured_at`, with
// the batch job classes (name prefixes) that ran there then and their processor use.
struct interference_sample {
    service_id service;
    std::int64_t p99_us = 0;
    // Share of busy slots, 0 to 1.
    double load = 0;
    std::vector<std::pair<std::string, millicores>> class_usage;
};

// Learns by how much for each 1,000 millicores a batch job class raises the tail latency of a
// service, from late and noisy reports. Memory is bounded by `max_pairs`.
class interference_model {
public:
    explicit interference_model(std::size_t max_pairs = 4'096) : max_pairs_(max_pairs) {}

    void add_sample(const interference_sample& sample);
    // Tail latency without batch work at that load, in microseconds; 0 while unknown.
    [[nodiscard]] double baseline_us(const service_id& service, double load) const;
    // Expected relative increase of the service's tail latency by that use of the class.
    [[nodiscard]] double slowdown(const std::string& job_class, const service_id& service,
                                  millicores use) const;
    // Samples that the pair was seen in.
    [[nodiscard]] std::uint64_t sample_count(const std::string& job_class,
                                             const service_id& service) const;

private:
    static constexpr std::size_t load_steps = 5;
    struct baseline {
        std::array<double, load_steps> p99_us{};
    };
    struct effect {
        double per_core = 0;  // logarithm of the increase for each 1,000 millicores
        std::uint64_t count = 0;
    };
    std::size_t max_pairs_;
    std::map<service_id, baseline> baselines_;
    std::map<std::pair<std::string, service_id>, effect> effects_;
};

enum class interference_mode : std::uint8_t { none, evict_at_once, stepwise };
enum class interference_step : std::uint8_t { throttle, move, evict, restore };

[[nodiscard]] std::string_view name(interference_step step) noexcept;

// A batch task on a worker as the controller sees it.
struct batch_load {
    job_id job;
    std::uint32_t index = 0;
    std::string job_class;
    millicores use;
    std::uint32_t speed_percent = 100;
};

// What to do with one task, and why.
struct interference_action {
    interference_step step = interference_step::throttle;
    worker_id worker;
    job_id job;
    std::uint32_t index = 0;
    std::uint32_t speed_percent = 100;
    // Cause: the service whose tail latency is too high, measured and allowed, and the learned
    // share of the task's class in it.
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
    std::uint32_t min_high_reports = 2;           // in a row before each step
    std::uint32_t min_calm_reports = 3;           // in a row before speed is given back
    std::uint64_t min_samples_to_throttle = 100;  // of a class to throttle it without a high report
    // Wait after each step: the platform's reporting lag and the reporting interval.
    milliseconds reporting_lag{10'000};
    milliseconds reporting_interval{5'000};
    std::uint32_t min_speed_percent = 40;     // speed of a throttled task
    std::uint32_t restore_step_percent = 20;  // added in each calm wait
};

// Steps against batch work that raises the tail latency of a service on the same worker: throttle
// the class with the largest effect as far as the model says is needed, at once if the class is
// well known, then move a task, then evict, with hysteresis. Gives speed back gradually, and only
// as far as the model expects the service to stay calm.
class interference_controller {
public:
    explicit interference_controller(interference_options options = {}) : options_(options) {}

    // Decides on a new latency report of a service on a worker. `loads` are the batch tasks that
    // run there now. Returns throttles of all tasks of one class, or one other action, or nothing.
    std::vector<interference_action> decide(const worker_id& worker,
                                            const interference_sample& sample,
                                            const std::vector<batch_load>& loads,
                                            const interference_model& model, instant now);
    // Forgets a worker that left.
    void remove_worker(const worker_id& worker);

private:
    struct pair_state {
        std::uint32_t high_reports = 0;
        std::uint32_t calm_reports = 0;
        std::optional<instant> wait_until;
        bool has_moved = false;
    };
    // One report with what the decision needs besides.
    struct report;
    std::vector<interference_action> throttle(const report& input, double latency_us) const;
    std::vector<interference_action> raise(pair_state& state, const report& input) const;
    std::vector<interference_action> restore(const report& input) const;
    [[nodiscard]] std::uint32_t throttled_speed(const report& input, const batch_load& culprit,
                                                double latency_us) const;

    interference_options options_;
    std::map<std::pair<worker_id, service_id>, pair_state> states_;
};

// ---------------------------------------------------------------------------------------------
// Evacuation of failure domains

struct evacuation_options {
    // Checkpoints a second that the write budget allows for moves, and the burst.
    double moves_per_second = 20;
    double burst = 20;
    milliseconds min_remaining_run_time{20'000};  // work that ends sooner is left where it runs
    // Starts a second in a returned failure domain, and how long the bound lasts.
    double refill_starts_per_second = 10;
    milliseconds refill_period{120'000};
};

// Moves batch work out of a drained failure domain and bounds the refill when it returns.
class domain_evacuation {
public:
    explicit domain_evacuation(evacuation_options options = {}) : options_(options) {}

    // The next tasks of drained failure domains to checkpoint and move, in the order of their
    // latest start, bounded by rate and by the free capacity of `elsewhere` (workers that accept
    // work). `running` are the tasks in drained failure domains that are not being evicted yet;
    // `moving` are demands of moved tasks that have not been placed again. Holds and tasks that
    // cannot resume are left.
    [[nodiscard]] std::vector<eviction> next_moves(const std::vector<running_task>& running,
                                                   const std::vector<worker_view>& elsewhere,
                                                   const std::vector<resources>& moving,
                                                   utc_millis now_utc, instant now);
    void on_domain_returned(const failure_domain_id& domain, instant now);
    void on_domain_drained(const failure_domain_id& domain);
    // Starts that the failure domain may take now; unbounded when it has long been in service.
    [[nodiscard]] std::size_t allowed_starts(const failure_domain_id& domain, instant now) const;
    void record_starts(const failure_domain_id& domain, std::size_t starts);

private:
    struct refill {
        instant since;
        double started = 0;
    };
    evacuation_options options_;
    double tokens_ = 0;
    std::optional<instant> refilled_at_;
    std::map<failure_domain_id, refill> returned_;
};

}  // namespace tanagerpaddle
