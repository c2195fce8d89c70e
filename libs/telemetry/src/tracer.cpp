#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/basic_file_sink.h>

#include <cmath>

#include "telemetry_internal.hpp"

namespace tanagerpaddle {

using telemetry_detail::json;

namespace {

constexpr std::size_t max_attributes = 32;
constexpr std::size_t max_attribute_bytes = 1'024;

// Nonzero: a zero id is invalid in a trace context.
std::uint64_t next_id(random_source& random) {
    return random.below(std::numeric_limits<std::uint64_t>::max()) + 1;
}

// OTLP JSON writes 64-bit integers as text.
json otlp_value(const field_value& value) {
    json plain = telemetry_detail::to_json(value, max_attribute_bytes);
    if (plain.is_boolean()) {
        return {{"boolValue", std::move(plain)}};
    }
    if (plain.is_number_integer()) {
        return {{"intValue", plain.dump()}};
    }
    if (plain.is_number_float()) {
        return {{"doubleValue", std::move(plain)}};
    }
    return {{"stringValue", plain.is_null() ? json("") : std::move(plain)}};
}

json otlp_attribute(std::string_view name, const field_value& value) {
    return {{"key", std::string(name)}, {"value", otlp_value(value)}};
}

}  // namespace

struct tracer::state {
    state(const trace_options& trace_options, const clock& trace_clock)
        : options(trace_options), time(trace_clock), random(trace_options.seed) {
        if (options.file.empty()) {
            return;
        }
        try {
            pool = std::make_shared<spdlog::details::thread_pool>(options.queue_length, 1);
            logger = std::make_shared<spdlog::async_logger>(
                "spans", std::make_shared<spdlog::sinks::basic_file_sink_mt>(options.file), pool,
                spdlog::async_overflow_policy::overrun_oldest);
        } catch (const spdlog::spdlog_ex& e) {
            throw error(result_code::invalid_settings,
                        "cannot open trace file " + options.file + ": " + e.what());
        }
        logger->set_pattern("%v");
        logger->flush_on(spdlog::level::trace);
    }

    // A new span of `parent`'s trace, or of a new trace.
    trace_context new_context(const std::optional<trace_context>& parent) {
        const std::lock_guard lock(mutex);
        if (parent) {
            return {parent->trace_id, next_id(random), parent->is_sampled};
        }
        trace_context context{{next_id(random), next_id(random)}, next_id(random), false};
        context.is_sampled = random.chance(options.sample_ratio);
        return context;
    }

    void write(const json& line) {
        const std::string text = telemetry_detail::dump(line);
        logger->log(spdlog::level::info, spdlog::string_view_t(text.data(), text.size()));
        const std::lock_guard lock(mutex);
        const std::uint64_t dropped = pool->overrun_counter();
        if (dropped > reported_drops) {
            metrics().counter_of(metric::spans_dropped).add(dropped - reported_drops);
            reported_drops = dropped;
        }
    }

    const trace_options options;
    const clock& time;
    std::mutex mutex;
    random_source random;
    std::uint64_t reported_drops = 0;
    std::shared_ptr<spdlog::async_logger> logger;
    // Destroyed first: its thread writes what is queued and ends before the logger and its file.
    std::shared_ptr<spdlog::details::thread_pool> pool;
};

tracer::tracer(const trace_options& options, const clock& time)
    : state_(std::make_unique<state>(options, time)) {}

tracer::~tracer() = default;

span tracer::start(std::string_view name, std::string_view traceparent) {
    const auto parent = parse_traceparent(traceparent);
    return {*this, name, state_->new_context(parent), parent ? parent->span_id : 0};
}

std::uint64_t tracer::dropped() const {
    return state_->pool ? state_->pool->overrun_counter() : 0;
}

span::span(tracer& owner, std::string_view name, const trace_context& context,
           std::uint64_t parent_span_id)
    : owner_(&owner),
      name_(name.substr(0, max_attribute_bytes)),
      context_(context),
      parent_span_id_(parent_span_id),
      started_at_(owner.state_->time.utc_now()),
      start_(owner.state_->time.now()) {}

span::span(span&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      name_(std::move(other.name_)),
      context_(other.context_),
      parent_span_id_(other.parent_span_id_),
      started_at_(other.started_at_),
      start_(other.start_),
      attributes_(std::move(other.attributes_)),
      result_(other.result_) {}

span::~span() {
    end();
}

span span::child(std::string_view name) const {
    check_invariant(owner_ != nullptr, "a child starts before its parent " + name_ + " ends");
    return {*owner_, name, owner_->state_->new_context(context_), context_.span_id};
}

void span::set(std::string_view name, field_value value) {
    // Spans that are not written keep no attributes.
    if (context_.is_sampled && owner_ != nullptr && owner_->state_->logger &&
        attributes_.size() < max_attributes) {
        attributes_.emplace_back(name.substr(0, max_attribute_bytes), std::move(value));
    }
}

void span::set_result(result_code code) {
    result_ = code;
}

namespace {

// The protocol's numbers: status 1 ok, 2 error; kind 2 server.
constexpr int otlp_status_ok = 1;
constexpr int otlp_status_error = 2;
constexpr int otlp_kind_server = 2;

json otlp_line(const trace_options& options, json span_json) {
    json resource = {
        {"attributes", json::array({otlp_attribute("service.name", "tanagerpaddle-" + options.role),
                                    otlp_attribute("service.instance.id", options.id)})}};
    json scope = {{"scope", {{"name", "tanagerpaddle"}}},
                  {"spans", json::array({std::move(span_json)})}};
    return {{"resourceSpans", json::array({{{"resource", std::move(resource)},
                                            {"scopeSpans", json::array({std::move(scope)})}}})}};
}

}  // namespace

void span::end() noexcept {
    tracer* const owner = std::exchange(owner_, nullptr);
    if (owner == nullptr || !context_.is_sampled || !owner->state_->logger) {
        return;
    }
    try {
        constexpr std::int64_t ns_per_ms = 1'000'000;
        // The wall clock is read once, so a step of it cannot make a span end before it starts.
        const std::int64_t start_ns = started_at_.value() * ns_per_ms;
        const std::int64_t end_ns = start_ns + (owner->state_->time.now() - start_).count();
        json attributes = json::array();
        for (const auto& [name, value] : attributes_) {
            attributes.push_back(otlp_attribute(name, value));
        }
        attributes.push_back(otlp_attribute("tanagerpaddle.result", std::string(name(result_))));
        json item = {{"traceId", to_hex(context_.trace_id[0]) + to_hex(context_.trace_id[1])},
                     {"spanId", to_hex(context_.span_id)}};
        if (parent_span_id_ != 0) {
            item["parentSpanId"] = to_hex(parent_span_id_);
        }
        item["name"] = name_;
        item["kind"] = otlp_kind_server;
        item["startTimeUnixNano"] = std::to_string(start_ns);
        item["endTimeUnixNano"] = std::to_string(end_ns);
        item["attributes"] = std::move(attributes);
        item["status"] = {
            {"code", result_ == result_code::ok ? otlp_status_ok : otlp_status_error}};
        owner->state_->write(otlp_line(owner->state_->options, std::move(item)));
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch): a span never fails a request
    }
}

}  // namespace tanagerpaddle
