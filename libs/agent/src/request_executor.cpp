#include "request_executor.hpp"

#include <algorithm>
#include <charconv>

namespace tanagerpaddle {

namespace {

// Shorter than the usual idle timeout of an HTTP server (5 s in cpp-httplib), so that a request is
// not sent on a connection that the target is closing.
constexpr std::int64_t target_reuse_ms = 4'000;
// Timeouts of the HTTP client are whole milliseconds, rounded down, so they end before the
// deadline.
constexpr milliseconds timeout_rounding{2};
constexpr std::int64_t longest_timeout_ms = 86'400'000;
// Weight of the newest request in the average service time: 1/8.
constexpr std::int64_t average_weight = 8;

std::int64_t number_or(const std::string& text, std::int64_t otherwise) {
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end && !text.empty() ? value : otherwise;
}

bool is_valid_name(const std::string& text) {
    return !text.empty() && text.size() <= 128 && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '.' || c == '_' || c == '-' || c == ':';
    });
}

}  // namespace

request_executor::request_executor(const request_executor_options& options,
                                   incarnation_number incarnation,
                                   std::shared_ptr<slot_counter> slots, const clock& time,
                                   tracer& spans)
    : options_(options),
      incarnation_(incarnation),
      slots_(std::move(slots)),
      time_(time),
      spans_(spans),
      connections_(time, options.slots, target_reuse_ms),
      registry_(options.registry, incarnation, time),
      interval_(std::make_unique<latency_histogram>()) {}

request_executor::parsed_request request_executor::parse(const http_request& request) const {
    parsed_request parsed;
    parsed.id = request_id(request.header(header_name::request_id));
    parsed.service = service_id(request.header(header_name::service));
    parsed.method = request.header(header_name::method);
    parsed.traceparent = request.header(header_name::traceparent);
    parsed.content_type = request.header("Content-Type");
    parsed.is_idempotent = request.header(header_name::idempotent) == "1";
    parsed.timeout_ms = number_or(request.header(header_name::timeout_ms), -1);
    parsed.incarnation = request.header(header_name::incarnation);
    parsed.hash = hash_bytes(parsed.service.value() + '\n' + parsed.method + '\n' + request.body);
    const std::int64_t budget = std::clamp(parsed.timeout_ms, std::int64_t{0}, longest_timeout_ms);
    parsed.limit = deadline::after(time_.now(), milliseconds(budget));
    return parsed;
}

result_code request_executor::check_request(const parsed_request& request) const {
    if (request.incarnation != std::to_string(incarnation_.value())) {
        return result_code::wrong_incarnation;
    }
    if (request.timeout_ms < 0) {
        return result_code::missing_deadline;
    }
    if (request.timeout_ms == 0) {
        return result_code::deadline_exceeded_not_run;
    }
    return request.service == options_.service ? result_code::ok : result_code::unknown_service;
}

http_response request_executor::execute(const http_request& request) {
    const instant started = time_.now();
    const parsed_request parsed = parse(request);
    span trace = spans_.start("agent.execute", parsed.traceparent);
    trace.set("service", parsed.service);
    trace.set("request_id", parsed.id);
    answer result = run(parsed, request.body, trace);
    trace.set_result(result.code);
    const bool is_own = parsed.service == options_.service;
    metrics()
        .counter_of(metric::requests, {is_own ? parsed.service.value() : "other",
                                       is_valid_name(parsed.method) ? parsed.method : "other",
                                       std::string(name(result.code))})
        .add();
    if (means_not_run(result.code)) {
        log_event(log_level::debug, "request_refused",
                  {{"request_id", parsed.id}, {"code", result.code}});
    } else {
        const auto took = time_.now() - started;
        record_latency(took);
        metrics()
            .latency_of(metric::request_latency, {parsed.service.value(), parsed.method})
            .record(took);
    }
    return to_response(parsed, std::move(result));
}

request_executor::answer request_executor::run(const parsed_request& request,
                                               const std::string& body, span& trace) {
    if (!is_valid_name(request.id.value()) || !is_valid_name(request.method)) {
        return {result_code::malformed_request, "the request has no valid id or method", {}};
    }
    try {
        if (auto stored = admit(request)) {
            return {result_code::ok, "", std::move(*stored)};
        }
    } catch (const error& refusal) {
        return {refusal.code(), refusal.what(), {}};
    }
    answer result;
    try {
        result = call_target(request, body, trace);
    } catch (const std::exception& failure) {
        result = {result_code::internal_error, failure.what(), {}};
    }
    finish(request, result);
    return result;
}

std::optional<stored_answer> request_executor::admit(const parsed_request& request) {
    std::unique_lock lock(mutex_);
    // The registry comes first: a refusal as "not run" must not be said of a request that runs.
    registry_verdict verdict = registry_.check(request.id, request.is_idempotent);
    result_code code = verdict.code;
    if (verdict.answer) {
        if (verdict.answer->request_hash == request.hash) {
            return std::move(verdict.answer);
        }
        code = result_code::duplicate_request;
    }
    if (code == result_code::ok) {
        code = refusal_;
    }
    if (code == result_code::ok) {
        code = check_request(request);
    }
    if (code == result_code::ok && in_flight_ >= options_.max_requests) {
        code = result_code::overloaded;
    }
    if (code == result_code::ok) {
        code = registry_.accept(request.id, request.is_idempotent, request.limit);
    }
    if (code != result_code::ok) {
        throw error(code, "the agent refused the request");
    }
    ++in_flight_;
    wait_for_slot(lock, request);
    return std::nullopt;
}

void request_executor::wait_for_slot(std::unique_lock<std::mutex>& lock,
                                     const parsed_request& request) {
    waiter self;
    self.id = request.id;
    waiting_.push_back(&self);
    grant_slots();
    while (!self.is_granted && !self.is_withdrawn) {
        const milliseconds left = request.limit.remaining(time_.now()) - expected_;
        if (left <= milliseconds(0)) {
            break;
        }
        self.changed.wait_for(lock, left);
    }
    if (self.is_granted) {
        return;
    }
    waiting_.remove(&self);
    registry_.drop(request.id);
    --in_flight_;
    if (self.is_withdrawn) {
        throw error(result_code::cancelled_not_run, "the request was cancelled before it ran");
    }
    throw error(result_code::deadline_exceeded_not_run, "no slot became free in time");
}

void request_executor::grant_slots() {
    while (!waiting_.empty()) {
        waiter& first = *waiting_.front();
        if (!first.is_withdrawn) {
            // The ledger's count may be higher than what this target takes.
            if (slots_->busy() >= options_.slots || !slots_->try_acquire_slot()) {
                return;
            }
            registry_.begin(first.id);
            first.is_granted = true;
        }
        waiting_.pop_front();
        first.changed.notify_one();
    }
}

void request_executor::finish(const parsed_request& request, const answer& result) {
    const std::lock_guard lock(mutex_);
    slots_->release_slot();
    if (means_not_run(result.code)) {
        registry_.take_back(request.id);
    } else {
        // The answer of a target that may still run the request is not final and is not kept.
        const bool is_final = result.code == result_code::ok;
        registry_.finish(request.id, is_final ? std::optional(result.content) : std::nullopt);
    }
    --in_flight_;
    grant_slots();
}

request_executor::answer request_executor::call_target(const parsed_request& request,
                                                       const std::string& body, span& trace) {
    span hop = trace.child("target.serve");
    http_call call;
    call.to = options_.target;
    call.path = "/serve/" + request.method;
    call.body = body;
    if (!request.content_type.empty()) {
        call.content_type = request.content_type;
    }
    call.limit = request.limit;
    call.first_byte = request.limit;
    const instant sent = time_.now();
    call.headers = {
        {header_name::request_id, request.id.value()},
        {header_name::timeout_ms, std::to_string(request.limit.remaining(sent).count())},
        {header_name::traceparent, hop.traceparent()}};
    answer result = judge(request, connections_.call(call));
    hop.set_result(result.code);
    const std::lock_guard lock(mutex_);
    const auto took = std::chrono::duration_cast<milliseconds>(time_.now() - sent);
    expected_ += (took - expected_) / average_weight;
    return result;
}

request_executor::answer request_executor::judge(const parsed_request& request,
                                                 http_result result) const {
    const instant now = time_.now();
    const bool is_late = request.limit.has_passed(now);
    if (result.failure == http_failure::not_connected) {
        return {is_late ? result_code::deadline_exceeded_not_run : result_code::connection_refused,
                "the target took no connection: " + result.message,
                {}};
    }
    if (result.failure == http_failure::no_answer) {
        const bool has_timed_out = request.limit.remaining(now) <= timeout_rounding;
        return {has_timed_out ? result_code::deadline_exceeded_running : result_code::target_failed,
                "no complete answer of the target: " + result.message,
                {}};
    }
    http_response& response = result.response;
    if (response.header(header_name::request_id) != request.id.value()) {
        return {result_code::answer_corrupted, "the target's answer is for another request", {}};
    }
    const std::string length = response.header(header_name::body_length);
    const std::string checksum = response.header(header_name::body_checksum);
    if ((!length.empty() && length != std::to_string(response.body.size())) ||
        (!checksum.empty() && checksum != to_hex(hash_bytes(response.body)))) {
        return {result_code::answer_corrupted, "the target's answer is incomplete", {}};
    }
    if (response.status >= 500) {
        return {result_code::target_failed,
                "the target answered HTTP status " + std::to_string(response.status),
                {}};
    }
    if (is_late) {
        return {result_code::deadline_exceeded_running, "the target answered too late", {}};
    }
    return {
        result_code::ok,
        "",
        {response.status, response.header("Content-Type"), std::move(response.body), request.hash}};
}

http_response request_executor::to_response(const parsed_request& request, answer result) const {
    http_response response;
    if (result.code == result_code::ok) {
        response.status = result.content.status;
        response.body = std::move(result.content.body);
        response.content_type = result.content.content_type.empty() ? "application/octet-stream"
                                                                    : result.content.content_type;
        response.headers.push_back({header_name::result, "0"});
    } else {
        response = error_response(result.code, result.message);
    }
    if (is_valid_name(request.id.value())) {
        response.headers.push_back({header_name::request_id, request.id.value()});
    }
    response.headers.push_back({header_name::body_length, std::to_string(response.body.size())});
    response.headers.push_back({header_name::body_checksum, to_hex(hash_bytes(response.body))});
    response.headers.push_back({header_name::busy_slots, std::to_string(slots_->busy())});
    response.headers.push_back({header_name::incarnation, std::to_string(incarnation_.value())});
    return response;
}

cancel_reply request_executor::cancel(const cancel_request& request) {
    const std::lock_guard lock(mutex_);
    cancel_reply reply;
    reply.outcome = registry_.cancel(request);
    if (reply.outcome == cancel_outcome::not_run) {
        for (waiter* const item : waiting_) {
            if (item->id == request.id) {
                item->is_withdrawn = true;
                item->changed.notify_one();
            }
        }
    }
    return reply;
}

void request_executor::set_refusal(result_code code) {
    const std::lock_guard lock(mutex_);
    if (refusal_ != result_code::leaving) {
        refusal_ = code;
    }
}

void request_executor::set_leaving() {
    set_refusal(result_code::leaving);
}

std::size_t request_executor::in_flight() const {
    const std::lock_guard lock(mutex_);
    return in_flight_;
}

void request_executor::record_latency(std::chrono::nanoseconds took) {
    const std::lock_guard lock(mutex_);
    interval_->record(took);
}

std::int64_t request_executor::take_p99_us() {
    auto fresh = std::make_unique<latency_histogram>();
    const std::lock_guard lock(mutex_);
    std::swap(interval_, fresh);
    return fresh->count() == 0 ? 0 : static_cast<std::int64_t>(fresh->quantile(0.99) * 1e6);
}

}  // namespace tanagerpaddle
