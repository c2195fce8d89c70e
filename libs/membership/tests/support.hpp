#pragma once

#include <string>

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle::testing {

inline instant at(std::int64_t ms) {
    return instant(milliseconds(3'600'000 + ms));
}

inline entry_info entry(const std::string& id, std::uint64_t incarnation = 1) {
    return {entry_id(id), incarnation_number(incarnation), {"127.0.0.1", 7000}, {}};
}

// A sync of a worker with one target of the service "quotes".
inline sync_request sync(const std::string& worker, std::uint64_t incarnation = 1,
                         std::uint64_t sequence = 1) {
    sync_request request;
    request.worker = worker_id(worker);
    request.incarnation = incarnation_number(incarnation);
    request.sequence = sequence;
    target_report target;
    target.id = target_id(worker + "-quotes");
    target.service = service_id("quotes");
    target.slots = 8;
    request.targets.push_back(target);
    return request;
}

// The state of an entry that owns all four partitions with that epoch.
inline local_state owner_state(const std::string& id, std::uint64_t epoch) {
    local_state state;
    state.self = entry(id);
    for (std::uint32_t i = 0; i < 4; ++i) {
        partition_summary summary;
        summary.partition = partition_number(i);
        summary.epoch = epoch_number(epoch);
        state.partitions.push_back(summary);
    }
    return state;
}

}  // namespace tanagerpaddle::testing
