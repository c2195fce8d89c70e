#include "target_routes.hpp"

#include <array>

namespace tanagerpaddle::standin {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> state_names{"running", "paused", "finished", "failed"};

json to_json(const resources& amount) {
    return {{"processors", amount.processors.value()},
            {"memory", amount.memory.value()},
            {"accelerators", amount.accelerators.value()}};
}

json to_json(const runtime_task& task) {
    return {{"task",
             {{"job", task.attempt.task.job.value()},
              {"index", task.attempt.task.index},
              {"attempt", task.attempt.attempt.value()}}},
            {"state", state_names.at(static_cast<std::size_t>(task.state))},
            {"demand", to_json(task.demand)},
            {"progress", task.progress},
            {"checkpoint", task.checkpoint},
            {"used_processors", task.used_processors.value()},
            {"run_ms", task.run_ms},
            {"speed_percent", task.speed_percent}};
}

task_attempt decode_attempt(const json& id) {
    return {{job_id(id.at("job").get<std::string>()), id.at("index").get<std::uint32_t>()},
            attempt_number(id.at("attempt").get<std::uint32_t>())};
}

task_attempt task_of(const json& message) {
    return decode_attempt(message.at("task"));
}

start_permit decode_permit(const json& message) {
    start_permit permit;
    permit.attempt = task_of(message);
    permit.kind = message.value("kind", "batch") == "hold" ? job_kind::hold : job_kind::batch;
    const json& demand = message.at("demand");
    permit.demand = {millicores(demand.at("processors").get<std::int64_t>()),
                     mebibytes(demand.at("memory").get<std::int64_t>()),
                     accelerator_count(demand.at("accelerators").get<std::int64_t>())};
    message.at("valid_ms").get_to(permit.valid_ms);
    message.at("run_time_ms").get_to(permit.run_time_ms);
    message.at("command").get_to(permit.command);
    message.at("checkpoint").get_to(permit.checkpoint);
    permit.can_checkpoint = message.value("can_checkpoint", true);
    return permit;
}

// The arrival if the message does not say; never in the future.
instant sent_at(const json& message, const clock& time) {
    const instant now = time.now();
    const auto found = message.find("sent_at_ns");
    if (found == message.end()) {
        return now;
    }
    return std::min(now, instant(std::chrono::nanoseconds(found->get<std::int64_t>())));
}

instant lease_end(const json& message, const clock& time) {
    return sent_at(message, time) + milliseconds(message.at("lease_ms").get<std::int64_t>());
}

using operation = json (*)(const target_parts&, const json&);

struct runtime_route {
    const char* name;
    operation run;
};

json list(const target_parts& parts, const json&) {
    json tasks = json::array();
    for (const auto& task : parts.runtime.list()) {
        tasks.push_back(to_json(task));
    }
    return {{"tasks", std::move(tasks)}};
}

json start(const target_parts& parts, const json& message) {
    parts.runtime.start(decode_permit(message.at("permit")),
                        message.at("lease_ms").get<std::int64_t>(), sent_at(message, parts.time));
    return json::object();
}

json renew(const target_parts& parts, const json& message) {
    std::vector<task_attempt> attempts;
    for (const auto& id : message.at("tasks")) {
        attempts.push_back(decode_attempt(id));
    }
    parts.runtime.renew(attempts, lease_end(message, parts.time));
    return json::object();
}

json pause(const target_parts& parts, const json& message) {
    parts.runtime.pause(task_of(message));
    return json::object();
}

json resume(const target_parts& parts, const json& message) {
    parts.runtime.resume(task_of(message), lease_end(message, parts.time));
    return json::object();
}

json checkpoint(const target_parts& parts, const json& message) {
    return {{"checkpoint", parts.runtime.checkpoint(task_of(message))}};
}

json throttle(const target_parts& parts, const json& message) {
    parts.runtime.throttle(task_of(message), message.at("speed_percent").get<std::uint32_t>());
    return json::object();
}

json stop(const target_parts& parts, const json& message) {
    parts.runtime.stop(task_of(message));
    return json::object();
}

json forget(const target_parts& parts, const json& message) {
    parts.runtime.forget(task_of(message));
    return json::object();
}

json usage(const target_parts& parts, const json&) {
    return {{"capacity", to_json(parts.runtime.capacity())},
            {"committed", to_json(parts.runtime.committed())},
            {"largest_committed", to_json(parts.runtime.largest_committed())},
            {"used_processors", parts.runtime.used_processors().value()},
            {"busy_slots", parts.requests.busy_slots()},
            {"served", parts.requests.served()}};
}

constexpr std::array<runtime_route, 10> runtime_routes{{{"list", list},
                                                        {"start", start},
                                                        {"renew", renew},
                                                        {"pause", pause},
                                                        {"resume", resume},
                                                        {"checkpoint", checkpoint},
                                                        {"throttle", throttle},
                                                        {"stop", stop},
                                                        {"forget", forget},
                                                        {"usage", usage}}};

}  // namespace

void add_serve_routes(server& http, const target_parts& parts) {
    http.add_route("POST", "/serve/([^/]+)",
                   [parts](const httplib::Request& request, httplib::Response& response) {
                       parts.requests.serve(request.matches[1].str(), request, response);
                   });
}

void add_runtime_routes(server& http, const target_parts& parts) {
    for (const auto& route : runtime_routes) {
        const operation run = route.run;
        http.add_json_route(std::string("/runtime/") + route.name,
                            [parts, run](const json& message) {
                                parts.faults.wait_while(&target_faults::is_runtime_silent);
                                return run(parts, message);
                            });
    }
}

void add_control_routes(server& http, const target_parts& parts) {
    http.add_json_route("/control/faults", [parts](const json& changes) {
        parts.faults.change(changes);
        return json::object();
    });
}

}  // namespace tanagerpaddle::standin
