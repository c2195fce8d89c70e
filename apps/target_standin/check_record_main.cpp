// Checks the records of all workers of one run: exit status 0 if no promise was broken, 1 if one
// was, 2 for wrong arguments.

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <memory>

#include "record_check.hpp"

namespace {

using namespace tanagerpaddle::record_check;

constexpr int usage_error = 2;

int run(const cxxopts::ParseResult& arguments) {
    check_options options;
    options.tolerance_ms = arguments["tolerance-ms"].as<double>();
    options.crash_grace_ms = arguments["crash-grace-ms"].as<double>();
    for (const auto& text : arguments["drained"].as<std::vector<std::string>>()) {
        if (!text.empty()) {
            options.drained.push_back(parse_drained(text));
        }
    }
    for (const auto& method : arguments["idempotent"].as<std::vector<std::string>>()) {
        options.idempotent_methods.insert(method);
    }
    if (arguments.count("files") == 0) {
        throw std::invalid_argument("no record named");
    }
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<named_record> records;
    for (const auto& name : arguments["files"].as<std::vector<std::string>>()) {
        files.push_back(std::make_unique<std::ifstream>(name));
        if (!*files.back()) {
            throw std::invalid_argument("cannot open " + name);
        }
        records.push_back({name, files.back().get()});
    }
    const check_result result = check(records, options);
    for (const auto& violation : result.violations) {
        std::cout << "violation: " << violation << '\n';
    }
    std::cout << result.workers << " workers, " << result.events << " events, "
              << result.task_starts << " task starts, " << result.tasks_finished
              << " tasks finished, " << result.requests << " requests, " << result.violations.size()
              << " violations\n";
    return result.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("tanagerpaddle-check-record",
                             "Checks the records of all workers of one run");
    options.add_options()  //
        ("drained", "DOMAIN@MS[-MS]: no start in the domain from then on, until then",
         cxxopts::value<std::vector<std::string>>()->default_value(""))(
            "idempotent", "method whose requests may run more than once",
            cxxopts::value<std::vector<std::string>>()->default_value(""))(
            "tolerance-ms", "shorter overlaps are not reported",
            cxxopts::value<double>()->default_value("1"))(
            "crash-grace-ms", "a crashed worker's reports of its last milliseconds may be lost",
            cxxopts::value<double>()->default_value("0"))(
            "files", "records", cxxopts::value<std::vector<std::string>>())("help",
                                                                            "print this text");
    options.parse_positional("files");
    options.positional_help("FILE...");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        return run(arguments);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return usage_error;
    }
}
