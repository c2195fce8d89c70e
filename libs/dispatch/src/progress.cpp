// Progress rows: reading them after a takeover, and writing them.

#include <algorithm>
#include <iterator>
#include <utility>

#include "coordinator_state.hpp"

namespace tanagerpaddle::dispatch {

// ---------------------------------------------------------------------------------------------
// Restoring

void coordinator::state::clear_row(job_state& job, std::uint32_t row) {
    job.layout.for_each_task(row, [&](std::uint32_t k, std::uint32_t s, std::uint32_t i) {
        if (job.occurrences.find(k) == nullptr && !job.occurrences.is_over(k)) {
            return;
        }
        auto& step = open_occurrence(job, k).steps[s];
        if (auto* task = step.find(i); task != nullptr) {
            unassign({job.submitted.id, k, s, i}, *task);
        }
        step.reset(i);
    });
}

void coordinator::state::clear_progress(job_state& job) {
    for (auto& [k, occurrence] : job.occurrences.kept()) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            for (auto& [i, task] : occurrence.steps[s].tasks()) {
                unassign({job.submitted.id, k, s, i}, task);
            }
        }
    }
    job.occurrences.reset(job.submitted.spec);
}

void coordinator::state::restore_history(const task_key& key, task_state& task,
                                         const progress_record& record,
                                         const progress_record::history& entry,
                                         const run_ends& ends_by) {
    task.run = entry.run;
    task.failures = entry.failures;
    task.checkpoint = entry.checkpoint;
    task.crashes = entry.crashes;
    if (task.crashes.suspected > 0) {
        task.phase_since = time.now();  // begins to wait for an instance of its own
    }
    if (entry.instance.empty()) {
        return;
    }
    const auto instance = instance_index(entry.instance);
    instances[instance].expires_at = ends_by.listed;
    task.phase = task_phase::starting;
    task.phase_since = time.now();
    task.started_at = task.phase_since;
    task.is_listed = record.listed.count({key.occurrence, key.step, key.index}) != 0;
    task.unlisted_until = ends_by.unlisted;
    if (const auto executor = record.executors.find(entry.instance);
        executor != record.executors.end()) {
        task.incarnation = executor->second;
    }
    assign(key, task, instance);
}

bool coordinator::state::restore_entries(job_state& job, const progress_record& record,
                                         std::uint32_t row, const run_ends& ends_by) {
    bool is_consistent = true;
    // The step of an entry's task, unless the entry does not count.
    const auto step_to_restore = [&](const task_key& key) -> step_state* {
        if (!has_task(key)) {
            is_consistent = false;
            return nullptr;
        }
        const auto own_row = job.layout.row_of(key);
        if (own_row != row && job.restored_rows.contains(own_row)) {
            is_consistent = is_consistent && row == 0;
            return nullptr;
        }
        auto& step = open_occurrence(job, key.occurrence).steps[key.step];
        // Each task counts once: its demand, or its success, would be counted twice.
        const bool is_restored = step.has_succeeded(key.index) || step.find(key.index) != nullptr;
        if ((own_row != row && row != 0) || is_restored) {
            is_consistent = false;
            return nullptr;
        }
        if (own_row != row) {
            job.writes_first_row_last = true;
            mark_dirty(job, own_row);
            mark_dirty(job, row);
        }
        return &step;
    };
    for (const auto& [k, s, i] : record.succeeded) {
        if (auto* step = step_to_restore({job.submitted.id, k, s, i}); step != nullptr) {
            step->mark_succeeded(i);
        }
    }
    for (const auto& entry : record.histories) {
        const task_key key{job.submitted.id, entry.occurrence, entry.step, entry.index};
        if (auto* step = step_to_restore(key); step != nullptr) {
            restore_history(key, step->open(key.index), record, entry, ends_by);
        }
    }
    return is_consistent;
}

namespace {

// A start in the row may never have been sent, or may have come to nothing.
bool shows_begun_run(const progress_record& record) {
    return !record.succeeded.empty() ||
           std::any_of(record.histories.begin(), record.histories.end(), [](const auto& history) {
               return history.failures > 0 || !history.checkpoint.empty() ||
                      history.crashes.confirmed > 0;
           });
}

}  // namespace

bool coordinator::restore(const job_id& id, std::string_view value, instant expires_at,
                          std::uint32_t number) {
    return restore(id, value, run_ends{expires_at, expires_at}, number);
}

bool coordinator::restore(const job_id& id, std::string_view value, const run_ends& ends_by,
                          std::uint32_t number) {
    if (state_->ended_jobs.contains(id)) {
        return true;
    }
    const auto record = decode_progress(value);
    auto* job = state_->find_job(id);
    if (!record || job == nullptr || number >= job->layout.row_count()) {
        return false;
    }
    if (number == 0) {
        job->durable_phase = record->phase;
    }
    if (job->is_terminal()) {
        return true;  // cancelled; inventories report what still runs
    }
    if (number == 0 && record->phase != job_phase::pending) {
        job->phase = record->phase;
    }
    if (job->is_terminal()) {
        state_->clear_progress(*job);
        coordinator::state::drop_writes(*job);
        state_->active_jobs.erase(id);
        state_->mark_started(*job);
        state_->forget_if_over(id);
        return true;
    }
    state_->clear_row(*job, number);
    job->restored_rows.insert(number);
    job->has_rows = true;
    const bool has_known_steps = state_->restore_waits(*job, *record);
    const bool is_consistent =
        state_->restore_entries(*job, *record, number, ends_by) && has_known_steps;
    if (shows_begun_run(*record)) {
        state_->mark_started(*job);
    }
    if (!record->succeeded.empty() || !record->histories.empty()) {
        if (job->phase == job_phase::pending) {
            job->phase = job_phase::running;  // the first row is missing, or is restored later
            state_->mark_dirty(*job, 0);
        }
    }
    // Before the next row is read, since most of a job may be over.
    std::set<std::uint32_t> occurrences;
    job->layout.for_each_task(
        number, [&](std::uint32_t k, std::uint32_t, std::uint32_t) { occurrences.insert(k); });
    for (const auto k : occurrences) {
        job->occurrences.discard_ended(k, false);
    }
    return is_consistent;
}

// ---------------------------------------------------------------------------------------------
// Writing

void coordinator::state::queue_write(job_state& job) {
    job.has_rows = true;
    if (!job.is_dirty) {
        job.is_dirty = true;
        dirty_jobs.push_back(job.submitted.id);
    }
}

void coordinator::state::mark_dirty(job_state& job, std::uint32_t row) {
    job.dirty_rows.insert(row);
    queue_write(job);
}

void coordinator::state::mark_dirty(const task_key& key) {
    auto& job = *find_job(key.job);
    mark_dirty(job, job.layout.row_of(key));
}

void coordinator::state::drop_writes(job_state& job) {
    job.dirty_rows.clear();
    job.pending_starts.clear();
    job.batch = {};
}

bool coordinator::has_writes() const {
    return !state_->active_write && !state_->dirty_jobs.empty();
}

// The next rows of the job's batch that must be written in one transaction.
std::vector<progress_row> coordinator::state::next_group(const job_state& job) const {
    const auto& pending = job.batch.rows;
    auto next = pending.begin();
    if (job.writes_first_row_last) {
        const auto other = std::find_if(pending.begin(), pending.end(), [&](std::uint32_t row) {
            return job.layout.group_of(row).first != 0;
        });
        next = other == pending.end() ? next : other;
    }
    const auto written_together = job.layout.group_of(*next);
    std::vector<progress_row> group;
    for (auto row = written_together.first; row <= written_together.last; ++row) {
        // The members of a gang change together, also those that changed after the batch began.
        if (pending.count(row) != 0 || job.dirty_rows.count(row) != 0) {
            group.push_back({job.submitted.id, encode_progress(job, row, instances), row});
        }
    }
    return group;
}

// Adds whole groups of rows while they fit. An empty write takes a group of any size, which would
// never be written otherwise.
bool coordinator::state::add_rows(job_state& job, std::vector<progress_row>& rows,
                                  std::size_t& bytes) {
    auto& batch = job.batch;
    job_write written{job.submitted.id, job.phase, {}, {}, batch.is_partly_written};
    if (!batch.is_partly_written) {
        batch.rows.merge(job.dirty_rows);
        job.dirty_rows.clear();
        std::move(job.pending_starts.begin(), job.pending_starts.end(),
                  std::back_inserter(batch.starts));
        job.pending_starts.clear();
    }
    while (!batch.rows.empty()) {
        auto group = next_group(job);
        std::size_t group_bytes = 0;
        for (const auto& row : group) {
            group_bytes += row.value.size();
        }
        if (!rows.empty() && (rows.size() + group.size() > config.max_rows_per_write ||
                              bytes + group_bytes > config.max_bytes_per_write)) {
            break;
        }
        bytes += group_bytes;
        for (auto& row : group) {
            batch.rows.erase(row.number);
            written.rows.push_back(row.number);
            rows.push_back(std::move(row));
        }
    }
    const bool is_complete = batch.rows.empty();
    if (is_complete) {
        written.starts = std::exchange(batch.starts, {});
    }
    batch.is_partly_written = !is_complete && (batch.is_partly_written || !written.rows.empty());
    if (!written.rows.empty() || !written.starts.empty()) {
        active_write->jobs.push_back(std::move(written));
    }
    return is_complete && job.dirty_rows.empty();
}

std::vector<progress_row> coordinator::begin_write() {
    check_invariant(!state_->active_write, "a second write was begun while one is in progress");
    auto& write = state_->active_write.emplace();
    std::vector<progress_row> rows;
    std::size_t bytes = 0;
    while (!state_->dirty_jobs.empty() && rows.size() < state_->config.max_rows_per_write) {
        auto& job = *state_->find_job(state_->dirty_jobs.front());
        const auto row_count = rows.size();
        const bool is_done = state_->add_rows(job, rows, bytes);
        if (is_done || rows.size() > row_count) {
            state_->dirty_jobs.pop_front();
            job.is_dirty = false;
        }
        if (!is_done) {
            // A job of many rows lets the others go first.
            state_->queue_write(job);
            break;
        }
    }
    if (state_->dirty_jobs.empty()) {
        for (std::size_t i = 0; i < state_->instances.size(); ++i) {
            write.completions.emplace_back(i, state_->instances[i].processed_completion);
        }
    }
    return rows;
}

void coordinator::state::send_starts(job_write& written) {
    for (auto& start : written.starts) {
        auto* task = find_task(start.order.task);
        auto& instance = instances[start.instance];
        if (task == nullptr || task->phase != task_phase::placed || task->run != start.order.run) {
            continue;
        }
        if (!instance.executor || instance.executor->incarnation != start.order.incarnation ||
            instance.executor->is_draining) {
            withdraw(start.order.task);
            continue;
        }
        task->phase = task_phase::starting;
        task->phase_since = time.now();
        task->started_at = task->phase_since;
        task->sent_at = task->phase_since;
        task->is_listed = false;
        task->unlisted_until = task->phase_since + config.timing.start_expiry_delay();
        instance.last_start_at = task->phase_since;
        // It may have changed since the placement and still suffice.
        start.order.capacity = instance.executor->capacity;
        orders.start(instance.name, start.order);
    }
}

void coordinator::write_done() {
    auto write = std::move(*state_->active_write);
    state_->active_write.reset();
    state_->has_failed_write = false;
    for (const auto& written : write.jobs) {
        auto& job = *state_->find_job(written.job);
        if (std::find(written.rows.begin(), written.rows.end(), 0U) != written.rows.end()) {
            job.durable_phase = written.phase;
            job.writes_first_row_last = false;
            if (is_terminal(written.phase)) {
                state_->discard_later(written.job);
            }
        }
    }
    for (auto& written : write.jobs) {
        state_->send_starts(written);
    }
    for (const auto& [index, number] : write.completions) {
        auto& instance = state_->instances[index];
        if (instance.is_linked && instance.executor && number > instance.acknowledged_completion &&
            number <= instance.processed_completion) {
            instance.acknowledged_completion = number;
            state_->orders.acknowledge(instance.name, instance.executor->incarnation, number);
        }
    }
}

void coordinator::state::flush_acknowledgements() {
    if (active_write || !dirty_jobs.empty()) {
        return;
    }
    for (auto& instance : instances) {
        if (instance.is_linked && instance.executor &&
            instance.processed_completion > instance.acknowledged_completion) {
            instance.acknowledged_completion = instance.processed_completion;
            orders.acknowledge(instance.name, instance.executor->incarnation,
                               instance.processed_completion);
        }
    }
}

void coordinator::write_failed() {
    auto write = std::move(*state_->active_write);
    state_->active_write.reset();
    state_->has_failed_write = true;
    for (auto& written : write.jobs) {
        auto& job = *state_->find_job(written.job);
        if (job.is_terminal()) {
            state_->mark_dirty(job, 0);
            continue;
        }
        auto& batch = job.batch;
        batch.rows.insert(written.rows.begin(), written.rows.end());
        batch.starts.insert(batch.starts.begin(), written.starts.begin(), written.starts.end());
        batch.is_partly_written = written.was_partly_written;
        state_->queue_write(job);
    }
}

}  // namespace tanagerpaddle::dispatch
