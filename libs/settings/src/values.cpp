#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <iterator>
#include <sstream>

#include "settings_internal.hpp"

namespace tanagerpaddle {

std::string_view name(process_role role) noexcept {
    return role == process_role::entry ? "entry" : "agent";
}

std::string_view name(log_threshold level) noexcept {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

std::string to_string(const network_address& value) {
    const bool is_v6 = value.address.find(':') != std::string::npos;
    return (is_v6 ? "[" + value.address + "]" : value.address) + ":" + std::to_string(value.port);
}

namespace settings_detail {

namespace {

bool is_ip_address(const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

bool is_name(std::string_view text) {
    constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-:";
    return !text.empty() && text.size() <= max_name_bytes &&
           text.find_first_not_of(letters) == std::string_view::npos;
}

bool is_plain_text(std::string_view text) {
    return text.size() <= max_text_bytes && std::none_of(text.begin(), text.end(), [](char c) {
               return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
           });
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (code != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::optional<network_address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (has_brackets) {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
    const bool is_v6 = host.find(':') != std::string::npos;
    if (!port || *port == 0 || !is_ip_address(host) || is_v6 != has_brackets) {
        return std::nullopt;
    }
    return network_address{host, *port};
}

bool is_url(const std::string& text) {
    constexpr std::string_view scheme = "http://";
    return text.starts_with(scheme) && parse_address(text.substr(scheme.size())).has_value();
}

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    std::istringstream stream{std::string(text)};
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

std::optional<setting_value> parse_choice(const setting_descriptor& row, const std::string& text) {
    const auto choices = split(row.choices, '|');
    const auto found = std::find(choices.begin(), choices.end(), text);
    if (found == choices.end()) {
        return std::nullopt;
    }
    return std::optional<setting_value>(std::in_place,
                                        std::int64_t{std::distance(choices.begin(), found)});
}

std::optional<setting_value> parse_in_range(const setting_descriptor& row,
                                            const std::string& text) {
    if (row.type == setting_type::integer) {
        const auto value = parse_number<std::int64_t>(text);
        if (!value || static_cast<double>(*value) < row.minimum ||
            static_cast<double>(*value) > row.maximum) {
            return std::nullopt;
        }
        return std::optional<setting_value>(std::in_place, *value);
    }
    const auto value = parse_number<double>(text);
    if (!value || !std::isfinite(*value) || *value < row.minimum || *value > row.maximum) {
        return std::nullopt;
    }
    return std::optional<setting_value>(std::in_place, *value);
}

std::optional<setting_value> text_if(bool is_allowed, const std::string& text) {
    std::optional<setting_value> value;
    if (is_allowed) {
        value.emplace(text);
    }
    return value;
}

// "a, b" or "[a, b]", with or without double quotes: the form of overrides and defaults.
std::vector<std::string> list_items(const std::string& text) {
    std::vector<std::string> items;
    const bool is_bracketed = text.size() >= 2 && text.front() == '[' && text.back() == ']' &&
                              (text[1] == '"' || text.find(']') == text.size() - 1);
    for (const auto& part :
         split(is_bracketed ? std::string_view(text).substr(1, text.size() - 2) : text, ',')) {
        const auto first = part.find_first_not_of(" \"");
        const auto last = part.find_last_not_of(" \"");
        items.push_back(first == std::string::npos ? "" : part.substr(first, last - first + 1));
    }
    return items;
}

std::string number_text(double value) {
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.begin(), buffer.end(), value);
    return {buffer.begin(), end.ptr};
}

std::string quoted(const std::string& text) {
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + "\"";
}

}  // namespace

std::optional<std::vector<network_address>> parse_addresses(const std::vector<std::string>& items) {
    std::vector<network_address> addresses;
    for (const auto& item : items) {
        const auto value = parse_address(item);
        if (!value || addresses.size() == 256) {
            return std::nullopt;
        }
        addresses.push_back(*value);
    }
    if (addresses.empty()) {
        return std::nullopt;
    }
    return addresses;
}

std::optional<setting_value> parse_value(const setting_descriptor& row, const std::string& text) {
    switch (row.type) {
        case setting_type::text:
            return text_if(is_plain_text(text), text);
        case setting_type::name:
            return text_if(is_name(text), text);
        case setting_type::address:
            return text_if(is_ip_address(text), text);
        case setting_type::url:
            return text_if(is_url(text), text);
        case setting_type::choice:
            return parse_choice(row, text);
        case setting_type::integer:
        case setting_type::number:
            return parse_in_range(row, text);
        case setting_type::address_list:
            break;
    }
    std::optional<setting_value> value;
    if (const auto addresses = parse_addresses(list_items(text))) {
        value.emplace(*addresses);
    }
    return value;
}

std::string allowed_text(const setting_descriptor& row) {
    const std::string unit = row.unit.empty() ? "" : " " + std::string(row.unit);
    switch (row.type) {
        case setting_type::text:
            return "text of at most 1024 bytes without control characters";
        case setting_type::name:
            return "1 to 128 characters of A-Z a-z 0-9 . _ - :";
        case setting_type::address:
            return "an IPv4 or IPv6 address";
        case setting_type::url:
            return "http://<IP address>:<port>";
        case setting_type::choice: {
            std::string text;
            for (const auto& part : split(row.choices, '|')) {
                text += (text.empty() ? "" : ", ") + part;
            }
            return text;
        }
        case setting_type::integer:
        case setting_type::number:
            break;
        case setting_type::address_list:
            return "a list of 1 to 256 entries <IP address>:<port>";
    }
    return number_text(row.minimum) + " to " + std::to_string(std::llround(row.maximum)) + unit;
}

std::string yaml_text(const setting_descriptor& row, const setting_value& value) {
    if (row.type == setting_type::choice) {
        return split(row.choices, '|').at(static_cast<std::size_t>(std::get<std::int64_t>(value)));
    }
    if (const auto* number = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*number);
    }
    if (const auto* number = std::get_if<double>(&value)) {
        return number_text(*number);
    }
    if (const auto* text = std::get_if<std::string>(&value)) {
        return quoted(*text);
    }
    std::string items;
    for (const auto& item : std::get<std::vector<network_address>>(value)) {
        items += (items.empty() ? "" : ", ") + quoted(to_string(item));
    }
    return "[" + items + "]";
}

}  // namespace settings_detail

}  // namespace tanagerpaddle
