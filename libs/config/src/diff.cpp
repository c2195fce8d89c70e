#include <map>
#include <set>

#include "config_internal.hpp"

namespace tanagerpaddle {

using namespace config_detail;

std::string_view name(change_kind kind) noexcept {
    switch (kind) {
        case change_kind::added:
            return "added";
        case change_kind::removed:
            return "removed";
        case change_kind::changed:
            break;
    }
    return "changed";
}

namespace {

template <class Owner>
std::string value_text(const field_row<Owner>& row, const Owner& item) {
    YAML::Emitter out;
    out.SetSeqFormat(YAML::Flow);
    out.SetMapFormat(YAML::Flow);
    row.write(out, item);
    std::string text(out.c_str(), out.size());
    // The emitter breaks long flow maps into lines.
    for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', end)) {
        const auto next = text.find_first_not_of(" \n", end);
        text.replace(end, (next == std::string::npos ? text.size() : next) - end, " ");
    }
    constexpr std::size_t max_text_bytes = 120;
    return text.size() <= max_text_bytes ? text : text.substr(0, max_text_bytes) + "...";
}

class comparison {
public:
    template <class Declaration>
    void compare(const std::string& path, const std::vector<Declaration>& from,
                 const std::vector<Declaration>& to) {
        std::map<std::string, const Declaration*> old_items;
        for (const auto& item : from) {
            old_items.emplace(item.id.value(), &item);
        }
        std::set<std::string> kept;
        for (const auto& item : to) {
            const std::string& id = item.id.value();
            const std::string item_path = std::string(path).append("[").append(id).append("]");
            const auto old_item = old_items.find(id);
            if (old_item == old_items.end()) {
                add(change_kind::added, item_path, "");
            } else {
                kept.insert(id);
                compare_fields(item_path, *old_item->second, item);
            }
        }
        for (const auto& item : from) {
            if (!kept.contains(item.id.value())) {
                add(change_kind::removed, path + "[" + item.id.value() + "]", "");
            }
        }
    }

    void compare_drains(const std::vector<failure_domain_id>& from,
                        const std::vector<failure_domain_id>& to) {
        const std::set<failure_domain_id> old_ids(from.begin(), from.end());
        const std::set<failure_domain_id> new_ids(to.begin(), to.end());
        for (const auto& id : new_ids) {
            if (!old_ids.contains(id)) {
                add(change_kind::added, "drains[" + id.value() + "]", "");
            }
        }
        for (const auto& id : old_ids) {
            if (!new_ids.contains(id)) {
                add(change_kind::removed, "drains[" + id.value() + "]", "");
            }
        }
    }

    [[nodiscard]] std::vector<configuration_change> take() { return std::move(changes_); }

private:
    template <class Declaration>
    void compare_fields(const std::string& path, const Declaration& from, const Declaration& to) {
        std::string details;
        for (const auto& row : fields_of(from)) {
            if (!row.is_list && !row.equal(from, to)) {
                details += (details.empty() ? "" : ", ") + std::string(row.key) + " " +
                           value_text(row, from) + " -> " + value_text(row, to);
            }
        }
        if (!details.empty()) {
            add(change_kind::changed, path, details);
        }
        if constexpr (std::is_same_v<Declaration, service_declaration>) {
            compare(path + ".methods", from.methods, to.methods);
        }
    }

    void add(change_kind kind, const std::string& path, const std::string& details) {
        std::string text = std::string(name(kind)) + " " + path;
        if (!details.empty()) {
            text += ": " + details;
        }
        changes_.push_back({kind, path, std::move(text)});
    }

    std::vector<configuration_change> changes_;
};

}  // namespace

std::vector<configuration_change> diff(const configuration& from, const configuration& to) {
    comparison result;
    result.compare("failure_domains", from.failure_domains, to.failure_domains);
    result.compare("teams", from.teams, to.teams);
    result.compare("services", from.services, to.services);
    result.compare("jobs", from.jobs, to.jobs);
    result.compare_drains(from.drains, to.drains);
    return result.take();
}

}  // namespace tanagerpaddle
