#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "config_internal.hpp"

namespace tanagerpaddle {

namespace config_detail {

namespace {

// The length of a well-formed UTF-8 sequence at the start of `text`, which is not empty, or 0.
std::size_t sequence_length(std::string_view text) noexcept {
    const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const std::size_t length = byte(0) < 0x80   ? 1
                               : byte(0) < 0xc2 ? 0
                               : byte(0) < 0xe0 ? 2
                               : byte(0) < 0xf0 ? 3
                               : byte(0) < 0xf5 ? 4
                                                : 0;
    if (length == 0 || text.size() < length) {
        return 0;
    }
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xc0U) != 0x80) {
            return 0;
        }
    }
    // Overlong forms, surrogates and values above U+10FFFF.
    const bool is_invalid =
        (byte(0) == 0xe0 && byte(1) < 0xa0) || (byte(0) == 0xed && byte(1) > 0x9f) ||
        (byte(0) == 0xf0 && byte(1) < 0x90) || (byte(0) == 0xf4 && byte(1) > 0x8f);
    return is_invalid ? 0 : length;
}

}  // namespace

bool is_plain_text(std::string_view text) noexcept {
    while (!text.empty()) {
        const auto first = static_cast<unsigned char>(text.front());
        const bool is_control = (first < 0x20 && first != '\t' && first != '\n') || first == 0x7f;
        const std::size_t length = sequence_length(text);
        // U+0080 to U+009F are control characters as well.
        const bool is_high_control =
            length == 2 && first == 0xc2 && static_cast<unsigned char>(text[1]) < 0xa0;
        if (length == 0 || is_control || is_high_control) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

}  // namespace config_detail

namespace {

namespace limits = configuration_limits;

constexpr std::size_t max_problems = 100;
constexpr std::size_t max_shown_bytes = 80;

bool is_id(std::string_view text) {
    constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    // A leading letter or digit keeps "." and ".." out of keys and paths.
    return !text.empty() && text.size() <= limits::id_bytes && text[0] != '.' && text[0] != '_' &&
           text[0] != '-' && text.find_first_not_of(letters) == std::string_view::npos;
}

std::string shown(std::string_view text) {
    std::string result(text.substr(0, max_shown_bytes));
    std::replace_if(
        result.begin(), result.end(), [](unsigned char c) { return c < 0x20 || c >= 0x7f; }, '?');
    return "'" + result + (text.size() > max_shown_bytes ? "...'" : "'");
}

class validator {
public:
    explicit validator(const configuration& declared) : declared_(declared) {}

    std::vector<configuration_problem> run() {
        check_list("failure_domains", declared_.failure_domains, limits::failure_domains);
        check_list("teams", declared_.teams, limits::teams);
        check_list("services", declared_.services, limits::services);
        check_list("jobs", declared_.jobs, limits::jobs);
        check_drains();
        return std::move(problems_);
    }

private:
    void report(bool is_allowed, const std::string& path, const std::string& value,
                const std::string& allowed) {
        if (!is_allowed && problems_.size() < max_problems) {
            problems_.push_back({path, value, allowed});
        }
    }

    template <class Number>
    void check_range(const std::string& path, Number value, Number minimum, Number maximum) {
        report(value >= minimum && value <= maximum, path, std::to_string(value),
               std::to_string(minimum) + " to " + std::to_string(maximum));
    }

    void check_id(const std::string& path, const std::string& id) {
        report(is_id(id), path, shown(id),
               "1 to 128 characters of A-Z a-z 0-9 . _ -, the first a letter or digit");
    }

    // Ids, duplicates, the length of the list and each declaration.
    template <class Declaration>
    void check_list(const std::string& path, const std::vector<Declaration>& items,
                    std::size_t maximum) {
        report(items.size() <= maximum, path, std::to_string(items.size()) + " items",
               "at most " + std::to_string(maximum) + " items");
        std::unordered_set<std::string> ids;
        for (std::size_t i = 0; i < items.size() && problems_.size() < max_problems; ++i) {
            const std::string& id = items[i].id.value();
            const std::string item_path = path + "[" + (is_id(id) ? id : std::to_string(i)) + "]";
            check_id(item_path + ".id", id);
            report(ids.insert(id).second, item_path + ".id", shown(id),
                   "an id that no other item of the list has");
            check(item_path, items[i]);
        }
    }

    void check_amount(const std::string& path, const resources& amount) {
        check_range(path + ".processors_millicores", amount.processors.value(), std::int64_t{0},
                    limits::amount);
        check_range(path + ".memory_mib", amount.memory.value(), std::int64_t{0}, limits::amount);
        check_range(path + ".accelerators", amount.accelerators.value(), std::int64_t{0},
                    limits::amount);
    }

    void check_team(const std::string& path, const team_id& team) {
        report(find_team(team) != nullptr, path, shown(team.value()), "the id of a declared team");
    }

    void check(const std::string& path, const failure_domain_declaration& domain) {
        check_id(path + ".region", domain.region.value());
    }

    void check(const std::string& path, const team_declaration& team) {
        check_amount(path + ".quota", team.quota);
    }

    void check(const std::string&, const method_declaration&) {}

    void check(const std::string& path, const service_declaration& service) {
        check_team(path + ".team", service.team);
        check_range(path + ".slots", service.slots, 1U, limits::slots);
        check_range(path + ".connections", service.connections, 1U, limits::connections);
        report(service.connections >= service.slots, path + ".connections",
               std::to_string(service.connections),
               "at least the slots (" + std::to_string(service.slots) + ")");
        check_range(path + ".max_body_bytes", service.max_body_bytes, std::uint64_t{1},
                    limits::body_bytes);
        check_amount(path + ".reserved", service.reserved);
        report(!service.methods.empty(), path + ".methods", "0 items", "at least 1 item");
        check_list(path + ".methods", service.methods, limits::methods);
    }

    void check(const std::string& path, const job_declaration& job) {
        check_team(path + ".team", job.team);
        check_range(path + ".task_count", job.task_count, 1U, limits::tasks_per_job);
        check_amount(path + ".demand", job.demand);
        // Any number of tasks without demand would fit on one worker.
        report(job.demand != resources{}, path + ".demand", to_string(job.demand),
               "more than nothing of at least one resource");
        const team_declaration* team = find_team(job.team);
        report(team == nullptr || job.demand.fits_in(team->quota), path + ".demand",
               to_string(job.demand),
               team == nullptr ? "" : "at most the team's quota " + to_string(team->quota));
        check_range(path + ".run_time_ms", std::int64_t{job.run_time.count()}, std::int64_t{1},
                    std::int64_t{limits::run_time.count()});
        report(parse_rfc3339(to_rfc3339(job.complete_by)) == job.complete_by &&
                   job.complete_by.value() > 0,
               path + ".complete_by", std::to_string(job.complete_by.value()) + " ms",
               "a UTC time after 1970 and before 10000");
        report(job.command.size() <= limits::command_bytes, path + ".command",
               std::to_string(job.command.size()) + " bytes",
               "at most " + std::to_string(limits::command_bytes) + " bytes");
        report(config_detail::is_plain_text(job.command), path + ".command", shown(job.command),
               "UTF-8 text without control characters other than tab and line feed");
    }

    void check_drains() {
        std::unordered_set<std::string> known;
        for (const auto& domain : declared_.failure_domains) {
            known.insert(domain.id.value());
        }
        std::unordered_set<std::string> drained;
        for (std::size_t i = 0; i < declared_.drains.size(); ++i) {
            const std::string& id = declared_.drains[i].value();
            const std::string path = "drains[" + std::to_string(i) + "]";
            report(known.contains(id), path, shown(id), "the id of a declared failure domain");
            report(drained.insert(id).second, path, shown(id), "each failure domain once");
        }
    }

    const team_declaration* find_team(const team_id& id) {
        if (teams_.empty()) {
            for (const auto& team : declared_.teams) {
                teams_.emplace(team.id.value(), &team);
            }
        }
        const auto found = teams_.find(id.value());
        return found == teams_.end() ? nullptr : found->second;
    }

    const configuration& declared_;
    std::unordered_map<std::string, const team_declaration*> teams_;
    std::vector<configuration_problem> problems_;
};

}  // namespace

std::string to_string(const configuration_problem& problem) {
    return problem.path + ": " + problem.value + " is not allowed; allowed: " + problem.allowed;
}

std::vector<configuration_problem> validate(const configuration& declared) {
    return validator(declared).run();
}

}  // namespace tanagerpaddle
