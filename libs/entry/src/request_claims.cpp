#include "request_claims.hpp"

#include <charconv>
#include <chrono>

namespace tanagerpaddle {

namespace {

// How long a repeated request id is recognised.
constexpr milliseconds claim_retention = std::chrono::hours(24);
constexpr std::size_t sweep_page_rows = 200;
constexpr int most_commit_tries = 3;
// Ids of entry scope that are remembered at most; the set is emptied beyond it.
constexpr std::size_t most_local_ids = 1'000'000;

// "<claimed at, UTC ms> <entry> <incarnation> <token>"
std::int64_t claimed_at(const std::string& value) {
    std::int64_t time = 0;
    std::from_chars(value.data(), value.data() + value.size(), time);
    return time;
}

}  // namespace

void request_claims::claim(const request_id& id, duplicate_scope scope) {
    {
        const std::lock_guard lock(mutex_);
        if (local_.size() >= most_local_ids) {
            throw error(result_code::overloaded, "too many request ids are remembered");
        }
        if (!local_.insert(id).second) {
            throw error(result_code::duplicate_request,
                        "request " + id.value() + " was sent before");
        }
    }
    if (scope == duplicate_scope::everywhere) {
        try {
            claim_in_table(id);
        } catch (const error&) {
            const std::lock_guard lock(mutex_);
            local_.erase(id);
            throw;
        }
        const std::lock_guard lock(mutex_);
        local_.erase(id);
    }
}

void request_claims::claim_in_table(const request_id& id) {
    const std::string value = std::to_string(time_.utc_now().value()) + " " + self_.id.value() +
                              " " + std::to_string(self_.incarnation.value()) + " " +
                              to_hex(random_seed());
    const table_transaction create{
        {{request_key(id), row_version()}}, {{request_key(id), value}}, {}};
    for (int tries = 0; tries < most_commit_tries; ++tries) {
        try {
            if (rows_.commit(create).committed) {
                return;
            }
            const auto present = rows_.read(request_key(id));
            if (present && present->value == value) {
                return;
            }
            throw error(result_code::duplicate_request,
                        "request " + id.value() + " was sent before");
        } catch (const error& failure) {
            if (failure.code() != result_code::store_outcome_unknown) {
                throw;
            }
        }
    }
    throw error(result_code::store_unavailable,
                "whether request " + id.value() + " was sent before cannot be known now");
}

void request_claims::release(const request_id& id, duplicate_scope scope) {
    if (scope == duplicate_scope::entry) {
        const std::lock_guard lock(mutex_);
        local_.erase(id);
        return;
    }
    try {
        (void)rows_.commit({{}, {}, {request_key(id)}});
    } catch (const error&) {
        // The id stays taken: a repeated request is refused, which is safe.
    }
}

std::size_t request_claims::sweep() {
    const std::int64_t oldest = time_.utc_now().value() - claim_retention.count();
    std::size_t deleted = 0;
    std::string after;
    while (true) {
        const auto page = rows_.scan("request/", after, sweep_page_rows);
        table_transaction removal;
        for (const auto& row : page) {
            if (claimed_at(row.value) < oldest) {
                removal.conditions.push_back({row.key, row.version});
                removal.deletes.push_back(row.key);
            }
        }
        if (!removal.deletes.empty() && rows_.commit(removal).committed) {
            deleted += removal.deletes.size();
        }
        if (page.size() < sweep_page_rows) {
            return deleted;
        }
        after = page.back().key;
    }
}

}  // namespace tanagerpaddle
