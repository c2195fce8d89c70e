#include <algorithm>
#include <cmath>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

// Smoothing factors of the baseline. With batch work it falls quickly and rises slowly, so that it
// tracks the low end of the reports; without batch work it tracks their mean.
constexpr double fall_rate = 0.2;
constexpr double rise_rate = 0.005;
constexpr double idle_rate = 0.1;
// Step size of the normalised least mean squares filter; smaller values average over more reports.
constexpr double learning_rate = 0.1;
// Bounds the step for very small processor use, in cores squared.
constexpr double min_squared_norm = 1.0;
constexpr double millicores_per_core = 1'000;

double cores(millicores use) {
    return static_cast<double>(use.value()) / millicores_per_core;
}

std::size_t load_bucket(double load, std::size_t buckets) {
    const auto bucket =
        static_cast<std::size_t>(std::clamp(load, 0.0, 1.0) * static_cast<double>(buckets));
    return std::min(bucket, buckets - 1);
}

}  // namespace

void interference_model::add_sample(const interference_sample& sample) {
    if (sample.p99_us <= 0) {
        return;
    }
    const auto measured = static_cast<double>(sample.p99_us);
    auto& base = baselines_[sample.service].p99_us.at(load_bucket(sample.load, load_buckets));
    if (base <= 0) {
        base = measured;
    }
    if (sample.class_usage.empty()) {
        base += idle_rate * (measured - base);
        return;
    }
    base += (measured < base ? fall_rate : rise_rate) * (measured - base);
    double expected = 0;
    double squared_norm = min_squared_norm;
    for (const auto& [job_class, use] : sample.class_usage) {
        const auto position = effects_.find({job_class, sample.service});
        if (position != effects_.end()) {
            expected += position->second.log_increase_per_core * cores(use);
        }
        squared_norm += cores(use) * cores(use);
    }
    const double residual = std::log(measured / base) - expected;
    for (const auto& [job_class, use] : sample.class_usage) {
        const std::pair key(job_class, sample.service);
        if (!effects_.contains(key) && effects_.size() >= max_pairs_) {
            effects_.erase(std::min_element(
                effects_.begin(), effects_.end(),
                [](const auto& a, const auto& b) { return a.second.count < b.second.count; }));
        }
        auto& value = effects_[key];
        // Batch work never speeds a service up, so the effect is not negative.
        value.log_increase_per_core =
            std::max(0.0, value.log_increase_per_core +
                              learning_rate * residual * cores(use) / squared_norm);
        ++value.count;
    }
}

double interference_model::baseline_us(const service_id& service, double load) const {
    const auto position = baselines_.find(service);
    return position == baselines_.end()
               ? 0
               : position->second.p99_us.at(load_bucket(load, load_buckets));
}

double interference_model::slowdown(const std::string& job_class, const service_id& service,
                                    millicores use) const {
    const auto position = effects_.find({job_class, service});
    return position == effects_.end()
               ? 0
               : std::expm1(position->second.log_increase_per_core * cores(use));
}

std::uint64_t interference_model::sample_count(const std::string& job_class,
                                               const service_id& service) const {
    const auto position = effects_.find({job_class, service});
    return position == effects_.end() ? 0 : position->second.count;
}

}  // namespace tanagerpaddle
