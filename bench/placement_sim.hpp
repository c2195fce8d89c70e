#pragma once

// A simulated fleet with batch work and services on a manual clock, to compare policies.

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle::bench {

// What a class of batch jobs is like. Times in seconds.
struct job_class {
    std::string prefix;
    resources demand;
    double typical_s = 0;
    double declared_factor = 1;  // declared over typical run time
    double share = 0;            // of the jobs
    double effect_per_core = 0;  // logarithm of the rise of the services' tail latency
};

struct deployment {
    std::string name;
    std::vector<int> workers_of_domain;
    resources capacity;
    resources reserved;  // of each worker, for services
    std::vector<job_class> classes;
    double load = 1;    // offered batch work over the capacity left by services
    double high = 1.5;  // thresholds of the interference controller
    double low = 1.2;
};

// `noise` scales the effect of the noisy class on the services' tail latency.
[[nodiscard]] deployment brazos(double noise);
[[nodiscard]] deployment brembati(double noise);

// The parts of the policy that are switched on.
struct policy {
    std::string name;
    bool has_deadline_order = false;
    bool has_estimates = false;
    bool has_quarantine = false;
    bool has_evacuation = false;
    bool has_preemption = false;
    bool has_interference_cost = false;
    interference_mode mode = interference_mode::none;
    deadline_placement_options options;
};

struct sim_job {
    job_id id;
    team_id team;
    std::size_t job_class = 0;
    double submitted_s = 0;
    double due_s = 0;
    double declared_s = 0;
    bool is_urgent = false;
    bool is_impossible = false;
    bool is_cancelled = false;
    bool has_failed = false;
    std::uint32_t unfinished = 0;
    double finished_s = -1;
};

enum class sim_state : std::uint8_t { future, pending, running, ended };

struct sim_task {
    std::size_t job = 0;
    std::uint32_t index = 0;
    resources demand;
    double work_s = 0;  // actual run time at full speed
    double done_s = 0;
    double saved_s = 0;  // at the last checkpoint
    double run_s = 0;
    double held_until_s = 0;
    double evicted_s = -1;
    double placed_s = -1;  // last start
    std::uint32_t speed = 100;
    std::uint32_t failures = 0;
    sim_state state = sim_state::future;
    std::size_t worker = 0;
    std::vector<worker_id> avoided;
};

struct sim_worker {
    worker_view view;
    double load = 0.5;
    bool is_drained = false;
    bool is_gone = false;
};

struct workload {
    std::vector<sim_job> jobs;
    std::vector<sim_task> tasks;
};

[[nodiscard]] workload make_workload(const deployment& place, std::uint64_t seed);

// Figures of one run.
struct metrics {
    double jobs_on_time = 0;     // share of the possible, uncancelled jobs
    double urgent_on_time = 0;   // share of urgent tasks started within 3 s
    double core_hours = 0;       // of finished tasks
    double lost_core_hours = 0;  // work repeated after evictions and failures
    double evictions = 0;
    double failures = 0;            // task failures
    double idle_share = 0;          // processors idle while a task waits that fits some worker
    double large_wait_s = 0;        // mean wait of the largest class
    double high_latency_share = 0;  // intervals of a service above 1.5 times its own baseline
    double p99_ratio = 0;           // 99th percentile of tail latency over baseline
    double throttles = 0;
};

// One run; deterministic for equal arguments.
class simulation {
public:
    simulation(const deployment& place, const policy& choice, std::uint64_t seed);
    metrics run();

private:
    struct report {
        double due_s = 0;
        std::size_t worker = 0;
        interference_sample sample;
    };

    [[nodiscard]] instant now() const { return clock_.now(); }
    [[nodiscard]] utc_millis utc_at(double seconds) const;
    [[nodiscard]] const job_class& class_of(const sim_task& task) const;
    [[nodiscard]] milliseconds remaining(const sim_task& task) const;
    [[nodiscard]] running_task running_view(const sim_task& task) const;
    [[nodiscard]] std::vector<team_share> shares() const;
    [[nodiscard]] double slowdown_of(std::size_t worker) const;

    void arrive();
    void drain_and_return();
    void cancel_wave();
    void progress();
    void finish(sim_task& task);
    void fail(sim_task& task);
    void stop(sim_task& task, bool has_checkpoint);
    void end_job(sim_job& job);
    void evacuate();
    void preempt();
    void evict(const eviction& chosen);
    void measure_latency();
    void deliver_reports();
    void act(const interference_action& action);
    void place();
    void probe(std::size_t worker);
    void start(std::size_t task, std::size_t worker);
    void note_idle();
    [[nodiscard]] placement_input planner_input(std::vector<std::size_t>& tasks);
    metrics summary();

    const deployment place_;
    const policy policy_;
    manual_clock clock_;
    double time_s_ = 0;
    random_source random_;
    workload work_;
    std::vector<sim_worker> workers_;
    std::size_t bad_worker_ = 0;
    int drain_step_ = 0;
    bool has_cancelled_ = false;
    std::vector<std::size_t> pending_;
    std::vector<std::size_t> running_;
    std::deque<report> reports_;
    run_time_model estimator_;
    worker_quarantine quarantine_;
    domain_evacuation evacuation_;
    interference_model model_;
    interference_controller controller_;
    preemption_policy preemption_;
    std::unique_ptr<placement_strategy> strategy_;
    metrics sums_;
    double idle_samples_ = 0;
    std::vector<double> ratios_;
};

}  // namespace tanagerpaddle::bench
