#pragma once

// The cancellations of jobs that are not stored, and the removal of their rows.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tanagerpaddle/dispatch_node.hpp"

namespace tanagerpaddle::dispatch {

// Decides which rows to remove. A removal requires that the row has not been written since it was
// read and that the job is not stored, so it may be carried out late, or by an earlier owner. Rows
// change here only with add and erase, which follow the watch of the table: the answer to a removal
// decides only when it is attempted again.
class early_cancellations {
public:
    // Each removal takes three of the 100 entries of a transaction.
    static constexpr std::size_t max_removals_per_write = 32;

    // A row may be removed `lifetime` after it was first read in its newest version.
    early_cancellations(const clock& time, milliseconds lifetime);

    // The row of a cancellation was read, and the job is not stored.
    void add(const job_id& job, row_version version);
    // The job is stored, or the row is removed.
    void erase(const job_id& job);
    // The jobs whose rows are not among `stored`, the keys of cancellations.
    [[nodiscard]] std::vector<job_id> missing_in(const std::set<std::string>& stored) const;
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

    // The next removal, of rows of one part; nullopt if none is due, or if the last one has not
    // been answered.
    [[nodiscard]] std::optional<row_transaction> begin_removal();
    // The answer to the transaction that begin_removal returned.
    void end_removal(const transaction_result& result);

private:
    struct row {
        row_version version;
        instant removable_at;
    };
    using queue = std::set<std::pair<instant, job_id>>;

    [[nodiscard]] const queue* next_due() const;
    void postpone(const job_id& job, row_version version);

    const clock& time_;
    milliseconds lifetime_;
    std::unordered_map<job_id, row> rows_;
    // The same rows by part, in the order of their times.
    std::map<std::string, queue> queues_;
    // What the removal in progress removes.
    std::map<job_id, row_version> removing_;
    instant next_attempt_at_;
};

}  // namespace tanagerpaddle::dispatch
