#include <array>
#include <type_traits>

#include "settings_internal.hpp"

namespace tanagerpaddle {

namespace {

// The member that a chain of member pointers leads to.
template <auto First, auto... Rest>
auto& follow(auto& object) {
    if constexpr (sizeof...(Rest) == 0) {
        return object.*First;
    } else {
        return follow<Rest...>(object.*First);
    }
}

template <class T>
inline constexpr bool is_duration = false;
template <class Rep, class Period>
inline constexpr bool is_duration<std::chrono::duration<Rep, Period>> = true;
template <class T>
inline constexpr bool is_number_wrapper = false;
template <class Tag, class Rep>
inline constexpr bool is_number_wrapper<strong_number<Tag, Rep>> = true;

template <class Member>
void assign_member(Member& member, const setting_value& value) {
    if constexpr (std::is_same_v<Member, double>) {
        member = std::get<double>(value);
    } else if constexpr (std::is_integral_v<Member> || std::is_enum_v<Member>) {
        member = static_cast<Member>(std::get<std::int64_t>(value));
    } else if constexpr (is_duration<Member> || is_number_wrapper<Member>) {
        member = Member(std::get<std::int64_t>(value));
    } else if constexpr (std::is_same_v<Member, std::vector<network_address>>) {
        member = std::get<std::vector<network_address>>(value);
    } else {
        member = Member(std::get<std::string>(value));
    }
}

template <class Member>
setting_value read_member(const Member& member) {
    if constexpr (std::is_integral_v<Member> || std::is_enum_v<Member>) {
        return static_cast<std::int64_t>(member);
    } else if constexpr (is_duration<Member>) {
        return std::int64_t{member.count()};
    } else if constexpr (std::is_same_v<Member, std::string> || std::is_same_v<Member, double> ||
                         std::is_same_v<Member, std::vector<network_address>>) {
        return member;
    } else {
        return member.value();
    }
}

// A row whose member is reached by the chain of member pointers.
template <auto... Path>
constexpr setting_descriptor bind(setting_descriptor row) {
    row.assign = [](settings& values, const setting_value& value) {
        assign_member(follow<Path...>(values), value);
    };
    row.read = [](const settings& values) { return read_member(follow<Path...>(values)); };
    return row;
}

using enum setting_type;
using scope = setting_scope;
using st = settings;
using sched = scheduler_settings;
using member = membership_settings;

constexpr setting_descriptor text_row(std::string_view key, setting_type type, scope where,
                                      std::string_view value, std::string_view description) {
    return {.key = key,
            .type = type,
            .scope = where,
            .default_text = value,
            .choices = {},
            .unit = {},
            .description = description};
}

constexpr setting_descriptor number_row(std::string_view key, scope where, std::string_view value,
                                        double minimum, double maximum, std::string_view unit,
                                        std::string_view description) {
    return {.key = key,
            .type = integer,
            .scope = where,
            .default_text = value,
            .minimum = minimum,
            .maximum = maximum,
            .choices = {},
            .unit = unit,
            .description = description};
}

constexpr setting_descriptor choice_row(std::string_view key, std::string_view value,
                                        std::string_view choices, std::string_view description) {
    setting_descriptor row = text_row(key, choice, scope::both, value, description);
    row.choices = choices;
    return row;
}

constexpr setting_descriptor reloadable(setting_descriptor row) {
    row.is_reloadable = true;
    return row;
}

struct listener_keys {
    scope where;
    std::array<std::string_view, 3> keys;
    std::string_view port;
    std::string_view connections;
};

// The keys of a listening server.
template <auto... Path>
constexpr std::array<setting_descriptor, 3> listener(const listener_keys& l) {
    using ls = listen_settings;
    return {bind<Path..., &ls::address>(text_row(l.keys[0], address, l.where, "127.0.0.1",
                                                 "IP address the server listens on.")),
            bind<Path..., &ls::port>(number_row(l.keys[1], l.where, l.port, 0, 65'535, "",
                                                "TCP port; 0 takes any free port.")),
            bind<Path..., &ls::connections>(number_row(
                l.keys[2], l.where, l.connections, 1, 65'535, "connections",
                "Connections accepted at a time; further ones are answered with "
                "too_many_connections and closed. Each has a thread while it is open."))};
}

constexpr std::array general_rows{
    bind<&st::role>(choice_row("role", "entry", "entry|agent", "What the process does.")),
    bind<&st::id>(text_row("id", setting_type::name, scope::both, "node-1",
                           "Id of the process; an agent's id is also its worker's id.")),
    bind<&st::region>(
        text_row("region", setting_type::name, scope::both, "region-1", "Region of the process.")),
    bind<&st::failure_domain>(text_row("failure_domain", setting_type::name, scope::both,
                                       "domain-1", "Failure domain of the process.")),
    bind<&st::rack>(
        text_row("rack", setting_type::name, scope::both, "rack-1", "Rack of the process.")),
    bind<&st::max_body_bytes>(number_row("max_body_bytes", scope::both, "1048576", 1'024,
                                         67'108'864, "bytes",
                                         "Largest request or response body."))};

constexpr auto callers_rows = listener<&st::entry, &entry_settings::callers>(
    {scope::entry,
     {"entry.callers.address", "entry.callers.port", "entry.callers.connections"},
     "7300",
     "1024"});
constexpr auto operators_rows = listener<&st::entry, &entry_settings::operators>(
    {scope::entry,
     {"entry.operators.address", "entry.operators.port", "entry.operators.connections"},
     "7301",
     "64"});
constexpr auto control_rows = listener<&st::entry, &entry_settings::control>(
    {scope::entry,
     {"entry.control.address", "entry.control.port", "entry.control.connections"},
     "7302",
     "512"});

constexpr std::array platform_rows{
    bind<&st::platform, &platform_settings::table_url>(
        text_row("platform.table_url", url, scope::entry, "http://127.0.0.1:7100",
                 "The platform's transactional table service.")),
    bind<&st::platform, &platform_settings::object_url>(
        text_row("platform.object_url", url, scope::both, "http://127.0.0.1:7101",
                 "The platform's object store.")),
    bind<&st::platform, &platform_settings::timeout>(
        number_row("platform.timeout_ms", scope::both, "1500", 10, 60'000, "ms",
                   "Time for one call to the table or the object store.")),
    bind<&st::platform, &platform_settings::connections>(
        number_row("platform.connections", scope::both, "8", 1, 256, "connections",
                   "Connections to the table service and to the object store, each."))};

constexpr std::array scheduler_rows{
    bind<&st::scheduler, &sched::partition_count>(
        number_row("scheduler.partition_count", scope::both, "4", 1, 1'024, "partitions",
                   "Partitions of workers and jobs; equal in all processes and never changed "
                   "while jobs exist.")),
    bind<&st::scheduler, &sched::horizon>(
        number_row("scheduler.horizon_s", scope::entry, "60", 5, 3'600, "s",
                   "How long after a write of its partition row an owner may grant leases.")),
    bind<&st::scheduler, &sched::horizon_renewal>(
        number_row("scheduler.horizon_renewal_s", scope::entry, "20", 1, 1'800, "s",
                   "Time between writes of the partition row; below half the horizon.")),
    bind<&st::scheduler, &sched::worker_lease>(
        number_row("scheduler.worker_lease_s", scope::entry, "30", 1, 3'600, "s",
                   "Length of a worker's lease; at most the horizon.")),
    bind<&st::scheduler, &sched::permit_window>(
        number_row("scheduler.permit_window_ms", scope::entry, "3000", 100, 5'000, "ms",
                   "Time after the claim in which a task may start.")),
    bind<&st::scheduler, &sched::sync_interval>(
        reloadable(number_row("scheduler.sync_interval_ms", scope::both, "2000", 100, 8'000, "ms",
                              "Time between an agent's sync calls."))),
    bind<&st::scheduler, &sched::write_rows_per_second>(
        reloadable(number_row("scheduler.write_rows_per_s", scope::entry, "100", 1, 10'000,
                              "rows/s", "Rows that this entry writes to the table.")))};

constexpr std::array membership_rows{
    bind<&st::membership, &member::digest_interval>(
        reloadable(number_row("membership.digest_interval_ms", scope::entry, "2000", 100, 30'000,
                              "ms", "Time between digests to each other entry."))),
    bind<&st::membership, &member::entry_expiry>(
        number_row("membership.entry_expiry_ms", scope::entry, "6000", 300, 90'000, "ms",
                   "Time without a digest after which an entry counts as dead; at least two "
                   "digest intervals.")),
    bind<&st::membership, &member::entries_refresh>(
        reloadable(number_row("membership.entries_refresh_s", scope::entry, "10", 1, 600, "s",
                              "Time between reads of the list of entries.")))};

constexpr auto agent_data_rows = listener<&st::agent, &agent_settings::data>(
    {scope::agent,
     {"agent.data.address", "agent.data.port", "agent.data.connections"},
     "7400",
     "256"});
constexpr auto agent_control_rows = listener<&st::agent, &agent_settings::control>(
    {scope::agent,
     {"agent.control.address", "agent.control.port", "agent.control.connections"},
     "7401",
     "64"});

constexpr std::array agent_rows{
    bind<&st::agent, &agent_settings::target_url>(text_row("agent.target_url", url, scope::agent,
                                                           "http://127.0.0.1:7200",
                                                           "The target beside the agent.")),
    bind<&st::agent, &agent_settings::runtime_url>(
        text_row("agent.runtime_url", url, scope::agent, "http://127.0.0.1:7201",
                 "The worker's task runtime; entries ask it there when the agent is silent.")),
    bind<&st::agent, &agent_settings::service>(text_row("agent.service", setting_type::name,
                                                        scope::agent, "service-1",
                                                        "Service that the target runs.")),
    bind<&st::agent, &agent_settings::slots>(
        number_row("agent.slots", scope::agent, "8", 1, 4'096, "requests",
                   "Requests that the target runs at a time.")),
    bind<&st::agent, &agent_settings::capacity, &resources::processors>(
        number_row("agent.capacity.processors_millicores", scope::agent, "64000", 1, 4'096'000,
                   "millicores", "The worker's processors, in thousandths.")),
    bind<&st::agent, &agent_settings::capacity, &resources::memory>(
        number_row("agent.capacity.memory_mib", scope::agent, "238418", 1, 1'073'741'824, "MiB",
                   "The worker's memory.")),
    bind<&st::agent, &agent_settings::capacity, &resources::accelerators>(
        number_row("agent.capacity.accelerators", scope::agent, "0", 0, 1'024, "accelerators",
                   "The worker's accelerators.")),
    bind<&st::agent, &agent_settings::entries>(
        text_row("agent.entries", address_list, scope::agent, "[\"127.0.0.1:7302\"]",
                 "Control addresses of entries that the agent asks first.")),
    bind<&st::agent, &agent_settings::max_requests>(
        number_row("agent.max_requests", scope::agent, "128", 1, 65'535, "requests",
                   "Requests held at a time, running and waiting; at least the slots."))};

constexpr std::array operation_rows{
    bind<&st::security, &security_settings::key_file>(
        reloadable(text_row("security.key_file", text, scope::both, "control.key",
                            "File with the key of control calls, one line."))),
    bind<&st::security, &security_settings::previous_key_file>(
        reloadable(text_row("security.previous_key_file", text, scope::both, "",
                            "File with a second accepted key during a rotation; empty for none."))),
    bind<&st::log, &log_settings::level>(reloadable(choice_row(
        "log.level", "info", "debug|info|warning|error", "Lowest level that is written."))),
    bind<&st::log, &log_settings::file>(
        text_row("log.file", text, scope::both, "", "Log file; empty for standard error.")),
    bind<&st::trace, &trace_settings::file>(
        text_row("trace.file", text, scope::both, "", "Span file; empty to write no spans.")),
    bind<&st::trace, &trace_settings::sample_ratio>(
        {.key = "trace.sample_ratio",
         .type = number,
         .scope = scope::both,
         .default_text = "0.01",
         .minimum = 0,
         .maximum = 1,
         .choices = {},
         .unit = {},
         .description = "Share of new traces whose spans are written."}),
    bind<&st::shutdown, &shutdown_settings::grace>(reloadable(
        number_row("shutdown.grace_ms", scope::both, "30000", 0, 3'600'000, "ms",
                   "Time for requests in flight to end after the process stops taking new "
                   "ones."))),
    bind<&st::shutdown, &shutdown_settings::readiness_delay>(reloadable(
        number_row("shutdown.readiness_delay_ms", scope::both, "5000", 0, 600'000, "ms",
                   "Time between /readyz answering 503 and the end of accepting requests.")))};

template <class... Parts>
constexpr auto join(const Parts&... parts) {
    std::array<setting_descriptor, (std::tuple_size_v<Parts> + ...)> all{};
    std::size_t next = 0;
    const auto append = [&](const auto& part) {
        for (const auto& row : part) {
            all[next++] = row;
        }
    };
    (append(parts), ...);
    return all;
}

constexpr auto table =
    join(general_rows, callers_rows, operators_rows, control_rows, platform_rows, scheduler_rows,
         membership_rows, agent_data_rows, agent_control_rows, agent_rows, operation_rows);

}  // namespace

std::span<const setting_descriptor> setting_table() noexcept {
    return table;
}

}  // namespace tanagerpaddle
