#pragma once

// A model of callers, entries and targets that drives the routing library on a manual clock. All
// randomness comes from the seed, so equal options give equal results.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tanagerpaddle/routing.hpp"

namespace routing_model {

using namespace tanagerpaddle;

// Targets of 8 slots in failure domains; one entry in each failure domain.
struct deployment {
    std::string name;
    // Number of targets in each failure domain.
    std::vector<int> targets;
    milliseconds one_way{4};
};

enum class scenario : std::uint8_t {
    steady,
    // One target serves five times more slowly.
    slow_target,
    // One target fails each request after 1 ms.
    failing_target,
    // All targets fail half of the requests, after serving them, from second 15 to 25.
    retry_storm,
    // The first failure domain is drained from second 15 to 30.
    drained_domain,
    // Half of all requests come to the first entry from second 15 to 30.
    load_shift,
};

[[nodiscard]] std::string name(scenario value);

// What is compared. The defaults are those of the product.
struct policy {
    std::string name;
    std::shared_ptr<const selection_strategy> selection;
    std::shared_ptr<const concurrency_limit_strategy> limit;
    bool ejects = true;
    // False: requests that find no slot wait in order of arrival until their deadline.
    bool admits_by_deadline = true;
    bool has_retry_budget = true;
    bool hedges = false;
};

struct model_options {
    deployment place;
    scenario kind = scenario::steady;
    // Offered requests as a share of the capacity of all slots.
    double load = 0.7;
    policy used;
    std::uint64_t seed = 1;
};

struct model_result {
    // Latencies of the successful requests that arrived after the warm-up.
    std::vector<std::int64_t> latencies_ns;
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
    // Requests of interactive priority (a fifth of all), and their errors.
    std::uint64_t interactive_requests = 0;
    std::uint64_t interactive_errors = 0;
    std::uint64_t tries = 0;
    std::uint64_t cross_domain_tries = 0;

    void add(const model_result& other);
};

// Runs 40 s of model time, the first 5 s of which are not counted.
[[nodiscard]] model_result run(const model_options& options);

}  // namespace routing_model
