#pragma once

// JSON-line logs, metrics in Prometheus text format and traces as OTLP JSON lines.

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// Logs

enum class log_level : std::uint8_t { debug, info, warning, error };
[[nodiscard]] std::string_view name(log_level level) noexcept;

// Text that is never written: it appears as "***".
struct secret {
    std::string value;
};

// Value of a field of a log line or of a span attribute: a text, number, bool, strong id or number,
// result code (as its number), secret, or duration (as its count; the field's name tells the unit).
class field_value {
public:
    using storage = std::variant<std::string, std::int64_t, std::uint64_t, double, bool, secret>;

    template <class T>
    field_value(const T& value) : storage_(convert(value)) {}  // NOLINT: implicit on purpose

    [[nodiscard]] const storage& value() const noexcept { return storage_; }

private:
    template <class T>
    static storage convert(const T& value) {
        if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, secret>) {
            return value;
        } else if constexpr (std::is_same_v<T, result_code>) {
            return std::int64_t{static_cast<std::uint16_t>(value)};
        } else if constexpr (std::is_floating_point_v<T>) {
            return double{value};
        } else if constexpr (std::is_unsigned_v<T>) {
            return std::uint64_t{value};
        } else if constexpr (std::is_integral_v<T>) {
            return std::int64_t{value};
        } else if constexpr (requires { value.count(); }) {
            return convert(value.count());
        } else if constexpr (requires { value.value(); }) {
            return convert(value.value());
        } else {
            return std::string(std::string_view(value));
        }
    }

    storage storage_;
};

struct field {
    std::string_view name;
    field_value value;
};

struct log_options {
    // Fields "role" and "id" of each line.
    std::string role;
    std::string id;
    log_level threshold = log_level::info;
    // Empty: standard error; "-": standard output. A file is opened for appending.
    std::string file;
    // Lines of one level and event name in each `window`; further ones are counted and reported in
    // one line with the field "suppressed": before the next line of that event after the window,
    // or by flush().
    std::uint32_t lines_per_window = 100;
    milliseconds window{10'000};
};

// Writes one JSON object a line: ts (UTC, RFC 3339, milliseconds), level, event, role, id, then
// the fields. Lines are valid JSON whatever the texts contain: bytes that are not UTF-8 become
// U+FFFD, texts are cut at 8 KiB, and a field with a reserved name gets the prefix "field_".
// Thread-safe. A file has the line when log() returns; a stream never blocks and may drop it.
class event_log {
public:
    // Throws error(invalid_settings) if the file cannot be opened.
    event_log(const log_options& options, const clock& time);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    // `event` is a stable name in snake_case.
    void log(log_level level, std::string_view event, std::span<const field> fields);
    void log(log_level level, std::string_view event, std::initializer_list<field> fields = {}) {
        log(level, event, std::span<const field>(fields.begin(), fields.size()));
    }
    void set_threshold(log_level threshold) noexcept;
    // Writes the counts of lines that are still held back.
    void flush();

private:
    struct state;
    std::unique_ptr<state> state_;
};

// Replaces the process-wide log; until the first call it writes to standard error without role
// and id. Meant for the start of a process.
void configure_log(const log_options& options);
// Writes to the process-wide log.
void log_event(log_level level, std::string_view event, std::initializer_list<field> fields = {});
// Changes the threshold of the process-wide log.
void set_log_threshold(log_level threshold);
// Writes pending counts of the process-wide log; called every few seconds and before exit, it keeps
// the counts of events that have stopped from being held back.
void flush_log();

// ---------------------------------------------------------------------------------------------
// Metrics

enum class metric_kind : std::uint8_t { counter, gauge, latency };

// Index of a metric in metric_table().
enum class metric : std::uint8_t {
    requests,
    request_latency,
    request_retries,
    request_hedges,
    requests_shed,
    requests_in_flight,
    target_ejections,
    targets,
    connections,
    connections_refused,
    unauthorized_calls,
    control_calls,
    control_call_latency,
    control_bytes_sent,
    control_bytes_received,
    store_calls,
    store_latency,
    store_rows_written,
    store_conflicts,
    partitions_owned,
    partition_takeovers,
    tasks_claimed,
    tasks_started,
    tasks_ended,
    tasks_evicted,
    tasks_pending,
    tasks_running,
    task_start_delay,
    locality_wait_seconds,
    permits_void,
    leases_expired,
    workers,
    workers_quarantined,
    queue_share,
    kept_jobs,
    kept_deferred_jobs,
    kept_ended_jobs,
    kept_occurrences,
    kept_tasks,
    kept_bytes,
    ledger_committed_processors,
    ledger_committed_memory,
    ledger_busy_slots,
    configuration_version,
    invariants_checked,
    log_lines,
    spans_dropped,
    metric_series_rejected,
    callback_failures,
    jobs_refused,
    predicted_wait,
    count_of_metrics,
};

// Declaration of one metric. `labels` names its labels, separated by commas.
struct metric_descriptor {
    metric id;
    std::string_view name;
    metric_kind kind;
    std::string_view unit;
    std::string_view labels;
    std::string_view help;
};

[[nodiscard]] std::span<const metric_descriptor> metric_table() noexcept;

class counter {
public:
    void add(std::uint64_t amount = 1) noexcept {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

class gauge {
public:
    void set(std::int64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::int64_t value() const noexcept {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

// Distribution of latencies on a logarithmic axis from 100 us to 100 s with 20 bins a decade, so a
// quantile is off by at most 12.2% within the range. Recording is wait-free: the bins are atomic.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    // Negative latencies count as zero.
    void record(std::chrono::nanoseconds latency) noexcept;
    [[nodiscard]] std::uint64_t count() const noexcept;
    // Seconds.
    [[nodiscard]] double sum() const noexcept;
    // The latency in seconds that a share `q` (0 to 1) of the records does not exceed; 0 without
    // records, 100 us for records below the axis and 100 s for those above.
    [[nodiscard]] double quantile(double q) const;

    struct bucket {
        double upper_bound = 0;  // seconds
        std::uint64_t cumulative_count = 0;
    };
    // Five buckets a decade, without the last one (+Inf). `total` is the count they belong to.
    [[nodiscard]] std::vector<bucket> buckets(std::uint64_t& total) const;

private:
    struct bins;
    std::unique_ptr<bins> bins_;
    std::atomic<std::int64_t> sum_ns_{0};
};

using metric_labels = std::vector<std::string>;

// All series of a process. Thread-safe. References stay valid as long as the registry: hot paths
// look a series up once and keep the reference.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    // The series with these label values, in the order of the declaration. Throws
    // invariant_violation if the kind or the number of labels differs from the declaration. Beyond
    // max_series_per_metric all further label values share one series with the values "other".
    [[nodiscard]] counter& counter_of(metric id, const metric_labels& labels = {});
    [[nodiscard]] gauge& gauge_of(metric id, const metric_labels& labels = {});
    [[nodiscard]] latency_histogram& latency_of(metric id, const metric_labels& labels = {});

    // Text exposition format 0.0.4: all declared metrics, with their series in a stable order.
    [[nodiscard]] std::string prometheus_text() const;

    static constexpr std::size_t max_series_per_metric = 1'000;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// The registry of the process.
[[nodiscard]] metrics_registry& metrics();
// The page docs/metrics.md.
[[nodiscard]] std::string metrics_reference();

// ---------------------------------------------------------------------------------------------
// Traces

// Position in a trace, as carried by a traceparent header.
struct trace_context {
    std::array<std::uint64_t, 2> trace_id{};
    std::uint64_t span_id = 0;
    bool is_sampled = false;

    friend bool operator==(const trace_context&, const trace_context&) = default;
};

// W3C Trace Context, strict: lower-case hexadecimal digits, no zero ids, version 00 (or a higher
// one but ff, of which the known part is read). Nothing if the text is anything else.
[[nodiscard]] std::optional<trace_context> parse_traceparent(std::string_view text) noexcept;
// Version 00.
[[nodiscard]] std::string to_traceparent(const trace_context& context);

struct trace_options {
    // service.name and service.instance.id of each span.
    std::string role;
    std::string id;
    // Empty: nothing is written; contexts are still passed on.
    std::string file;
    // Share of new traces that are sampled. A valid parent decides for its children.
    double sample_ratio = 0;
    // Spans that wait for the file; beyond it the oldest are dropped and counted.
    std::size_t queue_length = 4'096;
    std::uint64_t seed = random_seed();
};

class span;

// Writes sampled spans, one OTLP JSON line (resourceSpans) each, from one background thread.
// Thread-safe; outlives its spans. Closing it writes what is queued.
class tracer {
public:
    // Throws error(invalid_settings) if the file cannot be opened.
    tracer(const trace_options& options, const clock& time);
    ~tracer();
    tracer(const tracer&) = delete;
    tracer& operator=(const tracer&) = delete;

    // A span that starts now. `traceparent` is the caller's header; empty or invalid starts a new
    // trace.
    [[nodiscard]] span start(std::string_view name, std::string_view traceparent = {});
    // Spans dropped because the file was too slow.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    friend class span;
    struct state;
    std::unique_ptr<state> state_;
};

// One step of a request or task; used by one thread at a time. Ends when destroyed.
class span {
public:
    span(span&& other) noexcept;
    span& operator=(span&&) = delete;
    span(const span&) = delete;
    span& operator=(const span&) = delete;
    ~span();

    [[nodiscard]] const trace_context& context() const noexcept { return context_; }
    // The header for the next hop.
    [[nodiscard]] std::string traceparent() const { return to_traceparent(context_); }
    // A child in the same process.
    [[nodiscard]] span child(std::string_view name) const;
    // Up to 32 attributes; further ones are ignored. Texts are cut at 1 KiB.
    void set(std::string_view name, field_value value);
    // Codes other than ok mark the span as failed.
    void set_result(result_code code);
    // Ends the span; later calls have no effect.
    void end() noexcept;

private:
    friend class tracer;
    span(tracer& owner, std::string_view name, const trace_context& context,
         std::uint64_t parent_span_id);

    tracer* owner_;
    std::string name_;
    trace_context context_;
    std::uint64_t parent_span_id_;
    utc_millis started_at_;
    instant start_;
    std::vector<std::pair<std::string, field_value>> attributes_;
    result_code result_ = result_code::ok;
};

}  // namespace tanagerpaddle
