#include <array>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

using enum metric;

constexpr auto counts = metric_kind::counter;
constexpr auto level = metric_kind::gauge;
constexpr auto latency = metric_kind::latency;

constexpr std::array table{
    metric_descriptor{requests, "tanagerpaddle_requests_total", counts, "requests",
                      "service,method,result", "Requests answered, by result code name."},
    metric_descriptor{request_latency, "tanagerpaddle_request_seconds", latency, "s",
                      "service,method", "Time from a request's arrival to its response."},
    metric_descriptor{request_retries, "tanagerpaddle_request_retries_total", counts, "requests",
                      "service", "Second tries of requests on another target."},
    metric_descriptor{request_hedges, "tanagerpaddle_request_hedges_total", counts, "requests",
                      "service", "Requests sent to a second target before the first answered."},
    metric_descriptor{requests_shed, "tanagerpaddle_requests_shed_total", counts, "requests",
                      "service,reason", "Requests refused before they were run."},
    metric_descriptor{requests_in_flight, "tanagerpaddle_requests_in_flight", level, "requests",
                      "service", "Requests that wait or run."},
    metric_descriptor{target_ejections, "tanagerpaddle_target_ejections_total", counts, "targets",
                      "service", "Targets taken out after repeated failures."},
    metric_descriptor{targets, "tanagerpaddle_targets", level, "targets", "service,state",
                      "Known targets by state."},
    metric_descriptor{connections, "tanagerpaddle_connections", level, "connections", "server",
                      "Accepted connections."},
    metric_descriptor{connections_refused, "tanagerpaddle_connections_refused_total", counts,
                      "connections", "server", "Connections beyond the bound."},
    metric_descriptor{unauthorized_calls, "tanagerpaddle_unauthorized_calls_total", counts, "calls",
                      "server", "Control calls with a wrong key."},
    metric_descriptor{control_calls, "tanagerpaddle_control_calls_total", counts, "calls",
                      "method,result", "Control calls sent, by result code name."},
    metric_descriptor{control_call_latency, "tanagerpaddle_control_call_seconds", latency, "s",
                      "method", "Time of control calls sent."},
    metric_descriptor{control_bytes_sent, "tanagerpaddle_control_sent_bytes_total", counts, "bytes",
                      "method", "Bodies of control calls sent."},
    metric_descriptor{control_bytes_received, "tanagerpaddle_control_received_bytes_total", counts,
                      "bytes", "method", "Bodies of control calls received."},
    metric_descriptor{store_calls, "tanagerpaddle_store_calls_total", counts, "calls",
                      "operation,result", "Calls to the table and the object store."},
    metric_descriptor{store_latency, "tanagerpaddle_store_call_seconds", latency, "s", "operation",
                      "Time of calls to the table and the object store."},
    metric_descriptor{store_rows_written, "tanagerpaddle_store_rows_written_total", counts, "rows",
                      "", "Rows put or deleted by committed transactions."},
    metric_descriptor{store_conflicts, "tanagerpaddle_store_conflicts_total", counts,
                      "transactions", "", "Transactions whose conditions did not hold."},
    metric_descriptor{partitions_owned, "tanagerpaddle_partitions_owned", level, "partitions", "",
                      "Partitions that this entry owns."},
    metric_descriptor{partition_takeovers, "tanagerpaddle_partition_takeovers_total", counts,
                      "partitions", "", "Partitions taken over from another entry."},
    metric_descriptor{tasks_claimed, "tanagerpaddle_tasks_claimed_total", counts, "tasks", "",
                      "Claims of tasks committed to the table."},
    metric_descriptor{tasks_started, "tanagerpaddle_tasks_started_total", counts, "tasks", "",
                      "Tasks started."},
    metric_descriptor{tasks_ended, "tanagerpaddle_tasks_ended_total", counts, "tasks", "state",
                      "Tasks that reached a final state."},
    metric_descriptor{tasks_evicted, "tanagerpaddle_tasks_evicted_total", counts, "tasks", "reason",
                      "Tasks stopped to be resumed later."},
    metric_descriptor{tasks_pending, "tanagerpaddle_tasks_pending", level, "tasks", "",
                      "Tasks that wait for a worker."},
    metric_descriptor{tasks_running, "tanagerpaddle_tasks_running", level, "tasks", "",
                      "Tasks that run."},
    metric_descriptor{task_start_delay, "tanagerpaddle_task_start_delay_seconds", latency, "s",
                      "priority", "Time from a task becoming pending to its start."},
    metric_descriptor{
        locality_wait_seconds, "tanagerpaddle_locality_wait_seconds", latency, "s", "outcome",
        "Time from a step that prefers a rack being ready to the placement of a task, "
        "on the rack or elsewhere."},
    metric_descriptor{permits_void, "tanagerpaddle_permits_void_total", counts, "permits", "",
                      "Start permits that expired before the start."},
    metric_descriptor{leases_expired, "tanagerpaddle_leases_expired_total", counts, "leases", "",
                      "Worker leases that ended without renewal."},
    metric_descriptor{workers, "tanagerpaddle_workers", level, "workers", "",
                      "Workers known to this entry."},
    metric_descriptor{workers_quarantined, "tanagerpaddle_workers_quarantined", level, "workers",
                      "", "Workers that get no tasks because tasks fail on them."},
    metric_descriptor{queue_share, "tanagerpaddle_queue_share_permille", level, "permille", "queue",
                      "Largest share of its service's capacity that a queue has in use."},
    metric_descriptor{kept_jobs, "tanagerpaddle_kept_jobs", level, "jobs", "",
                      "Jobs that the owner of the coordinator keeps in memory."},
    metric_descriptor{kept_deferred_jobs, "tanagerpaddle_kept_deferred_jobs", level, "jobs", "",
                      "Jobs that have not begun and whose rows the owner reads again later."},
    metric_descriptor{kept_ended_jobs, "tanagerpaddle_kept_ended_jobs", level, "jobs", "",
                      "Jobs of which the owner keeps the phase in which they ended only."},
    metric_descriptor{kept_occurrences, "tanagerpaddle_kept_occurrences", level, "occurrences", "",
                      "Occurrences of jobs whose state the owner keeps in memory."},
    metric_descriptor{kept_tasks, "tanagerpaddle_kept_tasks", level, "tasks", "",
                      "Tasks whose state the owner keeps in memory."},
    metric_descriptor{kept_bytes, "tanagerpaddle_kept_bytes", level, "bytes", "",
                      "Memory of the kept jobs, occurrences and tasks, without that of the "
                      "allocator."},
    metric_descriptor{ledger_committed_processors, "tanagerpaddle_ledger_committed_millicores",
                      level, "millicores", "", "Processors committed by the instance's ledger."},
    metric_descriptor{ledger_committed_memory, "tanagerpaddle_ledger_committed_mebibytes", level,
                      "MiB", "", "Memory committed by the instance's ledger."},
    metric_descriptor{ledger_busy_slots, "tanagerpaddle_ledger_busy_slots", level, "slots", "",
                      "Slots of the target in use."},
    metric_descriptor{configuration_version, "tanagerpaddle_configuration_version", level,
                      "version", "", "Version of the configuration in effect."},
    metric_descriptor{invariants_checked, "tanagerpaddle_invariants_checked", level, "checks", "",
                      "Invariants checked since the process started."},
    metric_descriptor{log_lines, "tanagerpaddle_log_lines_total", counts, "lines", "level",
                      "Log lines written."},
    metric_descriptor{spans_dropped, "tanagerpaddle_spans_dropped_total", counts, "spans", "",
                      "Spans dropped because their file was too slow."},
    metric_descriptor{metric_series_rejected, "tanagerpaddle_metric_series_rejected_total", counts,
                      "series", "metric", "Look-ups beyond the bound on series of a metric."},
    metric_descriptor{callback_failures, "tanagerpaddle_callback_failures_total", counts,
                      "callbacks", "", "Callbacks of the event loop that an exception ended."},
    metric_descriptor{jobs_refused, "tanagerpaddle_jobs_refused_total", counts, "jobs",
                      "queue,reason", "Submissions that this entry refused."},
    metric_descriptor{predicted_wait, "tanagerpaddle_predicted_wait_seconds", latency, "s", "queue",
                      "Predicted time from a submission to the start of its first task."},
};

constexpr bool is_in_order() {
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].id) != i) {
            return false;
        }
    }
    return table.size() == static_cast<std::size_t>(count_of_metrics);
}
static_assert(is_in_order(), "the table has one row for each metric, in the order of the enum");

}  // namespace

std::span<const metric_descriptor> metric_table() noexcept {
    return table;
}

std::string metrics_reference() {
    std::string text =
        "# Metrics\n\n"
        "`/metrics` on the operators' server returns these metrics as Prometheus text. Latency\n"
        "metrics are histograms from 100 us to 100 s with five buckets a decade.\n\n"
        "| metric | type | unit | labels | meaning |\n"
        "| --- | --- | --- | --- | --- |\n";
    for (const auto& row : table) {
        const std::string_view kind = row.kind == counts  ? "counter"
                                      : row.kind == level ? "gauge"
                                                          : "histogram";
        text += "| `" + std::string(row.name) + "` | " + std::string(kind) + " | " +
                std::string(row.unit) + " | " + std::string(row.labels) + " | " +
                std::string(row.help) + " |\n";
    }
    return text;
}

}  // namespace tanagerpaddle
