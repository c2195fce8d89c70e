#pragma once

// State of the coordinator, shared by its sources.

#include <array>
#include <functional>
#include <unordered_set>

#include "crashes.hpp"
#include "delay_scheduling.hpp"
#include "filler_relief.hpp"
#include "job_state.hpp"
#include "late_turns.hpp"
#include "long_running_reservation.hpp"
#include "permits.hpp"
#include "placement.hpp"
#include "queue_forecast.hpp"
#include "run_times.hpp"
#include "shares.hpp"
#include "tanagerpaddle/dispatch.hpp"
#include "unstarted_jobs.hpp"

namespace tanagerpaddle::dispatch {

struct progress_record {
    struct history {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        run_number run;
        std::uint32_t failures = 0;
        instance_name instance;
        std::string checkpoint;
        crash_history crashes;
    };
    job_phase phase = job_phase::pending;
    std::vector<history> histories;
    std::vector<std::array<std::uint32_t, 3>> succeeded;
    // Tasks in `histories` whose runs their executors have listed.
    std::set<std::array<std::uint32_t, 3>> listed;
    // The executors that the instances in `histories` had.
    std::map<instance_name, executor_incarnation> executors;
    // What later owners need to go on with waits for racks: when steps have ended, and until when
    // steps wait.
    struct step_time {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        utc_millis at;
    };
    std::vector<step_time> step_ends;
    std::vector<step_time> wait_ends;
};

// Memory of a job that has not begun while one occurrence of it is offered.
[[nodiscard]] std::size_t bytes_of_unstarted(const job_state& job);

// Memory of the waits for racks beside that of the steps.
struct rack_wait_memory {
    // Decisions are made in passes at this distance; see rack_waits.cpp.
    instant reviewed_at;
    bool is_review = false;
    // By rack; built when a task finds no place there, and dropped at the next review.
    std::map<rack_id, rack_forecast> forecasts;
    // When a step last wanted the rack.
    std::map<rack_id, instant> wanted_at;
    // By instance; computed when a step needs it, and dropped at the next review.
    std::vector<rack_id> rack_of_instance;
    off_rack_factors factors;
    // Tasks with checkpoints that were placed off their rack.
    std::set<task_key> off_rack_tasks;
};

[[nodiscard]] task_traits traits_of(const step_spec& spec);
// What a task commits on its instance: a filler no processors.
[[nodiscard]] resources reserved_resources(const step_spec& spec);
// True if a row can hold the checkpoint; see max_checkpoint_bytes.
[[nodiscard]] bool fits_in_row(const std::string& checkpoint);
[[nodiscard]] std::string encode_progress(const job_state& job, std::uint32_t row,
                                          const std::vector<instance_state>& instances);
[[nodiscard]] std::optional<progress_record> decode_progress(std::string_view row);

struct coordinator::state {
    state(options settings, const clock& source, coordinator_orders& sink)
        : config(settings), time(source), orders(sink), turns(settings.ordering) {}

    // Phases, starts and completions that a write in progress makes durable.
    struct job_write {
        job_id job;
        job_phase phase = job_phase::pending;
        std::vector<std::uint32_t> rows;
        std::vector<pending_start> starts;
        bool was_partly_written = false;
    };
    struct write_in_progress {
        std::vector<job_write> jobs;
        std::vector<std::pair<std::size_t, completion_number>> completions;
    };

    // Runs that may have caused a crash.
    struct crash_suspects {
        std::vector<executor_crash::suspect> tasks;
        // All runs that may have caused it belong to one job.
        bool are_of_one_job = false;
        bool is_unreachable = false;
    };

    // Runs of an instance that may be alive although an executor of it has ended, and whether the
    // lists of the next one show them.
    using surviving_runs = std::map<std::pair<task_key, run_number>, bool>;

    // --- lookup (coordinator.cpp)
    std::size_t instance_index(const instance_name& name);
    [[nodiscard]] std::optional<std::size_t> find_instance(const instance_name& name) const;
    job_state* find_job(const job_id& id);
    [[nodiscard]] const job_state* find_job(const job_id& id) const;
    // The state of the task; nullptr if it has none, since nothing is known of it, it has succeeded
    // or there is no such task.
    task_state* find_task(const task_key& key);
    // The same, but gives a task of an open job a state if it has not succeeded.
    task_state* open_task(const task_key& key);
    // True if the task waits, and its occurrence has a state.
    [[nodiscard]] bool is_waiting(const task_key& key) const;
    // True if a job that is known has such a task.
    [[nodiscard]] bool has_task(const task_key& key) const;
    // The step of an occurrence that has a state.
    [[nodiscard]] step_state& kept_step(const step_key& key);
    [[nodiscard]] const step_state& kept_step(const step_key& key) const;
    [[nodiscard]] const step_spec& spec_of(const task_key& key) const;
    // The next plan drops what the job's tasks no longer need.
    void discard_later(const job_id& id) { discardable_jobs.insert(id); }

    // --- jobs (jobs.cpp)
    // A run of the task is known to have begun, and so has its job.
    void mark_begun(const task_key& key, task_state& task);
    // The job has started or reached a terminal phase: it no longer counts as queued.
    void mark_started(job_state& job);
    void count_queued(const queue_id& queue, const job_spec& spec, std::int64_t change);
    void complete_job_if_done(job_state& job);
    void finish_job(job_state& job, job_phase phase);

    // --- task lifecycle (task_lifecycle.cpp)
    void assign(const task_key& key, task_state& task, std::size_t instance);
    void unassign(const task_key& key, task_state& task);
    void requeue(const task_key& key, task_state& task);
    // The row of the task has changed; a job that has ended stores its phase only.
    void mark_open_job_dirty(const task_key& key);
    // True if the run is the task's current one, and on this instance.
    [[nodiscard]] bool is_expected(std::size_t instance, const task_key& key, run_number run);
    // Stops a run that a report lists. Runs that are to exit, or whose stop was ordered before, are
    // left to that.
    void stop_unexpected_run(std::size_t instance, const task_key& key, run_number run);
    void stop_orphaned_run(std::size_t instance, const task_key& key, run_number run);
    // Withdraws the starts on the instance that were not sent yet.
    void withdraw_placed(std::size_t instance);
    // Returns false if there is no such run.
    bool remove_orphaned_run(std::size_t index, const task_key& key, run_number run);
    void count_orphaned_run_ended(const task_key& key);
    void stop_task(const task_key& key, task_state& task);
    void withdraw(const task_key& key);
    // Requeues all tasks of the instance and drops its orphaned runs, but for the survivors.
    void clear_instance(std::size_t instance, const surviving_runs& survivors = {});
    // Requeues placed tasks of an instance that is over its capacity until the others fit.
    void requeue_excess_tasks(std::size_t instance);
    void record_checkpoint(const task_key& key, task_state& task, const std::string& checkpoint);
    // Handles the completions that are new. `is_inventory` is true for those of an inventory.
    void handle_completions(std::size_t instance, const std::vector<finished_task>& completions,
                            bool is_inventory);
    void handle_completion(std::size_t instance, const finished_task& completion,
                           bool is_in_inventory);
    // The same for a run that is not the current one of its task.
    void handle_unexpected_completion(std::size_t instance, const finished_task& completion);
    void mark_succeeded(const task_key& key, task_state& task, std::size_t index);
    void record_failure(const task_key& key, task_state& task, std::size_t instance);
    void mark_gang_succeeded(const task_key& key);
    void reconcile(std::size_t instance, const inventory& found);

    // --- progress rows (progress.cpp)
    void queue_write(job_state& job);
    void mark_dirty(job_state& job, std::uint32_t row);
    void mark_dirty(const task_key& key);
    // Drops what is still to be written, since the phase alone will be.
    static void drop_writes(job_state& job);
    void clear_row(job_state& job, std::uint32_t row);
    void clear_progress(job_state& job);
    [[nodiscard]] bool restore_entries(job_state& job, const progress_record& record,
                                       std::uint32_t row, const run_ends& ends_by);
    void restore_history(const task_key& key, task_state& task, const progress_record& record,
                         const progress_record::history& entry, const run_ends& ends_by);
    [[nodiscard]] std::vector<progress_row> next_group(const job_state& job) const;
    // Adds the job's next rows to a write; false if some are left for a later one.
    bool add_rows(job_state& job, std::vector<progress_row>& rows, std::size_t& bytes);
    void send_starts(job_write& written);
    void flush_acknowledgements();

    // --- instances (coordinator.cpp)
    // All changes of an instance's executor, so that the capacity of its service is known.
    void set_executor(instance_state& instance, const std::optional<executor_info>& executor);
    // Until when leases may last by calls that were meant for an earlier executor.
    void record_earlier_calls(instance_state& instance, const inventory& found);
    [[nodiscard]] bool has_used_executor(const instance_state& instance,
                                         executor_incarnation incarnation);
    // Shortens the time for which runs may last that no executor has listed, by what an inventory
    // tells; call it before the instance counts as linked.
    void limit_unlisted_runs(const instance_state& instance, const inventory& found);
    // Time after which leases have ended that calls have extended which were on their way when the
    // agent sent the inventory.
    [[nodiscard]] milliseconds last_calls_expiry_delay(const inventory& found) const;
    // The executor that the instance is known to have lists the task's current run.
    void mark_listed(const task_key& key, task_state& task);

    // --- crashes (crashes.cpp)
    void remove_executor(std::size_t instance, const std::vector<run_age>& ages = {},
                         const surviving_runs& survivors = {});
    // Removes the executors of the instance that its agent knows to have ended.
    void remove_ended_executors(std::size_t instance, const inventory& found,
                                const surviving_runs& survivors = {});
    void remove_unreachable_executor(std::size_t instance);
    void remove_tasks_of_earlier_executors(std::size_t instance, executor_incarnation found,
                                           const surviving_runs& survivors);
    crash_suspects collect_suspects(std::size_t instance, const std::vector<task_key>& keys,
                                    const std::vector<run_age>& ages);
    // True if the executor of the instance had the task so shortly that it may have crashed it.
    [[nodiscard]] bool may_have_crashed(const task_key& key, const task_state& task,
                                        const std::vector<run_age>& ages) const;
    // Clears the tasks whose runs the executor has had for so long that they did not crash it.
    void clear_outlived_crashes(const instance_state& instance);
    void record_crash(std::size_t instance, crash_suspects suspects);
    [[nodiscard]] bool needs_isolation(const step_spec& spec, const task_state* task) const;
    void release_isolated_instances();
    std::optional<std::size_t> choose_isolated_instance(const ready_step& step, const task_key& key,
                                                        placement_context context);
    [[nodiscard]] bool is_quiet(const instance_state& instance) const;

    // --- capacity for long-running tasks (long_running.cpp)
    // True if tasks of the step go before others of their priority.
    [[nodiscard]] bool has_precedence(const step_spec& spec) const;
    // Runs on an instance that is not reachable ended at some time since it was last observed.
    void record_unreachable_runs(const std::vector<task_key>& keys, instant observed_at);
    void release_void_reservations();
    void place_reserved_tasks(const ready_step& step);
    // Reserves instances for tasks of the steps, none of which has found capacity in this pass.
    void reserve_capacity(const std::vector<ready_step>& steps);
    // Returns false if no instance can be reserved for the task.
    bool reserve_for(const ready_step& step, std::uint32_t index,
                     std::vector<reservable_instance>& views);
    // Preempts tasks on the instance reserved for the task if their ends were awaited too long.
    void preempt_overdue(const ready_step& step, std::uint32_t index);
    void preempt(const capacity_plan& plan, const task_key& task);
    [[nodiscard]] capacity_holder holder_of(const task_key& key) const;
    [[nodiscard]] reservable_instance view_of(std::size_t instance) const;
    [[nodiscard]] std::vector<reservable_instance> view_instances(
        const placement_context& context) const;
    [[nodiscard]] capacity_request request_for(const ready_step& step, std::uint32_t index) const;
    [[nodiscard]] placement_context make_context(const ready_step& step);
    // Reports the long-running tasks that have had no run for long, at most once a second.
    void report_waiting_tasks();
    void report_waiting_step(job_state& job, std::uint32_t occurrence, std::uint32_t step);

    // --- run times (ordering.cpp)
    // The run times that the order uses; nullptr for the declared ones.
    [[nodiscard]] const run_times* ordering_run_times() const;
    static void begin_measurement(const ready_step& step, task_state& task,
                                  const instance_state& instance);
    // Marks a filler that uses less than its demand as throttled.
    void note_pace(const step_spec& spec, task_state& task, std::int64_t millicores_used) const;
    void record_run_time(const task_key& key, const task_state& task);

    // --- forecast (queue_forecast.cpp)
    void note_added(const job_state& job);
    // What the services have now; records the executors in the census.
    std::map<service_id, service_supply> collect_supply();
    [[nodiscard]] fleet_forecast make_forecast(std::size_t expected_instances);

    // --- waits for racks (rack_waits.cpp)
    [[nodiscard]] bool may_wait_for_rack(const step_spec& spec) const;
    [[nodiscard]] milliseconds expected_run_time(const step_spec& spec) const;
    [[nodiscard]] instant instant_of(utc_millis utc) const;
    [[nodiscard]] instant ready_time(const step_key& key);
    [[nodiscard]] wait_terms terms_of(const ready_step& step);
    // Begins a pass over the ready steps.
    void begin_rack_pass();
    // The rack on which tasks of the step start now; empty if any rack will do.
    [[nodiscard]] rack_id rack_to_wait_for(const ready_step& step);
    // No place was found on `context.rack` for the last `remaining` tasks of the step. True if they
    // do not wait for one any more.
    [[nodiscard]] bool gives_up_rack(const ready_step& step, const placement_context& context,
                                     std::size_t remaining);
    // All agents that can be reached have been claimed and have told what runs there.
    [[nodiscard]] bool is_settled() const;
    void end_wait(rack_wait& wait, instant until) const;
    [[nodiscard]] rack_id rack_of(std::size_t instance);
    [[nodiscard]] rack_id choose_single_rack(const ready_step& step, instant latest);
    [[nodiscard]] bool should_move_back(const task_key& key, const task_state& task);
    void move_back_to_racks();
    // The best instance for the waiting task `index`: on `context.rack` while its step waits for
    // it, otherwise any, and `context.rack` is cleared.
    std::optional<std::size_t> choose_instance_near_rack(const ready_step& step,
                                                         std::uint32_t index,
                                                         placement_context& context);
    rack_forecast& forecast_of(const rack_id& rack, const placement_context& context);
    [[nodiscard]] std::uint32_t places_on(std::size_t instance, const ready_step& step,
                                          const placement_context& context) const;
    void record_rack_start(const ready_step& step, const task_key& key, std::size_t instance);
    void record_rack_run(const task_key& key, const task_state& task);
    void record_step_end(const task_key& key);
    // Takes the times of a progress row over; returns false if one of them belongs to no step.
    bool restore_waits(job_state& job, const progress_record& record);

    // --- placement (planning.cpp, gang_placement.cpp, stalls.cpp)
    // --- fillers (filler_moves.cpp)
    void move_throttled_fillers();
    // Stops a filler of the instance if that lets others run that are worth more.
    void stop_least_worthy_filler(std::size_t instance);
    // Stops a filler and reports it.
    void move_filler(const task_key& key, task_state& task, int kept_percent);
    // Records the speed of a filler that a report lists.
    void record_speed(const task_key& key, task_state& task, std::int64_t millicores_used) const;
    [[nodiscard]] bool should_move(const task_key& key, const task_state& task,
                                   instance_state& instance);

    // --- occurrences (occurrences.cpp)
    // The occurrence's state; it gets one unless it has.
    occurrence_state& open_occurrence(job_state& job, std::uint32_t number);
    [[nodiscard]] instant due_time(const job_spec& spec, std::uint32_t occurrence) const;
    void release_due_occurrences();
    // Gives the first `limit` occurrences of each rank a state that are due and have not begun, and
    // drops those of others.
    void offer_occurrences(job_state& job, std::uint32_t due_count, std::size_t limit);
    [[nodiscard]] std::uint32_t first_not_later_than(const job_state& job, std::uint32_t due_count,
                                                     int rank) const;
    void discard_ended_state();
    // Keeps only the phase of a job that has ended if nothing else of it is needed any more.
    void forget_if_over(const job_id& id);

    // --- jobs that have not begun (deferral.cpp)
    // Call it for each job that is added and of which no row is stored; may defer it at once.
    void note_unstarted(const job_state& job);
    [[nodiscard]] job_turn turn_of(const unstarted_job& job) const;
    [[nodiscard]] static bool is_unstarted(const job_state& job);
    // Drops a job that has begun, or all of them, from `unstarted_jobs`.
    void forget_unstarted(const job_id& id);
    void forget_started();
    [[nodiscard]] job_in_turn in_turn(const job_id& id, const unstarted_job& job) const;
    void defer_excess();
    // Asks for the rows of deferred jobs whose turn it is.
    void load_deferred();
    // Returns what is known of the job if it is deferred; it is not any more.
    std::optional<unstarted_job> take_deferred(const job_id& id);
    void drop_permits(const job_id& id);
    // Forgets the job, which no instance has a run of.
    void drop_job(const job_id& id);

    // --- placement (planning.cpp)
    void expire_instances();
    void place_ready_steps();
    void stop_stalled_tasks();
    [[nodiscard]] job_worth worth_of(const job_id& id, std::uint32_t occurrence);
    void record_view(instance_state& instance);
    bool place_step(const ready_step& step);
    void keep_largest_instance(const ready_step& step, const placement_context& context);
    bool place_gang(const ready_step& step);
    // Instances on which the gang can start together; fewer than it has members if it can't.
    [[nodiscard]] std::vector<std::size_t> choose_gang_instances(const ready_step& step,
                                                                 const placement_context& context);
    void place_task(const ready_step& step, std::uint32_t index, std::size_t instance);
    [[nodiscard]] bool is_known_unplaceable(const ready_step& step) const;
    // Asks the policy service for more executors if a request is due.
    void request_permits(const ready_step& step);
    // Rank, remaining work and objective of a step that has its key, rules and due time.
    void set_estimates(ready_step& step, const job_spec& spec,
                       const occurrence_state& occurrence) const;
    void collect_ready_steps(const job_id& id, job_state& job, std::vector<ready_step>& ready);
    [[nodiscard]] std::vector<ready_step> collect_ready_steps();

    options config;
    const clock& time;
    coordinator_orders& orders;
    // When an agent was first claimed.
    std::optional<instant> first_claimed_at;
    std::vector<instance_state> instances;
    std::map<instance_name, std::size_t> index_by_name;
    std::unordered_map<job_id, job_state> jobs;
    // Jobs that have not reached a terminal phase.
    std::set<job_id> active_jobs;
    // Jobs that have ended, with their stored phases; they are not in `jobs`.
    std::unordered_map<job_id, job_phase> ended_jobs;
    // Jobs in `jobs` that have not begun, or had not when this was last looked at, and their bytes.
    std::map<job_id, unstarted_job> unstarted_jobs;
    std::size_t unstarted_bytes = 0;
    // Jobs that are not in `jobs`; see unstarted_jobs.hpp.
    std::map<job_id, unstarted_job> deferred_jobs;
    instant next_load_at;
    // Jobs of which the next plan drops what has ended.
    std::set<job_id> discardable_jobs;
    // Cancelled jobs that have not been added yet: a job may be stored after its cancellation.
    std::unordered_set<job_id> early_cancellations;
    // Jobs with changes to write, in the order of the changes.
    std::deque<job_id> dirty_jobs;
    std::optional<write_in_progress> active_write;
    std::map<queue_id, queue_rules> queues;
    std::set<failure_domain_id> evacuated_domains;
    std::map<step_key, step_permits> permits_by_step;
    std::map<queue_id, std::int64_t> queued_job_counts;
    instant inspected_at;
    interference_model interference;
    run_times measured_run_times;
    late_turns turns;
    fleet_load load;
    executor_census census;
    rack_wait_memory rack_waits;
    // Smallest filler demand in millicores for which the current pass found no instance, by image
    // and by whether the step has to leave room for the serving tasks' load.
    std::map<std::pair<std::string, bool>, std::int64_t> unplaceable_fillers;
    queue_usage shares;
    long_running_reservations reservations;
    // No instance could be reserved for some task; not tried again before.
    instant next_reservation_at;
    instant next_waiting_report_at;
    // The last write has failed: nothing can start now.
    bool has_failed_write = false;
};

}  // namespace tanagerpaddle::dispatch
