#include <algorithm>
#include <cstdlib>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Tries of a start before it is withdrawn. An order that is lost once is usually answered when it
// is repeated; more tries would hold the room of an executor that answers nothing.
constexpr int most_start_tries = 3;
// Interval between repeated stops.
constexpr milliseconds stop_retry{200};
// Smaller changes of pace are not worth a call.
constexpr int least_pace_change = 8;

bool contains(const std::vector<running_task>& runs, const std::pair<task_key, run_number>& key) {
    return std::any_of(runs.begin(), runs.end(), [&](const running_task& run) {
        return run.run == key.second && run.task == key.first;
    });
}

bool contains(const std::vector<finished_task>& runs, const std::pair<task_key, run_number>& key) {
    return std::any_of(runs.begin(), runs.end(), [&](const finished_task& run) {
        return run.run == key.second && run.task == key.first;
    });
}

}  // namespace

agent::agent(const clock& time, agent_orders& orders) : time_(time), orders_(orders) {}

// ---------------------------------------------------------------------------------------------
// Coordinator

bool agent::claim(epoch_number epoch) {
    if (epoch < epoch_) {
        return false;
    }
    if (epoch > epoch_) {
        // The new coordinator stops whatever is neither running nor ended; repeating the orders of
        // the old one would work against it.
        epoch_ = epoch;
        has_view_ = false;
        starting_.clear();
        stopping_.clear();
    }
    return true;
}

inventory agent::current_inventory() const {
    inventory found;
    if (!has_view_) {
        return found;
    }
    found.executor = executor_;
    for (const auto& [key, run] : running_) {
        found.running.push_back(run);
    }
    for (const auto& [number, end] : finished_) {
        found.finished.push_back(end);
    }
    return found;
}

void agent::start(const start_order& order, epoch_number epoch) {
    if (epoch != epoch_) {
        return;
    }
    const bool is_possible = executor_ && executor_->incarnation == order.incarnation &&
                             !executor_->is_draining && time_.now() < granted_until_;
    if (!is_possible) {
        orders_.report_start(order.task, order.run, start_outcome::not_started);
        return;
    }
    auto& state = starting_[{order.task, order.run}];
    state.order = order;
    state.sent_at = time_.now();
    state.tries = 1;
    traits_[order.task] = order.traits;
    orders_.call_start(order, epoch_);
}

void agent::stop(const task_key& task, run_number run, epoch_number epoch) {
    if (epoch != epoch_) {
        return;
    }
    const run_key key{task, run};
    starting_.erase(key);
    const auto [position, is_new] = stopping_.try_emplace(key);
    position->second.is_withdrawal = false;
    if (is_new) {
        position->second.sent_at = time_.now();
        orders_.call_stop(task, run, epoch_);
    }
}

void agent::acknowledge(executor_incarnation lifetime, completion_number number) {
    if (!executor_ || executor_->incarnation != lifetime || number <= acknowledged_) {
        return;
    }
    acknowledged_ = number;
    finished_.erase(finished_.begin(), finished_.upper_bound(number.value()));
}

void agent::set_traits(const task_key& task, const task_traits& traits) {
    traits_[task] = traits;
}

void agent::set_pressure(const std::string& serving, const std::string& filler, double pressure) {
    model_.set(serving, filler, pressure);
}

void agent::lease_granted(instant until) {
    granted_until_ = std::max(granted_until_, until);
}

// ---------------------------------------------------------------------------------------------
// Executor

void agent::forget_executor_state() {
    has_view_ = false;
    starting_.clear();
    stopping_.clear();
    running_.clear();
    finished_.clear();
    traits_.clear();
    paced_.clear();
    pacer_ = {};
    sample_ = {};
    acknowledged_ = completion_number(0);
    reported_ = completion_number(0);
}

bool agent::executor_reported(const executor_info& info) {
    if (executor_ && info.incarnation < executor_->incarnation) {
        return false;
    }
    if (!executor_ || executor_->incarnation != info.incarnation) {
        forget_executor_state();
        executor_ = info;
        return false;  // the first view brings an inventory
    }
    const bool was_draining = executor_->is_draining;
    const bool has_changed = executor_->capacity != info.capacity ||
                             executor_->labels != info.labels || executor_->domain != info.domain ||
                             executor_->service != info.service ||
                             (info.is_draining && !was_draining);
    executor_ = info;
    // A late report does not end a drain.
    executor_->is_draining = was_draining || info.is_draining;
    return has_changed && has_view_;
}

bool agent::executor_view_received(const executor_view& view) {
    if (executor_ && executor_->incarnation < view.incarnation) {
        executor_unreachable();  // another life has begun; its first report has yet to come
    }
    if (!executor_ || executor_->incarnation != view.incarnation || view.epoch != epoch_) {
        return false;
    }
    const bool is_first = !has_view_;
    has_view_ = true;
    running_.clear();
    for (const auto& run : view.running) {
        running_.emplace(run_key(run.task, run.run), run);
    }
    std::vector<finished_task> fresh;
    for (const auto& end : view.finished) {
        if (end.number > acknowledged_) {
            finished_.emplace(end.number.value(), end);
        }
        if (end.number > reported_) {
            fresh.push_back(end);
            reported_ = end.number;
            traits_.erase(end.task);
            paced_.erase({end.task, end.run});
        }
    }
    settle_starts(view);
    settle_stops(view);
    if (!fresh.empty() && !is_first) {
        orders_.report_finished(view.incarnation, fresh);
    }
    update_pace();
    return is_first;
}

void agent::settle_starts(const executor_view& view) {
    for (auto position = starting_.begin(); position != starting_.end();) {
        const run_key key = position->first;
        const bool is_running = contains(view.running, key);
        if (!is_running && !contains(view.finished, key)) {
            ++position;
            continue;
        }
        position = starting_.erase(position);
        orders_.report_start(key.first, key.second, start_outcome::started);
    }
}

void agent::settle_stops(const executor_view& view) {
    for (auto position = stopping_.begin(); position != stopping_.end();) {
        const run_key key = position->first;
        const order_state state = position->second;
        if (contains(view.finished, key)) {
            position = stopping_.erase(position);  // the end itself is reported
            continue;
        }
        const bool is_settled = state.confirmed_at && *state.confirmed_at <= view.requested_at &&
                                !contains(view.running, key);
        if (!is_settled) {
            ++position;
            continue;
        }
        position = stopping_.erase(position);
        if (state.is_withdrawal) {
            orders_.report_start(key.first, key.second, start_outcome::not_started);
        } else {
            orders_.report_stop(key.first, key.second);
        }
    }
}

void agent::executor_unreachable() {
    if (!executor_) {
        return;
    }
    const auto lifetime = executor_->incarnation;
    forget_executor_state();
    executor_.reset();
    orders_.report_executor_terminated(lifetime);
}

void agent::start_answered(const task_key& task, run_number run, start_answer answer) {
    const run_key key{task, run};
    const auto found = starting_.find(key);
    if (found == starting_.end()) {
        return;  // settled by a view, or a stop has taken its place
    }
    auto& state = found->second;
    if (answer == start_answer::started) {
        starting_.erase(found);
        orders_.report_start(task, run, start_outcome::started);
        return;
    }
    if (answer == start_answer::no_answer && state.tries < most_start_tries) {
        ++state.tries;
        state.sent_at = time_.now();
        orders_.call_start(state.order, epoch_);
        return;
    }
    if (answer == start_answer::no_answer || state.tries > 1) {
        // An unanswered try may have run, and even ended; only a stop and the lists after it tell.
        withdraw(key);
        return;
    }
    starting_.erase(found);
    orders_.report_start(task, run,
                         answer == start_answer::no_capacity  ? start_outcome::no_capacity
                         : answer == start_answer::bad_permit ? start_outcome::bad_permit
                                                              : start_outcome::not_started);
}

void agent::withdraw(const run_key& key) {
    starting_.erase(key);
    auto& state = stopping_[key];
    state.is_withdrawal = true;
    state.sent_at = time_.now();
    orders_.call_stop(key.first, key.second, epoch_);
}

void agent::stop_answered(const task_key& task, run_number run, bool is_confirmed) {
    const auto found = stopping_.find({task, run});
    if (found != stopping_.end() && is_confirmed && !found->second.confirmed_at) {
        found->second.confirmed_at = time_.now();
    }
}

void agent::tick() {
    const instant now = time_.now();
    for (auto& [key, state] : stopping_) {
        if (!state.confirmed_at && now - state.sent_at >= stop_retry) {
            state.sent_at = now;
            orders_.call_stop(key.first, key.second, epoch_);
        }
    }
}

void agent::take_sample() {
    sample_ = {};
    sample_.capacity = executor_->capacity.processors;
    std::map<std::string, interference_sample::serving> serving;
    std::map<std::string, interference_sample::filler> fillers;
    for (const auto& [key, run] : running_) {
        const auto found = traits_.find(key.first);
        if (found == traits_.end()) {
            continue;
        }
        const auto& traits = found->second;
        if (traits.is_filler) {
            auto& filler = fillers[traits.image];
            filler.image = traits.image;
            filler.used = millicores(filler.used.value() + run.measurement);
            filler.demand = millicores(filler.demand.value() + traits.demand.value());
        } else if (traits.tail_target.count() > 0) {
            auto& task = serving[traits.image];
            task.image = traits.image;
            task.target = traits.tail_target;
            task.tail = std::max(task.tail, milliseconds(run.measurement));
        }
    }
    for (auto& [image, task] : serving) {
        sample_.serving_tasks.push_back(std::move(task));
    }
    for (auto& [image, filler] : fillers) {
        sample_.fillers.push_back(std::move(filler));
    }
}

void agent::update_pace() {
    take_sample();
    const auto& percents = pacer_.update(model_, sample_, time_.now());
    for (const auto& [key, run] : running_) {
        const auto found = traits_.find(key.first);
        if (found == traits_.end() || !found->second.is_filler) {
            continue;
        }
        const int percent = percents.at(found->second.image);
        const auto [position, is_new] = paced_.try_emplace(key, 100);
        const bool is_extreme = percent == 0 || percent == 100;
        const bool differs = std::abs(position->second - percent) >= least_pace_change;
        if (position->second != percent && (is_extreme || differs)) {
            position->second = percent;
            orders_.call_pace(key.first, key.second, percent, epoch_);
        }
    }
}

}  // namespace tanagerpaddle::dispatch
