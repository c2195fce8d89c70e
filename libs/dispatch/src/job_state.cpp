#include "job_state.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch {

namespace {

bool may_be_placed(const task_state& task, bool is_gang) {
    return task.phase == task_phase::waiting && (task.orphaned_runs == 0 || is_gang);
}

}  // namespace

// ---------------------------------------------------------------------------------------------
// Steps

task_state* step_state::find(std::uint32_t index) {
    const auto found = tasks_.find(index);
    return found == tasks_.end() ? nullptr : &found->second;
}

const task_state* step_state::find(std::uint32_t index) const {
    const auto found = tasks_.find(index);
    return found == tasks_.end() ? nullptr : &found->second;
}

task_state& step_state::open(std::uint32_t index) {
    const auto [position, is_new] = tasks_.try_emplace(index);
    if (is_new) {
        position->second.without_run_since = without_run_since;
    }
    return position->second;
}

void step_state::mark_succeeded(std::uint32_t index) {
    succeeded_.insert(index);
    if (auto* task = find(index); task != nullptr) {
        task->phase = task_phase::succeeded;
    }
}

void step_state::mark_all_succeeded() {
    succeeded_ = index_set::first(task_count_);
}

void step_state::reset(std::uint32_t index) {
    succeeded_.erase(index);
    tasks_.erase(index);
}

index_set step_state::waiting(bool is_gang) const {
    index_set result;
    auto done = succeeded_.ranges().begin();
    auto task = tasks_.begin();
    for (std::uint32_t next = 0; next < task_count_;) {
        if (done != succeeded_.ranges().end() && done->begin == next) {
            next = done->end;
            ++done;
            continue;
        }
        while (task != tasks_.end() && task->first < next) {
            ++task;
        }
        // All tasks up to the next one that does not wait.
        const auto limit = done != succeeded_.ranges().end() ? done->begin : task_count_;
        while (task != tasks_.end() && task->first < limit &&
               may_be_placed(task->second, is_gang)) {
            ++task;
        }
        const bool is_interrupted = task != tasks_.end() && task->first < limit;
        const auto end = is_interrupted ? task->first : limit;
        result.append(next, end);
        next = is_interrupted ? end + 1 : end;
    }
    return result;
}

void step_state::discard_ended(bool has_job_ended) {
    std::erase_if(tasks_, [&](const auto& entry) {
        const auto& task = entry.second;
        return (has_job_ended || task.phase == task_phase::succeeded) && !task.instance &&
               task.orphaned_runs == 0;
    });
}

// ---------------------------------------------------------------------------------------------
// Occurrences

bool occurrence_state::is_done() const noexcept {
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_state& step) { return step.is_done(); });
}

bool occurrence_state::is_untouched() const noexcept {
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_state& step) { return step.is_untouched(); });
}

bool occurrence_state::has_tasks() const noexcept {
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_state& step) { return !step.tasks().empty(); });
}

void occurrence_table::reset(const job_spec& job) {
    task_counts_.clear();
    for (const auto& step : job.steps) {
        task_counts_.push_back(step.task_count);
    }
    count_ = std::max(1U, job.occurrences);
    kept_.clear();
    over_.clear();
}

bool occurrence_table::are_done() const {
    return kept_.size() + over_.size() == count_ &&
           std::all_of(kept_.begin(), kept_.end(),
                       [](const auto& entry) { return entry.second.is_done(); });
}

occurrence_state* occurrence_table::find(std::uint32_t occurrence) {
    const auto found = kept_.find(occurrence);
    return found == kept_.end() ? nullptr : &found->second;
}

occurrence_state& occurrence_table::open(std::uint32_t occurrence) {
    const auto [position, is_new] = kept_.try_emplace(occurrence);
    auto& opened = position->second;
    if (is_new) {
        const bool was_over = over_.erase(occurrence);
        for (const auto count : task_counts_) {
            auto& step = opened.steps.emplace_back(count);
            if (was_over) {
                step.mark_all_succeeded();
            }
        }
    }
    return opened;
}

void occurrence_table::discard_ended(bool has_job_ended) {
    for (auto entry = kept_.begin(); entry != kept_.end();) {
        const bool is_over = discard_ended(entry->first, entry->second, has_job_ended);
        entry = is_over ? kept_.erase(entry) : std::next(entry);
    }
}

void occurrence_table::discard_ended(std::uint32_t occurrence, bool has_job_ended) {
    const auto found = kept_.find(occurrence);
    if (found != kept_.end() && discard_ended(occurrence, found->second, has_job_ended)) {
        kept_.erase(found);
    }
}

bool occurrence_table::discard_ended(std::uint32_t number, occurrence_state& occurrence,
                                     bool has_job_ended) {
    for (auto& step : occurrence.steps) {
        step.discard_ended(has_job_ended);
    }
    if (occurrence.has_tasks()) {
        return false;
    }
    const bool is_done = occurrence.is_done();
    if (is_done) {
        over_.insert(number);
    }
    return is_done || has_job_ended;
}

std::uint64_t occurrence_table::tasks_each() const noexcept {
    std::uint64_t sum = 0;
    for (const auto count : task_counts_) {
        sum += count;
    }
    return sum;
}

}  // namespace tanagerpaddle::dispatch
