#pragma once

// State of the owner from acquiring the ownership until losing or releasing it: the coordinator,
// the table watchers that feed it, and the links to the agents.

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "early_cancellations.hpp"
#include "messages.hpp"
#include "ownership.hpp"

namespace tanagerpaddle::dispatch {

inline constexpr const char* job_table = "jobs";
inline constexpr const char* agent_table = "agents";
// The row with the key of an agent and this suffix records the end of the agent's executor: written
// by an agent that leaves, removed when an agent registers.
inline constexpr const char* ended_suffix = "/ended";
// Number of parts of the job table: the store applies the transactions of one part sequentially.
inline constexpr std::uint32_t job_part_count = 8;
// The row with the key of a job and this suffix cancels the job.
inline constexpr const char* cancel_suffix = "/cancel";
// The part of a key before the suffix; nullopt if it does not end so, or if nothing comes before.
[[nodiscard]] std::optional<std::string> name_before(std::string_view key, std::string_view suffix);

[[nodiscard]] std::string part_of(const job_id& job);

class owner_session : public coordinator_orders,
                      public std::enable_shared_from_this<owner_session> {
public:
    struct environment {
        eventio::event_loop* loop = nullptr;
        const clock* time = nullptr;
        row_store* store = nullptr;
        policy_service* policies = nullptr;
        ownership* owner = nullptr;
        lease_timing timing;
        milliseconds early_cancellation_lifetime{0};
        scheduling_options scheduling{};
    };

    // Runs on instances whose agents cannot be claimed have ended by `unclaimed_runs_end_by`.
    owner_session(environment env, epoch_number epoch, const run_ends& unclaimed_runs_end_by);

    void begin();
    // Closes all links; callbacks that are still pending have no effect.
    void close();
    void set_queues(const std::map<queue_id, queue_rules>& queues);
    void set_evacuated(const std::set<failure_domain_id>& domains);

    // True if all jobs are loaded and the watch of the job table is up to date.
    [[nodiscard]] bool is_job_list_current() const;
    [[nodiscard]] bool is_loaded() const noexcept { return is_loaded_; }
    [[nodiscard]] const coordinator& jobs() const noexcept { return coordinator_; }
    // See coordinator::forecast.
    [[nodiscard]] fleet_forecast make_forecast() { return coordinator_.forecast(agents_.size()); }

    void start(const instance_name& instance, const start_order& order) override;
    void stop(const instance_name& instance, const task_key& task, run_number run) override;
    void acknowledge(const instance_name& instance, executor_incarnation incarnation,
                     completion_number number) override;
    void request_permits(const step_key& step, const std::vector<executor_id>& executors) override;
    void send_traits(const instance_name& instance, const task_key& task,
                     const task_traits& traits) override;
    void load_job(const job_id& job) override;
    void report_crash(const executor_crash& crash) override;
    void report_stall(const instance_name& instance, const task_key& task, run_number run,
                      milliseconds without_progress) override;
    void report_filler_stopped(const filler_stop& stop) override;
    void report_unstored_checkpoint(const task_key& task, std::size_t bytes) override;
    void report_reservation(const instance_name& instance, const task_key& task,
                            instant until) override;
    void report_preemption(const instance_name& instance, const task_key& task,
                           const std::vector<task_key>& stopped) override;
    void report_waiting_task(const waiting_task& waiting) override;
    void report_locality_wait(const locality_wait& wait) override;
    void report_locality_move(const task_key& task, const rack_id& rack) override;
    void report_locality_start(milliseconds waited, bool is_on_rack) override;

private:
    using json = messages::json;
    using pressure_table = interference_model::pressure_table;
    struct agent_link {
        eventio::endpoint address;
        std::shared_ptr<eventio::message_link> link;
        bool is_connecting = false;
        bool is_claimed = false;
        instant last_message_at;
        // The instance's runs have ended by this time unless another lease is granted.
        instant runs_end_by;
        instant retry_at;
        int connect_failures = 0;
        std::uint64_t claim_count = 0;
        // Number of views in the newest heartbeat.
        std::optional<std::uint64_t> view_count;
    };

    void load_progress(const std::string& from);
    void add_progress(const stored_row& row);
    void watch_jobs();
    void add_page(const std::vector<stored_row>& rows, bool is_first);
    void add_read_rows();
    // `stored` holds the keys of cancellations.
    void forget_cancellations_but(const std::set<std::string>& stored);
    void add_row(const stored_row& row);
    void add_job(const stored_row& row);
    void load_next_jobs();
    void job_read(const read_result& result);
    void add_cancellation(const job_id& job, row_version version);
    void forget_cancellation(const job_id& job);
    void remove_early_cancellations();
    // The phase of the job for the log, or "unknown".
    [[nodiscard]] std::string_view phase_name(const job_id& job) const;
    void finish_loading();
    void watch_agents();
    void add_agent(const instance_name& name, const std::string& address);
    void add_recorded_end(const instance_name& name, const std::string& value);
    void connect(const instance_name& instance);
    eventio::link_handlers connected(const instance_name& instance,
                                     const std::shared_ptr<eventio::message_link>& link);
    // Claims the agent with a higher epoch than before.
    void send_claim(agent_link& agent) const;
    void disconnect(const instance_name& instance, std::string_view why);
    void receive(const instance_name& instance, const std::string& text);
    void handle(const instance_name& instance, const json& message);
    void on_inventory(const instance_name& instance, agent_link& agent,
                      const messages::json& message);
    // Logs the tasks that wait until their runs have ended, since the executor is not known.
    void log_unresolved(const instance_name& instance) const;
    void on_pressures(const instance_name& instance, agent_link& agent,
                      const messages::json& message);
    void on_heartbeat(const instance_name& instance, agent_link& agent, const json& message);
    void send(const instance_name& instance, const json& message);
    void tick();
    void share_pressures();
    void send_pressures(agent_link& agent, const pressure_table& pressures);
    void schedule_plan();
    void plan();
    void write_progress();
    [[nodiscard]] bool may_grant() const;

    environment env_;
    epoch_number epoch_;
    instant gained_at_;
    run_ends unclaimed_runs_end_by_;
    coordinator coordinator_;
    early_cancellations early_cancellations_;
    std::unique_ptr<table_watcher> job_watcher_;
    std::unique_ptr<table_watcher> agent_watcher_;
    std::map<instance_name, agent_link> agents_;
    // Rows of jobs that were open when they were read, until the jobs are read.
    std::vector<stored_row> progress_;
    // The jobs of these rows.
    std::set<job_id> jobs_with_rows_;
    // Deferred jobs whose rows are to be read, and the number of those that are being read.
    std::deque<job_id> jobs_to_load_;
    std::size_t job_reads_ = 0;
    // What is new in the pages of a repeated full read, until it is complete.
    std::vector<stored_row> read_rows_;
    instant last_write_at_;
    // Earliest time of the next plan.
    instant next_plan_at_;
    instant pressures_shared_at_;
    // Pressures as last sent to the agents.
    pressure_table shared_pressures_;
    // An agent has returned the pressures learned under an earlier owner.
    bool has_restored_pressures_ = false;
    bool is_loaded_ = false;
    bool is_closed_ = false;
    bool is_plan_scheduled_ = false;
};

}  // namespace tanagerpaddle::dispatch
