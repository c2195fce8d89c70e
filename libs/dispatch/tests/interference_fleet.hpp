#pragma once

// A simulated fleet whose serving tasks slow down under interference: the real coordinator and
// pacers, with executors that follow the model of interference_model. For tests that replay a load
// against different rules.

#include <map>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch::testing {

struct fleet_options {
    std::uint64_t seed = 1;
    std::size_t instances = 40;
    // Images of serving tasks and of fillers, and the share of pairs that interfere.
    std::size_t serving_images = 14;
    std::size_t filler_images = 30;
    double heavy_share = 0.55;
    double max_pressure = 1.5;
    // The own load of a serving task swings by `load_swing` of its mean within `swing_period`.
    double mean_load = 0.48;
    double load_swing = 0.5;
    milliseconds swing_period{20'000};
    // Jobs of one step that arrive in a second, on average, and their tasks. From 12 to 18 s the
    // rate is `burst_factor` times as high.
    double jobs_per_s = 2;
    double burst_factor = 1.6;
    std::uint32_t tasks_per_job = 32;
    filler_rules rules;
};

struct fleet_result {
    // Share of the jobs that end within twice the longest run time of their tasks plus 1 s.
    double on_time = 0;
    // Share of time that serving tasks are over their target.
    double over_target = 0;
    // Median over the jobs of their duration divided by that of four fifths of their tasks.
    double straggler_ratio = 0;
    std::size_t jobs = 0;
    std::size_t moves = 0;
};

// Plays `length` of arrivals, and what follows until all jobs have ended, but at most as long
// again.
[[nodiscard]] fleet_result play_fleet(const fleet_options& options, milliseconds length);

}  // namespace tanagerpaddle::dispatch::testing
