#pragma once

#include <mutex>
#include <set>

#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

// Makes sure that a non-idempotent request id is dispatched once: by a row of the table that only
// one entry can create, or within this entry only. Thread-safe.
class request_claims {
public:
    request_claims(table& rows, entry_info self, const clock& time)
        : rows_(rows), self_(std::move(self)), time_(time) {}

    // Takes the id. Throws error(duplicate_request) if it was taken before,
    // error(store_unavailable) if that cannot be known now; nothing runs in both cases.
    void claim(const request_id& id, duplicate_scope scope);
    // Gives the id back after a request that certainly did not run, so that it may be sent again.
    void release(const request_id& id, duplicate_scope scope);
    // Deletes rows older than the retention; called by one entry from time to time. Returns the
    // number of rows deleted.
    std::size_t sweep();

private:
    void claim_in_table(const request_id& id);

    table& rows_;
    entry_info self_;
    const clock& time_;
    std::mutex mutex_;
    std::set<request_id> local_;
};

}  // namespace tanagerpaddle
