#pragma once

// Entries, agents, runtimes, table and network on one virtual clock.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "network.hpp"
#include "runtime.hpp"
#include "tanagerpaddle/membership.hpp"
#include "tanagerpaddle/scheduling.hpp"
#include "trace.hpp"

namespace tanagerpaddle::soak {

struct world_options {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t workers = 50;
    // Virtual seconds during which faults begin.
    std::int64_t fault_seconds = 600;
    std::string trace_file;
    scheduler_mechanisms scheduler;
    agent_mechanisms agent;
};

struct entry_process {
    entry_info info;
    std::unique_ptr<skewed_clock> time;
    std::unique_ptr<table_port> port;
    std::unique_ptr<entry_directory> directory;
    std::unique_ptr<entry_scheduler> scheduler;  // empty while the process is dead
    bool is_frozen = false;
    bool is_registered = false;
    std::vector<message> held_back;
    std::map<entry_id, entry_digest> digests;
    config_version highest_seen;
    instant next_tick;
    instant next_digest;
    instant next_listing;
    instant next_poll;
};

struct agent_process {
    worker_identity identity;
    resources capacity;
    std::unique_ptr<skewed_clock> time;
    std::unique_ptr<skewed_clock> runtime_time;
    std::unique_ptr<simulated_runtime> runtime;
    std::unique_ptr<instance_ledger> ledger;
    std::unique_ptr<agent_tasks> tasks;  // empty while the process is dead
    incarnation_number incarnation;
    bool is_frozen = false;
    bool is_worker_dead = false;
    bool is_woken = false;
    std::vector<message> held_back;
    std::string entry;
    std::optional<instant> asked_at;
    // Of the last request.
    std::uint64_t sequence = 0;
    instant next_tick;
    config_version highest_seen;
    milliseconds answered_at{0};
};

class world {
public:
    explicit world(const world_options& chosen);

    // One step of 100 ms of virtual time.
    void step();
    void start_entry(entry_process& entry);
    void kill_entry(entry_process& entry) { entry.scheduler.reset(); }
    void start_agent(agent_process& agent);
    void kill_agent(agent_process& agent) { agent.tasks.reset(); }
    void resume(entry_process& entry);
    void resume(agent_process& agent);
    // An entry that is neither dead nor frozen, chosen at random; nullptr if there is none.
    [[nodiscard]] entry_process* any_entry();
    // The job rows of the table.
    [[nodiscard]] std::vector<job_row> jobs();

    world_options options;
    scheduler_options scheduling;
    virtual_time time;
    event_trace trace;
    observer seen;
    shared_table rows;
    network net;
    random_source random;
    first_fit_placement strategy;
    std::vector<entry_process> entries;
    std::vector<agent_process> agents;
    // By the text of the row config/current; its version stands in the text.
    std::map<std::string, std::shared_ptr<const configuration>> documents;
    std::uint64_t steps = 0;

private:
    void deliver(message arrived);
    void handle(entry_process& entry, const message& arrived);
    void handle(agent_process& agent, const message& arrived);
    void run(entry_process& entry);
    void run(agent_process& agent);
    void tick(entry_process& entry);
    void list_entries(entry_process& entry);
    void poll_configuration(entry_process& entry);
    void send_digests(entry_process& entry);
    void check_versions();
    void check_ledgers();

    std::uint64_t next_life_ = 1'000;
    std::map<std::string, std::size_t> entry_index_;
    std::map<std::string, std::size_t> agent_index_;
};

}  // namespace tanagerpaddle::soak
