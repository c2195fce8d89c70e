#pragma once

// Part of tanagerpaddle/routing.hpp: strategies that choose a target and that limit its requests.

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

using std::chrono::nanoseconds;

// ---------------------------------------------------------------------------------------------
// Selection strategies

// A candidate's state at the moment of a decision.
struct target_load {
    // False if excluded by the caller, ejected or leaving.
    bool is_usable = false;
    // Usable and below its limit.
    bool is_available = false;
    // Requests of this entry that the target has not answered.
    std::uint32_t outstanding = 0;
    // Busy slots that the target reported beyond this entry's own requests.
    std::uint32_t other_busy_slots = 0;
    std::uint32_t slots = 1;
    // Decaying mean of the latency, the network included.
    nanoseconds latency{0};
    // Decaying mean of the latency of requests that found a free slot.
    nanoseconds base_latency{0};
    // Decaying share of requests that failed, 0 to 1.
    double failure_share = 0;
};

// The candidates of one service: those of the own failure domain first.
class candidate_list {
public:
    candidate_list() = default;
    candidate_list(const candidate_list&) = delete;
    candidate_list& operator=(const candidate_list&) = delete;
    virtual ~candidate_list() = default;

    [[nodiscard]] virtual std::size_t size() const noexcept = 0;
    // Candidates [0, local_count) are in the own failure domain.
    [[nodiscard]] virtual std::size_t local_count() const noexcept = 0;
    [[nodiscard]] virtual target_load load(std::size_t index) const = 0;
    // Whether the service's requests currently spill over to other failure domains; kept for the
    // strategy from one decision to the next.
    [[nodiscard]] virtual std::atomic<bool>& is_spilling() const noexcept = 0;
};

// A way to choose a target. Implementations are thread-safe and keep no state of their own.
class selection_strategy {
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy&) = delete;
    selection_strategy& operator=(const selection_strategy&) = delete;
    virtual ~selection_strategy() = default;

    // The index of an available candidate; nothing if none is available or if the request should
    // rather wait for one.
    [[nodiscard]] virtual std::optional<std::size_t> select(const candidate_list& candidates,
                                                            random_source& random) const = 0;
};

struct power_of_two_options {
    // The own failure domain is left if the expected time there exceeds that of another by this
    // much. The expected time includes the network, so this is the price of the traffic only.
    nanoseconds spill_margin = milliseconds(10);
    // Once requests spill, they return when the difference falls below this. Hysteresis avoids
    // that each small change of load moves traffic between failure domains.
    nanoseconds return_margin = milliseconds(5);
    // Expected round trip to another failure domain while no latency of it is known.
    nanoseconds cross_domain_rtt = milliseconds(10);
};

// The cheaper of two random candidates by outstanding requests, reported load and latency; the own
// failure domain first, others when its expected time is clearly higher. While usable targets of
// the own failure domain are all at their limit, others are used only if they have a free slot:
// under overload, failure domains that send each other requests gain nothing.
class power_of_two_selection final : public selection_strategy {
public:
    explicit power_of_two_selection(const power_of_two_options& options = {}) : options_(options) {}
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;

private:
    power_of_two_options options_;
};

// Baseline: any available target with equal probability.
class random_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;
};

// Baseline: the targets in turn.
class round_robin_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;

private:
    mutable std::atomic<std::uint64_t> next_{0};
};

// Baseline: the available target with the fewest outstanding requests, at random among equals.
class least_outstanding_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;
};

// ---------------------------------------------------------------------------------------------
// Concurrency limits

// What one answer says about a target's limit.
struct limit_sample {
    double limit = 0;  // in force, in requests
    std::uint32_t slots = 1;
    // Outstanding requests, the answered one included.
    std::uint32_t outstanding = 0;
    bool was_rejected = false;
    // Latency of this answer; zero if it was not measured or rejected.
    nanoseconds latency{0};
    // Decaying means as in target_load.
    nanoseconds recent_latency{0};
    nanoseconds base_latency{0};
    std::optional<std::uint32_t> busy_slots;
    // Time since the limit was last lowered.
    nanoseconds time_since_decrease{0};
};

// Adapts the number of outstanding requests of a target. Implementations keep no state.
class concurrency_limit_strategy {
public:
    concurrency_limit_strategy() = default;
    concurrency_limit_strategy(const concurrency_limit_strategy&) = delete;
    concurrency_limit_strategy& operator=(const concurrency_limit_strategy&) = delete;
    virtual ~concurrency_limit_strategy() = default;

    // The limit of a target that has not answered yet.
    [[nodiscard]] virtual double initial(std::uint32_t slots, std::uint32_t connections) const = 0;
    // The limit after the sample. The pool bounds it to [1, connections].
    [[nodiscard]] virtual double next(const limit_sample& sample) const = 0;
};

// Baseline: a constant number of requests for each target.
class fixed_limit final : public concurrency_limit_strategy {
public:
    explicit fixed_limit(double limit) : limit_(limit) {}
    [[nodiscard]] double initial(std::uint32_t slots, std::uint32_t connections) const override;
    [[nodiscard]] double next(const limit_sample& sample) const override;

private:
    double limit_;
};

struct aimd_options {
    // The limit grows by `increase_step` requests for each `limit` answers while it is in use.
    double increase_step = 1.0;
    // Factor on a rejection or on a latency above the tolerance.
    double decrease_factor = 0.9;
    // Latency may rise to this multiple of the latency with a free slot.
    double latency_tolerance = 2.0;
    // At most one decrease in this time: the answers of one burst report one overload.
    nanoseconds decrease_interval = milliseconds(100);
};

// Additive increase while the target has free slots, multiplicative decrease on rejections and on
// latency; starts at the target's slots.
class aimd_limit final : public concurrency_limit_strategy {
public:
    explicit aimd_limit(const aimd_options& options = {}) : options_(options) {}
    [[nodiscard]] double initial(std::uint32_t slots, std::uint32_t connections) const override;
    [[nodiscard]] double next(const limit_sample& sample) const override;

private:
    aimd_options options_;
};

}  // namespace tanagerpaddle
