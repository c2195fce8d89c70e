#include <algorithm>

#include "pool_state.hpp"

namespace tanagerpaddle {

namespace {

// Minimum results of a target before it is ejected for its failure share.
constexpr std::uint32_t min_samples = 10;
// Consecutive failures from which another target counts as failing.
constexpr std::uint32_t failing_threshold = 2;

}  // namespace

void pool_state::eject(const pool_entry& entry, std::int64_t now_ns) {
    target_counters& counters = *entry.counters;
    const outlier_options& options = options_.outliers;
    const auto previous_backoff = counters.backoff_ns.load();
    const bool is_recent =
        previous_backoff > 0 && now_ns - counters.ejected_at_ns.load() <
                                    previous_backoff + options.backoff_reset_after.count();
    const auto backoff =
        is_recent ? std::min<std::int64_t>(2 * previous_backoff, options.max_backoff.count())
                  : options.initial_backoff.count();
    counters.backoff_ns.store(backoff);
    counters.ejected_at_ns.store(now_ns);
    counters.probe_at_ns.store(now_ns + backoff);
    counters.health.store(health_state::ejected);
    atomic_min(entry.service->next_probe_ns, now_ns + backoff);
}

bool pool_state::can_eject(const service_group& group, const pool_entry& entry) const {
    std::size_t ejected = 0;
    std::size_t compared = 0;
    double failure_sum = 0;
    for (const auto& other : group.candidates) {
        const target_counters& counters = *other->counters;
        if (other->counters == entry.counters) {
            continue;
        }
        if (counters.health.load() != health_state::healthy) {
            ++ejected;
        } else if (counters.samples.load(std::memory_order_relaxed) > 0) {
            ++compared;
            // The moving average lags behind a sudden fault of the whole fleet, which must be
            // detected before the first target reaches its ejection threshold.
            const auto consecutive = counters.consecutive_failures.load(std::memory_order_relaxed);
            failure_sum += consecutive >= failing_threshold ? 1 : counters.current_failure_share();
        }
    }
    const bool is_half_left = (ejected + 1) * 2 <= group.candidates.size();
    return is_half_left && compared > 0 &&
           failure_sum / static_cast<double>(compared) < options_.outliers.max_fleet_failure_share;
}

void pool_state::reinstate_excess(const service_group& group, std::int64_t now_ns) {
    std::vector<target_counters*> ejected;
    for (const auto& entry : group.candidates) {
        if (entry->counters->health.load() != health_state::healthy) {
            ejected.push_back(entry->counters.get());
        }
    }
    std::sort(ejected.begin(), ejected.end(), [](const auto* a, const auto* b) {
        return a->probe_at_ns.load() < b->probe_at_ns.load();
    });
    const std::size_t max_ejected = group.candidates.size() / 2;
    for (std::size_t index = 0; index + max_ejected < ejected.size(); ++index) {
        // A target with a probe in progress is reinstated or ejected by the outcome of the probe.
        auto expected = health_state::ejected;
        ejected[index]->reinstated_at_ns.store(now_ns);
        ejected[index]->consecutive_failures.store(0);
        ejected[index]->health.compare_exchange_strong(expected, health_state::healthy);
    }
}

void pool_state::eject_if_outlier(const pool_entry& entry, std::int64_t now_ns) {
    const outlier_options& options = options_.outliers;
    target_counters& counters = *entry.counters;
    const auto consecutive = counters.consecutive_failures.load(std::memory_order_relaxed);
    const bool exceeds_threshold =
        consecutive >= options.consecutive_failures ||
        (counters.current_failure_share() >= options.failure_share &&
         counters.samples.load(std::memory_order_relaxed) >= min_samples);
    if (!options.is_enabled || !exceeds_threshold ||
        counters.health.load() != health_state::healthy) {
        return;
    }
    const std::lock_guard lock(health_mutex_);
    // The snapshot is not replaced while the mutex is held, so no read section is needed.
    const auto& services = snapshot_.load().services;
    const auto group = services.find(entry.target.service);
    if (group == services.end() || counters.health.load() != health_state::healthy) {
        return;
    }
    const auto& candidates = group->second.candidates;
    const bool is_candidate =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const auto& candidate) { return candidate->counters == entry.counters; });
    if (is_candidate && can_eject(group->second, entry)) {
        eject(entry, now_ns);
    }
}

void pool_state::end_probe(const pool_entry& entry, outcome_kind kind, std::int64_t now_ns) {
    target_counters& counters = *entry.counters;
    const std::lock_guard lock(health_mutex_);
    check_invariant(counters.health.load() == health_state::probing,
                    "probe of target " + entry.target.id.value() +
                        " ended, but the target is not in state probing");
    if (kind == outcome_kind::failure) {
        eject(entry, now_ns);
        return;
    }
    if (kind == outcome_kind::success) {
        counters.consecutive_failures.store(0);
        counters.failure_share.store(0);
        counters.samples.store(0);
        counters.reinstated_at_ns.store(now_ns);
        counters.health.store(health_state::healthy);
        return;
    }
    // The probe was inconclusive, for example cancelled: the next one may follow after the initial
    // backoff.
    const auto next_probe_at_ns = now_ns + options_.outliers.initial_backoff.count();
    counters.probe_at_ns.store(next_probe_at_ns);
    counters.health.store(health_state::ejected);
    atomic_min(entry.service->next_probe_ns, next_probe_at_ns);
}

}  // namespace tanagerpaddle
