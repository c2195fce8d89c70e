#include "long_running_reservation.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerpaddle::dispatch {

namespace {

// Time in which a task that is ordered to stop has ended: the platform's bound on a stop.
constexpr milliseconds expected_stop_time{900};
// Plans whose times differ by less than this count as equally soon: run times are estimates.
constexpr milliseconds time_resolution{250};

// Smaller is better: the avoided instance, preemption, time, a further reserved instance, lost
// work.
using plan_score = std::tuple<bool, bool, std::int64_t, bool, double>;

bool may_preempt(const capacity_holder& holder, const capacity_request& request) {
    return holder.is_preemptible && holder.priority >= request.priority;
}

// When the demand fits if no task is stopped; std::nullopt if it does not by `preempt_at`.
std::optional<instant> expected_at(const reservable_instance& instance,
                                   const capacity_request& request, instant now) {
    resources available = instance.free;
    if (request.demand.fits_in(available)) {
        return now;
    }
    std::vector<std::pair<instant, const capacity_holder*>> ends;
    resources free_in_time = available;
    for (const auto& holder : instance.holders) {
        if (holder.ends_at && *holder.ends_at <= request.preempt_at) {
            free_in_time += holder.held;
            ends.emplace_back(*holder.ends_at, &holder);
        }
    }
    if (!request.demand.fits_in(free_in_time)) {
        return std::nullopt;
    }
    std::sort(ends.begin(), ends.end());
    for (const auto& [at, holder] : ends) {
        available += holder->held;
        if (request.demand.fits_in(available)) {
            return std::max(at, now);
        }
    }
    return std::nullopt;
}

// True if the run ends by itself in about the time in which a stopped one does.
bool ends_soon(const capacity_holder& holder, instant now) {
    return !holder.is_preemptible && holder.ends_at && *holder.ends_at <= now + expected_stop_time;
}

// Tasks with checkpoints first, then those with the least work done.
bool is_preempted_before(const capacity_holder& a, const capacity_holder& b) {
    return std::tuple(!a.writes_checkpoints, a.core_seconds_done) <
               std::tuple(!b.writes_checkpoints, b.core_seconds_done) ||
           (a.writes_checkpoints == b.writes_checkpoints &&
            a.core_seconds_done == b.core_seconds_done && a.task < b.task);
}

std::vector<const capacity_holder*> preemption_order(const reservable_instance& instance,
                                                     const capacity_request& request) {
    std::vector<const capacity_holder*> order;
    for (const auto& holder : instance.holders) {
        if (may_preempt(holder, request)) {
            order.push_back(&holder);
        }
    }
    const auto precedes = [](const auto* a, const auto* b) { return is_preempted_before(*a, *b); };
    if (!std::is_sorted(order.begin(), order.end(), precedes)) {
        std::sort(order.begin(), order.end(), precedes);
    }
    return order;
}

// True if stopping the task helps to make the demand fit.
bool is_helpful(const resources& held, const resources& demand, const resources& available) {
    return (held.processors.value() > 0 && demand.processors > available.processors) ||
           (held.memory.value() > 0 && demand.memory > available.memory) ||
           (held.accelerators.value() > 0 && demand.accelerators > available.accelerators);
}

// The tasks to stop, without any that the demand fits without; std::nullopt if it does not fit.
std::optional<std::vector<const capacity_holder*>> choose_preempted(
    const reservable_instance& instance, const capacity_request& request, instant now) {
    resources available = instance.free;
    for (const auto& holder : instance.holders) {
        if (ends_soon(holder, now)) {
            available += holder.held;
        }
    }
    std::vector<const capacity_holder*> chosen;
    std::map<step_key, std::uint32_t> stopped_by_step;
    for (const auto* holder : preemption_order(instance, request)) {
        if (request.demand.fits_in(available)) {
            break;
        }
        const step_key step{holder->task.job, holder->task.occurrence, holder->task.step};
        if (!is_helpful(holder->held, request.demand, available) ||
            (holder->step_allowance && stopped_by_step[step] >= *holder->step_allowance)) {
            continue;
        }
        ++stopped_by_step[step];
        available += holder->held;
        chosen.push_back(holder);
    }
    if (!request.demand.fits_in(available)) {
        return std::nullopt;
    }
    // Keeps the tasks with the most work done first.
    for (std::size_t i = chosen.size(); i-- > 0;) {
        if (request.demand.fits_in(available - chosen[i]->held)) {
            available -= chosen[i]->held;
            chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    return chosen;
}

double work_lost(const std::vector<const capacity_holder*>& preempted) {
    double lost = 0;
    for (const auto* holder : preempted) {
        lost += holder->writes_checkpoints ? 0 : holder->core_seconds_done;
    }
    return lost;
}

struct scored_plan {
    plan_score score;
    capacity_plan plan;
};

// Plans with preemption only if `may_stop` is true.
std::optional<scored_plan> score_plan(const reservable_instance& instance,
                                      const capacity_request& request, instant now, bool may_stop) {
    const bool is_avoided = request.avoided_instance == instance.index;
    const auto expected = expected_at(instance, request, now);
    if (expected) {
        const auto wait = std::chrono::duration_cast<milliseconds>(*expected - now);
        return scored_plan{{is_avoided, false, wait / time_resolution, !instance.is_reserved, 0},
                           {instance.index, *expected, {}}};
    }
    const auto preempted = may_stop ? choose_preempted(instance, request, now) : std::nullopt;
    if (!preempted) {
        return std::nullopt;
    }
    capacity_plan plan{instance.index, now + expected_stop_time, {}};
    for (const auto* holder : *preempted) {
        plan.preempted.push_back(holder->task);
    }
    return scored_plan{{is_avoided, true, 0, !instance.is_reserved, work_lost(*preempted)},
                       std::move(plan)};
}

}  // namespace

void sort_holders(reservable_instance& instance) {
    std::sort(instance.holders.begin(), instance.holders.end(), is_preempted_before);
}

std::optional<capacity_plan> plan_capacity(const reservable_instance& instance,
                                           const capacity_request& request, instant now) {
    auto found = score_plan(instance, request, now, true);
    return found ? std::optional(std::move(found->plan)) : std::nullopt;
}

std::optional<capacity_plan> choose_capacity(const std::vector<reservable_instance>& instances,
                                             const capacity_request& request, instant now,
                                             const std::function<bool(std::size_t)>& is_allowed) {
    std::optional<scored_plan> best;
    for (const auto& instance : instances) {
        if ((request.needs_reserved_instance && !instance.is_reserved) ||
            !is_allowed(instance.index)) {
            continue;
        }
        // A plan without preemption on an instance that is not avoided is better than any with it.
        const bool may_stop = !best || best->score > plan_score{false, true, 0, false, 0};
        auto found = score_plan(instance, request, now, may_stop);
        if (found && (!best || found->score < best->score)) {
            best = std::move(found);
        }
    }
    return best ? std::optional(std::move(best->plan)) : std::nullopt;
}

void apply_plan(std::vector<reservable_instance>& instances, const capacity_plan& plan,
                const capacity_request& request, instant now) {
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const auto& each) { return each.index == plan.instance; });
    if (found == instances.end()) {
        return;
    }
    found->free -= request.demand;
    found->is_reserved = true;
    for (auto& holder : found->holders) {
        if (std::find(plan.preempted.begin(), plan.preempted.end(), holder.task) !=
            plan.preempted.end()) {
            holder.is_preemptible = false;
            holder.ends_at = now + expected_stop_time;
        }
    }
}

// ---------------------------------------------------------------------------------------------

void long_running_reservations::add(const task_key& task, const capacity_reservation& reservation) {
    remove(task);
    by_task_.emplace(task, reservation);
    auto& sums = by_instance_[reservation.instance];
    sums.demand += reservation.demand;
    ++sums.tasks_by_priority[reservation.priority];
}

void long_running_reservations::remove(const task_key& task) {
    const auto found = by_task_.find(task);
    if (found == by_task_.end()) {
        return;
    }
    const auto& reservation = found->second;
    const auto sums = by_instance_.find(reservation.instance);
    sums->second.demand -= reservation.demand;
    const auto count = sums->second.tasks_by_priority.find(reservation.priority);
    if (--count->second == 0) {
        sums->second.tasks_by_priority.erase(count);
    }
    if (sums->second.tasks_by_priority.empty()) {
        by_instance_.erase(sums);
    }
    by_task_.erase(found);
}

const capacity_reservation* long_running_reservations::find(const task_key& task) const {
    const auto found = by_task_.find(task);
    return found == by_task_.end() ? nullptr : &found->second;
}

void long_running_reservations::mark_preempted(const task_key& task) {
    by_task_.at(task).has_preempted = true;
}

bool long_running_reservations::admits(std::size_t instance, const std::optional<task_key>& task,
                                       int priority, bool is_long_running, const resources& demand,
                                       const resources& free) const {
    const auto sums = by_instance_.find(instance);
    if (sums == by_instance_.end() || priority < sums->second.tasks_by_priority.begin()->first) {
        return true;
    }
    if (task) {
        if (const auto* own = find(*task); own != nullptr && own->instance == instance) {
            return true;
        }
    }
    return is_long_running && demand.fits_in(free - sums->second.demand);
}

resources long_running_reservations::reserved_on(std::size_t instance) const {
    const auto sums = by_instance_.find(instance);
    return sums == by_instance_.end() ? resources{} : sums->second.demand;
}

}  // namespace tanagerpaddle::dispatch
