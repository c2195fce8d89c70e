#include <cstdio>

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle {

program_output configuration_program(const configuration_builder& builder,
                                     const std::vector<std::string>& arguments) {
    const std::string usage =
        "usage: [--check|--help]\n"
        "  (none)   print the configuration as YAML, for tanagerpaddlectl apply\n"
        "  --check  print only the problems of the configuration\n";
    if (arguments.size() == 1 && arguments.front() == "--help") {
        return {0, usage, ""};
    }
    const bool is_check = arguments.size() == 1 && arguments.front() == "--check";
    if (!arguments.empty() && !is_check) {
        return {2, "", usage};
    }
    const auto problems = validate(builder.declared());
    if (!problems.empty()) {
        std::string text;
        for (const auto& problem : problems) {
            text += to_string(problem) + "\n";
        }
        return {1, "", text};
    }
    return {0, is_check ? "" : to_yaml(builder.declared()), ""};
}

int print_configuration(const configuration_builder& builder, int argc, char** argv) {
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    const program_output output = configuration_program(builder, arguments);
    std::fputs(output.standard_error.c_str(), stderr);
    const bool is_written =
        std::fputs(output.standard_output.c_str(), stdout) >= 0 && std::fflush(stdout) == 0;
    // A truncated document on a full disk must not look like a success.
    return is_written ? output.exit_status : 1;
}

}  // namespace tanagerpaddle
