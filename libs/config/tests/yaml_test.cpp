#include <doctest/doctest.h>

#include "sample_configuration.hpp"

using namespace tanagerpaddle;
using testing::sample_builder;

namespace {

// The message of the rejection, or "accepted".
std::string rejection(const std::string& text) {
    try {
        static_cast<void>(from_yaml(text, "test.yaml"));
        return "accepted";
    } catch (const error& e) {
        CHECK(e.code() == result_code::invalid_configuration);
        return e.what();
    }
}

struct rejected_document {
    const char* text;
    const char* expected;
};

}  // namespace

// A value that changes on the way through the table would alter what operators declared.
TEST_CASE("a configuration survives printing and parsing unchanged") {
    const configuration declared = sample_builder().build();
    const std::string text = to_yaml(declared);
    INFO(text);
    CHECK(from_yaml(text, "test") == declared);
    CHECK(to_yaml(from_yaml(text, "test")) == text);
    CHECK(from_yaml(to_yaml({}), "test") == configuration{});
}

// Texts that YAML would read as numbers, nulls, comments or line breaks must stay texts.
TEST_CASE("commands with special YAML characters survive printing and parsing") {
    for (const char* command : {"",
                                "~",
                                "null",
                                "true",
                                "0x10",
                                "- a",
                                "a: b",
                                "#x",
                                "'\"\\",
                                "line\nline\n",
                                "\ttab",
                                " lead",
                                "trail ",
                                "%TAG",
                                "\xef\xbb\xbf",
                                "\xe2\x80\xa8",
                                "\xf0\x9f\x8c\xb1",
                                "*alias",
                                "&anchor",
                                "? key"}) {
        configuration declared = sample_builder().build();
        declared.jobs[0].command = command;
        INFO("command '", command, "'");
        CHECK(validate(declared).empty());
        CHECK(from_yaml(to_yaml(declared), "test") == declared);
    }
}

// An ignored mistake would let a configuration take effect that says something else.
TEST_CASE("a rejected document names line, key, value and what is allowed") {
    const rejected_document documents[] = {
        {"teams:\n  - id: a\n    quotta: 1\n", "test.yaml:3: teams[0].quotta: 'quotta'"},
        {"jobs:\n  - id: a\n    task_count: many\n",
         "test.yaml:3: jobs[0].task_count: 'many' is not allowed; allowed: a whole number from 0"},
        {"jobs:\n  - id: a\n    task_count: -1\n", "'-1' is not allowed"},
        {"jobs:\n  - id: a\n    task_count: 4294967296\n", "'4294967296' is not allowed"},
        {"jobs:\n  - id: a\n    kind: bach\n", "'bach' is not allowed; allowed: batch, hold"},
        {"jobs:\n  - id: a\n    complete_by: tomorrow\n", "a UTC time such as"},
        {"jobs:\n  - id: a\n    is_idempotent: yes\n", "allowed: true or false"},
        {"jobs:\n  - id: a\n    id: b\n",
         "test.yaml:3: jobs[0].id: 'id' is not allowed; allowed: "
         "each key once"},
        {"jobs:\n  - team: a\n", "a map with the key id"},
        {"jobs: 3\n", "jobs: '3' is not allowed; allowed: a list"},
        {"drains: [[a]]\n", "drains[0]: a list is not allowed"},
        {"unknown: 1\n", "test.yaml:1: unknown"},
        {"teams: [\n", "valid YAML"},
        {"", "a map of keys"},
        {"{}\n---\n{}\n", "a second document"},
        {"teams: &a []\n", "an anchor or alias"},
        {"teams: []\nservices: *teams\n", "test.yaml:2"},
    };
    for (const auto& document : documents) {
        const std::string message = rejection(document.text);
        INFO(document.text, " -> ", message, " (expected: ", document.expected, ")");
        CHECK(message.find(document.expected) != std::string::npos);
    }
}

// Anyone who can reach the operators' port could otherwise exhaust memory or the stack.
TEST_CASE("hostile documents are rejected within the limits") {
    const std::string nested(100'000, '[');
    CHECK(rejection(nested).find("allowed") != std::string::npos);
    CHECK(rejection("jobs: " + std::string(20, '[') + std::string(20, ']'))
              .find("at most 16 levels") != std::string::npos);
    const std::string large(configuration_limits::document_bytes + 1, ' ');
    CHECK(rejection(large).find("at most 4194304 bytes") != std::string::npos);
    std::string many = "drains: [a";
    for (int i = 0; i < 300'000; ++i) {
        many += ",a";
    }
    CHECK(rejection(many + "]").find("at most 200000 values") != std::string::npos);
    CHECK(rejection(std::string("teams:\0x", 8)) != "accepted");
    CHECK(rejection("\xff\xfe\x00\x01") != "accepted");
}

// Limits that contradict each other would reject a configuration after it was accepted.
TEST_CASE("a configuration with the largest number of jobs can be stored and read back") {
    configuration declared = sample_builder().build();
    declared.jobs.resize(configuration_limits::jobs, declared.jobs[0]);
    for (std::size_t i = 0; i < declared.jobs.size(); ++i) {
        declared.jobs[i].id = job_id("harvest-plan-" + std::to_string(i));
    }
    CHECK(validate(declared).empty());
    const std::string text = to_yaml(declared);
    INFO("printed ", text.size(), " bytes");
    CHECK(from_yaml(text, "test") == declared);
}
