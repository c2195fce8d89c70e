#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>

#include "admission_gate.hpp"
#include "call_executor.hpp"
#include "request_claims.hpp"
#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/routing.hpp"
#include "tanagerpaddle/rpc.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

// What is learned about one service; outlives changes of the configuration.
struct service_statistics {
    explicit service_statistics(const clock& time) : gate({}, time) {}

    admission_gate gate;
    std::atomic<std::uint32_t> slots{0};
    // Decaying mean of the latency of successful requests, in nanoseconds.
    std::atomic<std::int64_t> service_time_ns{0};

    [[nodiscard]] admission_capacity capacity() const noexcept {
        return {slots.load(std::memory_order_relaxed),
                nanoseconds(service_time_ns.load(std::memory_order_relaxed))};
    }
};

// What is learned about one method; outlives changes of the configuration.
struct method_statistics {
    quantile_estimator p95{0.95};
    latency_histogram* latency = nullptr;  // owned by the registry of metrics
};

// A service as requests see it. Read-only after it is published.
struct routed_service {
    service_declaration declaration;
    std::shared_ptr<service_statistics> statistics;
    std::map<method_id, std::shared_ptr<method_statistics>> methods;
    counter* hedges = nullptr;
    counter* retries = nullptr;
};

using service_table = std::map<service_id, routed_service>;

// One request of a caller on its way.
struct caller_request {
    request_id id;
    service_id service;
    method_declaration method;
    std::string body;
    deadline until;
    std::string traceparent;
};

// What one or more tries of a request came to.
struct request_result {
    result_code code = result_code::internal_error;
    std::string message;
    std::string body;
    std::string content_type = "application/octet-stream";
};

// The shared parts that the path of a request uses.
struct request_path {
    target_pool& targets;
    http_client_pool& connections;
    rpc_client& rpc;
    retry_policy& retries;
    const clock& time;
    tracer& spans;
    const key_ring& keys;
};

// Serves callers' requests. Thread-safe.
class request_service {
public:
    request_service(const request_path& path, request_claims& claims);

    void set_configuration(const configuration& declared);
    // Slots of the targets that take requests, by service.
    void set_slots(const std::map<service_id, std::uint32_t>& slots);

    // POST /v1/requests/<service>/<method>
    [[nodiscard]] http_response handle(const http_request& request);
    [[nodiscard]] std::uint64_t in_flight() const noexcept { return in_flight_.load(); }
    void stop() { executor_.stop(); }

private:
    [[nodiscard]] request_result run(const routed_service& service, const caller_request& request);
    [[nodiscard]] request_result run_once_only(const routed_service& service,
                                               const caller_request& request);
    [[nodiscard]] request_result run_tries(const routed_service& service,
                                           const caller_request& request);
    // A lease, or the code with which the request ends.
    [[nodiscard]] acquisition acquire(const routed_service& service, const caller_request& request,
                                      const std::vector<target_id>& excluded);
    [[nodiscard]] request_result run_hedged(const routed_service& service,
                                            const caller_request& request, target_lease lease);

    request_path path_;
    request_claims& claims_;
    hedge_policy hedges_;
    call_executor executor_;
    std::atomic<std::shared_ptr<const service_table>> services_;
    std::atomic<std::uint64_t> in_flight_{0};
};

// One try: sends the request to the leased target's agent, checks the answer, releases the lease.
// For non-idempotent requests an unclear outcome is resolved with the agent before it returns.
[[nodiscard]] request_result send_to_agent(const request_path& path, const caller_request& request,
                                           target_lease lease, std::uint32_t& busy_slots);

// Random numbers of the calling thread.
[[nodiscard]] random_source& thread_random();

}  // namespace tanagerpaddle
