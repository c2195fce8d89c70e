#pragma once

// JSON text of other processes, some of which write values that no process of ours writes. Values
// that do not fit are refused here, before they reach arithmetic; nlohmann::json converts a number
// that does not fit into another one.

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle::json_input {

using nlohmann::json;

// Levels of lists and objects that are read. The deepest message has 6. Copying and printing a
// value recurse, and would exhaust the stack at some 10,000 levels.
inline constexpr int max_depth = 32;
// Upper bounds of what can be sound. Sums over a job or a fleet, conversions to nanoseconds, and
// the next values of a counter stay within their types.
// Thousandths of a core, mebibytes or accelerators of one machine or task.
inline constexpr std::int64_t max_amount = 1'000'000'000'000;
// One year.
inline constexpr milliseconds max_duration{366LL * 24 * 3'600'000};
// Milliseconds since 1970, or since any later event: the year 2096.
inline constexpr std::int64_t max_time_ms = 4'000'000'000'000;
// Processors in use, or milliseconds of latency, of one run.
inline constexpr std::int64_t max_measurement = 1'000'000'000;
// Starts of one task.
inline constexpr std::uint32_t max_runs = 1U << 31U;
// Epochs of owners, and of their claims, which have 20 more bits.
inline constexpr std::uint64_t max_owner_epoch = 1ULL << 40U;
inline constexpr std::uint64_t max_claim_epoch = (max_owner_epoch + 1) << 20U;

// Parses `text`. A list or object below max_depth, or a number beyond the range of double, becomes
// {}, which is no number, text or list: the entry that it stands in is refused, and the entries
// beside it are kept. Throws nlohmann::json::exception if the text is no JSON.
[[nodiscard]] json parse(std::string_view text);

// Throws nlohmann::json::exception if the value is no number, and error(malformed_request) that
// names it otherwise. So do all functions below.
[[noreturn]] void refuse_number(const json& in);

// A whole number from `low` to `high`.
template <std::integral T>
[[nodiscard]] T whole_number(const json& in, T low = std::numeric_limits<T>::min(),
                             T high = std::numeric_limits<T>::max()) {
    const auto convert = [&](auto value) {
        if (std::cmp_less(value, low) || std::cmp_greater(value, high)) {
            refuse_number(in);
        }
        return static_cast<T>(value);
    };
    if (in.is_number_unsigned()) {
        return convert(in.get<std::uint64_t>());
    }
    if (in.is_number_integer()) {
        return convert(in.get<std::int64_t>());
    }
    refuse_number(in);
}

// The same for a measurement, whose fraction is dropped.
template <std::integral T>
[[nodiscard]] T rounded_number(const json& in, T low = std::numeric_limits<T>::min(),
                               T high = std::numeric_limits<T>::max()) {
    // Below this all whole numbers are exact in double, and conversions are defined.
    constexpr double max_exact = 9'007'199'254'740'992.0;
    if (!in.is_number_float()) {
        return whole_number<T>(in, low, high);
    }
    const auto value = in.get<double>();
    if (!(value > -max_exact && value < max_exact)) {
        refuse_number(in);
    }
    return whole_number<T>(json(static_cast<std::int64_t>(value)), low, high);
}

// An amount of a resource, from 0 to max_amount.
template <class Amount>
[[nodiscard]] Amount amount(const json& in) {
    return Amount(rounded_number<std::int64_t>(in, 0, max_amount));
}

// A duration from 0 to max_duration.
[[nodiscard]] inline milliseconds duration(const json& in) {
    return milliseconds(rounded_number<std::int64_t>(in, 0, max_duration.count()));
}

// A percentage or a measurement of a run, which are rough; those out of range become the nearest
// in range, so that the run still counts as running.
[[nodiscard]] int percent(const json& in);
[[nodiscard]] std::int64_t measurement(const json& in);

// A factor from 0 to 1,000.
[[nodiscard]] double factor(const json& in);

// A time in milliseconds, from 0 to max_time_ms.
[[nodiscard]] inline std::int64_t time_ms(const json& in) {
    return rounded_number<std::int64_t>(in, 0, max_time_ms);
}

// A list; other values would be iterated as if they were lists of nothing or of themselves.
[[nodiscard]] const json& list(const json& in);
// The list at `key`, or an empty one if there is none.
[[nodiscard]] const json& list_or_empty(const json& in, const char* key);
// An object; fields of other values would count as left out.
[[nodiscard]] const json& object(const json& in);

}  // namespace tanagerpaddle::json_input
