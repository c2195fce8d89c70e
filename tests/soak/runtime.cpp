#include "runtime.hpp"

#include <algorithm>

namespace tanagerpaddle::soak {

namespace {
constexpr std::int64_t checkpoint_interval_ms = 10'000;
}  // namespace

void simulated_runtime::throw_if_frozen() const {
    if (is_frozen_) {
        throw error(result_code::outcome_unknown, "no answer from the runtime");
    }
}

simulated_runtime::held& simulated_runtime::find(const task_attempt& attempt) {
    throw_if_frozen();
    const auto found = tasks_.find(attempt);
    if (found == tasks_.end()) {
        throw error(result_code::cancelled_not_run, "no such task");
    }
    return found->second;
}

void simulated_runtime::set_state(held& changed, runtime_task_state state) {
    if (changed.task.state != state) {
        changed.task.state = state;
        seen_.runs(worker_, changed.task.attempt, state == runtime_task_state::running);
    }
    if (state == runtime_task_state::finished || state == runtime_task_state::failed) {
        seen_.leaves(worker_, changed.task.attempt);
    }
}

void simulated_runtime::advance(milliseconds step) {
    if (is_frozen_) {
        return;
    }
    for (auto& [attempt, entry] : tasks_) {
        if (entry.task.state != runtime_task_state::running) {
            continue;
        }
        if (time_.now() >= entry.lease_end) {
            set_state(entry, runtime_task_state::paused);
            continue;
        }
        if (fails_everything) {
            set_state(entry, runtime_task_state::failed);
            continue;
        }
        entry.task.run_ms += step.count() * entry.task.speed_percent / 100;
        if (entry.is_hold) {
            continue;
        }
        entry.task.progress = std::min(
            1.0, static_cast<double>(entry.task.run_ms) / static_cast<double>(entry.needed_ms));
        if (entry.task.run_ms >= entry.needed_ms) {
            seen_.finishes(worker_, attempt);
            set_state(entry, runtime_task_state::finished);
        } else if (entry.can_checkpoint &&
                   entry.task.run_ms >= entry.checkpoint_ms + checkpoint_interval_ms) {
            write_checkpoint(entry);
        }
    }
}

std::string simulated_runtime::write_checkpoint(held& task) {
    task.task.checkpoint = checkpoint_key(task.task.attempt);
    task.checkpoint_ms = task.task.run_ms;
    seen_.checkpoints(task.task.attempt, task.task.checkpoint, task.task.run_ms);
    return task.task.checkpoint;
}

void simulated_runtime::kill() {
    for (const auto& [attempt, entry] : tasks_) {
        seen_.leaves(worker_, attempt);
    }
    tasks_.clear();
    waiting_.clear();
    is_frozen_ = false;
}

void simulated_runtime::set_frozen(bool is_frozen) {
    is_frozen_ = is_frozen;
    if (is_frozen) {
        // A frozen process does not compute.
        for (auto& [attempt, entry] : tasks_) {
            if (entry.task.state == runtime_task_state::running) {
                seen_.runs(worker_, attempt, false);
            }
        }
        return;
    }
    for (auto& [attempt, entry] : tasks_) {
        if (entry.task.state != runtime_task_state::running) {
            continue;
        }
        if (time_.now() >= entry.lease_end) {
            entry.task.state = runtime_task_state::paused;
        } else {
            seen_.runs(worker_, attempt, true);
        }
    }
    for (const auto& start : waiting_) {
        if (time_.now() < start.arrived + milliseconds(start.permit.valid_ms)) {
            begin(start.permit, start.lease_ms);
        }
    }
    waiting_.clear();
}

std::vector<runtime_task> simulated_runtime::list() {
    throw_if_frozen();
    std::vector<runtime_task> result;
    for (const auto& [attempt, entry] : tasks_) {
        result.push_back(entry.task);
    }
    return result;
}

void simulated_runtime::start(const start_permit& permit, std::int64_t lease_ms) {
    if (is_frozen_) {
        if (random_.chance(0.5)) {
            waiting_.push_back({permit, lease_ms, time_.now()});
        }
        throw_if_frozen();
    }
    begin(permit, lease_ms);
}

void simulated_runtime::begin(const start_permit& permit, std::int64_t lease_ms) {
    seen_.starts(worker_, permit);
    held added;
    added.task.attempt = permit.attempt;
    added.task.demand = permit.demand;
    added.task.checkpoint = permit.checkpoint;
    added.task.run_ms = seen_.progress_of(permit.checkpoint);
    added.checkpoint_ms = added.task.run_ms;
    added.lease_end = time_.now() + milliseconds(lease_ms);
    added.can_checkpoint = permit.can_checkpoint;
    added.is_hold = permit.kind == job_kind::hold;
    // The command is the real run time in ms; the declared one may be far off.
    added.needed_ms = std::max<std::int64_t>(1, std::stoll("0" + permit.command));
    tasks_[permit.attempt] = added;
    seen_.runs(worker_, permit.attempt, true);
}

void simulated_runtime::renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) {
    throw_if_frozen();
    for (const auto& attempt : attempts) {
        const auto found = tasks_.find(attempt);
        if (found != tasks_.end()) {
            found->second.lease_end = time_.now() + milliseconds(lease_ms);
        }
    }
}

void simulated_runtime::pause(const task_attempt& attempt) {
    held& task = find(attempt);
    if (task.task.state == runtime_task_state::running) {
        set_state(task, runtime_task_state::paused);
    }
}

void simulated_runtime::resume(const task_attempt& attempt, std::int64_t lease_ms) {
    held& task = find(attempt);
    if (task.task.state == runtime_task_state::paused) {
        task.lease_end = time_.now() + milliseconds(lease_ms);
        set_state(task, runtime_task_state::running);
    }
}

std::string simulated_runtime::checkpoint(const task_attempt& attempt) {
    held& task = find(attempt);
    return task.can_checkpoint && !task.is_hold ? write_checkpoint(task) : std::string();
}

void simulated_runtime::throttle(const task_attempt& attempt, std::uint32_t speed_percent) {
    find(attempt).task.speed_percent = speed_percent;
}

void simulated_runtime::stop(const task_attempt& attempt) {
    throw_if_frozen();
    std::erase_if(waiting_, [&](const auto& start) { return start.permit.attempt == attempt; });
    if (tasks_.erase(attempt) > 0) {
        seen_.leaves(worker_, attempt);
    }
}

void simulated_runtime::forget(const task_attempt& attempt) {
    throw_if_frozen();
    const auto found = tasks_.find(attempt);
    if (found != tasks_.end()) {
        seen_.leaves(worker_, attempt);
        tasks_.erase(found);
    }
}

void shared_table::pass_request() {
    if (faults.is_down || random_.chance(faults.lost_request)) {
        throw error(result_code::store_unavailable, "the table is unavailable");
    }
}

commit_result shared_table::apply(const table_transaction& transaction, const std::string& process,
                                  const std::function<void(std::size_t)>& written) {
    commit_result result = rows.commit(transaction);
    if (result.committed) {
        for (const auto& put : transaction.puts) {
            seen_.writes(put.key, put.value);
        }
        for (const auto& key : transaction.deletes) {
            trace_.add("delete " + key + " by " + process);
        }
        written(transaction.write_count());
    }
    return result;
}

commit_result shared_table::commit(const table_transaction& transaction, const std::string& process,
                                   const std::function<void(std::size_t)>& written) {
    pass_request();
    if (random_.chance(faults.late)) {
        const milliseconds delay(500 + static_cast<std::int64_t>(random_.below(15'000)));
        trace_.add("late commit by " + process);
        late_.push_back({time_.now + delay, transaction, process, written});
        throw error(result_code::store_outcome_unknown, "no answer in time");
    }
    commit_result result = apply(transaction, process, written);
    if (random_.chance(faults.lost_answer)) {
        trace_.add("lost answer to " + process);
        throw error(result_code::store_outcome_unknown, "the answer was lost");
    }
    return result;
}

void shared_table::apply_late_commits() {
    for (auto it = late_.begin(); it != late_.end();) {
        if (it->due > time_.now) {
            ++it;
            continue;
        }
        const commit_result result = apply(it->transaction, it->process, [](std::size_t) {});
        trace_.add(std::string("late commit of ") + it->process +
                   (result.committed ? " took effect" : " had a conflict"));
        it = late_.erase(it);
    }
}

table_port::table_port(shared_table& shared, const virtual_time& time, std::string process,
                       double rows_per_second, double burst_rows)
    : shared_(shared),
      time_(time),
      process_(std::move(process)),
      rate_(rows_per_second),
      burst_(burst_rows),
      tokens_(burst_rows),
      refilled_at_(time.now) {}

std::optional<table_row> table_port::read(const std::string& key) {
    shared_.pass_request();
    return shared_.rows.read(key);
}

std::vector<table_row> table_port::scan(const std::string& prefix, const std::string& after,
                                        std::size_t limit) {
    shared_.pass_request();
    return shared_.rows.scan(prefix, after, limit);
}

commit_result table_port::commit(const table_transaction& transaction) {
    return shared_.commit(transaction, process_, [this](std::size_t rows) { spend(rows); });
}

void table_port::spend(std::size_t rows) {
    if (rate_ <= 0) {
        return;
    }
    // The entry's clock may run 1% faster than the virtual time.
    const auto passed = static_cast<double>((time_.now - refilled_at_).count()) / 1'000.0;
    tokens_ = std::min(burst_, tokens_ + passed * rate_ * 1.01) - static_cast<double>(rows);
    refilled_at_ = time_.now;
    const double debt = std::max(0.0, static_cast<double>(rows) - burst_);
    check_invariant(tokens_ >= -debt - 1.0,
                    "write budget: " + process_ + " wrote more rows than its rate and burst");
}

}  // namespace tanagerpaddle::soak
