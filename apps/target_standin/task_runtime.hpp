#pragma once

// One worker's runtime: tasks under leases, computed from the clock that is passed in.

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "event_record.hpp"
#include "tanagerpaddle/scheduling.hpp"
#include "tanagerpaddle/store.hpp"
#include "target_faults.hpp"

namespace tanagerpaddle::standin {

struct runtime_options {
    resources capacity;
    // Taken by the service's target.
    resources reserved;
    // Share by which each processor used by a batch task slows requests and other tasks.
    double interference_per_processor = 0;
    // Age of the usage that is reported.
    milliseconds usage_lag{2'000};
    // Refuses a start beyond the capacity; off, since the users' platform does not.
    bool refuses_overcommitment = false;
};

// What a task really does, as its command says: "run_ms=N fail=0|1 fail_at=P usage_percent=U".
struct task_behaviour {
    std::int64_t run_ms = 1;
    // Progress at which it fails.
    std::optional<double> fail_at;
    // Processor use in percent of the demand.
    std::int64_t usage_percent = 100;
};

// Members missing in the text come from the permit. Throws error(malformed_request).
[[nodiscard]] task_behaviour parse_command(const start_permit& permit);

// Thread-safe. Between two calls tasks advance as if they had run all the time: each call first
// lets time pass, so a task whose lease ended while the process was frozen is paused at the end of
// its lease before the call takes effect.
class task_runtime {
public:
    // The references must outlive the object.
    task_runtime(const runtime_options& options, const clock& time, object_store& objects,
                 const fault_switches& faults, event_record& record);

    // Lets time pass; to be called every few milliseconds.
    void advance();

    [[nodiscard]] std::vector<runtime_task> list();
    // The permit and the lease count from `sent_at`. Throws as http_worker_runtime describes.
    void start(const start_permit& permit, std::int64_t lease_ms, instant sent_at);
    // Leases never get shorter; attempts that are not held are ignored.
    void renew(const std::vector<task_attempt>& attempts, instant lease_end);
    void pause(const task_attempt& attempt);
    void resume(const task_attempt& attempt, instant lease_end);
    std::string checkpoint(const task_attempt& attempt);
    void throttle(const task_attempt& attempt, std::uint32_t speed_percent);
    void stop(const task_attempt& attempt);
    void forget(const task_attempt& attempt);

    // How many times as long a request takes because of the batch tasks that run.
    [[nodiscard]] double request_slowdown();
    // Reserved amounts and the demands of all tasks that have not ended.
    [[nodiscard]] resources committed();
    // The largest amount of each resource committed so far.
    [[nodiscard]] resources largest_committed();
    // Processors in use by tasks `usage_lag` ago.
    [[nodiscard]] millicores used_processors();
    [[nodiscard]] const resources& capacity() const noexcept { return options_.capacity; }

private:
    struct usage_change {
        instant at;
        millicores used;
    };

    struct held_task {
        runtime_task seen;
        job_kind kind = job_kind::batch;
        bool can_checkpoint = true;
        task_behaviour behaviour;
        double run_ms = 0;
        instant lease_end;
        std::deque<usage_change> usage;
    };

    void advance_to(instant now);
    // Progress made in one millisecond.
    [[nodiscard]] double rate_of(const held_task& task, double processors, double slow) const;
    // When the task finishes, fails or loses its lease at that rate.
    [[nodiscard]] instant next_change(const held_task& task, double rate) const;
    void settle(held_task& task, instant at);
    void change_state(held_task& task, runtime_task_state state, std::string_view event,
                      instant at);
    void note_usage(held_task& task, instant at);
    [[nodiscard]] millicores lagged_usage(const held_task& task) const;
    // Processors that running batch tasks use.
    [[nodiscard]] double busy_processors() const;
    [[nodiscard]] resources sum_committed() const;
    [[nodiscard]] held_task& held(const task_attempt& attempt);
    void admit(const start_permit& permit);
    [[nodiscard]] double read_progress(const start_permit& permit);

    runtime_options options_;
    const clock& time_;
    object_store& objects_;
    const fault_switches& faults_;
    event_record& record_;
    std::mutex mutex_;
    std::map<task_attempt, held_task> tasks_;
    instant advanced_to_;
    resources largest_committed_;
};

}  // namespace tanagerpaddle::standin
