// Control traffic of membership from the sizes of encoded messages: messages and bytes a second of
// each role, both directions, against two other designs. Headers of HTTP and JSON-RPC are counted
// as a fixed number of bytes for each request with its reply.

#include <cstdio>

#include "tanagerpaddle/membership.hpp"

using namespace tanagerpaddle;

namespace {

// Request and reply head of an HTTP call with the JSON-RPC frame, as an estimate.
constexpr double frame_bytes = 450;
constexpr double digest_seconds = 2;
constexpr std::uint32_t tasks_on_worker = 6;
// Visible changes of agents in the whole fleet of 3,200: 223 failures and restarts a day, each one
// change out and one in.
constexpr double changes_per_agent_second = 2.0 * 223 / 3'200 / 86'400;

sync_request sample_sync(std::uint32_t number) {
    sync_request request;
    request.worker = worker_id("worker-" + std::to_string(number));
    request.incarnation = incarnation_number(0x9E3779B97F4A7C15ULL);
    request.sequence = 12'345;
    request.control = {"10.1.2.3", 7'002};
    request.domain = failure_domain_id("rosenberg");
    request.rack = rack_id("rack-" + std::to_string(number / 3));
    request.capacity = {millicores(64'000), mebibytes(250'000), accelerator_count(2)};
    request.free = {millicores(8'000), mebibytes(50'000), accelerator_count(0)};
    for (std::uint32_t i = 0; i < tasks_on_worker; ++i) {
        held_task task;
        task.attempt = {{job_id("harvest-plan-" + std::to_string(i)), i}, attempt_number(1)};
        task.demand = {millicores(4'000), mebibytes(16'000), accelerator_count(0)};
        task.progress = 0.53125;
        task.checkpoint = checkpoint_key(task.attempt);
        task.run_ms = 345'678;
        request.tasks.push_back(task);
    }
    target_report target;
    target.id = target_id("cut-orders-" + std::to_string(number));
    target.service = service_id("cut-orders");
    target.data = {"10.1.2.3", 7'001};
    target.slots = 8;
    target.busy_slots = 3;
    target.p99_us = 23'456;
    request.targets.push_back(target);
    return request;
}

sync_reply sample_reply() {
    sync_reply reply;
    reply.epoch = epoch_number(7);
    reply.lease_ms = 20'000;
    for (const auto& task : sample_sync(0).tasks) {
        reply.current.push_back(task.attempt);
    }
    return reply;
}

// An entry that owns its part of the fleet, with one heartbeat of each agent noted.
target_directory owner_of_agents(std::uint32_t agents, std::uint32_t partitions) {
    target_directory directory;
    local_state state;
    state.self = {entry_id("entry-1"),
                  incarnation_number(123'456'789'012'345ULL),
                  {"10.1.2.4", 7'000},
                  failure_domain_id("rosenberg")};
    for (std::uint32_t i = 0; i < partitions; ++i) {
        partition_summary summary;
        summary.partition = partition_number(i);
        summary.free = sample_sync(0).free;
        summary.largest_free = summary.free;
        summary.largest_worker = sample_sync(0).capacity;
        summary.worker_count = 50;
        state.partitions.push_back(summary);
    }
    directory.set_local_state(state);
    for (std::uint32_t i = 0; i < agents; ++i) {
        directory.record_sync(sample_sync(i), instant(milliseconds(3'600'000)));
    }
    return directory;
}

struct traffic {
    double messages = 0;
    double bytes = 0;
};

void print_row(std::uint32_t agents, std::uint32_t entries, const char* design, traffic agent,
               traffic entry, double writes) {
    std::printf("| %5u | %2u | %-34s | %7.2f | %8.3f | %8.1f | %9.2f | %7.1f |\n", agents, entries,
                design, agent.messages, agent.bytes / 1'000, entry.messages, entry.bytes / 1'000,
                writes);
}

void print_size(std::uint32_t agents, std::uint32_t entries, double sync_seconds) {
    const std::uint32_t own = (agents + entries - 1) / entries;
    const std::uint32_t partitions =
        std::max<std::uint32_t>(1, (agents > 1'000 ? 64 : 4) / entries);
    auto directory = owner_of_agents(own, partitions);
    const entry_id other("entry-2");
    const auto whole = static_cast<double>(encode(directory.make_digest(other)).size());
    digest_reply reply;
    reply.acknowledged = directory.version();
    directory.record_reply(other, reply);
    const auto unchanged = static_cast<double>(encode(directory.make_digest(other)).size());
    const auto sync_bytes =
        static_cast<double>(encode(sample_sync(1)).size() + encode(sample_reply()).size()) +
        frame_bytes;
    const double reply_bytes = static_cast<double>(encode(reply).size()) + frame_bytes;

    const double syncs = own / sync_seconds;
    const double digests = (entries - 1) / digest_seconds;
    const double changed = std::min(1.0, changes_per_agent_second * own * digest_seconds);
    const double digest_bytes = unchanged + changed * (whole - unchanged) + reply_bytes;
    const traffic agent{1 / sync_seconds, sync_bytes / sync_seconds};
    // Digests are sent and received.
    const traffic entry{syncs + 2 * digests, syncs * sync_bytes + 2 * digests * digest_bytes};
    char title[64];
    std::snprintf(title, sizeof(title), "owner and digests, sync %.0f s", sync_seconds);
    print_row(agents, entries, title, agent, entry, 0);
    const double all = agents / sync_seconds;
    print_row(agents, entries, "every agent to every entry",
              {entries / sync_seconds, entries * sync_bytes / sync_seconds},
              {all, all * sync_bytes}, 0);
    // Each agent writes its row; each entry reads all rows at the same interval.
    print_row(agents, entries, "table row for each heartbeat",
              {1 / sync_seconds, sync_bytes / sync_seconds}, {1 / sync_seconds, all * sync_bytes},
              all);
}

}  // namespace

int main() {
    std::printf("sync request %zu B, reply %zu B (%u tasks), frame %.0f B\n",
                encode(sample_sync(1)).size(), encode(sample_reply()).size(), tasks_on_worker,
                frame_bytes);
    std::printf(
        "| agents | entries | design | msg/s agent | KB/s agent | msg/s entry | KB/s entry "
        "| table writes/s |\n|---|---|---|---|---|---|---|---|\n");
    for (const std::uint32_t agents : {11U, 200U, 3'200U}) {
        for (const std::uint32_t entries : {2U, 4U, 32U}) {
            print_size(agents, entries, agents > 1'000 ? 8 : 2);
        }
    }
    return 0;
}
