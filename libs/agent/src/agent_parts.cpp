#include "agent_parts.hpp"

#include <nlohmann/json.hpp>
#include <thread>

namespace tanagerpaddle {

namespace {

// A call to the runtime holds the mutex of the task state, so it has to be short.
constexpr milliseconds runtime_timeout{1'000};
constexpr std::size_t kept_control_connections = 8;
constexpr milliseconds drain_poll_interval{20};

http_server_options server_options(const listen_settings& listen, std::uint64_t max_body_bytes) {
    http_server_options options;
    options.listen = {listen.address, listen.port};
    options.connections = listen.connections;
    options.max_body_bytes = max_body_bytes;
    return options;
}

request_executor_options executor_options(const settings& values) {
    request_executor_options options;
    options.target = parse_url(values.agent.target_url);
    options.service = values.agent.service;
    options.slots = values.agent.slots;
    options.max_requests = values.agent.max_requests;
    return options;
}

std::unique_ptr<worker_runtime> make_runtime(const settings& values) {
    const endpoint address = parse_url(values.agent.runtime_url);
    platform_client_options options;
    options.address = address.address;
    options.port = address.port;
    options.connect_timeout = runtime_timeout;
    options.call_timeout = runtime_timeout;
    options.connections = 2;
    return std::make_unique<http_worker_runtime>(options);
}

// Adds what `total` has grown by since the last call.
void add_growth(counter& to, std::atomic<std::uint64_t>& counted, std::uint64_t total) {
    const std::uint64_t before = counted.exchange(total);
    to.add(total > before ? total - before : 0);
}

}  // namespace

agent_parts::agent_parts(const settings& values, incarnation_number incarnation, tracer& spans,
                         std::unique_ptr<worker_runtime> runtime)
    : settings_(values),
      ledger_(values.agent.capacity),
      runtime_(runtime ? std::move(runtime) : make_runtime(values)),
      connections_(time_, kept_control_connections),
      calls_(connections_, keys_),
      executor_(executor_options(values), incarnation, ledger_.slots(values.agent.service), time_,
                spans),
      probe_(parse_url(values.agent.target_url), time_),
      incarnation_(incarnation),
      data_server_(server_options(values.agent.data, values.max_body_bytes)),
      control_server_(server_options(values.agent.control, values.max_body_bytes)) {
    ledger_.slots(values.agent.service)->resize(values.agent.slots);
    load_keys(values);
    add_data_routes();
    add_control_routes();
    add_rpc_methods();
}

agent_parts::~agent_parts() {
    stop();
}

void agent_parts::load_keys(const settings& values) {
    const auto read = [](const std::string& path) {
        return path.empty() ? std::string() : read_key_file(path);
    };
    const std::string current = read(values.security.key_file);
    keys_.set_keys(current, read(values.security.previous_key_file));
}

void agent_parts::add_data_routes() {
    data_server_.route("POST", "/v1/execute",
                       [this](const http_request& request) { return executor_.execute(request); });
}

void agent_parts::add_control_routes() {
    dispatcher_.mount(control_server_, keys_);
    control_server_.route("GET", "/healthz", [](const http_request&) {
        http_response response;
        response.body = "{\"status\":\"ok\"}\n";
        return response;
    });
    control_server_.route("GET", "/readyz", [this](const http_request&) { return readiness(); });
    control_server_.route("GET", "/metrics",
                          [this](const http_request&) { return metrics_page(); });
}

void agent_parts::add_rpc_methods() {
    dispatcher_.add("agent.wake", [this](const std::string&) {
        if (sync_loop* const loop = running_loop_.load()) {
            loop->wake();
        }
        return std::string("{}");
    });
    dispatcher_.add("agent.inventory",
                    [this](const std::string& params) { return answer_inventory(params); });
    dispatcher_.add("agent.cancel", [this](const std::string& params) {
        return encode(executor_.cancel(decode<cancel_request>(params)));
    });
}

std::string agent_parts::answer_inventory(const std::string& params) {
    const auto request = decode<inventory_request>(params);
    if (request.epoch == epoch_number()) {
        throw error(result_code::malformed_request, "agent.inventory needs \"epoch\"");
    }
    if (request.from && (request.from->address.empty() || request.from->port == 0)) {
        throw error(result_code::malformed_request, "\"from\" is no address and port");
    }
    sync_loop* const loop = running_loop_.load();
    const bool is_accepted = loop != nullptr && loop->accept_inventory(request.epoch, request.from);
    return nlohmann::json{{"accepted", is_accepted}}.dump();
}

http_response agent_parts::readiness() const {
    if (is_leaving_.load()) {
        return error_response(result_code::leaving, "the agent is leaving");
    }
    const sync_loop* const loop = running_loop_.load();
    if (loop == nullptr || !loop->is_recovered()) {
        return error_response(result_code::not_ready, "the worker's runtime has not answered yet");
    }
    http_response response;
    response.body = "{\"status\":\"ready\"}\n";
    return response;
}

http_response agent_parts::metrics_page() {
    metrics().gauge_of(metric::ledger_busy_slots).set(executor_.busy_slots());
    metrics()
        .gauge_of(metric::requests_in_flight, {settings_.agent.service.value()})
        .set(static_cast<std::int64_t>(executor_.in_flight()));
    add_growth(metrics().counter_of(metric::unauthorized_calls, {"control"}), counted_unauthorized_,
               keys_.refused());
    add_growth(metrics().counter_of(metric::connections_refused, {"data"}), counted_refused_data_,
               data_server_.refused_connections());
    add_growth(metrics().counter_of(metric::connections_refused, {"control"}),
               counted_refused_control_, control_server_.refused_connections());
    http_response response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = metrics().prometheus_text();
    return response;
}

std::vector<target_report> agent_parts::target_reports() {
    target_report report;
    report.id = target_id(settings_.id);
    report.service = settings_.agent.service;
    report.data = {settings_.agent.data.address, data_server_.port()};
    report.slots = settings_.agent.slots;
    report.busy_slots = executor_.busy_slots();
    report.is_healthy = probe_.is_healthy();
    report.p99_us = executor_.take_p99_us();
    return {report};
}

bool agent_parts::has_reservation(agent_tasks& tasks) {
    for (const auto& service : tasks.current_configuration().services) {
        if (service.id == settings_.agent.service) {
            return ledger_.reserve(service.id, service.reserved);
        }
    }
    return true;
}

void agent_parts::update_admission() {
    bool is_recovered = false;
    bool is_reserved = false;
    resources committed;
    loop_->with_tasks([&](agent_tasks& tasks) {
        is_recovered = tasks.is_recovered();
        is_reserved = is_recovered && has_reservation(tasks);
        committed = ledger_.committed();
        metrics()
            .gauge_of(metric::tasks_running)
            .set(static_cast<std::int64_t>(tasks.held_tasks()));
    });
    metrics().gauge_of(metric::ledger_committed_processors).set(committed.processors.value());
    metrics().gauge_of(metric::ledger_committed_memory).set(committed.memory.value());
    if (!is_recovered) {
        executor_.set_refusal(result_code::not_ready);
    } else {
        executor_.set_refusal(is_reserved ? result_code::ok : result_code::overloaded);
    }
    executor_.close_idle();
    connections_.close_idle();
}

void agent_parts::start() {
    data_server_.start();
    control_server_.start();
    agent_options options;
    options.sync_interval = settings_.scheduler.sync_interval;
    worker_identity identity;
    identity.worker = worker_id(settings_.id);
    identity.domain = settings_.failure_domain;
    identity.rack = settings_.rack;
    identity.control = {settings_.agent.control.address, control_server_.port()};
    identity.runtime = parse_url(settings_.agent.runtime_url);
    tasks_ =
        std::make_unique<agent_tasks>(options, identity, ledger_, *runtime_, time_, incarnation_);
    sync_loop_options loop_options;
    loop_options.tick_interval = options.tick_interval;
    for (const auto& entry : settings_.agent.entries) {
        loop_options.entries.push_back({entry.address, entry.port});
    }
    loop_ = std::make_unique<sync_loop>(
        loop_options, *tasks_, calls_, time_, [this] { return target_reports(); },
        [this] { update_admission(); });
    probe_.start();
    loop_->start();
    running_loop_.store(loop_.get());
    log_event(log_level::info, "agent_started",
              {{"data_port", data_port()},
               {"control_port", control_port()},
               {"incarnation", incarnation_}});
}

void agent_parts::begin_shutdown() {
    if (is_leaving_.exchange(true)) {
        return;
    }
    executor_.set_leaving();
    log_event(log_level::info, "leaving", {{"in_flight", executor_.in_flight()}});
    if (sync_loop* const loop = running_loop_.load()) {
        loop->set_leaving();
    }
}

bool agent_parts::wait_until_drained(deadline limit) const {
    const sync_loop* const loop = running_loop_.load();
    while (executor_.in_flight() > 0 || (loop != nullptr && !loop->is_drained())) {
        if (limit.has_passed(time_.now())) {
            log_event(log_level::warning, "drain_incomplete",
                      {{"in_flight", executor_.in_flight()}});
            return false;
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return true;
}

void agent_parts::stop() {
    executor_.set_leaving();
    data_server_.set_draining();
    data_server_.stop();
    control_server_.stop();
    running_loop_.store(nullptr);
    if (loop_) {
        loop_->stop();
    }
    probe_.stop();
}

void agent_parts::reload(const settings& values) {
    try {
        load_keys(values);
        settings_.security = values.security;
        log_event(log_level::info, "settings_reloaded");
    } catch (const error& failure) {
        log_event(log_level::error, "reload_failed",
                  {{"code", failure.code()}, {"message", failure.what()}});
    }
}

}  // namespace tanagerpaddle
