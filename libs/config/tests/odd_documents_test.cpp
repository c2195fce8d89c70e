// Configuration documents that no sound writer produces.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "sample_configuration.hpp"
#include "tanagerpaddle/config.hpp"

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

// Guards against a stack overflow of the parser, which ends each entry that reads the row.
TEST_CASE("deeply nested configurations are refused") {
    const std::vector<std::string> documents{
        repeated("[", 100'000),
        repeated("[", 100'000) + repeated("]", 100'000),
        repeated("{a: ", 100'000) + "1" + repeated("}", 100'000),
        repeated("- ", 100'000) + "1",
        repeated("? ", 100'000) + "1",
        "services:\n  " + repeated("- ", 100'000) + "1",
        indented_maps(600),
        repeated("!a ", 100'000) + "1",
        repeated("&a ", 100'000) + "1",
    };
    for (const auto& text : documents) {
        INFO("document ", text.substr(0, 30), " of ", text.size(), " bytes");
        CHECK_THROWS_AS((void)from_yaml(text, "odd"), error);
    }
}

// False if the text is not read, or read and found not valid.
bool is_accepted(const std::string& text) {
    try {
        return validate(from_yaml(text, "odd")).empty();
    } catch (const error&) {
        return false;
    }
}

// Guards against numbers that are cut to fit, and against errors of another class.
TEST_CASE("numbers outside their range are refused in each field that takes one") {
    const std::string sound = to_yaml(testing::sample_builder().build());
    std::size_t numbers = 0;
    for (std::size_t at = sound.find(": "); at != std::string::npos;
         at = sound.find(": ", at + 1)) {
        const std::size_t end = sound.find_first_of("\n,}", at);
        const std::string value = sound.substr(at + 2, end - at - 2);
        if (value.empty() || value.find_first_not_of("0123456789") != std::string::npos) {
            continue;
        }
        ++numbers;
        for (const char* odd : {"-1", "1e300", "-1e300", "18446744073709551616", "1e5000", "nan",
                                "0.5", "[]", "{}", "[[[[[[[[]]]]]]]]"}) {
            std::string text = sound;
            text.replace(at + 2, value.size(), odd);
            INFO(sound.substr(at > 30 ? at - 30 : 0, 40), " with ", std::string(odd));
            CHECK_FALSE(is_accepted(text));
        }
    }
    CHECK(numbers > 5);
}
