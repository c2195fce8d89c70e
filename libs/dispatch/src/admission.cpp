// The decision of an entry whether to refuse a job, and when a refused caller should return.

#include <algorithm>

#include "placement.hpp"
#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Longest waits that callers are asked for (docs/two-customers.md, part 1).
constexpr std::int64_t max_overload_retry_s = 30;
constexpr std::int64_t max_store_retry_s = 5;
// Part of a wait over which callers are spread, so that those that were refused together do not
// return together.
constexpr double jitter_share = 0.5;

// Whole seconds from `wait_s` to `wait_s` and half of it, at most `max_s`. Fractions are rounded up
// for as many jobs as they tell, so that short waits are spread as well.
std::chrono::seconds spread(const job_id& job, double wait_s, std::int64_t max_s) {
    constexpr double hash_range = 4'294'967'296.0;  // 2^32
    const std::uint64_t hash = hash_bytes(job.value());
    const double position = static_cast<double>(hash >> 32U) / hash_range;
    const double rounding = static_cast<double>(hash & 0xffff'ffffU) / hash_range;
    const double base = std::clamp(wait_s, 1.0, static_cast<double>(max_s) / (1 + jitter_share));
    const double spread_wait = base * (1 + jitter_share * position);
    return std::chrono::seconds(
        std::clamp<std::int64_t>(static_cast<std::int64_t>(spread_wait + rounding), 1, max_s));
}

bool can_hold(const fleet_forecast::executor_shape& executor, const step_spec& step) {
    return step.demand.fits_in(executor.capacity) &&
           (step.required_label.empty() ||
            std::binary_search(executor.labels.begin(), executor.labels.end(),
                               step.required_label));
}

bool never_fits(const submitted_job& job, const fleet_forecast& forecast) {
    const auto found = forecast.services.find(job.rules.service);
    if (found == forecast.services.end() || found->second.empty()) {
        return false;
    }
    const auto& executors = found->second;
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [&](const step_spec& step) {
        return std::none_of(executors.begin(), executors.end(),
                            [&](const auto& executor) { return can_hold(executor, step); });
    });
}

milliseconds critical_path(const job_spec& spec) {
    std::vector<milliseconds> ends(spec.steps.size());
    milliseconds longest{0};
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        milliseconds before{0};
        for (const auto earlier : spec.steps[s].depends_on) {
            before = std::max(before, ends[earlier]);
        }
        ends[s] = before + spec.steps[s].estimate;
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

// The time by which the job would miss three times its objective; negative if it would not.
double excess_s(const submitted_job& job, const fleet_forecast::queue_delay& delay) {
    const auto seconds = [](milliseconds time) {
        return std::chrono::duration<double>(time).count();
    };
    const double chain = seconds(critical_path(job.spec));
    const double objective = chain * job.rules.stretch + seconds(job.rules.target);
    const double end = seconds(delay.start) + chain * seconds(delay.end_per_s);
    return end - late_objective_factor * objective;
}

}  // namespace

std::string_view name(refusal_reason reason) noexcept {
    switch (reason) {
        case refusal_reason::never_fits:
            return "never_fits";
        case refusal_reason::overload:
            return "overload";
        case refusal_reason::store:
            break;
    }
    return "store";
}

std::optional<refusal> decide_admission(const submitted_job& job, const fleet_forecast& forecast,
                                        bool refuses_overload) {
    if (never_fits(job, forecast)) {
        return refusal{refusal_reason::never_fits, std::nullopt};
    }
    const bool runs_whenever =
        job.spec.occurrences > 0 ||
        std::any_of(job.spec.steps.begin(), job.spec.steps.end(),
                    [](const step_spec& step) { return step.is_long_running; });
    const auto delay = forecast.queues.find(job.queue);
    if (!refuses_overload || runs_whenever || delay == forecast.queues.end()) {
        return std::nullopt;
    }
    const double excess = excess_s(job, delay->second);
    if (excess <= 0) {
        return std::nullopt;
    }
    return refusal{refusal_reason::overload, spread(job.id, excess, max_overload_retry_s)};
}

std::chrono::seconds store_retry_after(const job_id& job, milliseconds silence,
                                       milliseconds longest_outage) {
    // An outage that exceeds the longest of the recent ones is assumed to last as long again.
    const auto left =
        std::max(longest_outage - silence, silence > longest_outage ? silence : milliseconds(0));
    return spread(job, std::chrono::duration<double>(left).count(), max_store_retry_s);
}

}  // namespace tanagerpaddle::dispatch
