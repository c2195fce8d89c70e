#include <algorithm>
#include <cctype>
#include <cmath>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

constexpr double buckets_per_octave = 4;
constexpr double middle_bucket = 28;  // ratio 1
// Lower progress is not extrapolated.
constexpr double min_progress = 0.02;
// Expected remaining fraction of the elapsed run time for a task that exceeds its estimate.
constexpr double overrun_fraction = 0.25;

std::string prefix_of(const job_id& job, const team_id& team) {
    const std::string& text = job.value();
    const auto dash = text.rfind('-');
    std::string prefix = team.value() + '\0';
    for (const char c : text.substr(0, dash == std::string::npos ? text.size() : dash)) {
        if (std::isdigit(static_cast<unsigned char>(c)) == 0) {
            prefix.push_back(c);
        }
    }
    return prefix;
}

milliseconds scaled(milliseconds value, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

}  // namespace

void run_time_model::add(ratio_histogram& histogram, double ratio) const {
    const double bucket = std::round(std::log2(ratio) * buckets_per_octave + middle_bucket);
    const auto last = static_cast<double>(histogram.weights.size() - 1);
    for (auto& weight : histogram.weights) {
        weight *= options_.decay;
    }
    histogram.weights.at(static_cast<std::size_t>(std::clamp(bucket, 0.0, last))) += 1;
    histogram.total = histogram.total * options_.decay + 1;
}

double run_time_model::quantile_of(const ratio_histogram& histogram) const {
    double sum = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < histogram.weights.size(); ++bucket) {
        sum += histogram.weights.at(bucket);
        if (sum >= options_.quantile * histogram.total) {
            break;
        }
    }
    return std::exp2((static_cast<double>(bucket) - middle_bucket) / buckets_per_octave);
}

void run_time_model::record_completion(const job_id& job, const team_id& team,
                                       milliseconds declared, milliseconds actual) {
    const double ratio = std::max<double>(1, static_cast<double>(actual.count())) /
                         std::max<double>(1, static_cast<double>(declared.count()));
    add(teams_[team], ratio);
    auto& prefix = prefixes_[prefix_of(job, team)];
    add(prefix, ratio);
    prefix.last_use = ++use_counter_;
    if (prefixes_.size() > options_.max_prefixes) {
        prefixes_.erase(std::min_element(
            prefixes_.begin(), prefixes_.end(),
            [](const auto& a, const auto& b) { return a.second.last_use < b.second.last_use; }));
    }
}

milliseconds run_time_model::estimate(const job_id& job, const team_id& team,
                                      milliseconds declared) const {
    const auto prefix = prefixes_.find(prefix_of(job, team));
    if (prefix != prefixes_.end() && prefix->second.total >= options_.min_sample_weight) {
        return scaled(declared, quantile_of(prefix->second));
    }
    const auto by_team = teams_.find(team);
    if (by_team != teams_.end() && by_team->second.total >= options_.min_sample_weight) {
        return scaled(declared, quantile_of(by_team->second));
    }
    return declared;
}

milliseconds run_time_model::estimate_remaining(const job_id& job, const team_id& team,
                                                milliseconds declared, milliseconds run,
                                                double progress) const {
    const milliseconds expected = estimate(job, team, declared);
    const milliseconds by_estimate =
        std::max({expected - run, scaled(run, overrun_fraction), milliseconds(0)});
    if (progress < min_progress || run.count() <= 0) {
        return by_estimate;
    }
    const double done = std::min(progress, 1.0);
    const milliseconds by_progress = scaled(run, (1 - done) / done);
    // The weight of the extrapolated progress grows with the progress.
    return scaled(by_progress, done) + scaled(by_estimate, 1 - done);
}

}  // namespace tanagerpaddle
