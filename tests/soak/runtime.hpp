#pragma once

// A worker's runtime in memory and the table as one process sees it.

#include <functional>
#include <list>

#include "tanagerpaddle/scheduling.hpp"
#include "trace.hpp"

namespace tanagerpaddle::soak {

// Pauses tasks at the end of their leases by its own clock. Without power (worker killed) or while
// frozen each call fails; a start that reaches a frozen runtime may take effect when it resumes,
// within what remains of its permit.
class simulated_runtime final : public worker_runtime {
public:
    simulated_runtime(worker_id worker, const clock& time, observer& seen, std::uint64_t seed)
        : worker_(std::move(worker)), time_(time), seen_(seen), random_(seed) {}

    // Lets the tasks compute for `step`; leases are looked at first.
    void advance(milliseconds step);
    // All tasks vanish; checkpoints stay in the object store.
    void kill();
    void set_frozen(bool is_frozen);

    [[nodiscard]] std::vector<runtime_task> list() override;
    void start(const start_permit& permit, std::int64_t lease_ms) override;
    void renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) override;
    void pause(const task_attempt& attempt) override;
    void resume(const task_attempt& attempt, std::int64_t lease_ms) override;
    std::string checkpoint(const task_attempt& attempt) override;
    void throttle(const task_attempt& attempt, std::uint32_t speed_percent) override;
    void stop(const task_attempt& attempt) override;
    void forget(const task_attempt& attempt) override;

    bool fails_everything = false;

private:
    struct held {
        runtime_task task;
        instant lease_end;
        std::int64_t needed_ms = 0;
        std::int64_t checkpoint_ms = 0;
        bool can_checkpoint = true;
        bool is_hold = false;
    };
    struct waiting_start {
        start_permit permit;
        std::int64_t lease_ms;
        instant arrived;
    };
    void throw_if_frozen() const;
    held& find(const task_attempt& attempt);
    void set_state(held& changed, runtime_task_state state);
    void begin(const start_permit& permit, std::int64_t lease_ms);
    std::string write_checkpoint(held& task);

    worker_id worker_;
    const clock& time_;
    observer& seen_;
    random_source random_;
    bool is_frozen_ = false;
    std::map<task_attempt, held> tasks_;
    std::vector<waiting_start> waiting_;
};

// Faults of the table; apply to all processes.
struct table_faults {
    bool is_down = false;
    double lost_request = 0;
    double lost_answer = 0;
    // Probability that a commit takes effect only after its caller has given up.
    double late = 0;
};

class shared_table {
public:
    shared_table(const virtual_time& time, observer& seen, event_trace& trace, std::uint64_t seed)
        : time_(time), seen_(seen), trace_(trace), random_(seed) {}

    void apply_late_commits();
    commit_result commit(const table_transaction& transaction, const std::string& process,
                         const std::function<void(std::size_t)>& written);
    // Throws error(store_unavailable) as the faults say.
    void pass_request();

    memory_table rows;
    table_faults faults;

private:
    struct late_commit {
        milliseconds due;
        table_transaction transaction;
        std::string process;
        std::function<void(std::size_t)> written;
    };
    commit_result apply(const table_transaction& transaction, const std::string& process,
                        const std::function<void(std::size_t)>& written);

    const virtual_time& time_;
    observer& seen_;
    event_trace& trace_;
    random_source random_;
    std::list<late_commit> late_;
};

// The table as one process sees it. With `rows_per_second` > 0 the write budget is checked.
class table_port final : public table {
public:
    table_port(shared_table& shared, const virtual_time& time, std::string process,
               double rows_per_second, double burst_rows);
    [[nodiscard]] std::optional<table_row> read(const std::string& key) override;
    [[nodiscard]] std::vector<table_row> scan(const std::string& prefix, const std::string& after,
                                              std::size_t limit) override;
    [[nodiscard]] commit_result commit(const table_transaction& transaction) override;

private:
    void spend(std::size_t rows);

    shared_table& shared_;
    const virtual_time& time_;
    std::string process_;
    double rate_;
    double burst_;
    double tokens_;
    milliseconds refilled_at_;
};

}  // namespace tanagerpaddle::soak
