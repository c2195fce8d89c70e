#include <strings.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle {

namespace {

std::string find_header(const std::vector<http_header>& headers, std::string_view wanted) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& item) {
        return item.name.size() == wanted.size() &&
               strncasecmp(item.name.data(), wanted.data(), wanted.size()) == 0;
    });
    return found == headers.end() ? std::string() : found->value;
}

struct status_row {
    result_code code;
    int status;
};

constexpr std::array status_table{
    status_row{result_code::ok, 200},
    status_row{result_code::body_too_large, 413},
    status_row{result_code::unknown_service, 404},
    status_row{result_code::unknown_method, 404},
    status_row{result_code::unknown_job, 404},
    status_row{result_code::duplicate_request, 409},
    status_row{result_code::job_already_exists, 409},
    status_row{result_code::configuration_conflict, 409},
    status_row{result_code::row_conflict, 409},
    status_row{result_code::job_can_never_run, 422},
    status_row{result_code::unauthorized, 401},
    status_row{result_code::target_failed, 502},
    status_row{result_code::answer_corrupted, 502},
    status_row{result_code::outcome_unknown, 504},
    status_row{result_code::deadline_exceeded_not_run, 504},
    status_row{result_code::deadline_exceeded_running, 504},
    status_row{result_code::internal_error, 500},
};

}  // namespace

std::string http_request::header(std::string_view wanted) const {
    return find_header(headers, wanted);
}

std::string http_request::parameter(const std::string& wanted) const {
    const auto found = parameters.find(wanted);
    return found == parameters.end() ? std::string() : found->second;
}

std::string http_response::header(std::string_view wanted) const {
    return find_header(headers, wanted);
}

int http_status(result_code code) noexcept {
    for (const auto& row : status_table) {
        if (row.code == code) {
            return row.status;
        }
    }
    const int number = static_cast<int>(code);
    return number < 200 ? 400 : 503;
}

http_response error_response(result_code code, const std::string& message) {
    http_response response;
    response.status = http_status(code);
    response.body =
        nlohmann::json{{"code", static_cast<int>(code)}, {"name", name(code)}, {"message", message}}
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
        "\n";
    response.headers.push_back({header_name::result, std::to_string(static_cast<int>(code))});
    return response;
}

}  // namespace tanagerpaddle
