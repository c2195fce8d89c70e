#include "admission_gate.hpp"

namespace tanagerpaddle {

namespace {
// A waiting request tries again after this time even if no release was seen, because a limit may
// have grown or a target may have appeared.
constexpr milliseconds longest_wait{20};
}  // namespace

admission_gate::admission_gate(const admission_options& options, const clock& time)
    : time_(time), queue_(options, time) {}

result_code admission_gate::wait(const waiting_request& request,
                                 const admission_capacity& capacity) {
    std::unique_lock lock(mutex_);
    const admission_result offered = queue_.offer(request, capacity);
    for (const ticket_number shed : offered.shed) {
        decided_[shed] = result_code::overloaded;
        changed_.notify_all();
    }
    if (!offered.ticket) {
        return offered.code;
    }
    const milliseconds limit = std::min(longest_wait, request.until.remaining(time_.now()));
    changed_.wait_for(lock, limit, [&] { return decided_.contains(*offered.ticket); });
    const auto decision = decided_.find(*offered.ticket);
    if (decision != decided_.end()) {
        const result_code code = decision->second;
        decided_.erase(decision);
        return code;
    }
    queue_.cancel(*offered.ticket);
    return request.until.has_passed(time_.now()) ? result_code::deadline_exceeded_not_run
                                                 : result_code::ok;
}

void admission_gate::release_one(const admission_capacity& capacity) {
    const std::lock_guard lock(mutex_);
    if (queue_.size() == 0) {
        return;
    }
    const dequeue_result next = queue_.dequeue(capacity);
    for (const ticket_number expired : next.expired) {
        decided_[expired] = result_code::deadline_exceeded_not_run;
    }
    if (next.ticket) {
        decided_[*next.ticket] = result_code::ok;
    }
    changed_.notify_all();
}

std::size_t admission_gate::size() const {
    const std::lock_guard lock(mutex_);
    return queue_.size();
}

}  // namespace tanagerpaddle
