#pragma once

// The resources committed on one instance: processors, memory, accelerators and request slots.

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// The request slots of one service on an instance. Thread-safe and lock-free.
class slot_counter {
public:
    explicit slot_counter(std::uint32_t count) : count_(count) {}

    // Acquires a slot if one is free. Each successful call is paired with one release_slot().
    [[nodiscard]] bool try_acquire_slot() noexcept;
    // Throws invariant_violation if no slot is acquired.
    void release_slot();

    [[nodiscard]] std::uint32_t busy() const noexcept {
        return busy_.load(std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint32_t count() const noexcept {
        return count_.load(std::memory_order_relaxed);
    }
    // Acquired slots stay valid. If more are acquired than the new count, try_acquire_slot() fails
    // until enough are released.
    void resize(std::uint32_t count) noexcept { count_.store(count, std::memory_order_relaxed); }

private:
    std::atomic<std::uint32_t> count_;
    std::atomic<std::uint32_t> busy_{0};
};

// The only authoritative record of the resources committed on an instance. After each change the
// committed amount fits the capacity, which is checked as an invariant. Not thread-safe, except for
// the slot counters.
class instance_ledger {
public:
    // Throws invariant_violation if a component of `capacity` is negative.
    explicit instance_ledger(const resources& capacity);

    // Sets the amount reserved for a service while its target runs here; replaces an earlier
    // amount. False, without effect, if the amount does not fit.
    [[nodiscard]] bool reserve(const service_id& service, const resources& amount);
    void release_reservation(const service_id& service);

    // Commits resources to a key, the text form of a task attempt. False, without effect, if they
    // do not fit or the key already holds resources.
    [[nodiscard]] bool commit(const std::string& key, const resources& amount);
    // Releases the resources that the key holds; false if it holds none.
    bool release(const std::string& key);
    [[nodiscard]] bool holds(const std::string& key) const;

    // The slot counter of the service, created with a count of 0 at the first call. It may be used
    // on any thread and outlives the ledger if the pointer does.
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
