#include "target_faults.hpp"

namespace tanagerpaddle::standin {

target_faults fault_switches::current() const {
    const std::lock_guard lock(mutex_);
    return faults_;
}

void fault_switches::change(const nlohmann::json& changes) {
    target_faults faults = current();
    for (const auto& [name, value] : changes.items()) {
        if (name == "silent") {
            value.get_to(faults.is_silent);
        } else if (name == "runtime_silent") {
            value.get_to(faults.is_runtime_silent);
        } else if (name == "crossed") {
            value.get_to(faults.crossed);
        } else if (name == "truncated") {
            value.get_to(faults.truncated);
        } else if (name == "late") {
            value.get_to(faults.late);
        } else if (name == "late_ms") {
            value.get_to(faults.late_ms);
        } else if (name == "fail_tasks") {
            value.get_to(faults.fail_tasks);
        } else if (name == "fail_requests") {
            value.get_to(faults.fail_requests);
        } else if (name == "slow_factor") {
            value.get_to(faults.slow_factor);
        } else {
            throw error(result_code::malformed_request, "unknown fault " + name);
        }
    }
    if (faults.slow_factor <= 0) {
        throw error(result_code::malformed_request, "slow_factor must be positive");
    }
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults;
    }
    changed_.notify_all();
}

void fault_switches::wait_while(bool target_faults::*is_on) const {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !(faults_.*is_on); });
}

}  // namespace tanagerpaddle::standin
