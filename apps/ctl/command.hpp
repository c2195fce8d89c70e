#pragma once

// The commands of tanagerpaddlectl: one table, one file for each group of commands.

#include <cxxopts.hpp>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "operator_client.hpp"

namespace tanagerpaddle::ctl {

// Wrong arguments; the program ends with exit_status::usage.
class usage_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Exit statuses; a failure with a result code gives the code's hundreds digit.
namespace exit_status {
inline constexpr int ok = 0;
inline constexpr int failed = 4;
inline constexpr int usage = 64;
}  // namespace exit_status

[[nodiscard]] int exit_status_of(result_code code) noexcept;

struct standard_streams {
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
};

enum class output_format : std::uint8_t { table, json };

// What a command works with. `entries` connects only when it is used.
struct command_context {
    standard_streams streams;
    output_format format;
    operator_client& entries;
};

struct command {
    // One or two words, for example "jobs list".
    std::string_view name;
    // For the usage line, for example "FILE".
    std::string_view positional;
    std::string_view summary;
    // One command line each, without the name of the program.
    std::vector<std::string_view> examples;
    void (*add_options)(cxxopts::Options&);
    // Returns the exit status. Throws error, usage_error.
    int (*run)(command_context&, const cxxopts::ParseResult&);
};

// Commands without options of their own.
void add_no_options(cxxopts::Options& options);

// The positional arguments. Throws usage_error unless there are `least` to `most`.
[[nodiscard]] std::vector<std::string> positional(const cxxopts::ParseResult& arguments,
                                                  std::size_t least, std::size_t most);

// The groups, in the order of the help text.
[[nodiscard]] std::span<const command> configuration_commands();
[[nodiscard]] std::span<const command> state_commands();
[[nodiscard]] std::span<const command> job_commands();
[[nodiscard]] std::span<const command> load_commands();
[[nodiscard]] std::span<const command> shell_commands();
[[nodiscard]] std::vector<const command*> all_commands();

// Runs the program with the arguments after its name; `environment_entry` is the value of
// TANAGERPADDLE_ENTRY, empty if unset. Never throws; returns the exit status.
[[nodiscard]] int run_program(const std::vector<std::string>& arguments,
                              const std::string& environment_entry,
                              const standard_streams& streams);

}  // namespace tanagerpaddle::ctl
