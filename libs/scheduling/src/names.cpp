#include <array>

#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

std::string_view name(wait_cause cause) noexcept {
    constexpr std::array<std::string_view, 12> names{
        "nothing",      "placement",   "planning", "retry_backoff", "worker_start", "void_claim",
        "worker_lease", "old_horizon", "eviction", "write_budget",  "store",        "owner"};
    return names.at(static_cast<std::size_t>(cause));
}

std::string_view name(decision_kind kind) noexcept {
    constexpr std::array<std::string_view, 13> names{
        "takeover",     "release",    "ownership_lost", "claim",       "void_claim",
        "reclaim",      "eviction",   "task_lost",      "task_failed", "move",
        "cancellation", "quarantine", "unreadable_row"};
    return names.at(static_cast<std::size_t>(kind));
}

}  // namespace tanagerpaddle
