#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

#include "settings_internal.hpp"

namespace tanagerpaddle {

using namespace settings_detail;

namespace {

// Far above any real settings file; bounds the time and memory of parsing.
constexpr std::size_t max_settings_bytes = 262'144;
constexpr std::size_t max_settings_depth = 8;
constexpr std::size_t max_problems = 100;

struct loader {
    settings values;
    std::string source;
    std::vector<setting_problem> problems;
    // Where each key was set: source and line.
    std::map<std::string, std::pair<std::string, int>, std::less<>> origins;

    void report(int line, const std::string& key, const std::string& value,
                const std::string& allowed) {
        if (problems.size() < max_problems) {
            problems.push_back({source, line, key, value.substr(0, max_name_bytes), allowed});
        }
    }
};

std::string unknown_key_text(const std::string& key) {
    return "a known key; the nearest is " + std::string(nearest_key(key));
}

bool is_group(std::string_view key) {
    const std::string prefix = std::string(key) + ".";
    return std::any_of(setting_table().begin(), setting_table().end(),
                       [&](const auto& row) { return row.key.starts_with(prefix); });
}

void take_value(loader& state, const setting_descriptor& row, const YAML::Node& node) {
    const std::string key(row.key);
    const int line = node.Mark().line + 1;
    const bool is_list = row.type == setting_type::address_list;
    if (is_list ? !node.IsSequence() : !node.IsScalar()) {
        const char* kind = node.IsMap() ? "(map)" : node.IsSequence() ? "(list)" : "(no value)";
        state.report(line, key, node.IsScalar() ? node.Scalar() : kind, allowed_text(row));
        return;
    }
    std::optional<setting_value> value;
    std::string shown;
    if (is_list) {
        std::vector<std::string> items;
        for (const auto& item : node) {
            items.push_back(item.IsScalar() ? item.Scalar() : "");
            shown += (shown.empty() ? "" : ", ") + items.back();
        }
        if (auto addresses = parse_addresses(items)) {
            value = std::move(*addresses);
        }
    } else {
        shown = node.Scalar();
        value = parse_value(row, shown);
    }
    if (!value) {
        state.report(line, key, shown, allowed_text(row));
        return;
    }
    row.assign(state.values, *value);
}

void take_node(loader& state, const std::string& prefix, const YAML::Node& node,
               std::size_t depth) {
    for (const auto& item : node) {
        const int line = item.first.Mark().line + 1;
        if (!item.first.IsScalar()) {
            state.report(line, prefix, "(key that is not text)", "a known key");
            continue;
        }
        const std::string key =
            prefix.empty() ? item.first.Scalar() : prefix + "." + item.first.Scalar();
        if (state.origins.contains(key)) {
            state.report(line, key, "(repeated key)", "each key once");
            continue;
        }
        state.origins.emplace(key, std::pair(state.source, line));
        if (const auto* row = find_setting(key)) {
            take_value(state, *row, item.second);
        } else if (depth < max_settings_depth && is_group(key)) {
            if (item.second.IsMap()) {
                take_node(state, key, item.second, depth + 1);
            } else if (!item.second.IsNull()) {
                state.report(line, key, "(not a map)", "a map of keys");
            }
        } else {
            state.report(line, key, item.second.IsScalar() ? item.second.Scalar() : "(no scalar)",
                         unknown_key_text(key));
        }
    }
}

void take_document(loader& state, std::string_view text) {
    if (text.size() > max_settings_bytes) {
        state.report(0, "", std::to_string(text.size()) + " bytes",
                     "at most " + std::to_string(max_settings_bytes) + " bytes");
        return;
    }
    // Flow collections of YAML nest without indentation; settings need few of them.
    const auto brackets =
        std::count_if(text.begin(), text.end(), [](char c) { return c == '[' || c == '{'; });
    if (brackets > 1'000) {
        state.report(0, "", std::to_string(brackets) + " brackets", "at most 1000 brackets");
        return;
    }
    try {
        const auto documents = YAML::LoadAll(std::string(text));
        const YAML::Node root = documents.empty() ? YAML::Node() : documents.front();
        if (documents.size() > 1) {
            state.report(0, "", std::to_string(documents.size()) + " documents", "one document");
        } else if (root.IsMap()) {
            take_node(state, "", root, 0);
        } else if (!root.IsNull()) {
            state.report(1, "", "(not a map)", "a map of keys");
        }
    } catch (const YAML::Exception& e) {
        state.report(e.mark.line + 1, "", e.msg, "valid YAML");
    }
}

// Returns the key that was set, or an empty text after reporting a problem.
void take_override(loader& state, const std::string& assignment) {
    state.source = "override";
    const auto equals = assignment.find('=');
    const std::string key = assignment.substr(0, equals);
    const auto* row = find_setting(key);
    if (equals == std::string::npos) {
        state.report(0, key, "(no value)", "key=value");
    } else if (row == nullptr) {
        state.report(0, key, assignment.substr(equals + 1), unknown_key_text(key));
    } else if (const auto value = parse_value(*row, assignment.substr(equals + 1)); !value) {
        state.report(0, key, assignment.substr(equals + 1), allowed_text(*row));
    } else {
        row->assign(state.values, *value);
        state.origins[key] = {state.source, 0};
    }
}

// Keys that the role does not read are errors, since setting them has no effect.
void check_scopes(loader& state) {
    for (const auto& [key, origin] : state.origins) {
        const auto* row = find_setting(key);
        if (row != nullptr && !applies_to(*row, state.values.role)) {
            state.source = origin.first;
            state.report(origin.second, key, yaml_text(*row, row->read(state.values)),
                         "no value with role " + std::string(name(state.values.role)));
        }
    }
}

settings finish(loader& state, const std::string& file) {
    check_scopes(state);
    if (state.problems.empty()) {
        for (auto& problem : find_conflicts(state.values)) {
            const auto origin = state.origins.find(problem.key);
            problem.source = origin == state.origins.end() ? file : origin->second.first;
            problem.line = origin == state.origins.end() ? 0 : origin->second.second;
            state.problems.push_back(std::move(problem));
        }
    }
    if (!state.problems.empty()) {
        throw settings_error(std::move(state.problems));
    }
    return state.values;
}

}  // namespace

settings parse_settings(std::string_view text, const std::string& source_name,
                        const std::vector<std::string>& overrides) {
    loader state{default_settings(process_role::entry), source_name, {}, {}};
    take_document(state, text);
    for (const auto& assignment : overrides) {
        take_override(state, assignment);
    }
    return finish(state, source_name);
}

settings load_settings(const std::string& path, const std::vector<std::string>& overrides) {
    std::ifstream file(path, std::ios::binary);
    std::string text(max_settings_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.gcount() == 0 && (!file.is_open() || file.bad() || !file.eof())) {
        throw settings_error({{path, 0, "", "(cannot be read)", "a readable file"}});
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parse_settings(text, path, overrides);
}

void apply_override(settings& values, const std::string& assignment) {
    loader state{values, "override", {}, {}};
    take_override(state, assignment);
    values = finish(state, "override");
}

std::vector<std::string> environment_overrides(const char* const* environment) {
    constexpr std::string_view prefix = "TANAGERPADDLE_";
    std::vector<std::string> overrides;
    for (; environment != nullptr && *environment != nullptr; ++environment) {
        const std::string_view variable = *environment;
        const auto equals = variable.find('=');
        if (!variable.starts_with(prefix) || equals == std::string_view::npos) {
            continue;
        }
        for (const auto& row : setting_table()) {
            std::string upper(row.key);
            std::transform(upper.begin(), upper.end(), upper.begin(), [](char c) {
                return c == '.' ? '_' : c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c;
            });
            if (variable.substr(prefix.size(), equals - prefix.size()) == upper) {
                overrides.push_back(std::string(row.key) + std::string(variable.substr(equals)));
            }
        }
    }
    return overrides;
}

std::string read_key_file(const std::string& path) {
    constexpr std::size_t min_key_bytes = 16;
    constexpr std::size_t max_key_bytes = 512;
    std::ifstream file(path, std::ios::binary);
    std::string text(max_key_bytes + 3, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    const bool is_printable =
        std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
    if (text.size() < min_key_bytes || text.size() > max_key_bytes || !is_printable) {
        throw error(result_code::invalid_settings,
                    "key file " + path +
                        " must hold one line of 16 to 512 printable characters without spaces");
    }
    return text;
}

}  // namespace tanagerpaddle
