#include <algorithm>
#include <charconv>
#include <set>
#include <type_traits>

#include "config_internal.hpp"

namespace tanagerpaddle::config_detail {

namespace {

template <class Enum>
struct enum_names;
template <>
struct enum_names<request_priority> {
    static constexpr std::array<std::string_view, 3> values{"background", "standard",
                                                            "interactive"};
};
template <>
struct enum_names<duplicate_scope> {
    static constexpr std::array<std::string_view, 2> values{"everywhere", "entry"};
};
template <>
struct enum_names<job_kind> {
    static constexpr std::array<std::string_view, 2> values{"batch", "hold"};
};
template <>
struct enum_names<job_priority> {
    static constexpr std::array<std::string_view, 2> values{"normal", "urgent"};
};

template <class T>
concept declaration_type = requires(const T& item) {
    fields_of(item);
};

template <class T>
struct is_vector : std::false_type {};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {};

// -- reading

const std::string& scalar(const position& where, const YAML::Node& node,
                          const std::string& allowed) {
    if (!node.IsScalar()) {
        reject(where, node, allowed);
    }
    return node.Scalar();
}

template <class Number>
requires std::is_integral_v<Number>
void read_value(const position& where, const YAML::Node& node, Number& value) {
    const std::string allowed = "a whole number from " +
                                std::to_string(std::numeric_limits<Number>::min()) + " to " +
                                std::to_string(std::numeric_limits<Number>::max());
    const std::string& text = scalar(where, node, allowed);
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc() || end != text.data() + text.size()) {
        reject(where, node, allowed);
    }
}

void read_value(const position& where, const YAML::Node& node, bool& value) {
    const std::string& text = scalar(where, node, "true or false");
    if (text != "true" && text != "false") {
        reject(where, node, "true or false");
    }
    value = text == "true";
}

void read_value(const position& where, const YAML::Node& node, std::string& value) {
    value = scalar(where, node, "text");
}

template <class Enum>
requires std::is_enum_v<Enum>
void read_value(const position& where, const YAML::Node& node, Enum& value) {
    std::string allowed;
    for (const std::string_view choice : enum_names<Enum>::values) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(choice);
    }
    const std::string& text = scalar(where, node, allowed);
    const auto& values = enum_names<Enum>::values;
    const auto found = std::find(values.begin(), values.end(), text);
    if (found == values.end()) {
        reject(where, node, allowed);
    }
    value = static_cast<Enum>(found - values.begin());
}

template <class Tag>
void read_value(const position& where, const YAML::Node& node, strong_id<Tag>& value) {
    value = strong_id<Tag>(scalar(where, node, "an id"));
}

template <class Tag, class Rep>
void read_value(const position& where, const YAML::Node& node, strong_number<Tag, Rep>& value) {
    Rep number{};
    read_value(where, node, number);
    value = strong_number<Tag, Rep>(number);
}

void read_value(const position& where, const YAML::Node& node, milliseconds& value) {
    milliseconds::rep number{};
    read_value(where, node, number);
    value = milliseconds(number);
}

void read_value(const position& where, const YAML::Node& node, utc_millis& value) {
    const std::string allowed = "a UTC time such as 2026-12-05T05:30:00Z";
    const auto time = parse_rfc3339(scalar(where, node, allowed));
    if (!time) {
        reject(where, node, allowed);
    }
    value = *time;
}

template <declaration_type Owner>
void read_value(const position& where, const YAML::Node& node, Owner& value) {
    if (!node.IsMap()) {
        reject(where, node, "a map of keys");
    }
    const auto rows = fields_of(value);
    std::set<std::string_view> seen;
    for (const auto& item : node) {
        const std::string key = item.first.IsScalar() ? item.first.Scalar() : "(not text)";
        const auto row = std::find_if(rows.begin(), rows.end(),
                                      [&](const auto& field) { return field.key == key; });
        const position inner{where.source, where.path + (where.path.empty() ? "" : ".") + key};
        if (row == rows.end()) {
            std::string allowed;
            for (const auto& field : rows) {
                allowed += (allowed.empty() ? "one of the keys " : ", ") + std::string(field.key);
            }
            reject(inner, item.first, allowed);
        }
        if (!seen.insert(row->key).second) {
            reject(inner, item.first, "each key once");
        }
        row->read(inner, item.second, value);
    }
    for (const auto& row : rows) {
        if (row.is_required && !seen.contains(row.key)) {
            reject(where, node, "a map with the key " + std::string(row.key));
        }
    }
}

template <class Item>
void read_value(const position& where, const YAML::Node& node, std::vector<Item>& value) {
    if (node.IsNull()) {
        return;
    }
    if (!node.IsSequence()) {
        reject(where, node, "a list");
    }
    for (const auto& item : node) {
        const position inner{where.source, where.path + "[" + std::to_string(value.size()) + "]"};
        read_value(inner, item, value.emplace_back());
    }
}

// -- writing

void write_value(YAML::Emitter& out, const std::string& value) {
    out << YAML::DoubleQuoted << value;
}
void write_value(YAML::Emitter& out, bool value) {
    out << (value ? "true" : "false");
}
template <class Number>
requires std::is_integral_v<Number>
void write_value(YAML::Emitter& out, Number value) {
    out << std::to_string(value);
}
template <class Enum>
requires std::is_enum_v<Enum>
void write_value(YAML::Emitter& out, Enum value) {
    const auto index = static_cast<std::size_t>(value);
    check_invariant(index < enum_names<Enum>::values.size(),
                    "enumerator " + std::to_string(index) + " of a declaration has a name");
    out << std::string(enum_names<Enum>::values[index]);
}
template <class Tag>
void write_value(YAML::Emitter& out, const strong_id<Tag>& value) {
    write_value(out, value.value());
}
template <class Tag, class Rep>
void write_value(YAML::Emitter& out, const strong_number<Tag, Rep>& value) {
    write_value(out, value.value());
}
void write_value(YAML::Emitter& out, milliseconds value) {
    write_value(out, value.count());
}
void write_value(YAML::Emitter& out, utc_millis value) {
    write_value(out, to_rfc3339(value));
}
template <declaration_type Owner>
void write_value(YAML::Emitter& out, const Owner& value) {
    if constexpr (std::is_same_v<Owner, resources>) {
        out << YAML::Flow;
    }
    out << YAML::BeginMap;
    for (const auto& row : fields_of(value)) {
        out << YAML::Key << std::string(row.key) << YAML::Value;
        row.write(out, value);
    }
    out << YAML::EndMap;
}
template <class Item>
void write_value(YAML::Emitter& out, const std::vector<Item>& value) {
    if (value.empty()) {
        out << YAML::Flow;
    }
    out << YAML::BeginSeq;
    for (const auto& item : value) {
        write_value(out, item);
    }
    out << YAML::EndSeq;
}

// -- tables

template <class Owner, class Member>
Owner owner_type(Member Owner::*);

// The row of the member; its type decides how it is read and written.
template <auto Member>
constexpr auto field(std::string_view key, bool is_required = false) {
    using owner = decltype(owner_type(Member));
    using type = std::remove_cvref_t<decltype(std::declval<owner&>().*Member)>;
    return field_row<owner>{
        key,
        is_required,
        [](const position& where, const YAML::Node& node, owner& item) {
            read_value(where, node, item.*Member);
        },
        [](YAML::Emitter& out, const owner& item) { write_value(out, item.*Member); },
        [](const owner& a, const owner& b) { return a.*Member == b.*Member; },
        is_vector<type>::value};
}

}  // namespace

std::span<const field_row<resources>> fields_of(const resources&) {
    static constexpr std::array rows{
        field<&resources::processors>("processors_millicores"),
        field<&resources::memory>("memory_mib"),
        field<&resources::accelerators>("accelerators"),
    };
    return rows;
}

std::span<const field_row<failure_domain_declaration>> fields_of(
    const failure_domain_declaration&) {
    static constexpr std::array rows{
        field<&failure_domain_declaration::id>("id", true),
        field<&failure_domain_declaration::region>("region"),
    };
    return rows;
}

std::span<const field_row<team_declaration>> fields_of(const team_declaration&) {
    static constexpr std::array rows{
        field<&team_declaration::id>("id", true),
        field<&team_declaration::quota>("quota"),
        field<&team_declaration::can_borrow>("can_borrow"),
    };
    return rows;
}

std::span<const field_row<method_declaration>> fields_of(const method_declaration&) {
    static constexpr std::array rows{
        field<&method_declaration::id>("id", true),
        field<&method_declaration::is_idempotent>("is_idempotent"),
        field<&method_declaration::priority>("priority"),
        field<&method_declaration::duplicates>("duplicates"),
    };
    return rows;
}

std::span<const field_row<service_declaration>> fields_of(const service_declaration&) {
    static constexpr std::array rows{
        field<&service_declaration::id>("id", true),
        field<&service_declaration::team>("team"),
        field<&service_declaration::slots>("slots"),
        field<&service_declaration::connections>("connections"),
        field<&service_declaration::reserved>("reserved"),
        field<&service_declaration::max_body_bytes>("max_body_bytes"),
        field<&service_declaration::methods>("methods"),
    };
    return rows;
}

std::span<const field_row<job_declaration>> fields_of(const job_declaration&) {
    static constexpr std::array rows{
        field<&job_declaration::id>("id", true),
        field<&job_declaration::team>("team"),
        field<&job_declaration::kind>("kind"),
        field<&job_declaration::priority>("priority"),
        field<&job_declaration::task_count>("task_count"),
        field<&job_declaration::demand>("demand"),
        field<&job_declaration::run_time>("run_time_ms"),
        field<&job_declaration::complete_by>("complete_by"),
        field<&job_declaration::is_idempotent>("is_idempotent"),
        field<&job_declaration::can_checkpoint>("can_checkpoint"),
        field<&job_declaration::command>("command"),
    };
    return rows;
}

std::span<const field_row<configuration>> fields_of(const configuration&) {
    static constexpr std::array rows{
        field<&configuration::failure_domains>("failure_domains"),
        field<&configuration::teams>("teams"),
        field<&configuration::services>("services"),
        field<&configuration::jobs>("jobs"),
        field<&configuration::drains>("drains"),
    };
    return rows;
}

void read_configuration(const position& where, const YAML::Node& node, configuration& declared) {
    read_value(where, node, declared);
}

void write_configuration(YAML::Emitter& out, const configuration& declared) {
    write_value(out, declared);
}

}  // namespace tanagerpaddle::config_detail
