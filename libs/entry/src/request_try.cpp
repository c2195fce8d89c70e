#include <algorithm>

#include "request_service.hpp"

namespace tanagerpaddle {

namespace {

// Part of a non-idempotent request's budget that is kept for asking the agent what became of it.
constexpr double resolve_share = 0.2;
constexpr milliseconds least_resolve_time{50};
constexpr milliseconds most_resolve_time{1'000};

http_call make_call(const caller_request& request, const route_target& target, deadline until,
                    instant now, const key_ring& keys, const std::string& traceparent) {
    http_call call;
    call.to = target.data;
    call.path = "/v1/execute";
    call.body = request.body;
    call.limit = until;
    call.first_byte = until;
    call.headers = {
        {header_name::request_id, request.id.value()},
        {header_name::service, request.service.value()},
        {header_name::method, request.method.id.value()},
        {header_name::timeout_ms, std::to_string(until.remaining(now).count())},
        {header_name::incarnation, std::to_string(target.incarnation.value())},
        {header_name::idempotent, request.method.is_idempotent ? "1" : "0"},
        {header_name::traceparent, traceparent},
    };
    if (const std::string key = keys.authorization(); !key.empty()) {
        call.headers.push_back({header_name::authorization, key});
    }
    return call;
}

// True if the answer belongs to the request and is whole.
bool is_intact(const http_response& answer, const request_id& id) {
    return answer.header(header_name::request_id) == id.value() &&
           answer.header(header_name::body_length) == std::to_string(answer.body.size()) &&
           answer.header(header_name::body_checksum) == to_hex(hash_bytes(answer.body));
}

result_code code_of(const http_response& answer) {
    const std::string number = answer.header(header_name::result);
    return number.empty() ? result_code::internal_error
                          : result_code_from_number(std::atoi(number.c_str()));
}

request_result read_answer(const http_result& answer, const caller_request& request) {
    request_result result;
    if (answer.failure == http_failure::not_connected) {
        result.code = result_code::connection_refused;
        result.message = "the agent refused the connection";
        return result;
    }
    if (answer.failure == http_failure::no_answer) {
        result.code = result_code::deadline_exceeded_running;
        result.message = "no answer from the agent: " + answer.message;
        return result;
    }
    result.code = code_of(answer.response);
    if (result.code != result_code::ok) {
        result.message = std::string(name(result.code)) + " from the agent";
        return result;
    }
    if (!is_intact(answer.response, request.id)) {
        result.code = result_code::answer_corrupted;
        result.message = "the answer is not the whole answer to this request";
        return result;
    }
    result.body = answer.response.body;
    result.content_type = answer.response.header("Content-Type");
    return result;
}

// Whether the agent may have run the request, as far as the answer shows.
bool is_outcome_open(result_code code) {
    return code == result_code::deadline_exceeded_running ||
           code == result_code::answer_corrupted || code == result_code::internal_error;
}

// Asks the agent what became of a non-idempotent request. Fetches the kept answer if it is done.
request_result resolve(const request_path& path, const caller_request& request,
                       const route_target& target, const std::string& traceparent) {
    request_result result;
    result.code = result_code::outcome_unknown;
    result.message = "the request may have run";
    const deadline limit =
        deadline::after(path.time.now(), std::clamp(request.until.remaining(path.time.now()),
                                                    least_resolve_time, most_resolve_time));
    try {
        const cancel_request question{request.id, target.incarnation};
        const auto reply =
            path.rpc.call_typed<cancel_reply>(target.control, "agent.cancel", question, limit);
        if (reply.outcome == cancel_outcome::not_run) {
            result.code = result_code::cancelled_not_run;
            result.message = "the agent confirmed that the request did not run";
        } else if (reply.outcome == cancel_outcome::done) {
            auto again =
                read_answer(path.connections.call(make_call(request, target, limit, path.time.now(),
                                                            path.keys, traceparent)),
                            request);
            if (again.code == result_code::ok) {
                return again;
            }
        }
    } catch (const error&) {
        // Without an answer the outcome stays unknown.
    }
    return result;
}

deadline answer_deadline(const request_path& path, const caller_request& request,
                         const target_lease& lease) {
    const instant now = path.time.now();
    const milliseconds budget = request.until.remaining(now);
    if (!request.method.is_idempotent) {
        const auto kept = std::clamp(milliseconds(static_cast<std::int64_t>(
                                         static_cast<double>(budget.count()) * resolve_share)),
                                     least_resolve_time, most_resolve_time);
        return deadline::after(now, std::max(budget - kept, milliseconds(1)));
    }
    const half_open_detector detector;
    return deadline(detector.first_byte_deadline(now, request.until, lease.p99_latency()));
}

}  // namespace

random_source& thread_random() {
    thread_local random_source source(random_seed());
    return source;
}

request_result send_to_agent(const request_path& path, const caller_request& request,
                             target_lease lease, std::uint32_t& busy_slots) {
    const route_target target = lease.target();
    span hop = path.spans.start("entry.call_agent", request.traceparent);
    hop.set("target", target.id);
    const instant sent = path.time.now();
    http_call call = make_call(
        request, target,
        request.method.is_idempotent ? request.until : answer_deadline(path, request, lease), sent,
        path.keys, hop.traceparent());
    call.first_byte = answer_deadline(path, request, lease);
    const http_result answer = path.connections.call(call);
    request_result result = read_answer(answer, request);
    request_outcome outcome{result.code, path.time.now() - sent, std::nullopt};
    if (const std::string busy = answer.response.header(header_name::busy_slots); !busy.empty()) {
        busy_slots = static_cast<std::uint32_t>(std::atoi(busy.c_str()));
        outcome.busy_slots = busy_slots;
    }
    path.targets.release(lease, outcome);
    if (!request.method.is_idempotent && is_outcome_open(result.code)) {
        result = resolve(path, request, target, hop.traceparent());
    }
    hop.set_result(result.code);
    return result;
}

}  // namespace tanagerpaddle
