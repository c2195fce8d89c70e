#pragma once

// Delay scheduling: how long the tasks of a step wait for a place on the rack of their data or of
// their group before they start elsewhere. Pure decisions; rack_waits.cpp feeds them.

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// What the wait of a step is weighed by.
struct wait_terms {
    // Since when the step could have started.
    instant ready_at;
    // Run time of one task on the rack.
    milliseconds run_time{0};
    // Run time off the rack as a multiple of it.
    double off_rack_factor = 1;
    // Run time of the rest of the job, with this step on the rack.
    milliseconds chain_left{0};
    // Ends of the job until which it yields its full benefit, and a reduced one.
    instant objective;
    instant late_objective;
};

// What a task saves by running on the rack.
[[nodiscard]] milliseconds gain_on_rack(const wait_terms& terms);
// Latest start on the rack that is worth waiting for; not before `ready_at`. A wait never exceeds
// the gain. It ends while the job can still meet its objective elsewhere; a job that can meet it on
// the rack only waits for as long as it can meet it there. A job that is late either way leaves the
// rack to others, unless its reduced benefit depends on it.
[[nodiscard]] instant latest_start_on_rack(const wait_terms& terms);

// Run time of the whole task as its progress shows it; the estimate until there is enough progress.
// A task that has outlasted its estimate is expected to take as long again as it has run.
struct run_progress {
    milliseconds estimate{0};
    // Unset if the run was started by an earlier owner.
    std::optional<instant> started_at;
    int percent = 0;
    instant progressed_at;
};
[[nodiscard]] instant predicted_end(const run_progress& run, instant now);

// Resources of a task: what it reserves, and the processors it uses or needs idle.
struct place_demand {
    resources reserved;
    std::int64_t processors = 0;
    // It starts only where as many processors are idle.
    bool is_filler = false;
};

// Predicts when tasks can start on the executors of one rack, from the predicted ends of the tasks
// there. Tasks are taken in the order of the calls: each takes the place that is free first.
class rack_forecast {
public:
    explicit rack_forecast(instant now) : now_(now) {}

    struct release {
        instant at;
        place_demand demand;
    };
    // `free` and `idle_millicores` are those of now.
    void add_instance(std::size_t index, const resources& free, std::int64_t idle_millicores,
                      const std::vector<release>& releases);
    // The most tasks of a step that may start on an instance; 0 if none may.
    using places_on = std::function<std::uint32_t(std::size_t instance)>;
    // Reserves places for `count` tasks. Returns the start of the last; std::nullopt, with nothing
    // reserved, if it is after `limit`.
    [[nodiscard]] std::optional<instant> reserve(const place_demand& demand, std::size_t count,
                                                 milliseconds run_time, instant limit,
                                                 const places_on& places);

private:
    struct instance {
        std::size_t index = 0;
        // The time for which `free` and `idle` hold; earlier places count as missed.
        instant at;
        resources free;
        std::int64_t idle = 0;
        // By time; those up to `at` are removed.
        std::multimap<instant, place_demand> releases;
    };

    // When the demand fits; std::nullopt if it does not by `limit`.
    [[nodiscard]] static std::optional<instant> earliest_start(const instance& target,
                                                               const place_demand& demand,
                                                               instant limit);
    static void take_place(instance& target, const place_demand& demand, instant start,
                           milliseconds run_time);

    instant now_;
    std::vector<instance> instances_;
};

// Factors by which runs off the rack were slower, by image, relative to their estimates.
class off_rack_factors {
public:
    void record(const std::string& image, bool is_on_rack, double run_time_over_estimate);
    // `configured` until enough runs of both kinds were measured; at least 1.
    [[nodiscard]] double factor(const std::string& image, double configured) const;

private:
    struct mean {
        std::uint32_t count = 0;
        double value = 0;
        void add(double sample);
    };
    struct entry {
        mean on_rack;
        mean off_rack;
        std::uint64_t used_at = 0;
    };
    std::map<std::string, entry> entries_;
    std::uint64_t uses_ = 0;
};

// True if a task that runs off its rack should be stopped and resumed on it from its checkpoint.
// `since_checkpoint` is the work that a move repeats.
[[nodiscard]] bool is_worth_moving_back(milliseconds left_off_rack, milliseconds since_checkpoint,
                                        double off_rack_factor);

}  // namespace tanagerpaddle::dispatch
