#pragma once

// A simulated fleet under a burst of large jobs whose declared run times are unreliable: the real
// coordinator and admission rules, with executors that run tasks for their true run times and
// callers that submit refused jobs again. For tests that compare rules.

#include <set>
#include <string>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch::testing {

// Loads and objectives are those of the customer Pardalote (docs/two-customers.md); the serving
// jobs are left out, and with them their part of the capacity.
struct overload_options {
    std::uint64_t seed = 1;
    std::size_t instances = 30;
    std::size_t images = 12;
    double urgent_per_s = 11.8;
    double large_per_s = 1.9;
    // The rate of large jobs is multiplied by this from 15 to 45 s.
    double burst_factor = 2.1;
    double declared_error = 0.9;
    ordering_rules ordering;
    bool refuses_overload = false;
};

struct overload_result {
    std::size_t large = 0;
    std::size_t urgent = 0;
    // Share of the jobs that end within their objective.
    double large_on_time = 0;
    double urgent_on_time = 0;
    // Jobs of which every submission was refused, and submissions that were refused.
    std::size_t refused = 0;
    std::size_t refusals = 0;
    // Large jobs that end within three times their objective, or not.
    std::size_t late = 0;
    std::size_t too_late = 0;
    // Mean benefit of all jobs, in units of that of a large job of mean work.
    double benefit = 0;
    // Of the large jobs alone.
    double large_benefit = 0;
    // Core-seconds that ran for jobs that ended too late.
    double wasted_core_s = 0;
    // The longest time from the submission of an accepted job to its end.
    double longest_s = 0;
    // The jobs that were refused for good.
    std::set<std::string> refused_jobs;
    // The jobs that yielded benefit.
    std::set<std::string> served_jobs;
};

// Plays 60 s of arrivals and what follows until all jobs have ended, at most as long again.
[[nodiscard]] overload_result play_overload(const overload_options& options);
[[nodiscard]] std::string to_string(const overload_result& result);

}  // namespace tanagerpaddle::dispatch::testing
