#include "request_service.hpp"

#include <algorithm>
#include <charconv>

namespace tanagerpaddle {

namespace {

constexpr std::size_t hedge_threads = 64;
constexpr std::int64_t longest_budget_ms = 600'000;
constexpr std::size_t longest_request_id = 128;
constexpr int most_tries = 4;
// Weight of one sample in the mean service time is 1/16.
constexpr std::int64_t service_time_divisor = 16;

deadline parse_budget(const http_request& request, instant now) {
    const std::string text = request.header(header_name::timeout_ms);
    std::int64_t budget = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), budget);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        throw error(result_code::missing_deadline,
                    std::string("the header ") + header_name::timeout_ms +
                        " must give the time until the deadline in milliseconds");
    }
    if (budget <= 0) {
        throw error(result_code::deadline_exceeded_not_run, "the deadline has passed");
    }
    return deadline::after(now, milliseconds(std::min(budget, longest_budget_ms)));
}

request_id parse_request_id(const http_request& request) {
    std::string text = request.header(header_name::request_id);
    if (text.empty()) {
        return request_id(thread_random().token() + thread_random().token());
    }
    const bool is_valid = text.size() <= longest_request_id &&
                          std::all_of(text.begin(), text.end(),
                                      [](char c) { return c > ' ' && c < 127 && c != '/'; });
    if (!is_valid) {
        throw error(result_code::malformed_request,
                    "a request id has at most 128 printable characters and no slash");
    }
    return request_id(std::move(text));
}

// Codes that say that this target did not run the request and another one may.
bool is_retryable(result_code code, bool is_idempotent) {
    if (code == result_code::cancelled_not_run || code == result_code::connection_refused ||
        code == result_code::leaving || code == result_code::wrong_incarnation ||
        code == result_code::overloaded || code == result_code::too_many_connections) {
        return true;
    }
    return is_idempotent &&
           (code == result_code::target_failed || code == result_code::answer_corrupted ||
            code == result_code::deadline_exceeded_running);
}

// An id is only given back if no target has run it; duplicate_request says that one has.
bool is_confirmed_not_run(result_code code) {
    const int number = static_cast<int>(code);
    return number >= 200 && number < 300;
}

// A target that goes away refuses at once; moving on from it costs no extra work and is not
// counted against the retry budget.
bool is_free_retry(result_code code) {
    return code == result_code::connection_refused || code == result_code::leaving ||
           code == result_code::wrong_incarnation;
}

http_response to_response(const request_result& result, const request_id& id) {
    http_response response;
    if (result.code == result_code::ok) {
        response.body = result.body;
        response.content_type =
            result.content_type.empty() ? "application/octet-stream" : result.content_type;
        response.headers.push_back({header_name::result, "0"});
    } else {
        response = error_response(result.code, result.message);
    }
    response.headers.push_back({header_name::request_id, id.value()});
    response.headers.push_back({header_name::body_length, std::to_string(response.body.size())});
    response.headers.push_back({header_name::body_checksum, to_hex(hash_bytes(response.body))});
    return response;
}

void note_service_time(service_statistics& statistics, nanoseconds latency) {
    const std::int64_t mean = statistics.service_time_ns.load(std::memory_order_relaxed);
    const std::int64_t next =
        mean == 0 ? latency.count() : mean + (latency.count() - mean) / service_time_divisor;
    statistics.service_time_ns.store(next, std::memory_order_relaxed);
}

}  // namespace

request_service::request_service(const request_path& path, request_claims& claims)
    : path_(path),
      claims_(claims),
      hedges_(path.retries),
      executor_(hedge_threads),
      services_(std::make_shared<const service_table>()) {}

void request_service::set_configuration(const configuration& declared) {
    const auto former = services_.load();
    auto next = std::make_shared<service_table>();
    for (const auto& declaration : declared.services) {
        const auto known = former->find(declaration.id);
        routed_service service;
        service.declaration = declaration;
        service.statistics = known != former->end()
                                 ? known->second.statistics
                                 : std::make_shared<service_statistics>(path_.time);
        service.hedges = &metrics().counter_of(metric::request_hedges, {declaration.id.value()});
        service.retries = &metrics().counter_of(metric::request_retries, {declaration.id.value()});
        for (const auto& method : declaration.methods) {
            std::shared_ptr<method_statistics> statistics;
            if (known != former->end() && known->second.methods.contains(method.id)) {
                statistics = known->second.methods.at(method.id);
            } else {
                statistics = std::make_shared<method_statistics>();
                statistics->latency = &metrics().latency_of(
                    metric::request_latency, {declaration.id.value(), method.id.value()});
            }
            service.methods.emplace(method.id, std::move(statistics));
        }
        next->emplace(declaration.id, std::move(service));
    }
    services_.store(std::move(next));
}

void request_service::set_slots(const std::map<service_id, std::uint32_t>& slots) {
    const auto services = services_.load();
    for (const auto& [id, service] : *services) {
        const auto found = slots.find(id);
        service.statistics->slots.store(found == slots.end() ? 0 : found->second);
    }
}

http_response request_service::handle(const http_request& request) {
    in_flight_.fetch_add(1);
    const instant received = path_.time.now();
    span hop = path_.spans.start("entry.request", request.header(header_name::traceparent));
    request_id id;
    request_result result;
    try {
        id = parse_request_id(request);
        const auto services = services_.load();
        const auto service = services->find(service_id(request.captures.at(0)));
        if (service == services->end()) {
            throw error(result_code::unknown_service, "no service " + request.captures.at(0));
        }
        const auto* method =
            find_method(service->second.declaration, method_id(request.captures.at(1)));
        if (method == nullptr) {
            throw error(result_code::unknown_method, "no method " + request.captures.at(1));
        }
        if (request.body.size() > service->second.declaration.max_body_bytes) {
            throw error(result_code::body_too_large, "the body exceeds the service's limit");
        }
        hop.set("service", service->first);
        result = run(service->second, {id, service->first, *method, request.body,
                                       parse_budget(request, received), hop.traceparent()});
    } catch (const error& failure) {
        result.code = failure.code();
        result.message = failure.what();
    }
    hop.set("request_id", id);
    hop.set_result(result.code);
    in_flight_.fetch_sub(1);
    return to_response(result, id);
}

request_result request_service::run(const routed_service& service, const caller_request& request) {
    path_.retries.on_request();
    const instant started = path_.time.now();
    request_result result = request.method.is_idempotent ? run_tries(service, request)
                                                         : run_once_only(service, request);
    const nanoseconds latency = path_.time.now() - started;
    method_statistics& method = *service.methods.at(request.method.id);
    method.latency->record(latency);
    if (result.code == result_code::ok) {
        note_service_time(*service.statistics, latency);
        method.p95.record(latency);
    }
    return result;
}

request_result request_service::run_once_only(const routed_service& service,
                                              const caller_request& request) {
    claims_.claim(request.id, request.method.duplicates);
    request_result result = run_tries(service, request);
    if (is_confirmed_not_run(result.code)) {
        claims_.release(request.id, request.method.duplicates);
    }
    return result;
}

acquisition request_service::acquire(const routed_service& service, const caller_request& request,
                                     const std::vector<target_id>& excluded) {
    const acquire_options options{.can_probe = request.method.is_idempotent};
    while (true) {
        acquisition result =
            path_.targets.acquire(request.service, excluded, thread_random(), options);
        if (result.lease || result.reason != result_code::overloaded) {
            return result;
        }
        const waiting_request waiting{request.until, request.method.priority,
                                      service.declaration.team};
        const result_code turn =
            service.statistics->gate.wait(waiting, service.statistics->capacity());
        if (turn != result_code::ok) {
            result.reason = turn;
            return result;
        }
    }
}

request_result request_service::run_tries(const routed_service& service,
                                          const caller_request& request) {
    request_result result;
    std::vector<target_id> tried;
    for (int tries = 0; tries < most_tries; ++tries) {
        acquisition next = acquire(service, request, tried);
        if (!next.lease) {
            if (tries == 0) {
                result.code = next.reason;
                result.message = "no target could take the request";
            }
            return result;
        }
        tried.push_back(next.lease->target().id);
        result = run_hedged(service, request, std::move(*next.lease));
        service.statistics->gate.release_one(service.statistics->capacity());
        if (!is_retryable(result.code, request.method.is_idempotent)) {
            return result;
        }
        if (request.until.has_passed(path_.time.now())) {
            return result;
        }
        if (!is_free_retry(result.code) && !path_.retries.try_retry()) {
            return result;
        }
        service.retries->add();
    }
    return result;
}

}  // namespace tanagerpaddle
