#include "worker_index.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace tanagerpaddle {

namespace {

const resources no_capacity{millicores(-1), mebibytes(-1), accelerator_count(-1)};

resources componentwise_max(const resources& a, const resources& b) {
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

// Fibonacci hashing: the odd multiplier near 2^64 / golden ratio spreads successive numbers evenly.
std::uint64_t scatter(std::size_t number) {
    return static_cast<std::uint64_t>(number) * 0x9E3779B97F4A7C15ULL;
}

}  // namespace

worker_index::worker_index(const std::vector<worker_view>& workers, double max_interference)
    : is_visible_(workers.size()), position_of_(workers.size()), worker_at_(workers.size()) {
    while (leaf_count_ < workers.size()) {
        leaf_count_ *= 2;
    }
    std::iota(worker_at_.begin(), worker_at_.end(), std::size_t{0});
    const auto order_of = [&](std::size_t worker) {
        return std::tuple(workers[worker].capacity.accelerators,
                          workers[worker].interference > max_interference,
                          workers[worker].free.processors, scatter(worker));
    };
    std::sort(worker_at_.begin(), worker_at_.end(),
              [&](std::size_t a, std::size_t b) { return order_of(a) < order_of(b); });
    largest_.assign(2 * leaf_count_, no_capacity);
    free_.reserve(workers.size());
    for (const auto& worker : workers) {
        free_.push_back(worker.free);
    }
    for (std::size_t position = 0; position < worker_at_.size(); ++position) {
        const std::size_t worker = worker_at_[position];
        position_of_[worker] = position;
        is_visible_[worker] = workers[worker].accepts_work;
        largest_[leaf_count_ + position] = is_visible_[worker] ? free_[worker] : no_capacity;
    }
    for (std::size_t node = leaf_count_; node-- > 1;) {
        largest_[node] = componentwise_max(largest_[2 * node], largest_[2 * node + 1]);
    }
}

void worker_index::take(std::size_t worker, const resources& demand) {
    free_[worker] -= demand;
    update(worker);
}

void worker_index::hide(std::size_t worker) {
    is_visible_[worker] = false;
    update(worker);
}

void worker_index::update(std::size_t worker) {
    std::size_t node = leaf_count_ + position_of_[worker];
    largest_[node] = is_visible_[worker] ? free_[worker] : no_capacity;
    for (node /= 2; node >= 1; node /= 2) {
        largest_[node] = componentwise_max(largest_[2 * node], largest_[2 * node + 1]);
    }
}

void worker_index::find(const resources& demand, std::size_t max_found,
                        std::vector<std::size_t>& found) const {
    find_below(1, demand, max_found, found);
}

void worker_index::find_below(std::size_t node, const resources& demand, std::size_t max_found,
                              std::vector<std::size_t>& found) const {
    if (found.size() >= max_found || !demand.fits_in(largest_[node])) {
        return;
    }
    if (node >= leaf_count_) {
        found.push_back(worker_at_[node - leaf_count_]);
        return;
    }
    find_below(2 * node, demand, max_found, found);
    find_below(2 * node + 1, demand, max_found, found);
}

}  // namespace tanagerpaddle
