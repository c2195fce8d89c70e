#pragma once

// Virtual time, the trace of a run, and the observer that checks the invariants.

#include <deque>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle::soak {

// The time that no process sees. Starts at one hour.
struct virtual_time {
    milliseconds now = std::chrono::hours(1);
};

// One process's view of the virtual time: `rate` is 1 within half the clock rate margin.
class skewed_clock final : public clock {
public:
    skewed_clock(const virtual_time& source, double rate) : source_(source), rate_(rate) {}
    [[nodiscard]] instant now() const override;
    // UTC is the same everywhere: it only steers policy.
    [[nodiscard]] utc_millis utc_now() const override;

private:
    const virtual_time& source_;
    double rate_;
};

// All events in order, as a hash, with the last lines kept for the report of a violation.
class event_trace {
public:
    event_trace(const virtual_time& time, const std::string& file);
    void add(const std::string& text);
    [[nodiscard]] std::uint64_t hash() const noexcept { return hash_; }
    [[nodiscard]] const std::deque<std::string>& last_lines() const noexcept { return last_; }

private:
    const virtual_time& time_;
    std::ofstream file_;
    std::uint64_t hash_ = 0;
    std::deque<std::string> last_;
};

struct run_counts {
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t evicted = 0;
    std::uint64_t lost = 0;
};

// What the runtimes did and what the table holds, without a word of the scheduler or the agents.
// Each method throws invariant_violation if an invariant does not hold.
class observer {
public:
    observer(const virtual_time& time, event_trace& trace) : time_(time), trace_(trace) {}

    void add_worker(const worker_id& worker, const resources& capacity,
                    const failure_domain_id& domain);
    void add_job(const job_declaration& job) { jobs_[job.id] = job; }
    // A runtime started the attempt; `permit` is what the agent passed to it.
    void starts(const worker_id& worker, const start_permit& permit);
    // The attempt computes from now on, or no longer does.
    void runs(const worker_id& worker, const task_attempt& attempt, bool is_running);
    // The attempt no longer occupies the worker.
    void leaves(const worker_id& worker, const task_attempt& attempt);
    void finishes(const worker_id& worker, const task_attempt& attempt);
    void checkpoints(const task_attempt& attempt, const std::string& key, std::int64_t run_ms);
    // The run time that the checkpoint holds, 0 if there is none.
    [[nodiscard]] std::int64_t progress_of(const std::string& checkpoint) const;
    // A row took effect in the table.
    void writes(const std::string& key, const std::string& value);

    [[nodiscard]] bool has_started(const job_id& job) const { return started_jobs_.contains(job); }
    [[nodiscard]] const run_counts& counts() const noexcept { return counts_; }

private:
    struct worker_view {
        resources capacity;
        failure_domain_id domain;
        std::map<task_attempt, resources> held;
    };
    void check_group(const group_row& group);
    void check_job(const job_row& job);

    const virtual_time& time_;
    event_trace& trace_;
    std::map<worker_id, worker_view> workers_;
    std::map<job_id, job_declaration> jobs_;
    std::set<job_id> started_jobs_;
    std::map<task_key, std::set<std::pair<worker_id, task_attempt>>> running_;
    std::map<task_key, std::uint32_t> fresh_starts_;
    std::set<task_attempt> started_;
    std::set<task_attempt> finished_;
    std::set<task_key> finished_tasks_;
    std::set<task_key> recorded_finished_;
    std::map<std::string, std::int64_t> checkpoints_;
    // The checkpoint progress that the table held when the attempt was claimed.
    std::map<task_attempt, std::int64_t> claimed_progress_;
    std::map<task_key, std::int64_t> recorded_progress_;
    std::map<task_key, std::uint32_t> recorded_evictions_;
    std::map<failure_domain_id, milliseconds> drained_since_;
    run_counts counts_;
};

}  // namespace tanagerpaddle::soak
