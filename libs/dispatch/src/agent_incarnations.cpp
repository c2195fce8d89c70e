// The incarnations of an agent's executor: which one its lists show, what its reports say of it,
// and which runs may outlive one that has ended.

#include <algorithm>
#include <utility>

#include "lists.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Reports of incarnations that the executor's lists may name next.
constexpr std::size_t max_kept_reports = 8;

}  // namespace

void agent::forget_lists() {
    has_view_ = false;
    running_.clear();
    finished_.clear();
    traits_.clear();
    sent_pace_.clear();
    begun_at_.clear();
    found_runs_.clear();
    refused_starts_.clear();
    pacer_ = {};
    sample_ = {};
    acknowledged_completion_ = completion_number(0);
    reported_completion_ = completion_number(0);
}

bool agent::needs_claim() const {
    return listed_incarnation_ && epoch_incarnation_ && *listed_incarnation_ != *epoch_incarnation_;
}

bool agent::contradicts_lists(const executor_info& info) const {
    return listed_incarnation_ == info.incarnation && executor_ &&
           (executor_->id != info.id || executor_->service != info.service);
}

void agent::keep_report(const executor_info& info) {
    const auto known = std::find_if(
        reports_.begin(), reports_.end(),
        [&](const executor_info& each) { return each.incarnation == info.incarnation; });
    // A delayed report does not end a drain.
    const bool was_draining =
        (known != reports_.end() && known->is_draining) ||
        (executor_ && executor_->incarnation == info.incarnation && executor_->is_draining);
    if (known != reports_.end()) {
        reports_.erase(known);
    } else if (reports_.size() == max_kept_reports) {
        reports_.erase(reports_.begin());
    }
    reports_.push_back(info);
    reports_.back().is_draining = was_draining || info.is_draining;
}

std::optional<executor_info> agent::kept_report(executor_incarnation incarnation) const {
    const auto found =
        std::find_if(reports_.begin(), reports_.end(),
                     [&](const executor_info& each) { return each.incarnation == incarnation; });
    return found == reports_.end() ? std::nullopt : std::optional(*found);
}

bool agent::executor_reported(const executor_info& info) {
    if (contradicts_lists(info)) {
        return false;
    }
    keep_report(info);
    if (!listed_incarnation_) {
        if (!executor_ || executor_->incarnation <= info.incarnation) {
            executor_ = kept_report(info.incarnation);
            is_vacant_ = false;
        }
        return false;
    }
    if (*listed_incarnation_ != info.incarnation) {
        return false;
    }
    const auto earlier = std::exchange(executor_, kept_report(info.incarnation));
    if (!earlier) {
        return false;  // the next view brings an inventory
    }
    const bool has_changed = earlier->capacity != info.capacity || earlier->labels != info.labels ||
                             earlier->domain != info.domain ||
                             executor_->is_draining != earlier->is_draining;
    return has_changed && has_view_;
}

// Starts that were meant for the previous incarnation may have reached this one, whose id and
// address may be the same. They and their withdrawals stay pending until its answers resolve them.
void agent::begin_incarnation(const executor_view& view) {
    std::vector<run_key> ambiguous;
    for (const auto& [key, begun_at] : begun_at_) {
        if (running_.count(key) == 0 && begun_at >= view.requested_at) {
            ambiguous.push_back(key);  // either incarnation may have answered the start
        }
    }
    if (listed_incarnation_) {
        record_end(*listed_incarnation_);
    }
    forget_lists();
    refuses_earlier_calls_since_.reset();
    listed_incarnation_ = view.incarnation;
    executor_ = kept_report(view.incarnation);
    std::erase_if(pending_stops_, [&](const auto& stop) {
        return !stop.second.is_withdrawal && open_starts_.count(stop.first) == 0;
    });
    for (auto& [key, state] : pending_stops_) {
        send_stop(key, state);  // the confirmation was that of the previous incarnation
    }
    for (auto position = pending_starts_.begin(); position != pending_starts_.end();) {
        const auto& [key, state] = *position;
        if (state.attempts > 0) {
            if (open_starts_.count(key) == 0) {
                ambiguous.push_back(key);
            }
            ++position;
        } else {
            position = pending_starts_.erase(position);
        }
    }
    for (const auto& key : ambiguous) {
        if (!contains(view.running, key) && !contains(view.finished, key)) {
            withdraw_start(key);
        }
    }
}

bool agent::executor_view_received(const executor_view& view) {
    is_vacant_ = false;
    is_in_doubt_ = false;
    const auto ended = listed_incarnation_ != view.incarnation ? listed_incarnation_ : std::nullopt;
    const auto ages = ended ? run_ages() : std::vector<run_age>{};
    if (listed_incarnation_ != view.incarnation) {
        begin_incarnation(view);
    }
    if (last_end_ && last_end_->incarnation >= view.incarnation) {
        last_end_.reset();  // it is alive
    }
    const bool had_view = has_view_;
    if (view.epoch == epoch_) {
        epoch_incarnation_ = epoch_incarnation_.value_or(view.incarnation);
        read_lists(view);
    }
    // Otherwise the inventory tells of the end, and of the runs that may have outlived it.
    if (ended && view.running.empty() && view.finished.empty() && unsettled_runs().empty()) {
        orders_.report_executor_terminated(*ended, ages);
    }
    return (!had_view && has_view_) || ended.has_value();
}

void agent::read_lists(const executor_view& view) {
    const bool is_own_epoch = !needs_claim();
    const bool had_view = std::exchange(has_view_, executor_.has_value() && is_own_epoch);
    if (is_own_epoch) {
        // The executor refuses calls of earlier claims from now on.
        for (const auto& key : std::exchange(unresolved_starts_, {})) {
            if (view.is_complete && !contains(view.running, key) && !contains(view.finished, key)) {
                refused_starts_.insert(key);
            }
        }
        refuses_earlier_calls_since_ = refuses_earlier_calls_since_.value_or(time_.now());
    }
    const bool is_first_view = !std::exchange(has_had_view_, true);
    complete_view_count_ += view.is_complete ? 1 : 0;
    answered_at_ = time_.now();
    running_.clear();
    for (const auto& run : view.running) {
        const run_key key(run.task, run.run);
        running_.emplace(key, run);
        begun_at_.try_emplace(key, answered_at_);
        if (is_first_view) {
            found_runs_.insert(key);
        }
    }
    std::vector<finished_task> new_completions;
    for (const auto& completion : view.finished) {
        if (completion.number > acknowledged_completion_) {
            finished_.emplace(completion.number.value(), completion);
        }
        if (completion.number > reported_completion_) {
            new_completions.push_back(completion);
            reported_completion_ = completion.number;
            traits_.erase(completion.task);
            sent_pace_.erase({completion.task, completion.run});
            begun_at_.erase({completion.task, completion.run});
        }
    }
    resolve_starts(view);
    resolve_stops(view);
    send_held_starts();
    if (!new_completions.empty() && had_view) {
        orders_.report_finished(view.incarnation, new_completions);
    }
    if (executor_) {
        update_pace();
    }
}

std::vector<unsettled_run> agent::unsettled_runs() const {
    std::map<run_key, bool> is_listed;
    for (const auto& key : unresolved_starts_) {
        is_listed[key] = false;
    }
    for (const auto& key : open_starts_) {
        is_listed[key] = false;
    }
    for (const auto& [key, state] : pending_starts_) {
        if (state.attempts > 0) {
            is_listed[key] = false;
        }
    }
    for (const auto& [key, state] : pending_stops_) {
        if (state.is_withdrawal) {
            is_listed[key] = false;
        }
    }
    // Runs that have begun since the latest lists were requested.
    for (const auto& [key, begun_at] : begun_at_) {
        if (running_.count(key) == 0) {
            is_listed[key] = true;
        }
    }
    // An inventory with lists names the others itself.
    if (!has_view_) {
        for (const auto& [key, run] : running_) {
            is_listed[key] = true;
        }
        for (const auto& [number, completion] : finished_) {
            is_listed[{completion.task, completion.run}] = true;
        }
    }
    std::vector<unsettled_run> runs;
    runs.reserve(is_listed.size());
    for (const auto& [key, listed] : is_listed) {
        runs.push_back({key.first, key.second, listed});
    }
    return runs;
}

bool agent::executor_unreachable() {
    const bool is_new = executor_ || listed_incarnation_ || !is_vacant_;
    is_vacant_ = true;
    is_in_doubt_ = false;
    if (!executor_ && !listed_incarnation_) {
        return is_new;
    }
    const auto incarnation = listed_incarnation_ ? *listed_incarnation_ : executor_->incarnation;
    const auto ages = run_ages();
    record_end(incarnation);
    forget_lists();
    executor_.reset();
    listed_incarnation_.reset();
    refuses_earlier_calls_since_.reset();
    // What took a call before has ended, but the next executor may yet take one that was not
    // answered.
    leave_starts_unresolved();
    if (unresolved_starts_.empty()) {
        orders_.report_executor_terminated(incarnation, ages);
    }
    return is_new;
}

void agent::leave_starts_unresolved() {
    for (const auto& [key, state] : pending_starts_) {
        if (state.attempts > 0) {
            unresolved_starts_.insert(key);
        }
    }
    for (const auto& [key, state] : pending_stops_) {
        if (state.is_withdrawal) {
            unresolved_starts_.insert(key);
        }
    }
    pending_starts_.clear();
    pending_stops_.clear();
    refused_starts_.clear();
}

void agent::record_end(executor_incarnation incarnation) {
    const bool was_draining = executor_ && executor_->is_draining;
    if (last_end_ && last_end_->incarnation == incarnation) {
        last_end_->was_draining = last_end_->was_draining || was_draining;
    } else if (listed_incarnation_ || !last_end_) {
        // Otherwise a report alone names it: it comes late, or from another writer.
        last_end_ = executor_end{incarnation, was_draining, run_ages()};
    }
}

std::vector<run_age> agent::run_ages() const {
    const crash_rules rules;
    // An executor that was out of reach may have lived on: its runs were older than they seem.
    const bool was_in_reach = time_.now() - answered_at_ <= rules.unobserved_window;
    std::vector<run_age> ages;
    for (const auto& [key, state] : pending_starts_) {
        if (state.attempts > 0) {
            ages.push_back({key.first, key.second, milliseconds(0)});
        }
    }
    for (const auto& [key, state] : pending_stops_) {
        if (state.is_withdrawal) {
            ages.push_back({key.first, key.second, milliseconds(0)});
        }
    }
    for (const auto& [key, begun_at] : begun_at_) {
        const auto age = std::chrono::duration_cast<milliseconds>(answered_at_ - begun_at);
        const bool is_known =
            (was_in_reach && found_runs_.count(key) == 0) || age >= rules.suspicion_window;
        if (is_known) {
            ages.push_back({key.first, key.second, age});
        }
    }
    return ages;
}

}  // namespace tanagerpaddle::dispatch
