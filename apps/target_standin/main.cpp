// A small stand-in for one worker: its service's target and its runtime.

#include <atomic>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "tanagerpaddle/platform.hpp"
#include "target_routes.hpp"

namespace {

using namespace tanagerpaddle;

constexpr milliseconds shutdown_limit{5'000};
constexpr milliseconds advance_interval{10};
// Shows the checker until when a killed process was alive.
constexpr milliseconds alive_interval{500};
constexpr int usage_error = 2;

resources amount(const cxxopts::ParseResult& arguments, const std::string& prefix) {
    return {millicores(arguments[prefix + "millicores"].as<std::int64_t>()),
            mebibytes(arguments[prefix + "mebibytes"].as<std::int64_t>()),
            accelerator_count(arguments[prefix + "accelerators"].as<std::int64_t>())};
}

nlohmann::json to_json(const resources& value) {
    return {{"processors", value.processors.value()},
            {"memory", value.memory.value()},
            {"accelerators", value.accelerators.value()}};
}

// Takes "127.0.0.1:8080" with or without "http://".
platform_client_options platform_at(std::string text) {
    if (const std::string scheme = "http://"; text.starts_with(scheme)) {
        text.erase(0, scheme.size());
    }
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw error(result_code::invalid_settings, "--platform must be ADDRESS:PORT: " + text);
    }
    platform_client_options options;
    options.address = text.substr(0, colon);
    options.port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return options;
}

std::unique_ptr<object_store> make_objects(const std::string& platform) {
    if (platform.empty()) {
        return std::make_unique<memory_object_store>();
    }
    return std::make_unique<http_object_store>(platform_at(platform));
}

// Lets the tasks advance and writes "alive" lines until stopped.
class ticker {
public:
    ticker(standin::task_runtime& runtime, standin::event_record& record,
           const tanagerpaddle::clock& time)
        : thread_([this, &runtime, &record, &time] { run(runtime, record, time); }) {}
    ~ticker() {
        is_stopped_ = true;
        thread_.join();
    }
    ticker(const ticker&) = delete;
    ticker& operator=(const ticker&) = delete;

private:
    void run(standin::task_runtime& runtime, standin::event_record& record,
             const tanagerpaddle::clock& time) {
        deadline next_alive = deadline::after(time.now(), alive_interval);
        while (!is_stopped_) {
            runtime.advance();
            if (next_alive.has_passed(time.now())) {
                record.write("alive");
                next_alive = deadline::after(time.now(), alive_interval);
            }
            std::this_thread::sleep_for(advance_interval);
        }
    }

    std::atomic<bool> is_stopped_{false};
    std::thread thread_;
};

standin::request_server_options serving_options(const cxxopts::ParseResult& arguments) {
    standin::request_server_options options;
    options.slots = arguments["slots"].as<std::uint32_t>();
    options.mean_service_ms = arguments["mean-ms"].as<double>();
    options.jitter = arguments["jitter"].as<double>();
    options.tail_probability = arguments["tail-probability"].as<double>();
    options.tail_factor = arguments["tail-factor"].as<double>();
    options.seed = arguments["seed"].as<std::uint64_t>();
    return options;
}

standin::runtime_options runtime_options_of(const cxxopts::ParseResult& arguments) {
    standin::runtime_options options;
    options.capacity = amount(arguments, "");
    options.reserved = amount(arguments, "reserved-");
    options.interference_per_processor = arguments["interference"].as<double>();
    options.usage_lag = milliseconds(arguments["usage-lag-ms"].as<std::int64_t>());
    options.refuses_overcommitment = arguments["refuse-overcommitment"].as<bool>();
    return options;
}

int run(const cxxopts::ParseResult& arguments) {
    standin::block_termination();
    const system_clock time;
    const auto address = arguments["listen"].as<std::string>();
    const auto options = runtime_options_of(arguments);
    standin::event_record record(arguments["record"].as<std::string>(),
                                 worker_id(arguments["worker"].as<std::string>()),
                                 failure_domain_id(arguments["domain"].as<std::string>()), time);
    const auto objects = make_objects(arguments["platform"].as<std::string>());
    standin::fault_switches faults;
    standin::task_runtime runtime(options, time, *objects, faults, record);
    standin::request_server requests(serving_options(arguments), faults, record,
                                     [&runtime] { return runtime.request_slowdown(); });
    const standin::target_parts parts{faults, runtime, requests, time};

    standin::server data({address, arguments["port"].as<std::uint16_t>(),
                          arguments["connections"].as<std::size_t>()});
    // A port of its own, so that requests cannot use up the connections of the runtime.
    standin::server control({address, arguments["runtime-port"].as<std::uint16_t>(),
                             arguments["runtime-connections"].as<std::size_t>()});
    add_serve_routes(data, parts);
    add_runtime_routes(control, parts);
    add_control_routes(control, parts);
    record.write("worker_start", {{"capacity", to_json(options.capacity)},
                                  {"reserved", to_json(options.reserved)}});
    bool is_idle = false;
    {
        const ticker advancing(runtime, record, time);
        data.start();
        control.start();
        std::cout << nlohmann::json{{"event", "listening"},
                                    {"port", data.port()},
                                    {"runtime_port", control.port()}}
                         .dump()
                  << std::endl;
        standin::wait_for_termination();
        data.stop();
        control.stop();
        faults.change({{"silent", false}, {"runtime_silent", false}});
        is_idle = data.wait_until_idle(shutdown_limit) && control.wait_until_idle(shutdown_limit);
    }
    runtime.advance();
    record.write("worker_end", {{"largest_committed", to_json(runtime.largest_committed())}});
    std::cout << nlohmann::json{{"event", "stopped"}}.dump() << std::endl;
    // Idle connections would keep their threads until the idle timeout, so they are not joined.
    std::_Exit(is_idle ? EXIT_SUCCESS : EXIT_FAILURE);
}

void add_options(cxxopts::Options& options) {
    const auto text = [](const char* value) {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value) {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto whole = [](const char* value) {
        return cxxopts::value<std::int64_t>()->default_value(value);
    };
    const auto port = [] { return cxxopts::value<std::uint16_t>()->default_value("0"); };
    const auto size = [](const char* value) {
        return cxxopts::value<std::size_t>()->default_value(value);
    };
    options.add_options()("listen", "address", text("127.0.0.1"))  //
        ("port", "of the target, 0 for any", port())               //
        ("runtime-port", "of runtime and faults, 0 for any", port())(
            "worker", "id in the record", text("worker"))("domain", "failure domain in the record",
                                                          text(""))(
            "millicores", "capacity", whole("64000"))("mebibytes", "capacity", whole("250000"))(
            "accelerators", "capacity", whole("0"))("reserved-millicores", "by the target",
                                                    whole("0"))(
            "reserved-mebibytes", "by the target", whole("0"))("reserved-accelerators",
                                                               "by the target", whole("0"))(
            "slots", "requests run at a time", cxxopts::value<std::uint32_t>()->default_value("8"))(
            "connections", "of the target", size("64"))("runtime-connections", "of the runtime",
                                                        size("16"))(
            "mean-ms", "service time", number("5"))("jitter", "share of the mean", number("0.2"))(
            "tail-probability", "of a long request", number("0"))(
            "tail-factor", "of a long request", number("10"))(
            "interference", "slowdown for each processor used by batch tasks", number("0"))(
            "usage-lag-ms", "age of reported usage", whole("2000"))(
            "refuse-overcommitment", "refuse starts beyond the capacity",
            cxxopts::value<bool>()->default_value("false"))(
            "platform", "ADDRESS:PORT of the object store; in memory if empty", text(""))(
            "record", "file for events", text(""))(
            "seed", "of service times and faults",
            cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this text");
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("tanagerpaddle-target-standin",
                             "One worker's target and runtime over HTTP, for tests");
    try {
        add_options(options);
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
