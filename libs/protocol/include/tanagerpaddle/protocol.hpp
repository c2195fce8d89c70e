#pragma once

// Typed messages between the daemons and typed rows of the platform's table, with their JSON.

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// Addresses and processes

// An IP address and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

// "127.0.0.1:8080"
[[nodiscard]] std::string to_string(const endpoint& value);

// An entry as the others know it; the value of the row entry/<id>.
struct entry_info {
    entry_id id;
    incarnation_number incarnation;
    endpoint control;
    failure_domain_id domain;

    friend bool operator==(const entry_info&, const entry_info&) = default;
};

// ---------------------------------------------------------------------------------------------
// Tasks

enum class task_state : std::uint8_t {
    pending,
    claimed,
    running,
    evicting,
    finished,
    cancelled,
    failed,
    lost,
};

// True for finished, cancelled, failed and lost.
[[nodiscard]] bool is_terminal(task_state state) noexcept;
[[nodiscard]] std::string_view name(task_state state) noexcept;

struct task_key {
    job_id job;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_key&, const task_key&) = default;
};

// One try to run a task; the attempt is its fencing token.
struct task_attempt {
    task_key task;
    attempt_number attempt;

    friend auto operator<=>(const task_attempt&, const task_attempt&) = default;
};

// "harvest-7/3#2": job, task index, attempt.
[[nodiscard]] std::string to_string(const task_attempt& value);
// The key of the attempt's checkpoint in the object store.
[[nodiscard]] std::string checkpoint_key(const task_attempt& value);

// ---------------------------------------------------------------------------------------------
// entry.sync: an agent reports and asks for work

// A task that the agent holds in its ledger.
struct held_task {
    task_attempt attempt;
    task_state state = task_state::running;
    resources demand;
    // Share of the work done, 0 to 1, as the runtime last said.
    double progress = 0;
    // Last checkpoint in the object store; empty if none.
    std::string checkpoint;
    // Measured processor use, with the platform's lag.
    millicores used_processors;
    // Share of full speed, 1 to 100.
    std::uint32_t speed_percent = 100;
    // Time spent running so far.
    std::int64_t run_ms = 0;
};

enum class report_kind : std::uint8_t { started, refused, finished, failed, evicted };

// A change of a task that the owner has to record. Repeated in each sync until acknowledged.
struct task_report {
    std::uint64_t sequence = 0;  // grows within one incarnation of the agent
    task_attempt attempt;
    report_kind kind = report_kind::started;
    result_code code = result_code::ok;
    std::string checkpoint;
    double progress = 0;
    std::int64_t run_ms = 0;
};

// A service's target beside the agent.
struct target_report {
    target_id id;
    service_id service;
    endpoint data;  // where the agent takes requests
    std::uint32_t slots = 0;
    std::uint32_t busy_slots = 0;
    bool is_healthy = true;
    // Tail latency of the service on this worker over the last interval, in microseconds.
    std::int64_t p99_us = 0;
};

struct sync_request {
    worker_id worker;
    incarnation_number incarnation;
    std::uint64_t sequence = 0;
    endpoint control;
    // The worker's runtime, which outlives the agent; without an address it is asked by nobody
    // else.
    endpoint runtime;
    failure_domain_id domain;
    rack_id rack;
    resources capacity;
    resources free;
    std::vector<held_task> tasks;
    std::vector<task_report> reports;
    std::vector<target_report> targets;
    config_version configuration;
    // The epoch of the lease that the agent holds; 0 if none.
    epoch_number epoch;
    bool is_leaving = false;
};

// Permission to start one attempt, valid for `valid_ms` from the moment when the agent sent the
// sync request.
struct start_permit {
    task_attempt attempt;
    job_kind kind = job_kind::batch;
    resources demand;
    std::int64_t valid_ms = 0;
    std::int64_t run_time_ms = 0;
    std::string command;
    // The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
    bool can_checkpoint = true;
};

enum class order_kind : std::uint8_t {
    // Stop without a checkpoint: the attempt is stale or cancelled.
    stop,
    // Checkpoint, stop, report as evicted.
    evict,
    // Run at `speed_percent`.
    throttle,
};

struct task_order {
    task_attempt attempt;
    order_kind kind = order_kind::stop;
    std::uint32_t speed_percent = 100;
};

// What an agent needs of the configuration.
struct agent_configuration {
    config_version version;
    std::vector<service_declaration> services;
    bool is_domain_drained = false;
};

struct sync_reply {
    result_code code = result_code::ok;
    // Set if another entry owns the worker's partition (code not_owner).
    std::optional<entry_info> redirect;
    epoch_number epoch;
    // The worker's lease counted from the moment when the agent sent the request; 0: no lease.
    std::int64_t lease_ms = 0;
    // The attempts of the request that are current in the table; held ones that are missing here
    // and have no order stay paused.
    std::vector<task_attempt> current;
    std::vector<start_permit> starts;
    std::vector<task_order> orders;
    // Reports up to this sequence are recorded.
    std::uint64_t acknowledged = 0;
    std::optional<agent_configuration> configuration;
    std::vector<entry_info> entries;
    std::int64_t next_sync_ms = 2'000;
};

// ---------------------------------------------------------------------------------------------
// agent.inventory: a new owner asks

struct inventory_request {
    // At least 1.
    epoch_number epoch;
    // Where the owner takes syncs.
    std::optional<endpoint> from;
};

// ---------------------------------------------------------------------------------------------
// agent.cancel: an entry withdraws a request

enum class cancel_outcome : std::uint8_t { not_run, running, done, unknown };

struct cancel_request {
    request_id id;
    // The incarnation that the request was sent to.
    incarnation_number incarnation;
};

struct cancel_reply {
    cancel_outcome outcome = cancel_outcome::unknown;
};

// ---------------------------------------------------------------------------------------------
// entry.digest: entries tell each other what they own

struct known_target {
    target_report target;
    worker_id worker;
    incarnation_number incarnation;
    endpoint control;
    failure_domain_id domain;
    bool is_leaving = false;
};

struct partition_summary {
    partition_number partition;
    epoch_number epoch;
    resources free;
    // Largest free amount on one worker that takes work.
    resources largest_free;
    resources largest_worker;
    std::uint32_t worker_count = 0;
    std::uint32_t pending_tasks = 0;
};

struct team_usage {
    team_id team;
    resources used;
};

struct entry_digest {
    entry_info from;
    config_version configuration;
    // Version of the sender's target list; `targets` is the whole list if it changed since
    // `acknowledged` of the receiver's last reply, else empty with is_unchanged set.
    std::uint64_t targets_version = 0;
    bool is_unchanged = false;
    std::vector<known_target> targets;
    std::vector<partition_summary> partitions;
    std::vector<team_usage> usage;
    bool is_leaving = false;
};

struct digest_reply {
    std::uint64_t acknowledged = 0;
    config_version configuration;
};

// entry.notify: something to read in the table.
struct entry_notice {
    config_version configuration;  // 0: no news
    std::vector<partition_number> changed_shards;
};

// ---------------------------------------------------------------------------------------------
// Rows

// partition/<n>
struct partition_row {
    entry_id owner;
    incarnation_number incarnation;
    epoch_number epoch;
    // How long after each write of the row the owner may grant leases, in ms.
    std::int64_t horizon_ms = 0;
    // The owner gave the partition up; leases that it granted end within horizon_ms.
    bool is_released = false;
};

enum class job_state : std::uint8_t { active, finished, cancelled, failed };

// How many tasks of a job have ended in each way.
struct task_counts {
    std::uint32_t finished = 0;
    std::uint32_t cancelled = 0;
    std::uint32_t failed = 0;
    std::uint32_t lost = 0;

    friend bool operator==(const task_counts&, const task_counts&) = default;
};

// job/<id>
struct job_row {
    job_declaration declaration;
    std::uint32_t group_count = 0;
    // The partition of each group, by group number; changed in the transaction that moves a group.
    std::vector<partition_number> group_partitions;
    // Groups whose tasks have all ended. Their rows are deleted in the transaction that counts
    // them.
    std::uint32_t ended_groups = 0;
    // The ended tasks of these groups.
    task_counts ended_tasks;
    job_state state = job_state::active;
    // Declared in the configuration rather than submitted on its own.
    bool is_declared = false;
    utc_millis submitted_at;
    utc_millis ended_at;
};

struct task_record {
    std::uint32_t index = 0;
    task_state state = task_state::pending;
    attempt_number attempt;
    worker_id worker;
    failure_domain_id domain;
    std::string checkpoint;
    double progress = 0;
    std::uint32_t failure_count = 0;
    std::uint32_t eviction_count = 0;
    // Workers that went away shortly after they had started the task; 0 again once it has outlived
    // its start.
    std::uint32_t crash_count = 0;
    result_code code = result_code::ok;
};

// group/<partition>/<job>/<k>: up to tasks_per_group tasks of one job.
struct group_row {
    job_declaration declaration;
    std::uint32_t group = 0;
    bool is_cancel_requested = false;
    utc_millis submitted_at;
    // The configuration version that declared the job; 0 if it was submitted on its own. An owner
    // with an older configuration does not take the job for one that was removed.
    config_version declared_in;
    std::vector<task_record> tasks;
};

inline constexpr std::uint32_t tasks_per_group = 64;

// config/current
struct configuration_row {
    config_version version;
    std::string document;                 // YAML
    std::vector<std::string> operations;  // the last ids of accepted operations
    std::string changed_by;
};

// domain/<name>
struct domain_row {
    bool is_drained = false;
    config_version version;
};

[[nodiscard]] std::string partition_key(partition_number partition);
[[nodiscard]] std::string job_key(const job_id& id);
// "group/0003/": the prefix of a partition's queue shard.
[[nodiscard]] std::string shard_prefix(partition_number partition);
[[nodiscard]] std::string group_key(partition_number partition, const job_id& id,
                                    std::uint32_t group);
[[nodiscard]] std::string domain_key(const failure_domain_id& id);
[[nodiscard]] std::string entry_key(const entry_id& id);
[[nodiscard]] std::string request_key(const request_id& id);
inline constexpr std::string_view configuration_key = "config/current";

// ---------------------------------------------------------------------------------------------
// JSON

// The message as compact JSON text, without the fields that hold their defaults. Defined for the
// messages, rows and the parts of them that are stored or sent on their own.
template <class Message>
[[nodiscard]] std::string encode(const Message& message);
// The same with all fields, for people and tools.
template <class Message>
[[nodiscard]] std::string encode_complete(const Message& message);
// Throws error(malformed_request) naming the message type if the text is no such message. Refuses
// numbers that do not fit their field, and the upper half of the range of those that only grow
// (versions, epochs, attempts, sequence numbers), from which counting on would start again at 0.
template <class Message>
[[nodiscard]] Message decode(std::string_view text);

// The integer of a JSON value; the library itself converts numbers without a check of their range.
// Throws error(malformed_request) if the value is no integer or does not fit. Defined for 16, 32
// and 64 bits without and 64 bits with sign.
template <class Integer>
[[nodiscard]] Integer integer_of(const nlohmann::json& j);

}  // namespace tanagerpaddle
