#include "trace.hpp"

namespace tanagerpaddle::soak {

namespace {
constexpr std::size_t lines_kept = 200;
// A start may come this long after the drain of its failure domain was committed.
constexpr milliseconds longest_start_after_drain{5'000};
}  // namespace

instant skewed_clock::now() const {
    const double ns = static_cast<double>(source_.now.count()) * 1e6 * rate_;
    return instant(std::chrono::nanoseconds(static_cast<std::int64_t>(ns)));
}

utc_millis skewed_clock::utc_now() const {
    return utc_millis(source_.now.count());
}

event_trace::event_trace(const virtual_time& time, const std::string& file) : time_(time) {
    if (!file.empty()) {
        file_.open(file, std::ios::app);
    }
}

void event_trace::add(const std::string& text) {
    const std::string line = std::to_string(time_.now.count()) + " " + text;
    hash_ = hash_bytes(to_hex(hash_) + line);
    if (file_.is_open()) {
        file_ << line << '\n';
    }
    last_.push_back(line);
    if (last_.size() > lines_kept) {
        last_.pop_front();
    }
}

void observer::add_worker(const worker_id& worker, const resources& capacity,
                          const failure_domain_id& domain) {
    workers_[worker] = {capacity, domain, {}};
}

void observer::starts(const worker_id& worker, const start_permit& permit) {
    const std::string what = to_string(permit.attempt) + " on " + worker.value();
    trace_.add("start " + what + " from '" + permit.checkpoint + "'");
    ++counts_.started;
    started_jobs_.insert(permit.attempt.task.job);
    worker_view& view = workers_.at(worker);
    const auto drained = drained_since_.find(view.domain);
    check_invariant(
        drained == drained_since_.end() || time_.now <= drained->second + longest_start_after_drain,
        "drain: " + what + " started in a drained failure domain");
    check_invariant(!recorded_finished_.contains(permit.attempt.task),
                    "finished: " + what + " started after it was recorded as finished");
    check_invariant(started_.insert(permit.attempt).second,
                    "resume once: " + what + " was started before with the same attempt");
    const auto claimed = claimed_progress_.find(permit.attempt);
    check_invariant(claimed != claimed_progress_.end(),
                    "claim: " + what + " started without a committed claim");
    check_invariant(progress_of(permit.checkpoint) >= claimed->second,
                    "checkpoint: " + what + " starts behind its recorded checkpoint");
    if (permit.checkpoint.empty() && !jobs_.at(permit.attempt.task.job).is_idempotent) {
        check_invariant(++fresh_starts_[permit.attempt.task] == 1,
                        "at most once: " + what + " is not idempotent and started again");
    }
    view.held[permit.attempt] = permit.demand;
    resources sum;
    for (const auto& [attempt, amount] : view.held) {
        sum += amount;
    }
    check_invariant(sum.fits_in(view.capacity), "resources: " + worker.value() + " holds " +
                                                    to_string(sum) + " of " +
                                                    to_string(view.capacity));
}

void observer::runs(const worker_id& worker, const task_attempt& attempt, bool is_running) {
    auto& places = running_[attempt.task];
    trace_.add((is_running ? "run " : "halt ") + to_string(attempt) + " on " + worker.value());
    if (!is_running) {
        places.erase({worker, attempt});
        return;
    }
    places.insert({worker, attempt});
    check_invariant(places.size() == 1, "two places: " + to_string(attempt) + " on " +
                                            worker.value() + " runs in " +
                                            std::to_string(places.size()) + " places");
}

void observer::leaves(const worker_id& worker, const task_attempt& attempt) {
    running_[attempt.task].erase({worker, attempt});
    workers_.at(worker).held.erase(attempt);
}

void observer::finishes(const worker_id& worker, const task_attempt& attempt) {
    trace_.add("finish " + to_string(attempt) + " on " + worker.value());
    check_invariant(!recorded_finished_.contains(attempt.task),
                    "finished: " + to_string(attempt) + " finished twice");
    ++counts_.finished;
    finished_.insert(attempt);
    finished_tasks_.insert(attempt.task);
}

void observer::checkpoints(const task_attempt& attempt, const std::string& key,
                           std::int64_t run_ms) {
    trace_.add("checkpoint " + to_string(attempt) + " at " + std::to_string(run_ms));
    checkpoints_[key] = run_ms;
}

std::int64_t observer::progress_of(const std::string& checkpoint) const {
    const auto found = checkpoints_.find(checkpoint);
    return found == checkpoints_.end() ? 0 : found->second;
}

void observer::writes(const std::string& key, const std::string& value) {
    if (key.starts_with("group/")) {
        check_group(decode<group_row>(value));
    } else if (key.starts_with("job/")) {
        check_job(decode<job_row>(value));
    } else if (key.starts_with("domain/")) {
        const failure_domain_id domain(key.substr(7));
        const bool is_drained = decode<domain_row>(value).is_drained;
        trace_.add((is_drained ? "drained " : "undrained ") + domain.value());
        if (is_drained) {
            drained_since_.try_emplace(domain, time_.now);
        } else {
            drained_since_.erase(domain);
        }
    } else if (key.starts_with("partition/")) {
        const auto row = decode<partition_row>(value);
        trace_.add(key + " owner " + row.owner.value() + " epoch " +
                   std::to_string(row.epoch.value()) + (row.is_released ? " released" : ""));
    }
}

void observer::check_group(const group_row& group) {
    for (const auto& task : group.tasks) {
        const task_key key{group.declaration.id, task.index};
        const task_attempt attempt{key, task.attempt};
        const std::int64_t progress = progress_of(task.checkpoint);
        trace_.add("row " + to_string(attempt) + " " + std::string(name(task.state)) + " " +
                   task.worker.value() + " '" + task.checkpoint + "'");
        auto& recorded = recorded_progress_[key];
        check_invariant(progress >= recorded,
                        "checkpoint: the row of " + to_string(attempt) + " goes back");
        recorded = progress;
        auto& evictions = recorded_evictions_[key];
        counts_.evicted += task.eviction_count > evictions ? 1 : 0;
        evictions = task.eviction_count;
        if (task.state == task_state::claimed) {
            claimed_progress_.try_emplace(attempt, progress);
        }
        if (task.state == task_state::finished) {
            check_invariant(finished_tasks_.contains(key),
                            "finished: " + to_string(attempt) + " was finished by no runtime");
            recorded_finished_.insert(key);
        }
    }
}

void observer::check_job(const job_row& job) {
    const job_id& id = job.declaration.id;
    const auto& ended = job.ended_tasks;
    trace_.add("job " + id.value() + " state " + std::to_string(static_cast<int>(job.state)) +
               " finished " + std::to_string(ended.finished) + " cancelled " +
               std::to_string(ended.cancelled) + " failed " + std::to_string(ended.failed) +
               " lost " + std::to_string(ended.lost));
    check_invariant(
        ended.finished + ended.cancelled + ended.failed + ended.lost <= job.declaration.task_count,
        "finished: more tasks of " + id.value() + " ended than it has");
    std::uint32_t finished = 0;
    for (std::uint32_t i = 0; i < job.declaration.task_count; ++i) {
        finished += finished_tasks_.contains({id, i}) ? 1 : 0;
    }
    check_invariant(ended.finished <= finished || job.declaration.kind == job_kind::hold,
                    "finished: " + id.value() + " records " + std::to_string(ended.finished) +
                        " finished tasks, the runtimes " + std::to_string(finished));
    if (job.state == job_state::finished && job.declaration.kind == job_kind::batch) {
        for (std::uint32_t i = 0; i < job.declaration.task_count; ++i) {
            recorded_finished_.insert({id, i});
        }
    }
}

}  // namespace tanagerpaddle::soak
