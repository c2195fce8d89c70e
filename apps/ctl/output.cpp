#include "output.hpp"

#include <algorithm>

namespace tanagerpaddle::ctl {

namespace {

constexpr std::size_t column_gap = 2;
constexpr int json_indent = 2;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

std::string printable(std::string text) {
    std::replace_if(
        text.begin(), text.end(),
        [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte < first_printable || byte == delete_character;
        },
        '?');
    return text;
}

}  // namespace

void text_table::print(std::ostream& out) const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            out << printable(row[i]);
            if (i + 1 < row.size()) {
                out << std::string(widths[i] - row[i].size() + column_gap, ' ');
            }
        }
        out << '\n';
    }
}

void print_json(std::ostream& out, const nlohmann::json& value) {
    out << value.dump(json_indent, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

void print(command_context& context, const nlohmann::json& value, const text_table& table) {
    if (context.format == output_format::json) {
        print_json(context.streams.out, value);
    } else {
        table.print(context.streams.out);
    }
}

std::string cell(const nlohmann::json& object, const char* member) {
    if (!object.is_object() || !object.contains(member) || object[member].is_null()) {
        return "-";
    }
    const auto& value = object[member];
    if (!value.is_string()) {
        return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    const auto text = value.get<std::string>();
    return text.empty() ? "-" : text;
}

}  // namespace tanagerpaddle::ctl
