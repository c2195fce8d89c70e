#pragma once

// Declarations of services, batch jobs, holds, teams, quotas and drains.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
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

    friend bool operator==(const method_declaration&, const method_declaration&) = default;
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

    friend bool operator==(const service_declaration&, const service_declaration&) = default;
};

struct team_declaration {
    team_id id;
    resources quota;
    // May use what other teams leave idle; its tasks above the quota are evicted first.
    bool can_borrow = true;

    friend bool operator==(const team_declaration&, const team_declaration&) = default;
};

struct failure_domain_declaration {
    failure_domain_id id;
    region_id region;

    friend bool operator==(const failure_domain_declaration&,
                           const failure_domain_declaration&) = default;
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

    friend bool operator==(const configuration&, const configuration&) = default;
};

// The declaration of the method, or nullptr.
[[nodiscard]] const method_declaration* find_method(const service_declaration& service,
                                                    const method_id& id) noexcept;

// ---------------------------------------------------------------------------------------------
// Validation

// Bounds of a valid configuration.
namespace configuration_limits {
inline constexpr std::size_t id_bytes = 128;
inline constexpr std::size_t command_bytes = 8'192;
inline constexpr std::uint32_t tasks_per_job = 100'000;
inline constexpr std::uint32_t slots = 4'096;
inline constexpr std::uint32_t connections = 65'535;
inline constexpr std::uint64_t body_bytes = 67'108'864;
// In the unit of each resource; sums of quotas and of all tasks stay far from overflow.
inline constexpr std::int64_t amount = 1'000'000'000'000;
inline constexpr milliseconds run_time = std::chrono::hours(24 * 366);
inline constexpr std::size_t failure_domains = 64;
inline constexpr std::size_t teams = 1'000;
inline constexpr std::size_t services = 1'000;
inline constexpr std::size_t methods = 256;
inline constexpr std::size_t jobs = 5'000;
// Size of the YAML text, number of its values and keys, and depth of its nesting. A document within
// them holds `jobs` jobs; parsing takes some hundred bytes of memory for each value.
inline constexpr std::size_t document_bytes = 4'194'304;
inline constexpr std::size_t document_values = 200'000;
inline constexpr std::size_t document_depth = 16;
}  // namespace configuration_limits

// One reason to reject a configuration.
struct configuration_problem {
    // For example "jobs[harvest-plan].task_count".
    std::string path;
    std::string value;
    std::string allowed;
};

// "jobs[harvest-plan].task_count: 0 is not allowed; allowed: 1 to 100000"
[[nodiscard]] std::string to_string(const configuration_problem& problem);

// All problems, in the order of the declarations, 100 at most; empty if the configuration can take
// effect.
[[nodiscard]] std::vector<configuration_problem> validate(const configuration& declared);

// ---------------------------------------------------------------------------------------------
// YAML

// Every value of the configuration, in declared order. Equal configurations give equal texts, and
// from_yaml gives back an equal configuration if validate() finds no problem.
[[nodiscard]] std::string to_yaml(const configuration& declared);
// Parses without validating. Keys that are left out keep their defaults, but for ids. Throws
// error(invalid_configuration) naming `source_name`, line, key, value and what is allowed: for
// text that is not YAML, unknown or repeated keys, values of another type, anchors, more than one
// document, and texts beyond the limits of size and depth.
[[nodiscard]] configuration from_yaml(std::string_view text, const std::string& source_name);

// ---------------------------------------------------------------------------------------------
// Differences

enum class change_kind : std::uint8_t { added, removed, changed };
[[nodiscard]] std::string_view name(change_kind kind) noexcept;

struct configuration_change {
    change_kind kind = change_kind::changed;
    // For example "jobs[harvest-plan]" or "services[cut-orders].methods[quote]".
    std::string path;
    // One line: "changed jobs[harvest-plan]: task_count 4 -> 6".
    std::string description;
};

// What turns `from` into `to`. The order of declarations does not matter.
[[nodiscard]] std::vector<configuration_change> diff(const configuration& from,
                                                     const configuration& to);

// ---------------------------------------------------------------------------------------------
// Units for programs that declare a configuration

namespace units {
// Rounded to thousandths.
[[nodiscard]] millicores cores(double count);
[[nodiscard]] mebibytes gibibytes(double count);
// 10^9 bytes each, rounded to MiB.
[[nodiscard]] mebibytes gigabytes(double count);
[[nodiscard]] accelerator_count accelerators(std::int64_t count);
// "2026-12-05T05:30:00Z", with or without milliseconds. Throws error(invalid_configuration) for any
// other text.
[[nodiscard]] utc_millis utc(std::string_view text);
// `count` hours after `now`. Each run of a program that uses the present time declares another
// deadline, so declared jobs should rather use utc().
[[nodiscard]] utc_millis in_hours(double count, utc_millis now = system_clock().utc_now());
}  // namespace units

// "2026-12-05T05:30:00.000Z"
[[nodiscard]] std::string to_rfc3339(utc_millis time);
// Nothing unless the text is a UTC time of the years 1970 to 9999 as to_rfc3339 or without
// milliseconds.
[[nodiscard]] std::optional<utc_millis> parse_rfc3339(std::string_view text) noexcept;

// ---------------------------------------------------------------------------------------------
// Builder

class method_builder;
class service_builder;
class job_builder;

// Declares a configuration. The builders that it returns refer to it and to what they declare;
// they are valid as long as it is neither moved nor destroyed.
class configuration_builder {
public:
    configuration_builder& failure_domain(std::string id, std::string region);
    configuration_builder& team(std::string id, const resources& quota, bool can_borrow = true);
    service_builder service(std::string id, std::string team);
    // `demand` is the one of each task.
    job_builder batch_job(std::string id, std::string team, const resources& demand);
    job_builder hold(std::string id, std::string team, const resources& demand);
    configuration_builder& drain(std::string failure_domain);

    // What was declared so far, valid or not.
    [[nodiscard]] const configuration& declared() const noexcept { return declared_; }
    // The same if it is valid. Throws error(invalid_configuration) naming all problems.
    [[nodiscard]] configuration build() const;

private:
    friend class method_builder;
    friend class service_builder;
    friend class job_builder;

    job_builder add_job(job_declaration job);

    configuration declared_;
};

class service_builder {
public:
    // Requests that one target runs at a time, and connections that it accepts.
    service_builder& slots(std::uint32_t count);
    service_builder& connections(std::uint32_t count);
    // Taken from the ledger of each instance that runs a target.
    service_builder& reserved(const resources& amount);
    service_builder& max_body_bytes(std::uint64_t bytes);
    method_builder idempotent_method(std::string id);
    method_builder non_idempotent_method(std::string id);

private:
    friend class configuration_builder;
    friend class method_builder;
    service_builder(configuration_builder& owner, std::size_t index)
        : owner_(&owner), index_(index) {}

    [[nodiscard]] service_declaration& declaration() const;
    method_builder add_method(std::string id, bool is_idempotent);

    configuration_builder* owner_;
    std::size_t index_;
};

class method_builder {
public:
    method_builder& priority(request_priority value);
    method_builder& duplicates(duplicate_scope value);
    // The next method of the same service.
    method_builder idempotent_method(std::string id);
    method_builder non_idempotent_method(std::string id);

private:
    friend class service_builder;
    method_builder(const service_builder& service, std::size_t index)
        : service_(service), index_(index) {}

    [[nodiscard]] method_declaration& declaration() const;

    service_builder service_;
    std::size_t index_;
};

class job_builder {
public:
    job_builder& tasks(std::uint32_t count);
    // First estimate for one task.
    job_builder& run_time(milliseconds estimate);
    // Batch: when the job must be complete. Hold: when it expires.
    job_builder& complete_by(utc_millis time);
    job_builder& urgent();
    // A task that must not run again after its worker vanished, unless it has a checkpoint.
    job_builder& non_idempotent();
    job_builder& without_checkpoints();
    job_builder& command(std::string text);

private:
    friend class configuration_builder;
    job_builder(configuration_builder& owner, std::size_t index) : owner_(&owner), index_(index) {}

    [[nodiscard]] job_declaration& declaration() const;

    configuration_builder* owner_;
    std::size_t index_;
};

// What a program that declares a configuration prints, and its exit status: 0, 1 if the
// configuration is invalid, or 2 for unknown arguments.
struct program_output {
    int exit_status = 0;
    std::string standard_output;
    std::string standard_error;
};

// Arguments: none prints the YAML, --check only the problems, --help the usage.
[[nodiscard]] program_output configuration_program(const configuration_builder& builder,
                                                   const std::vector<std::string>& arguments);
// The same with the arguments of main(), written to the standard streams. Returns the exit status.
int print_configuration(const configuration_builder& builder, int argc, char** argv);

}  // namespace tanagerpaddle
