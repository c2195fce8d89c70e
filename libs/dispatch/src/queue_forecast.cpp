#include "queue_forecast.hpp"

#include <algorithm>
#include <iterator>

#include "coordinator_state.hpp"
#include "ordering.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using shape = fleet_forecast::executor_shape;

// Jobs that a profile averages over: the last minute of a queue with two jobs a second.
constexpr double max_profile_weight = 100;
// Share of the capacity that every priority is assumed to get, so that a predicted delay is bounded
// while more urgent work holds everything.
constexpr double min_capacity_share = 0.05;
// Share of the processors of long-running tasks that fillers can use: these reserve for their peak
// (reclaimable_percent in placement.cpp).
constexpr double reclaimable_share = 0.5;
// Lowest pace of fillers that counts.
constexpr double min_pace = 0.1;
// Longer delays are of no use to an entry, which asks callers to wait for 30 s at most.
constexpr double max_delay_s = 3'600;

milliseconds to_ms(double seconds) {
    return milliseconds(static_cast<std::int64_t>(std::min(seconds, max_delay_s) * 1'000));
}

double sum_below(const std::map<int, std::int64_t>& by_priority, int priority) {
    double sum = 0;
    for (const auto& [other, amount] : by_priority) {
        sum += other < priority ? static_cast<double>(amount) : 0;
    }
    return sum;
}

double sum_of(const std::map<int, std::int64_t>& by_priority) {
    double sum = 0;
    for (const auto& [other, amount] : by_priority) {
        sum += static_cast<double>(amount);
    }
    return sum;
}

// Cores that the queue's tasks can take.
double available_cores(const queue_rules& rules, const queue_profile& profile,
                       const service_supply& supply, const held_processors& held) {
    const auto capacity = static_cast<double>(supply.capacity);
    const auto long_running = static_cast<double>(held.long_running);
    const double left = profile.has_fillers
                            ? capacity - (1 - reclaimable_share) * long_running -
                                  sum_of(held.by_priority) -
                                  sum_below(held.fillers_by_priority, rules.priority)
                            : capacity - long_running - sum_below(held.by_priority, rules.priority);
    return std::max(left, min_capacity_share * capacity) / 1'000;
}

bool goes_before(const waiting_work& work, const queue_rules& rules, const queue_profile& profile) {
    // Fillers take no processors from other tasks.
    if (work.is_filler && !profile.has_fillers) {
        return false;
    }
    // A job that is submitted now can end in time, so that late ones of its priority go behind it.
    return work.priority < rules.priority || (work.priority == rules.priority && work.rank == 0 &&
                                              work.job_core_seconds <= profile.core_seconds);
}

bool exceeds(const shape& larger, const shape& other) {
    return other.capacity.fits_in(larger.capacity) && other.labels.size() <= larger.labels.size() &&
           std::all_of(other.labels.begin(), other.labels.end(), [&](const std::string& label) {
               return std::binary_search(larger.labels.begin(), larger.labels.end(), label);
           });
}

resources max_of(const resources& a, const resources& b) {
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

// A shape that exceeds both.
shape join(const shape& a, const shape& b) {
    shape joined;
    joined.capacity = max_of(a.capacity, b.capacity);
    std::set_union(a.labels.begin(), a.labels.end(), b.labels.begin(), b.labels.end(),
                   std::back_inserter(joined.labels));
    return joined;
}

void add_maximal(std::vector<shape>& shapes, const shape& added) {
    if (std::any_of(shapes.begin(), shapes.end(),
                    [&](const shape& other) { return exceeds(other, added); })) {
        return;
    }
    std::erase_if(shapes, [&](const shape& other) { return exceeds(added, other); });
    shapes.push_back(added);
    if (shapes.size() > max_shapes_per_service) {
        const auto joined = join(shapes[shapes.size() - 1], shapes[shapes.size() - 2]);
        shapes.resize(shapes.size() - 2);
        shapes.push_back(joined);
    }
}

}  // namespace

// ---------------------------------------------------------------------------------------------
// Load

void fleet_load::job_added(const queue_id& queue, const job_spec& spec, double core_seconds,
                           milliseconds critical_path) {
    auto& profile = profiles_[queue];
    profile.weight = std::min(profile.weight, max_profile_weight - 1) + 1;
    const double share = 1 / profile.weight;
    profile.core_seconds += share * (core_seconds - profile.core_seconds);
    profile.critical_path_s +=
        share * (std::chrono::duration<double>(critical_path).count() - profile.critical_path_s);
    profile.has_fillers = std::any_of(spec.steps.begin(), spec.steps.end(),
                                      [](const step_spec& step) { return step.is_filler; });
}

void fleet_load::task_assigned(const queue_rules& rules, const step_spec& spec) {
    add(rules, spec, 1);
}

void fleet_load::task_unassigned(const queue_rules& rules, const step_spec& spec) {
    add(rules, spec, -1);
}

void fleet_load::add(const queue_rules& rules, const step_spec& spec, std::int64_t sign) {
    auto& held = held_[rules.service];
    const auto amount = sign * spec.demand.processors.value();
    if (spec.is_long_running) {
        held.long_running += amount;
    } else {
        (spec.is_filler ? held.fillers_by_priority : held.by_priority)[rules.priority] += amount;
    }
}

queue_profile fleet_load::profile_of(const queue_id& queue) const {
    const auto found = profiles_.find(queue);
    return found == profiles_.end() ? queue_profile{} : found->second;
}

held_processors fleet_load::held_in(const service_id& service) const {
    const auto found = held_.find(service);
    return found == held_.end() ? held_processors{} : found->second;
}

std::optional<fleet_forecast::queue_delay> predict_delay(const queue_rules& rules,
                                                         const queue_profile& profile,
                                                         const service_supply& supply,
                                                         const held_processors& held,
                                                         const std::vector<waiting_work>& waiting) {
    if (supply.capacity <= 0) {
        return std::nullopt;
    }
    const double cores = available_cores(rules, profile, supply, held);
    double ahead = 0;
    for (const auto& work : waiting) {
        ahead += goes_before(work, rules, profile) ? work.core_seconds : 0;
    }
    double pace = 1;
    if (profile.has_fillers && supply.fillers_needed > 0) {
        pace = std::clamp(
            static_cast<double>(supply.fillers_used) / static_cast<double>(supply.fillers_needed),
            min_pace, 1.0);
    }
    // A job cannot end before its work is done.
    const double width =
        profile.critical_path_s > 0 ? profile.core_seconds / cores / profile.critical_path_s : 0;
    return fleet_forecast::queue_delay{to_ms(ahead / cores), to_ms(std::max(1 / pace, width))};
}

// ---------------------------------------------------------------------------------------------
// Executors

void executor_census::seen(const instance_name& instance, const executor_info& info,
                           instant last_seen) {
    auto& known = entries_[instance];
    shape now_seen{info.capacity, info.labels};
    std::sort(now_seen.labels.begin(), now_seen.labels.end());
    now_seen.labels.erase(std::unique(now_seen.labels.begin(), now_seen.labels.end()),
                          now_seen.labels.end());
    const auto earlier = known.shape;
    const bool is_other = known.service != info.service;
    // A capacity that has shrunk may grow again.
    if (is_other || exceeds(now_seen, known.shape) || last_seen - known.shape_seen >= max_age) {
        known.shape = std::move(now_seen);
        known.shape_seen = last_seen;
    } else if (!exceeds(known.shape, now_seen)) {
        known.shape = join(known.shape, now_seen);
    }
    is_changed_ =
        is_changed_ || is_other || known.shape != earlier || last_seen - known.last_seen > max_age;
    known.service = info.service;
    known.last_seen = last_seen;
}

void executor_census::update(std::size_t expected, instant now) {
    if (expected != expected_) {
        expected_ = expected;
        expected_since_ = now;
    }
    const bool is_complete =
        expected > 0 && (entries_.size() >= expected || now - expected_since_ >= max_age);
    if (!is_complete) {
        complete_since_.reset();
    } else if (!complete_since_) {
        complete_since_ = now;
    }
}

bool executor_census::is_settled(instant now) const {
    return complete_since_ && now - *complete_since_ >= settling_time;
}

const std::map<service_id, std::vector<shape>>& executor_census::largest(instant now) {
    static const std::map<service_id, std::vector<shape>> unsettled;
    if (!is_settled(now)) {
        return unsettled;
    }
    const auto counted = static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const auto& row) { return now - row.second.last_seen <= max_age; }));
    if (!is_changed_ && counted == counted_) {
        return largest_;
    }
    is_changed_ = false;
    counted_ = counted;
    largest_.clear();
    for (const auto& [instance, known] : entries_) {
        if (now - known.last_seen <= max_age) {
            add_maximal(largest_[known.service], known.shape);
        }
    }
    std::erase_if(largest_, [](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [](const shape& row) {
            return row.labels.size() > max_labels_per_shape;
        });
    });
    return largest_;
}

// ---------------------------------------------------------------------------------------------
// Coordinator

fleet_forecast coordinator::forecast(std::size_t expected_instances) {
    return state_->make_forecast(expected_instances);
}

void coordinator::state::note_added(const job_state& job) {
    const auto work = work_of(job.submitted.spec, nullptr, ordering_run_times());
    load.job_added(job.submitted.queue, job.submitted.spec, work.core_seconds_left, work.chain);
}

std::map<service_id, service_supply> coordinator::state::collect_supply() {
    placement_context context;
    context.now = time.now();
    context.evacuated = &evacuated_domains;
    std::map<service_id, service_supply> supply;
    for (const auto& instance : instances) {
        if (!instance.executor) {
            continue;
        }
        census.seen(instance.name, *instance.executor, instance.observed_at);
        if (!accepts_starts(instance, context)) {
            continue;
        }
        auto& service = supply[instance.executor->service];
        service.capacity += instance.executor->capacity.processors.value();
        for (const auto& filler : instance.sample.fillers) {
            service.fillers_used += filler.used.value();
            service.fillers_needed += filler.demand.value();
        }
    }
    return supply;
}

fleet_forecast coordinator::state::make_forecast(std::size_t expected_instances) {
    const auto supply = collect_supply();
    std::map<service_id, std::vector<waiting_work>> waiting;
    for (const auto& step : collect_ready_steps()) {
        const auto run_time = run_time_of(*step.spec, ordering_run_times());
        const double work = static_cast<double>(step.waiting.size()) *
                            static_cast<double>(step.spec->demand.processors.value()) *
                            static_cast<double>(run_time.count()) / 1e6;
        waiting[step.rules.service].push_back({step.rules.priority, step.rank, step.spec->is_filler,
                                               step.core_seconds_left,
                                               step.spec->is_long_running ? 0 : work});
    }
    fleet_forecast forecast;
    for (const auto& [queue, rules] : queues) {
        const auto found = supply.find(rules.service);
        if (found == supply.end()) {
            continue;
        }
        const auto delay = predict_delay(rules, load.profile_of(queue), found->second,
                                         load.held_in(rules.service), waiting[rules.service]);
        if (delay) {
            forecast.queues.emplace(queue, *delay);
        }
    }
    const instant now = time.now();
    census.update(expected_instances, now);
    forecast.services = census.largest(now);
    return forecast;
}

}  // namespace tanagerpaddle::dispatch
