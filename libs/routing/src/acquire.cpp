#include <algorithm>
#include <cmath>

#include "pool_state.hpp"

namespace tanagerpaddle {

// The candidates of a service group, as presented to a strategy for one selection.
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
    [[nodiscard]] double decay_factor(const target_counters& counters) const;
    [[nodiscard]] nanoseconds decayed_latency(const target_counters& counters) const;

    const pool_state& pool_;
    const service_group& group_;
    const std::vector<target_id>& excluded_;
    std::int64_t now_ns_;
};

double group_view::decay_factor(const target_counters& counters) const {
    return counters.decay_factor(now_ns_, pool_.options().latency_half_life);
}

nanoseconds group_view::decayed_latency(const target_counters& counters) const {
    const auto target_latency_ns = counters.latency_ns.load(std::memory_order_relaxed);
    const auto service_latency_ns = group_.counters->latency_ns.load(std::memory_order_relaxed);
    if (target_latency_ns == 0) {
        return nanoseconds(service_latency_ns);
    }
    return nanoseconds(
        std::llround(static_cast<double>(target_latency_ns) * decay_factor(counters)));
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
                        counters.decay_factor(now_ns_, pool_.options().load_half_life)));
        result.latency = decayed_latency(counters);
        result.failure_share = counters.current_failure_share() * decay_factor(counters);
        result.base_latency = nanoseconds(counters.base_latency_ns.load(std::memory_order_relaxed));
    }
    return result;
}

std::shared_ptr<const pool_entry> pool_state::claim_probe(const service_group& group,
                                                          const std::vector<target_id>& excluded,
                                                          std::int64_t now_ns) const {
    // Reset before the scan, so that an ejection during the scan lowers it and is not lost.
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
    atomic_min(group.counters->next_probe_ns, next);
    return claimed;
}

result_code pool_state::unavailable_reason(const service_group& group,
                                           const std::vector<target_id>& excluded,
                                           std::int64_t now_ns) const {
    const bool is_any_eligible =
        std::any_of(group.candidates.begin(), group.candidates.end(), [&](const auto& entry) {
            return entry->counters->health.load() == health_state::healthy &&
                   !entry->counters->is_leaving(now_ns) && !contains(excluded, entry->target.id);
        });
    return is_any_eligible ? result_code::overloaded : result_code::no_target;
}

selection_result pool_state::choose(const service_group& group,
                                    const std::vector<target_id>& excluded, random_source& random,
                                    bool can_probe, std::int64_t now_ns) const {
    if (can_probe && group.counters->next_probe_ns.load(std::memory_order_relaxed) <= now_ns) {
        if (auto entry = claim_probe(group, excluded, now_ns)) {
            // A probe ignores the limit: it is this entry's only request to the target apart from
            // those that were outstanding when the target was ejected.
            entry->counters->outstanding.fetch_add(1, std::memory_order_relaxed);
            return {.entry = std::move(entry), .is_probe = true, .reason = result_code::ok};
        }
    }
    const group_view view(*this, group, excluded, now_ns);
    // Another thread may use up the limit between selection and start; each retry selects by
    // updated counters.
    while (const auto index = options_.selection->select(view, random)) {
        const auto& entry = group.candidates[*index];
        target_counters& counters = *entry->counters;
        if (counters.try_start(counters.effective_limit(now_ns, options_.outliers.slow_start))) {
            return {.entry = entry, .is_probe = false, .reason = result_code::ok};
        }
    }
    return {
        .entry = nullptr, .is_probe = false, .reason = unavailable_reason(group, excluded, now_ns)};
}

selection_result pool_state::acquire(const service_id& service,
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
