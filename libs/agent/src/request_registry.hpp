#pragma once

// Which requests this agent has accepted, runs, has run or must not run. Decides whether a request
// may run, so that a non-idempotent one runs at most once, and answers cancels.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {

struct request_registry_options {
    // How long an id is remembered after its request's deadline. Longer than any cancel call of an
    // entry, so that an answer `not_run` never concerns a request that has been forgotten.
    milliseconds margin{30'000};
    // How long a cancel that came before its request is remembered.
    milliseconds early_cancel_time{600'000};
    std::size_t most_records = 65'536;
    // Answers of non-idempotent requests that are kept to be given again.
    std::size_t most_answers = 4'096;
    std::size_t most_answer_bytes = 16'777'216;
    // Hashes of expired ids, so that a cancel that comes too late is not answered not_run.
    std::size_t most_expired = 131'072;
    // Off only in the test that shows the double run.
    bool refuse_known = true;
};

struct stored_answer {
    int status = 200;
    std::string content_type;
    std::string body;
    // Hash of the request; the answer is only given to the same request.
    std::uint64_t request_hash = 0;
};

// Whether a request may be accepted.
struct registry_verdict {
    // ok: it is not known or may run again.
    result_code code = result_code::ok;
    // The answer of the earlier run, if it is still kept; the code is then ok.
    std::optional<stored_answer> answer;
};

// Not thread-safe. A request is accepted, then either begun and finished, or dropped.
class request_registry {
public:
    request_registry(const request_registry_options& options, incarnation_number incarnation,
                     const clock& time)
        : options_(options), incarnation_(incarnation), time_(time) {}

    // duplicate_request, or cancelled_not_run, if the request must not run; an answer, if it ran.
    [[nodiscard]] registry_verdict check(const request_id& id, bool is_idempotent);
    // Records a request that check() lets pass. overloaded, without effect, if there is no room
    // for the id or for the answer.
    [[nodiscard]] result_code accept(const request_id& id, bool is_idempotent, deadline limit);
    // The accepted request is going to be sent to the target.
    void begin(const request_id& id);
    // The target answered, or may still run it: `answer` is then empty.
    void finish(const request_id& id, std::optional<stored_answer> answer);
    // The request had begun, but the target certainly did not get it; its id may come again.
    void take_back(const request_id& id);
    // The accepted request was refused before begin(); its id may come again.
    void drop(const request_id& id);
    // Withdraws the request if it has not begun. See agent.cancel.
    [[nodiscard]] cancel_outcome cancel(const cancel_request& request);
    // True if a cancel has withdrawn the id.
    [[nodiscard]] bool is_withdrawn(const request_id& id) const;

    [[nodiscard]] std::size_t record_count() const noexcept { return records_.size(); }
    [[nodiscard]] std::size_t answer_bytes() const noexcept { return answer_bytes_; }

private:
    struct record {
        bool is_idempotent = false;
        bool is_withdrawn = false;
        // Has begun at least once.
        bool has_begun = false;
        // Idempotent requests with one id may wait and run several at a time.
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        deadline limit;
        std::optional<stored_answer> answer;
        // Unset while the request waits or runs.
        std::optional<instant> expires_at;
    };

    void expire();
    void forget(const request_id& id);
    void set_expiry(const request_id& id, record& item, instant when);
    void clear_expiry(const request_id& id, record& item);
    void drop_answer(record& item);
    // Drops answers whose deadline has passed until both bounds hold; false if they do not.
    [[nodiscard]] bool make_answer_room();
    // False if all records are of requests that may not be forgotten yet.
    [[nodiscard]] bool make_record_room();

    request_registry_options options_;
    incarnation_number incarnation_;
    const clock& time_;
    std::unordered_map<request_id, record> records_;
    std::set<std::pair<instant, request_id>> expiries_;
    // Ids with a kept answer, oldest deadline first.
    std::set<std::pair<instant, request_id>> answers_;
    std::size_t answer_bytes_ = 0;
    std::deque<std::uint64_t> expired_order_;
    std::unordered_set<std::uint64_t> expired_;
};

}  // namespace tanagerpaddle
