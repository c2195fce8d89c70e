#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

namespace {
std::atomic<std::uint64_t> checks{0};
}

void check_invariant(bool holds, const std::string& message) {
    checks.fetch_add(1, std::memory_order_relaxed);
    if (!holds) {
        throw invariant_violation(message);
    }
}

std::uint64_t invariant_checks() noexcept {
    return checks.load(std::memory_order_relaxed);
}

}  // namespace tanagerpaddle
