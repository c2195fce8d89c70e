#include <algorithm>
#include <vector>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

namespace {

// An available index of [first, last), or empty. The scan from a random start ends early if many
// candidates are available.
std::optional<std::size_t> any_available(const candidate_list& candidates, std::size_t first,
                                         std::size_t last, random_source& random) {
    const std::size_t count = last - first;
    if (count == 0) {
        return std::nullopt;
    }
    const std::size_t start = random.below(count);
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = first + (start + step) % count;
        if (candidates.load(index).is_available) {
            return index;
        }
    }
    return std::nullopt;
}

bool is_any_usable(const candidate_list& candidates, std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) {
        if (candidates.load(index).is_usable) {
            return true;
        }
    }
    return false;
}

struct choice {
    std::size_t index = 0;
    target_load load;
};

double utilization(const target_load& load) {
    return static_cast<double>(load.outstanding + load.other_busy_slots + 1) /
           static_cast<double>(std::max<std::uint32_t>(1, load.slots));
}

// Relative cost of one more request: the latency scaled by load and failures.
double cost(const target_load& load) {
    // A target that fails fast has few outstanding requests and a low latency; this weight keeps it
    // from attracting requests until it is ejected.
    constexpr double failure_weight = 10;
    const double latency = static_cast<double>(std::max<std::int64_t>(1, load.latency.count()));
    return latency * utilization(load) * (1 + failure_weight * load.failure_share);
}

// Expected latency in nanoseconds: base latency with a free slot, then proportional to the load.
double expected_latency_ns(const target_load& load) {
    const double base = static_cast<double>(load.base_latency.count());
    return base * std::max(1.0, utilization(load));
}

std::optional<choice> better_of_two(const candidate_list& candidates, std::size_t first,
                                    std::size_t last, random_source& random) {
    const auto first_index = any_available(candidates, first, last, random);
    if (!first_index) {
        return std::nullopt;
    }
    choice best{*first_index, candidates.load(*first_index)};
    if (last - first < 2) {
        return best;
    }
    // Drawn among the other candidates, so that the two always differ.
    std::size_t second_index = first + random.below(last - first - 1);
    second_index += second_index >= *first_index ? 1 : 0;
    const target_load load = candidates.load(second_index);
    // Cost differences below 10% are within the noise of the estimates; following them would send
    // all requests of a lightly loaded service to one target.
    constexpr double max_cost_ratio = 0.9;
    if (load.is_available && cost(load) < max_cost_ratio * cost(best.load)) {
        best = {second_index, load};
    }
    return best;
}

}  // namespace

std::optional<std::size_t> power_of_two_selection::select(const candidate_list& candidates,
                                                          random_source& random) const {
    const std::size_t local_count = candidates.local_count();
    const auto local = better_of_two(candidates, 0, local_count, random);
    auto& spilling = candidates.is_spilling();
    const bool was_spilling = spilling.load(std::memory_order_relaxed);
    // While a local target has a free slot, no other failure domain can respond faster.
    if (local && !was_spilling && utilization(local->load) <= 1) {
        return local->index;
    }
    const auto remote = better_of_two(candidates, local_count, candidates.size(), random);
    if (!remote) {
        return local ? std::optional(local->index) : std::nullopt;
    }
    if (!local) {
        const bool should_wait =
            utilization(remote->load) > 1 && is_any_usable(candidates, local_count);
        return should_wait ? std::nullopt : std::optional(remote->index);
    }
    double remote_time = expected_latency_ns(remote->load);
    if (remote->load.base_latency == nanoseconds(0)) {
        remote_time =
            static_cast<double>((local->load.base_latency + options_.cross_domain_rtt).count());
    }
    const auto margin = was_spilling ? options_.return_margin : options_.spill_margin;
    const bool spills =
        expected_latency_ns(local->load) > remote_time + static_cast<double>(margin.count());
    if (spills != was_spilling) {
        spilling.store(spills, std::memory_order_relaxed);
    }
    return spills ? remote->index : local->index;
}

std::optional<std::size_t> random_selection::select(const candidate_list& candidates,
                                                    random_source& random) const {
    // A scan from a random start would favour the targets that follow unavailable ones.
    std::vector<std::size_t> available;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates.load(index).is_available) {
            available.push_back(index);
        }
    }
    if (available.empty()) {
        return std::nullopt;
    }
    return available[random.below(available.size())];
}

std::optional<std::size_t> round_robin_selection::select(const candidate_list& candidates,
                                                         random_source&) const {
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto index = next_.fetch_add(1, std::memory_order_relaxed) % candidates.size();
        if (candidates.load(index).is_available) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> least_outstanding_selection::select(const candidate_list& candidates,
                                                               random_source& random) const {
    std::optional<std::size_t> best;
    std::uint32_t min_outstanding = 0;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const target_load load = candidates.load(index);
        if (!load.is_available || (best && load.outstanding > min_outstanding)) {
            continue;
        }
        ties = best && load.outstanding == min_outstanding ? ties + 1 : 1;
        if (random.below(ties) == 0) {
            best = index;
        }
        min_outstanding = load.outstanding;
    }
    return best;
}

}  // namespace tanagerpaddle
