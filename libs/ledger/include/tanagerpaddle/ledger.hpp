#pragma once

// The commitments of one instance: processors, memory, accelerators and request slots.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// The request slots of one service on an instance. Thread-safe without locks.
class slot_counter {
public:
    explicit slot_counter(std::uint32_t count) : count_(count) {}

    // Takes a slot if one is free. Each successful call is paired with one release_slot().
    [[nodiscard]] bool try_acquire_slot() noexcept;
    // Throws invariant_violation if no slot is taken.
    void release_slot();

    [[nodiscard]] std::uint32_t busy() const noexcept {
        return busy_.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint32_t count() const noexcept {
        return count_.load(std::memory_order_relaxed);
    }
    // Slots that are taken stay taken; with fewer slots new ones are refused until enough are
    // released.
    void resize(std::uint32_t count) noexcept { count_.store(count, std::memory_order_relaxed); }

private:
    std::atomic<std::uint32_t> count_;
    std::atomic<std::uint32_t> busy_{0};
};

// The sole authority for what an instance has committed. After each change the committed amount
// fits the capacity, which is checked as an invariant. Not thread-safe, but for the slot counters.
class instance_ledger {
public:
    // Throws invariant_violation if a component of `capacity` is negative.
    explicit instance_ledger(const resources& capacity);

    // Sets the amount that a service takes while its target runs here, in place of an earlier
    // amount. False, without effect, if it does not fit.
    [[nodiscard]] bool reserve(const service_id& service, const resources& amount);
    void release_reservation(const service_id& service);

    // Commits resources to the holder of the key, the text of a task attempt. False, without
    // effect, if they do not fit or the key already holds resources.
    [[nodiscard]] bool commit(const std::string& key, const resources& amount);
    // Releases what the key holds; false if it holds nothing.
    bool release(const std::string& key);
    [[nodiscard]] bool holds(const std::string& key) const;

    // The slot counter of the service, created with no slots at the first call. The counter is
    // valid for as long as a holder of the pointer keeps it, on any thread.
    [[nodiscard]] std::shared_ptr<slot_counter> slots(const service_id& service);

    [[nodiscard]] const resources& capacity() const noexcept { return capacity_; }
    [[nodiscard]] const resources& committed() const noexcept { return committed_; }
    [[nodiscard]] resources free() const noexcept { return capacity_ - committed_; }
    [[nodiscard]] std::size_t commitment_count() const noexcept { return commitments_.size(); }

private:
    [[nodiscard]] bool change(const resources& removed, const resources& added);

    resources capacity_;
    resources committed_;
    std::map<service_id, resources> reservations_;
    std::map<std::string, resources> commitments_;
    std::map<service_id, std::shared_ptr<slot_counter>> slots_;
};

}  // namespace tanagerpaddle
