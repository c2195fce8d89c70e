// The daemon: runs one role until SIGTERM or SIGINT, reloads its settings on SIGHUP.

#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tanagerpaddle/agent.hpp"
#include "tanagerpaddle/entry.hpp"
#include "tanagerpaddle/settings.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace {

using namespace tanagerpaddle;

constexpr int exit_ok = 0;
constexpr int exit_input = 1;
constexpr int exit_usage = 64;
constexpr int exit_failed = 70;

struct command_line {
    std::string file;
    std::vector<std::string> overrides;
    std::string port_file;
    bool is_check_only = false;
};

settings load(const command_line& arguments) {
    std::vector<std::string> overrides = environment_overrides(environ);
    overrides.insert(overrides.end(), arguments.overrides.begin(), arguments.overrides.end());
    return load_settings(arguments.file, overrides);
}

// The threads of the process inherit the blocked signals; only the main thread takes them.
sigset_t block_signals() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&handled, signal);
    }
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return handled;
}

// Written under another name first, so that a reader never sees half of it.
void write_port_file(const std::string& path, const nlohmann::json& ports) {
    if (path.empty()) {
        return;
    }
    const std::string temporary = path + ".tmp";
    std::ofstream(temporary) << ports.dump() << "\n";
    if (std::rename(temporary.c_str(), path.c_str()) != 0) {
        throw error(result_code::invalid_settings, "cannot write the port file " + path);
    }
}

nlohmann::json ports_of(const entry_daemon& daemon) {
    return {{"callers", daemon.callers_port()},
            {"operators", daemon.operators_port()},
            {"control", daemon.control_port()}};
}

nlohmann::json ports_of(const agent_daemon& daemon) {
    return {{"data", daemon.data_port()}, {"control", daemon.control_port()}};
}

template <class Daemon>
void reload(Daemon& daemon, settings& values, const command_line& arguments) {
    try {
        std::vector<std::string_view> ignored;
        values = reload_settings(values, load(arguments), ignored);
        daemon.reload(values);
        log_event(log_level::info, "settings_reloaded", {{"needs_restart", ignored.size()}});
    } catch (const error& failure) {
        log_event(log_level::error, "settings_refused", {{"message", failure.what()}});
    }
}

template <class Daemon>
int run(settings values, const command_line& arguments) {
    const sigset_t handled = block_signals();
    const system_clock time;
    trace_options traces;
    traces.role = name(values.role);
    traces.id = values.id;
    traces.file = values.trace.file;
    traces.sample_ratio = values.trace.sample_ratio;
    tracer spans(traces, time);
    Daemon daemon(values, incarnation_number(random_seed()), spans);
    daemon.start();
    write_port_file(arguments.port_file, ports_of(daemon));
    while (true) {
        int signal = 0;
        sigwait(&handled, &signal);
        if (signal != SIGHUP) {
            break;
        }
        reload(daemon, values, arguments);
    }
    daemon.begin_shutdown();
    const bool is_drained =
        daemon.wait_until_drained(deadline::after(time.now(), values.shutdown.grace));
    if (!is_drained) {
        log_event(log_level::warning, "shutdown_grace_ended", {});
    }
    daemon.stop();
    flush_log();
    return exit_ok;
}

int run_role(const settings& values, const command_line& arguments) {
    log_options logs;
    logs.role = name(values.role);
    logs.id = values.id;
    logs.threshold = static_cast<log_level>(values.log.level);
    logs.file = values.log.file;
    configure_log(logs);
    return values.role == process_role::entry ? run<entry_daemon>(values, arguments)
                                              : run<agent_daemon>(values, arguments);
}

cxxopts::Options make_options() {
    cxxopts::Options options("tanagerpaddled", "Scheduler daemon of tanagerpaddle.");
    options.add_options()("config", "settings file in YAML", cxxopts::value<std::string>())(
        "role", "entry or agent, as --set role=...", cxxopts::value<std::string>())(
        "set", "key=value that replaces a setting; repeatable",
        cxxopts::value<std::vector<std::string>>())(
        "port-file", "file that gets the bound ports as one JSON line",
        cxxopts::value<std::string>()->default_value(""))("check-config",
                                                          "check the settings and exit")(
        "print-default-config", "print commented settings of the role (entry or agent)",
        cxxopts::value<std::string>())("version", "print the version")("help", "print this help");
    return options;
}

int start(const cxxopts::ParseResult& parsed, const std::string& help) {
    if (parsed.count("help") != 0) {
        std::cout << help << "\nExample: tanagerpaddled --config entry.yaml\n";
        return exit_ok;
    }
    if (parsed.count("version") != 0) {
        std::cout << "tanagerpaddled 0.1.0\n";
        return exit_ok;
    }
    if (parsed.count("print-default-config") != 0) {
        const auto role = parsed["print-default-config"].as<std::string>();
        std::cout << print_default_settings(role == "agent" ? process_role::agent
                                                            : process_role::entry);
        return exit_ok;
    }
    if (parsed.count("config") == 0) {
        std::cerr << help;
        return exit_usage;
    }
    command_line arguments;
    arguments.file = parsed["config"].as<std::string>();
    arguments.port_file = parsed["port-file"].as<std::string>();
    if (parsed.count("set") != 0) {
        arguments.overrides = parsed["set"].as<std::vector<std::string>>();
    }
    if (parsed.count("role") != 0) {
        arguments.overrides.push_back("role=" + parsed["role"].as<std::string>());
    }
    const settings values = load(arguments);
    return parsed.count("check-config") != 0 ? exit_ok : run_role(values, arguments);
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = make_options();
        return start(options.parse(argc, argv), options.help());
    } catch (const cxxopts::exceptions::exception& failure) {
        std::cerr << failure.what() << "\n";
        return exit_usage;
    } catch (const error& failure) {
        log_event(log_level::error, "start_refused",
                  {{"code", failure.code()}, {"message", failure.what()}});
        return failure.code() == result_code::invalid_settings ? exit_input : exit_failed;
    } catch (const std::exception& failure) {
        log_event(log_level::error, "start_refused",
                  {{"code", result_code::internal_error}, {"message", failure.what()}});
        return exit_failed;
    }
}
