#pragma once

// Fair shares: what each queue has in use of its service, and the order of steps that follows.

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "placement.hpp"

namespace tanagerpaddle::dispatch {

// What the queues have in use, and the capacity of the services. Sums change with each assignment
// and each executor, and are never recomputed.
class queue_usage {
public:
    void add_capacity(const service_id& service, const resources& capacity);
    void remove_capacity(const service_id& service, const resources& capacity);
    void add_use(const queue_id& queue, const service_id& service, const resources& demand);
    void remove_use(const queue_id& queue, const service_id& service, const resources& demand);
    // The dominant share: the largest of the queue's shares of processors, memory and accelerators.
    // Above 1 if the capacity has shrunk below what is in use.
    [[nodiscard]] double share_of(const queue_id& queue, const service_id& service) const;
    // In thousandths, for queues with anything in use; the largest over their services.
    [[nodiscard]] std::map<queue_id, std::int64_t> permille() const;

private:
    std::map<service_id, resources> capacity_;
    std::map<std::pair<queue_id, service_id>, resources> in_use_;
};

// Goes through steps in their order; among steps of the same priority and rank, the next one is
// that of the queue with the smallest share at the time. Steps with precedence are not compared.
class fair_order {
public:
    // `steps` is sorted by precedes(); without `is_enabled` that order is kept.
    fair_order(const std::vector<ready_step>& steps, const queue_usage& shares, bool is_enabled);
    // The next step; nullptr after the last. Shares are read again at each call.
    [[nodiscard]] const ready_step* next();

private:
    // Positions of a queue's steps in the group that are still to come.
    struct remaining {
        std::vector<std::size_t> positions;
        std::size_t used = 0;
    };
    void begin_group();
    // Enters the queue's next step of the group.
    void enter(const queue_id& queue);

    const std::vector<ready_step>& steps_;
    const queue_usage& shares_;
    bool is_enabled_;
    std::size_t position_ = 0;
    std::map<queue_id, remaining> queues_;
    // By share of the queue, then in the order of the steps.
    std::set<std::pair<double, std::size_t>> candidates_;
    const queue_id* last_ = nullptr;
};

}  // namespace tanagerpaddle::dispatch
