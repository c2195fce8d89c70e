#pragma once

// Faults drawn from the seed. Each ends by itself; several may be active at once.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "world.hpp"

namespace tanagerpaddle::soak {

class fault_source {
public:
    fault_source(world& simulated, std::uint64_t seed) : w_(simulated), random_(seed) {}

    // Begins a fault now and then, and ends those that are due. Called with each step.
    void step();
    // Ends all faults.
    void heal();
    [[nodiscard]] bool is_quiet() const noexcept { return active_.empty(); }
    // When the last fault ended.
    [[nodiscard]] milliseconds quiet_since() const noexcept { return quiet_since_; }
    [[nodiscard]] const std::map<std::string, std::uint64_t>& counts() const noexcept {
        return counts_;
    }

private:
    struct active_fault {
        std::string kind;
        milliseconds ends_at;
        std::function<void()> end;
    };
    using member = void (fault_source::*)();

    void begin(const std::string& kind, std::int64_t seconds, std::function<void()> end);
    [[nodiscard]] std::int64_t between(std::int64_t low, std::int64_t high);
    entry_process& entry();
    agent_process& agent();
    void kill_entry();
    void freeze_entry();
    void kill_agent();
    void freeze_agent();
    void kill_worker();
    void freeze_runtime();
    void freeze_machine();
    void table_down();
    void table_long_outage();
    void table_slow();
    void table_loses_answers();
    void table_loses_requests();
    void network_cut();
    void network_bad();
    void bad_worker();

    world& w_;
    random_source random_;
    std::vector<active_fault> active_;
    milliseconds quiet_since_{0};
    std::map<std::string, std::uint64_t> counts_;
};

}  // namespace tanagerpaddle::soak
