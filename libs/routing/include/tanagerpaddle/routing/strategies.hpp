#pragma once

// Part of tanagerpaddle/routing.hpp: strategies for target selection and concurrency limits.

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

// State of a candidate at the time of selection.
struct target_load {
    // False if excluded by the caller, ejected or leaving.
    bool is_usable = false;
    // Usable and below its concurrency limit.
    bool is_available = false;
    // Requests of this entry in flight to the target.
    std::uint32_t outstanding = 0;
    // Busy slots that the target last reported, without those of this entry's requests.
    std::uint32_t other_busy_slots = 0;
    std::uint32_t slots = 1;
    // Moving average (EWMA) of the latency, network included.
    nanoseconds latency{0};
    // Moving average of the latency of requests that found a free slot.
    nanoseconds base_latency{0};
    // Moving average of the share of failed requests, 0 to 1.
    double failure_share = 0;
};

// The candidates of one service, those of the local failure domain first.
class candidate_list {
public:
    candidate_list() = default;
    candidate_list(const candidate_list&) = delete;
    candidate_list& operator=(const candidate_list&) = delete;
    virtual ~candidate_list() = default;

    [[nodiscard]] virtual std::size_t size() const noexcept = 0;
    // Candidates [0, local_count) are in the local failure domain.
    [[nodiscard]] virtual std::size_t local_count() const noexcept = 0;
    [[nodiscard]] virtual target_load load(std::size_t index) const = 0;
    // Whether the service's requests currently spill over to other failure domains. State that the
    // strategy reads and writes across selections.
    [[nodiscard]] virtual std::atomic<bool>& is_spilling() const noexcept = 0;
};

// Selects the target of a request. Implementations are thread-safe and hold no state of a service.
class selection_strategy {
public:
    selection_strategy() = default;
    selection_strategy(const selection_strategy&) = delete;
    selection_strategy& operator=(const selection_strategy&) = delete;
    virtual ~selection_strategy() = default;

    // Index of an available candidate; empty if none is available or if the request should wait.
    [[nodiscard]] virtual std::optional<std::size_t> select(const candidate_list& candidates,
                                                            random_source& random) const = 0;
};

struct power_of_two_options {
    // Requests spill over to another failure domain if the expected latency in the local one is
    // higher by this much. The latency includes the network, so the margin covers only the cost of
    // cross-domain traffic.
    nanoseconds spill_margin = milliseconds(10);
    // Spillover stops when the difference falls below this. The hysteresis prevents small changes
    // of load from moving traffic between failure domains.
    nanoseconds return_margin = milliseconds(5);
    // Assumed round-trip time to another failure domain while its latency is unknown.
    nanoseconds cross_domain_rtt = milliseconds(10);
};

// Power of two choices: of two random candidates, selects the one with the lower cost, computed
// from outstanding requests, reported load, latency and failures. Prefers the local failure domain
// until its expected latency exceeds that of another by the margin. While all usable local targets
// are at their limit, remote ones are used only if they have a free slot: under overload,
// exchanging requests between failure domains gains nothing.
class power_of_two_selection final : public selection_strategy {
public:
    explicit power_of_two_selection(const power_of_two_options& options = {}) : options_(options) {}
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;

private:
    power_of_two_options options_;
};

// Baseline: selects any available target with equal probability.
class random_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;
};

// Baseline: cycles through the targets.
class round_robin_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;

private:
    mutable std::atomic<std::uint64_t> next_{0};
};

// Baseline: selects the available target with the fewest outstanding requests; ties at random.
class least_outstanding_selection final : public selection_strategy {
public:
    [[nodiscard]] std::optional<std::size_t> select(const candidate_list& candidates,
                                                    random_source& random) const override;
};

// ---------------------------------------------------------------------------------------------
// Concurrency limits

// Input for updating the limit of a target after a response.
struct limit_sample {
    double limit = 0;  // current limit, in requests
    std::uint32_t slots = 1;
    // Outstanding requests, including the one that completed.
    std::uint32_t outstanding = 0;
    bool was_rejected = false;
    // Latency of this response; zero if it was not measured or the request was rejected.
    nanoseconds latency{0};
    // Moving averages as in target_load.
    nanoseconds recent_latency{0};
    nanoseconds base_latency{0};
    std::optional<std::uint32_t> busy_slots;
    // Time since the limit was last lowered.
    nanoseconds time_since_decrease{0};
};

// Limits the outstanding requests of a target. Implementations are stateless.
class concurrency_limit_strategy {
public:
    concurrency_limit_strategy() = default;
    concurrency_limit_strategy(const concurrency_limit_strategy&) = delete;
    concurrency_limit_strategy& operator=(const concurrency_limit_strategy&) = delete;
    virtual ~concurrency_limit_strategy() = default;

    // Limit of a target before the first response.
    [[nodiscard]] virtual double initial(std::uint32_t slots, std::uint32_t connections) const = 0;
    // Limit after the sample. The pool clamps it to [1, connections].
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
    // While the limit is in use, it grows by `increase_step` requests per `limit` responses.
    double increase_step = 1.0;
    // Factor applied on a rejection or on latency above the tolerance.
    double decrease_factor = 0.9;
    // Maximum latency as a multiple of the latency with a free slot.
    double latency_tolerance = 2.0;
    // Minimum time between decreases: the responses of one burst report the same overload.
    nanoseconds decrease_interval = milliseconds(100);
};

// Additive increase while the target has free slots, multiplicative decrease on rejections and high
// latency. The initial limit is the number of slots.
class aimd_limit final : public concurrency_limit_strategy {
public:
    explicit aimd_limit(const aimd_options& options = {}) : options_(options) {}
    [[nodiscard]] double initial(std::uint32_t slots, std::uint32_t connections) const override;
    [[nodiscard]] double next(const limit_sample& sample) const override;

private:
    aimd_options options_;
};

}  // namespace tanagerpaddle
