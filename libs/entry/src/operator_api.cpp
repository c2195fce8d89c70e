// Operators' calls: state, configuration and drains.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "entry_services.hpp"

namespace tanagerpaddle {

namespace {

using json = nlohmann::json;

http_response json_response(const json& value) {
    http_response response;
    response.body = value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

template <class Message>
json to_json_value(const Message& message) {
    return json::parse(encode_complete(message));
}

json counters_json(const scheduler_counters& from) {
    return {{"claims", from.claims},
            {"starts", from.starts},
            {"void_claims", from.void_claims},
            {"takeovers", from.takeovers},
            {"releases", from.releases},
            {"evictions", from.evictions},
            {"reclaims", from.reclaims},
            {"lost_tasks", from.lost_tasks},
            {"finished_tasks", from.finished_tasks},
            {"failed_attempts", from.failed_attempts},
            {"cancelled_jobs", from.cancelled_jobs},
            {"moves", from.moves},
            {"conflicts", from.conflicts},
            {"unknown_commits", from.unknown_commits},
            {"store_failures", from.store_failures},
            {"budget_refusals", from.budget_refusals},
            {"claim_rows", from.claim_rows},
            {"record_rows", from.record_rows},
            {"partition_rows", from.partition_rows},
            {"submission_rows", from.submission_rows},
            {"cancellation_rows", from.cancellation_rows},
            {"move_rows", from.move_rows}};
}

operation_id operation_of(const http_request& request) {
    const std::string text = request.parameter("operation");
    if (text.size() > 128 || text.find('@') != std::string::npos) {
        throw error(result_code::malformed_request,
                    "an operation id has at most 128 characters and no @");
    }
    return operation_id(text.empty() ? thread_random().token() : text);
}

std::string operator_of(const http_request& request) {
    const std::string text = request.header("Tanagerpaddle-Operator");
    return text.empty() ? "unknown" : text.substr(0, 128);
}

}  // namespace

void entry_services::mount_operators() {
    mount_operator_state();
    mount_operator_configuration();
    mount_operator_jobs();
}

void entry_services::require_operator(const http_request& request) const {
    if (!keys_.accepts(request.header(header_name::authorization))) {
        log_event(log_level::warning, "operator_refused", {{"peer", request.peer}});
        throw error(result_code::unauthorized, "the call carries no valid key");
    }
}

void entry_services::mount_operator_state() {
    operators.route("GET", "/healthz", [](const http_request&) {
        return json_response({{"status", "ok"}});
    });
    operators.route("GET", "/readyz", [this](const http_request&) {
        if (!is_ready()) {
            return error_response(result_code::not_ready,
                                  is_leaving_.load() ? "leaving" : "no configuration is known");
        }
        return json_response({{"status", "ready"}});
    });
    operators.route("GET", "/metrics", [this](const http_request&) { return show_metrics(); });
    operators.route("GET", "/v1/status", [this](const http_request&) { return show_status(); });
    operators.route("GET", "/v1/targets", [this](const http_request&) { return show_targets(); });
    operators.route("GET", "/v1/decisions",
                    [this](const http_request&) { return show_decisions(); });
}

void entry_services::mount_operator_configuration() {
    operators.route("GET", "/v1/config",
                    [this](const http_request&) { return show_configuration(); });
    operators.route("PUT", "/v1/config", [this](const http_request& request) {
        require_operator(request);
        return put_configuration(request);
    });
    operators.route("POST", "/v1/drains/([^/]+)", [this](const http_request& request) {
        require_operator(request);
        return change_drain(request, true);
    });
    operators.route("DELETE", "/v1/drains/([^/]+)", [this](const http_request& request) {
        require_operator(request);
        return change_drain(request, false);
    });
}

http_response entry_services::show_status() {
    json result{{"entry", self_.id.value()},
                {"incarnation", self_.incarnation.value()},
                {"version", "0.1.0"},
                {"is_ready", is_ready()},
                {"store_available", is_store_available_.load()},
                {"in_flight", requests_.in_flight()},
                {"unauthorized_calls", keys_.refused()}};
    {
        const std::lock_guard lock(configuration_mutex_);
        result["configuration_version"] = accepted_.version.value();
    }
    const std::lock_guard lock(control_mutex_);
    const instant now = time_.now();
    result["partitions"] = json::array();
    for (const auto& partition : scheduler_.partitions()) {
        result["partitions"].push_back(to_json_value(partition));
    }
    std::map<entry_id, config_version> versions;
    for (const auto& digest : targets_known_.entry_digests(now)) {
        versions[digest.from.id] = digest.configuration;
    }
    versions[self_.id] = scheduler_.configured_version();
    const auto live = entries_known_.live(now);
    result["entries"] = json::array();
    for (const auto& entry : entries_known_.all()) {
        const bool is_live = std::find(live.begin(), live.end(), entry) != live.end();
        result["entries"].push_back({{"info", to_json_value(entry)},
                                     {"is_live", is_live},
                                     {"configuration", versions[entry.id].value()}});
    }
    std::optional<config_version> oldest;
    const auto agents = targets_known_.local_agents(now);
    for (const auto& agent : agents) {
        oldest =
            std::min(oldest.value_or(agent.last_sync.configuration), agent.last_sync.configuration);
    }
    result["agents"] = {{"count", agents.size()},
                        {"oldest_configuration", oldest.value_or(config_version()).value()}};
    result["counters"] = counters_json(scheduler_.counters());
    return json_response(result);
}

http_response entry_services::show_configuration() {
    const std::lock_guard lock(configuration_mutex_);
    http_response response = json_response({{"version", accepted_.version.value()},
                                            {"document", accepted_.row.document},
                                            {"changed_by", accepted_.row.changed_by}});
    if (!accepted_.declared) {
        response.status = 404;
    }
    return response;
}

http_response entry_services::put_configuration(const http_request& request) {
    const std::string text = request.parameter("expected_version");
    std::uint64_t expected = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), expected);
    if (text.empty() || parsed.ec != std::errc()) {
        throw error(result_code::malformed_request, "expected_version must be a number");
    }
    return apply_change(
        {request.body, config_version(expected), operation_of(request), operator_of(request)});
}

http_response entry_services::change_drain(const http_request& request, bool is_drained) {
    const failure_domain_id domain(request.captures.at(0));
    // The change is made on the newest configuration of the table, not on one that may be older.
    accepted_configuration present = configurations_.read_newer(config_version());
    if (!present.declared) {
        throw error(result_code::not_ready, "no configuration was accepted yet");
    }
    configuration next = *present.declared;
    const auto& domains = next.failure_domains;
    if (std::none_of(domains.begin(), domains.end(),
                     [&](const failure_domain_declaration& item) { return item.id == domain; })) {
        throw error(result_code::unknown_failure_domain, "no failure domain " + domain.value());
    }
    std::erase(next.drains, domain);
    if (is_drained) {
        next.drains.push_back(domain);
    }
    return apply_change(
        {to_yaml(next), present.version, operation_of(request), operator_of(request)});
}

http_response entry_services::apply_change(const configuration_change_request& change) {
    accepted_configuration accepted;
    try {
        accepted = configurations_.apply(change);
    } catch (const error& failure) {
        log_event(log_level::warning, "configuration_refused",
                  {{"operator", change.changed_by},
                   {"operation", change.operation},
                   {"code", failure.code()}});
        http_response response = error_response(failure.code(), failure.what());
        if (failure.code() == result_code::configuration_conflict) {
            refresh_configuration();
            json body = json::parse(response.body);
            const std::lock_guard lock(configuration_mutex_);
            body["version"] = accepted_.version.value();
            response.body = body.dump() + "\n";
        }
        return response;
    }
    log_event(log_level::info, "configuration_accepted",
              {{"operator", change.changed_by},
               {"operation", change.operation},
               {"version", accepted.version}});
    accept_configuration(accepted);
    notify_entries({accepted.version, {}});
    return json_response({{"version", accepted.version.value()}});
}

http_response entry_services::show_targets() {
    std::map<target_id, target_status> status;
    for (auto& item : targets_.status()) {
        status.emplace(item.id, item);
    }
    json result = json::array();
    const std::lock_guard lock(control_mutex_);
    for (const auto& known : targets_known_.targets(time_.now())) {
        json item = to_json_value(known);
        const auto& state = status[known.target.id];
        item["outstanding"] = state.outstanding;
        item["limit"] = state.limit;
        item["latency_us"] = state.latency.count() / 1'000;
        item["is_ejected"] = state.is_ejected;
        item["accepts"] = state.accepts;
        result.push_back(std::move(item));
    }
    return json_response(result);
}

http_response entry_services::show_decisions() {
    json result = json::array();
    const std::lock_guard lock(control_mutex_);
    const instant now = time_.now();
    for (const auto& item : scheduler_.recent_decisions()) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.at);
        result.push_back({{"kind", name(item.kind)},
                          {"partition", item.partition.value()},
                          {"task", to_string(item.task)},
                          {"worker", item.worker.value()},
                          {"cause", item.cause},
                          {"age_ms", age.count()}});
    }
    return json_response(result);
}

http_response entry_services::show_metrics() {
    metrics()
        .gauge_of(metric::requests_in_flight, {"all"})
        .set(static_cast<std::int64_t>(requests_.in_flight()));
    {
        const std::lock_guard lock(control_mutex_);
        std::int64_t pending = 0;
        const auto owned = scheduler_.partitions();
        for (const auto& partition : owned) {
            pending += partition.pending_tasks;
        }
        metrics().gauge_of(metric::tasks_pending).set(pending);
        metrics().gauge_of(metric::partitions_owned).set(static_cast<std::int64_t>(owned.size()));
    }
    metrics()
        .gauge_of(metric::invariants_checked)
        .set(static_cast<std::int64_t>(invariant_checks()));
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics().prometheus_text();
    return response;
}

}  // namespace tanagerpaddle
