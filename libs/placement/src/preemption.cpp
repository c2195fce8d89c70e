#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_map>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

// Cost of a set of evictions; lower is better.
struct eviction_cost {
    std::size_t evictions = 0;
    std::size_t within_quota = 0;
    std::int64_t lost_ms = 0;
    friend auto operator<=>(const eviction_cost&, const eviction_cost&) = default;
};

using excess_by_team = std::unordered_map<team_id, resources>;

// Usage above quota of the teams that exceed theirs.
excess_by_team excess_of(const std::vector<team_share>& teams) {
    excess_by_team result;
    for (const auto& team : teams) {
        if (!team.used.fits_in(team.quota)) {
            result[team.team] = team.used - team.quota;
        }
    }
    return result;
}

bool has_excess(const excess_by_team& excess, const team_id& team) {
    const auto position = excess.find(team);
    return position != excess.end() &&
           (position->second.processors.value() > 0 || position->second.memory.value() > 0 ||
            position->second.accelerators.value() > 0);
}

// Score of how much of `missing` is covered by `demand`: the sum of the fractions by resource.
double coverage(const resources& demand, const resources& missing) {
    const auto part = [](std::int64_t provided, std::int64_t needed) {
        return needed > 0
                   ? std::min(1.0, static_cast<double>(provided) / static_cast<double>(needed))
                   : 0.0;
    };
    return part(demand.processors.value(), missing.processors.value()) +
           part(demand.memory.value(), missing.memory.value()) +
           part(demand.accelerators.value(), missing.accelerators.value());
}

bool is_satisfied(const resources& missing) {
    return missing.processors.value() <= 0 && missing.memory.value() <= 0 &&
           missing.accelerators.value() <= 0;
}

// Selects victims on one worker greedily by coverage of the missing resources, then removes those
// that turn out not to be needed. Returns nullopt if evictions cannot free enough.
class victim_selector {
public:
    victim_selector(std::vector<const running_task*> tasks, excess_by_team excess,
                    bool only_over_quota)
        : tasks_(std::move(tasks)), excess_(std::move(excess)), only_over_quota_(only_over_quota) {}

    std::optional<std::vector<const running_task*>> choose(resources missing,
                                                           std::size_t max_victims) {
        std::vector<const running_task*> chosen;
        while (!is_satisfied(missing) && chosen.size() < max_victims) {
            const auto best = next_victim(missing);
            if (best == tasks_.end()) {
                return std::nullopt;
            }
            take(**best, missing);
            chosen.push_back(*best);
            tasks_.erase(best);
        }
        if (!is_satisfied(missing)) {
            return std::nullopt;
        }
        std::erase_if(chosen, [&](const running_task* task) {
            const bool is_unneeded = is_satisfied(missing + task->demand);
            if (is_unneeded) {
                missing += task->demand;
            }
            return is_unneeded;
        });
        return chosen;
    }

private:
    std::vector<const running_task*>::iterator next_victim(const resources& missing) {
        const auto value = [&](const running_task* task) {
            const bool is_borrowed = has_excess(excess_, task->team);
            return std::tuple(coverage(task->demand, missing), is_borrowed,
                              -task->unsaved_work.count());
        };
        auto best = tasks_.end();
        for (auto task = tasks_.begin(); task != tasks_.end(); ++task) {
            if (only_over_quota_ && !has_excess(excess_, (*task)->team)) {
                continue;
            }
            if (coverage((*task)->demand, missing) > 0 &&
                (best == tasks_.end() || value(*task) > value(*best))) {
                best = task;
            }
        }
        return best;
    }

    void take(const running_task& task, resources& missing) {
        missing -= task.demand;
        const auto excess = excess_.find(task.team);
        if (excess != excess_.end()) {
            excess->second -= task.demand;
        }
    }

    std::vector<const running_task*> tasks_;
    excess_by_team excess_;
    bool only_over_quota_;
};

}  // namespace

std::string_view name(eviction_cause cause) noexcept {
    constexpr std::array<std::string_view, 3> names{"urgent_task", "quota_reclaim",
                                                    "domain_drained"};
    return names.at(static_cast<std::size_t>(cause));
}

std::vector<eviction> preemption_policy::select_victims(const pending_task& task,
                                                        const std::vector<worker_view>& workers,
                                                        const std::vector<running_task>& running,
                                                        const std::vector<team_share>& teams,
                                                        utc_millis now) const {
    const bool is_urgent = task.priority == job_priority::urgent;
    const auto excess = excess_of(teams);
    const auto is_evictable = [&](const running_task& other) {
        return other.kind == job_kind::batch && other.priority != job_priority::urgent &&
               other.can_resume &&
               (other.evicted_at.value() == 0 ||
                now.value() - other.evicted_at.value() >= options_.eviction_cooldown.count());
    };
    std::unordered_map<worker_id, std::vector<const running_task*>> by_worker;
    for (const auto& other : running) {
        if (is_evictable(other)) {
            by_worker[other.worker].push_back(&other);
        }
    }
    std::optional<std::pair<eviction_cost, std::vector<const running_task*>>> best;
    for (const auto& worker : workers) {
        const bool is_avoided =
            std::find(task.excluded_workers.begin(), task.excluded_workers.end(), worker.id) !=
            task.excluded_workers.end();
        if (!worker.accepts_work || is_avoided || !task.demand.fits_in(worker.capacity)) {
            continue;
        }
        if (task.demand.fits_in(worker.free)) {
            return {};
        }
        victim_selector selector(by_worker[worker.id], excess, !is_urgent);
        auto chosen = selector.choose(task.demand - worker.free, options_.max_evictions);
        if (!chosen) {
            continue;
        }
        eviction_cost cost;
        for (const auto* victim : *chosen) {
            ++cost.evictions;
            cost.within_quota += has_excess(excess, victim->team) ? 0 : 1;
            cost.lost_ms += victim->unsaved_work.count();
        }
        if (!best || cost < best->first) {
            best = {cost, std::move(*chosen)};
        }
    }
    std::vector<eviction> result;
    if (best) {
        for (const auto* victim : best->second) {
            result.push_back(
                {victim->job, victim->index, victim->worker,
                 is_urgent ? eviction_cause::urgent_task : eviction_cause::quota_reclaim,
                 victim->unsaved_work});
        }
    }
    return result;
}

}  // namespace tanagerpaddle
