#include "tanagerpaddle/ledger.hpp"

namespace tanagerpaddle {

bool slot_counter::try_acquire_slot() noexcept {
    std::uint32_t busy = busy_.load(std::memory_order_relaxed);
    while (busy < count_.load(std::memory_order_relaxed)) {
        if (busy_.compare_exchange_weak(busy, busy + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

void slot_counter::release_slot() {
    std::uint32_t busy = busy_.load(std::memory_order_relaxed);
    do {
        check_invariant(busy > 0, "a request slot was released, but none is acquired");
    } while (!busy_.compare_exchange_weak(busy, busy - 1, std::memory_order_acq_rel));
}

instance_ledger::instance_ledger(const resources& capacity) : capacity_(capacity) {
    check_invariant(capacity.is_non_negative(), "negative capacity " + to_string(capacity));
}

bool instance_ledger::change(const resources& removed, const resources& added) {
    const resources changed = committed_ - removed + added;
    if (!added.is_non_negative() || !changed.fits_in(capacity_)) {
        return false;
    }
    committed_ = changed;
    resources sum;
    for (const auto& [service, amount] : reservations_) {
        sum += amount;
    }
    check_invariant(committed_.is_non_negative() && committed_.fits_in(capacity_),
                    "committed " + to_string(committed_) + " of " + to_string(capacity_) +
                        ", reserved for services " + to_string(sum));
    return true;
}

bool instance_ledger::reserve(const service_id& service, const resources& amount) {
    const auto found = reservations_.find(service);
    const resources earlier = found == reservations_.end() ? resources() : found->second;
    if (!change(earlier, amount)) {
        return false;
    }
    reservations_[service] = amount;
    return true;
}

void instance_ledger::release_reservation(const service_id& service) {
    const auto found = reservations_.find(service);
    if (found != reservations_.end()) {
        const resources amount = found->second;
        reservations_.erase(found);
        check_invariant(
            change(amount, {}),
            "committed amount does not cover released reservation " + to_string(amount));
    }
}

bool instance_ledger::commit(const std::string& key, const resources& amount) {
    if (holds(key) || !change({}, amount)) {
        return false;
    }
    commitments_[key] = amount;
    return true;
}

bool instance_ledger::release(const std::string& key) {
    const auto found = commitments_.find(key);
    if (found == commitments_.end()) {
        return false;
    }
    const resources amount = found->second;
    commitments_.erase(found);
    check_invariant(change(amount, {}),
                    "committed amount does not cover released commitment " + to_string(amount));
    return true;
}

bool instance_ledger::holds(const std::string& key) const {
    return commitments_.contains(key);
}

std::shared_ptr<slot_counter> instance_ledger::slots(const service_id& service) {
    auto& counter = slots_[service];
    if (!counter) {
        counter = std::make_shared<slot_counter>(0);
    }
    return counter;
}

}  // namespace tanagerpaddle
