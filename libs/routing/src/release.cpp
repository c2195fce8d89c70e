#include <algorithm>
#include <cmath>

#include "pool_state.hpp"

namespace tanagerpaddle {

outcome_kind classify(result_code code) noexcept {
    switch (code) {
        case result_code::overloaded:
        case result_code::too_many_connections:
            return outcome_kind::rejection;
        case result_code::leaving:
            return outcome_kind::leaving;
        case result_code::connection_refused:
        case result_code::wrong_incarnation:
        case result_code::outcome_unknown:
        case result_code::target_failed:
        case result_code::answer_corrupted:
        case result_code::deadline_exceeded_running:
        case result_code::internal_error:
            return outcome_kind::failure;
        default:
            break;
    }
    constexpr int input_class_end = 200;
    const bool has_responded = static_cast<int>(code) < input_class_end;
    return has_responded ? outcome_kind::success : outcome_kind::neutral;
}

void pool_state::finish(const pool_entry& entry, bool is_probe, const request_outcome& outcome) {
    const std::int64_t now_ns = to_ns(time_.now());
    target_counters& counters = *entry.counters;
    const auto outstanding = counters.outstanding.load(std::memory_order_relaxed);
    counters.finish();
    const outcome_kind kind = classify(outcome.code);
    if (kind == outcome_kind::leaving) {
        counters.leaving_until_ns.store(now_ns + options_.leaving_exclusion_time.count(),
                                        std::memory_order_relaxed);
    }
    record_outcome(entry, outcome, outstanding, now_ns);
    if (is_probe) {
        end_probe(entry, kind, now_ns);
    } else if (kind == outcome_kind::failure) {
        eject_if_outlier(entry, now_ns);
    }
}

void pool_state::record_outcome(const pool_entry& entry, const request_outcome& outcome,
                                std::uint32_t outstanding, std::int64_t now_ns) {
    target_counters& counters = *entry.counters;
    const outcome_kind kind = classify(outcome.code);
    const bool is_response = kind == outcome_kind::success;
    // The latency of an abandoned request is a lower bound, used if it is above the mean. A failure
    // faster than the mean gives no information about latency.
    const auto target_mean = counters.latency_ns.load(std::memory_order_relaxed);
    const auto mean =
        target_mean > 0 ? target_mean : entry.service->latency_ns.load(std::memory_order_relaxed);
    const bool is_lower_bound = (kind == outcome_kind::failure || kind == outcome_kind::neutral) &&
                                mean > 0 && outcome.latency.count() > mean;
    if (outcome.busy_slots) {
        // The completed request no longer occupies a slot when the reported value is used.
        const auto own_outstanding = outstanding > 0 ? outstanding - 1 : 0;
        counters.other_busy_slots.store(
            *outcome.busy_slots > own_outstanding ? *outcome.busy_slots - own_outstanding : 0,
            std::memory_order_relaxed);
    }
    if (outcome.latency > nanoseconds(0) && (is_response || is_lower_bound)) {
        const bool found_free_slot =
            is_response && outstanding <= entry.target.slots &&
            (!outcome.busy_slots || *outcome.busy_slots < entry.target.slots);
        const double decay = counters.decay_factor(now_ns, options_.latency_half_life);
        counters.record_latency(outcome.latency, 1 - decay * (1 - options_.latency_weight),
                                found_free_slot);
    }
    if (is_response && outcome.latency > nanoseconds(0)) {
        constexpr double service_weight = 0.01;
        counters.p99.record(outcome.latency);
        auto& service_mean = entry.service->latency_ns;
        const auto old = service_mean.load(std::memory_order_relaxed);
        const auto change = static_cast<double>(outcome.latency.count() - old) * service_weight;
        service_mean.store(old == 0 ? outcome.latency.count() : old + std::llround(change),
                           std::memory_order_relaxed);
    }
    if (is_response || kind == outcome_kind::failure) {
        counters.record_result(kind == outcome_kind::failure);
        counters.last_result_at_ns.store(now_ns, std::memory_order_relaxed);
    }
    if (is_response || kind == outcome_kind::rejection) {
        adapt_limit(entry, outcome, kind == outcome_kind::rejection, outstanding, now_ns);
    }
}

void pool_state::adapt_limit(const pool_entry& entry, const request_outcome& outcome,
                             bool was_rejected, std::uint32_t outstanding, std::int64_t now_ns) {
    target_counters& counters = *entry.counters;
    const auto old = counters.limit.load(std::memory_order_relaxed);
    const double max_limit = std::max(1U, entry.target.connections);
    limit_sample sample;
    sample.limit = static_cast<double>(old) / limit_scale;
    sample.slots = entry.target.slots;
    sample.outstanding = outstanding;
    sample.was_rejected = was_rejected;
    sample.latency = outcome.latency;
    sample.recent_latency = nanoseconds(counters.latency_ns.load(std::memory_order_relaxed));
    sample.base_latency = nanoseconds(counters.base_latency_ns.load(std::memory_order_relaxed));
    sample.busy_slots = outcome.busy_slots;
    sample.time_since_decrease =
        nanoseconds(now_ns - counters.limit_lowered_at_ns.load(std::memory_order_relaxed));
    const double next = std::clamp(options_.limit->next(sample), 1.0, max_limit);
    check_invariant_lazily(next >= 1 && next <= max_limit, [&] {
        return "limit " + std::to_string(next) + " of target " + entry.target.id.value() +
               " outside [1, " + std::to_string(max_limit) + "]";
    });
    const auto scaled = static_cast<std::int64_t>(next * limit_scale);
    if (scaled < old) {
        counters.limit_lowered_at_ns.store(now_ns, std::memory_order_relaxed);
    }
    if (scaled != old) {
        counters.limit.store(scaled, std::memory_order_relaxed);
    }
}

}  // namespace tanagerpaddle
