// Switches each mechanism off in turn and looks for a seed that violates an invariant. Prints a
// table. Fails if none is found for a mechanism that is marked as having one, or if the same seeds
// violate an invariant with all mechanisms on.

#include <iostream>
#include <vector>

#include "scenario.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::soak;

namespace {

constexpr std::uint64_t most_seeds = 30;

struct mechanism {
    const char* name;
    bool scheduler_mechanisms::*of_scheduler;
    bool agent_mechanisms::*of_agent;
    // A seed was found before, so that none now is a failure.
    bool has_seed = false;
};

const mechanism mechanisms[] = {
    {"scheduler.check_permit_window", &scheduler_mechanisms::check_permit_window, nullptr},
    {"scheduler.condition_on_epoch", &scheduler_mechanisms::condition_on_epoch, nullptr, true},
    {"scheduler.condition_on_domain", &scheduler_mechanisms::condition_on_domain, nullptr},
    {"scheduler.wait_for_horizon", &scheduler_mechanisms::wait_for_horizon, nullptr, true},
    {"scheduler.reserve_claimed_amounts", &scheduler_mechanisms::reserve_claimed_amounts, nullptr},
    {"scheduler.check_report_attempt", &scheduler_mechanisms::check_report_attempt, nullptr, true},
    {"scheduler.resolve_unknown_commits", &scheduler_mechanisms::resolve_unknown_commits, nullptr},
    {"scheduler.confirm_void_claims", &scheduler_mechanisms::confirm_void_claims, nullptr, true},
    {"scheduler.require_committed_takeover", &scheduler_mechanisms::require_committed_takeover,
     nullptr, true},
    {"agent.check_permit_window", nullptr, &agent_mechanisms::check_permit_window},
    {"check_permit_window of both", &scheduler_mechanisms::check_permit_window,
     &agent_mechanisms::check_permit_window},
    {"agent.check_epoch", nullptr, &agent_mechanisms::check_epoch},
    {"agent.check_ledger", nullptr, &agent_mechanisms::check_ledger},
    {"agent.check_attempt", nullptr, &agent_mechanisms::check_attempt},
    {"agent.check_lease", nullptr, &agent_mechanisms::check_lease, true},
    {"agent.rebuild_ledger", nullptr, &agent_mechanisms::rebuild_ledger, true},
};

std::string violation_of(world_options options, std::uint64_t seed) {
    options.seed = seed;
    options.workers = 8;
    options.entries = 3;
    options.fault_seconds = 200;
    return scenario(options).run().violation;
}

}  // namespace

int main() {
    bool is_sound = true;
    std::size_t found = 0;
    for (std::uint64_t seed = 1; seed <= most_seeds; ++seed) {
        const std::string violation = violation_of({}, seed);
        if (!violation.empty()) {
            std::cout << "all on | " << seed << " | " << violation << std::endl;
            is_sound = false;
        }
    }
    std::cout << "mechanism off | seed | invariant" << std::endl;
    for (const auto& off : mechanisms) {
        world_options options;
        if (off.of_scheduler) {
            options.scheduler.*off.of_scheduler = false;
        }
        if (off.of_agent) {
            options.agent.*off.of_agent = false;
        }
        std::string violation;
        std::uint64_t seed = 0;
        while (violation.empty() && seed < most_seeds) {
            violation = violation_of(options, ++seed);
        }
        found += violation.empty() ? 0 : 1;
        is_sound = is_sound && (!violation.empty() || !off.has_seed);
        std::cout << off.name << " | "
                  << (violation.empty() ? "none of " + std::to_string(most_seeds)
                                        : std::to_string(seed))
                  << " | " << violation << std::endl;
    }
    std::cout << found << " of " << std::size(mechanisms) << " mechanisms have a seed" << std::endl;
    return is_sound ? 0 : 1;
}
