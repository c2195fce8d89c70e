#include <algorithm>
#include <cmath>
#include <string>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

admission_queue::admission_queue(const admission_options& options, const clock& time)
    : options_(options), time_(time) {}

admission_queue::order_key admission_queue::key_of(const waiting_request& request,
                                                   ticket_number ticket) {
    return {-static_cast<int>(request.priority), request.until, ticket};
}

nanoseconds admission_queue::expected_wait(const waiting_request& request,
                                           const admission_capacity& capacity) const {
    const auto slots = static_cast<std::int64_t>(std::max<std::uint32_t>(1, capacity.slots));
    const auto position = waiting_.lower_bound(key_of(request, last_ticket_.next()));
    const auto ahead = std::distance(waiting_.begin(), position);
    // While all slots are busy, one becomes free every service_time / slots.
    return (ahead + 1) * capacity.service_time / slots;
}

nanoseconds admission_queue::needed_time(const admission_capacity& capacity) const {
    return nanoseconds(std::llround(static_cast<double>(capacity.service_time.count()) *
                                    options_.min_service_time_multiple));
}

admission_result admission_queue::offer(const waiting_request& request,
                                        const admission_capacity& capacity) {
    admission_result result;
    const instant now = time_.now();
    if (capacity.slots == 0) {
        result.code = result_code::no_target;
        return result;
    }
    if (request.until.has_passed(now + capacity.service_time)) {
        result.code = result_code::deadline_exceeded_not_run;
        return result;
    }
    if (request.until.has_passed(now + expected_wait(request, capacity) + needed_time(capacity))) {
        result.code = result_code::overloaded;
        return result;
    }
    last_ticket_ = last_ticket_.next();
    const order_key key = key_of(request, last_ticket_);
    waiting_.emplace(key, request);
    keys_.emplace(last_ticket_, key);
    ++waiting_by_team_[request.team];
    result.ticket = last_ticket_;
    if (waiting_.size() > options_.max_waiting) {
        const order_key victim = choose_victim();
        const ticket_number shed = std::get<ticket_number>(victim);
        remove(victim);
        if (shed == last_ticket_) {
            result.ticket.reset();
            result.code = result_code::overloaded;
        } else {
            result.shed.push_back(shed);
        }
    }
    check_invariant(waiting_.size() <= options_.max_waiting && keys_.size() == waiting_.size(),
                    "admission queue: " + std::to_string(waiting_.size()) + " waiting, " +
                        std::to_string(keys_.size()) + " tickets, bound " +
                        std::to_string(options_.max_waiting));
    return result;
}

admission_queue::order_key admission_queue::choose_victim() const {
    // Keys are sorted by descending priority, so the last one has the lowest waiting priority. All
    // teams have equal shares: the one with the most waiting requests is furthest above its share.
    const int lowest = std::get<int>(waiting_.rbegin()->first);
    auto victim = waiting_.rbegin();
    std::size_t max_count = 0;
    for (auto it = waiting_.rbegin(); it != waiting_.rend() && std::get<int>(it->first) == lowest;
         ++it) {
        const std::size_t count = waiting_by_team_.at(it->second.team);
        // Iterates by descending deadline: the first request of a team has its latest deadline.
        if (count > max_count) {
            max_count = count;
            victim = it;
        }
    }
    return victim->first;
}

void admission_queue::remove(const order_key& key) {
    const auto position = waiting_.find(key);
    check_invariant(position != waiting_.end(),
                    "admission queue: no waiting request for an order key");
    const auto team = waiting_by_team_.find(position->second.team);
    check_invariant(
        team != waiting_by_team_.end() && team->second > 0,
        "admission queue: no waiting request counted for team " + position->second.team.value());
    if (--team->second == 0) {
        waiting_by_team_.erase(team);
    }
    keys_.erase(std::get<ticket_number>(key));
    waiting_.erase(position);
}

dequeue_result admission_queue::dequeue(const admission_capacity& capacity) {
    dequeue_result result;
    const instant now = time_.now();
    while (!waiting_.empty() && !result.ticket) {
        // With at most as many waiting requests as slots, none takes a slot from another one.
        const nanoseconds needed =
            waiting_.size() > capacity.slots ? needed_time(capacity) : capacity.service_time;
        const order_key key = waiting_.begin()->first;
        const ticket_number ticket = std::get<ticket_number>(key);
        // Slots are not used for requests that cannot meet their deadline.
        if (std::get<deadline>(key).has_passed(now + needed)) {
            result.expired.push_back(ticket);
        } else {
            result.ticket = ticket;
        }
        remove(key);
    }
    return result;
}

bool admission_queue::cancel(ticket_number ticket) {
    const auto key = keys_.find(ticket);
    if (key == keys_.end()) {
        return false;
    }
    remove(order_key(key->second));
    return true;
}

}  // namespace tanagerpaddle
