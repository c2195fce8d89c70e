#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "tanagerpaddle/placement.hpp"
#include "worker_index.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::int64_t one_day_ms = 24LL * 3'600 * 1'000;
// Larger than any rank by slack in ms, so that urgent tasks come first.
constexpr std::int64_t urgent_rank = std::int64_t{1} << 60;
// A smaller expected slowdown counts as none, since the learned effects of harmless tasks are
// seldom exactly zero.
constexpr double negligible_slowdown = 0.05;
// Bounds the failed demands kept within one plan.
constexpr std::size_t max_failed_demands = 64;
// Bounds the reservations in one plan, since each one scans all workers.
constexpr std::size_t max_reservations = 16;

double fraction(std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

// Demands that fitted no worker. Free capacity only shrinks within a plan, so a demand that is at
// least as large does not fit either.
class failed_demands {
public:
    [[nodiscard]] bool covers(const resources& demand) {
        const auto found =
            std::find_if(demands_.begin(), demands_.end(),
                         [&](const resources& failed) { return failed.fits_in(demand); });
        if (found == demands_.end()) {
            return false;
        }
        // Moves demands that match often towards the front.
        if (found != demands_.begin()) {
            std::iter_swap(found, found - 1);
        }
        return true;
    }
    void add(const resources& demand) {
        std::erase_if(demands_, [&](const resources& old) { return demand.fits_in(old); });
        if (demands_.size() < max_failed_demands) {
            demands_.push_back(demand);
        }
    }

private:
    std::vector<resources> demands_;
};

// Number of tasks of one job that the plan has placed, in total and per location.
struct job_spread {
    std::uint32_t placed = 0;
    std::unordered_map<failure_domain_id, std::uint32_t> domains;
    std::unordered_map<rack_id, std::uint32_t> racks;
    std::unordered_map<worker_id, std::uint32_t> workers;
};

struct team_state {
    resources used;
    resources quota;
    bool can_borrow = true;
};

// Computes one plan.
class planner {
public:
    planner(const placement_input& input, const deadline_placement_options& options)
        : input_(input), options_(options), index_(input.workers, options.max_interference) {}

    placement_plan build_plan() {
        prepare();
        reserve_for_large_tasks();
        std::vector<std::uint32_t> over_quota;
        for (const auto& [rank, task] : order_) {
            if (!is_within_quota(task)) {
                over_quota.push_back(task);
                continue;
            }
            place(task);
        }
        // Tasks above quota come last, after those of all teams within their quotas.
        for (const auto task : over_quota) {
            if (team_of_[task]->can_borrow) {
                place(task);
            } else {
                mark_unplaced(task, unplaced_reason::over_quota);
            }
        }
        return std::move(plan_);
    }

private:
    void prepare() {
        for (const auto& team : input_.teams) {
            teams_[team.team] = {team.used, team.quota, team.can_borrow};
        }
        for (const auto& worker : input_.workers) {
            slowdowns_.push_back(worker.interference);
            add_capacity(all_capacities_, worker.capacity);
            if (worker.accepts_work) {
                add_capacity(accepting_capacities_, worker.capacity);
            }
        }
        order_.reserve(input_.tasks.size());
        team_of_.reserve(input_.tasks.size());
        plan_.unplaced.reserve(input_.tasks.size());
        for (std::uint32_t i = 0; i < input_.tasks.size(); ++i) {
            order_.emplace_back(rank_of(input_.tasks[i]), i);
            if (has_waited_long(input_.tasks[i]) && is_large(input_.tasks[i])) {
                large_tasks_.push_back(order_.back());
            }
            const auto team = teams_.find(input_.tasks[i].team);
            team_of_.push_back(team == teams_.end() ? nullptr : &team->second);
        }
        std::sort(order_.begin(), order_.end());
        std::sort(large_tasks_.begin(), large_tasks_.end());
    }

    // Keeps only capacities that fit into no other one.
    static void add_capacity(std::vector<resources>& capacities, const resources& capacity) {
        const auto contains = [&](const resources& other) { return capacity.fits_in(other); };
        if (std::none_of(capacities.begin(), capacities.end(), contains)) {
            std::erase_if(capacities,
                          [&](const resources& other) { return other.fits_in(capacity); });
            capacities.push_back(capacity);
        }
    }

    static bool fits_any(const std::vector<resources>& capacities, const resources& demand) {
        return std::any_of(capacities.begin(), capacities.end(),
                           [&](const resources& capacity) { return demand.fits_in(capacity); });
    }

    // Time until the latest start; negative if the task is expected to be late.
    [[nodiscard]] std::int64_t slack_ms(const pending_task& task) const {
        return deadline_placement::latest_start(task).value() - input_.now.value();
    }

    [[nodiscard]] std::int64_t rank_of(const pending_task& task) const {
        const std::int64_t slack = slack_ms(task);
        const auto margin =
            options_.margin.count() +
            static_cast<std::int64_t>(options_.margin_fraction *
                                      static_cast<double>(task.remaining_run_time.count()));
        // A late task starts at late_task_slack and moves ahead with each ms of delay.
        const std::int64_t rank =
            slack >= 0 ? slack - margin : options_.late_task_slack.count() + slack;
        return task.priority == job_priority::urgent ? rank - urgent_rank : rank;
    }

    [[nodiscard]] bool is_within_quota(std::uint32_t task) const {
        const team_state* team = team_of_[task];
        return team == nullptr || (team->used + input_.tasks[task].demand).fits_in(team->quota);
    }

    [[nodiscard]] bool has_waited_long(const pending_task& task) const {
        return input_.now.value() - task.submitted_at.value() >= options_.reservation_delay.count();
    }

    [[nodiscard]] bool is_large(const pending_task& task) const {
        return std::any_of(
            all_capacities_.begin(), all_capacities_.end(), [&](const auto& capacity) {
                return task.demand.fits_in(capacity) &&
                       (fraction(task.demand.processors.value(), capacity.processors.value()) >=
                            options_.large_task_fraction ||
                        fraction(task.demand.memory.value(), capacity.memory.value()) >=
                            options_.large_task_fraction ||
                        fraction(task.demand.accelerators.value(), capacity.accelerators.value()) >=
                            options_.large_task_fraction);
            });
    }

    // Reserves a worker, which accepts no other non-urgent work, for each large task that has
    // waited long. A task that fits now also reserves, since smaller tasks ranked before it would
    // use the capacity. The choice depends only on the workers, so that successive plans choose the
    // same worker.
    void reserve_for_large_tasks() {
        const auto accepting = static_cast<double>(
            std::count_if(input_.workers.begin(), input_.workers.end(),
                          [](const worker_view& worker) { return worker.accepts_work; }));
        const auto max_reserved = std::clamp<std::size_t>(
            static_cast<std::size_t>(accepting * options_.max_reserved_fraction), 1,
            max_reservations);
        for (const auto& [rank, index] : large_tasks_) {
            if (reserved_.size() >= max_reserved) {
                return;
            }
            if (is_within_quota(index)) {
                reserve(index);
            }
        }
    }

    void reserve(std::uint32_t task_index) {
        const auto& task = input_.tasks[task_index];
        std::size_t best = input_.workers.size();
        double best_fraction = -2;
        for (std::size_t i = 0; i < input_.workers.size(); ++i) {
            const auto& worker = input_.workers[i];
            if (!worker.accepts_work || !task.demand.fits_in(worker.capacity) ||
                reserved_.contains(i) || is_excluded(task, worker)) {
                continue;
            }
            // Of the workers that fit, chooses the one with the least free processors.
            const double covered =
                covered_fraction(worker.free, task.demand) -
                fraction(worker.free.processors.value(), worker.capacity.processors.value()) /
                    1'000;
            if (covered > best_fraction) {
                best_fraction = covered;
                best = i;
            }
        }
        if (best < input_.workers.size()) {
            reserved_[best] = task_index;
            index_.hide(best);
        }
    }

    static double covered_fraction(const resources& free, const resources& demand) {
        double covered = 1;
        if (demand.processors.value() > 0) {
            covered =
                std::min(covered, fraction(free.processors.value(), demand.processors.value()));
        }
        if (demand.memory.value() > 0) {
            covered = std::min(covered, fraction(free.memory.value(), demand.memory.value()));
        }
        if (demand.accelerators.value() > 0) {
            covered =
                std::min(covered, fraction(free.accelerators.value(), demand.accelerators.value()));
        }
        return covered;
    }

    static bool is_excluded(const pending_task& task, const worker_view& worker) {
        return std::find(task.excluded_workers.begin(), task.excluded_workers.end(), worker.id) !=
               task.excluded_workers.end();
    }

    void place(std::uint32_t task_index) {
        const auto& task = input_.tasks[task_index];
        if (plan_.placed.size() >= input_.max_starts) {
            mark_unplaced(task_index, fits_any(all_capacities_, task.demand)
                                          ? unplaced_reason::no_capacity
                                          : unplaced_reason::larger_than_any_worker);
            return;
        }
        find_candidates(task_index);
        const auto best = best_candidate(task);
        if (best == input_.workers.size()) {
            mark_unplaced(task_index, reason_for(task));
            return;
        }
        index_.take(best, task.demand);
        // Later tasks of the plan take the slowdown by this one into account.
        slowdowns_[best] = (1 + slowdowns_[best]) * (1 + task.interference.value_or(0)) - 1;
        if (team_of_[task_index] != nullptr) {
            team_of_[task_index]->used += task.demand;
        }
        record_spread(spread_[task.job], input_.workers[best]);
        plan_.placed.push_back({task.job, task.index, input_.workers[best].id});
    }

    void find_candidates(std::uint32_t task_index) {
        const auto& task = input_.tasks[task_index];
        candidates_.clear();
        if (!failed_.covers(task.demand)) {
            index_.find(task.demand, options_.max_candidates + task.excluded_workers.size(),
                        candidates_);
            if (candidates_.empty()) {
                failed_.add(task.demand);
            }
        }
        for (const auto& [worker, holder] : reserved_) {
            if ((holder == task_index || task.priority == job_priority::urgent) &&
                task.demand.fits_in(index_.free(worker))) {
                candidates_.push_back(worker);
            }
        }
    }

    // Returns the number of workers if no candidate is suitable.
    [[nodiscard]] std::size_t best_candidate(const pending_task& task) const {
        const auto spread = spread_.find(task.job);
        const bool can_wait = task.priority != job_priority::urgent &&
                              slack_ms(task) > options_.interference_slack.count();
        std::size_t best = input_.workers.size();
        double best_cost = 0;
        for (const auto candidate : candidates_) {
            const auto& worker = input_.workers[candidate];
            if (is_excluded(task, worker) ||
                (can_wait && slowdown(task, candidate) > options_.max_interference)) {
                continue;
            }
            double cost = fit_cost(task, candidate);
            if (spread != spread_.end()) {
                cost += options_.spread_weight * spread_cost(spread->second, worker);
            }
            if (best == input_.workers.size() || cost < best_cost) {
                best = candidate;
                best_cost = cost;
            }
        }
        return best;
    }

    // Expected slowdown of the worker's services with the task; 0 for a task known to cause none.
    [[nodiscard]] double slowdown(const pending_task& task, std::size_t worker) const {
        if (!task.interference) {
            return slowdowns_[worker];
        }
        return *task.interference < negligible_slowdown
                   ? 0
                   : (1 + slowdowns_[worker]) * (1 + *task.interference) - 1;
    }

    [[nodiscard]] double fit_cost(const pending_task& task, std::size_t candidate) const {
        const auto& worker = input_.workers[candidate];
        const resources left = index_.free(candidate) - task.demand;
        const double processors =
            fraction(left.processors.value(), worker.capacity.processors.value());
        const double memory = fraction(left.memory.value(), worker.capacity.memory.value());
        double cost = options_.balance_weight * std::abs(processors - memory) +
                      options_.tightness_weight * (processors + memory) / 2 +
                      options_.interference_weight * slowdown(task, candidate);
        if (task.demand.accelerators.value() == 0 && left.accelerators.value() > 0) {
            cost += options_.accelerator_weight;
        }
        return cost;
    }

    static double spread_cost(const job_spread& spread, const worker_view& worker) {
        const auto count = [](const auto& counts, const auto& key) {
            const auto position = counts.find(key);
            return position == counts.end() ? 0.0 : static_cast<double>(position->second);
        };
        return (count(spread.domains, worker.domain) + count(spread.racks, worker.rack) +
                count(spread.workers, worker.id)) /
               static_cast<double>(spread.placed);
    }

    static void record_spread(job_spread& spread, const worker_view& worker) {
        ++spread.placed;
        ++spread.domains[worker.domain];
        ++spread.racks[worker.rack];
        ++spread.workers[worker.id];
    }

    [[nodiscard]] unplaced_reason reason_for(const pending_task& task) const {
        if (!fits_any(all_capacities_, task.demand)) {
            return unplaced_reason::larger_than_any_worker;
        }
        if (!fits_any(accepting_capacities_, task.demand)) {
            return unplaced_reason::all_workers_excluded;
        }
        if (task.excluded_workers.empty()) {
            return unplaced_reason::no_capacity;
        }
        const bool has_other = std::any_of(
            input_.workers.begin(), input_.workers.end(), [&](const worker_view& worker) {
                return worker.accepts_work && task.demand.fits_in(worker.capacity) &&
                       !is_excluded(task, worker);
            });
        return has_other ? unplaced_reason::no_capacity : unplaced_reason::all_workers_excluded;
    }

    void mark_unplaced(std::uint32_t task_index, unplaced_reason reason) {
        const auto& task = input_.tasks[task_index];
        plan_.unplaced.push_back({task.job, task.index, reason});
    }

    const placement_input& input_;
    const deadline_placement_options& options_;
    worker_index index_;
    std::unordered_map<team_id, team_state> teams_;
    std::vector<team_state*> team_of_;  // by task; nullptr: no quota
    std::vector<resources> all_capacities_;
    std::vector<resources> accepting_capacities_;
    std::vector<std::pair<std::int64_t, std::uint32_t>> order_;        // rank and task
    std::vector<std::pair<std::int64_t, std::uint32_t>> large_tasks_;  // may reserve a worker
    std::map<std::size_t, std::uint32_t> reserved_;                    // worker -> task
    std::unordered_map<job_id, job_spread> spread_;
    std::vector<double> slowdowns_;  // by worker, including tasks placed by this plan
    failed_demands failed_;
    std::vector<std::size_t> candidates_;
    placement_plan plan_;
};

}  // namespace

utc_millis deadline_placement::latest_start(const pending_task& task) {
    const std::int64_t due = task.complete_by.value() > 0 ? task.complete_by.value()
                                                          : task.submitted_at.value() + one_day_ms;
    return utc_millis(due - task.remaining_run_time.count());
}

placement_plan deadline_placement::plan(const placement_input& input) const {
    return planner(input, options_).build_plan();
}

}  // namespace tanagerpaddle
