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
    // Mean loads differ by up to this share of the mean.
    double load_spread = 0;
    // Largest relative error of a measured tail.
    double tail_error = 0;
    // Jobs of one step that arrive in a second, on average, and their tasks. From 12 to 18 s the
    // rate is `burst_factor` times as high.
    double jobs_per_s = 2;
    double burst_factor = 1.6;
    std::uint32_t tasks_per_job = 32;
    filler_rules rules;
    // A burst begins every `burst_period` after the first one; 0 if there is only that one.
    milliseconds burst_period{0};
    std::uint32_t steps_per_job = 1;
    // Run times of filler tasks at full pace are uniform between these.
    double min_work_s = 0.8;
    double max_work_s = 3.2;
    // Declared run times are wrong by up to this share of the mean run time.
    milliseconds estimate{1'700};
    double estimate_error = 0;
    std::int64_t capacity_millicores = 64'000;
    // Without `serving_jobs` each instance has one serving task, of four fifths of the instance.
    std::int64_t serving_millicores = 51'000;
    std::int64_t filler_millicores = 7'000;
    // Jobs of `tasks_per_serving_job` serving tasks, one image each, at most one task of a job on
    // an instance.
    std::size_t serving_jobs = 0;
    std::uint32_t tasks_per_serving_job = 14;
    // Time until a new pace takes effect.
    milliseconds pace_delay{0};
    // Share of the jobs whose tasks write checkpoints.
    double checkpointing_share = 1;
};

struct fleet_result {
    // Share of the jobs that end within their objective: twice the longest run times of their steps
    // plus 1 s.
    double on_time = 0;
    // Mean benefit of the jobs: 1 within the objective, 0.15 within three times the objective.
    double benefit = 0;
    // Share of time that serving tasks are over their target.
    double over_target = 0;
    // Median over the jobs of their duration divided by that of four fifths of their tasks.
    double straggler_ratio = 0;
    std::size_t jobs = 0;
    std::size_t moves = 0;
    // Longest time for which a serving task was over its target without interruption.
    milliseconds longest_over_target{0};
    // Changes of the pace of a run.
    std::size_t pace_orders = 0;
    // Seconds that fillers ran below 30% of full speed.
    double throttled_s = 0;
    // Seconds of work that stopped runs lost.
    double lost_s = 0;
};

// Plays `length` of arrivals, and what follows until all jobs have ended, but at most as long
// again.
[[nodiscard]] fleet_result play_fleet(const fleet_options& options, milliseconds length);

}  // namespace tanagerpaddle::dispatch::testing
