#include <algorithm>
#include <cmath>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Estimate for a pair never observed together: halfway between harmless and heavy.
constexpr double initial_pressure = 0.5;
constexpr double initial_variance = 0.3;
constexpr double max_pressure = 8.0;
// Variance of a restored estimate, which may be seconds old: its standard deviation is about
// min_significant_pressure.
constexpr double restored_variance = 0.06;
// Variance that an estimate gains per second, since interference changes within seconds.
constexpr double variance_growth_per_s = 0.0005;
// Standard deviation of the change of a task's baseline load between two samples half a second
// apart.
constexpr double baseline_load_change_stddev = 0.06;
// Variance of a tail latency rounded to whole milliseconds; twice that of a uniform distribution of
// that width, since measured tails are imprecise.
constexpr double tail_rounding_variance = 1.0 / 6;
// Tails beyond this multiple of the target come from a growing queue: they give only a lower bound
// of the utilisation.
constexpr double overloaded_tail_ratio = 1.5;
// Samples further apart than this are not compared: the baseline load may have changed.
constexpr milliseconds max_sample_gap{1'500};
// Pairs below this count as harmless: a filler that uses a third of the instance adds at most 8%
// utilisation.
constexpr double min_significant_pressure = 0.25;
// Utilisation is capped at this: higher values indicate only an overloaded task.
constexpr double max_utilisation = 0.98;
// Tail latency of an idle task as a share of its target, until a lower one is measured.
constexpr double initial_idle_tail_ratio = 0.2;
// Fillers are paced so that the predicted tail is at most this share of the target.
constexpr double planned_tail_ratio = 0.7;
// Share of the rise of a task's baseline load since the last sample that is expected to go on until
// the next one, since a pace is half a second old before it changes. With 0.5, serving tasks of the
// simulated fleet are over their targets for a fifth less of the time
// (docs/design/filler-relief.md).
constexpr double expected_rise_share = 0.5;
// The model's prediction is wrong for a task over its target for this long (two samples). With half
// a second until a new pace takes effect, more than half of the 4 s that a task may stay over its
// target remain.
constexpr milliseconds max_time_over_target{1'000};

double share(std::int64_t millicores_used, const interference_sample& sample) {
    const auto capacity = std::max<std::int64_t>(1, sample.capacity.value());
    return static_cast<double>(millicores_used) / static_cast<double>(capacity);
}

bool is_overloaded(const interference_sample::serving& task) {
    return static_cast<double>(task.tail.count()) >
           overloaded_tail_ratio * static_cast<double>(task.target.count());
}

std::map<std::string, double> shares_by_image(const interference_sample& sample) {
    std::map<std::string, double> shares;
    for (const auto& filler : sample.fillers) {
        shares[filler.image] += share(filler.used.value(), sample);
    }
    return shares;
}

const interference_sample::serving* find_serving(const interference_sample& sample,
                                                 const std::string& image) {
    const auto found = std::find_if(sample.serving_tasks.begin(), sample.serving_tasks.end(),
                                    [&](const auto& task) { return task.image == image; });
    return found == sample.serving_tasks.end() ? nullptr : &*found;
}

bool is_same(const interference_sample& a, const interference_sample& b) {
    const auto same_tail = [](const auto& x, const auto& y) {
        return x.image == y.image && x.tail == y.tail;
    };
    const auto same_use = [](const auto& x, const auto& y) {
        return x.image == y.image && x.used == y.used;
    };
    return std::equal(a.serving_tasks.begin(), a.serving_tasks.end(), b.serving_tasks.begin(),
                      b.serving_tasks.end(), same_tail) &&
           std::equal(a.fillers.begin(), a.fillers.end(), b.fillers.begin(), b.fillers.end(),
                      same_use);
}

}  // namespace

double interference_model::pressure(const std::string& serving, const std::string& filler) const {
    const auto row = estimates_.find(serving);
    if (row == estimates_.end()) {
        return initial_pressure;
    }
    const auto found = row->second.find(filler);
    if (found == row->second.end()) {
        return initial_pressure;
    }
    return found->second.mean < min_significant_pressure ? 0 : found->second.mean;
}

interference_model::pressure_table interference_model::pressures() const {
    pressure_table table;
    for (const auto& [serving, fillers] : estimates_) {
        for (const auto& [filler, known] : fillers) {
            table[serving][filler] = pressure(serving, filler);
        }
    }
    return table;
}

double interference_model::idle_tail_ms(const std::string& serving, milliseconds target) const {
    const auto found = idle_tails_ms_.find(serving);
    return found == idle_tails_ms_.end()
               ? static_cast<double>(target.count()) * initial_idle_tail_ratio
               : found->second;
}

double interference_model::utilisation(const std::string& serving, milliseconds target,
                                       double tail_ms) const {
    const double floor = idle_tail_ms(serving, target);
    return tail_ms <= floor ? 0 : std::min(max_utilisation, 1 - floor / tail_ms);
}

double interference_model::utilisation_limit(const std::string& serving,
                                             milliseconds target) const {
    return utilisation(serving, target, static_cast<double>(target.count()) * planned_tail_ratio);
}

double interference_model::baseline_load(const interference_sample::serving& task,
                                         const interference_sample& sample) const {
    double filler_load = 0;
    for (const auto& filler : sample.fillers) {
        filler_load += pressure(task.image, filler.image) * share(filler.used.value(), sample);
    }
    const double now = utilisation(task.image, task.target, static_cast<double>(task.tail.count()));
    return std::max(0.0, now - filler_load);
}

void interference_model::observe(const std::string& source, instant now,
                                 const interference_sample& sample) {
    ++revision_;
    for (const auto& task : sample.serving_tasks) {
        if (task.tail.count() <= 0) {
            continue;
        }
        const auto [floor, is_new] = idle_tails_ms_.try_emplace(
            task.image, static_cast<double>(task.target.count()) * initial_idle_tail_ratio);
        floor->second = std::min(floor->second, static_cast<double>(task.tail.count()));
    }
    auto& earlier = previous_samples_[source];
    const auto gap = now - earlier.at;
    if (gap <= max_sample_gap && is_same(earlier.sample, sample)) {
        return;  // no new measurement since the last sample
    }
    if (gap <= max_sample_gap) {
        auto changes = shares_by_image(sample);
        for (const auto& [image, used] : shares_by_image(earlier.sample)) {
            changes[image] -= used;
        }
        const double seconds = std::chrono::duration<double>(gap).count();
        for (const auto& task : sample.serving_tasks) {
            const auto* before = find_serving(earlier.sample, task.image);
            if (before != nullptr && task.tail.count() > 0 && before->tail.count() > 0) {
                update_estimates(task, *before, changes, seconds);
            }
        }
    }
    earlier = {now, sample};
}

// One step of the Kalman filter with a diagonal covariance: pairs are assumed to be independent.
void interference_model::update_estimates(const interference_sample::serving& task,
                                          const interference_sample::serving& earlier,
                                          const std::map<std::string, double>& changes,
                                          double seconds) {
    const double floor = idle_tail_ms(task.image, task.target);
    double noise = baseline_load_change_stddev * baseline_load_change_stddev;
    double error = 0;
    for (const auto* measured : {&task, &earlier}) {
        const auto tail = static_cast<double>(measured->tail.count());
        const double level = utilisation(task.image, task.target, tail);
        const double slope = floor / (tail * tail);
        noise += slope * slope * tail_rounding_variance;
        error += measured == &task ? level : -level;
    }
    auto& known = estimates_[task.image];
    double innovation_variance = noise;
    for (const auto& [image, change] : changes) {
        const auto& pair =
            known.try_emplace(image, estimate{initial_pressure, initial_variance}).first->second;
        innovation_variance += pair.variance * change * change;
        error -= pair.mean * change;
    }
    // An overloaded sample hides part of the change: it can only be evidence of a higher pressure.
    const bool is_censored = (is_overloaded(task) && error < 0) ||
                             (is_overloaded(earlier) && error > 0) ||
                             (is_overloaded(task) && is_overloaded(earlier));
    if (is_censored) {
        return;
    }
    for (const auto& [image, change] : changes) {
        auto& pair = known.at(image);
        const double gain = pair.variance * change / innovation_variance;
        pair.mean = std::clamp(pair.mean + gain * error, 0.0, max_pressure);
        pair.variance = std::min(initial_variance, pair.variance * (1 - gain * change) +
                                                       variance_growth_per_s * seconds);
    }
}

void interference_model::set(const std::string& serving, const std::string& filler,
                             double pressure_value) {
    estimates_[serving][filler] = {std::clamp(pressure_value, 0.0, max_pressure), initial_variance};
    ++revision_;
}

void interference_model::restore_pressure(const std::string& serving, const std::string& filler,
                                          double pressure_value) {
    estimates_[serving].try_emplace(
        filler, estimate{std::clamp(pressure_value, 0.0, max_pressure), restored_variance});
    ++revision_;
}

// ---------------------------------------------------------------------------------------------
// Pacing

bool interference_pacer::exceeds_target_too_long(const interference_sample& sample, instant now) {
    std::map<std::string, instant> over;
    bool is_any_too_long = false;
    for (const auto& task : sample.serving_tasks) {
        if (task.tail > task.target) {
            const auto before = over_since_.find(task.image);
            const auto since = before == over_since_.end() ? now : before->second;
            over[task.image] = since;
            is_any_too_long = is_any_too_long || now - since >= max_time_over_target;
        }
    }
    over_since_ = std::move(over);
    return is_any_too_long;
}

const std::map<std::string, int>& interference_pacer::update(const interference_model& model,
                                                             const interference_sample& sample,
                                                             instant now) {
    std::map<std::string, int> next;
    if (exceeds_target_too_long(sample, now)) {
        for (const auto& filler : sample.fillers) {
            next[filler.image] = 0;
        }
        percents_ = std::move(next);
        return percents_;
    }
    std::vector<double> slack;
    std::map<std::string, double> loads;
    for (const auto& task : sample.serving_tasks) {
        const double load = model.baseline_load(task, sample);
        const auto before = baseline_loads_.find(task.image);
        const double rise = before == baseline_loads_.end() ? 0 : load - before->second;
        slack.push_back(model.utilisation_limit(task.image, task.target) - load -
                        expected_rise_share * std::max(0.0, rise));
        loads[task.image] = load;
    }
    baseline_loads_ = std::move(loads);
    // Images with the lowest pressure first: each core that they use costs the serving tasks least.
    std::vector<std::pair<double, const interference_sample::filler*>> order;
    for (const auto& filler : sample.fillers) {
        double worst = 0;
        for (const auto& task : sample.serving_tasks) {
            worst = std::max(worst, model.pressure(task.image, filler.image));
        }
        order.emplace_back(worst, &filler);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [worst, filler] : order) {
        const double demand = share(filler->demand.value(), sample);
        double allowed = 1;
        for (std::size_t i = 0; i < slack.size(); ++i) {
            const double cost =
                model.pressure(sample.serving_tasks[i].image, filler->image) * demand;
            if (cost > 0) {
                allowed = std::min(allowed, std::max(0.0, slack[i]) / cost);
            }
        }
        for (std::size_t i = 0; i < slack.size(); ++i) {
            slack[i] -=
                allowed * demand * model.pressure(sample.serving_tasks[i].image, filler->image);
        }
        next[filler->image] = static_cast<int>(std::lround(allowed * 100));
    }
    percents_ = std::move(next);
    return percents_;
}

}  // namespace tanagerpaddle::dispatch
