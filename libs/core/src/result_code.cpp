#include <array>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

namespace {

struct result_code_row {
    result_code code;
    std::string_view name;
};

constexpr std::array result_code_table{
    result_code_row{result_code::ok, "ok"},
    result_code_row{result_code::malformed_request, "malformed_request"},
    result_code_row{result_code::body_too_large, "body_too_large"},
    result_code_row{result_code::unknown_service, "unknown_service"},
    result_code_row{result_code::unknown_method, "unknown_method"},
    result_code_row{result_code::missing_deadline, "missing_deadline"},
    result_code_row{result_code::invalid_configuration, "invalid_configuration"},
    result_code_row{result_code::duplicate_request, "duplicate_request"},
    result_code_row{result_code::unknown_job, "unknown_job"},
    result_code_row{result_code::job_already_exists, "job_already_exists"},
    result_code_row{result_code::job_can_never_run, "job_can_never_run"},
    result_code_row{result_code::unauthorized, "unauthorized"},
    result_code_row{result_code::unknown_failure_domain, "unknown_failure_domain"},
    result_code_row{result_code::invalid_settings, "invalid_settings"},
    result_code_row{result_code::quota_unknown_team, "quota_unknown_team"},
    result_code_row{result_code::deadline_exceeded_not_run, "deadline_exceeded_not_run"},
    result_code_row{result_code::overloaded, "overloaded"},
    result_code_row{result_code::no_target, "no_target"},
    result_code_row{result_code::leaving, "leaving"},
    result_code_row{result_code::cancelled_not_run, "cancelled_not_run"},
    result_code_row{result_code::connection_refused, "connection_refused"},
    result_code_row{result_code::too_many_connections, "too_many_connections"},
    result_code_row{result_code::wrong_incarnation, "wrong_incarnation"},
    result_code_row{result_code::outcome_unknown, "outcome_unknown"},
    result_code_row{result_code::target_failed, "target_failed"},
    result_code_row{result_code::answer_corrupted, "answer_corrupted"},
    result_code_row{result_code::deadline_exceeded_running, "deadline_exceeded_running"},
    result_code_row{result_code::task_failed, "task_failed"},
    result_code_row{result_code::store_unavailable, "store_unavailable"},
    result_code_row{result_code::store_outcome_unknown, "store_outcome_unknown"},
    result_code_row{result_code::configuration_conflict, "configuration_conflict"},
    result_code_row{result_code::not_ready, "not_ready"},
    result_code_row{result_code::not_owner, "not_owner"},
    result_code_row{result_code::internal_error, "internal_error"},
    result_code_row{result_code::stale_epoch, "stale_epoch"},
    result_code_row{result_code::row_conflict, "row_conflict"},
};

}  // namespace

std::string_view name(result_code code) noexcept {
    for (const auto& row : result_code_table) {
        if (row.code == code) {
            return row.name;
        }
    }
    return "internal_error";
}

result_code result_code_from_number(int number) noexcept {
    for (const auto& row : result_code_table) {
        if (static_cast<int>(row.code) == number) {
            return row.code;
        }
    }
    return result_code::internal_error;
}

bool means_not_run(result_code code) noexcept {
    const int number = static_cast<int>(code);
    if (number >= 100 && number < 300) {
        return true;
    }
    return number >= 500 && code != result_code::store_outcome_unknown &&
           code != result_code::internal_error;
}

}  // namespace tanagerpaddle
