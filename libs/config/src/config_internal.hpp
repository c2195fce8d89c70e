#pragma once

// Shared by the sources of the library: one table of fields for each kind of declaration, used for
// printing, parsing and comparing.

#include <yaml-cpp/yaml.h>

#include <array>
#include <span>
#include <string>
#include <string_view>

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle::config_detail {

// Where a value stands, for messages.
struct position {
    const std::string& source;
    std::string path;
};

// Throws error(invalid_configuration).
[[noreturn]] void reject(const position& where, const YAML::Node& node, const std::string& allowed);

template <class Owner>
struct field_row {
    std::string_view key;
    // An absent key is an error.
    bool is_required;
    void (*read)(const position&, const YAML::Node&, Owner&);
    void (*write)(YAML::Emitter&, const Owner&);
    bool (*equal)(const Owner&, const Owner&);
    // A list of declarations, which a difference reports item by item.
    bool is_list;
};

[[nodiscard]] std::span<const field_row<resources>> fields_of(const resources&);
[[nodiscard]] std::span<const field_row<failure_domain_declaration>> fields_of(
    const failure_domain_declaration&);
[[nodiscard]] std::span<const field_row<team_declaration>> fields_of(const team_declaration&);
[[nodiscard]] std::span<const field_row<method_declaration>> fields_of(const method_declaration&);
[[nodiscard]] std::span<const field_row<service_declaration>> fields_of(const service_declaration&);
[[nodiscard]] std::span<const field_row<job_declaration>> fields_of(const job_declaration&);
[[nodiscard]] std::span<const field_row<configuration>> fields_of(const configuration&);

void read_configuration(const position& where, const YAML::Node& node, configuration& declared);
void write_configuration(YAML::Emitter& out, const configuration& declared);

// True for well-formed UTF-8 without control characters other than tab and line feed.
[[nodiscard]] bool is_plain_text(std::string_view text) noexcept;

}  // namespace tanagerpaddle::config_detail
