#pragma once

// Tables for terminals and short texts for cells.

#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "command.hpp"

namespace tanagerpaddle::ctl {

// Columns padded to their widest cell, two spaces apart. Control characters in cells appear as
// "?", so that a text from elsewhere cannot change the terminal.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }
    // As many cells as the header has.
    void add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

// JSON in two-space indentation and a line end.
void print_json(std::ostream& out, const nlohmann::json& value);
// The value as JSON if that format is asked for, else the table.
void print(command_context& context, const nlohmann::json& value, const text_table& table);

// A member as cell text; "-" if it is absent, null or empty.
[[nodiscard]] std::string cell(const nlohmann::json& object, const char* member);

}  // namespace tanagerpaddle::ctl
