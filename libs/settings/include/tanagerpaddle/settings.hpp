#pragma once

// The daemon's settings: one table of keys gives types, defaults, limits and documentation.

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

enum class process_role : std::uint8_t { entry, agent };
[[nodiscard]] std::string_view name(process_role role) noexcept;

enum class log_threshold : std::uint8_t { debug, info, warning, error };
[[nodiscard]] std::string_view name(log_threshold level) noexcept;

// An IP address (IPv6 without brackets) and a TCP port.
struct network_address {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const network_address&, const network_address&) = default;
};

// "127.0.0.1:7300", "[::1]:7300"
[[nodiscard]] std::string to_string(const network_address& value);

// One listening server.
struct listen_settings {
    std::string address;
    // 0: the operating system chooses a free port.
    std::uint16_t port = 0;
    // Accepted connections at a time; those beyond are answered and closed.
    std::uint32_t connections = 0;
};

struct entry_settings {
    listen_settings callers;
    listen_settings operators;
    listen_settings control;
};

struct platform_settings {
    std::string table_url;
    std::string object_url;
    milliseconds timeout{};
    std::uint32_t connections = 0;
};

struct scheduler_settings {
    std::uint32_t partition_count = 0;
    std::chrono::seconds horizon{};
    std::chrono::seconds horizon_renewal{};
    std::chrono::seconds worker_lease{};
    milliseconds permit_window{};
    milliseconds sync_interval{};
    // Rows that one entry writes to the table in a second at most.
    std::uint32_t write_rows_per_second = 0;
};

struct membership_settings {
    milliseconds digest_interval{};
    milliseconds entry_expiry{};
    std::chrono::seconds entries_refresh{};
};

struct agent_settings {
    listen_settings data;
    listen_settings control;
    std::string target_url;
    std::string runtime_url;
    service_id service;
    std::uint32_t slots = 0;
    resources capacity;
    // Control addresses of entries, at least one.
    std::vector<network_address> entries;
    // Requests that the agent holds at a time, running and waiting.
    std::uint32_t max_requests = 0;
};

struct security_settings {
    std::string key_file;
    // Empty: only the key of key_file is accepted.
    std::string previous_key_file;
};

struct log_settings {
    log_threshold level = log_threshold::info;
    // Empty: standard error.
    std::string file;
};

struct trace_settings {
    // Empty: no spans are written.
    std::string file;
    // Share of new traces that are written, 0 to 1.
    double sample_ratio = 0;
};

struct shutdown_settings {
    // Time for requests in flight to end.
    milliseconds grace{};
    // Time between /readyz answering 503 and the end of accepting requests.
    milliseconds readiness_delay{};
};

// Values that passed all checks, if they come from load_settings, parse_settings or
// default_settings. Groups of the other role hold their defaults.
struct settings {
    process_role role = process_role::entry;
    std::string id;
    region_id region;
    failure_domain_id failure_domain;
    rack_id rack;
    std::uint64_t max_body_bytes = 0;
    entry_settings entry;
    platform_settings platform;
    scheduler_settings scheduler;
    membership_settings membership;
    agent_settings agent;
    security_settings security;
    log_settings log;
    trace_settings trace;
    shutdown_settings shutdown;
};

// What a key accepts.
enum class setting_type : std::uint8_t {
    text,          // any text without control characters, 1024 bytes at most
    name,          // 1 to 128 of A-Z a-z 0-9 . _ - :
    address,       // an IPv4 or IPv6 address
    url,           // http://address:port
    choice,        // one of `choices`
    integer,       // minimum..maximum
    number,        // minimum..maximum, with a fraction
    address_list,  // at least one address:port
};

// Which roles read a key.
enum class setting_scope : std::uint8_t { both, entry, agent };

using setting_value = std::variant<std::int64_t, double, std::string, std::vector<network_address>>;

// One row of the table of keys.
struct setting_descriptor {
    std::string_view key;
    setting_type type = setting_type::text;
    setting_scope scope = setting_scope::both;
    // As it is written in YAML.
    std::string_view default_text;
    double minimum = 0;
    double maximum = 0;
    // For choices: the values, separated by '|'.
    std::string_view choices;
    std::string_view unit;
    // Takes effect on SIGHUP; other keys need a restart.
    bool is_reloadable = false;
    std::string_view description;
    // Write and read the typed member.
    void (*assign)(settings&, const setting_value&) = nullptr;
    setting_value (*read)(const settings&) = nullptr;
};

// All keys, in the order of the reference page.
[[nodiscard]] std::span<const setting_descriptor> setting_table() noexcept;

// One reason to reject the settings.
struct setting_problem {
    // The file, or "override" for a single key set by command line or environment.
    std::string source;
    // From 1; 0 if the problem concerns no line.
    int line = 0;
    std::string key;
    std::string value;
    std::string allowed;
};

// "daemon.yaml:12: entry.callers.port: 70000 is not allowed; allowed: 0 to 65535"
[[nodiscard]] std::string to_string(const setting_problem& problem);

// Code invalid_settings. what() holds all problems, one a line.
class settings_error : public error {
public:
    explicit settings_error(std::vector<setting_problem> problems);
    [[nodiscard]] const std::vector<setting_problem>& problems() const noexcept {
        return problems_;
    }

private:
    std::vector<setting_problem> problems_;
};

// Reads and checks the file with the overrides ("key=value", the last one wins) applied to it.
// Throws settings_error with every problem found, also if the file cannot be read.
[[nodiscard]] settings load_settings(const std::string& path,
                                     const std::vector<std::string>& overrides = {});
// The same for a text; `source_name` stands for the file in problems.
[[nodiscard]] settings parse_settings(std::string_view text, const std::string& source_name,
                                      const std::vector<std::string>& overrides = {});
// Sets one key, for example "entry.callers.port=0", and checks all values. Throws settings_error
// and leaves `values` unchanged if the result is not allowed.
void apply_override(settings& values, const std::string& assignment);
// The overrides among the variables of an environment: TANAGERPADDLE_ENTRY_CALLERS_PORT=0 gives
// "entry.callers.port=0". Variables with that prefix that name no key are left out.
[[nodiscard]] std::vector<std::string> environment_overrides(const char* const* environment);

// The defaults of the role; they pass all checks.
[[nodiscard]] settings default_settings(process_role role);
// Commented YAML with all keys of the role and their defaults; parse_settings accepts it.
[[nodiscard]] std::string print_default_settings(process_role role);
// The page docs/settings.md.
[[nodiscard]] std::string markdown_reference();

// The keys whose values differ.
[[nodiscard]] std::vector<std::string_view> changed_keys(const settings& from, const settings& to);
// `current` with the reloadable values of `loaded`. The other keys that differ need a restart and
// are added to `ignored`. Throws settings_error if the result contradicts itself.
[[nodiscard]] settings reload_settings(const settings& current, const settings& loaded,
                                       std::vector<std::string_view>& ignored);

// The key in the file's only line, without the line end. Throws error(invalid_settings) naming the
// file, never its contents, unless the file holds one line of 16 to 512 printable characters.
[[nodiscard]] std::string read_key_file(const std::string& path);

}  // namespace tanagerpaddle
