#include <algorithm>
#include <cmath>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// A pair that was never seen together: halfway between harmless and heavy.
constexpr double first_pressure = 0.5;
constexpr double first_variance = 0.3;
constexpr double largest_pressure = 8.0;
// What an earlier owner had learned may be seconds old: a standard deviation of about the threshold
// for harmless pairs.
constexpr double recalled_variance = 0.06;
// Variance that an estimate gains in a second, since interference changes within seconds.
constexpr double drift_variance = 0.0005;
// Standard deviation of the change of a task's own load between two samples half a second apart.
constexpr double own_load_change = 0.06;
// Variance of a tail that is rounded to whole milliseconds, twice that of a uniform distribution of
// that width: tails are rough.
constexpr double rounding_variance = 1.0 / 6;
// Tails beyond this multiple of the target are those of a queue that grows: they say only that the
// utilisation is at least what they show.
constexpr double overloaded_tail = 1.5;
// Samples further apart than this say nothing about a change: the own load has moved on.
constexpr milliseconds longest_gap{1'500};
// Pairs below this are taken for harmless: at most 8% of a utilisation for a filler that uses a
// third of the machine.
constexpr double harmless_pressure = 0.25;
// Tails beyond this utilisation say only that the task is overloaded.
constexpr double largest_utilisation = 0.98;
// The tail of an idle task as a share of its target, until a smaller one is seen.
constexpr double first_floor = 0.2;
// Fillers are paced so that the tail is expected at this share of the target.
constexpr double aimed_tail = 0.7;
// A task over its target for this long, two samples, is not understood by the model. Half a second
// for the pace to show leaves more than half of the 4 s that such a task may last.
constexpr milliseconds longest_over_target{1'000};

double share(std::int64_t millicores_used, const interference_sample& sample) {
    const auto capacity = std::max<std::int64_t>(1, sample.capacity.value());
    return static_cast<double>(millicores_used) / static_cast<double>(capacity);
}

bool is_overloaded(const interference_sample::serving& task) {
    return static_cast<double>(task.tail.count()) >
           overloaded_tail * static_cast<double>(task.target.count());
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
        return first_pressure;
    }
    const auto found = row->second.find(filler);
    if (found == row->second.end()) {
        return first_pressure;
    }
    return found->second.mean < harmless_pressure ? 0 : found->second.mean;
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

double interference_model::floor_of(const std::string& serving, milliseconds target) const {
    const auto found = floors_.find(serving);
    return found == floors_.end() ? static_cast<double>(target.count()) * first_floor
                                  : found->second;
}

double interference_model::utilisation(const std::string& serving, milliseconds target,
                                       double tail_ms) const {
    const double floor = floor_of(serving, target);
    return tail_ms <= floor ? 0 : std::min(largest_utilisation, 1 - floor / tail_ms);
}

double interference_model::utilisation_limit(const std::string& serving,
                                             milliseconds target) const {
    return utilisation(serving, target, static_cast<double>(target.count()) * aimed_tail);
}

double interference_model::baseline_load(const interference_sample::serving& task,
                                         const interference_sample& sample) const {
    double pressed = 0;
    for (const auto& filler : sample.fillers) {
        pressed += pressure(task.image, filler.image) * share(filler.used.value(), sample);
    }
    const double now = utilisation(task.image, task.target, static_cast<double>(task.tail.count()));
    return std::max(0.0, now - pressed);
}

void interference_model::observe(const std::string& source, instant now,
                                 const interference_sample& sample) {
    ++revision_;
    for (const auto& task : sample.serving_tasks) {
        if (task.tail.count() <= 0) {
            continue;
        }
        const auto [floor, is_new] =
            floors_.try_emplace(task.image, static_cast<double>(task.target.count()) * first_floor);
        floor->second = std::min(floor->second, static_cast<double>(task.tail.count()));
    }
    auto& earlier = earlier_[source];
    const auto gap = now - earlier.at;
    if (gap <= longest_gap && is_same(earlier.sample, sample)) {
        return;  // the executor has not measured anew
    }
    if (gap <= longest_gap) {
        auto changes = shares_by_image(sample);
        for (const auto& [image, used] : shares_by_image(earlier.sample)) {
            changes[image] -= used;
        }
        const double seconds = std::chrono::duration<double>(gap).count();
        for (const auto& task : sample.serving_tasks) {
            const auto* before = find_serving(earlier.sample, task.image);
            if (before != nullptr && task.tail.count() > 0 && before->tail.count() > 0) {
                learn_difference(task, *before, changes, seconds);
            }
        }
    }
    earlier = {now, sample};
}

// One step of the filter with a diagonal covariance: pairs are held to be independent.
void interference_model::learn_difference(const interference_sample::serving& task,
                                          const interference_sample::serving& earlier,
                                          const std::map<std::string, double>& changes,
                                          double seconds) {
    const double floor = floor_of(task.image, task.target);
    double noise = own_load_change * own_load_change;
    double error = 0;
    for (const auto* measured : {&task, &earlier}) {
        const auto tail = static_cast<double>(measured->tail.count());
        const double level = utilisation(task.image, task.target, tail);
        const double slope = floor / (tail * tail);
        noise += slope * slope * rounding_variance;
        error += measured == &task ? level : -level;
    }
    auto& known = estimates_[task.image];
    double innovation_variance = noise;
    for (const auto& [image, change] : changes) {
        const auto& pair =
            known.try_emplace(image, estimate{first_pressure, first_variance}).first->second;
        innovation_variance += pair.variance * change * change;
        error -= pair.mean * change;
    }
    // An overloaded sample hides part of the change: it can only show more pressure than assumed.
    const bool is_hidden = (is_overloaded(task) && error < 0) ||
                           (is_overloaded(earlier) && error > 0) ||
                           (is_overloaded(task) && is_overloaded(earlier));
    if (is_hidden) {
        return;
    }
    for (const auto& [image, change] : changes) {
        auto& pair = known.at(image);
        const double gain = pair.variance * change / innovation_variance;
        pair.mean = std::clamp(pair.mean + gain * error, 0.0, largest_pressure);
        pair.variance = std::min(first_variance,
                                 pair.variance * (1 - gain * change) + drift_variance * seconds);
    }
}

void interference_model::set(const std::string& serving, const std::string& filler,
                             double pressure_value) {
    estimates_[serving][filler] = {std::clamp(pressure_value, 0.0, largest_pressure),
                                   first_variance};
    ++revision_;
}

void interference_model::restore_pressure(const std::string& serving, const std::string& filler,
                                 double pressure_value) {
    estimates_[serving].try_emplace(
        filler, estimate{std::clamp(pressure_value, 0.0, largest_pressure), recalled_variance});
    ++revision_;
}

// ---------------------------------------------------------------------------------------------
// Pacing

bool interference_pacer::is_overdue(const interference_sample& sample, instant now) {
    std::map<std::string, instant> over;
    bool is_any_overdue = false;
    for (const auto& task : sample.serving_tasks) {
        if (task.tail > task.target) {
            const auto before = over_since_.find(task.image);
            const auto since = before == over_since_.end() ? now : before->second;
            over[task.image] = since;
            is_any_overdue = is_any_overdue || now - since >= longest_over_target;
        }
    }
    over_since_ = std::move(over);
    return is_any_overdue;
}

const std::map<std::string, int>& interference_pacer::update(const interference_model& model,
                                                             const interference_sample& sample,
                                                             instant now) {
    std::map<std::string, int> next;
    if (is_overdue(sample, now)) {
        for (const auto& filler : sample.fillers) {
            next[filler.image] = 0;
        }
        percents_ = std::move(next);
        return percents_;
    }
    std::vector<double> slack;
    for (const auto& task : sample.serving_tasks) {
        slack.push_back(model.utilisation_limit(task.image, task.target) -
                        model.baseline_load(task, sample));
    }
    // The least disturbing images first: each core that they use costs the serving tasks least.
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
