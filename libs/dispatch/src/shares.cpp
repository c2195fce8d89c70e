#include "shares.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerpaddle::dispatch {

namespace {

double dominant_share(const resources& amount, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
    };
    return std::max({share(amount.processors.value(), capacity.processors.value()),
                     share(amount.memory.value(), capacity.memory.value()),
                     share(amount.accelerators.value(), capacity.accelerators.value())});
}

// True if the queues of the two steps compete for what is free.
bool is_same_group(const ready_step& a, const ready_step& b) {
    return std::tuple(a.rules.priority, a.has_precedence, a.rank) ==
           std::tuple(b.rules.priority, b.has_precedence, b.rank);
}

}  // namespace

void queue_usage::add_capacity(const service_id& service, const resources& capacity) {
    capacity_[service] += capacity;
}

void queue_usage::remove_capacity(const service_id& service, const resources& capacity) {
    auto& total = capacity_[service];
    total -= capacity;
    check_invariant(total.is_non_negative(),
                    "capacity of service " + service.value() + " is " + to_string(total));
    if (total == resources{}) {
        capacity_.erase(service);
    }
}

void queue_usage::add_use(const queue_id& queue, const service_id& service,
                          const resources& demand) {
    in_use_[{queue, service}] += demand;
}

void queue_usage::remove_use(const queue_id& queue, const service_id& service,
                             const resources& demand) {
    auto& total = in_use_[{queue, service}];
    total -= demand;
    check_invariant(total.is_non_negative(),
                    "queue " + queue.value() + " has " + to_string(total) + " in use");
    if (total == resources{}) {
        in_use_.erase({queue, service});
    }
}

double queue_usage::share_of(const queue_id& queue, const service_id& service) const {
    const auto used = in_use_.find({queue, service});
    if (used == in_use_.end()) {
        return 0;
    }
    const auto capacity = capacity_.find(service);
    return dominant_share(used->second,
                          capacity == capacity_.end() ? resources{} : capacity->second);
}

std::map<queue_id, std::int64_t> queue_usage::permille() const {
    std::map<queue_id, std::int64_t> result;
    for (const auto& [key, used] : in_use_) {
        // Without executors of the service there is nothing to have a share of.
        if (capacity_.count(key.second) != 0) {
            auto& largest = result[key.first];
            largest = std::max<std::int64_t>(largest,
                                             std::llround(share_of(key.first, key.second) * 1'000));
        }
    }
    return result;
}

// ---------------------------------------------------------------------------------------------

fair_order::fair_order(const std::vector<ready_step>& steps, const queue_usage& shares,
                       bool is_enabled)
    : steps_(steps), shares_(shares), is_enabled_(is_enabled) {}

const ready_step* fair_order::next() {
    if (last_ != nullptr) {
        enter(*std::exchange(last_, nullptr));
    }
    if (candidates_.empty()) {
        if (position_ == steps_.size()) {
            return nullptr;
        }
        if (!is_enabled_ || steps_[position_].has_precedence) {
            return &steps_[position_++];
        }
        begin_group();
    }
    const auto first = candidates_.begin();
    const auto& step = steps_[first->second];
    candidates_.erase(first);
    last_ = step.queue;
    return &step;
}

void fair_order::begin_group() {
    queues_.clear();
    const auto& first = steps_[position_];
    for (; position_ < steps_.size() && is_same_group(first, steps_[position_]); ++position_) {
        queues_[*steps_[position_].queue].positions.push_back(position_);
    }
    for (const auto& [queue, steps] : queues_) {
        enter(queue);
    }
}

void fair_order::enter(const queue_id& queue) {
    auto& steps = queues_.at(queue);
    if (steps.used < steps.positions.size()) {
        const auto position = steps.positions[steps.used++];
        candidates_.emplace(shares_.share_of(queue, steps_[position].rules.service), position);
    }
}

}  // namespace tanagerpaddle::dispatch
