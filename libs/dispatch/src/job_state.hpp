#pragma once

// State of one job: its tasks, steps and occurrences, and what is to be written of them.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "crashes.hpp"
#include "filler_relief.hpp"
#include "index_set.hpp"
#include "row_layout.hpp"
#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

enum class task_phase : std::uint8_t {
    waiting,
    // Assigned in memory; the row that records it is not durable yet, and no start was sent.
    placed,
    // The start was sent, or an earlier owner may have sent it.
    starting,
    running,
    // A stop was sent; the resources stay committed until the completion is known.
    stopping,
    succeeded,
};

// What the current run tells of the run time of its image.
struct run_measurement {
    // When the run was reported as started; unset if this owner was not told.
    std::optional<instant> began_at;
    // The run takes as long as its work does: it neither resumed from a checkpoint nor was it
    // throttled, and it is on the rack that it prefers.
    bool is_representative = false;
};

struct task_state {
    task_phase phase = task_phase::waiting;
    run_number run;
    std::uint32_t failures = 0;
    std::optional<std::size_t> instance;
    std::string checkpoint;
    // When the checkpoint was reported.
    instant checkpointed_at;
    // A checkpoint that is too long for a row was reported for the log.
    bool has_reported_checkpoint = false;
    instant phase_since;
    // When progress was last reported, and the percentage done at that time.
    instant progressed_at;
    int percent = 0;
    // Instance on which the last run failed; others are preferred.
    std::optional<std::size_t> last_failed_instance;
    // The executor of the current run, when the start was sent or restored, and whether the run is
    // known to have begun.
    executor_incarnation incarnation;
    instant started_at;
    bool has_begun = false;
    // When this coordinator sent the start of the current run; unset if an earlier one did.
    std::optional<instant> sent_at;
    // The known executor has listed the current run.
    bool is_listed = false;
    // Until then a run that is not listed may last whatever was granted: its executor may be one
    // that nobody has noticed.
    instant unlisted_until{};
    // Runs other than the current one that are being stopped, and the instance of the newest.
    std::uint32_t orphaned_runs = 0;
    std::optional<std::size_t> orphan_instance;
    // Since when the task is known to have no run; unset while it has one, or may have one.
    std::optional<instant> without_run_since;
    crash_history crashes;
    run_measurement measurement;
    filler_speed speed;
    relief_history relief;

    [[nodiscard]] bool occupies_instance() const noexcept {
        return phase != task_phase::waiting && phase != task_phase::succeeded;
    }
};

// The wait of a step for a place on a rack; see delay_scheduling.hpp.
struct rack_wait {
    // The preferred rack, or the one chosen for a step whose tasks run on a single rack.
    rack_id rack;
    // Until then tasks start only on the rack; unset while that is not decided. Never moves later.
    std::optional<instant> until;
    // The same for progress rows.
    utc_millis until_utc;
    // This owner has reported the wait.
    bool is_reported = false;
};

// The tasks of one step of an occurrence. Only those that were assigned to an instance, or of which
// a run was found, have a state of their own, until they have succeeded.
class step_state {
public:
    explicit step_state(std::uint32_t task_count) : task_count_(task_count) {}

    [[nodiscard]] std::uint32_t task_count() const noexcept { return task_count_; }
    [[nodiscard]] std::size_t unfinished() const noexcept {
        return task_count_ - succeeded_.size();
    }
    [[nodiscard]] bool is_done() const noexcept { return unfinished() == 0; }
    // Nothing is known of any task.
    [[nodiscard]] bool is_untouched() const noexcept {
        return tasks_.empty() && succeeded_.empty();
    }
    [[nodiscard]] bool has_succeeded(std::uint32_t index) const {
        return succeeded_.contains(index);
    }
    [[nodiscard]] const index_set& succeeded() const noexcept { return succeeded_; }
    // The tasks with a state, by index. Those that have succeeded keep it until discard_ended.
    [[nodiscard]] std::map<std::uint32_t, task_state>& tasks() noexcept { return tasks_; }
    [[nodiscard]] const std::map<std::uint32_t, task_state>& tasks() const noexcept {
        return tasks_;
    }
    [[nodiscard]] task_state* find(std::uint32_t index);
    [[nodiscard]] const task_state* find(std::uint32_t index) const;
    // Gives the task a state unless it has one. The task must not have succeeded.
    task_state& open(std::uint32_t index);
    void mark_succeeded(std::uint32_t index);
    void mark_all_succeeded();
    // Forgets what is known of the task, which must not be assigned to an instance.
    void reset(std::uint32_t index);
    // The tasks that may be placed: a run that is being stopped holds up its task, unless all tasks
    // are placed together.
    [[nodiscard]] index_set waiting(bool is_gang) const;
    // Drops the states of tasks that will not run again: those that have succeeded, or all if the
    // job has ended. States of runs that still take capacity are kept.
    void discard_ended(bool has_job_ended);

    // Since when the step has been ready and had tasks without an instance.
    std::optional<instant> waiting_since;
    // Since when the tasks without a state are known to have no run; see task_state.
    std::optional<instant> without_run_since;
    // When the last task succeeded; known only if later steps may wait for a rack.
    std::optional<utc_millis> ended_at;
    rack_wait wait;

private:
    std::uint32_t task_count_ = 0;
    index_set succeeded_;
    std::map<std::uint32_t, task_state> tasks_;
};

struct occurrence_state {
    std::vector<step_state> steps;
    // Start of the objective; tasks may start once is_due is set.
    instant due_at;
    bool is_due = false;

    [[nodiscard]] bool is_done() const noexcept;
    [[nodiscard]] bool is_untouched() const noexcept;
    // A task has a state of its own.
    [[nodiscard]] bool has_tasks() const noexcept;
};

// The occurrences of a job. One of which nothing has begun is a number, and so is one that is over,
// so that the memory follows the occurrences at work and not those that were ordered.
class occurrence_table {
public:
    void reset(const job_spec& job);

    [[nodiscard]] std::uint32_t size() const noexcept { return count_; }
    [[nodiscard]] bool is_over(std::uint32_t occurrence) const {
        return over_.contains(occurrence);
    }
    // All occurrences have succeeded.
    [[nodiscard]] bool are_done() const;
    // The occurrences with a state, by number.
    [[nodiscard]] std::map<std::uint32_t, occurrence_state>& kept() noexcept { return kept_; }
    [[nodiscard]] const std::map<std::uint32_t, occurrence_state>& kept() const noexcept {
        return kept_;
    }
    [[nodiscard]] const index_set& over() const noexcept { return over_; }
    [[nodiscard]] occurrence_state* find(std::uint32_t occurrence);
    // Gives the occurrence a state unless it has one.
    occurrence_state& open(std::uint32_t occurrence);
    // Drops the state of an untouched occurrence.
    void close(std::uint32_t occurrence) { kept_.erase(occurrence); }
    // Drops states that are not needed any more, of all occurrences or of one; see
    // step_state::discard_ended.
    void discard_ended(bool has_job_ended);
    void discard_ended(std::uint32_t occurrence, bool has_job_ended);
    // Number of tasks of one occurrence.
    [[nodiscard]] std::uint64_t tasks_each() const noexcept;

private:
    // Returns false if the occurrence still needs its state.
    bool discard_ended(std::uint32_t number, occurrence_state& occurrence, bool has_job_ended);

    std::vector<std::uint32_t> task_counts_;
    std::uint32_t count_ = 0;
    std::map<std::uint32_t, occurrence_state> kept_;
    index_set over_;
};

// A start that is sent once the row that records it is durable.
struct pending_start {
    std::size_t instance = 0;
    start_order order;
};

// Rows to write before the starts are sent. They hold all changes of the job until the batch began,
// so that a start is never sent before the success of a step that it depends on is durable.
struct write_batch {
    std::set<std::uint32_t> rows;
    std::vector<pending_start> starts;
    // Earlier writes hold other rows of the batch: no row or start is added to it.
    bool is_partly_written = false;
};

// Number of occurrences of a timed job that are due.
[[nodiscard]] std::uint32_t count_due(const job_spec& spec, utc_millis now);

struct job_state {
    submitted_job submitted;
    job_phase phase = job_phase::pending;
    // The phase in the store.
    job_phase durable_phase = job_phase::pending;
    instant accepted_at;
    occurrence_table occurrences;
    row_layout layout;
    // Number of tasks that are assigned to an instance.
    std::size_t assigned_tasks = 0;
    // Rows and starts that the next batch takes.
    std::set<std::uint32_t> dirty_rows;
    std::vector<pending_start> pending_starts;
    write_batch batch;
    // The job is in `dirty_jobs`.
    bool is_dirty = false;
    index_set restored_rows;
    // The stored first row holds tasks that are in no other stored row yet.
    bool writes_first_row_last = false;
    bool has_started = false;
    // A row of the job may be stored.
    bool has_rows = false;
    // Since when no task of the job has been assigned to an instance.
    std::optional<instant> idle_since;

    [[nodiscard]] bool is_terminal() const noexcept { return dispatch::is_terminal(phase); }
};

}  // namespace tanagerpaddle::dispatch
