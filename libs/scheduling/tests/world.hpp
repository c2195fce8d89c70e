#pragma once

// Simulated entries, agents and worker runtimes on one manual clock and one in-memory table. The
// runtimes record which task ran where, independently of the scheduler and the agents.

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle::test {

// The executions at all runtimes. Violations are detected at each change, independently of the code
// under test.
class run_record {
public:
    explicit run_record(const clock& time) : time_(time) {}

    void add_worker(const worker_id& worker, const resources& capacity);
    // A task uses its worker's resources from its start to its end, also while it is paused.
    void add_task(const worker_id& worker, const task_attempt& attempt, const resources& demand);
    void remove_task(const worker_id& worker, const task_attempt& attempt);
    void set_running(const worker_id& worker, const task_attempt& attempt, bool is_running);
    void add_completion(const task_attempt& attempt);

    struct start {
        worker_id worker;
        task_attempt attempt;
        instant at;
        std::string checkpoint;
    };
    std::vector<start> starts;
    std::map<task_key, int> completions;
    // How often an attempt started to run while another one of its task was running.
    int concurrent_runs = 0;
    // How often a task was added to a worker beyond its capacity.
    int overcommits = 0;

private:
    const clock& time_;
    std::map<worker_id, resources> capacity_;
    std::map<worker_id, std::map<task_attempt, resources>> occupied_;
    std::map<task_key, std::set<std::pair<worker_id, task_attempt>>> running_;
};

class fake_runtime final : public worker_runtime {
public:
    fake_runtime(const manual_clock& time, run_record& record, worker_id worker,
                 const resources& capacity);

    // Pauses tasks whose lease has expired and ends tasks that have run for their run time.
    void advance(milliseconds step);

    [[nodiscard]] std::vector<runtime_task> list() override;
    void start(const start_permit& permit, std::int64_t lease_ms) override;
    void renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) override;
    void pause(const task_attempt& attempt) override;
    void resume(const task_attempt& attempt, std::int64_t lease_ms) override;
    std::string checkpoint(const task_attempt& attempt) override;
    void throttle(const task_attempt& attempt, std::uint32_t speed_percent) override;
    void stop(const task_attempt& attempt) override;
    void forget(const task_attempt& attempt) override;
    // The instance has crashed: all its tasks are gone.
    void lose_tasks();
    // True if a task of one of the jobs has started.
    [[nodiscard]] bool holds_any(const std::set<job_id>& jobs) const;

    // Each running task fails with the next advance().
    bool fails_all_tasks = false;
    int checkpoints = 0;

private:
    struct running_task {
        runtime_task task;
        instant lease_end;
        std::int64_t run_time_ms = 0;
    };
    void set_state(running_task& changed, runtime_task_state state);

    const manual_clock& time_;
    run_record& record_;
    worker_id worker_;
    std::map<task_attempt, running_task> tasks_;
};

struct agent_node {
    worker_identity identity;
    resources capacity;
    std::unique_ptr<fake_runtime> runtime;
    std::unique_ptr<instance_ledger> ledger;
    std::unique_ptr<agent_tasks> tasks;
    agent_options options;
    std::size_t entry = 0;
    bool is_frozen = false;
    bool is_disconnected = false;
    bool is_wake_pending = false;
    // Set while the instance is down after a crash.
    std::optional<instant> restarts_at;
    // Changes a reply before the agent receives it; false drops the reply.
    std::function<bool(sync_reply&)> reply_filter;
    sync_request last_request;
};

struct entry_node {
    entry_info info;
    std::unique_ptr<entry_scheduler> scheduler;
    bool is_frozen = false;
};

class world {
public:
    explicit world(scheduler_options chosen = default_options());

    static scheduler_options default_options();
    std::size_t add_entry(const scheduler_options& chosen);
    std::size_t add_entry() { return add_entry(options); }
    agent_node& add_worker(const std::string& name, std::int64_t processors = 4000,
                           const std::string& domain = "richmond", agent_options chosen = {});
    void restart_agent(agent_node& agent);
    // The instance loses its agent and all tasks, and is back after `down_time`.
    void crash_worker(agent_node& agent, milliseconds down_time);
    // Sets the live entries, the same for all entries.
    void set_live(const std::vector<std::size_t>& live);
    // Advances the simulation by `duration` in steps of 100 ms.
    void run(milliseconds duration);
    // Runs until the condition holds, for at most `limit`. True if it holds.
    bool run_until(const std::function<bool()>& condition, milliseconds limit);
    void sync(agent_node& agent);
    void answer_runtime_query(entry_scheduler& scheduler, const runtime_query& query);
    [[nodiscard]] task_state state_of(const std::string& job, std::size_t entry = 0);
    [[nodiscard]] job_row row_of(const std::string& job);
    // Writes the row domain/<name> as an accepted configuration would.
    void drain_in_table(const std::string& domain);
    // How many starts of the job's tasks are recorded.
    [[nodiscard]] std::size_t starts_of(const std::string& job) const;

    manual_clock time;
    memory_table rows;
    first_fit_placement strategy;
    run_record record{time};
    scheduler_options options;
    // Tasks of these jobs crash the worker that starts them.
    std::set<job_id> crashing_jobs;
    milliseconds crash_down_time{3'000};
    std::vector<std::unique_ptr<entry_node>> entries;
    std::vector<std::unique_ptr<agent_node>> agents;
};

[[nodiscard]] job_declaration make_job(const std::string& id, std::int64_t processors = 1000,
                                       milliseconds run_time = std::chrono::hours(1));
[[nodiscard]] task_key first_task(const std::string& job);

}  // namespace tanagerpaddle::test
