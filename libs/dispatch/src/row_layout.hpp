#pragma once

// Which progress row holds which tasks of a job.

#include <cstdint>
#include <functional>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Assigns the tasks of a job to rows in the order occurrence, step, index, and fills each row in
// turn. A gang that does not fit in what is left of a row begins a new one: its rows are written
// together, and no row may belong to two gangs of several rows. The layout is part of the stored
// format. It is computed, so that its memory does not follow the number of occurrences.
class row_layout {
public:
    row_layout() = default;
    row_layout(const job_spec& job, std::uint32_t tasks_per_row);

    [[nodiscard]] std::uint32_t row_count() const noexcept { return row_count_; }
    // The key must name a task of the job.
    [[nodiscard]] std::uint32_t row_of(const task_key& key) const;
    // Calls `visit` with occurrence, step and index of each task of the row.
    void for_each_task(
        std::uint32_t row,
        const std::function<void(std::uint32_t, std::uint32_t, std::uint32_t)>& visit) const;

    // Rows from `first` to `last` are written in one transaction.
    struct row_group {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
    };
    [[nodiscard]] row_group group_of(std::uint32_t row) const;

private:
    struct step_shape {
        std::uint32_t task_count = 0;
        bool is_gang = false;
    };
    // A task, by its place in the order.
    struct place {
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
    };

    // The positions of tasks count those that rows leave free before a gang.
    [[nodiscard]] std::uint64_t begin_of(std::uint32_t occurrence) const;
    [[nodiscard]] std::uint32_t occurrence_at(std::uint64_t position) const;
    // The position of the step's first task, if what is before the step ends at `position`.
    [[nodiscard]] std::uint64_t align(std::uint64_t position, const step_shape& step) const;
    [[nodiscard]] place first_in(std::uint32_t row) const;

    std::vector<step_shape> steps_;
    std::uint32_t occurrences_ = 0;
    std::uint32_t tasks_per_row_ = 1;
    std::uint32_t row_count_ = 1;
    // Where the first occurrences begin. How much an occurrence takes follows from where in a row
    // it begins, so that the distances recur: from `cycle_begin_` on, each `cycle_length_`
    // occurrences take `cycle_size_` positions.
    std::vector<std::uint64_t> begins_;
    std::uint32_t cycle_begin_ = 0;
    std::uint32_t cycle_length_ = 1;
    std::uint64_t cycle_size_ = 1;
};

}  // namespace tanagerpaddle::dispatch
