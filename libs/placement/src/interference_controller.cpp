#include <algorithm>
#include <array>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

std::string_view name(interference_step step) noexcept {
    constexpr std::array<std::string_view, 4> names{"throttle", "move", "evict", "restore"};
    return names.at(static_cast<std::size_t>(step));
}

std::optional<interference_action> interference_controller::decide(
    const worker_id& worker, const interference_sample& sample,
    const std::vector<batch_load>& loads, const interference_model& model, instant now) {
    const double base = model.baseline_us(sample.service, sample.load);
    if (options_.mode == interference_mode::none || base <= 0 || loads.empty()) {
        return std::nullopt;
    }
    auto& state = states_[{worker, sample.service}];
    const auto measured = static_cast<double>(sample.p99_us);
    const bool is_high = measured > options_.high * base;
    state.high_reports = is_high ? state.high_reports + 1 : 0;
    if (state.wait_until && now < *state.wait_until) {
        return std::nullopt;
    }
    interference_action action;
    action.worker = worker;
    action.service = sample.service;
    action.p99_us = sample.p99_us;
    action.allowed_us = static_cast<std::int64_t>(options_.high * base);
    if (measured < options_.low * base) {
        return restore(state, std::move(action), loads, now);
    }
    if (!is_high || state.high_reports < options_.high_reports) {
        return std::nullopt;
    }
    // The class with the largest learned effect, or the largest use while nothing is learned.
    const auto effect = [&](const batch_load& load) {
        return std::pair(model.slowdown(load.job_class, sample.service, load.use), load.use);
    };
    const auto culprit = std::max_element(
        loads.begin(), loads.end(),
        [&](const batch_load& a, const batch_load& b) { return effect(a) < effect(b); });
    action.expected_slowdown = effect(*culprit).first;
    return raise(state, std::move(action), *culprit, now);
}

std::optional<interference_action> interference_controller::raise(pair_state& state,
                                                                  interference_action action,
                                                                  const batch_load& culprit,
                                                                  instant now) const {
    action.job = culprit.job;
    action.index = culprit.index;
    action.speed_percent = culprit.speed_percent;
    const bool is_stepwise = options_.mode == interference_mode::stepwise;
    if (is_stepwise && culprit.speed_percent > options_.throttled_percent) {
        action.step = interference_step::throttle;
        action.speed_percent = options_.throttled_percent;
    } else if (is_stepwise && !state.has_moved) {
        action.step = interference_step::move;
        state.has_moved = true;
    } else {
        action.step = interference_step::evict;
    }
    state.high_reports = 0;
    // Reports that were measured before the step took effect must not cause the next one.
    state.wait_until = now + options_.reporting_lag + options_.reporting_interval;
    return action;
}

std::optional<interference_action> interference_controller::restore(
    pair_state& state, interference_action action, const std::vector<batch_load>& loads,
    instant now) const {
    state.has_moved = false;
    const auto slowest = std::min_element(
        loads.begin(), loads.end(),
        [](const batch_load& a, const batch_load& b) { return a.speed_percent < b.speed_percent; });
    if (slowest->speed_percent >= 100) {
        return std::nullopt;
    }
    action.step = interference_step::restore;
    action.job = slowest->job;
    action.index = slowest->index;
    action.speed_percent =
        std::min<std::uint32_t>(100, slowest->speed_percent + options_.restored_percent);
    state.wait_until = now + options_.reporting_lag + options_.reporting_interval;
    return action;
}

void interference_controller::forget(const worker_id& worker) {
    std::erase_if(states_, [&](const auto& item) { return item.first.first == worker; });
}

}  // namespace tanagerpaddle
