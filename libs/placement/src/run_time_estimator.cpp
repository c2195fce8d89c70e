#include <algorithm>
#include <cctype>
#include <cmath>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

constexpr double steps_per_octave = 4;
constexpr double middle_step = 28;  // the ratio 1
// Below this progress the extrapolation from it is left out.
constexpr double least_progress = 0.02;
// Share of the run so far that is expected to remain of a task that exceeds its estimate.
constexpr double overrun_share = 0.25;

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
    const double step = std::round(std::log2(ratio) * steps_per_octave + middle_step);
    const auto last = static_cast<double>(histogram.weights.size() - 1);
    for (auto& weight : histogram.weights) {
        weight *= options_.decay;
    }
    histogram.weights.at(static_cast<std::size_t>(std::clamp(step, 0.0, last))) += 1;
    histogram.total = histogram.total * options_.decay + 1;
}

// The ratio at the configured quantile.
double run_time_model::quantile_of(const ratio_histogram& histogram) const {
    double sum = 0;
    std::size_t step = 0;
    for (; step + 1 < histogram.weights.size(); ++step) {
        sum += histogram.weights.at(step);
        if (sum >= options_.quantile * histogram.total) {
            break;
        }
    }
    return std::exp2((static_cast<double>(step) - middle_step) / steps_per_octave);
}

void run_time_model::record_completion(const job_id& job, const team_id& team,
                                       milliseconds declared, milliseconds actual) {
    const double ratio = std::max<double>(1, static_cast<double>(actual.count())) /
                         std::max<double>(1, static_cast<double>(declared.count()));
    add(teams_[team], ratio);
    auto& prefix = prefixes_[prefix_of(job, team)];
    add(prefix, ratio);
    prefix.used_at = ++uses_;
    if (prefixes_.size() > options_.max_prefixes) {
        prefixes_.erase(std::min_element(
            prefixes_.begin(), prefixes_.end(),
            [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; }));
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
        std::max({expected - run, scaled(run, overrun_share), milliseconds(0)});
    if (progress < least_progress || run.count() <= 0) {
        return by_estimate;
    }
    const double done = std::min(progress, 1.0);
    const milliseconds by_progress = scaled(run, (1 - done) / done);
    // The further the task has come, the more its own progress says.
    return scaled(by_progress, done) + scaled(by_estimate, 1 - done);
}

}  // namespace tanagerpaddle
