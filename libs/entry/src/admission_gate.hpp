#pragma once

#include <condition_variable>
#include <map>
#include <mutex>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

// Lets the threads of one service's requests wait for a free slot, in the order of an
// admission_queue. Thread-safe.
class admission_gate {
public:
    admission_gate(const admission_options& options, const clock& time);

    // Waits until it is the request's turn. ok, or the code that the request is refused with.
    [[nodiscard]] result_code wait(const waiting_request& request,
                                   const admission_capacity& capacity);
    // A slot became free: lets the next request go on.
    void release_one(const admission_capacity& capacity);
    [[nodiscard]] std::size_t size() const;

private:
    const clock& time_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    admission_queue queue_;
    // Requests that were let go on or refused and have not woken up yet.
    std::map<ticket_number, result_code> decided_;
};

}  // namespace tanagerpaddle
