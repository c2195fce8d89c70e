#pragma once

// Snapshot and shared state of target_pool.

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "rcu.hpp"
#include "target_counters.hpp"

namespace tanagerpaddle {

// The accepting targets of one service, those of the own failure domain first, and the others.
struct service_group {
    std::vector<std::shared_ptr<const pool_entry>> candidates;
    std::size_t local_count = 0;
    std::vector<std::shared_ptr<const pool_entry>> closed;
    std::shared_ptr<service_counters> counters;
};

struct pool_snapshot {
    std::unordered_map<service_id, service_group> services;
};

// What a chosen target needs to become a lease.
struct started_request {
    std::shared_ptr<const pool_entry> entry;
    bool is_probe = false;
    // ok with an entry, otherwise why there is none.
    result_code reason = result_code::no_target;
};

// The implementation of target_pool; its functions behave as those of the same names there.
class pool_state {
public:
    pool_state(const pool_options& options, const clock& time, failure_domain_id own);

    void replace(std::vector<route_target> targets);
    [[nodiscard]] started_request acquire(const service_id& service,
                                          const std::vector<target_id>& excluded,
                                          random_source& random, bool can_probe, instant now) const;
    void finish(const pool_entry& entry, bool is_probe, const request_outcome& outcome);
    [[nodiscard]] std::vector<target_status> status() const;
    [[nodiscard]] const pool_options& options() const noexcept { return options_; }
    [[nodiscard]] instant now() const { return time_.now(); }

private:
    [[nodiscard]] started_request choose(const service_group& group,
                                         const std::vector<target_id>& excluded,
                                         random_source& random, bool can_probe,
                                         std::int64_t now_ns) const;
    // An ejected target whose backoff has passed, moved to probing, or nullptr.
    [[nodiscard]] std::shared_ptr<const pool_entry> claim_probe(
        const service_group& group, const std::vector<target_id>& excluded,
        std::int64_t now_ns) const;
    [[nodiscard]] result_code why_unavailable(const service_group& group,
                                              const std::vector<target_id>& excluded,
                                              std::int64_t now_ns) const;

    void learn(const pool_entry& entry, const request_outcome& outcome, std::uint32_t outstanding,
               std::int64_t now_ns);
    void adapt_limit(const pool_entry& entry, const request_outcome& outcome, bool was_rejected,
                     std::uint32_t outstanding, std::int64_t now_ns);
    void end_probe(const pool_entry& entry, outcome_kind kind, std::int64_t now_ns);
    void eject_if_outlier(const pool_entry& entry, std::int64_t now_ns);
    // Under the health mutex.
    void eject(const pool_entry& entry, std::int64_t now_ns);
    [[nodiscard]] bool can_eject(const service_group& group, const pool_entry& entry) const;
    // Returns targets without a probe while more than half of the group's are ejected, as happens
    // when healthy ones have left: the rest might not carry the load.
    static void return_excess(const service_group& group, std::int64_t now_ns);

    [[nodiscard]] std::unique_ptr<const pool_snapshot> build(
        std::vector<route_target> targets) const;

    pool_options options_;
    const clock& time_;
    failure_domain_id own_;
    // Serialises replace and changes of health; never taken by acquire or an ordinary release.
    std::mutex health_mutex_;
    rcu::published<pool_snapshot> snapshot_;
};

void lower_to(std::atomic<std::int64_t>& value, std::int64_t candidate) noexcept;
[[nodiscard]] bool contains(const std::vector<target_id>& ids, const target_id& id) noexcept;

}  // namespace tanagerpaddle
