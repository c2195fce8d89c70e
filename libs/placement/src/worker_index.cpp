#include "worker_index.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace tanagerpaddle {

namespace {

const resources nothing{millicores(-1), mebibytes(-1), accelerator_count(-1)};

resources larger_of_each(const resources& a, const resources& b) {
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

// Odd multiplier near 2^64 divided by the golden ratio: successive numbers are scattered evenly.
std::uint64_t scattered(std::size_t number) {
    return static_cast<std::uint64_t>(number) * 0x9E3779B97F4A7C15ULL;
}

}  // namespace

worker_index::worker_index(const std::vector<worker_view>& workers, double max_interference)
    : is_visible_(workers.size()), position_of_(workers.size()), worker_at_(workers.size()) {
    while (leaves_ < workers.size()) {
        leaves_ *= 2;
    }
    std::iota(worker_at_.begin(), worker_at_.end(), std::size_t{0});
    const auto order_of = [&](std::size_t worker) {
        return std::tuple(workers[worker].capacity.accelerators,
                          workers[worker].interference > max_interference,
                          workers[worker].free.processors, scattered(worker));
    };
    std::sort(worker_at_.begin(), worker_at_.end(),
              [&](std::size_t a, std::size_t b) { return order_of(a) < order_of(b); });
    largest_.assign(2 * leaves_, nothing);
    free_.reserve(workers.size());
    for (const auto& worker : workers) {
        free_.push_back(worker.free);
    }
    for (std::size_t position = 0; position < worker_at_.size(); ++position) {
        const std::size_t worker = worker_at_[position];
        position_of_[worker] = position;
        is_visible_[worker] = workers[worker].accepts_work;
        largest_[leaves_ + position] = is_visible_[worker] ? free_[worker] : nothing;
    }
    for (std::size_t node = leaves_; node-- > 1;) {
        largest_[node] = larger_of_each(largest_[2 * node], largest_[2 * node + 1]);
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
    std::size_t node = leaves_ + position_of_[worker];
    largest_[node] = is_visible_[worker] ? free_[worker] : nothing;
    for (node /= 2; node >= 1; node /= 2) {
        largest_[node] = larger_of_each(largest_[2 * node], largest_[2 * node + 1]);
    }
}

void worker_index::find(const resources& demand, std::size_t most,
                        std::vector<std::size_t>& found) const {
    find_below(1, demand, most, found);
}

void worker_index::find_below(std::size_t node, const resources& demand, std::size_t most,
                              std::vector<std::size_t>& found) const {
    if (found.size() >= most || !demand.fits_in(largest_[node])) {
        return;
    }
    if (node >= leaves_) {
        found.push_back(worker_at_[node - leaves_]);
        return;
    }
    find_below(2 * node, demand, most, found);
    find_below(2 * node + 1, demand, most, found);
}

}  // namespace tanagerpaddle
