// What an entry does by itself: scheduling, membership and configuration.

#include <algorithm>
#include <chrono>

#include "entry_services.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

constexpr milliseconds control_call_timeout{1'000};

route_target to_route(const known_target& known, const configuration& declared) {
    route_target route;
    route.id = known.target.id;
    route.service = known.target.service;
    route.worker = known.worker;
    route.incarnation = known.incarnation;
    route.data = known.target.data;
    route.control = known.control;
    route.domain = known.domain;
    route.slots = std::max(known.target.slots, 1U);
    route.accepts =
        known.target.is_healthy && !known.is_leaving && !declared.is_drained(known.domain);
    if (const auto* service = declared.find_service(known.target.service)) {
        route.connections = service->connections;
    }
    return route;
}

bool is_same_route(const route_target& a, const route_target& b) {
    return a.id == b.id && a.service == b.service && a.incarnation == b.incarnation &&
           a.data == b.data && a.control == b.control && a.domain == b.domain &&
           a.slots == b.slots && a.accepts == b.accepts && a.connections == b.connections;
}

}  // namespace

bool entry_services::is_ready() const {
    const std::lock_guard lock(configuration_mutex_);
    return accepted_.declared != nullptr && !is_leaving_.load();
}

// ---------------------------------------------------------------------------------------------
// Configuration

void entry_services::refresh_configuration() {
    config_version held;
    {
        const std::lock_guard lock(configuration_mutex_);
        held = accepted_.version;
    }
    try {
        const auto newer = configurations_.read_newer(held);
        is_store_available_.store(true);
        if (newer.declared) {
            accept_configuration(newer);
        }
    } catch (const error& failure) {
        // A row that cannot be read says nothing about the table.
        is_store_available_.store(failure.code() != result_code::store_unavailable);
        log_event(log_level::warning, "configuration_not_read",
                  {{"code", failure.code()}, {"message", failure.what()}});
        fetch_configuration_from_entries();
    }
}

void entry_services::fetch_configuration_from_entries() {
    std::vector<entry_info> others;
    {
        const std::lock_guard lock(control_mutex_);
        others = entries_known_.live(time_.now());
    }
    for (const auto& other : others) {
        if (other.id == self_.id) {
            continue;
        }
        try {
            auto row = decode<configuration_row>(
                control_rpc_.call(other.control, "entry.config", "{}",
                                  deadline::after(time_.now(), control_call_timeout)));
            if (row.version.value() != 0) {
                accept_configuration(parse_row(std::move(row)));
            }
        } catch (const error&) {
            // The next entry may answer.
        }
    }
}

void entry_services::accept_configuration(const accepted_configuration& accepted) {
    {
        const std::lock_guard lock(configuration_mutex_);
        if (accepted.version <= accepted_.version) {
            return;
        }
        accepted_ = accepted;
        // Published under the lock, so that two versions cannot overtake each other.
        requests_.set_configuration(*accepted.declared);
    }
    {
        const std::lock_guard lock(control_mutex_);
        scheduler_.set_configuration(accepted.declared, accepted.version);
    }
    metrics()
        .gauge_of(metric::configuration_version)
        .set(static_cast<std::int64_t>(accepted.version.value()));
    publish_routes();
    log_event(log_level::info, "configuration_in_force",
              {{"version", accepted.version}, {"changed_by", accepted.row.changed_by}});
}

// ---------------------------------------------------------------------------------------------
// Membership

void entry_services::refresh_entries() {
    const table_row own{entry_key(self_.id), encode(self_), row_version()};
    const auto rows = scan_all(table_, "entry/");
    const auto found = std::find_if(rows.begin(), rows.end(),
                                    [&](const table_row& row) { return row.key == own.key; });
    if (!is_leaving_.load() && (found == rows.end() || found->value != own.value)) {
        (void)table_.commit({{}, {{own.key, own.value}}, {}});
    }
    const registrations found_entries = read_registrations(rows);
    for (const auto& row : found_entries.unreadable) {
        log_event(log_level::warning, "entry_row_unreadable",
                  {{"key", row.key}, {"message", row.cause}});
    }
    const std::lock_guard lock(control_mutex_);
    entries_known_.set_registered(found_entries.entries, time_.now());
}

void entry_services::run_membership() {
    std::vector<entry_info> others;
    {
        const std::lock_guard lock(control_mutex_);
        const instant now = time_.now();
        for (const auto& worker : targets_known_.expire(now)) {
            log_event(log_level::warning, "agent_silent", {{"worker", worker}});
        }
        local_state local{self_, scheduler_.configured_version(), scheduler_.partitions(),
                          scheduler_.usage(), is_leaving_.load()};
        targets_known_.set_local_state(std::move(local));
        scheduler_.set_live_entries(entries_known_.live(now));
        std::vector<partition_summary> partitions;
        std::vector<team_usage> usage;
        for (const auto& digest : targets_known_.entry_digests(now)) {
            partitions.insert(partitions.end(), digest.partitions.begin(), digest.partitions.end());
            usage.insert(usage.end(), digest.usage.begin(), digest.usage.end());
        }
        scheduler_.set_remote_partitions(std::move(partitions), std::move(usage));
        std::vector<agent_endpoint> contacts;
        for (const auto& known : targets_known_.targets(now)) {
            contacts.push_back({known.worker, known.control});
        }
        scheduler_.set_known_workers(contacts);
        others = entries_known_.all();
    }
    for (const auto& other : others) {
        if (other.id != self_.id) {
            (void)control_calls_.try_run([this, other] { send_digest(other); });
        }
    }
    publish_routes();
}

void entry_services::send_digest(const entry_info& to) {
    entry_digest digest;
    {
        const std::lock_guard lock(control_mutex_);
        digest = targets_known_.make_digest(to.id);
    }
    try {
        const auto reply = control_rpc_.call_typed<digest_reply>(
            to.control, "entry.digest", digest, deadline::after(time_.now(), control_call_timeout));
        const std::lock_guard lock(control_mutex_);
        targets_known_.record_reply(to.id, reply);
    } catch (const error& failure) {
        log_event(log_level::warning, "digest_failed",
                  {{"entry", to.id}, {"code", failure.code()}, {"message", failure.what()}});
        const std::lock_guard lock(control_mutex_);
        entries_known_.record_call_failure(to.id, time_.now());
    }
}

void entry_services::publish_routes() {
    std::shared_ptr<const configuration> declared;
    {
        const std::lock_guard lock(configuration_mutex_);
        declared = accepted_.declared;
    }
    if (!declared) {
        return;
    }
    const std::lock_guard lock(control_mutex_);
    std::vector<route_target> routes;
    std::map<service_id, std::uint32_t> slots;
    for (const auto& known : targets_known_.targets(time_.now())) {
        routes.push_back(to_route(known, *declared));
        if (routes.back().accepts) {
            slots[routes.back().service] += routes.back().slots;
        }
    }
    if (!std::equal(routes.begin(), routes.end(), published_.begin(), published_.end(),
                    is_same_route)) {
        published_ = routes;
        targets_.replace(std::move(routes));
    }
    requests_.set_slots(slots);
}

void entry_services::notify_entries(const entry_notice& notice) {
    std::vector<entry_info> others;
    {
        const std::lock_guard lock(control_mutex_);
        others = entries_known_.live(time_.now());
    }
    for (const auto& other : others) {
        if (other.id == self_.id) {
            continue;
        }
        (void)control_calls_.try_run([this, other, notice] {
            try {
                (void)control_rpc_.call(other.control, "entry.notify", encode(notice),
                                        deadline::after(time_.now(), control_call_timeout));
            } catch (const error&) {
                // The other entry finds the change with its next poll.
            }
        });
    }
}

// ---------------------------------------------------------------------------------------------
// Scheduling

void entry_services::run_scheduler() {
    tick_result due;
    {
        const std::lock_guard lock(control_mutex_);
        due = scheduler_.tick();
    }
    make_calls(due);
    if (!due.changed_shards.empty()) {
        notify_entries({config_version(), due.changed_shards});
    }
    publish_routes();
}

void entry_services::make_calls(const tick_result& due) {
    const auto call = [this](const endpoint& to, const std::string& method,
                             const std::string& params) {
        (void)control_calls_.try_run([this, to, method, params] {
            try {
                (void)control_rpc_.call(to, method, params,
                                        deadline::after(time_.now(), control_call_timeout));
            } catch (const error&) {
                // The agent syncs by itself at its next interval.
            }
        });
    };
    for (const auto& worker : due.agents_to_wake) {
        call(worker.control, "agent.wake", "{}");
    }
    for (const auto& query : due.inventory_queries) {
        call(query.agent.control, "agent.inventory",
             encode(inventory_request{query.epoch, self_.control}));
    }
    for (const auto& query : due.runtime_queries) {
        (void)control_calls_.try_run([this, query] { ask_runtime(query); });
    }
}

void entry_services::ask_runtime(const runtime_query& query) {
    platform_client_options options;
    options.address = query.runtime.address;
    options.port = query.runtime.port;
    options.connect_timeout = control_call_timeout;
    options.call_timeout = control_call_timeout;
    options.connections = 1;
    try {
        const auto tasks = http_worker_runtime(options).list();
        log_event(log_level::info, "runtime_answered",
                  {{"worker", query.worker.value()}, {"tasks", tasks.size()}});
        const std::lock_guard lock(control_mutex_);
        scheduler_.set_runtime_tasks(query.worker, tasks);
    } catch (const error& failure) {
        // The scheduler asks again, and after a limit goes by the lease alone.
        log_event(log_level::warning, "runtime_unreachable",
                  {{"worker", query.worker.value()},
                   {"runtime", to_string(query.runtime)},
                   {"message", failure.what()}});
    }
}

}  // namespace tanagerpaddle
