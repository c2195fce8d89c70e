#pragma once

// What the owning entry runs from its takeover until it loses or hands over the ownership: the
// coordinator, the tables that feed it, and the links to the agents.

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "messages.hpp"
#include "ownership.hpp"

namespace tanagerpaddle::dispatch {

inline constexpr const char* job_table = "jobs";
inline constexpr const char* agent_table = "agents";
// Jobs are spread over parts, since the store writes one transaction of a part after the other.
inline constexpr std::uint32_t job_parts = 8;
// Ends the key of the row that cancels a job.
inline constexpr const char* cancel_suffix = "/cancel";

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
    };

    // Work on machines that cannot be reached is gone at `machines_gone_at` at the latest.
    owner_session(environment with, epoch_number epoch, instant machines_gone_at);

    void begin();
    // Closes all links; nothing happens afterwards.
    void close();
    void set_queues(const std::map<queue_id, queue_rules>& queues);
    void set_evacuated(const std::set<failure_domain_id>& domains);

    // All jobs are loaded and the feed of new ones is fresh.
    [[nodiscard]] bool knows_all_jobs() const;
    [[nodiscard]] bool is_loaded() const noexcept { return is_loaded_; }
    [[nodiscard]] const coordinator& jobs() const noexcept { return coordinator_; }

    void start(const machine_name& machine, const start_order& order) override;
    void stop(const machine_name& machine, const task_key& task, run_number run) override;
    void acknowledge(const machine_name& machine, lifetime_number lifetime,
                     end_number number) override;
    void ask_advice(const step_key& step, const std::vector<executor_id>& executors) override;
    void describe(const machine_name& machine, const task_key& task,
                  const task_traits& traits) override;

private:
    using json = messages::json;
    using pressure_table = interference_model::pressure_table;
    struct agent_link {
        eventio::endpoint address;
        std::shared_ptr<eventio::message_link> link;
        bool is_connecting = false;
        bool is_claimed = false;
        instant heard_at;
        // The newest grant, or the takeover if there was none yet.
        instant gone_at;
        instant retry_at;
        int failures = 0;
        std::uint64_t claims = 0;
    };

    void load_progress(const std::string& from);
    void add_row(const stored_row& row);
    void finish_loading();
    void follow_agents();
    void connect(const machine_name& machine);
    eventio::link_handlers connected(const machine_name& machine,
                                     const std::shared_ptr<eventio::message_link>& link);
    void disconnect(const machine_name& machine, std::string_view why);
    void receive(const machine_name& machine, const std::string& text);
    void handle(const machine_name& machine, const json& message);
    void on_inventory(const machine_name& machine, agent_link& agent,
                      const messages::json& message);
    void on_pressures(const machine_name& machine, agent_link& agent,
                      const messages::json& message);
    void on_beat(const machine_name& machine, agent_link& agent, const json& message);
    void send(const machine_name& machine, const json& message);
    void tick();
    void share_pressures();
    void send_pressures(agent_link& agent, const pressure_table& pressures);
    void schedule_plan();
    void plan();
    void pump_writes();
    [[nodiscard]] bool may_grant() const;

    environment env_;
    epoch_number epoch_;
    instant machines_gone_at_;
    coordinator coordinator_;
    std::unique_ptr<table_watcher> job_feed_;
    std::unique_ptr<table_watcher> agent_feed_;
    std::map<machine_name, agent_link> agents_;
    std::vector<stored_row> progress_;
    instant written_at_;
    // When the next plan may begin.
    instant plan_at_;
    instant shared_at_;
    // The pressures that all agents know.
    pressure_table shared_;
    // An agent has told what an earlier owner had learned.
    bool has_recalled_ = false;
    bool is_loaded_ = false;
    bool is_closed_ = false;
    bool is_plan_scheduled_ = false;
};

}  // namespace tanagerpaddle::dispatch
