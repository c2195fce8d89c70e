#pragma once

// Vocabulary shared by all libraries: ids, units, time, result codes, errors and invariants.

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// Ids

// A name that is only comparable with names of the same kind. The empty value means "none".
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    // The text as it appears in settings, messages and logs.
    [[nodiscard]] const std::string& value() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    friend bool operator==(const strong_id&, const strong_id&) = default;
    friend std::strong_ordering operator<=>(const strong_id& a, const strong_id& b) noexcept {
        return a.value_.compare(b.value_) <=> 0;
    }

private:
    std::string value_;
};

using worker_id = strong_id<struct worker_tag>;
using agent_id = strong_id<struct agent_tag>;
using entry_id = strong_id<struct entry_tag>;
using target_id = strong_id<struct target_tag>;
using service_id = strong_id<struct service_tag>;
using method_id = strong_id<struct method_tag>;
using job_id = strong_id<struct job_tag>;
using team_id = strong_id<struct team_tag>;
using failure_domain_id = strong_id<struct failure_domain_tag>;
using region_id = strong_id<struct region_tag>;
using rack_id = strong_id<struct rack_tag>;
using request_id = strong_id<struct request_tag>;
using operation_id = strong_id<struct operation_tag>;

// A number that is only comparable and assignable with numbers of the same kind.
template <class Tag, class Rep = std::uint64_t>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(Rep value) : value_(value) {}

    [[nodiscard]] constexpr Rep value() const noexcept { return value_; }
    [[nodiscard]] constexpr strong_number next() const noexcept {
        return strong_number(static_cast<Rep>(value_ + 1));
    }

    friend constexpr auto operator<=>(const strong_number&, const strong_number&) = default;

private:
    Rep value_{};
};

// Version of a row of the platform's table; 0 means that the row does not exist.
using row_version = strong_number<struct row_version_tag>;
// Version of the accepted configuration; 0 means none.
using config_version = strong_number<struct config_version_tag>;
// Ownership period of a partition; grows by one with each change of owner.
using epoch_number = strong_number<struct epoch_tag>;
// Fencing number of one try to run a task; grows by one with each claim.
using attempt_number = strong_number<struct attempt_tag, std::uint32_t>;
// Identifies one life of a process: chosen at random at its start.
using incarnation_number = strong_number<struct incarnation_tag>;
// Index of a partition, from 0.
using partition_number = strong_number<struct partition_tag, std::uint32_t>;

// ---------------------------------------------------------------------------------------------
// Resources

// Thousandths of a processor.
using millicores = strong_number<struct millicores_tag, std::int64_t>;
// Memory in MiB.
using mebibytes = strong_number<struct mebibytes_tag, std::int64_t>;
// Whole accelerators.
using accelerator_count = strong_number<struct accelerator_tag, std::int64_t>;

// An amount of each resource of an instance. Components may be negative only in differences.
struct resources {
    millicores processors;
    mebibytes memory;
    accelerator_count accelerators;

    // True if every component is at most the one of `capacity`.
    [[nodiscard]] bool fits_in(const resources& capacity) const noexcept;
    // True if no component is below zero.
    [[nodiscard]] bool is_non_negative() const noexcept;

    resources& operator+=(const resources& other) noexcept;
    resources& operator-=(const resources& other) noexcept;
    friend resources operator+(resources a, const resources& b) noexcept { return a += b; }
    friend resources operator-(resources a, const resources& b) noexcept { return a -= b; }
    friend bool operator==(const resources&, const resources&) = default;
};

// "4000m 8192MiB 0acc", for logs and failed assertions.
[[nodiscard]] std::string to_string(const resources& amount);

// ---------------------------------------------------------------------------------------------
// Time

// Monotonic time that also counts suspended time. Values of two machines are never compared.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

using instant = boot_clock::time_point;
using std::chrono::milliseconds;

// Milliseconds since 1970 UTC. Used for deadlines in the table, which only steer policy.
using utc_millis = strong_number<struct utc_tag, std::int64_t>;

// Source of time for all decision logic. Implementations are thread-safe.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    // The present time of this machine's monotonic clock.
    [[nodiscard]] virtual instant now() const = 0;
    // The present wall-clock time.
    [[nodiscard]] virtual utc_millis utc_now() const = 0;
};

// The clock of the operating system (CLOCK_BOOTTIME and CLOCK_REALTIME).
class system_clock final : public clock {
public:
    [[nodiscard]] instant now() const override;
    [[nodiscard]] utc_millis utc_now() const override;
};

// A clock that moves only when told to. Starts at `start` after the clock's origin.
class manual_clock final : public clock {
public:
    explicit manual_clock(milliseconds start = std::chrono::hours(1));
    [[nodiscard]] instant now() const override;
    [[nodiscard]] utc_millis utc_now() const override;
    void advance(milliseconds step);

private:
    std::atomic<std::int64_t> now_ns_;
};

// A point in time after which an action is no longer useful or allowed.
class deadline {
public:
    // Never passes.
    deadline() = default;
    explicit deadline(instant when) : when_(when) {}
    // The deadline that lies `budget` after `now`.
    static deadline after(instant now, milliseconds budget) { return deadline(now + budget); }

    [[nodiscard]] instant when() const noexcept { return when_; }
    [[nodiscard]] bool has_passed(instant now) const noexcept { return now >= when_; }
    // The time left, zero if it has passed, one day at most.
    [[nodiscard]] milliseconds remaining(instant now) const noexcept;

    friend auto operator<=>(const deadline&, const deadline&) = default;

private:
    instant when_ = instant::max();
};

// ---------------------------------------------------------------------------------------------
// Results and errors

// Numbered outcomes, tabled in docs/result-codes.md. The hundreds digit gives the class:
// 0 success, 1xx the caller's input, 2xx not run, 3xx outcome unknown, 4xx failed after a start,
// 5xx state of the system. Numbers are never reused.
enum class result_code : std::uint16_t {
    ok = 0,

    malformed_request = 100,
    body_too_large = 101,
    unknown_service = 102,
    unknown_method = 103,
    missing_deadline = 104,
    invalid_configuration = 105,
    duplicate_request = 106,
    unknown_job = 107,
    job_already_exists = 108,
    job_can_never_run = 109,
    unauthorized = 110,
    unknown_failure_domain = 111,
    invalid_settings = 112,
    quota_unknown_team = 113,

    deadline_exceeded_not_run = 200,
    overloaded = 201,
    no_target = 202,
    leaving = 203,
    cancelled_not_run = 204,
    connection_refused = 205,
    too_many_connections = 206,
    wrong_incarnation = 207,

    outcome_unknown = 300,

    target_failed = 400,
    answer_corrupted = 401,
    deadline_exceeded_running = 402,
    task_failed = 403,

    store_unavailable = 500,
    store_outcome_unknown = 501,
    configuration_conflict = 502,
    not_ready = 503,
    not_owner = 504,
    internal_error = 505,
    stale_epoch = 506,
    row_conflict = 507,
};

// The name as it stands in the table, for example "store_unavailable".
[[nodiscard]] std::string_view name(result_code code) noexcept;
// The code with that number; internal_error if there is none.
[[nodiscard]] result_code result_code_from_number(int number) noexcept;
// True if the code states that the request had no effect (class 1xx and 2xx, and 5xx but for
// store_outcome_unknown and internal_error).
[[nodiscard]] bool means_not_run(result_code code) noexcept;

// The exception for all failures that carry a result code.
class error : public std::runtime_error {
public:
    error(result_code code, const std::string& message)
        : std::runtime_error(message), code_(code) {}
    [[nodiscard]] result_code code() const noexcept { return code_; }

private:
    result_code code_;
};

// Thrown when a promise of the program is broken by the program itself.
class invariant_violation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

// Throws invariant_violation with `message` unless `holds`. `message` names the values.
void check_invariant(bool holds, const std::string& message);
// The number of invariants checked since the process started.
[[nodiscard]] std::uint64_t invariant_checks() noexcept;

// ---------------------------------------------------------------------------------------------
// Randomness and hashing

// Seeded source of randomness; runs with equal seeds give equal values.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}
    // Uniform in [0, bound); 0 if bound is 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound);
    // Uniform in [0, 1).
    [[nodiscard]] double unit();
    // True with probability `p`.
    [[nodiscard]] bool chance(double p) { return unit() < p; }
    // 16 hexadecimal digits.
    [[nodiscard]] std::string token();

private:
    std::mt19937_64 engine_;
};

// A seed from the operating system.
[[nodiscard]] std::uint64_t random_seed();

// XXH3 64-bit hash of the bytes.
[[nodiscard]] std::uint64_t hash_bytes(std::string_view bytes) noexcept;
// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

// The partition of a worker or job id; `count` is at least 1.
[[nodiscard]] partition_number partition_of(std::string_view id, std::uint32_t count) noexcept;
// The weight of `node` for `key` in rendezvous hashing: the node with the highest weight wins.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view node, std::string_view key);

}  // namespace tanagerpaddle

template <class Tag>
struct std::hash<tanagerpaddle::strong_id<Tag>> {
    std::size_t operator()(const tanagerpaddle::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value());
    }
};

template <class Tag, class Rep>
struct std::hash<tanagerpaddle::strong_number<Tag, Rep>> {
    std::size_t operator()(const tanagerpaddle::strong_number<Tag, Rep>& number) const noexcept {
        return std::hash<Rep>{}(number.value());
    }
};
