#pragma once

// State of agent_tasks. Its member functions are grouped by purpose in the source files.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

// One attempt on this instance.
struct agent_task {
    resources demand;
    runtime_task_state state = runtime_task_state::running;
    // End of the worker lease granted by the last reply that listed the attempt as current.
    instant lease_until = instant::min();
    // No reply has listed the attempt since the agent started. The lease given to the runtime
    // before the restart continues.
    bool is_unconfirmed = true;
    // The last reply listed the attempt as current.
    bool is_current = false;
    bool is_evicting = false;
    // Finished, failed or evicted; kept until its report is acknowledged.
    bool is_ended = false;
    // The runtime did not answer the start, so the task may or may not be running.
    bool is_start_unknown = false;
    instant started_at;
    bool can_checkpoint = true;
    double progress = 0;
    std::string checkpoint;
    millicores used_processors;
    std::int64_t run_ms = 0;
    std::uint32_t speed_percent = 100;
};

// Longer than any lease or permit, and far from overflow when added to an instant.
inline constexpr milliseconds max_granted_time = std::chrono::hours(24);

// A time that an owner grants, from 0 to the longest one.
[[nodiscard]] inline milliseconds sound_time(std::int64_t granted_ms) {
    return std::clamp(milliseconds(granted_ms), milliseconds(0), max_granted_time);
}

class agent_state {
public:
    agent_state(const agent_options& chosen, worker_identity own, instance_ledger& commitments,
                worker_runtime& tasks_runtime, const clock& source,
                incarnation_number own_incarnation)
        : options(chosen),
          identity(std::move(own)),
          ledger(commitments),
          runtime(tasks_runtime),
          time(source),
          incarnation(own_incarnation) {}

    // --- agent_sync.cpp
    [[nodiscard]] bool recover();
    void adopt(const runtime_task& found);
    [[nodiscard]] sync_request next_sync_request();
    void on_reply(const sync_reply& reply, std::uint64_t answered_sequence);
    void acknowledge(std::uint64_t up_to);
    void add_report(const task_attempt& attempt, report_kind kind, result_code code);
    void apply_reservations();

    // --- agent_starts.cpp
    void handle_permit(const start_permit& permit, instant requested_at, instant lease_end);
    // The reason to refuse the permit; ok if it may be used.
    [[nodiscard]] result_code check_permit(const start_permit& permit, instant requested_at) const;
    // False if an earlier attempt of the task may still be running here.
    [[nodiscard]] bool stop_earlier_attempts(const task_attempt& attempt);
    void start(const start_permit& permit, instant requested_at, instant lease_end);
    void execute_order(const task_order& order);
    void evict(const task_attempt& attempt);
    [[nodiscard]] bool has_ended_at_runtime(const task_attempt& attempt);
    void stop_and_remove(const task_attempt& attempt);
    void remove_task(const task_attempt& attempt);
    void resolve_unknown_start(const task_attempt& attempt, const std::set<task_attempt>& listed);

    // --- agent_leases.cpp
    void tick();
    void apply_listing(const runtime_task& found);
    void end_task(const task_attempt& attempt, report_kind kind, result_code code);
    void update_leases();
    void update_lease(const task_attempt& attempt, agent_task& task,
                      std::map<std::int64_t, std::vector<task_attempt>>& renewals);
    [[nodiscard]] std::int64_t remaining_lease_ms(const agent_task& task) const;

    agent_options options;
    worker_identity identity;
    instance_ledger& ledger;
    worker_runtime& runtime;
    const clock& time;
    incarnation_number incarnation;

    bool is_recovered = false;
    bool is_leaving = false;
    std::map<task_attempt, agent_task> tasks;
    // The highest known attempt of each task; lower ones are stale.
    std::map<task_key, attempt_number> latest_attempts;
    std::vector<task_report> reports;
    std::uint64_t report_sequence = 0;
    bool has_new_reports = false;
    std::uint64_t sequence = 0;
    // The request with `sequence` has no reply yet.
    bool is_reply_pending = false;
    instant sent_at;
    deadline next_sync_at;
    epoch_number epoch;
    std::vector<target_report> targets;
    std::set<service_id> reserved;
    agent_configuration current_configuration;
    std::vector<entry_info> entries;
    std::optional<entry_info> redirect;
};

}  // namespace tanagerpaddle
