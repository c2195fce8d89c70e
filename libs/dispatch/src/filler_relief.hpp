#pragma once

// Decisions that relieve fillers which are throttled beside serving tasks. Pure: they read no clock
// and give no orders.

#include <cstdint>
#include <optional>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Measured speed of a filler's run, as a share of full speed.
struct filler_speed {
    int percent = 100;
    // Since when it has been throttled without interruption.
    std::optional<instant> throttled_since;

    void record(std::int64_t millicores_used, std::int64_t demand_millicores, instant now);
    // True if it has been throttled for so long that the next measurements will not end it.
    [[nodiscard]] bool is_throttled(instant now) const noexcept;
};

// Time by which a restart at full speed ends sooner than the throttled run does at its measured
// speed, in percent of the task's run time; `kept_percent` of the work is not done again.
[[nodiscard]] int restart_gain_percent(const filler_speed& speed, int done_percent,
                                       int kept_percent) noexcept;

// True if a run that restarts at full speed will end before the throttled run does at its measured
// speed. Both take a share of the same run time, which need not be known.
[[nodiscard]] bool gains_by_restart(const filler_speed& speed, int done_percent) noexcept;

// Moves of a filler; in memory of the owner only.
struct relief_history {
    int moves = 0;
    instant moved_at{};

    [[nodiscard]] bool allows_move(instant now) const noexcept;
    void record_move(instant now) noexcept;
};

// What a job can still earn, see lateness_rank, and its estimated remaining work.
struct job_worth {
    int rank = 0;
    double core_seconds_left = 0;
};

// A running filler of an instance whose fillers do not all fit beside its serving tasks.
struct relief_candidate {
    task_key task;
    job_worth worth;
    // It loses no progress, or little.
    bool keeps_work = false;
    filler_speed speed;
    relief_history history;
};

// The filler to stop so that others on the instance run faster while it waits: of those that are
// throttled, may move and keep their work, the one of the job that earns least, if the others
// include one of a job that earns more. std::nullopt if there is none.
[[nodiscard]] std::optional<std::size_t> choose_filler_to_stop(
    const std::vector<relief_candidate>& candidates, instant now);

}  // namespace tanagerpaddle::dispatch
