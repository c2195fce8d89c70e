#include "tanagerpaddle/json_input.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace tanagerpaddle::json_input {

namespace {

constexpr std::string_view unusable = "{}";
constexpr std::string_view number_characters = "+-.0123456789Ee";

// Length of the string that `text` begins with, with its quotes.
std::size_t string_length(std::string_view text) {
    for (std::size_t i = 1; i < text.size(); ++i) {
        if (text[i] == '\\') {
            ++i;
        } else if (text[i] == '"') {
            return i + 1;
        }
    }
    return text.size();
}

std::size_t number_length(std::string_view text) {
    return std::min(text.find_first_not_of(number_characters), text.size());
}

bool is_beyond_double(std::string_view number) {
    double value = 0;
    const auto [end, failure] =
        std::from_chars(number.data(), number.data() + number.size(), value);
    return failure == std::errc::result_out_of_range;
}

// Length of the list or object that `text` begins with.
std::size_t container_length(std::string_view text) {
    std::size_t depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            i += string_length(text.substr(i)) - 1;
        } else if (c == '[' || c == '{') {
            ++depth;
        } else if ((c == ']' || c == '}') && --depth == 0) {
            return i + 1;
        }
    }
    return text.size();
}

// The text with all that cannot be read replaced by `unusable`.
std::string filter(std::string_view text) {
    std::string out;
    int depth = 0;
    while (!text.empty()) {
        const char c = text.front();
        std::size_t length = 1;
        bool is_usable = true;
        if (c == '"') {
            length = string_length(text);
        } else if (c == '[' || c == '{') {
            is_usable = depth < max_depth;
            depth += is_usable ? 1 : 0;
            length = is_usable ? 1 : container_length(text);
        } else if (c == ']' || c == '}') {
            --depth;
        } else if (c == '-' || (c >= '0' && c <= '9')) {
            length = number_length(text);
            is_usable = !is_beyond_double(text.substr(0, length));
        }
        out += is_usable ? text.substr(0, length) : unusable;
        text.remove_prefix(length);
    }
    return out;
}

bool exceeds_depth(std::string_view text) {
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            i += string_length(text.substr(i)) - 1;
        } else if (c == '[' || c == '{') {
            if (++depth > max_depth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

}  // namespace

json parse(std::string_view text) {
    if (exceeds_depth(text)) {
        return json::parse(filter(text));
    }
    try {
        return json::parse(text);
    } catch (const json::out_of_range&) {
        return json::parse(filter(text));
    }
}

void refuse_number(const json& in) {
    if (!in.is_number()) {
        (void)in.get<std::int64_t>();  // throws the exception for a value of this type
    }
    throw error(result_code::malformed_request, "number out of range: " + in.dump());
}

int percent(const json& in) {
    return std::clamp(rounded_number<int>(in), 0, 100);
}

std::int64_t measurement(const json& in) {
    return std::clamp<std::int64_t>(rounded_number<std::int64_t>(in), 0, max_measurement);
}

double factor(const json& in) {
    constexpr double max_factor = 1'000;
    const double value = in.is_number() ? in.get<double>() : -1;
    if (!(value >= 0 && value <= max_factor)) {
        refuse_number(in);
    }
    return value;
}

const json& list(const json& in) {
    if (!in.is_array()) {
        throw error(result_code::malformed_request, std::string("no list but ") + in.type_name());
    }
    return in;
}

const json& list_or_empty(const json& in, const char* key) {
    static const json empty = json::array();
    const auto found = object(in).find(key);
    return found == in.end() ? empty : list(*found);
}

const json& object(const json& in) {
    if (!in.is_object()) {
        throw error(result_code::malformed_request, std::string("no object but ") + in.type_name());
    }
    return in;
}

}  // namespace tanagerpaddle::json_input
