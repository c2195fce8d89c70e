// JSON conversions of the messages and rows. Missing fields take their defaults, so that daemons
// of neighbouring versions understand each other.

#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {
namespace {

// Enough for the library's message with the position in the text.
constexpr std::size_t max_shown_failure_bytes = 300;

[[noreturn]] void throw_out_of_range(const nlohmann::json& j) {
    // Only numbers are shown: the text of other values is as long and as deep as the sender chose,
    // and printing it takes stack for each level.
    const std::string shown = j.is_number() ? j.dump() : std::string("of type ") + j.type_name();
    throw error(result_code::malformed_request,
                "not a valid message: a value " + shown + " is out of range");
}

}  // namespace

template <class Integer>
Integer integer_of(const nlohmann::json& j) {
    if (j.is_number_unsigned()) {
        const auto value = j.get<std::uint64_t>();
        if (std::in_range<Integer>(value)) {
            return static_cast<Integer>(value);
        }
    } else if (j.is_number_integer()) {
        const auto value = j.get<std::int64_t>();
        if (std::in_range<Integer>(value)) {
            return static_cast<Integer>(value);
        }
    }
    throw_out_of_range(j);
}

template std::uint16_t integer_of<std::uint16_t>(const nlohmann::json& j);
template std::uint32_t integer_of<std::uint32_t>(const nlohmann::json& j);
template std::int64_t integer_of<std::int64_t>(const nlohmann::json& j);
template std::uint64_t integer_of<std::uint64_t>(const nlohmann::json& j);

namespace {

// Numbers that grow one by one over the whole life of a system: their holders ignore lower ones and
// compute the next one. No sound one comes near the upper half of its range. The same holds for all
// plain numbers of 64 bits without sign.
template <class Value>
constexpr bool is_mark =
    std::is_same_v<Value, epoch_number> || std::is_same_v<Value, config_version> ||
    std::is_same_v<Value, attempt_number>;

template <class Integer>
Integer read_mark(const nlohmann::json& j) {
    const auto value = integer_of<Integer>(j);
    if (value > std::numeric_limits<Integer>::max() / 2) {
        throw_out_of_range(j);
    }
    return value;
}

// The highest enumerator; all enumerations of the messages count from 0.
template <class Enumeration>
constexpr Enumeration last_enumerator = Enumeration();
template <>
constexpr request_priority last_enumerator<request_priority> = request_priority::interactive;
template <>
constexpr duplicate_scope last_enumerator<duplicate_scope> = duplicate_scope::entry;
template <>
constexpr job_kind last_enumerator<job_kind> = job_kind::hold;
template <>
constexpr job_priority last_enumerator<job_priority> = job_priority::urgent;
template <>
constexpr task_state last_enumerator<task_state> = task_state::lost;
template <>
constexpr report_kind last_enumerator<report_kind> = report_kind::evicted;
template <>
constexpr order_kind last_enumerator<order_kind> = order_kind::throttle;
template <>
constexpr cancel_outcome last_enumerator<cancel_outcome> = cancel_outcome::unknown;
template <>
constexpr job_state last_enumerator<job_state> = job_state::failed;

template <class Value>
void read_value(const nlohmann::json& j, Value& value) {
    if constexpr (std::is_same_v<Value, result_code>) {
        const int number = integer_of<std::uint16_t>(j);
        value = result_code_from_number(number);
        if (static_cast<int>(value) != number) {
            throw_out_of_range(j);
        }
    } else if constexpr (std::is_enum_v<Value>) {
        const auto number = integer_of<std::underlying_type_t<Value>>(j);
        if (number > static_cast<std::underlying_type_t<Value>>(last_enumerator<Value>)) {
            throw_out_of_range(j);
        }
        value = static_cast<Value>(number);
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
        value = read_mark<Value>(j);
    } else if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>) {
        value = integer_of<Value>(j);
    } else {
        j.get_to(value);
    }
}

// True while encode_complete() runs in this thread.
thread_local bool is_complete_wanted = false;

// Most fields hold their defaults: a sync with six tasks shrinks from 2060 to 1553 bytes.
void remove_defaults(nlohmann::json& j, const nlohmann::json& defaults) {
    for (auto field = j.begin(); field != j.end();) {
        field = *field == defaults.at(field.key()) ? j.erase(field) : std::next(field);
    }
}

// Missing fields keep their defaults.
template <class Value>
void read_field(const nlohmann::json& j, const char* name, Value& value) {
    if (const auto found = j.find(name); found != j.end()) {
        read_value(*found, value);
    }
}

}  // namespace
}  // namespace tanagerpaddle

#define TANAGERPADDLE_READ_FIELD(field) read_field(j, #field, value.field);
#define TANAGERPADDLE_WRITE_FIELD(field) j[#field] = value.field;
// Defines both conversions of a struct from the names of its members.
#define TANAGERPADDLE_JSON(type, ...)                                                     \
    inline nlohmann::json all_fields(const type& value) {                                 \
        nlohmann::json j = nlohmann::json::object();                                      \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(TANAGERPADDLE_WRITE_FIELD, __VA_ARGS__)) \
        return j;                                                                         \
    }                                                                                     \
    inline void to_json(nlohmann::json& j, const type& value) {                           \
        j = all_fields(value);                                                            \
        if (!is_complete_wanted) {                                                        \
            static const nlohmann::json defaults = all_fields(type{});                    \
            remove_defaults(j, defaults);                                                 \
        }                                                                                 \
    }                                                                                     \
    inline void from_json(const nlohmann::json& j, type& value) {                         \
        if (!j.is_object()) {                                                             \
            throw error(result_code::malformed_request,                                   \
                        "not a valid message: " #type " must be an object");              \
        }                                                                                 \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(TANAGERPADDLE_READ_FIELD, __VA_ARGS__))  \
    }

namespace nlohmann {

template <class Tag>
struct adl_serializer<tanagerpaddle::strong_id<Tag>> {
    static void to_json(json& j, const tanagerpaddle::strong_id<Tag>& id) { j = id.value(); }
    static void from_json(const json& j, tanagerpaddle::strong_id<Tag>& id) {
        id = tanagerpaddle::strong_id<Tag>(j.get<std::string>());
    }
};

template <class Tag, class Rep>
struct adl_serializer<tanagerpaddle::strong_number<Tag, Rep>> {
    static void to_json(json& j, const tanagerpaddle::strong_number<Tag, Rep>& number) {
        j = number.value();
    }
    static void from_json(const json& j, tanagerpaddle::strong_number<Tag, Rep>& number) {
        using value_type = tanagerpaddle::strong_number<Tag, Rep>;
        if constexpr (tanagerpaddle::is_mark<value_type>) {
            number = value_type(tanagerpaddle::read_mark<Rep>(j));
        } else {
            number = value_type(tanagerpaddle::integer_of<Rep>(j));
        }
    }
};

template <>
struct adl_serializer<std::chrono::milliseconds> {
    static void to_json(json& j, const std::chrono::milliseconds& value) { j = value.count(); }
    static void from_json(const json& j, std::chrono::milliseconds& value) {
        value = std::chrono::milliseconds(tanagerpaddle::integer_of<std::int64_t>(j));
    }
};

template <class Value>
struct adl_serializer<std::optional<Value>> {
    static void to_json(json& j, const std::optional<Value>& value) {
        j = value ? json(*value) : json(nullptr);
    }
    static void from_json(const json& j, std::optional<Value>& value) {
        value = j.is_null() ? std::nullopt : std::optional<Value>(j.get<Value>());
    }
};

}  // namespace nlohmann

namespace tanagerpaddle {

TANAGERPADDLE_JSON(resources, processors, memory, accelerators)
TANAGERPADDLE_JSON(method_declaration, id, is_idempotent, priority, duplicates)
TANAGERPADDLE_JSON(service_declaration, id, team, methods, slots, connections, reserved,
                   max_body_bytes)
TANAGERPADDLE_JSON(job_declaration, id, team, kind, priority, task_count, demand, run_time,
                   complete_by, is_idempotent, can_checkpoint, command)
TANAGERPADDLE_JSON(endpoint, address, port)
TANAGERPADDLE_JSON(entry_info, id, incarnation, control, domain)
TANAGERPADDLE_JSON(task_key, job, index)
TANAGERPADDLE_JSON(task_attempt, task, attempt)
TANAGERPADDLE_JSON(held_task, attempt, state, demand, progress, checkpoint, used_processors,
                   speed_percent, run_ms)
TANAGERPADDLE_JSON(task_report, sequence, attempt, kind, code, checkpoint, progress, run_ms)
TANAGERPADDLE_JSON(target_report, id, service, data, slots, busy_slots, is_healthy, p99_us)
TANAGERPADDLE_JSON(sync_request, worker, incarnation, sequence, control, runtime, domain, rack,
                   capacity, free, tasks, reports, targets, configuration, epoch, is_leaving)
TANAGERPADDLE_JSON(start_permit, attempt, kind, demand, valid_ms, run_time_ms, command, checkpoint,
                   can_checkpoint)
TANAGERPADDLE_JSON(task_order, attempt, kind, speed_percent)
TANAGERPADDLE_JSON(agent_configuration, version, services, is_domain_drained)
TANAGERPADDLE_JSON(sync_reply, code, redirect, epoch, lease_ms, current, starts, orders,
                   acknowledged, configuration, entries, next_sync_ms)
TANAGERPADDLE_JSON(inventory_request, epoch, from)
TANAGERPADDLE_JSON(cancel_request, id, incarnation)
TANAGERPADDLE_JSON(cancel_reply, outcome)
TANAGERPADDLE_JSON(known_target, target, worker, incarnation, control, domain, is_leaving)
TANAGERPADDLE_JSON(partition_summary, partition, epoch, free, largest_free, largest_worker,
                   worker_count, pending_tasks)
TANAGERPADDLE_JSON(team_usage, team, used)
TANAGERPADDLE_JSON(entry_digest, from, configuration, targets_version, is_unchanged, targets,
                   partitions, usage, is_leaving)
TANAGERPADDLE_JSON(digest_reply, acknowledged, configuration)
TANAGERPADDLE_JSON(entry_notice, configuration, changed_shards)
TANAGERPADDLE_JSON(partition_row, owner, incarnation, epoch, horizon_ms, is_released)
TANAGERPADDLE_JSON(task_counts, finished, cancelled, failed, lost)
TANAGERPADDLE_JSON(job_row, declaration, group_count, group_partitions, ended_groups, ended_tasks,
                   state, is_declared, submitted_at, ended_at)
TANAGERPADDLE_JSON(task_record, index, state, attempt, worker, domain, checkpoint, progress,
                   failure_count, eviction_count, crash_count, code)
TANAGERPADDLE_JSON(group_row, declaration, group, is_cancel_requested, submitted_at, declared_in,
                   tasks)
TANAGERPADDLE_JSON(configuration_row, version, document, operations, changed_by)
TANAGERPADDLE_JSON(domain_row, is_drained, version)

template <class Message>
std::string encode(const Message& message) {
    return nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <class Message>
std::string encode_complete(const Message& message) {
    is_complete_wanted = true;
    std::string text = encode(message);
    is_complete_wanted = false;
    return text;
}

template <class Message>
Message decode(std::string_view text) {
    try {
        return nlohmann::json::parse(text).get<Message>();
    } catch (const nlohmann::json::exception& failure) {
        // The library repeats the last token, which is as long as the sender chose.
        throw error(result_code::malformed_request,
                    "not a valid message: " +
                        std::string(failure.what()).substr(0, max_shown_failure_bytes));
    }
}

// Each message that crosses a process boundary on its own, and each row.
#define TANAGERPADDLE_INSTANTIATE_JSON(type)                         \
    template std::string encode<type>(const type& message);          \
    template std::string encode_complete<type>(const type& message); \
    template type decode<type>(std::string_view text)

TANAGERPADDLE_INSTANTIATE_JSON(entry_info);
TANAGERPADDLE_INSTANTIATE_JSON(held_task);
TANAGERPADDLE_INSTANTIATE_JSON(task_report);
TANAGERPADDLE_INSTANTIATE_JSON(sync_request);
TANAGERPADDLE_INSTANTIATE_JSON(sync_reply);
TANAGERPADDLE_INSTANTIATE_JSON(inventory_request);
TANAGERPADDLE_INSTANTIATE_JSON(cancel_request);
TANAGERPADDLE_INSTANTIATE_JSON(cancel_reply);
TANAGERPADDLE_INSTANTIATE_JSON(entry_digest);
TANAGERPADDLE_INSTANTIATE_JSON(digest_reply);
TANAGERPADDLE_INSTANTIATE_JSON(entry_notice);
TANAGERPADDLE_INSTANTIATE_JSON(partition_row);
TANAGERPADDLE_INSTANTIATE_JSON(job_row);
TANAGERPADDLE_INSTANTIATE_JSON(task_record);
TANAGERPADDLE_INSTANTIATE_JSON(group_row);
TANAGERPADDLE_INSTANTIATE_JSON(configuration_row);
TANAGERPADDLE_INSTANTIATE_JSON(domain_row);
TANAGERPADDLE_INSTANTIATE_JSON(job_declaration);
TANAGERPADDLE_INSTANTIATE_JSON(known_target);
TANAGERPADDLE_INSTANTIATE_JSON(partition_summary);

}  // namespace tanagerpaddle
