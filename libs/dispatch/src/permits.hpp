#pragma once

// Permits of a step whose queue has a policy: which executors may run it, and which the policy
// service is asked for next.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// An executor that meets the requirements of the step.
struct permit_candidate {
    executor_id executor;
    // It could start a task of the step now.
    bool has_room = false;
    // It is in the rack that the step prefers, or the step prefers none.
    bool is_on_rack = true;
};

// Requests name a bounded number of executors. Successive ones go through all candidates, so that
// each executor that may run the step is found, and then begin anew.
class step_permits {
public:
    // Drops the tickets that are no longer valid.
    void expire(instant now);
    // By executor; valid at the time of the last expire().
    [[nodiscard]] const std::map<executor_id, std::string>& tickets() const noexcept {
        return tickets_;
    }
    // The executors to ask for now, the most useful first; empty if no request is due.
    [[nodiscard]] std::vector<executor_id> begin_request(std::vector<permit_candidate> candidates,
                                                         instant now);
    // The answer to a request for `asked`.
    void granted(const std::vector<executor_id>& asked, const std::vector<permit>& permits,
                 instant valid_until);
    void request_failed(instant now);
    // The executor has refused its ticket, or has ended: what is known of it no longer holds.
    void forget(const executor_id& executor);

private:
    std::map<executor_id, std::string> tickets_;
    std::map<executor_id, instant> valid_until_;
    // Executors that were allowed when they were last asked for.
    std::set<executor_id> allowed_;
    // Executors that the service was asked for, with an answer, since the last of them began anew.
    std::set<executor_id> asked_;
    // No request is due before, nor one for executors without room.
    instant next_request_at_;
    instant next_full_request_at_;
};

}  // namespace tanagerpaddle::dispatch
