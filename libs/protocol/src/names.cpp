#include <array>
#include <cstdio>

#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::array<std::string_view, 8> task_state_names{
    "pending", "claimed", "running", "evicting", "finished", "cancelled", "failed", "lost"};

// Zero-padded so that a scan by prefix visits the rows in numeric order.
std::string padded(std::uint32_t number) {
    std::string text = std::to_string(number);
    return text.size() >= 4 ? text : std::string(4 - text.size(), '0') + text;
}

}  // namespace

std::string to_string(const endpoint& value) {
    return value.address + ":" + std::to_string(value.port);
}

bool is_terminal(task_state state) noexcept {
    return state >= task_state::finished;
}

std::string_view name(task_state state) noexcept {
    return task_state_names.at(static_cast<std::size_t>(state));
}

std::string to_string(const task_attempt& value) {
    return value.task.job.value() + "/" + std::to_string(value.task.index) + "#" +
           std::to_string(value.attempt.value());
}

std::string checkpoint_key(const task_attempt& value) {
    return "checkpoint/" + value.task.job.value() + "/" + std::to_string(value.task.index) + "/" +
           std::to_string(value.attempt.value());
}

std::string partition_key(partition_number partition) {
    return "partition/" + padded(partition.value());
}

std::string job_key(const job_id& id) {
    return "job/" + id.value();
}

std::string shard_prefix(partition_number partition) {
    return "group/" + padded(partition.value()) + "/";
}

std::string group_key(partition_number partition, const job_id& id, std::uint32_t group) {
    return shard_prefix(partition) + id.value() + "/" + padded(group);
}

std::string domain_key(const failure_domain_id& id) {
    return "domain/" + id.value();
}
std::string entry_key(const entry_id& id) {
    return "entry/" + id.value();
}
std::string request_key(const request_id& id) {
    return "request/" + id.value();
}

}  // namespace tanagerpaddle
