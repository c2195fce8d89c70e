#pragma once

// Pools of targets named t0, t1, ... for the tests of the routing library.

#include <string>
#include <vector>

#include "tanagerpaddle/routing.hpp"

namespace tanagerpaddle {

inline const service_id quotes{"quotes"};

inline route_target make_target(int number, const std::string& domain = "a",
                                std::uint64_t incarnation = 1) {
    route_target target;
    target.id = target_id("t" + std::to_string(number));
    target.service = quotes;
    target.worker = worker_id("w" + std::to_string(number));
    target.incarnation = incarnation_number(incarnation);
    target.domain = failure_domain_id(domain);
    return target;
}

inline std::vector<route_target> make_targets(int count, const std::string& domain = "a") {
    std::vector<route_target> targets;
    for (int number = 0; number < count; ++number) {
        targets.push_back(make_target(number, domain));
    }
    return targets;
}

inline request_outcome outcome_of(result_code code, std::int64_t latency_ms = 20) {
    request_outcome outcome;
    outcome.code = code;
    outcome.latency = milliseconds(latency_ms);
    return outcome;
}

inline pool_options with_selection(std::shared_ptr<const selection_strategy> selection) {
    pool_options options;
    options.selection = std::move(selection);
    return options;
}

inline target_status status_of(const target_pool& pool, const std::string& id) {
    for (auto& status : pool.status()) {
        if (status.id.value() == id) {
            return status;
        }
    }
    throw std::out_of_range("no target " + id);
}

}  // namespace tanagerpaddle
