#pragma once

// State of the coordinator and the parts that its sources share.

#include <array>

#include "placement.hpp"
#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

enum class task_phase : std::uint8_t {
    waiting,
    // Placed in memory; the row that says so is not durable yet, and nothing was sent.
    placed,
    // The start was sent, or an earlier owner may have sent it.
    starting,
    running,
    // A stop was sent; the room is taken until the end is known.
    stopping,
    succeeded,
};

struct task_state {
    task_phase phase = task_phase::waiting;
    run_number run;
    std::uint32_t failures = 0;
    std::optional<std::size_t> machine;
    std::string checkpoint;
    // When the phase began.
    instant since;
    // Last report that showed progress, and the share done then.
    instant progressed_at;
    int percent = 0;
    // Where the last run failed; another machine is preferred.
    std::optional<std::size_t> failed_on;

    [[nodiscard]] bool occupies_machine() const noexcept {
        return phase != task_phase::waiting && phase != task_phase::succeeded;
    }
};

struct step_state {
    std::vector<task_state> tasks;
    std::uint32_t succeeded = 0;

    [[nodiscard]] bool is_done() const noexcept { return succeeded == tasks.size(); }
};

struct occurrence_state {
    std::vector<step_state> steps;
    // When the objective's clock starts; tasks start once is_due.
    instant due_at;
    bool is_due = false;
};

// A start that leaves once the row that records it is durable.
struct pending_start {
    std::size_t machine = 0;
    start_order order;
};

struct job_state {
    submitted_job submitted;
    job_phase phase = job_phase::pending;
    // The phase that the store holds.
    job_phase durable_phase = job_phase::pending;
    instant accepted_at;
    std::vector<occurrence_state> occurrences;
    std::vector<pending_start> starts;
    bool is_dirty = false;
    bool has_started = false;
    // Since when a task's turn has come and none occupies a machine.
    std::optional<instant> idle_since;

    [[nodiscard]] bool is_over() const noexcept {
        return phase != job_phase::pending && phase != job_phase::running;
    }
};

struct progress_record {
    struct history {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        run_number run;
        std::uint32_t failures = 0;
        instance_name machine;
        std::string checkpoint;
    };
    job_phase phase = job_phase::pending;
    std::vector<history> histories;
    std::vector<std::array<std::uint32_t, 3>> succeeded;
};

[[nodiscard]] task_traits traits_of(const step_spec& spec);
[[nodiscard]] std::string encode_progress(const job_state& job,
                                          const std::vector<machine_state>& machines);
[[nodiscard]] std::optional<progress_record> decode_progress(std::string_view row);

struct coordinator::state {
    state(options with, const clock& source, coordinator_orders& sink)
        : config(with), time(source), orders(sink) {}

    struct permits {
        instant asked_at;
        bool is_asked = false;
        instant valid_until;
        std::map<executor_id, std::string> tickets;
    };
    // What a write in progress covers.
    struct write_in_progress {
        std::vector<std::pair<job_id, job_phase>> phases;
        std::vector<std::pair<job_id, std::vector<pending_start>>> starts;
        std::vector<std::pair<std::size_t, completion_number>> ends;
    };

    // --- lookup (coordinator.cpp)
    std::size_t machine_index(const instance_name& name);
    [[nodiscard]] std::optional<std::size_t> find_machine(const instance_name& name) const;
    job_state* find_job(const job_id& id);
    task_state* find_task(const task_key& key);
    [[nodiscard]] const step_spec& spec_of(const task_key& key) const;
    void mark_dirty(job_state& job);
    // The job has started or is over: it no longer counts as queued.
    void mark_started(job_state& job);

    // --- life of a task (task_life.cpp)
    void occupy(const task_key& key, task_state& task, std::size_t machine);
    void vacate(const task_key& key, task_state& task);
    void back_to_waiting(const task_key& key, task_state& task);
    void add_stray(std::size_t machine, const task_key& key, run_number run);
    void release_stray(std::size_t machine, const task_key& key, run_number run);
    void stop_task(const task_key& key, task_state& task);
    void empty_machine(std::size_t machine);
    void end_run(std::size_t machine, const finished_task& end);
    void succeed(const task_key& key, task_state& task);
    void fail(const task_key& key, task_state& task, std::size_t machine);
    void succeed_gang(const task_key& key);
    void finish_job_if_done(job_state& job);
    void end_job(job_state& job, job_phase phase);
    void reconcile(std::size_t machine, const inventory& found);

    // --- placement (planning.cpp)
    void release_due_occurrences();
    void expire_machines();
    void place_ready_steps();
    void relieve_pressed_machines();
    [[nodiscard]] bool is_worth_moving(const task_key& key, const task_state& task,
                                       machine_state& machine);
    void stop_stalled_tasks();
    bool place_step(const ready_step& step);
    bool place_gang(const ready_step& step);
    void place_task(const ready_step& step, std::uint32_t index, std::size_t machine);
    [[nodiscard]] bool is_known_unplaceable(const ready_step& step) const;
    bool has_permits(const ready_step& step);
    void flush_acknowledgements();
    [[nodiscard]] std::vector<ready_step> collect_ready_steps();

    options config;
    const clock& time;
    coordinator_orders& orders;
    std::vector<machine_state> machines;
    std::map<instance_name, std::size_t> machine_by_name;
    std::unordered_map<job_id, job_state> jobs;
    // Jobs that are not over.
    std::set<job_id> active;
    // Changed jobs in the order of their change.
    std::deque<job_id> dirty;
    std::optional<write_in_progress> writing;
    std::map<queue_id, queue_rules> queues;
    std::set<failure_domain_id> evacuated;
    std::map<step_key, permits> advice;
    std::map<queue_id, std::int64_t> queued;
    instant inspected_at;
    interference_model interference;
    // In one pass: the least demand of fillers of an image for which no machine was found.
    std::map<std::string, std::int64_t> unplaceable_fillers;
};

}  // namespace tanagerpaddle::dispatch
