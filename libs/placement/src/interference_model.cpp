#include <algorithm>
#include <cmath>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

// The baseline falls quickly to lower values and rises slowly, so it follows the low end of the
// reports while batch work is present, and the middle of them when none is.
constexpr double fall_rate = 0.2;
constexpr double rise_rate = 0.005;
constexpr double idle_rate = 0.1;
// Step of the normalised least mean squares; smaller values average over more noisy reports.
constexpr double learning_rate = 0.1;
// Keeps the step finite for very small uses, in cores squared.
constexpr double least_square = 1.0;
constexpr double millicores_per_core = 1'000;

double cores(millicores use) {
    return static_cast<double>(use.value()) / millicores_per_core;
}

std::size_t load_step(double load, std::size_t steps) {
    const auto step =
        static_cast<std::size_t>(std::clamp(load, 0.0, 1.0) * static_cast<double>(steps));
    return std::min(step, steps - 1);
}

}  // namespace

void interference_model::add_sample(const interference_sample& sample) {
    if (sample.p99_us <= 0) {
        return;
    }
    const auto measured = static_cast<double>(sample.p99_us);
    auto& base = baselines_[sample.service].p99_us.at(load_step(sample.load, load_steps));
    if (base <= 0) {
        base = measured;
    }
    if (sample.class_usage.empty()) {
        base += idle_rate * (measured - base);
        return;
    }
    base += (measured < base ? fall_rate : rise_rate) * (measured - base);
    double expected = 0;
    double square = least_square;
    for (const auto& [job_class, use] : sample.class_usage) {
        const auto position = effects_.find({job_class, sample.service});
        if (position != effects_.end()) {
            expected += position->second.per_core * cores(use);
        }
        square += cores(use) * cores(use);
    }
    const double off = std::log(measured / base) - expected;
    for (const auto& [job_class, use] : sample.class_usage) {
        const std::pair key(job_class, sample.service);
        if (!effects_.contains(key) && effects_.size() >= max_pairs_) {
            effects_.erase(std::min_element(
                effects_.begin(), effects_.end(),
                [](const auto& a, const auto& b) { return a.second.count < b.second.count; }));
        }
        auto& value = effects_[key];
        // Batch work never makes a service faster, so the effect stays at or above zero.
        value.per_core = std::max(0.0, value.per_core + learning_rate * off * cores(use) / square);
        ++value.count;
    }
}

double interference_model::baseline_us(const service_id& service, double load) const {
    const auto position = baselines_.find(service);
    return position == baselines_.end() ? 0
                                        : position->second.p99_us.at(load_step(load, load_steps));
}

double interference_model::slowdown(const std::string& job_class, const service_id& service,
                                    millicores use) const {
    const auto position = effects_.find({job_class, service});
    return position == effects_.end() ? 0 : std::expm1(position->second.per_core * cores(use));
}

std::uint64_t interference_model::sample_count(const std::string& job_class,
                                               const service_id& service) const {
    const auto position = effects_.find({job_class, service});
    return position == effects_.end() ? 0 : position->second.count;
}

}  // namespace tanagerpaddle
