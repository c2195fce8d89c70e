#include <algorithm>
#include <cmath>

#include "pool_state.hpp"

namespace tanagerpaddle {

// The candidates of a group as a strategy sees them during one decision.
class group_view final : public candidate_list {
public:
    group_view(const pool_state& pool, const service_group& group,
               const std::vector<target_id>& excluded, std::int64_t now_ns)
        : pool_(pool), group_(group), excluded_(excluded), now_ns_(now_ns) {}

    [[nodiscard]] std::size_t size() const noexcept override { return group_.candidates.size(); }
    [[nodiscard]] std::size_t local_count() const noexcept override { return group_.local_count; }
    [[nodiscard]] std::atomic<bool>& is_spilling() const noexcept override {
        return group_.counters->is_spilling;
    }
    [[nodiscard]] target_load load(std::size_t index) const override;

private:
    [[nodiscard]] double kept_share(const target_counters& counters) const;
    [[nodiscard]] nanoseconds decayed_latency(const target_counters& counters) const;

    const pool_state& pool_;
    const service_group& group_;
    const std::vector<target_id>& excluded_;
    std::int64_t now_ns_;
};

double group_view::kept_share(const target_counters& counters) const {
    return counters.kept_share(now_ns_, pool_.options().latency_half_life);
}

nanoseconds group_view::decayed_latency(const target_counters& counters) const {
    const auto own = counters.latency_ns.load(std::memory_order_relaxed);
    const auto service = group_.counters->latency_ns.load(std::memory_order_relaxed);
    if (own == 0) {
        return nanoseconds(service);
    }
    return nanoseconds(std::llround(static_cast<double>(own) * kept_share(counters)));
}

target_load group_view::load(std::size_t index) const {
    const pool_entry& entry = *group_.candidates[index];
    const target_counters& counters = *entry.counters;
    target_load result;
    result.outstanding = counters.outstanding.load(std::memory_order_relaxed);
    result.slots = entry.target.slots;
    result.is_usable = counters.health.load(std::memory_order_relaxed) == health_state::healthy &&
                       !counters.is_leaving(now_ns_) && !contains(excluded_, entry.target.id);
    result.is_available = result.is_usable && result.outstanding + 1 <=
                                                  counters.effective_limit(
                                                      now_ns_, pool_.options().outliers.slow_start);
    if (result.is_available) {
        result.other_busy_slots = static_cast<std::uint32_t>(
            std::lround(counters.other_busy_slots.load(std::memory_order_relaxed) *
                        counters.kept_share(now_ns_, pool_.options().load_half_life)));
        result.latency = decayed_latency(counters);
        result.failure_share = counters.failures() * kept_share(counters);
        result.base_latency = nanoseconds(counters.base_latency_ns.load(std::memory_order_relaxed));
    }
    return result;
}

std::shared_ptr<const pool_entry> pool_state::claim_probe(const service_group& group,
                                                          const std::vector<target_id>& excluded,
                                                          std::int64_t now_ns) const {
    // Set to "none" before the scan: an ejection during the scan lowers it and is not lost.
    group.counters->next_probe_ns.store(INT64_MAX);
    std::shared_ptr<const pool_entry> claimed;
    std::int64_t next = INT64_MAX;
    for (const auto& entry : group.candidates) {
        target_counters& counters = *entry->counters;
        if (counters.health.load() != health_state::ejected) {
            continue;
        }
        const auto probe_at = counters.probe_at_ns.load();
        auto expected = health_state::ejected;
        if (!claimed && probe_at <= now_ns && !contains(excluded, entry->target.id) &&
            !counters.is_leaving(now_ns) &&
            counters.health.compare_exchange_strong(expected, health_state::probing)) {
            claimed = entry;
        } else {
            next = std::min(next, probe_at);
        }
    }
    lower_to(group.counters->next_probe_ns, next);
    return claimed;
}

result_code pool_state::why_unavailable(const service_group& group,
                                        const std::vector<target_id>& excluded,
                                        std::int64_t now_ns) const {
    const bool is_any_full =
        std::any_of(group.candidates.begin(), group.candidates.end(), [&](const auto& entry) {
            return entry->counters->health.load() == health_state::healthy &&
                   !entry->counters->is_leaving(now_ns) && !contains(excluded, entry->target.id);
        });
    return is_any_full ? result_code::overloaded : result_code::no_target;
}

started_request pool_state::choose(const service_group& group,
                                   const std::vector<target_id>& excluded, random_source& random,
                                   bool can_probe, std::int64_t now_ns) const {
    if (can_probe && group.counters->next_probe_ns.load(std::memory_order_relaxed) <= now_ns) {
        if (auto entry = claim_probe(group, excluded, now_ns)) {
            // A probe is sent whatever the limit: it is the target's only request of this entry
            // but for those that were outstanding when it was ejected.
            entry->counters->outstanding.fetch_add(1, std::memory_order_relaxed);
            return {.entry = std::move(entry), .is_probe = true, .reason = result_code::ok};
        }
    }
    const group_view view(*this, group, excluded, now_ns);
    // Another thread may take the last free place between the choice and the start; each repeat
    // decides on newer counters.
    while (const auto index = options_.selection->select(view, random)) {
        const auto& entry = group.candidates[*index];
        target_counters& counters = *entry->counters;
        if (counters.try_start(counters.effective_limit(now_ns, options_.outliers.slow_start))) {
            return {.entry = entry, .is_probe = false, .reason = result_code::ok};
        }
    }
    return {
        .entry = nullptr, .is_probe = false, .reason = why_unavailable(group, excluded, now_ns)};
}

started_request pool_state::acquire(const service_id& service,
                                    const std::vector<target_id>& excluded, random_source& random,
                                    bool can_probe, instant now) const {
    const rcu::read_section section;
    const auto& services = snapshot_.load().services;
    const auto group = services.find(service);
    if (group == services.end()) {
        return {};
    }
    return choose(group->second, excluded, random, can_probe, to_ns(now));
}

}  // namespace tanagerpaddle
