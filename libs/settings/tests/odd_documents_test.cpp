// Settings files and overrides that no sound writer produces.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tanagerpaddle/settings.hpp"

using namespace tanagerpaddle;

namespace {

std::string repeated(const std::string& part, std::size_t times) {
    std::string text;
    text.reserve(part.size() * times);
    for (std::size_t i = 0; i < times; ++i) {
        text += part;
    }
    return text;
}

std::string indented_maps(std::size_t levels) {
    std::string text;
    for (std::size_t i = 0; i < levels; ++i) {
        text += std::string(i, ' ') + "a:\n";
    }
    return text;
}

}  // namespace

// Guards against a stack overflow of the parser, which ends the process.
TEST_CASE("deeply nested settings are refused") {
    const std::vector<std::string> documents{
        repeated("[", 100'000),
        repeated("[", 900),
        repeated("{", 900),
        repeated("[", 499) + repeated("]", 499),
        repeated("{a: ", 900) + "1" + repeated("}", 900),
        repeated("- ", 100'000) + "1",
        repeated("? ", 100'000) + "1",
        "entry:\n  " + repeated("- ", 100'000) + "1",
        "id: " + repeated("[", 400) + repeated("]", 400),
        indented_maps(600),
        repeated("!a ", 80'000) + "1",
        repeated("&a ", 80'000) + "1",
    };
    for (const auto& text : documents) {
        INFO("document ", text.substr(0, 30), " of ", text.size(), " bytes");
        CHECK_THROWS_AS((void)parse_settings(text, "odd"), settings_error);
    }
}

// Guards against ports and numbers that are cut to fit, and against errors of another class.
TEST_CASE("ports and numbers outside their range are refused with their key") {
    const std::vector<std::string> values{
        "-1",  "65536", "4294967296", "1e300",  "-1e300", "1e5000", "18446744073709551616",
        "nan", "inf",   "0x1000",     "7000.5", "port",   "''",     "null",
        "[]",  "{}",    "\"\\0\""};
    for (const char* key : {"entry.control.port", "entry.callers.port", "agent.data.port"}) {
        for (const auto& value : values) {
            INFO("key ", std::string(key), ", value ", value);
            const std::string path = key;
            const auto first = path.find('.');
            const auto second = path.rfind('.');
            const std::string text = path.substr(0, first) + ":\n  " +
                                     path.substr(first + 1, second - first - 1) +
                                     ":\n    port: " + value + "\n";
            const std::string role = path.starts_with("agent") ? "role: agent\n" : "role: entry\n";
            CHECK_THROWS_AS((void)parse_settings(role + text, "odd"), settings_error);
            CHECK_THROWS_AS((void)parse_settings(role, "odd", {path + "=" + value}),
                            settings_error);
        }
    }
}
