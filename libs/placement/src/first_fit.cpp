#include <algorithm>
#include <array>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

std::string_view name(unplaced_reason reason) noexcept {
    constexpr std::array<std::string_view, 4> names{
        "no_capacity", "over_quota", "larger_than_any_worker", "all_workers_excluded"};
    return names.at(static_cast<std::size_t>(reason));
}

placement_plan first_fit_placement::plan(const placement_input& input) const {
    placement_plan result;
    std::vector<worker_view> workers = input.workers;
    for (const auto& task : input.tasks) {
        const auto found = std::find_if(workers.begin(), workers.end(), [&](const worker_view& w) {
            return w.accepts_work && task.demand.fits_in(w.free);
        });
        if (found == workers.end() || result.placed.size() >= input.max_starts) {
            result.unplaced.push_back({task.job, task.index, unplaced_reason::no_capacity});
            continue;
        }
        found->free -= task.demand;
        result.placed.push_back({task.job, task.index, found->id});
    }
    return result;
}

}  // namespace tanagerpaddle
