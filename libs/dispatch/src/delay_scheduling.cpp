#include "delay_scheduling.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch {

namespace {

// Share of a run in percent from which its progress predicts its end better than its estimate:
// percentages are whole numbers and up to 0.3 s old, a third of a run of 1 s.
constexpr int min_predictive_percent = 10;
// Delay until the end of a run is reported: the agents' heartbeat interval.
constexpr milliseconds report_interval{300};
// Runs of an image on and off the rack from which their ratio replaces the configured factor.
constexpr std::uint32_t min_measured_runs = 5;
// Weight of a new run in a mean is at least one in this many, so that the mean follows changes.
constexpr std::uint32_t max_mean_runs = 50;
// Images whose runs are measured; the least recently used is dropped. As in run_times.
constexpr std::size_t max_images = 512;
// A move must save half of what it costs on top, since both are predictions.
constexpr double min_move_ratio = 1.5;
// Time to stop a task and to restore it on another executor: a stop takes up to 0.9 s.
constexpr milliseconds restore_time{1'000};

milliseconds scaled(milliseconds time, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

milliseconds time_between(instant from, instant to) {
    return std::chrono::duration_cast<milliseconds>(to - from);
}

}  // namespace

milliseconds gain_on_rack(const wait_terms& terms) {
    return std::max(milliseconds(0), scaled(terms.run_time, terms.off_rack_factor - 1));
}

instant latest_start_on_rack(const wait_terms& terms) {
    const auto gain = gain_on_rack(terms);
    for (const instant end : {terms.objective, terms.late_objective}) {
        const auto slack_on_rack = time_between(terms.ready_at + terms.chain_left, end);
        const auto slack_elsewhere = slack_on_rack - gain;
        const bool is_late = end != terms.objective;
        if (slack_elsewhere >= milliseconds(0)) {
            return terms.ready_at + (is_late ? milliseconds(0) : std::min(gain, slack_elsewhere));
        }
        if (slack_on_rack >= milliseconds(0)) {
            return terms.ready_at + std::min(gain, slack_on_rack);
        }
    }
    return terms.ready_at;
}

instant predicted_end(const run_progress& run, instant now) {
    auto total = run.estimate;
    if (run.started_at) {
        const auto elapsed = time_between(*run.started_at, now);
        if (run.percent >= min_predictive_percent) {
            total = time_between(*run.started_at, run.progressed_at) * 100 / run.percent;
        } else if (elapsed > run.estimate) {
            return now + elapsed;
        }
    }
    const auto end = run.progressed_at + total * (100 - std::clamp(run.percent, 0, 100)) / 100;
    return std::max(end, now) + report_interval / 2;
}

void rack_forecast::add_instance(std::size_t index, const resources& free,
                                 std::int64_t idle_millicores,
                                 const std::vector<release>& releases) {
    auto& added = instances_.emplace_back();
    added.index = index;
    added.at = now_;
    added.free = free;
    added.idle = idle_millicores;
    for (const auto& entry : releases) {
        added.releases.emplace(entry.at, entry.demand);
    }
}

std::optional<instant> rack_forecast::earliest_start(const instance& target,
                                                     const place_demand& demand, instant limit) {
    auto free = target.free;
    auto idle = target.idle;
    instant at = target.at;
    for (auto next = target.releases.begin();; ++next) {
        const bool fits =
            demand.reserved.fits_in(free) && (!demand.is_filler || demand.processors <= idle);
        if (fits || next == target.releases.end()) {
            return fits && at <= limit ? std::optional(at) : std::nullopt;
        }
        at = std::max(at, next->first);
        if (at > limit) {
            return std::nullopt;
        }
        free += next->second.reserved;
        idle += next->second.processors;
    }
}

void rack_forecast::take_place(instance& target, const place_demand& demand, instant start,
                               milliseconds run_time) {
    target.at = start;
    while (!target.releases.empty() && target.releases.begin()->first <= start) {
        target.free += target.releases.begin()->second.reserved;
        target.idle += target.releases.begin()->second.processors;
        target.releases.erase(target.releases.begin());
    }
    target.free -= demand.reserved;
    target.idle -= demand.processors;
    target.releases.emplace(start + run_time, demand);
}

std::optional<instant> rack_forecast::reserve(const place_demand& demand, std::size_t count,
                                              milliseconds run_time, instant limit,
                                              const places_on& places) {
    auto trial = instances_;
    std::vector<std::uint32_t> left;
    left.reserve(trial.size());
    for (const auto& target : trial) {
        left.push_back(places(target.index));
    }
    instant last = now_;
    for (std::size_t task = 0; task < count; ++task) {
        std::optional<std::size_t> best;
        instant best_start = limit;
        for (std::size_t i = 0; i < trial.size(); ++i) {
            const auto start = left[i] > 0 ? earliest_start(trial[i], demand, best_start)
                                           : std::optional<instant>();
            if (start && (!best || *start < best_start)) {
                best = i;
                best_start = *start;
            }
        }
        if (!best) {
            return std::nullopt;
        }
        --left[*best];
        take_place(trial[*best], demand, best_start, run_time);
        last = std::max(last, best_start);
    }
    instances_ = std::move(trial);
    return last;
}

void off_rack_factors::mean::add(double sample) {
    count = std::min(count + 1, max_mean_runs);
    value += (sample - value) / count;
}

void off_rack_factors::record(const std::string& image, bool is_on_rack,
                              double run_time_over_estimate) {
    auto& found = entries_[image];
    found.used_at = ++uses_;
    (is_on_rack ? found.on_rack : found.off_rack).add(run_time_over_estimate);
    if (entries_.size() > max_images) {
        entries_.erase(std::min_element(
            entries_.begin(), entries_.end(),
            [](const auto& a, const auto& b) { return a.second.used_at < b.second.used_at; }));
    }
}

double off_rack_factors::factor(const std::string& image, double configured) const {
    const auto found = entries_.find(image);
    if (found == entries_.end() || found->second.on_rack.count < min_measured_runs ||
        found->second.off_rack.count < min_measured_runs || found->second.on_rack.value <= 0) {
        return std::max(1.0, configured);
    }
    return std::max(1.0, found->second.off_rack.value / found->second.on_rack.value);
}

bool is_worth_moving_back(milliseconds left_off_rack, milliseconds since_checkpoint,
                          double off_rack_factor) {
    const auto left_on_rack =
        scaled(left_off_rack + since_checkpoint, 1 / std::max(1.0, off_rack_factor)) + restore_time;
    return left_off_rack > scaled(left_on_rack, min_move_ratio);
}

}  // namespace tanagerpaddle::dispatch
