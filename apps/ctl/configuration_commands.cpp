// apply, diff, validate, drain and undrain.

#include <fstream>
#include <iostream>
#include <iterator>

#include "command.hpp"
#include "output.hpp"
#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle::ctl {

namespace {

struct accepted_configuration {
    std::uint64_t version = 0;
    configuration declared;
};

std::string read_document(const command_context& context, const std::string& file) {
    if (file == "-") {
        return {std::istreambuf_iterator<char>(context.streams.in), {}};
    }
    std::ifstream stream(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream) {
        throw error(result_code::invalid_configuration, "cannot read " + file);
    }
    return text;
}

configuration parse_valid(const std::string& text, const std::string& file) {
    configuration declared = from_yaml(text, file);
    std::string problems;
    for (const auto& problem : validate(declared)) {
        problems += "\n  " + to_string(problem);
    }
    if (!problems.empty()) {
        throw error(result_code::invalid_configuration, file + problems);
    }
    return declared;
}

// Version 0 and an empty configuration if none was accepted yet.
accepted_configuration present(operator_client& entries) {
    try {
        const auto body = entries.get("/v1/config");
        accepted_configuration found;
        found.version = body.value("version", std::uint64_t{0});
        found.declared = from_yaml(body.value("document", std::string()), "present configuration");
        return found;
    } catch (const operator_error& failure) {
        if (failure.body().contains("version") && failure.body()["version"] == 0) {
            return {};
        }
        throw;
    }
}

nlohmann::json to_json(const std::vector<configuration_change>& changes) {
    auto list = nlohmann::json::array();
    for (const auto& change : changes) {
        list.push_back({{"kind", name(change.kind)},
                        {"path", change.path},
                        {"description", change.description}});
    }
    return list;
}

void show_changes(command_context& context, const accepted_configuration& from,
                  const std::vector<configuration_change>& changes) {
    if (context.format == output_format::json) {
        return;
    }
    auto& out = context.streams.out;
    out << "version " << from.version << ", " << changes.size() << " changes\n";
    for (const auto& change : changes) {
        out << "  " << change.description << '\n';
    }
}

std::string new_operation_id() {
    return random_source(random_seed()).token();
}

[[noreturn]] void explain_conflict(const operator_error& failure, std::uint64_t expected) {
    const auto version = cell(failure.body(), "version");
    throw error(result_code::configuration_conflict,
                "another change was accepted first: expected version " + std::to_string(expected) +
                    ", present version " + version +
                    ". Read the difference with `tanagerpaddlectl diff FILE`, then apply again.");
}

std::uint64_t put_configuration(operator_client& entries, std::uint64_t expected,
                                const std::string& document) {
    const std::string path = "/v1/config?expected_version=" + std::to_string(expected) +
                             "&operation=" + new_operation_id();
    try {
        return entries.change("PUT", path, document).at("version").get<std::uint64_t>();
    } catch (const operator_error& failure) {
        if (failure.code() == result_code::configuration_conflict) {
            explain_conflict(failure, expected);
        }
        throw;
    }
}

void report_version(command_context& context, std::uint64_t version,
                    const std::vector<configuration_change>& changes, const char* text) {
    if (context.format == output_format::json) {
        print_json(context.streams.out, {{"version", version}, {"changes", to_json(changes)}});
    } else {
        context.streams.out << text << version << '\n';
    }
}

int apply(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto file = positional(arguments, 1, 1).front();
    const auto text = read_document(context, file);
    const auto wanted = parse_valid(text, file);
    const auto held = present(context.entries);
    const auto changes = diff(held.declared, wanted);
    show_changes(context, held, changes);
    const auto expected = arguments.count("expected-version") > 0
                              ? arguments["expected-version"].as<std::uint64_t>()
                              : held.version;
    if (arguments["dry-run"].as<bool>() || (changes.empty() && expected == held.version)) {
        report_version(context, held.version, changes, "nothing applied; version ");
        return exit_status::ok;
    }
    const auto version = put_configuration(context.entries, expected, text);
    report_version(context, version, changes, "accepted as version ");
    return exit_status::ok;
}

int show_diff(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto file = positional(arguments, 1, 1).front();
    const auto wanted = parse_valid(read_document(context, file), file);
    const auto held = present(context.entries);
    const auto changes = diff(held.declared, wanted);
    show_changes(context, held, changes);
    if (context.format == output_format::json) {
        print_json(context.streams.out, {{"version", held.version}, {"changes", to_json(changes)}});
    }
    return exit_status::ok;
}

int validate_file(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto file = positional(arguments, 1, 1).front();
    const auto declared = parse_valid(read_document(context, file), file);
    if (context.format == output_format::json) {
        print_json(context.streams.out, {{"valid", true}});
    } else {
        context.streams.out << file << " is valid: " << declared.services.size() << " services, "
                            << declared.jobs.size() << " jobs, " << declared.teams.size()
                            << " teams\n";
    }
    return exit_status::ok;
}

int change_drain(command_context& context, const cxxopts::ParseResult& arguments,
                 const char* method, const char* text) {
    const auto domain = positional(arguments, 1, 1).front();
    const auto body = context.entries.change(
        method, "/v1/drains/" + url_escaped(domain) + "?operation=" + new_operation_id(), "");
    if (context.format == output_format::json) {
        print_json(context.streams.out, body);
    } else {
        context.streams.out << domain << text << cell(body, "version") << '\n';
    }
    return exit_status::ok;
}

int drain(command_context& context, const cxxopts::ParseResult& arguments) {
    return change_drain(context, arguments, "POST", " is drained from version ");
}

int undrain(command_context& context, const cxxopts::ParseResult& arguments) {
    return change_drain(context, arguments, "DELETE", " takes work again from version ");
}

void add_apply_options(cxxopts::Options& options) {
    options.add_options()("expected-version", "the present version; default: the one read now",
                          cxxopts::value<std::uint64_t>(), "N")(
        "dry-run", "show the difference only", cxxopts::value<bool>()->default_value("false"));
}

}  // namespace

std::span<const command> configuration_commands() {
    static const std::vector<command> commands{
        {"apply",
         "FILE",
         "put a configuration into effect; FILE may be -",
         {"apply brazos.yaml", "apply --dry-run brazos.yaml",
          "apply --expected-version 7 brazos.yaml"},
         add_apply_options,
         apply},
        {"diff",
         "FILE",
         "show what apply would change",
         {"diff brazos.yaml"},
         add_no_options,
         show_diff},
        {"validate",
         "FILE",
         "check a configuration without an entry",
         {"validate brazos.yaml"},
         add_no_options,
         validate_file},
        {"drain",
         "DOMAIN",
         "take a failure domain out of service",
         {"drain rosenberg"},
         add_no_options,
         drain},
        {"undrain",
         "DOMAIN",
         "take a failure domain into service again",
         {"undrain rosenberg"},
         add_no_options,
         undrain},
    };
    return commands;
}

}  // namespace tanagerpaddle::ctl
