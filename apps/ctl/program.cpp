#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>

#include "command.hpp"
#include "tanagerpaddle/settings.hpp"

namespace tanagerpaddle::ctl {

namespace {

constexpr int code_class = 100;
constexpr const char* default_entry = "127.0.0.1:7301";
constexpr std::int64_t longest_timeout_ms = 3'600'000;
// Global options that take a value; all may stand before the command.
constexpr std::array<std::string_view, 5> value_options{"--entry", "--key-file", "--operator",
                                                        "--output", "--timeout-ms"};

struct command_line {
    const command* chosen = nullptr;
    // All arguments but the words of the command's name.
    std::vector<std::string> rest;
};

// Indices of the arguments that are neither options nor values of global options before them.
std::vector<std::size_t> leading_words(const std::vector<std::string>& arguments) {
    std::vector<std::size_t> words;
    for (std::size_t i = 0; i < arguments.size() && words.size() < 2; ++i) {
        if (!arguments[i].starts_with('-')) {
            words.push_back(i);
        } else if (std::find(value_options.begin(), value_options.end(), arguments[i]) !=
                   value_options.end()) {
            ++i;
        }
    }
    return words;
}

const command* find_command(const std::string& name) {
    const auto commands = all_commands();
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const command* item) { return item->name == name; });
    return found == commands.end() ? nullptr : *found;
}

command_line split(const std::vector<std::string>& arguments) {
    const auto words = leading_words(arguments);
    command_line line{nullptr, arguments};
    std::size_t used = 0;
    if (words.size() == 2) {
        line.chosen = find_command(arguments[words[0]] + " " + arguments[words[1]]);
        used = 2;
    }
    if (line.chosen == nullptr && !words.empty()) {
        line.chosen = find_command(arguments[words[0]]);
        used = 1;
    }
    if (line.chosen != nullptr) {
        for (std::size_t i = used; i-- > 0;) {
            line.rest.erase(line.rest.begin() + static_cast<std::ptrdiff_t>(words[i]));
        }
    } else if (!words.empty()) {
        throw usage_error("unknown command: " + arguments[words[0]]);
    }
    return line;
}

void add_global_options(cxxopts::Options& options) {
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    options.add_options("Global")(
        "entry", "operators' address of an entry, repeatable (or TANAGERPADDLE_ENTRY)",
        cxxopts::value<std::vector<std::string>>(),
        "ADDRESS:PORT")("key-file", "file with the operators' key", text(""), "FILE")(
        "operator", "name recorded with changes", text("tanagerpaddlectl"), "NAME")(
        "output", "table or json", text("table"), "FORMAT")(
        "timeout-ms", "time for the command",
        cxxopts::value<std::int64_t>()->default_value("10000"), "MS")("help", "print this text");
}

cxxopts::Options options_of(const command& chosen) {
    cxxopts::Options options("tanagerpaddlectl " + std::string(chosen.name),
                             std::string(chosen.summary));
    chosen.add_options(options);
    add_global_options(options);
    options.add_options("Hidden")("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    options.positional_help(std::string(chosen.positional));
    return options;
}

cxxopts::ParseResult parse(cxxopts::Options& options, const std::vector<std::string>& arguments) {
    std::vector<const char*> pointers{"tanagerpaddlectl"};
    for (const auto& argument : arguments) {
        pointers.push_back(argument.c_str());
    }
    try {
        return options.parse(static_cast<int>(pointers.size()), pointers.data());
    } catch (const cxxopts::exceptions::exception& failure) {
        throw usage_error(failure.what());
    }
}

void print_command_help(const command& chosen, const cxxopts::Options& options, std::ostream& out) {
    out << options.help({"", "Global"}) << "\nExamples:\n";
    for (const auto example : chosen.examples) {
        out << "  tanagerpaddlectl " << example << '\n';
    }
}

void print_help(std::ostream& out) {
    out << "Usage: tanagerpaddlectl [--entry ADDRESS:PORT] COMMAND [ARGUMENTS]\n\nCommands:\n";
    std::size_t width = 0;
    for (const command* item : all_commands()) {
        width = std::max(width, item->name.size());
    }
    for (const command* item : all_commands()) {
        out << "  " << item->name << std::string(width - item->name.size() + 2, ' ')
            << item->summary << '\n';
    }
    out << "\n`tanagerpaddlectl COMMAND --help` shows options and examples of a command.\n"
           "Exit status: 0 success, 1 wrong input, 2 not run, 3 outcome unknown, 4 failed after a\n"
           "start, 5 state of the system, 64 wrong usage.\n";
}

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> items;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        items.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return items;
}

operator_client_options client_options(const cxxopts::ParseResult& arguments,
                                       const std::string& environment_entry) {
    operator_client_options options;
    auto entries = split_list(environment_entry.empty() ? default_entry : environment_entry);
    if (arguments.count("entry") > 0) {
        entries = arguments["entry"].as<std::vector<std::string>>();
    }
    try {
        for (const auto& text : entries) {
            options.entries.push_back(parse_endpoint(text));
        }
    } catch (const error& failure) {
        throw usage_error(std::string("--entry: ") + failure.what());
    }
    options.operator_name = arguments["operator"].as<std::string>();
    if (const auto file = arguments["key-file"].as<std::string>(); !file.empty()) {
        options.key = read_key_file(file);
    }
    const auto timeout = arguments["timeout-ms"].as<std::int64_t>();
    if (timeout < 1 || timeout > longest_timeout_ms) {
        throw usage_error("--timeout-ms must be 1 to 3600000");
    }
    options.timeout = milliseconds(timeout);
    return options;
}

output_format format_of(const cxxopts::ParseResult& arguments) {
    const auto text = arguments["output"].as<std::string>();
    if (text != "table" && text != "json") {
        throw usage_error("--output must be table or json, not " + text);
    }
    return text == "json" ? output_format::json : output_format::table;
}

int run_command(const command_line& line, const std::string& environment_entry,
                const standard_streams& streams) {
    if (line.chosen == nullptr) {
        const bool is_help =
            std::find(line.rest.begin(), line.rest.end(), "--help") != line.rest.end();
        print_help(is_help ? streams.out : streams.err);
        return is_help ? exit_status::ok : exit_status::usage;
    }
    cxxopts::Options options = options_of(*line.chosen);
    const auto arguments = parse(options, line.rest);
    if (arguments.count("help") > 0) {
        print_command_help(*line.chosen, options, streams.out);
        return exit_status::ok;
    }
    const system_clock time;
    operator_client entries(client_options(arguments, environment_entry), time);
    command_context context{streams, format_of(arguments), entries};
    return line.chosen->run(context, arguments);
}

}  // namespace

int exit_status_of(result_code code) noexcept {
    return static_cast<int>(code) / code_class;
}

void add_no_options(cxxopts::Options&) {}

std::vector<std::string> positional(const cxxopts::ParseResult& arguments, std::size_t least,
                                    std::size_t most) {
    std::vector<std::string> words;
    if (arguments.count("words") > 0) {
        words = arguments["words"].as<std::vector<std::string>>();
    }
    if (words.size() < least || words.size() > most) {
        throw usage_error("wrong number of arguments: " + std::to_string(words.size()));
    }
    return words;
}

std::vector<const command*> all_commands() {
    std::vector<const command*> all;
    for (const auto group : {configuration_commands(), state_commands(), job_commands(),
                             load_commands(), shell_commands()}) {
        for (const command& item : group) {
            all.push_back(&item);
        }
    }
    return all;
}

int run_program(const std::vector<std::string>& arguments, const std::string& environment_entry,
                const standard_streams& streams) {
    try {
        return run_command(split(arguments), environment_entry, streams);
    } catch (const usage_error& failure) {
        streams.err << "tanagerpaddlectl: " << failure.what()
                    << "\nTry `tanagerpaddlectl --help`.\n";
        return exit_status::usage;
    } catch (const error& failure) {
        streams.err << "tanagerpaddlectl: " << name(failure.code()) << " ("
                    << static_cast<int>(failure.code()) << "): " << failure.what() << '\n';
        return exit_status_of(failure.code());
    } catch (const std::exception& failure) {
        streams.err << "tanagerpaddlectl: " << failure.what() << '\n';
        return exit_status_of(result_code::internal_error);
    }
}

}  // namespace tanagerpaddle::ctl
