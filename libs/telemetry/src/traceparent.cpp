#include <charconv>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

// A fixed number of lower-case hexadecimal digits.
std::optional<std::uint64_t> parse_hex(std::string_view text) noexcept {
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t value = 0;
    for (const char c : text) {
        const auto digit = digits.find(c);
        if (digit == std::string_view::npos) {
            return std::nullopt;
        }
        value = value << 4U | digit;
    }
    return value;
}

}  // namespace

std::optional<trace_context> parse_traceparent(std::string_view text) noexcept {
    // 2 version, 32 trace id, 16 parent id and 2 flag digits with dashes between them.
    constexpr std::size_t known_length = 55;
    if (text.size() < known_length || text[2] != '-' || text[35] != '-' || text[52] != '-') {
        return std::nullopt;
    }
    const auto version = parse_hex(text.substr(0, 2));
    const auto high = parse_hex(text.substr(3, 16));
    const auto low = parse_hex(text.substr(19, 16));
    const auto parent = parse_hex(text.substr(36, 16));
    const auto flags = parse_hex(text.substr(53, 2));
    if (!version || !high || !low || !parent || !flags || *version == 0xff) {
        return std::nullopt;
    }
    const bool has_right_length =
        text.size() == known_length || (*version != 0 && text[known_length] == '-');
    if (!has_right_length || (*high == 0 && *low == 0) || *parent == 0) {
        return std::nullopt;
    }
    return trace_context{{*high, *low}, *parent, (*flags & 1U) != 0};
}

std::string to_traceparent(const trace_context& context) {
    return "00-" + to_hex(context.trace_id[0]) + to_hex(context.trace_id[1]) + "-" +
           to_hex(context.span_id) + (context.is_sampled ? "-01" : "-00");
}

}  // namespace tanagerpaddle
