#pragma once

// Shared by the sources of the library.

#include <nlohmann/json.hpp>
#include <string>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::telemetry_detail {

// Keeps fields in the order in which they were written.
using json = nlohmann::ordered_json;

// "2026-12-05T05:30:00.000Z"
[[nodiscard]] std::string rfc3339(utc_millis time);
// The value with texts cut at `max_bytes`, and secrets as "***".
[[nodiscard]] json to_json(const field_value& value, std::size_t max_bytes);
// Compact text on one line; bytes that are not UTF-8 become U+FFFD.
[[nodiscard]] std::string dump(const json& value);

}  // namespace tanagerpaddle::telemetry_detail
