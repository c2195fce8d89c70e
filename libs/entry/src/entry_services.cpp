#include "entry_services.hpp"

#include <charconv>

namespace tanagerpaddle {

namespace {

constexpr std::size_t idle_request_connections = 1'024;
constexpr std::size_t idle_control_connections = 64;
constexpr std::size_t control_call_threads = 16;
constexpr milliseconds configuration_poll_interval{1'000};
constexpr milliseconds sweep_interval = std::chrono::minutes(10);
constexpr milliseconds drain_poll_interval{20};

// "http://127.0.0.1:7100", checked by the settings.
endpoint parse_url(const std::string& url) {
    constexpr std::string_view scheme = "http://";
    std::string address = url.substr(scheme.size());
    const auto colon = address.rfind(':');
    endpoint result{address.substr(0, colon), 0};
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), result.port);
    if (result.address.starts_with('[')) {
        result.address = result.address.substr(1, result.address.size() - 2);
    }
    return result;
}

platform_client_options table_options(const settings& values) {
    const endpoint where = parse_url(values.platform.table_url);
    platform_client_options options;
    options.address = where.address;
    options.port = where.port;
    options.connect_timeout = values.platform.timeout;
    options.call_timeout = values.platform.timeout;
    options.connections = values.platform.connections;
    return options;
}

http_server_options server_options(const listen_settings& from, std::size_t max_body_bytes) {
    http_server_options options;
    options.listen = {from.address, from.port};
    options.connections = from.connections;
    options.max_body_bytes = max_body_bytes;
    return options;
}

scheduler_options make_scheduler_options(const settings& values) {
    scheduler_options options;
    options.partition_count = values.scheduler.partition_count;
    options.horizon = values.scheduler.horizon;
    options.horizon_renewal = values.scheduler.horizon_renewal;
    options.worker_lease = values.scheduler.worker_lease;
    options.permit_window = values.scheduler.permit_window;
    options.sync_interval = values.scheduler.sync_interval;
    options.write_rows_per_second = values.scheduler.write_rows_per_second;
    options.write_burst_rows = 2.0 * values.scheduler.write_rows_per_second;
    options.urgent_reserve_rows = 0.3 * values.scheduler.write_rows_per_second;
    options.worker_sync_timeout = 3 * values.scheduler.sync_interval;
    return options;
}

target_directory_options make_target_options(const settings& values) {
    target_directory_options options;
    options.partition_count = values.scheduler.partition_count;
    options.sync_interval = values.scheduler.sync_interval;
    options.max_call_gap = 2 * values.membership.digest_interval;
    return options;
}

entry_directory_options make_entry_options(const settings& values) {
    entry_directory_options options;
    options.digest_interval = values.membership.digest_interval;
    options.max_missed_digests = static_cast<std::uint32_t>(
        std::max<std::int64_t>(2, values.membership.entry_expiry / options.digest_interval));
    options.max_call_gap = 2 * values.membership.digest_interval;
    return options;
}

entry_info make_self(const settings& values, incarnation_number incarnation,
                     std::uint16_t control_port) {
    return {entry_id(values.id),
            incarnation,
            {values.entry.control.address, control_port},
            values.failure_domain};
}

constexpr std::size_t control_body_bytes = 16'777'216;

}  // namespace

entry_services::entry_services(const settings& values, incarnation_number incarnation,
                               tracer& spans)
    : callers(server_options(values.entry.callers, values.max_body_bytes)),
      operators(server_options(values.entry.operators, configuration_limits::document_bytes)),
      control(server_options(values.entry.control, control_body_bytes)),
      settings_(values),
      self_(make_self(values, incarnation, control.bind())),
      spans_(spans),
      table_(table_options(values)),
      request_connections_(time_, idle_request_connections),
      control_connections_(time_, idle_control_connections),
      request_rpc_(request_connections_, keys_),
      control_rpc_(control_connections_, keys_),
      targets_({}, time_, values.failure_domain),
      retries_(time_),
      claims_(table_, self_, time_),
      requests_({targets_, request_connections_, request_rpc_, retries_, time_, spans, keys_},
                claims_),
      configurations_(table_),
      control_calls_(control_call_threads),
      scheduler_(make_scheduler_options(values), self_, table_, placement_, time_, random_seed()),
      targets_known_(make_target_options(values)),
      entries_known_(self_, make_entry_options(values)) {
    scheduler_.set_estimator(run_times_);
    reload(values);
    callers.route("POST", "/v1/requests/([^/]+)/([^/]+)",
                  [this](const http_request& request) { return requests_.handle(request); });
    mount_control();
    mount_operators();
}

void entry_services::start() {
    control.start();
    callers.start();
    operators.start();
    const auto every = [](milliseconds interval) { return [interval] { return interval; }; };
    const auto add = [&](std::function<milliseconds()> interval, std::function<void()> action) {
        threads_.push_back(
            std::make_unique<periodic_thread>(std::move(interval), std::move(action)));
        return threads_.back().get();
    };
    add(every(configuration_poll_interval), [this] { refresh_configuration(); });
    add(every(settings_.membership.entries_refresh), [this] { refresh_entries(); });
    membership_thread_ =
        add(every(settings_.membership.digest_interval), [this] { run_membership(); });
    add(every(scheduler_options().tick_interval), [this] { run_scheduler(); });
    add(every(sweep_interval), [this] {
        const bool is_sweeper = [&] {
            const std::lock_guard lock(control_mutex_);
            return scheduler_.owns(partition_number(0));
        }();
        if (is_sweeper) {
            (void)claims_.sweep();
        }
    });
    log_event(log_level::info, "entry_started",
              {{"callers_port", callers.port()},
               {"operators_port", operators.port()},
               {"control_port", control.port()},
               {"incarnation", self_.incarnation}});
}

void entry_services::begin_shutdown() {
    if (is_leaving_.exchange(true)) {
        return;
    }
    log_event(log_level::info, "leaving");
    drained_not_before_ = deadline::after(time_.now(), settings_.shutdown.readiness_delay);
    bool is_released = false;
    {
        const std::lock_guard lock(control_mutex_);
        entries_known_.mark_self_leaving();
        is_released = scheduler_.release_all();
    }
    if (!is_released) {
        log_event(log_level::warning, "partitions_not_released",
                  {{"message", "the table failed; other entries take over after the horizon"}});
    }
    if (membership_thread_ != nullptr) {
        membership_thread_->run_soon();
    }
}

bool entry_services::wait_until_drained(deadline limit) {
    while (!limit.has_passed(time_.now())) {
        if (drained_not_before_.has_passed(time_.now())) {
            callers.set_draining();
            if (requests_.in_flight() == 0) {
                return true;
            }
        }
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return requests_.in_flight() == 0;
}

void entry_services::stop() {
    if (is_stopped_.exchange(true)) {
        return;
    }
    callers.stop();
    requests_.stop();
    for (const auto& thread : threads_) {
        thread->stop();
    }
    operators.stop();
    control.stop();
    control_calls_.stop();
    if (is_leaving_.load()) {
        try {
            (void)table_.commit({{}, {}, {entry_key(self_.id)}});
        } catch (const error& failure) {
            log_event(log_level::warning, "entry_row_not_deleted", {{"code", failure.code()}});
        }
    }
    log_event(log_level::info, "entry_stopped");
}

void entry_services::reload(const settings& values) {
    const auto read = [](const std::string& file) {
        return file.empty() ? std::string() : read_key_file(file);
    };
    keys_.set_keys(read(values.security.key_file), read(values.security.previous_key_file));
}

}  // namespace tanagerpaddle
