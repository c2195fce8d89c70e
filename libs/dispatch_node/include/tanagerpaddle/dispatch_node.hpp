#pragma once

// The two programs that run the dispatcher: an entry accepts jobs and, one entry at a time, owns
// the coordinator; an agent runs beside each executor. Everything outside is reached through the
// interfaces of the first section.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"
#include "tanagerpaddle/eventio.hpp"

namespace tanagerpaddle::dispatch {

// ---------------------------------------------------------------------------------------------
// Outside systems

struct row_address {
    std::string table;
    std::string part;
    std::string key;
};

struct stored_row {
    row_address address;
    std::string value;
    // 0: the row does not exist.
    row_version version;
};

// Takes effect whole or not at all; all rows lie in one part.
struct row_transaction {
    std::string part;
    struct condition {
        std::string table;
        std::string key;
        row_version expected;
    };
    struct put {
        std::string table;
        std::string key;
        std::string value;
    };
    std::vector<condition> conditions;
    std::vector<put> puts;
};

// A key followed by this comes after the key and before all others that begin with it: keys hold no
// control characters.
inline constexpr const char* key_successor_suffix = " ";

enum class store_outcome : std::uint8_t {
    done,
    // A condition did not hold; nothing was written.
    conflict,
    // Nothing was done.
    rejected,
    // A transaction may take effect, now or later, while its conditions hold.
    unknown,
    // The history asked for is gone: read the table again.
    history_expired,
};

struct transaction_result {
    store_outcome outcome = store_outcome::unknown;
    // Version of the rows written.
    row_version version;
    // The rows of the conditions, as they are, after a conflict.
    std::vector<stored_row> current;
};

struct read_result {
    store_outcome outcome = store_outcome::unknown;
    std::vector<stored_row> rows;
    bool has_more = false;
    // The table's version when the rows were read, or that of the last change of a watch.
    row_version version;
};

// The table service, without waiting: each call ends with exactly one callback.
class row_store {
public:
    row_store() = default;
    row_store(const row_store&) = delete;
    row_store& operator=(const row_store&) = delete;
    virtual ~row_store() = default;

    virtual void transact(const row_transaction& transaction, milliseconds limit,
                          std::function<void(const transaction_result&)> done) = 0;
    // Rows of one part with from <= key < to; an empty `to` has no bound.
    virtual void read(const std::string& table, const std::string& part, const std::string& from,
                      const std::string& to, milliseconds limit,
                      std::function<void(const read_result&)> done) = 0;
    // Changes after `after`, as soon as there is one or when `wait` has passed. A removed row has
    // version 0.
    virtual void watch(const std::string& table, row_version after, milliseconds wait,
                       milliseconds limit, std::function<void(const read_result&)> done) = 0;
};

// What a call for the executor's lists brought.
struct sync_result {
    // The executor answered with its lists.
    bool is_answered = false;
    // Nothing listens at its address.
    bool is_connection_refused = false;
    // The executor's clock when it answered.
    std::int64_t executor_clock_ms = 0;
    executor_view view;
};

// Calls to the executor beside the agent. Deadlines are times of the executor's clock.
class executor_control {
public:
    executor_control() = default;
    executor_control(const executor_control&) = delete;
    executor_control& operator=(const executor_control&) = delete;
    virtual ~executor_control() = default;

    virtual void start(const start_order& order, const executor_id& executor, epoch_number epoch,
                       std::int64_t lease_until_ms, std::function<void(start_answer)> done) = 0;
    virtual void stop(const task_key& task, run_number run, epoch_number epoch,
                      std::function<void(bool is_confirmed)> done) = 0;
    virtual void pace(const task_key& task, run_number run, int percent, epoch_number epoch) = 0;
    // Reads the lists and forgets ends up to `forget`; extends the lease unless `lease_until_ms` is
    // unset. The answer waits up to `wait` for an end.
    virtual void sync(epoch_number epoch, end_number forget,
                      std::optional<std::int64_t> lease_until_ms, milliseconds wait,
                      std::function<void(const sync_result&)> done) = 0;
};

// Tells which executors a queue's policy allows for a step.
class policy_service {
public:
    policy_service() = default;
    policy_service(const policy_service&) = delete;
    policy_service& operator=(const policy_service&) = delete;
    virtual ~policy_service() = default;

    // Nothing if there was no answer. `valid_for` counts from the call.
    virtual void request_permits(
        const step_key& step, const std::vector<executor_id>& executors,
        std::function<void(std::optional<std::vector<permit>>, milliseconds valid_for)> done) = 0;
};

// ---------------------------------------------------------------------------------------------
// Following a table

// Keeps a copy of a table up to date: reads its parts, then watches. Reads again when the history
// is gone, and repeats a watch that fails or stays silent.
class table_watcher {
public:
    struct options {
        std::string table;
        std::vector<std::string> parts{""};
    };
    // All rows after a full read, or the changed ones; `is_full` tells which.
    using handler = std::function<void(const std::vector<stored_row>& rows, bool is_full)>;

    table_watcher(eventio::event_loop& loop, row_store& store, options with, handler on_rows);
    ~table_watcher();
    table_watcher(const table_watcher&) = delete;
    table_watcher& operator=(const table_watcher&) = delete;

    // True once a full read has been handed over.
    [[nodiscard]] bool is_loaded() const;
    // When the newest answer of the store was asked for.
    [[nodiscard]] instant confirmed_at() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// Entry

struct entry_options {
    // Name of the machine; equal names are never in use twice at once.
    std::string name;
    std::string incarnation;
    eventio::endpoint messages;
    // Processors of this process; the strongest entries own the coordinator.
    millicores processors{1'000};
    lease_timing timing;
};

enum class submit_outcome : std::uint8_t {
    accepted,
    // Not stored, and it never will be by this call.
    refused,
    // It may be stored.
    unknown,
};

class entry_node {
public:
    entry_node(eventio::event_loop& loop, const clock& time, row_store& store,
               policy_service* policies, entry_options options);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    void start();
    void set_queues(const std::map<queue_id, queue_rules>& queues);
    void set_evacuated(const std::set<failure_domain_id>& domains);

    // Stores the job; a job that is stored already counts as accepted. `until` bounds the answer.
    void submit(const submitted_job& job, deadline until, std::function<void(submit_outcome)> done);

    enum class lookup : std::uint8_t { found, missing, unavailable };
    void status(const job_id& job, deadline until,
                const std::function<void(lookup, job_phase)>& done);
    // lookup::found: the cancellation is durable.
    void cancel(const job_id& job, deadline until, const std::function<void(lookup)>& done);
    // Nothing if it cannot be told.
    void queued_jobs(const queue_id& queue, deadline until,
                     const std::function<void(std::optional<std::size_t>)>& done);

    // Hands the coordinator over and does not take it again.
    void leave();
    [[nodiscard]] bool is_owner() const;
    // The store answered within the last `limit`.
    [[nodiscard]] bool is_store_reachable(milliseconds limit) const;
    // Figures for metrics; zero on an entry that is not the owner.
    [[nodiscard]] coordinator::counts count() const;

    struct state;

private:
    std::shared_ptr<state> state_;
};

// ---------------------------------------------------------------------------------------------
// Agent

struct agent_options {
    std::string name;
    std::string incarnation;
    eventio::endpoint messages;
    lease_timing timing;
};

class agent_node {
public:
    agent_node(eventio::event_loop& loop, const clock& time, row_store& store,
               executor_control& executor, agent_options options);
    ~agent_node();
    agent_node(const agent_node&) = delete;
    agent_node& operator=(const agent_node&) = delete;

    void start();
    // The executor reported itself.
    void executor_reported(const executor_info& info);
    // The executor says that it has left.
    void executor_deregistered(const executor_id& id);
    // Refuses starts from now on; `done` is called when no order waits for an answer.
    void leave(std::function<void()> done);

    struct state;

private:
    std::shared_ptr<state> state_;
};

}  // namespace tanagerpaddle::dispatch
