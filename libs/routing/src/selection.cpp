#include <algorithm>
#include <vector>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

namespace {

// A random available index of [first, last), or nothing. Random draws find one quickly in a pool
// with free targets; the scan from a random start settles the case of few free ones.
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

double load_share(const target_load& load) {
    return static_cast<double>(load.outstanding + load.other_busy_slots + 1) /
           static_cast<double>(std::max<std::uint32_t>(1, load.slots));
}

// Time that a further request would occupy the target, for comparing targets with each other.
double cost(const target_load& load) {
    // A target that fails fast has few outstanding requests and a low latency; the factor keeps it
    // from attracting requests until it is ejected.
    constexpr double failure_weight = 10;
    const double latency = static_cast<double>(std::max<std::int64_t>(1, load.latency.count()));
    return latency * load_share(load) * (1 + failure_weight * load.failure_share);
}

// Expected time to the answer: a free slot costs nothing, each request beyond the slots waits.
double expected_time(const target_load& load) {
    const double base = static_cast<double>(load.base_latency.count());
    return base * std::max(1.0, load_share(load));
}

std::optional<choice> better_of_two(const candidate_list& candidates, std::size_t first,
                                    std::size_t last, random_source& random) {
    const auto one = any_available(candidates, first, last, random);
    if (!one) {
        return std::nullopt;
    }
    choice best{*one, candidates.load(*one)};
    if (last - first < 2) {
        return best;
    }
    // Drawn among the others, so that the two differ even in a pool of two.
    std::size_t other = first + random.below(last - first - 1);
    other += other >= *one ? 1 : 0;
    const target_load load = candidates.load(other);
    // Differences within the noise of the estimates do not count: otherwise one target would get
    // all requests of a lightly loaded service.
    constexpr double clearly_cheaper = 0.9;
    if (load.is_available && cost(load) < clearly_cheaper * cost(best.load)) {
        best = {other, load};
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
    // While a local target has a free slot, no other failure domain can answer sooner.
    if (local && !was_spilling && load_share(local->load) <= 1) {
        return local->index;
    }
    const auto remote = better_of_two(candidates, local_count, candidates.size(), random);
    if (!remote) {
        return local ? std::optional(local->index) : std::nullopt;
    }
    if (!local) {
        const bool should_wait =
            load_share(remote->load) > 1 && is_any_usable(candidates, local_count);
        return should_wait ? std::nullopt : std::optional(remote->index);
    }
    double remote_time = expected_time(remote->load);
    if (remote->load.base_latency == nanoseconds(0)) {
        remote_time =
            static_cast<double>((local->load.base_latency + options_.cross_domain_rtt).count());
    }
    const auto margin = was_spilling ? options_.return_margin : options_.spill_margin;
    const bool spills =
        expected_time(local->load) > remote_time + static_cast<double>(margin.count());
    if (spills != was_spilling) {
        spilling.store(spills, std::memory_order_relaxed);
    }
    return spills ? remote->index : local->index;
}

std::optional<std::size_t> random_selection::select(const candidate_list& candidates,
                                                    random_source& random) const {
    // A scan from a random start would favour the successors of unavailable targets.
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
    std::uint32_t least = 0;
    std::uint64_t ties = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const target_load load = candidates.load(index);
        if (!load.is_available || (best && load.outstanding > least)) {
            continue;
        }
        ties = best && load.outstanding == least ? ties + 1 : 1;
        if (random.below(ties) == 0) {
            best = index;
        }
        least = load.outstanding;
    }
    return best;
}

}  // namespace tanagerpaddle
