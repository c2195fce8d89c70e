#include "filler_relief.hpp"

#include <algorithm>
#include <utility>

namespace tanagerpaddle::dispatch {

namespace {

// Limits of the requirements: a task is moved at most once in this time, and at most so often.
constexpr milliseconds min_time_between_moves{4'000};
constexpr int max_moves_per_task = 3;
// Speed below which a filler counts as throttled (requirements).
constexpr int throttled_percent = 30;
// A lower measured speed counts as this one: a paused filler is not paused forever.
constexpr int min_speed_percent = 10;
// A restart must end sooner by this factor: a stop and a start take up to a second.
constexpr int min_gain_percent = 150;
// A filler that has been throttled for this long does not recover with the next measurement.
constexpr milliseconds min_throttled_time{2'000};

}  // namespace

void filler_speed::record(std::int64_t millicores_used, std::int64_t demand_millicores,
                          instant now) {
    percent =
        static_cast<int>(100 * millicores_used / std::max<std::int64_t>(1, demand_millicores));
    if (percent >= throttled_percent) {
        throttled_since.reset();
    } else if (!throttled_since) {
        throttled_since = now;
    }
}

bool filler_speed::is_throttled(instant now) const noexcept {
    return throttled_since && now - *throttled_since >= min_throttled_time;
}

int restart_gain_percent(const filler_speed& speed, int done_percent, int kept_percent) noexcept {
    return (100 - done_percent) * 100 / std::max(speed.percent, min_speed_percent) -
           (100 - kept_percent);
}

bool gains_by_restart(const filler_speed& speed, int done_percent) noexcept {
    return (100 - done_percent) * 100 >
           min_gain_percent * std::max(speed.percent, min_speed_percent);
}

bool relief_history::allows_move(instant now) const noexcept {
    return moves < max_moves_per_task && (moves == 0 || now - moved_at >= min_time_between_moves);
}

void relief_history::record_move(instant now) noexcept {
    ++moves;
    moved_at = now;
}

std::optional<std::size_t> choose_filler_to_stop(const std::vector<relief_candidate>& candidates,
                                                 instant now) {
    const auto order = [](const job_worth& worth) {
        return std::pair(worth.rank, worth.core_seconds_left);
    };
    std::optional<std::size_t> worst;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& filler = candidates[i];
        if (filler.keeps_work && filler.speed.is_throttled(now) &&
            filler.history.allows_move(now) &&
            (!worst || order(candidates[*worst].worth) < order(filler.worth))) {
            worst = i;
        }
    }
    const bool is_any_better =
        worst && std::any_of(candidates.begin(), candidates.end(), [&](const auto& other) {
            return other.worth.rank < candidates[*worst].worth.rank;
        });
    return is_any_better ? worst : std::nullopt;
}

}  // namespace tanagerpaddle::dispatch
