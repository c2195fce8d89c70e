#pragma once

// Plays one load with the break-even rule, without waits, and with waits that never end.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "locality_fleet.hpp"

namespace tanagerpaddle::dispatch::testing {

// Interval of the simulation's plans; smaller differences mean nothing.
constexpr double simulation_step_ms = 20;

enum class policy { break_even, never, always };

struct load {
    // Share of the urgent jobs that want the first rack.
    double share_on_rack = 0.6;
    double jobs_per_s = 12;
    milliseconds length{15'000};
    milliseconds estimate{1'000};
    // Called before each job is submitted, with the time since the start.
    std::function<void(locality_fleet&, milliseconds)> disturb = [](locality_fleet&, milliseconds) {
    };
};

// Urgent jobs of 1.6 steps of 10 tasks; 1 s on 0.54 cores for each task on the rack.
struct outcome {
    double on_time = 0;
    double mean_ms = 0;
    std::size_t ended = 0;
    std::size_t submitted = 0;
    std::size_t on_rack = 0;
    std::size_t elsewhere = 0;
    std::vector<std::string> violations;
};

inline outcome play(locality_options options, const load& demand, policy chosen,
                    const std::function<void(locality_fleet&)>& prepare = {}) {
    options.rules.off_rack_factor = chosen == policy::break_even ? options.off_rack_factor : 1;
    locality_fleet fleet(options);
    fleet.run_for(milliseconds(1'500));
    if (prepare) {
        prepare(fleet);
    }
    random_source random(3);
    outcome result;
    const milliseconds interval(static_cast<std::int64_t>(1'000 / demand.jobs_per_s));
    double on_time = 0;
    std::map<job_id, milliseconds> objectives;
    for (milliseconds passed{0}; passed < demand.length; passed += interval) {
        demand.disturb(fleet, passed);
        locality_job shape;
        shape.steps = random.chance(0.6) ? 2 : 1;
        shape.estimate = demand.estimate;
        shape.rack = random.chance(demand.share_on_rack) ? "rack-0" : "";
        auto job = make_locality_job("job-" + std::to_string(passed.count()), shape);
        if (chosen == policy::always && !shape.rack.empty()) {
            for (auto& step : job.spec.steps) {
                step.required_label = shape.rack;
            }
        }
        objectives[job.id] = demand.estimate * 3 * shape.steps / 2 + milliseconds(250);
        fleet.submit(job);
        fleet.run_for(interval);
    }
    fleet.run_for(milliseconds(30'000));
    double sum = 0;
    for (const auto& [id, objective] : objectives) {
        const auto found = fleet.job_times.find(id);
        // A job that has not ended counts as long as the play lasts.
        const auto time = found == fleet.job_times.end() ? milliseconds(45'000) : found->second;
        on_time += time <= objective ? 1 : 0;
        sum += static_cast<double>(time.count());
        result.ended += found != fleet.job_times.end() ? 1 : 0;
    }
    result.submitted = objectives.size();
    result.on_time = on_time / static_cast<double>(objectives.size());
    result.mean_ms = sum / static_cast<double>(objectives.size());
    result.on_rack = fleet.starts_on_rack;
    result.elsewhere = fleet.starts_elsewhere;
    result.violations = fleet.violations;
    return result;
}

inline std::string to_string(const outcome& result) {
    return std::to_string(result.on_time) + " of " + std::to_string(result.submitted) +
           " on time, mean " + std::to_string(static_cast<int>(result.mean_ms)) + " ms, ended " +
           std::to_string(result.ended) + ", starts on the rack " + std::to_string(result.on_rack) +
           ", elsewhere " + std::to_string(result.elsewhere);
}

struct comparison {
    outcome kept;
    outcome never;
    outcome always;
};

inline comparison compare(const std::string& what, const locality_options& options,
                          const load& demand,
                          const std::function<void(locality_fleet&)>& prepare = {}) {
    comparison result{play(options, demand, policy::break_even, prepare),
                      play(options, demand, policy::never, prepare),
                      play(options, demand, policy::always, prepare)};
    MESSAGE(what << "\n  break-even: " << to_string(result.kept) << "\n  never:      "
                 << to_string(result.never) << "\n  always:     " << to_string(result.always));
    for (const auto* played : {&result.kept, &result.never, &result.always}) {
        CHECK_MESSAGE(played->violations.empty(), played->violations.front());
    }
    return result;
}

}  // namespace tanagerpaddle::dispatch::testing
