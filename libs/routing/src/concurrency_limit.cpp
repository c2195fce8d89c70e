#include <algorithm>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

double fixed_limit::initial(std::uint32_t, std::uint32_t) const {
    return limit_;
}

double fixed_limit::next(const limit_sample&) const {
    return limit_;
}

double aimd_limit::initial(std::uint32_t slots, std::uint32_t) const {
    return slots;
}

double aimd_limit::next(const limit_sample& sample) const {
    const bool can_decrease = sample.time_since_decrease >= options_.decrease_interval;
    const double lowered = sample.limit * options_.decrease_factor;
    if (sample.was_rejected) {
        return can_decrease ? lowered : sample.limit;
    }
    const auto tolerated =
        static_cast<double>(sample.base_latency.count()) * options_.latency_tolerance;
    const bool is_slow = sample.base_latency > nanoseconds(0) &&
                         static_cast<double>(sample.recent_latency.count()) > tolerated;
    if (is_slow) {
        return can_decrease ? lowered : sample.limit;
    }
    // Requests in transit occupy no slot, so the limit grows above the number of slots while the
    // target reports a free one. An unused limit does not grow, as there is no evidence that the
    // target can sustain a higher one.
    const bool has_free_slot = !sample.busy_slots || *sample.busy_slots < sample.slots;
    const bool is_in_use = sample.outstanding + 1 >= sample.limit;
    return has_free_slot && is_in_use ? sample.limit + options_.increase_step / sample.limit
                                      : sample.limit;
}

}  // namespace tanagerpaddle
