// Messages and rows with values that no sound writer produces.

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "tanagerpaddle/protocol.hpp"

using namespace tanagerpaddle;

namespace {

constexpr std::size_t deep_levels = 100'000;

std::string nested(const std::string& opening, const std::string& innermost,
                   const std::string& closing) {
    std::string text;
    text.reserve(deep_levels * (opening.size() + closing.size()) + innermost.size());
    for (std::size_t i = 0; i < deep_levels; ++i) {
        text += opening;
    }
    text += innermost;
    for (std::size_t i = 0; i < deep_levels; ++i) {
        text += closing;
    }
    return text;
}

std::string deep_list() {
    return nested("[", "", "]");
}
std::string deep_object() {
    return nested("{\"a\":", "1", "}");
}

struct odd_field {
    const char* name;
    // A message up to the value, and from the value on.
    const char* before;
    const char* after;
    std::function<void(const std::string&)> read;
    // An object is allowed there; its unknown fields are skipped.
    bool takes_object = false;
};

template <class Message>
void read_as(const std::string& text) {
    (void)decode<Message>(text);
}

const std::vector<odd_field>& fields() {
    static const std::vector<odd_field> all{
        {"the message", "", "", read_as<entry_info>, true},
        {"a strong number", "{\"incarnation\":", "}", read_as<entry_info>},
        {"a port", "{\"id\":\"e\",\"control\":{\"address\":\"127.0.0.1\",\"port\":", "}}",
         read_as<entry_info>},
        {"an address", "{\"id\":\"e\",\"control\":{\"address\":", "}}", read_as<entry_info>},
        {"an endpoint", "{\"control\":", "}", read_as<entry_info>, true},
        {"an id", "{\"id\":", "}", read_as<entry_info>},
        {"an optional object", "{\"redirect\":", "}", read_as<sync_reply>, true},
        {"a result code", "{\"code\":", "}", read_as<sync_reply>},
        {"a duration", "{\"lease_ms\":", "}", read_as<sync_reply>},
        {"an enumerator", "{\"tasks\":[{\"state\":", "}]}", read_as<sync_request>},
        {"a fraction", "{\"tasks\":[{\"progress\":", "}]}", read_as<sync_request>},
        {"a flag", "{\"is_leaving\":", "}", read_as<sync_request>},
        {"a list", "{\"tasks\":", "}", read_as<group_row>},
        {"an epoch", "{\"epoch\":", "}", read_as<partition_row>},
        {"a version", "{\"version\":", "}", read_as<configuration_row>},
        {"a drain", "{\"is_drained\":", "}", read_as<domain_row>},
        {"a counter", "{\"group_count\":", "}", read_as<job_row>},
        {"a targets version", "{\"targets_version\":", "}", read_as<entry_digest>},
    };
    return all;
}

// The code of the error, or nothing if the text was read; other exceptions pass through.
std::optional<result_code> refusal(const odd_field& field, const std::string& value) {
    try {
        field.read(field.before + value + field.after);
    } catch (const error& failure) {
        CHECK(std::string(failure.what()).size() < 1'000);
        return failure.code();
    }
    return std::nullopt;
}

}  // namespace

// Guards against a stack overflow, which ends the process, when the value is shown in the error.
TEST_CASE("a value of 100,000 levels is refused in place of any field") {
    const std::string list = deep_list();
    const std::string object = deep_object();
    for (const auto& field : fields()) {
        INFO("in place of ", std::string(field.name));
        CHECK(refusal(field, list) == result_code::malformed_request);
        CHECK(refusal(field, object).has_value() == !field.takes_object);
    }
}

// Guards against a document that is never closed, whose levels are freed while the error passes.
TEST_CASE("100,000 levels that are not closed are refused") {
    for (const auto& field : fields()) {
        INFO("in place of ", std::string(field.name));
        CHECK(refusal(field, std::string(deep_levels, '[')) == result_code::malformed_request);
    }
}

// Guards against unknown fields that are skipped at a cost in stack.
TEST_CASE("100,000 levels in an unknown field do not keep the message from being read") {
    const auto info = decode<entry_info>("{\"id\":\"e\",\"later\":" + deep_list() + "}");
    CHECK(info.id == entry_id("e"));
}

// Guards against numbers that are cut to fit, which turn one statement into another.
TEST_CASE("ports, marks and counters outside their range are refused") {
    const std::vector<std::string> values{
        "-1",   "1.5", "1e300", "-1e300", "18446744073709551616", "1e5000",  "null",
        "true", "[]",  "{}",    "\"1\"",  "\"\\ud800\"",          "\"\xff\""};
    for (const auto& field : fields()) {
        const std::string name = field.name;
        if (name != "a port" && name != "a strong number" && name != "an epoch" &&
            name != "a version" && name != "a counter" && name != "a targets version") {
            continue;
        }
        for (const auto& value : values) {
            INFO("in place of ", name, ": ", value);
            CHECK(refusal(field, value) == result_code::malformed_request);
        }
    }
    for (const char* port : {"65536", "4294967296", "99999999999"}) {
        INFO("port ", std::string(port));
        CHECK(refusal(fields().at(2), port) == result_code::malformed_request);
    }
}

// Guards against error messages, and log lines, that are as long as the sender chose.
TEST_CASE("a long text that is not valid is not repeated in the error") {
    for (const auto& text : {"{\"id\":\"" + std::string(1'000'000, 'a') + "\xff\"}",
                             "{\"id\":" + std::string(1'000'000, '1') + "}",
                             "{\"incarnation\":\"" + std::string(1'000'000, '1') + "\"}"}) {
        CHECK(refusal(fields().front(), text) == result_code::malformed_request);
    }
}
