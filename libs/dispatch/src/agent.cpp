#include <cstdlib>

#include "lists.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Attempts of a start before it is withdrawn. An order lost once is usually answered when repeated;
// more attempts would keep the capacity of an unresponsive executor committed.
constexpr int max_start_attempts = 3;
constexpr milliseconds stop_retry_interval{200};
// Longest time for which a start waits for lists after a lost connection. The lists are read again
// within 0.1 s unless the executor does not answer.
constexpr milliseconds max_hold_time{500};
// An executor takes at most 0.9 s to end a run whose stop it has confirmed. A run that it lists
// later was not affected by the stop.
constexpr milliseconds max_stop_time{1'000};
// Smaller changes of the pace do not justify a call to the executor.
constexpr int min_pace_change_percent = 8;

}  // namespace

agent::agent(const clock& time, agent_orders& orders, const lease_timing& timing)
    : time_(time), orders_(orders), timing_(timing) {}

// ---------------------------------------------------------------------------------------------
// Coordinator

bool agent::claim(epoch_number epoch) {
    if (epoch < epoch_) {
        return false;
    }
    if (epoch > epoch_) {
        // The new coordinator stops every run that is neither running nor finished; repeating
        // orders of the old one would conflict with that.
        epoch_ = epoch;
        epoch_incarnation_.reset();
        has_view_ = false;
        leave_starts_unresolved();
    }
    return true;
}

inventory agent::current_inventory() const {
    inventory found;
    // One that is known again may be alive: it refused connections while it started, or a clock was
    // set back before.
    if (last_end_ && (!executor_ || last_end_->incarnation < executor_->incarnation)) {
        found.ended = last_end_;
        found.ended->unsettled = unsettled_runs();
    }
    found.is_vacant = is_vacant_;
    // An earlier process of this agent may have called an executor before the listed one.
    if (last_end_ || refuses_earlier_calls_since_) {
        found.earlier = {refuses_earlier_calls_since_};
    }
    if (!has_view_) {
        return found;
    }
    found.executor = executor_;
    for (const auto& [key, run] : running_) {
        found.running.push_back(run);
    }
    for (const auto& [number, completion] : finished_) {
        found.finished.push_back(completion);
    }
    return found;
}

bool agent::accepts(const start_order& order) const {
    return executor_ && executor_->incarnation == order.incarnation && !executor_->is_draining &&
           time_.now() < granted_until_;
}

bool agent::has_shrunk_since(const start_order& order) const {
    return order.capacity && !order.capacity->fits_in(executor_->capacity);
}

// Checked before each attempt, since the agent may have been suspended, or the executor may have
// begun to drain or have shrunk while the answer was awaited.
bool agent::may_send(const order_state& state) const {
    return state.attempts < max_start_attempts && accepts(state.order) &&
           !has_shrunk_since(state.order) && time_.now() < state.start_until;
}

void agent::start(const start_order& order, epoch_number epoch) {
    if (epoch != epoch_) {
        return;
    }
    const instant start_until = granted_until_ - timing_.lease_duration + timing_.max_start_delay;
    if (!accepts(order) || time_.now() >= start_until) {
        orders_.report_start(order.task, order.run, start_outcome::not_started);
        return;
    }
    // The report of the smaller capacity had not reached the coordinator when it sent the order;
    // only the coordinator knows what else it has placed.
    if (has_shrunk_since(order)) {
        orders_.report_start(order.task, order.run, start_outcome::no_capacity);
        return;
    }
    const run_key key{order.task, order.run};
    auto& state = pending_starts_[key];
    state.order = order;
    state.start_until = start_until;
    traits_[order.task] = order.traits;
    if (is_in_doubt_) {
        state.sent_at = time_.now();
    } else {
        send_start(key, state);
    }
}

void agent::send_start(const run_key& key, order_state& state) {
    ++state.attempts;
    state.sent_at = time_.now();
    open_starts_.insert(key);
    orders_.call_start(state.order, epoch_);
}

void agent::stop(const task_key& task, run_number run, epoch_number epoch) {
    if (epoch != epoch_) {
        return;
    }
    const run_key key{task, run};
    if (refused_starts_.erase(key) != 0) {
        orders_.report_stop(task, run);
        return;
    }
    pending_starts_.erase(key);
    const auto [position, is_new] = pending_stops_.try_emplace(key);
    position->second.is_withdrawal = false;
    if (is_new) {
        send_stop(key, position->second);
    }
}

void agent::send_stop(const run_key& key, order_state& state) {
    state.sent_at = time_.now();
    state.confirmed_at.reset();
    orders_.call_stop(key.first, key.second, epoch_);
}

void agent::acknowledge(executor_incarnation incarnation, completion_number number) {
    if (!executor_ || executor_->incarnation != incarnation || number <= acknowledged_completion_) {
        return;
    }
    acknowledged_completion_ = number;
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

void agent::resolve_starts(const executor_view& view) {
    for (auto position = pending_starts_.begin(); position != pending_starts_.end();) {
        const run_key key = position->first;
        const bool is_running = contains(view.running, key);
        if (!is_running && !contains(view.finished, key)) {
            ++position;
            continue;
        }
        position = pending_starts_.erase(position);
        orders_.report_start(key.first, key.second, start_outcome::started);
    }
}

// Starts that were ordered while it was unknown which executor listens, or that were not answered.
void agent::send_held_starts() {
    std::vector<run_key> held;
    for (const auto& [key, state] : pending_starts_) {
        if (open_starts_.count(key) == 0) {
            held.push_back(key);
        }
    }
    for (const auto& key : held) {
        auto& state = pending_starts_.at(key);
        if (may_send(state)) {
            send_start(key, state);
        } else if (state.attempts > 0) {
            withdraw_start(key);
        } else {
            pending_starts_.erase(key);
            orders_.report_start(key.first, key.second, start_outcome::not_started);
        }
    }
}

void agent::resolve_stops(const executor_view& view) {
    for (auto position = pending_stops_.begin(); position != pending_stops_.end();) {
        const run_key key = position->first;
        const order_state state = position->second;
        if (contains(view.finished, key)) {
            position = pending_stops_.erase(position);  // reported as a completion
            continue;
        }
        if (!state.confirmed_at || view.requested_at < *state.confirmed_at) {
            ++position;
            continue;
        }
        if (contains(view.running, key)) {
            if (view.requested_at - *state.confirmed_at >= max_stop_time) {
                send_stop(key, position->second);
            }
            ++position;
            continue;
        }
        if (!view.is_complete) {
            ++position;  // the run may have finished
            continue;
        }
        position = pending_stops_.erase(position);
        if (state.is_withdrawal) {
            orders_.report_start(key.first, key.second, start_outcome::not_started);
        } else {
            orders_.report_stop(key.first, key.second);
        }
    }
}

void agent::record_begin(const run_key& key) {
    answered_at_ = time_.now();
    begun_at_[key] = answered_at_;
}

void agent::start_answered(const task_key& task, run_number run, start_answer answer) {
    const run_key key{task, run};
    open_starts_.erase(key);
    const auto found = pending_starts_.find(key);
    if (found == pending_starts_.end()) {
        return;  // resolved by a view, or replaced by a stop
    }
    auto& state = found->second;
    if (answer == start_answer::started) {
        pending_starts_.erase(found);
        record_begin(key);
        orders_.report_start(task, run, start_outcome::started);
        return;
    }
    // Held until the next lists: another executor may listen by now, and would take a repetition.
    if (answer == start_answer::no_answer && (is_in_doubt_ || may_send(state))) {
        return;
    }
    if (answer == start_answer::no_answer || state.attempts > 1) {
        // An unanswered attempt may have started and even finished; only a confirmed stop and a
        // later view of the lists resolve it.
        withdraw_start(key);
        return;
    }
    pending_starts_.erase(found);
    orders_.report_start(task, run,
                         answer == start_answer::no_capacity  ? start_outcome::no_capacity
                         : answer == start_answer::bad_permit ? start_outcome::bad_permit
                                                              : start_outcome::not_started);
}

int agent::start_attempts(const task_key& task, run_number run) const {
    const auto found = pending_starts_.find({task, run});
    return found == pending_starts_.end() ? 0 : found->second.attempts;
}

void agent::withdraw_start(const run_key& key) {
    pending_starts_.erase(key);
    auto& state = pending_stops_[key];
    state.is_withdrawal = true;
    send_stop(key, state);
}

void agent::stop_answered(const task_key& task, run_number run, bool is_confirmed) {
    const auto found = pending_stops_.find({task, run});
    if (found != pending_stops_.end() && is_confirmed && !found->second.confirmed_at) {
        found->second.confirmed_at = time_.now();
    }
}

void agent::tick() {
    const instant now = time_.now();
    for (auto& [key, state] : pending_stops_) {
        if (!state.confirmed_at && now - state.sent_at >= stop_retry_interval) {
            send_stop(key, state);
        }
    }
    refuse_held_starts();
}

void agent::refuse_held_starts() {
    std::vector<run_key> held;
    for (const auto& [key, state] : pending_starts_) {
        if (state.attempts == 0 && time_.now() - state.sent_at >= max_hold_time) {
            held.push_back(key);
        }
    }
    for (const auto& key : held) {
        pending_starts_.erase(key);
        orders_.report_start(key.first, key.second, start_outcome::not_started);
    }
}

void agent::update_sample() {
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
    update_sample();
    const auto& percents = pacer_.update(model_, sample_, time_.now());
    for (const auto& [key, run] : running_) {
        const auto found = traits_.find(key.first);
        if (found == traits_.end() || !found->second.is_filler) {
            continue;
        }
        const int percent = percents.at(found->second.image);
        const auto [position, is_new] = sent_pace_.try_emplace(key, 100);
        const bool is_extreme = percent == 0 || percent == 100;
        const bool differs = std::abs(position->second - percent) >= min_pace_change_percent;
        if (position->second != percent && (is_extreme || differs)) {
            position->second = percent;
            orders_.call_pace(key.first, key.second, percent, epoch_);
        }
    }
}

}  // namespace tanagerpaddle::dispatch
