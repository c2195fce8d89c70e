#include "permits.hpp"

#include <algorithm>
#include <tuple>

namespace tanagerpaddle::dispatch {

namespace {

// Time after which an unanswered request is repeated, and between requests for executors that have
// no room anyway.
constexpr milliseconds request_interval{2'000};
// Time after which a request is repeated that the service has refused.
constexpr milliseconds retry_interval{200};
// Maximum number of executors in one request; the policy service needs time for each.
constexpr std::size_t max_executors_per_request = 30;

}  // namespace

void step_permits::expire(instant now) {
    std::erase_if(valid_until_, [&](const auto& each) {
        const auto& [executor, until] = each;
        if (now < until) {
            return false;
        }
        tickets_.erase(executor);
        asked_.erase(executor);
        return true;
    });
}

std::vector<executor_id> step_permits::begin_request(std::vector<permit_candidate> candidates,
                                                     instant now) {
    std::erase_if(candidates,
                  [&](const permit_candidate& each) { return tickets_.count(each.executor) != 0; });
    const auto is_asked = [&](const permit_candidate& each) {
        return asked_.count(each.executor) != 0;
    };
    const bool is_new_round =
        !candidates.empty() && std::all_of(candidates.begin(), candidates.end(), is_asked);
    if (!is_new_round) {
        std::erase_if(candidates, is_asked);
    }
    const bool has_room =
        !is_new_round && std::any_of(candidates.begin(), candidates.end(),
                                     [](const permit_candidate& each) { return each.has_room; });
    const instant due_at = has_room ? next_request_at_ : next_full_request_at_;
    if (candidates.empty() || now < due_at) {
        return {};
    }
    if (is_new_round) {
        asked_.clear();
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [&](const permit_candidate& a, const permit_candidate& b) {
                         const auto order = [&](const permit_candidate& each) {
                             return std::tuple(allowed_.count(each.executor) == 0, !each.has_room,
                                               !each.is_on_rack);
                         };
                         return order(a) < order(b);
                     });
    std::vector<executor_id> executors;
    for (const auto& each : candidates) {
        if (executors.size() < max_executors_per_request) {
            executors.push_back(each.executor);
        }
    }
    next_request_at_ = now + request_interval;
    next_full_request_at_ = now + request_interval;
    return executors;
}

void step_permits::granted(const std::vector<executor_id>& asked,
                           const std::vector<permit>& permits, instant valid_until) {
    next_request_at_ = {};
    for (const auto& executor : asked) {
        asked_.insert(executor);
        allowed_.erase(executor);
    }
    for (const auto& allowed : permits) {
        allowed_.insert(allowed.executor);
        tickets_[allowed.executor] = allowed.ticket;
        valid_until_[allowed.executor] = valid_until;
    }
}

void step_permits::request_failed(instant now) {
    next_request_at_ = now + retry_interval;
    next_full_request_at_ = now + retry_interval;
}

void step_permits::forget(const executor_id& executor) {
    tickets_.erase(executor);
    valid_until_.erase(executor);
    asked_.erase(executor);
}

}  // namespace tanagerpaddle::dispatch
