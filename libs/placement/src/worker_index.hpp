#pragma once

#include <vector>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

// Finds workers with enough free capacity. Each node of a tree over the workers holds the largest
// free amount of each resource below it, so that full parts of the fleet are skipped.
class worker_index {
public:
    // Orders workers by accelerators, then those with at most `max_interference` first, then by
    // free processors, so that the tightest fits are found first and subtrees hold similar workers.
    // Ties are in a fixed hashed order, so that neighbours are seldom in one rack.
    worker_index(const std::vector<worker_view>& workers, double max_interference);

    [[nodiscard]] const resources& free(std::size_t worker) const { return free_[worker]; }
    void take(std::size_t worker, const resources& demand);
    // Hides the worker from find; `take` still works.
    void hide(std::size_t worker);

    // Appends up to `max_found` workers that fit `demand`, in the order above.
    void find(const resources& demand, std::size_t max_found,
              std::vector<std::size_t>& found) const;

private:
    void update(std::size_t worker);
    void find_below(std::size_t node, const resources& demand, std::size_t max_found,
                    std::vector<std::size_t>& found) const;

    std::size_t leaf_count_ = 1;
    std::vector<resources> free_;           // by worker
    std::vector<bool> is_visible_;          // by worker
    std::vector<std::size_t> position_of_;  // by worker
    std::vector<std::size_t> worker_at_;    // by position
    std::vector<resources> largest_;        // by node, 1 is the root
};

}  // namespace tanagerpaddle
