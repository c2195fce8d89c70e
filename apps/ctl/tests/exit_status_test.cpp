#include <doctest/doctest.h>

#include "fake_entry.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::ctl;

namespace {

// Nothing listens on the port of a server that was destroyed.
std::string closed_address() {
    return fake_entry().address();
}

}  // namespace

// Scripts branch on the status; a wrong class makes them repeat what must not be repeated.
TEST_CASE("the exit status is the class of the result code") {
    const std::vector<std::pair<result_code, int>> expected{
        {result_code::unknown_job, 1},           {result_code::overloaded, 2},
        {result_code::outcome_unknown, 3},       {result_code::task_failed, 4},
        {result_code::store_unavailable, 5},     {result_code::unauthorized, 1},
        {result_code::configuration_conflict, 5}};
    for (const auto& [code, status] : expected) {
        fake_entry entry;
        entry.on("GET /v1/status", [answered = code](const http_request&) {
            return error_response(answered, "scripted");
        });
        const auto seen = run_at(entry, {"status"});
        INFO("code ", name(code), ", error output: ", seen.err);
        CHECK(seen.status == status);
        CHECK(seen.err.find(name(code)) != std::string::npos);
        CHECK(seen.err.find("scripted") != std::string::npos);
    }
}

// Wrong arguments must not look like a refusal by the system.
TEST_CASE("wrong usage ends with 64 and sends nothing") {
    fake_entry entry;
    const std::vector<std::vector<std::string>> wrong{
        {"unknown"},
        {"jobs"},
        {"apply"},
        {"explain", "a", "b"},
        {"status", "--output", "xml"},
        {"status", "--no-such-option"},
        {"status", "--timeout-ms", "0"},
        {"jobs", "submit", "without-team"},
        {"jobs", "cancel", "--prefix", ""},
        {"load", "--service", "s"},
    };
    for (const auto& arguments : wrong) {
        const auto seen = run_at(entry, arguments);
        INFO("arguments: ", arguments.front(), ", error output: ", seen.err);
        CHECK(seen.status == 64);
        CHECK(seen.out == "");
    }
    CHECK(run({}).status == 64);
    CHECK(run({"status", "--entry", "no-port"}).status == 64);
}

TEST_CASE("help and version need no entry") {
    for (const command* item : all_commands()) {
        std::vector<std::string> arguments;
        std::istringstream words{std::string(item->name)};
        for (std::string word; words >> word;) {
            arguments.push_back(word);
        }
        arguments.emplace_back("--help");
        const auto seen = run(arguments);
        INFO("command ", item->name, ", output: ", seen.out, seen.err);
        CHECK(seen.status == 0);
        CHECK(seen.out.find("Examples:\n  tanagerpaddlectl ") != std::string::npos);
    }
    CHECK(run({"version"}).out.starts_with("tanagerpaddlectl "));
    CHECK(run({"--help"}).status == 0);
}

// An operator with several entries must not be stopped by one that is down or starting.
TEST_CASE("the next entry is tried when one cannot answer") {
    fake_entry starting;
    starting.on("GET /v1/targets", [](const http_request&) {
        return error_response(result_code::not_ready, "starting");
    });
    fake_entry ready;
    ready.on("GET /v1/targets", "[]");
    const auto seen = run({"targets", "--entry", closed_address(), "--entry", starting.address(),
                           "--entry", ready.address()});
    INFO("error output: ", seen.err);
    CHECK(seen.status == 0);
    CHECK(starting.seen("GET /v1/targets").size() == 1);
}

TEST_CASE("a change that reached no entry was not run") {
    const auto seen =
        run({"drain", "rosenberg", "--entry", closed_address(), "--timeout-ms", "500"});
    INFO("error output: ", seen.err);
    CHECK(seen.status == 2);
}

// Without a key an entry would refuse the call; a wrong file must not send an empty key.
TEST_CASE("an unreadable key file is an input error") {
    fake_entry entry;
    const auto seen = run_at(entry, {"status", "--key-file", "/no/such/file"});
    INFO("error output: ", seen.err);
    CHECK(seen.status == 1);
    CHECK(entry.seen("GET /v1/status").empty());
}
