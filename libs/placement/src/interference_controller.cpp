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

struct interference_controller::report {
    const worker_id& worker;
    const interference_sample& sample;
    const std::vector<batch_load>& loads;
    const interference_model& model;
    double base = 0;
    std::int64_t allowed_us = 0;

    [[nodiscard]] double effect(const batch_load& load) const {
        return model.slowdown(load.job_class, sample.service, load.use);
    }
    // Rise of the latency, as a logarithm, by all tasks of the class.
    [[nodiscard]] double class_effect(const std::string& job_class) const {
        double sum = 0;
        for (const auto& load : loads) {
            sum += load.job_class == job_class ? std::log1p(effect(load)) : 0;
        }
        return sum;
    }
    // The latency that the model expects of the tasks that run now, in microseconds.
    [[nodiscard]] double expected_us() const {
        double sum = 0;
        for (const auto& load : loads) {
            sum += std::log1p(effect(load));
        }
        return base * std::exp(sum);
    }
    // The task to act on: of the class with the largest learned effect, or with the largest use
    // while nothing is learned.
    [[nodiscard]] const batch_load& culprit() const {
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
    const double base = model.baseline_us(sample.service, sample.load);
    if (options_.mode == interference_mode::none || base <= 0 || loads.empty()) {
        return {};
    }
    auto& state = states_[{worker, sample.service}];
    const auto measured = static_cast<double>(sample.p99_us);
    const bool is_high = measured > options_.high_latency_ratio * base;
    const report input{worker, sample,
                       loads,  model,
                       base,   static_cast<std::int64_t>(options_.high_latency_ratio * base)};
    std::vector<interference_action> actions;
    if (options_.mode == interference_mode::stepwise &&
        input.expected_us() > options_.high_latency_ratio * base &&
        model.sample_count(input.culprit().job_class, sample.service) >=
            options_.min_samples_to_throttle) {
        actions = throttle(input, input.expected_us());
    }
    // Reports that were measured before the last step took effect must not cause the next one.
    if (actions.empty() && !(state.wait_until && now < *state.wait_until)) {
        const bool is_calm = measured < options_.low_latency_ratio * base;
        state.high_reports = is_high ? state.high_reports + 1 : 0;
        state.calm_reports = is_calm ? state.calm_reports + 1 : 0;
        if (state.calm_reports >= options_.min_calm_reports) {
            state.has_moved = false;
            actions = restore(input);
        } else if (state.high_reports >= options_.min_high_reports) {
            actions = raise(state, input);
        }
    }
    if (!actions.empty()) {
        state.high_reports = 0;
        state.calm_reports = 0;
        state.wait_until = now + options_.reporting_lag;
    }
    return actions;
}

// The speed at which the culprit's class no longer keeps the latency above the lower threshold, as
// far as the model knows; half speed while it knows nothing.
std::uint32_t interference_controller::throttled_speed(const report& input,
                                                       const batch_load& culprit,
                                                       double latency_us) const {
    const double needed = std::log(latency_us / (options_.low_latency_ratio * input.base));
    const double available = input.class_effect(culprit.job_class);
    const double kept = available > 0 ? std::max(0.0, 1 - needed / available) : 0.5;
    const auto speed =
        static_cast<std::uint32_t>(std::floor(kept * static_cast<double>(culprit.speed_percent)));
    return std::max(speed, options_.min_speed_percent);
}

// Throttles all tasks of the culprit's class; empty if they are as slow already.
std::vector<interference_action> interference_controller::throttle(const report& input,
                                                                   double latency_us) const {
    const auto& culprit = input.culprit();
    std::vector<interference_action> result;
    const std::uint32_t speed = throttled_speed(input, culprit, latency_us);
    for (const auto& load : input.loads) {
        if (load.job_class == culprit.job_class && load.speed_percent > speed) {
            result.push_back(input.action(interference_step::throttle, load, speed));
        }
    }
    return result;
}

std::vector<interference_action> interference_controller::raise(pair_state& state,
                                                                const report& input) const {
    const auto& culprit = input.culprit();
    if (options_.mode == interference_mode::evict_at_once) {
        return {input.action(interference_step::evict, culprit, culprit.speed_percent)};
    }
    auto throttles = throttle(input, static_cast<double>(input.sample.p99_us));
    if (!throttles.empty()) {
        return throttles;
    }
    const auto step = state.has_moved ? interference_step::evict : interference_step::move;
    state.has_moved = true;
    return {input.action(step, culprit, culprit.speed_percent)};
}

std::vector<interference_action> interference_controller::restore(const report& input) const {
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
    // One report is noisy, so the model's expectation counts as well.
    const double present = std::max(static_cast<double>(input.sample.p99_us), input.expected_us());
    if (present * std::exp(rise) >
        (options_.low_latency_ratio + options_.high_latency_ratio) / 2 * input.base) {
        return {};
    }
    return {input.action(interference_step::restore, *slowest, speed)};
}

void interference_controller::remove_worker(const worker_id& worker) {
    std::erase_if(states_, [&](const auto& item) { return item.first.first == worker; });
}

}  // namespace tanagerpaddle
