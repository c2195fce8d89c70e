// Checks of what other processes stored or reported, beyond the types of the fields. A value that
// passes cannot overflow in the arithmetic of this library.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

namespace {

// Far above any setting of the horizon.
constexpr milliseconds max_horizon = std::chrono::hours(24);

[[noreturn]] void reject_row(const std::string& cause) {
    throw error(result_code::malformed_request, "not a sound row: " + cause);
}

bool is_sound_amount(const resources& amount) {
    constexpr resources largest{millicores(configuration_limits::amount),
                                mebibytes(configuration_limits::amount),
                                accelerator_count(configuration_limits::amount)};
    return amount.is_non_negative() && amount.fits_in(largest);
}

// Negative if more is committed than an agent's capacity has become.
bool is_sound_free(const resources& free) {
    constexpr auto largest = configuration_limits::amount;
    return free.processors.value() >= -largest && free.memory.value() >= -largest &&
           free.accelerators.value() >= -largest;
}

}  // namespace

bool has_sound_size(const job_declaration& job) {
    return is_sound_amount(job.demand) && job.run_time.count() >= 0 &&
           job.run_time <= configuration_limits::run_time;
}

double sound_progress(double reported) {
    return std::clamp(reported, 0.0, 1.0);
}

milliseconds sound_run_time(std::int64_t reported_ms) {
    return std::clamp(milliseconds(reported_ms), milliseconds(0), configuration_limits::run_time);
}

void check_sync(const sync_request& request) {
    const bool is_sound =
        !request.worker.empty() && is_sound_amount(request.capacity) &&
        request.free.fits_in(request.capacity) && is_sound_free(request.free) &&
        std::all_of(request.tasks.begin(), request.tasks.end(),
                    [](const held_task& task) { return is_sound_amount(task.demand); });
    if (!is_sound) {
        throw error(result_code::malformed_request,
                    "a sync of worker '" + request.worker.value() + "' with amounts out of range");
    }
}

partition_row read_partition_row(const table_row& stored) {
    auto row = decode<partition_row>(stored.value);
    if (row.horizon_ms < 0 || row.horizon_ms > max_horizon.count()) {
        reject_row("a horizon of " + std::to_string(row.horizon_ms) + " ms");
    }
    return row;
}

group_row read_group_row(partition_number partition, const table_row& stored) {
    auto row = decode<group_row>(stored.value);
    if (row.tasks.empty() || row.tasks.size() > tasks_per_group) {
        reject_row(std::to_string(row.tasks.size()) + " tasks");
    }
    if (stored.key != group_key(partition, row.declaration.id, row.group)) {
        reject_row("it belongs to another key");
    }
    if (!has_sound_size(row.declaration)) {
        reject_row("demand or run time");
    }
    for (std::size_t i = 0; i < row.tasks.size(); ++i) {
        const task_record& task = row.tasks[i];
        if (task.index != std::uint64_t{row.group} * tasks_per_group + i) {
            reject_row("task number " + std::to_string(i) + " has the index " +
                       std::to_string(task.index));
        }
        if (task.progress != sound_progress(task.progress)) {
            reject_row("a progress outside 0 to 1");
        }
    }
    return row;
}

partition_row scheduler_state::stored_owner(partition_number number, const table_row& stored) {
    try {
        return read_partition_row(stored);
    } catch (const error& failure) {
        record_unreadable(number, stored, failure);
        return {};
    }
}

std::optional<job_row> scheduler_state::read_job_row(const table_row& stored) {
    try {
        return decode<job_row>(stored.value);
    } catch (const error& failure) {
        record_unreadable({}, stored, failure);
        return std::nullopt;
    }
}

void scheduler_state::record_unreadable(partition_number partition, const table_row& stored,
                                        const error& failure) {
    row_version& recorded = unreadable_rows[stored.key];
    if (recorded != stored.version) {
        recorded = stored.version;
        record_decision(decision_kind::unreadable_row, partition, {}, {},
                        stored.key + ": " + failure.what());
    }
    if (unreadable_rows.size() > max_remembered_unreadable_rows) {
        unreadable_rows.clear();
    }
}

}  // namespace tanagerpaddle
