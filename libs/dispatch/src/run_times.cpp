#include "run_times.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerpaddle::dispatch {

namespace {

// Weight of all earlier runs together at most: some ten jobs of 20 tasks, so that an image that
// becomes slower is followed within as many jobs.
constexpr double max_weight = 200;
// Evidence for the exponent that is assumed before any job was seen, in jobs, and its value. A
// declared run time can be wrong by 0.9 of itself, which makes it nearly useless within an image.
constexpr double prior_jobs = 4;
constexpr double prior_exponent = 0.25;
// Spread of the logarithm of declared run times below which they do not tell jobs apart: 5%.
constexpr double min_variance = 0.0025;
// Declared run times count between these, so that an odd one has a bounded effect.
constexpr double min_log_ratio = -3;
constexpr double max_log_ratio = 3;

double log_ms(milliseconds time) {
    return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

}  // namespace

void run_times::count_job(history& seen, milliseconds declared) {
    if (std::find(seen.recent.begin(), seen.recent.end(), declared) != seen.recent.end()) {
        return;
    }
    seen.recent[seen.next_recent] = declared;
    seen.next_recent = (seen.next_recent + 1) % recent_count;
    seen.jobs += 1;
}

void run_times::record(const std::string& image, milliseconds declared, milliseconds measured,
                       instant now) {
    const auto [position, is_new] = history_by_image_.try_emplace(image);
    auto& seen = position->second;
    if (!is_new) {
        images_by_order_.erase(seen.order);
    }
    seen.order = ++next_order_;
    images_by_order_[seen.order] = image;
    seen.recorded_at = now;
    ++seen.runs;
    count_job(seen, declared);
    // The weight stays below its bound, which forgets earlier runs exponentially.
    const double earlier = std::min(seen.weight, max_weight - 1);
    seen.weight = earlier + 1;
    const double share = 1 / seen.weight;
    const double declared_step = log_ms(declared) - seen.mean_log_declared;
    const double measured_step = log_ms(measured) - seen.mean_log_measured;
    seen.mean_ms += share * (static_cast<double>(measured.count()) - seen.mean_ms);
    seen.mean_log_declared += share * declared_step;
    seen.mean_log_measured += share * measured_step;
    seen.variance_declared = (1 - share) * (seen.variance_declared +  //
                                            share * declared_step * declared_step);
    seen.covariance = (1 - share) * (seen.covariance + share * declared_step * measured_step);
    if (history_by_image_.size() > max_images) {
        history_by_image_.erase(images_by_order_.begin()->second);
        images_by_order_.erase(images_by_order_.begin());
    }
}

double run_times::exponent(const history& seen) {
    if (seen.variance_declared < min_variance) {
        return prior_exponent;
    }
    const double fitted = std::clamp(seen.covariance / seen.variance_declared, 0.0, 1.0);
    const double trust = seen.jobs / (seen.jobs + prior_jobs);
    return trust * fitted + (1 - trust) * prior_exponent;
}

std::optional<milliseconds> run_times::estimate(const std::string& image,
                                                milliseconds declared) const {
    const auto found = history_by_image_.find(image);
    if (found == history_by_image_.end() || found->second.runs < min_runs) {
        return std::nullopt;
    }
    const auto& seen = found->second;
    const double ratio =
        std::clamp(log_ms(declared) - seen.mean_log_declared, min_log_ratio, max_log_ratio);
    const double scaled = seen.mean_ms * std::exp(exponent(seen) * ratio);
    return milliseconds(std::max<std::int64_t>(1, std::llround(scaled)));
}

std::optional<run_times::coverage> run_times::coverage_of(const std::string& image) const {
    const auto found = history_by_image_.find(image);
    if (found == history_by_image_.end()) {
        return std::nullopt;
    }
    return coverage{found->second.runs, found->second.recorded_at};
}

}  // namespace tanagerpaddle::dispatch
