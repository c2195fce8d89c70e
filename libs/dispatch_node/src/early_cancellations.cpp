#include "early_cancellations.hpp"

#include "owner_session.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Pause after a removal that the store has not answered or has rejected.
constexpr milliseconds retry_delay{1'000};

std::string cancellation_key(const job_id& job) {
    return job.value() + cancel_suffix;
}

}  // namespace

early_cancellations::early_cancellations(const clock& time, milliseconds lifetime)
    : time_(time), lifetime_(lifetime) {}

void early_cancellations::add(const job_id& job, row_version version) {
    const auto found = rows_.find(job);
    if (found != rows_.end() && found->second.version == version) {
        return;
    }
    erase(job);
    const instant removable_at = time_.now() + lifetime_;
    rows_.insert({job, {version, removable_at}});
    queues_[part_of(job)].insert({removable_at, job});
}

void early_cancellations::erase(const job_id& job) {
    const auto found = rows_.find(job);
    if (found == rows_.end()) {
        return;
    }
    queues_[part_of(job)].erase({found->second.removable_at, job});
    rows_.erase(found);
}

std::vector<job_id> early_cancellations::missing_in(const std::set<std::string>& stored) const {
    std::vector<job_id> missing;
    for (const auto& [job, known] : rows_) {
        if (!stored.contains(cancellation_key(job))) {
            missing.push_back(job);
        }
    }
    return missing;
}

const early_cancellations::queue* early_cancellations::next_due() const {
    const queue* next = nullptr;
    for (const auto& [part, candidate] : queues_) {
        if (!candidate.empty() &&
            (next == nullptr || candidate.begin()->first < next->begin()->first)) {
            next = &candidate;
        }
    }
    const bool is_due = next != nullptr && next->begin()->first <= time_.now();
    return is_due ? next : nullptr;
}

std::optional<row_transaction> early_cancellations::begin_removal() {
    const instant now = time_.now();
    if (!removing_.empty() || now < next_attempt_at_) {
        return std::nullopt;
    }
    const auto* due = next_due();
    if (due == nullptr) {
        return std::nullopt;
    }
    row_transaction transaction;
    transaction.part = part_of(due->begin()->second);
    for (const auto& [removable_at, job] : *due) {
        if (removable_at > now || removing_.size() == max_removals_per_write) {
            break;
        }
        const auto version = rows_.at(job).version;
        transaction.conditions.push_back({job_table, cancellation_key(job), version});
        transaction.conditions.push_back({job_table, job.value(), row_version(0)});
        transaction.removals.push_back({job_table, cancellation_key(job)});
        removing_.insert({job, version});
    }
    return transaction;
}

void early_cancellations::end_removal(const transaction_result& result) {
    const auto attempted = std::exchange(removing_, {});
    if (result.outcome != store_outcome::done && result.outcome != store_outcome::conflict) {
        next_attempt_at_ = time_.now() + retry_delay;
        return;
    }
    // Rows that the watch will report: those removed, and after a conflict those that have changed.
    auto changed = attempted;
    if (result.outcome == store_outcome::conflict) {
        changed.clear();
        for (const auto& [job, version] : attempted) {
            for (const auto& current : result.current) {
                const auto& key = current.address.key;
                const bool is_stored = key == job.value() && current.version != row_version(0);
                const bool is_rewritten =
                    key == cancellation_key(job) && current.version != version;
                if (is_stored || is_rewritten) {
                    changed.insert({job, version});
                }
            }
        }
    }
    // A conflict that names no row would otherwise be repeated at once.
    for (const auto& [job, version] : changed.empty() ? attempted : changed) {
        postpone(job, version);
    }
}

void early_cancellations::postpone(const job_id& job, row_version version) {
    const auto found = rows_.find(job);
    if (found != rows_.end() && found->second.version == version) {
        erase(job);
        add(job, version);
    }
}

}  // namespace tanagerpaddle::dispatch
