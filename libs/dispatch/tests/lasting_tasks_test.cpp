// Tasks that last, while executors end for good around takeovers, link cuts and restarts of agents:
// they run again as soon as their runs have certainly ended, never twice at once, and no run is
// stopped.

#include <doctest/doctest.h>

#include <cstdlib>
#include <map>
#include <vector>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

// Seeds run in CI; TANAGERPADDLE_SEEDS sets a higher number, TANAGERPADDLE_SEED plays one.
constexpr std::uint64_t seeds = 40;
constexpr std::size_t instances = 16;
// Three instances have room for all tasks; the others cover for those that restart or are cut off.
constexpr std::size_t max_removed = 6;
constexpr milliseconds step{25};
// From the end of all that holds a task back to its next run.
constexpr milliseconds max_restart_time{1'000};

std::uint64_t number_from(const char* variable, std::uint64_t fallback) {
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

world_options make_options(std::uint64_t seed) {
    const lease_timing timing;
    world_options options;
    options.seed = seed;
    options.instances = instances;
    options.unclaimed_runs_end_after = timing.max_renewal_without_store + timing.expiry_delay();
    options.delays_first_view = true;
    return options;
}

struct scenario {
    std::uint64_t seed;
    random_source random;
    world system;
    std::map<task_key, std::pair<std::size_t, instant>> last_run;
    std::set<task_key> overdue;
    std::vector<instant> last_linked = std::vector<instant>(instances);
    std::size_t removed = 0;

    explicit scenario(std::uint64_t number)
        : seed(number), random(number * 977 + 3), system(make_options(number)) {
        world_faults faults;
        faults.early_report = 0.5;
        system.set_faults(faults);
        for (std::size_t i = 0; i < instances; ++i) {
            system.crash_executor(i);
        }
        run_for(milliseconds(3'000));
        for (int i = 0; i < 6; ++i) {
            const std::string id = "job-" + std::to_string(i);
            system.submit(make_job(id, {1, 2, 1'500, milliseconds(1'000), true}));
            last_run[{job_id(id), 0, 0, 0}] = {};
            last_run[{job_id(id), 0, 0, 1}] = {};
        }
        run_for(milliseconds(2'000));
        for (const auto& [task, run] : last_run) {
            REQUIRE(system.instance_of(task).has_value());
        }
    }
    milliseconds below(std::uint64_t limit) {
        return milliseconds(static_cast<std::int64_t>(random.below(limit)));
    }
    void run_for(milliseconds time) {
        for (; time.count() > 0; time -= step) {
            system.run_for(step);
            for (std::size_t i = 0; i < instances; ++i) {
                last_linked[i] = system.linked_since(i) ? system.now() : last_linked[i];
            }
            for (auto& [task, run] : last_run) {
                check(task, run);
            }
        }
    }
    void check(const task_key& task, std::pair<std::size_t, instant>& run) {
        if (const auto running = system.instance_of(task)) {
            run = {*running, system.now()};
            return;
        }
        const instant limit = std::max(run.second, ended_by(run.first)) + max_restart_time;
        if (run.second != instant{} && system.now() > limit && overdue.insert(task).second) {
            FAIL_CHECK(
                "seed "
                << seed << ": " << to_string(task) << " has not run on instance " << run.first
                << " or another for "
                << std::chrono::duration_cast<milliseconds>(system.now() - run.second).count()
                << " ms");
        }
    }
    // When the coordinator knows at the latest that a run on the instance has ended, if it has: at
    // once by a link, one lease after its claim of the agent, or when the grants of the
    // coordinators before it have ended.
    [[nodiscard]] instant ended_by(std::size_t index) const {
        const lease_timing timing;
        if (const auto linked_since = system.linked_since(index)) {
            return *linked_since;
        }
        if (const auto claimed_at = system.claimed_at(index)) {
            return std::max(*claimed_at, last_linked.at(index)) + timing.expiry_delay();
        }
        return system.taken_over_at() + timing.max_renewal_without_store + timing.expiry_delay();
    }
    // An executor ends for good beside other events, in any order.
    void remove_one() {
        const std::size_t index = removed++;
        if (random.chance(0.5)) {
            system.drain(index);
            run_for(below(600));
        }
        const auto event = random.below(4);
        if (event == 0) {
            system.take_over();
            run_for(below(600));
        } else if (event == 1) {
            system.cut_link(index, below(4'000));
        } else if (event == 2) {
            system.restart_agent(index);
            run_for(below(100));
        }
        random.chance(0.2) ? system.remove_instance(index) : system.remove_executor(index);
        run_for(below(600));
        if (random.chance(0.3)) {
            system.restart_agent(index);
        }
        if (random.chance(0.7)) {
            system.take_over();
            run_for(below(600));
        }
        if (random.chance(0.4)) {
            system.remove_instance(index);
        }
    }
};

void run_scenario(std::uint64_t seed) {
    CAPTURE(seed);
    scenario play(seed);
    world_faults faults;
    faults.takeover = 0.1;
    faults.link_cut = 0.02;
    faults.agent_restart = 0.05;
    faults.early_report = 0.5;
    faults.executor_crash = 0.02;
    play.system.set_faults(faults);
    while (play.removed < max_removed) {
        play.remove_one();
        play.run_for(play.below(9'000));
    }
    play.system.set_faults({});
    play.run_for(milliseconds(25'000));
    for (const auto& violation : play.system.violations()) {
        FAIL_CHECK("seed " << seed << ": " << violation);
    }
    CHECK(play.system.stops() == 0);
    for (const auto& [task, run] : play.last_run) {
        CAPTURE(to_string(task));
        CHECK(play.system.instance_of(task).has_value());
    }
}

}  // namespace

TEST_CASE("lasting tasks run again, and once at a time, when executors end for good") {
    const auto only = number_from("TANAGERPADDLE_SEED", 0);
    const auto last = only != 0 ? only : number_from("TANAGERPADDLE_SEEDS", seeds);
    for (std::uint64_t seed = only != 0 ? only : 1; seed <= last; ++seed) {
        run_scenario(seed);
    }
}
