#pragma once

// Read-copy-update (RCU) of a single-owner pointer, based on the memb flavour of liburcu.

#include <atomic>
#include <memory>

namespace tanagerpaddle::rcu {

// Registers the calling thread with liburcu until it ends; cheap after the first call.
void register_thread();

// A read-side critical section of the calling thread. It must not block and must not enclose
// a call of synchronize(). Sections may be nested.
class read_section {
public:
    read_section();
    ~read_section();
    read_section(const read_section&) = delete;
    read_section& operator=(const read_section&) = delete;
};

// Returns when all read sections that existed at the call have ended.
void synchronize();

// An object published to readers, which load it within a read section. The writer exchanges it and
// frees the old object after synchronize().
template <class T>
class published {
public:
    explicit published(std::unique_ptr<const T> initial) : current_(initial.release()) {}
    published(const published&) = delete;
    published& operator=(const published&) = delete;
    ~published() { delete current_.load(std::memory_order_acquire); }

    // Valid until the end of the enclosing read section.
    [[nodiscard]] const T& load() const noexcept {
        return *current_.load(std::memory_order_acquire);
    }
    // Publishes `next` and returns the old object, which must be freed only after synchronize().
    [[nodiscard]] std::unique_ptr<const T> exchange(std::unique_ptr<const T> next) noexcept {
        return std::unique_ptr<const T>(
            current_.exchange(next.release(), std::memory_order_acq_rel));
    }

private:
    std::atomic<const T*> current_;
};

}  // namespace tanagerpaddle::rcu
