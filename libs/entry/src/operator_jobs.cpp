// Operators' calls: jobs and holds.

#include <charconv>
#include <nlohmann/json.hpp>

#include "entry_services.hpp"

namespace tanagerpaddle {

namespace {

using json = nlohmann::json;

constexpr std::size_t default_page_size = 100;
constexpr std::size_t largest_page_size = 1'000;
constexpr std::size_t most_cancellations = 20'000;
constexpr milliseconds owner_timeout{1'000};

http_response json_response(const json& value) {
    http_response response;
    response.body = value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

constexpr std::array<std::string_view, 4> job_state_names{"active", "finished", "cancelled",
                                                          "failed"};

std::string_view state_name(job_state state) {
    return job_state_names.at(static_cast<std::size_t>(state));
}

json job_json(const job_row& row) {
    json result = json::parse(encode_complete(row));
    result["state"] = state_name(row.state);
    return result;
}

json resources_json(const resources& amount) {
    return {{"processors", amount.processors.value()},
            {"memory", amount.memory.value()},
            {"accelerators", amount.accelerators.value()}};
}

json explanation_json(const task_explanation& item) {
    return {{"index", item.task.index},
            {"state", name(item.state)},
            {"attempt", item.attempt.value()},
            {"worker", item.worker.value()},
            {"partition", item.partition.value()},
            {"owner", item.owner.value()},
            {"waits_for", name(item.waits_for)},
            {"reason", item.reason ? json(name(*item.reason)) : json(nullptr)},
            {"failures", item.failure_count},
            {"evictions", item.eviction_count},
            {"crashes", item.crash_count}};
}

// A submission stands for a configuration with one job, so that the same rules apply.
void check_declaration(const job_declaration& job, const configuration& present) {
    configuration alone;
    alone.failure_domains = present.failure_domains;
    alone.teams = present.teams;
    alone.jobs.push_back(job);
    const auto problems = validate(alone);
    if (!problems.empty()) {
        throw error(result_code::malformed_request, to_string(problems.front()));
    }
}

}  // namespace

void entry_services::mount_operator_jobs() {
    operators.route("GET", "/v1/jobs",
                    [this](const http_request& request) { return list_jobs(request); });
    operators.route("GET", "/v1/jobs/([^/]+)",
                    [this](const http_request& request) { return show_job(request); });
    operators.route("GET", "/v1/jobs/([^/]+)/explain",
                    [this](const http_request& request) { return explain_job(request); });
    operators.route("POST", "/v1/jobs", [this](const http_request& request) {
        require_operator(request);
        return submit_job(request);
    });
    operators.route("POST", "/v1/jobs/cancel", [this](const http_request& request) {
        require_operator(request);
        return cancel_jobs(request);
    });
    operators.route("DELETE", "/v1/jobs/([^/]+)", [this](const http_request& request) {
        require_operator(request);
        return cancel_job(request);
    });
}

http_response entry_services::list_jobs(const http_request& request) {
    std::size_t limit = default_page_size;
    const std::string text = request.parameter("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    json result = json::array();
    const std::lock_guard lock(control_mutex_);
    const auto page = scheduler_.list_jobs(job_id(request.parameter("after")),
                                           std::min(limit, largest_page_size));
    for (const auto& row : page) {
        result.push_back(job_json(row));
    }
    return json_response(result);
}

http_response entry_services::show_job(const http_request& request) {
    return view_job("entry.job", request.captures.at(0));
}

// The owner of a job's partition knows more than the table: which tasks run, and what others wait
// for. Another entry passes the question on and answers by the table if the owner does not.
http_response entry_services::view_job(const std::string& method, const std::string& id) {
    if (const auto owner = owner_of_job(job_id(id))) {
        try {
            http_response response;
            response.body = control_rpc_.call(owner->control, method, json{{"id", id}}.dump(),
                                              deadline::after(time_.now(), owner_timeout)) +
                            "\n";
            return response;
        } catch (const error& failure) {
            log_event(log_level::warning, "owner_not_asked",
                      {{"entry", owner->id}, {"code", failure.code()}});
        }
    }
    http_response response;
    response.body = (method == "entry.job" ? describe_job(id) : describe_waits(id)) + "\n";
    return response;
}

std::optional<entry_info> entry_services::owner_of_job(const job_id& id) {
    const std::lock_guard lock(control_mutex_);
    for (const auto& item : scheduler_.explain(id)) {
        if (item.owner.empty() || item.owner == self_.id) {
            continue;
        }
        for (const auto& entry : entries_known_.live(time_.now())) {
            if (entry.id == item.owner) {
                return entry;
            }
        }
    }
    return std::nullopt;
}

std::string entry_services::describe_job(const std::string& id) {
    const std::lock_guard lock(control_mutex_);
    const job_status status = scheduler_.status(job_id(id));
    json tasks = json::array();
    for (const auto& task : status.tasks) {
        json item = json::parse(encode_complete(task));
        item["state"] = name(task.state);
        tasks.push_back(std::move(item));
    }
    return json{{"job", job_json(status.job)}, {"tasks", tasks}}.dump();
}

std::string entry_services::describe_waits(const std::string& id) {
    json result = json::array();
    const std::lock_guard lock(control_mutex_);
    for (const auto& item : scheduler_.explain(job_id(id))) {
        result.push_back(explanation_json(item));
    }
    return result.dump();
}

void entry_services::mount_job_views() {
    const auto id_of = [](const std::string& params) {
        return json::parse(params).at("id").get<std::string>();
    };
    control_methods_.add("entry.job", [this, id_of](const std::string& params) {
        return describe_job(id_of(params));
    });
    control_methods_.add("entry.explain", [this, id_of](const std::string& params) {
        return describe_waits(id_of(params));
    });
}

http_response entry_services::submit_job(const http_request& request) {
    const auto job = decode<job_declaration>(request.body);
    std::shared_ptr<const configuration> present;
    {
        const std::lock_guard lock(configuration_mutex_);
        present = accepted_.declared;
    }
    if (!present) {
        throw error(result_code::not_ready, "no configuration is known");
    }
    check_declaration(job, *present);
    submit_result result;
    {
        const std::lock_guard lock(control_mutex_);
        result = scheduler_.submit(job, false);
    }
    if (result.code != result_code::ok) {
        http_response response =
            error_response(result.code, "job " + job.id.value() +
                                            " was not accepted: " + std::string(name(result.code)));
        json body = json::parse(response.body);
        if (result.code == result_code::job_can_never_run) {
            body["largest_worker"] = resources_json(result.largest_worker);
        }
        response.body = body.dump() + "\n";
        return response;
    }
    log_event(log_level::info, "job_submitted",
              {{"job", job.id}, {"team", job.team}, {"is_new", result.is_new}});
    return json_response({{"is_new", result.is_new}});
}

http_response entry_services::cancel_job(const http_request& request) {
    const job_id id(request.captures.at(0));
    cancel_result result;
    {
        const std::lock_guard lock(control_mutex_);
        result = scheduler_.cancel(id);
    }
    if (result.code != result_code::ok) {
        return error_response(result.code, "job " + id.value() + " was not cancelled");
    }
    log_event(log_level::info, "job_cancelled", {{"job", id}});
    return json_response({{"state", state_name(result.state)}});
}

http_response entry_services::cancel_jobs(const http_request& request) {
    std::vector<job_id> ids;
    try {
        const json body = json::parse(request.body);
        for (const auto& id : body.at("ids")) {
            ids.emplace_back(id.get<std::string>());
        }
    } catch (const json::exception& failure) {
        throw error(result_code::malformed_request, failure.what());
    }
    if (ids.size() > most_cancellations) {
        throw error(result_code::malformed_request, "at most 20000 jobs are cancelled in one call");
    }
    std::vector<cancel_result> results;
    {
        const std::lock_guard lock(control_mutex_);
        results = scheduler_.cancel_many(ids);
    }
    json list = json::array();
    for (std::size_t i = 0; i < ids.size(); ++i) {
        list.push_back({{"id", ids[i].value()}, {"code", static_cast<int>(results[i].code)}});
    }
    log_event(log_level::info, "jobs_cancelled", {{"count", ids.size()}});
    return json_response({{"results", list}});
}

http_response entry_services::explain_job(const http_request& request) {
    return view_job("entry.explain", request.captures.at(0));
}

}  // namespace tanagerpaddle
