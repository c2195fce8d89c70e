// A small stand-in for the users' platform: transactional table and object store over HTTP.

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

#include "platform_service.hpp"

namespace {

using namespace tanagerpaddle;

constexpr milliseconds shutdown_limit{2'000};
constexpr int usage_error = 2;

int run(const cxxopts::ParseResult& arguments) {
    standin::block_termination();
    const system_clock time;
    standin::platform_service service(
        time, {arguments["write-limit"].as<double>(), arguments["read-limit"].as<double>()},
        arguments["seed"].as<std::uint64_t>(), arguments["log"].as<std::string>());
    standin::server http({arguments["listen"].as<std::string>(),
                          arguments["port"].as<std::uint16_t>(),
                          arguments["connections"].as<std::size_t>()});
    service.add_routes(http);
    http.start();
    std::cout << nlohmann::json{{"event", "listening"}, {"port", http.port()}}.dump() << std::endl;
    standin::wait_for_termination();
    http.stop();
    const bool is_idle = http.wait_until_idle(shutdown_limit);
    std::cout << nlohmann::json{{"event", "stopped"}}.dump() << std::endl;
    // Idle connections would keep their threads until the idle timeout, so they are not joined.
    std::_Exit(is_idle ? EXIT_SUCCESS : EXIT_FAILURE);
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("tanagerpaddle-platform-standin",
                             "Transactional table and object store over HTTP, for tests");
    options.add_options()                                                                         //
        ("listen", "address", cxxopts::value<std::string>()->default_value("127.0.0.1"))          //
        ("port", "port, 0 for any", cxxopts::value<std::uint16_t>()->default_value("0"))          //
        ("connections", "served at a time", cxxopts::value<std::size_t>()->default_value("256"))  //
        ("write-limit", "rows a second, 0: none", cxxopts::value<double>()->default_value("0"))   //
        ("read-limit", "reads a second, 0: none", cxxopts::value<double>()->default_value("0"))   //
        ("seed", "of the faults", cxxopts::value<std::uint64_t>()->default_value("1"))            //
        ("log", "file for committed transactions",
         cxxopts::value<std::string>()->default_value(""))  //
        ("help", "print this text");
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
