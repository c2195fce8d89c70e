#pragma once

// Shared by the sources of the library.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/settings.hpp"

namespace tanagerpaddle::settings_detail {

inline constexpr std::size_t max_text_bytes = 1'024;
inline constexpr std::size_t max_name_bytes = 128;

// The row of the key, or nullptr.
[[nodiscard]] const setting_descriptor* find_setting(std::string_view key) noexcept;
// The known key with the smallest edit distance.
[[nodiscard]] std::string_view nearest_key(std::string_view key);
// What the key accepts, for messages and the reference.
[[nodiscard]] std::string allowed_text(const setting_descriptor& row);
// The value in the key's type, or nothing if the text is not allowed.
[[nodiscard]] std::optional<setting_value> parse_value(const setting_descriptor& row,
                                                       const std::string& text);
// A list of address:port, or nothing.
[[nodiscard]] std::optional<std::vector<network_address>> parse_addresses(
    const std::vector<std::string>& items);
// The value as it is written in YAML.
[[nodiscard]] std::string yaml_text(const setting_descriptor& row, const setting_value& value);
// True if the role reads the key.
[[nodiscard]] bool applies_to(const setting_descriptor& row, process_role role) noexcept;

// Problems between keys; `source` and lines are left empty.
[[nodiscard]] std::vector<setting_problem> find_conflicts(const settings& values);

}  // namespace tanagerpaddle::settings_detail
