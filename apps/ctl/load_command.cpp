// load.

#include <unistd.h>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "command.hpp"
#include "load_generator.hpp"
#include "output.hpp"

namespace tanagerpaddle::ctl {

namespace {

constexpr milliseconds progress_interval{500};
constexpr std::size_t most_connections = 1'024;
// Bounds the memory of the plan and keeps a run from going on for days.
constexpr double most_requests = 5'000'000;
constexpr double ms_per_s = 1'000;

// "quote" or "quote:4".
weighted_method parse_method(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 1};
    }
    try {
        std::size_t used = 0;
        const double weight = std::stod(text.substr(colon + 1), &used);
        if (weight > 0 && colon + 1 + used == text.size()) {
            return {text.substr(0, colon), weight};
        }
    } catch (const std::logic_error&) {
        throw usage_error("--method must be NAME or NAME:WEIGHT, not " + text);
    }
    throw usage_error("--method must be NAME or NAME:WEIGHT, not " + text);
}

void check_bounds(const load_options& options) {
    if (options.requests_per_second <= 0 || options.seconds <= 0 ||
        options.requests_per_second * options.seconds > most_requests) {
        throw usage_error("--rate times --seconds must be above 0 and at most 5000000");
    }
    if (options.connections < 1 || options.connections > most_connections) {
        throw usage_error("--connections must be 1 to 1024");
    }
    if (options.timeout.count() < 1) {
        throw usage_error("--timeout-ms must be at least 1");
    }
}

load_options options_from(const cxxopts::ParseResult& arguments) {
    for (const char* required : {"callers", "service", "method"}) {
        if (arguments.count(required) == 0) {
            throw usage_error(std::string("--") + required + " is required");
        }
    }
    load_options options;
    for (const auto& text : arguments["callers"].as<std::vector<std::string>>()) {
        options.callers.push_back(parse_endpoint(text));
    }
    for (const auto& text : arguments["method"].as<std::vector<std::string>>()) {
        options.methods.push_back(parse_method(text));
    }
    options.service = arguments["service"].as<std::string>();
    options.requests_per_second = arguments["rate"].as<double>();
    options.seconds = arguments["seconds"].as<double>();
    options.body_bytes = arguments["body-bytes"].as<std::size_t>();
    options.timeout = milliseconds(arguments["timeout-ms"].as<std::int64_t>());
    options.connections = arguments["connections"].as<std::size_t>();
    options.seed =
        arguments.count("seed") > 0 ? arguments["seed"].as<std::uint64_t>() : random_seed();
    options.id_prefix = arguments["id-prefix"].as<std::string>();
    if (options.id_prefix.empty()) {
        // Not drawn from the seed: ids of a repeated run must not count as duplicates.
        options.id_prefix = "load-" + random_source(random_seed()).token();
    }
    options.checks_standin = arguments["check-standin"].as<bool>();
    check_bounds(options);
    return options;
}

// Rewrites one line on a terminal until destroyed; silent elsewhere.
class progress_line {
public:
    progress_line(std::ostream& out, const load_results& results, std::size_t total)
        : is_shown_(isatty(STDERR_FILENO) == 1),
          thread_([this, &out, &results, total](const std::stop_token& stop) {
              while (is_shown_ && !stop.stop_requested()) {
                  out << '\r' << results.right() << " right, " << results.errors() << " errors, "
                      << results.wrong() << " wrong of " << total << std::flush;
                  std::this_thread::sleep_for(progress_interval);
              }
          }) {}
    ~progress_line() {
        thread_.request_stop();
        thread_.join();
    }
    progress_line(const progress_line&) = delete;
    progress_line& operator=(const progress_line&) = delete;

    [[nodiscard]] bool is_shown() const noexcept { return is_shown_; }

private:
    bool is_shown_;
    std::jthread thread_;
};

nlohmann::json describe(const load_options& options, std::size_t sent) {
    return {{"seed", options.seed},
            {"id_prefix", options.id_prefix},
            {"rate", options.requests_per_second},
            {"seconds", options.seconds},
            {"connections", options.connections},
            {"sent", sent}};
}

std::string in_ms(const nlohmann::json& seconds) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << seconds.get<double>() * ms_per_s;
    return text.str();
}

void print_summary(std::ostream& out, const nlohmann::json& body) {
    out << body["right"] << " right, " << body["errors"] << " errors, " << body["wrong"]
        << " wrong of " << body["sent"] << " requests (seed " << body["seed"] << ")\n";
    const auto& latency = body["latency_s"];
    out << "latency from the intended send time, ms: p50 " << in_ms(latency["p50"]) << ", p99 "
        << in_ms(latency["p99"]) << ", p99.9 " << in_ms(latency["p999"]) << ", max "
        << in_ms(latency["max"]) << '\n';
    for (const auto& [code, count] : body["errors_by_code"].items()) {
        out << "  " << code << ": " << count << '\n';
    }
    for (const auto& text : body["first_wrong"]) {
        out << "  wrong: " << text.get<std::string>() << '\n';
    }
}

void write_results(const std::string& file, const nlohmann::json& body) {
    std::ofstream stream(file);
    print_json(stream, body);
    stream.flush();
    if (!stream) {
        throw error(result_code::internal_error, "cannot write " + file);
    }
}

int load(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    const load_options options = options_from(arguments);
    const auto plan = plan_load(options);
    const system_clock time;
    load_results results;
    {
        const progress_line progress(context.streams.err, results, plan.size());
        run_load(options, plan, time, results);
        if (progress.is_shown()) {
            context.streams.err << '\n';
        }
    }
    nlohmann::json body = describe(options, plan.size());
    body.update(results.to_json());
    if (const auto file = arguments["results"].as<std::string>(); !file.empty()) {
        write_results(file, body);
    }
    if (context.format == output_format::json) {
        print_json(context.streams.out, body);
    } else {
        print_summary(context.streams.out, body);
    }
    return results.wrong() == 0 ? exit_status::ok : exit_status::failed;
}

void add_load_options(cxxopts::Options& options) {
    const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value) {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto size = [](const char* value) {
        return cxxopts::value<std::size_t>()->default_value(value);
    };
    options.add_options()("callers", "callers' address of an entry, repeatable", list(),
                          "ADDRESS:PORT")("service", "name", cxxopts::value<std::string>(), "NAME")(
        "method", "repeatable", list(), "NAME[:WEIGHT]")("rate", "requests a second", number("100"),
                                                         "N")(
        "seconds", "length of the run", number("10"), "S")("body-bytes", "of each request",
                                                           size("256"), "N")(
        "connections", "requests on the way at a time", size("64"), "N")(
        "seed", "of arrivals, methods and bodies; default: a random one",
        cxxopts::value<std::uint64_t>(),
        "N")("id-prefix", "of request ids; default: a random one", text(""), "TEXT")(
        "results", "file for the results as JSON", text(""), "FILE")(
        "check-standin", "compare with what the target stand-in answers",
        cxxopts::value<bool>()->default_value("false"));
}

}  // namespace

std::span<const command> load_commands() {
    static const std::vector<command> commands{
        {"load",
         "",
         "send requests at a given rate and check the answers",
         {"load --callers 127.0.0.1:7300 --service cut-orders --method quote --rate 50 "
          "--seconds 10",
          "load --callers 127.0.0.1:7300 --callers 127.0.0.1:7310 --service cut-orders "
          "--method quote:9 --method order:1 --timeout-ms 1000 --check-standin "
          "--results load.json"},
         add_load_options,
         load},
    };
    return commands;
}

}  // namespace tanagerpaddle::ctl
