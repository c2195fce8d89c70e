#pragma once

// The data path: POST /v1/execute. Admission, slots, the call to the target, the answer.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include "request_registry.hpp"
#include "tanagerpaddle/ledger.hpp"
#include "tanagerpaddle/rpc.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

struct request_executor_options {
    endpoint target;
    service_id service;
    std::uint32_t slots = 8;
    // Requests held at a time, running and waiting.
    std::uint32_t max_requests = 128;
    request_registry_options registry;
};

// Thread-safe.
class request_executor {
public:
    // `slots` is the ledger's counter; the references must outlive the object.
    request_executor(const request_executor_options& options, incarnation_number incarnation,
                     std::shared_ptr<slot_counter> slots, const clock& time, tracer& spans);

    // Answers one request; never throws for a failed one. Waits for a slot and for the target.
    [[nodiscard]] http_response execute(const http_request& request);
    [[nodiscard]] cancel_reply cancel(const cancel_request& request);

    // Requests are refused with this code unless it is ok, at first not_ready.
    void set_refusal(result_code code);
    // From now on requests are refused with `leaving`; those that were accepted go on.
    void set_leaving();
    // Requests that wait or run.
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] std::uint32_t busy_slots() const noexcept { return slots_->busy(); }
    // The p99 in microseconds since the last call, 0 without requests.
    [[nodiscard]] std::int64_t take_p99_us();
    void close_idle() { connections_.close_idle(); }

private:
    struct parsed_request {
        request_id id;
        service_id service;
        std::string method;
        std::string traceparent;
        std::string content_type;
        bool is_idempotent = false;
        std::int64_t timeout_ms = -1;
        std::string incarnation;
        deadline limit;
        // Of service, method and body.
        std::uint64_t hash = 0;
    };
    struct answer {
        result_code code = result_code::ok;
        std::string message;
        stored_answer content;
    };
    struct waiter {
        request_id id;
        bool is_granted = false;
        bool is_withdrawn = false;
        std::condition_variable changed;
    };

    [[nodiscard]] parsed_request parse(const http_request& request) const;
    // ok, or why the request is refused whatever the registry knows.
    [[nodiscard]] result_code check_request(const parsed_request& request) const;
    [[nodiscard]] answer run(const parsed_request& request, const std::string& body, span& trace);
    // Throws error unless the request holds a slot afterwards; a stored answer is returned.
    [[nodiscard]] std::optional<stored_answer> admit(const parsed_request& request);
    void wait_for_slot(std::unique_lock<std::mutex>& lock, const parsed_request& request);
    void grant_slots();
    void finish(const parsed_request& request, const answer& result);
    [[nodiscard]] answer call_target(const parsed_request& request, const std::string& body,
                                     span& trace);
    [[nodiscard]] answer judge(const parsed_request& request, http_result result) const;
    [[nodiscard]] http_response to_response(const parsed_request& request, answer result) const;
    void record_latency(std::chrono::nanoseconds took);

    request_executor_options options_;
    incarnation_number incarnation_;
    std::shared_ptr<slot_counter> slots_;
    const clock& time_;
    tracer& spans_;
    http_client_pool connections_;
    mutable std::mutex mutex_;
    request_registry registry_;
    result_code refusal_ = result_code::not_ready;
    std::size_t in_flight_ = 0;
    // In order of arrival.
    std::list<waiter*> waiting_;
    // Moving average of the time that the target takes.
    milliseconds expected_{0};
    std::unique_ptr<latency_histogram> interval_;
};

}  // namespace tanagerpaddle
