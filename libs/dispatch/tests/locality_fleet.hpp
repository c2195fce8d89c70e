#pragma once

// A small simulated fleet in racks around the coordinator, whose runs are slower off the rack that
// their step prefers. Agents and links are not simulated, only their delays.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch::testing {

struct locality_options {
    std::size_t instances = 16;
    std::size_t instances_per_rack = 8;
    resources capacity{millicores(32'000), mebibytes(125'000), accelerator_count(0)};
    // Off the rack, simulated runs take this many times as long.
    double off_rack_factor = 3;
    // True run time of a task on its rack, as a multiple of its estimate.
    double run_time_over_estimate = 1;
    delay_rules rules;
};

class locality_fleet : public coordinator_orders {
public:
    explicit locality_fleet(const locality_options& options);

    void submit(const submitted_job& job);
    void run_for(milliseconds time);
    void drain_rack(std::size_t rack);
    // The agent and its executor stand still for good.
    void freeze(std::size_t instance);
    // A new coordinator gets the rows at once, and the inventories after 0.1 to 0.4 s.
    void take_over();
    void fail_writes(milliseconds time) { writes_fail_until_ = time_.now() + time; }
    [[nodiscard]] instant now() const { return time_.now(); }
    [[nodiscard]] coordinator& jobs() { return *coordinator_; }

    // By job: the time from submission to the end of its last task.
    std::map<job_id, milliseconds> job_times;
    std::map<task_key, std::size_t> instance_of;
    std::map<task_key, instant> started_at;
    std::vector<locality_wait> waits;
    std::vector<std::string> violations;
    std::size_t starts_on_rack = 0;
    std::size_t starts_elsewhere = 0;
    std::size_t stops = 0;
    std::map<std::pair<job_id, std::uint32_t>, std::string> rows;
    // Time from the submission of a job to its end, for those that have ended.
    [[nodiscard]] milliseconds mean_job_time() const;
    [[nodiscard]] double share_within(milliseconds objective) const;

    void start(const instance_name& instance, const start_order& order) override;
    void stop(const instance_name& instance, const task_key& task, run_number run) override;
    void acknowledge(const instance_name& instance, executor_incarnation incarnation,
                     completion_number number) override;
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void report_locality_wait(const locality_wait& wait) override { waits.push_back(wait); }

private:
    struct sim_run {
        run_number number;
        instant begun_at;
        instant ends_at;
        int percent_at_start = 0;
    };
    struct executor {
        executor_info info;
        bool is_frozen = false;
        std::map<task_key, sim_run> running;
        std::vector<finished_task> finished;
        std::uint64_t ends = 0;
    };

    void at(milliseconds delay, std::function<void()> action);
    void begin_coordinator();
    void claim(std::size_t index);
    void plan_and_write();
    void report(std::size_t index);
    void finish(std::size_t index, const task_key& task, run_number number, run_outcome outcome);
    [[nodiscard]] std::vector<running_task> running_tasks(const executor& target) const;
    [[nodiscard]] const step_spec& spec_of(const task_key& task) const;

    locality_options options_;
    manual_clock time_;
    std::multimap<instant, std::function<void()>> events_;
    std::vector<executor> executors_;
    std::map<instance_name, std::size_t> index_by_name_;
    std::unique_ptr<coordinator> coordinator_;
    std::uint64_t generation_ = 0;
    bool is_writing_ = false;
    instant writes_fail_until_;
    std::map<job_id, std::pair<submitted_job, instant>> jobs_;
    std::map<job_id, std::set<task_key>> succeeded_;
};

// A job of `steps` steps of equal tasks that prefer the rack, if one is named.
struct locality_job {
    std::uint32_t steps = 1;
    std::uint32_t tasks = 10;
    std::int64_t millicores_each = 540;
    std::int64_t mebibytes_each = 500;
    milliseconds estimate{1'000};
    std::string rack;
    int priority = 0;
    bool is_filler = false;
    bool writes_checkpoints = false;
};
[[nodiscard]] submitted_job make_locality_job(const std::string& id, const locality_job& shape);
// Leaves no room on `executors` executors of the first rack.
[[nodiscard]] submitted_job make_blocker(const std::string& id, std::uint32_t executors,
                                         milliseconds length);

}  // namespace tanagerpaddle::dispatch::testing
