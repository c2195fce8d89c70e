#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform_connections.hpp"

namespace tanagerpaddle {

namespace {

using nlohmann::json;

constexpr std::string_view service_name = "worker runtime";
constexpr int status_ok = 200;
// Of a message that the runtime gives with an error.
constexpr std::size_t max_shown_message_bytes = 300;

json to_json(const task_attempt& attempt) {
    return {{"job", attempt.task.job.value()},
            {"index", attempt.task.index},
            {"attempt", attempt.attempt.value()}};
}

json about(const task_attempt& attempt) {
    return {{"task", to_json(attempt)}};
}

json to_json(const start_permit& permit) {
    return {{"task", to_json(permit.attempt)},
            {"kind", permit.kind == job_kind::hold ? "hold" : "batch"},
            {"demand",
             {{"processors", permit.demand.processors.value()},
              {"memory", permit.demand.memory.value()},
              {"accelerators", permit.demand.accelerators.value()}}},
            {"valid_ms", permit.valid_ms},
            {"run_time_ms", permit.run_time_ms},
            {"command", permit.command},
            {"checkpoint", permit.checkpoint},
            {"can_checkpoint", permit.can_checkpoint}};
}

runtime_task_state state_from_name(const std::string& text) {
    if (text == "running") {
        return runtime_task_state::running;
    }
    if (text == "paused") {
        return runtime_task_state::paused;
    }
    if (text == "finished") {
        return runtime_task_state::finished;
    }
    if (text == "failed") {
        return runtime_task_state::failed;
    }
    throw error(result_code::outcome_unknown, "unknown task state " + text);
}

// A negative amount would add to what the ledger has free; large ones would overflow its sums.
std::int64_t amount_of(const json& value, std::int64_t largest = configuration_limits::amount) {
    const auto amount = integer_of<std::int64_t>(value);
    if (amount < 0 || amount > largest) {
        throw error(result_code::malformed_request,
                    "an amount of " + std::to_string(amount) + " is out of range");
    }
    return amount;
}

runtime_task decode_task(const json& message) {
    runtime_task task;
    const json& id = message.at("task");
    task.attempt.task.job = job_id(id.at("job").get<std::string>());
    task.attempt.task.index = integer_of<std::uint32_t>(id.at("index"));
    task.attempt.attempt = attempt_number(integer_of<std::uint32_t>(id.at("attempt")));
    task.state = state_from_name(message.at("state").get<std::string>());
    const json& demand = message.at("demand");
    task.demand.processors = millicores(amount_of(demand.at("processors")));
    task.demand.memory = mebibytes(amount_of(demand.at("memory")));
    task.demand.accelerators = accelerator_count(amount_of(demand.at("accelerators")));
    task.progress = std::clamp(message.at("progress").get<double>(), 0.0, 1.0);
    message.at("checkpoint").get_to(task.checkpoint);
    task.used_processors = millicores(amount_of(message.at("used_processors")));
    task.run_ms = amount_of(message.at("run_ms"), configuration_limits::run_time.count());
    task.speed_percent = integer_of<std::uint32_t>(message.at("speed_percent"));
    return task;
}

// internal_error if the value is no number of a result code.
result_code named_code(const json& value) {
    try {
        return result_code_from_number(integer_of<std::uint16_t>(value));
    } catch (const error&) {
        return result_code::internal_error;
    }
}

std::string named_message(const json& body) {
    const auto message = body.find("message");
    return message != body.end() && message->is_string()
               ? message->get<std::string>().substr(0, max_shown_message_bytes)
               : std::string();
}

// Throws the code that the runtime named; outcome_unknown if it named none.
[[noreturn]] void throw_answered_error(const platform_connections& clients,
                                       const call_result& result) {
    const json body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("code") || !body["code"].is_number_integer()) {
        throw error(result_code::outcome_unknown, describe(service_name, clients, result));
    }
    const auto code = named_code(body["code"]);
    // The interface knows one code for an effect that is not certain.
    const bool is_uncertain = code == result_code::ok || code == result_code::internal_error ||
                              code == result_code::store_outcome_unknown;
    throw error(is_uncertain ? result_code::outcome_unknown : code,
                describe(service_name, clients, result) + ": " + named_message(body));
}

json call(platform_connections& clients, const clock& time, const std::string& operation,
          json message) {
    message["sent_at_ns"] = time.now().time_since_epoch().count();
    platform_call request;
    request.path = "/runtime/" + operation;
    request.body = message.dump();
    const call_result result = clients.call(request);
    if (result.outcome == call_outcome::not_sent) {
        throw error(result_code::connection_refused, describe(service_name, clients, result));
    }
    if (result.outcome == call_outcome::unknown) {
        throw error(result_code::outcome_unknown, describe(service_name, clients, result));
    }
    if (result.status != status_ok) {
        throw_answered_error(clients, result);
    }
    json answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object()) {
        throw error(result_code::outcome_unknown, "unreadable answer of the worker runtime");
    }
    return answer;
}

}  // namespace

http_worker_runtime::http_worker_runtime(const platform_client_options& options)
    : clients_(std::make_unique<platform_connections>(options)) {}

http_worker_runtime::~http_worker_runtime() = default;

std::vector<runtime_task> http_worker_runtime::list() {
    const json answer = call(*clients_, time_, "list", json::object());
    try {
        std::vector<runtime_task> tasks;
        for (const auto& task : answer.at("tasks")) {
            tasks.push_back(decode_task(task));
        }
        return tasks;
    } catch (const json::exception& failure) {
        throw error(result_code::outcome_unknown, failure.what());
    } catch (const error& failure) {
        throw error(result_code::outcome_unknown, failure.what());
    }
}

void http_worker_runtime::start(const start_permit& permit, std::int64_t lease_ms) {
    (void)call(*clients_, time_, "start", {{"permit", to_json(permit)}, {"lease_ms", lease_ms}});
}

void http_worker_runtime::renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) {
    json tasks = json::array();
    for (const auto& attempt : attempts) {
        tasks.push_back(to_json(attempt));
    }
    (void)call(*clients_, time_, "renew", {{"tasks", std::move(tasks)}, {"lease_ms", lease_ms}});
}

void http_worker_runtime::pause(const task_attempt& attempt) {
    (void)call(*clients_, time_, "pause", about(attempt));
}

void http_worker_runtime::resume(const task_attempt& attempt, std::int64_t lease_ms) {
    json message = about(attempt);
    message["lease_ms"] = lease_ms;
    (void)call(*clients_, time_, "resume", std::move(message));
}

std::string http_worker_runtime::checkpoint(const task_attempt& attempt) {
    const json answer = call(*clients_, time_, "checkpoint", about(attempt));
    const auto key = answer.find("checkpoint");
    if (key == answer.end() || !key->is_string()) {
        throw error(result_code::outcome_unknown, "unreadable answer of the worker runtime");
    }
    return key->get<std::string>();
}

void http_worker_runtime::throttle(const task_attempt& attempt, std::uint32_t speed_percent) {
    json message = about(attempt);
    message["speed_percent"] = speed_percent;
    (void)call(*clients_, time_, "throttle", std::move(message));
}

void http_worker_runtime::stop(const task_attempt& attempt) {
    (void)call(*clients_, time_, "stop", about(attempt));
}

void http_worker_runtime::forget(const task_attempt& attempt) {
    (void)call(*clients_, time_, "forget", about(attempt));
}

}  // namespace tanagerpaddle
