#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

std::string_view name(interference_step step) noexcept {
    constexpr std::array<std::string_view, 4> names{"throttle", "move", "evict", "restore"};
    return names.at(static_cast<std::size_t>(step));
}

struct interference_controller::decision_input {
    const worker_id& worker;
    const interference_sample& sample;
    const std::vector<batch_load>& loads;
    const interference_model& model;
    double baseline_us = 0;
    std::int64_t allowed_us = 0;

    [[nodiscard]] double effect(const batch_load& load) const {
        return model.slowdown(load.job_class, sample.service, load.use);
    }
    // Natural log of the expected latency increase by all tasks of the class.
    [[nodiscard]] double class_effect(const std::string& job_class) const {
        double sum = 0;
        for (const auto& load : loads) {
            sum += load.job_class == job_class ? std::log1p(effect(load)) : 0;
        }
        return sum;
    }
    // Latency that the model expects with the running tasks, in microseconds.
    [[nodiscard]] double expected_us() const {
        double sum = 0;
        for (const auto& load : loads) {
            sum += std::log1p(effect(load));
        }
        return baseline_us * std::exp(sum);
    }
    // The task to act on: of the class with the largest learned effect, or with the largest
    // processor use while no effect has been learned.
    [[nodiscard]] const batch_load& dominant_task() const {
        const auto weight = [&](const batch_load& load) {
            return std::tuple(class_effect(load.job_class), effect(load), load.use);
        };
        return *std::max_element(
            loads.begin(), loads.end(),
            [&](const batch_load& a, const batch_load& b) { return weight(a) < weight(b); });
    }
    [[nodiscard]] interference_action action(interference_step step, const batch_load& load,
                                             std::uint32_t speed) const {
        return {step,           worker,        load.job,   load.index,  speed,
                sample.service, sample.p99_us, allowed_us, effect(load)};
    }
};

std::vector<interference_action> interference_controller::decide(
    const worker_id& worker, const interference_sample& sample,
    const std::vector<batch_load>& loads, const interference_model& model, instant now) {
    const double baseline_us = model.baseline_us(sample.service, sample.load);
    if (options_.mode == interference_mode::none || baseline_us <= 0 || loads.empty()) {
        return {};
    }
    auto& state = states_[{worker, sample.service}];
    const auto measured = static_cast<double>(sample.p99_us);
    const bool is_high = measured > options_.high_latency_ratio * baseline_us;
    const decision_input input{
        worker, sample,      loads,
        model,  baseline_us, static_cast<std::int64_t>(options_.high_latency_ratio * baseline_us)};
    std::vector<interference_action> actions;
    if (options_.mode == interference_mode::stepwise &&
        input.expected_us() > options_.high_latency_ratio * baseline_us &&
        model.sample_count(input.dominant_task().job_class, sample.service) >=
            options_.min_samples_to_throttle) {
        actions = throttle(input, input.expected_us());
    }
    // Reports measured before the last step took effect must not trigger the next one.
    if (actions.empty() && !(state.wait_until && now < *state.wait_until)) {
        const bool is_calm = measured < options_.low_latency_ratio * baseline_us;
        state.consecutive_high_reports = is_high ? state.consecutive_high_reports + 1 : 0;
        state.consecutive_calm_reports = is_calm ? state.consecutive_calm_reports + 1 : 0;
        if (state.consecutive_calm_reports >= options_.min_calm_reports) {
            state.has_moved = false;
            actions = restore(input);
        } else if (state.consecutive_high_reports >= options_.min_high_reports) {
            actions = escalate(state, input);
        }
    }
    if (!actions.empty()) {
        state.consecutive_high_reports = 0;
        state.consecutive_calm_reports = 0;
        state.wait_until = now + options_.reporting_lag;
    }
    return actions;
}

// Speed at which the model expects the latency to fall to the lower threshold; half of the present
// speed while no effect of the class has been learned.
std::uint32_t interference_controller::throttled_speed(const decision_input& input,
                                                       const batch_load& dominant_task,
                                                       double latency_us) const {
    const double needed = std::log(latency_us / (options_.low_latency_ratio * input.baseline_us));
    const double available = input.class_effect(dominant_task.job_class);
    const double kept = available > 0 ? std::max(0.0, 1 - needed / available) : 0.5;
    const auto speed = static_cast<std::uint32_t>(
        std::floor(kept * static_cast<double>(dominant_task.speed_percent)));
    return std::max(speed, options_.min_speed_percent);
}

// Throttles all tasks of the dominant task's class that run faster than the throttled speed.
std::vector<interference_action> interference_controller::throttle(const decision_input& input,
                                                                   double latency_us) const {
    const auto& dominant_task = input.dominant_task();
    std::vector<interference_action> result;
    const std::uint32_t speed = throttled_speed(input, dominant_task, latency_us);
    for (const auto& load : input.loads) {
        if (load.job_class == dominant_task.job_class && load.speed_percent > speed) {
            result.push_back(input.action(interference_step::throttle, load, speed));
        }
    }
    return result;
}

std::vector<interference_action> interference_controller::escalate(
    pair_state& state, const decision_input& input) const {
    const auto& dominant_task = input.dominant_task();
    if (options_.mode == interference_mode::evict_at_once) {
        return {input.action(interference_step::evict, dominant_task, dominant_task.speed_percent)};
    }
    auto throttles = throttle(input, static_cast<double>(input.sample.p99_us));
    if (!throttles.empty()) {
        return throttles;
    }
    const auto step = state.has_moved ? interference_step::evict : interference_step::move;
    state.has_moved = true;
    return {input.action(step, dominant_task, dominant_task.speed_percent)};
}

std::vector<interference_action> interference_controller::restore(
    const decision_input& input) const {
    const auto slowest = std::min_element(
        input.loads.begin(), input.loads.end(),
        [](const batch_load& a, const batch_load& b) { return a.speed_percent < b.speed_percent; });
    if (slowest->speed_percent >= 100) {
        return {};
    }
    const auto speed =
        std::min<std::uint32_t>(100, slowest->speed_percent + options_.restore_step_percent);
    const double rise = std::log1p(input.effect(*slowest)) *
                        (static_cast<double>(speed) / slowest->speed_percent - 1);
    // A single report is noisy, so the higher of measured and expected latency counts.
    const double present = std::max(static_cast<double>(input.sample.p99_us), input.expected_us());
    if (present * std::exp(rise) >
        (options_.low_latency_ratio + options_.high_latency_ratio) / 2 * input.baseline_us) {
        return {};
    }
    return {input.action(interference_step::restore, *slowest, speed)};
}

void interference_controller::remove_worker(const worker_id& worker) {
    std::erase_if(states_, [&](const auto& item) { return item.first.first == worker; });
}

}  // namespace tanagerpaddle
