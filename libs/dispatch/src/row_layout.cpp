#include "row_layout.hpp"

#include <algorithm>
#include <map>

namespace tanagerpaddle::dispatch {

row_layout::row_layout(const job_spec& job, std::uint32_t tasks_per_row)
    : occurrences_(std::max(1U, job.occurrences)), tasks_per_row_(tasks_per_row) {
    for (const auto& step : job.steps) {
        steps_.push_back({step.task_count, step.is_gang});
    }
    const bool has_gangs =
        std::any_of(steps_.begin(), steps_.end(), [](const auto& step) { return step.is_gang; });
    // By the position in the row at which an occurrence begins; only gangs depend on it.
    std::map<std::uint64_t, std::uint32_t> seen;
    std::uint64_t position = 0;
    for (std::uint32_t k = 0;; ++k) {
        const auto [earlier, is_new] =
            seen.try_emplace(has_gangs ? position % tasks_per_row_ : 0, k);
        if (!is_new) {
            cycle_begin_ = earlier->second;
            cycle_length_ = k - cycle_begin_;
            cycle_size_ = std::max<std::uint64_t>(1, position - begins_[cycle_begin_]);
            break;
        }
        begins_.push_back(position);
        for (const auto& step : steps_) {
            position = align(position, step) + step.task_count;
        }
    }
    const auto end = begin_of(occurrences_);
    row_count_ = end == 0 ? 1 : static_cast<std::uint32_t>((end - 1) / tasks_per_row_) + 1;
}

std::uint64_t row_layout::begin_of(std::uint32_t occurrence) const {
    if (occurrence < begins_.size()) {
        return begins_[occurrence];
    }
    const auto cycles = (occurrence - cycle_begin_) / cycle_length_;
    return begins_[cycle_begin_ + (occurrence - cycle_begin_) % cycle_length_] +
           cycles * cycle_size_;
}

std::uint32_t row_layout::occurrence_at(std::uint64_t position) const {
    const auto cycle_position = begins_[cycle_begin_];
    std::uint64_t cycles = 0;
    if (position >= cycle_position) {
        cycles = (position - cycle_position) / cycle_size_;
        position -= cycles * cycle_size_;
    }
    const auto next = std::upper_bound(begins_.begin(), begins_.end(), position);
    return static_cast<std::uint32_t>(next - begins_.begin() - 1) +
           static_cast<std::uint32_t>(cycles * cycle_length_);
}

std::uint64_t row_layout::align(std::uint64_t position, const step_shape& step) const {
    const auto used = position % tasks_per_row_;
    const bool begins_row = step.is_gang && used > 0 && used + step.task_count > tasks_per_row_;
    return begins_row ? position + tasks_per_row_ - used : position;
}

std::uint32_t row_layout::row_of(const task_key& key) const {
    auto position = begin_of(key.occurrence);
    for (std::uint32_t s = 0; s < key.step; ++s) {
        position = align(position, steps_[s]) + steps_[s].task_count;
    }
    position = align(position, steps_[key.step]) + key.index;
    return static_cast<std::uint32_t>(position / tasks_per_row_);
}

row_layout::place row_layout::first_in(std::uint32_t row) const {
    const auto wanted = std::uint64_t{row} * tasks_per_row_;
    for (auto k = occurrence_at(wanted); k < occurrences_; ++k) {
        auto position = begin_of(k);
        for (std::uint32_t s = 0; s < steps_.size(); ++s) {
            position = align(position, steps_[s]);
            if (position + steps_[s].task_count > wanted) {
                return {k, s, static_cast<std::uint32_t>(wanted - std::min(wanted, position))};
            }
            position += steps_[s].task_count;
        }
    }
    return {occurrences_, 0, 0};
}

void row_layout::for_each_task(
    std::uint32_t row,
    const std::function<void(std::uint32_t, std::uint32_t, std::uint32_t)>& visit) const {
    const auto end = (std::uint64_t{row} + 1) * tasks_per_row_;
    const auto first = first_in(row);
    for (auto k = first.occurrence; k < occurrences_; ++k) {
        auto position = begin_of(k);
        for (std::uint32_t s = 0; s < steps_.size(); ++s) {
            position = align(position, steps_[s]);
            if (position >= end) {
                return;
            }
            const bool is_first = k == first.occurrence && s == first.step;
            const bool is_before = k == first.occurrence && s < first.step;
            const auto last = std::min<std::uint64_t>(steps_[s].task_count, end - position);
            for (std::uint32_t i = is_first ? first.index : 0; !is_before && i < last; ++i) {
                visit(k, s, i);
            }
            position += steps_[s].task_count;
        }
    }
}

row_layout::row_group row_layout::group_of(std::uint32_t row) const {
    // Tasks of a gang of several rows are the first ones in each of its rows.
    const auto first = first_in(row);
    if (first.occurrence < occurrences_ && steps_[first.step].is_gang) {
        const auto last_index = steps_[first.step].task_count - 1;
        return {row_of({{}, first.occurrence, first.step, 0}),
                row_of({{}, first.occurrence, first.step, last_index})};
    }
    return {row, row};
}

}  // namespace tanagerpaddle::dispatch
