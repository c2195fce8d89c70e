#include <algorithm>
#include <numeric>

#include "settings_internal.hpp"

namespace tanagerpaddle {

namespace settings_detail {

const setting_descriptor* find_setting(std::string_view key) noexcept {
    const auto rows = setting_table();
    const auto found =
        std::find_if(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

namespace {

std::size_t edit_distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t k = 1; k <= b.size(); ++k) {
            const std::size_t substituted = diagonal + (a[i - 1] == b[k - 1] ? 0 : 1);
            diagonal = row[k];
            row[k] = std::min({row[k] + 1, row[k - 1] + 1, substituted});
        }
    }
    return row.back();
}

}  // namespace

std::string_view nearest_key(std::string_view key) {
    // Bounds the work for hostile keys; no known key is that long.
    key = key.substr(0, max_name_bytes);
    std::string_view nearest;
    std::size_t least = std::string_view::npos;
    for (const auto& row : setting_table()) {
        const std::size_t distance = edit_distance(key, row.key);
        if (distance < least) {
            least = distance;
            nearest = row.key;
        }
    }
    return nearest;
}

bool applies_to(const setting_descriptor& row, process_role role) noexcept {
    return row.scope == setting_scope::both ||
           (row.scope == setting_scope::entry) == (role == process_role::entry);
}

}  // namespace settings_detail

using namespace settings_detail;

std::string to_string(const setting_problem& problem) {
    std::string text = problem.source;
    if (problem.line > 0) {
        text += ":" + std::to_string(problem.line);
    }
    if (!problem.key.empty()) {
        text += ": " + problem.key;
    }
    return text + ": " + problem.value + " is not allowed; allowed: " + problem.allowed;
}

namespace {

std::string join_problems(const std::vector<setting_problem>& problems) {
    std::string text = "invalid settings";
    for (const auto& problem : problems) {
        text += "\n" + to_string(problem);
    }
    return text;
}

std::string default_text(const setting_descriptor& row, process_role role) {
    if (row.key == "role") {
        return std::string(name(role));
    }
    const auto value = parse_value(row, std::string(row.default_text));
    check_invariant(value.has_value(), "the default of " + std::string(row.key) + " is allowed");
    return yaml_text(row, *value);
}

std::vector<std::string_view> key_parts(std::string_view key) {
    std::vector<std::string_view> parts;
    for (auto dot = key.find('.'); dot != std::string_view::npos; dot = key.find('.')) {
        parts.push_back(key.substr(0, dot));
        key.remove_prefix(dot + 1);
    }
    parts.push_back(key);
    return parts;
}

}  // namespace

settings_error::settings_error(std::vector<setting_problem> problems)
    : error(result_code::invalid_settings, join_problems(problems)),
      problems_(std::move(problems)) {}

settings default_settings(process_role role) {
    settings values;
    for (const auto& row : setting_table()) {
        const auto value = parse_value(row, std::string(row.default_text));
        check_invariant(value.has_value(),
                        "the default of " + std::string(row.key) + " is allowed");
        row.assign(values, *value);
    }
    values.role = role;
    return values;
}

std::string print_default_settings(process_role role) {
    std::string text = "# Settings of tanagerpaddled with role " + std::string(name(role)) +
                       ". All values are the defaults.\n";
    std::vector<std::string_view> open;
    for (const auto& row : setting_table()) {
        if (!applies_to(row, role)) {
            continue;
        }
        const auto parts = key_parts(row.key);
        std::size_t shared = 0;
        while (shared < open.size() && shared + 1 < parts.size() && open[shared] == parts[shared]) {
            ++shared;
        }
        open.assign(parts.begin(), parts.end() - 1);
        for (std::size_t i = shared; i < open.size(); ++i) {
            text += std::string(2 * i, ' ') + std::string(open[i]) + ":\n";
        }
        const std::string indent(2 * open.size(), ' ');
        text += indent + "# " + std::string(row.description) + " Allowed: " + allowed_text(row) +
                (row.is_reloadable ? "; reloadable" : "") + ".\n";
        text += indent + std::string(parts.back()) + ": " + default_text(row, role) + "\n";
    }
    return text;
}

std::string markdown_reference() {
    std::string text =
        "# Settings\n\n"
        "The daemon reads one YAML file. Dots in a key stand for nested maps. Every key has a\n"
        "default; unknown keys, keys of the other role, values out of range and keys that\n"
        "contradict each other are errors, and all of them are reported at once. A key is\n"
        "overridden by `--set key=value` or by an environment variable named\n"
        "`TANAGERPADDLE_` plus the key in upper case with `_` for each dot. Reloadable keys take\n"
        "effect on SIGHUP; the others need a restart.\n\n"
        "| key | role | default | allowed | reload | meaning |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& row : setting_table()) {
        const std::string_view role = row.scope == setting_scope::both    ? "both"
                                      : row.scope == setting_scope::entry ? "entry"
                                                                          : "agent";
        text += "| `" + std::string(row.key) + "` | " + std::string(role) + " | `" +
                default_text(row, process_role::entry) + "` | " + allowed_text(row) + " | " +
                (row.is_reloadable ? "yes" : "no") + " | " + std::string(row.description) + " |\n";
    }
    return text;
}

std::vector<std::string_view> changed_keys(const settings& from, const settings& to) {
    std::vector<std::string_view> keys;
    for (const auto& row : setting_table()) {
        if (row.read(from) != row.read(to)) {
            keys.push_back(row.key);
        }
    }
    return keys;
}

settings reload_settings(const settings& current, const settings& loaded,
                         std::vector<std::string_view>& ignored) {
    settings result = current;
    for (const std::string_view key : changed_keys(current, loaded)) {
        const auto* row = find_setting(key);
        if (row->is_reloadable) {
            row->assign(result, row->read(loaded));
        } else {
            ignored.push_back(key);
        }
    }
    // A reloaded value may contradict one that needs a restart.
    if (auto problems = find_conflicts(result); !problems.empty()) {
        for (auto& problem : problems) {
            problem.source = "reload";
        }
        throw settings_error(std::move(problems));
    }
    return result;
}

}  // namespace tanagerpaddle
