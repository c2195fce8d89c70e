// completion and version.

#include <iostream>
#include <sstream>

#include "command.hpp"
#include "output.hpp"

namespace tanagerpaddle::ctl {

namespace {

int print_completion(command_context& context, const cxxopts::ParseResult& arguments) {
    if (positional(arguments, 1, 1).front() != "bash") {
        throw usage_error("completion is available for bash only");
    }
    std::string words;
    std::string second_words;
    for (const command* item : all_commands()) {
        const auto space = item->name.find(' ');
        const std::string first(item->name.substr(0, space));
        if ((" " + words + " ").find(" " + first + " ") == std::string::npos) {
            words += (words.empty() ? "" : " ") + first;
        }
        if (space != std::string_view::npos) {
            second_words +=
                (second_words.empty() ? "" : " ") + std::string(item->name.substr(space + 1));
        }
    }
    context.streams.out << "_tanagerpaddlectl() {\n"
                           "    local word=${COMP_WORDS[COMP_CWORD]}\n"
                           "    local previous=${COMP_WORDS[COMP_CWORD-1]}\n"
                           "    local words=\""
                        << words
                        << " --entry --key-file --operator --output --timeout-ms --help\"\n"
                           "    case \"$previous\" in\n"
                           "        jobs) words=\""
                        << second_words
                        << "\" ;;\n"
                           "        --output) words=\"table json\" ;;\n"
                           "        completion) words=bash ;;\n"
                           "        apply|diff|validate|--key-file|--file|--results)\n"
                           "            COMPREPLY=($(compgen -f -- \"$word\"))\n"
                           "            return ;;\n"
                           "    esac\n"
                           "    COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
                           "}\n"
                           "complete -F _tanagerpaddlectl tanagerpaddlectl\n";
    return exit_status::ok;
}

int print_version(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    if (context.format == output_format::json) {
        print_json(context.streams.out, {{"version", TANAGERPADDLE_VERSION}});
    } else {
        context.streams.out << "tanagerpaddlectl " TANAGERPADDLE_VERSION "\n";
    }
    return exit_status::ok;
}

}  // namespace

std::span<const command> shell_commands() {
    static const std::vector<command> commands{
        {"completion",
         "bash",
         "print a completion script",
         {"completion bash > /etc/bash_completion.d/tanagerpaddlectl"},
         add_no_options,
         print_completion},
        {"version",
         "",
         "print the version of this program",
         {"version"},
         add_no_options,
         print_version},
    };
    return commands;
}

}  // namespace tanagerpaddle::ctl
