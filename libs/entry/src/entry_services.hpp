#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "call_executor.hpp"
#include "configuration_store.hpp"
#include "request_claims.hpp"
#include "request_service.hpp"
#include "run_times.hpp"
#include "tanagerpaddle/entry.hpp"
#include "tanagerpaddle/membership.hpp"
#include "tanagerpaddle/placement.hpp"
#include "tanagerpaddle/platform.hpp"
#include "tanagerpaddle/routing.hpp"
#include "tanagerpaddle/rpc.hpp"
#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

// Calls `action` again and again, `interval` apart, in a thread of its own until it is stopped.
class periodic_thread {
public:
    periodic_thread(std::function<milliseconds()> interval, std::function<void()> action);
    ~periodic_thread() { stop(); }
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;

    // Runs the action now rather than at the end of the interval.
    void run_soon();
    void stop();

private:
    void run();

    std::function<milliseconds()> interval_;
    std::function<void()> action_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_due_ = false;
    bool is_stopping_ = false;
    std::thread thread_;
};

// The state and the threads of one entry. `control_mutex_` guards the scheduler and the two
// directories; the path of a request uses only parts that need no lock of this class.
class entry_services {
public:
    entry_services(const settings& values, incarnation_number incarnation, tracer& spans);
    ~entry_services() { stop(); }
    entry_services(const entry_services&) = delete;
    entry_services& operator=(const entry_services&) = delete;

    void start();
    void begin_shutdown();
    [[nodiscard]] bool wait_until_drained(deadline limit);
    void stop();
    void reload(const settings& values);

    http_server callers;
    http_server operators;
    http_server control;

private:
    // control_service.cpp: calls of agents and other entries
    void mount_control();
    [[nodiscard]] std::string serve_sync(const std::string& params);
    [[nodiscard]] std::string serve_digest(const std::string& params);
    [[nodiscard]] std::string serve_notice(const std::string& params);
    [[nodiscard]] std::string serve_configuration();

    // operator_api.cpp, operator_jobs.cpp
    void mount_operators();
    void mount_operator_state();
    void mount_operator_configuration();
    void mount_operator_jobs();
    void require_operator(const http_request& request) const;
    [[nodiscard]] http_response show_status();
    [[nodiscard]] http_response show_configuration();
    [[nodiscard]] http_response put_configuration(const http_request& request);
    [[nodiscard]] http_response change_drain(const http_request& request, bool is_drained);
    [[nodiscard]] http_response apply_change(const configuration_change_request& change);
    [[nodiscard]] http_response show_targets();
    [[nodiscard]] http_response list_jobs(const http_request& request);
    [[nodiscard]] http_response show_job(const http_request& request);
    [[nodiscard]] http_response submit_job(const http_request& request);
    [[nodiscard]] http_response cancel_job(const http_request& request);
    [[nodiscard]] http_response cancel_jobs(const http_request& request);
    [[nodiscard]] http_response explain_job(const http_request& request);
    [[nodiscard]] http_response view_job(const std::string& method, const std::string& id);
    [[nodiscard]] std::optional<entry_info> owner_of_job(const job_id& id);
    [[nodiscard]] std::string describe_job(const std::string& id);
    [[nodiscard]] std::string describe_waits(const std::string& id);
    void mount_job_views();
    [[nodiscard]] http_response show_decisions();
    [[nodiscard]] http_response show_metrics();

    // loops.cpp
    void run_scheduler();
    void run_membership();
    void refresh_entries();
    void refresh_configuration();
    void fetch_configuration_from_entries();
    void accept_configuration(const accepted_configuration& accepted);
    void publish_routes();
    void send_digest(const entry_info& to);
    void notify_entries(const entry_notice& notice);
    void make_calls(const tick_result& due);
    void ask_runtime(const runtime_query& query);
    [[nodiscard]] bool is_ready() const;

    settings settings_;
    entry_info self_;
    tracer& spans_;
    system_clock time_;
    key_ring keys_;
    http_table table_;
    http_client_pool request_connections_;
    http_client_pool control_connections_;
    rpc_client request_rpc_;
    rpc_client control_rpc_;
    rpc_dispatcher control_methods_;
    target_pool targets_;
    retry_budget retries_;
    request_claims claims_;
    request_service requests_;
    configuration_store configurations_;
    call_executor control_calls_;

    std::mutex control_mutex_;
    deadline_placement placement_;
    estimated_run_times run_times_;
    entry_scheduler scheduler_;
    target_directory targets_known_;
    entry_directory entries_known_;
    std::vector<route_target> published_;

    mutable std::mutex configuration_mutex_;
    accepted_configuration accepted_;
    std::atomic<bool> is_store_available_{false};
    std::atomic<bool> is_leaving_{false};
    std::atomic<bool> is_stopped_{false};
    deadline drained_not_before_;

    std::vector<std::unique_ptr<periodic_thread>> threads_;
    periodic_thread* membership_thread_ = nullptr;
};

}  // namespace tanagerpaddle
