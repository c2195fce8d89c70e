#pragma once

// Implementation of target_pool: snapshot of targets and shared state.

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "rcu.hpp"
#include "target_counters.hpp"

namespace tanagerpaddle {

// The targets of one service.
struct service_group {
    // Targets that accept requests, those of the local failure domain first.
    std::vector<std::shared_ptr<const pool_entry>> candidates;
    std::size_t local_count = 0;
    std::vector<std::shared_ptr<const pool_entry>> not_accepting;
    std::shared_ptr<service_counters> counters;
};

struct pool_snapshot {
    std::unordered_map<service_id, service_group> services;
};

// The result of selecting a target, from which the lease is made.
struct selection_result {
    std::shared_ptr<const pool_entry> entry;
    bool is_probe = false;
    // ok with an entry, otherwise the reason why none was selected.
    result_code reason = result_code::no_target;
};

// Member functions correspond to those of the same name in target_pool.
class pool_state {
public:
    pool_state(const pool_options& options, const clock& time, failure_domain_id local_domain);

    void replace(std::vector<route_target> targets);
    [[nodiscard]] selection_result acquire(const service_id& service,
                                           const std::vector<target_id>& excluded,
                                           random_source& random, bool can_probe,
                                           instant now) const;
    void finish(const pool_entry& entry, bool is_probe, const request_outcome& outcome);
    [[nodiscard]] std::vector<target_status> status() const;
    [[nodiscard]] const pool_options& options() const noexcept { return options_; }
    [[nodiscard]] instant now() const { return time_.now(); }

private:
    [[nodiscard]] selection_result choose(const service_group& group,
                                          const std::vector<target_id>& excluded,
                                          random_source& random, bool can_probe,
                                          std::int64_t now_ns) const;
    // Moves an ejected target whose backoff has expired to probing; nullptr if there is none.
    [[nodiscard]] std::shared_ptr<const pool_entry> claim_probe(
        const service_group& group, const std::vector<target_id>& excluded,
        std::int64_t now_ns) const;
    [[nodiscard]] result_code unavailable_reason(const service_group& group,
                                                 const std::vector<target_id>& excluded,
                                                 std::int64_t now_ns) const;

    void record_outcome(const pool_entry& entry, const request_outcome& outcome,
                        std::uint32_t outstanding, std::int64_t now_ns);
    void adapt_limit(const pool_entry& entry, const request_outcome& outcome, bool was_rejected,
                     std::uint32_t outstanding, std::int64_t now_ns);
    void end_probe(const pool_entry& entry, outcome_kind kind, std::int64_t now_ns);
    void eject_if_outlier(const pool_entry& entry, std::int64_t now_ns);
    // The caller holds the health mutex.
    void eject(const pool_entry& entry, std::int64_t now_ns);
    [[nodiscard]] bool can_eject(const service_group& group, const pool_entry& entry) const;
    // Reinstates targets without a probe while more than half of the group's are ejected, as
    // happens after healthy ones have left: the remaining ones might not have enough capacity.
    static void reinstate_excess(const service_group& group, std::int64_t now_ns);

    [[nodiscard]] std::unique_ptr<const pool_snapshot> build(
        std::vector<route_target> targets) const;

    pool_options options_;
    const clock& time_;
    failure_domain_id local_domain_;
    // Serialises replace and changes of health state. Not locked by acquire, nor by a release that
    // neither ends a probe nor may eject a target.
    std::mutex health_mutex_;
    rcu::published<pool_snapshot> snapshot_;
};

// Sets `value` to the minimum of itself and `candidate`.
void atomic_min(std::atomic<std::int64_t>& value, std::int64_t candidate) noexcept;
[[nodiscard]] bool contains(const std::vector<target_id>& ids, const target_id& id) noexcept;

}  // namespace tanagerpaddle
