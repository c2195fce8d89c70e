// JSON conversions of the messages and rows. Missing fields take their defaults, so that daemons
// of neighbouring versions understand each other.

#include <nlohmann/json.hpp>

#include "tanagerpaddle/protocol.hpp"

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
        number = tanagerpaddle::strong_number<Tag, Rep>(j.get<Rep>());
    }
};

template <>
struct adl_serializer<std::chrono::milliseconds> {
    static void to_json(json& j, const std::chrono::milliseconds& value) { j = value.count(); }
    static void from_json(const json& j, std::chrono::milliseconds& value) {
        value = std::chrono::milliseconds(j.get<std::int64_t>());
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

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, processors, memory, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(method_declaration, id, is_idempotent, priority,
                                                duplicates)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(service_declaration, id, team, methods, slots,
                                                connections, reserved, max_body_bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_declaration, id, team, kind, priority,
                                                task_count, demand, run_time, complete_by,
                                                is_idempotent, can_checkpoint, command)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(endpoint, address, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_info, id, incarnation, control, domain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_key, job, index)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_attempt, task, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(held_task, attempt, state, demand, progress,
                                                checkpoint, used_processors, speed_percent, run_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_report, sequence, attempt, kind, code,
                                                checkpoint, progress, run_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(target_report, id, service, data, slots, busy_slots,
                                                is_healthy, p99_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(sync_request, worker, incarnation, sequence,
                                                control, domain, rack, capacity, free, tasks,
                                                reports, targets, configuration, epoch, is_leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(start_permit, attempt, kind, demand, valid_ms,
                                                run_time_ms, command, checkpoint, can_checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_order, attempt, kind, speed_percent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(agent_configuration, version, services,
                                                is_domain_drained)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(sync_reply, code, redirect, epoch, lease_ms,
                                                current, starts, orders, acknowledged,
                                                configuration, entries, next_sync_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cancel_request, id, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(cancel_reply, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(known_target, target, worker, incarnation, control,
                                                domain, is_leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(partition_summary, partition, epoch, free,
                                                largest_free, largest_worker, worker_count,
                                                pending_tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(team_usage, team, used)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_digest, from, configuration, targets_version,
                                                is_unchanged, targets, partitions, usage,
                                                is_leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(digest_reply, acknowledged, configuration)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_notice, configuration, changed_shards)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(partition_row, owner, incarnation, epoch,
                                                horizon_ms, is_released)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_counts, finished, cancelled, failed, lost)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_row, declaration, group_count, group_partitions,
                                                ended_groups, ended_tasks, state, is_declared,
                                                submitted_at, ended_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_record, index, state, attempt, worker, domain,
                                                checkpoint, progress, failure_count, eviction_count,
                                                code)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(group_row, declaration, group, is_cancel_requested,
                                                submitted_at, declared_in, tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_row, version, document, operations,
                                                changed_by)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(domain_row, is_drained, version)

template <class Message>
std::string encode(const Message& message) {
    return nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <class Message>
Message decode(std::string_view text) {
    try {
        return nlohmann::json::parse(text).get<Message>();
    } catch (const nlohmann::json::exception& failure) {
        throw error(result_code::malformed_request,
                    std::string("not a valid message: ") + failure.what());
    }
}

// Each message that crosses a process boundary on its own, and each row.
#define TANAGERPADDLE_INSTANTIATE_JSON(type)                \
    template std::string encode<type>(const type& message); \
    template type decode<type>(std::string_view text)

TANAGERPADDLE_INSTANTIATE_JSON(entry_info);
TANAGERPADDLE_INSTANTIATE_JSON(held_task);
TANAGERPADDLE_INSTANTIATE_JSON(task_report);
TANAGERPADDLE_INSTANTIATE_JSON(sync_request);
TANAGERPADDLE_INSTANTIATE_JSON(sync_reply);
TANAGERPADDLE_INSTANTIATE_JSON(cancel_request);
TANAGERPADDLE_INSTANTIATE_JSON(cancel_reply);
TANAGERPADDLE_INSTANTIATE_JSON(entry_digest);
TANAGERPADDLE_INSTANTIATE_JSON(digest_reply);
TANAGERPADDLE_INSTANTIATE_JSON(entry_notice);
TANAGERPADDLE_INSTANTIATE_JSON(partition_row);
TANAGERPADDLE_INSTANTIATE_JSON(job_row);
TANAGERPADDLE_INSTANTIATE_JSON(group_row);
TANAGERPADDLE_INSTANTIATE_JSON(configuration_row);
TANAGERPADDLE_INSTANTIATE_JSON(domain_row);
TANAGERPADDLE_INSTANTIATE_JSON(job_declaration);
TANAGERPADDLE_INSTANTIATE_JSON(known_target);
TANAGERPADDLE_INSTANTIATE_JSON(partition_summary);

}  // namespace tanagerpaddle
