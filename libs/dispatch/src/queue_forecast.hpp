#pragma once

// Predicts when a job that is submitted now would start and end, and lists the executors that jobs
// can hope for.

#include <map>
#include <optional>
#include <vector>

#include "placement.hpp"

namespace tanagerpaddle::dispatch {

// The usual job of a queue: moving averages over the jobs added last.
struct queue_profile {
    double core_seconds = 0;
    double critical_path_s = 0;
    bool has_fillers = false;
    double weight = 0;
};

// Millicores that assigned tasks hold, by priority, and those of long-running tasks.
struct held_processors {
    std::map<int, std::int64_t> by_priority;
    std::map<int, std::int64_t> fillers_by_priority;
    std::int64_t long_running = 0;
};

// What a service has for the tasks of jobs.
struct service_supply {
    // Millicores of the instances that accept starts.
    std::int64_t capacity = 0;
    // Millicores that fillers use and need at full pace.
    std::int64_t fillers_used = 0;
    std::int64_t fillers_needed = 0;
};

// Waiting tasks of one step.
struct waiting_work {
    int priority = 0;
    int rank = 0;
    bool is_filler = false;
    // Remaining work of the job, by which the order sorts.
    double job_core_seconds = 0;
    // Work of the waiting tasks.
    double core_seconds = 0;
};

// Follows what the predictions need through changes, so that none of them takes a walk over the
// tasks.
class fleet_load {
public:
    void job_added(const queue_id& queue, const job_spec& spec, double core_seconds,
                   milliseconds critical_path);
    // A task of the step was assigned to an instance, or is no longer.
    void task_assigned(const queue_rules& rules, const step_spec& spec);
    void task_unassigned(const queue_rules& rules, const step_spec& spec);

    [[nodiscard]] queue_profile profile_of(const queue_id& queue) const;
    [[nodiscard]] held_processors held_in(const service_id& service) const;

private:
    void add(const queue_rules& rules, const step_spec& spec, std::int64_t sign);

    std::map<queue_id, queue_profile> profiles_;
    std::map<service_id, held_processors> held_;
};

// The drain model: the work that goes before a usual job of the queue starts at the rate at which
// the capacity left by long-running tasks and more urgent work is freed. Work that arrives later is
// not counted. std::nullopt if no capacity is known.
[[nodiscard]] std::optional<fleet_forecast::queue_delay> predict_delay(
    const queue_rules& rules, const queue_profile& profile, const service_supply& supply,
    const held_processors& held, const std::vector<waiting_work>& waiting);

// The executors seen lately, whatever their state.
class executor_census {
public:
    // An executor that was not seen for this long does not count.
    static constexpr milliseconds max_age{60'000};
    // The list must have been complete for this long, so that agents which register together are
    // all in it.
    static constexpr milliseconds settling_time{10'000};

    // `last_seen` is when the instance last reported the executor.
    void seen(const instance_name& instance, const executor_info& info, instant last_seen);
    // `expected` is the number of registered agents. An agent whose executor is not known keeps the
    // list incomplete for max_age.
    void update(std::size_t expected, instant now);
    [[nodiscard]] bool is_settled(instant now) const;
    // Most labels of a row: 5 KB of names of 20 bytes, sent to each entry every 2 s. A service
    // whose joined rows need more is left out.
    static constexpr std::size_t max_labels_per_shape = 256;

    // The maximal executors of each service, with at most max_shapes_per_service rows: further ones
    // are joined into one that exceeds them all. Empty unless the list is settled. They are
    // computed again only after a change.
    [[nodiscard]] const std::map<service_id, std::vector<fleet_forecast::executor_shape>>& largest(
        instant now);

private:
    struct entry {
        service_id service;
        fleet_forecast::executor_shape shape;
        // When the executor last had as much of each resource as `shape` tells.
        instant shape_seen;
        instant last_seen;
    };

    std::map<instance_name, entry> entries_;
    std::map<service_id, std::vector<fleet_forecast::executor_shape>> largest_;
    bool is_changed_ = false;
    // Number of entries that `largest_` counts.
    std::size_t counted_ = 0;
    std::size_t expected_ = 0;
    instant expected_since_{};
    std::optional<instant> complete_since_;
};

}  // namespace tanagerpaddle::dispatch
