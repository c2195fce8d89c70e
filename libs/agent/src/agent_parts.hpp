#pragma once

// The parts of an agent and the order in which they start and stop.

#include <memory>
#include <mutex>
#include <string>

#include "request_executor.hpp"
#include "sync_loop.hpp"
#include "tanagerpaddle/agent.hpp"
#include "tanagerpaddle/platform.hpp"
#include "target_probe.hpp"

namespace tanagerpaddle {

class agent_parts {
public:
    // Without `runtime` the one at settings.agent.runtime_url is used.
    agent_parts(const settings& values, incarnation_number incarnation, tracer& spans,
                std::unique_ptr<worker_runtime> runtime = nullptr);
    ~agent_parts();
    agent_parts(const agent_parts&) = delete;
    agent_parts& operator=(const agent_parts&) = delete;

    void start();
    void begin_shutdown();
    [[nodiscard]] bool wait_until_drained(deadline limit) const;
    void stop();
    void reload(const settings& values);
    [[nodiscard]] std::uint16_t data_port() const noexcept { return data_server_.port(); }
    [[nodiscard]] std::uint16_t control_port() const noexcept { return control_server_.port(); }

private:
    void add_data_routes();
    void add_control_routes();
    void add_rpc_methods();
    [[nodiscard]] std::string answer_inventory(const std::string& params);
    [[nodiscard]] http_response readiness() const;
    [[nodiscard]] http_response metrics_page();
    [[nodiscard]] std::vector<target_report> target_reports();
    // Runs after each tick: admission by the ledger, idle connections.
    void update_admission();
    // True if the service's reserved amount fits the ledger or no slice names it.
    [[nodiscard]] bool has_reservation(agent_tasks& tasks);
    void load_keys(const settings& values);

    settings settings_;
    system_clock time_;
    key_ring keys_;
    instance_ledger ledger_;
    std::unique_ptr<worker_runtime> runtime_;
    http_client_pool connections_;
    rpc_client calls_;
    request_executor executor_;
    target_probe probe_;
    rpc_dispatcher dispatcher_;
    incarnation_number incarnation_;
    std::atomic<bool> is_leaving_{false};
    // What the counters of the metrics page already contain.
    std::atomic<std::uint64_t> counted_unauthorized_{0};
    std::atomic<std::uint64_t> counted_refused_data_{0};
    std::atomic<std::uint64_t> counted_refused_control_{0};
    // Made in start(), when the ports are known. Handlers of the control server may come before.
    std::unique_ptr<agent_tasks> tasks_;
    std::unique_ptr<sync_loop> loop_;
    std::atomic<sync_loop*> running_loop_{nullptr};
    http_server data_server_;
    http_server control_server_;
};

}  // namespace tanagerpaddle
