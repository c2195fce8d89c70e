#pragma once

// Declarations of services, batch jobs, holds, teams, quotas and drains.

#include <cstdint>
#include <string>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// The order in which requests are shed under load: the lowest first.
enum class request_priority : std::uint8_t { background = 0, standard = 1, interactive = 2 };

// Where a repeated id of a non-idempotent request is recognised.
enum class duplicate_scope : std::uint8_t {
    // In the platform's table: one write for each request, refused while the table is down.
    everywhere,
    // By the entry and the agent that got the first one only.
    entry,
};

struct method_declaration {
    method_id id;
    bool is_idempotent = false;
    request_priority priority = request_priority::standard;
    duplicate_scope duplicates = duplicate_scope::everywhere;
};

struct service_declaration {
    service_id id;
    team_id team;
    std::vector<method_declaration> methods;
    // Requests that one target runs at a time.
    std::uint32_t slots = 8;
    // Connections that one target accepts.
    std::uint32_t connections = 64;
    // Taken from the ledger of each instance that runs a target of the service.
    resources reserved;
    std::uint64_t max_body_bytes = 1'048'576;
};

struct team_declaration {
    team_id id;
    resources quota;
    // May use what other teams leave idle; its tasks above the quota are evicted first.
    bool can_borrow = true;
};

struct failure_domain_declaration {
    failure_domain_id id;
    region_id region;
};

enum class job_kind : std::uint8_t { batch, hold };
enum class job_priority : std::uint8_t { normal = 0, urgent = 1 };

// One batch job or long-lived hold.
struct job_declaration {
    job_id id;
    team_id team;
    job_kind kind = job_kind::batch;
    job_priority priority = job_priority::normal;
    std::uint32_t task_count = 1;
    resources demand;  // of each task
    // Declared run time of one task; often far off, so it is only a first estimate.
    milliseconds run_time{60'000};
    // Batch: when the job must be complete. Hold: when it expires.
    utc_millis complete_by;
    // A task that may be run again from the start after its worker vanished.
    bool is_idempotent = true;
    bool can_checkpoint = true;
    // Opaque text for the worker's runtime.
    std::string command;

    friend bool operator==(const job_declaration&, const job_declaration&) = default;
};

// Everything that operators declare.
struct configuration {
    std::vector<failure_domain_declaration> failure_domains;
    std::vector<team_declaration> teams;
    std::vector<service_declaration> services;
    std::vector<job_declaration> jobs;
    // Failure domains that are taken out of service.
    std::vector<failure_domain_id> drains;

    // The declaration, or nullptr. Valid as long as the configuration is not changed.
    [[nodiscard]] const service_declaration* find_service(const service_id& id) const noexcept;
    [[nodiscard]] const team_declaration* find_team(const team_id& id) const noexcept;
    [[nodiscard]] bool is_drained(const failure_domain_id& id) const noexcept;
};

// The declaration of the method, or nullptr.
[[nodiscard]] const method_declaration* find_method(const service_declaration& service,
                                                    const method_id& id) noexcept;

}  // namespace tanagerpaddle
