// Answers of the worker runtime and of the table service that no sound service gives.

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "tanagerpaddle/platform.hpp"
#include "tanagerpaddle/rpc.hpp"

using namespace tanagerpaddle;

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

// A service that answers each call with a status and a text of the test's choice.
struct odd_service {
    odd_service() : server({.listen = {"127.0.0.1", 0}}) {
        server.route("POST", "/.*", [this](const http_request&) {
            http_response response;
            response.status = status;
            response.body = answer;
            return response;
        });
        server.start();
    }

    [[nodiscard]] platform_client_options options() const {
        platform_client_options chosen;
        chosen.address = "127.0.0.1";
        chosen.port = server.port();
        return chosen;
    }

    http_server server;
    int status = 200;
    std::string answer;
};

// Checks that the action either works or throws an error with a result code.
void check_outcome(const std::function<void()>& action) {
    try {
        action();
    } catch (const error& failure) {
        CHECK(failure.code() != result_code::ok);
        CHECK(std::string(failure.what()).size() < 1'000);
    } catch (const std::exception& failure) {
        FAIL_CHECK("not an error with a result code: ", std::string(failure.what()));
    }
}

bool is_refused(const std::function<void()>& action) {
    try {
        action();
    } catch (const error&) {
        return true;
    }
    return false;
}

const std::vector<std::string>& odd_values() {
    static const std::vector<std::string> all{
        "-1",     "0.5",  "1e300", "-1e300", "18446744073709551616",
        "1e5000", "null", "true",  "\"7\"",  nested(100'000)};
    return all;
}

// A list of one task with `value` in place of the named field.
std::string task_list(const std::string& field, const std::string& value) {
    const auto pick = [&](const std::string& name, const std::string& sound) {
        return "\"" + name + "\":" + (name == field ? value : sound);
    };
    return "{\"tasks\":[{\"task\":{\"job\":\"j\"," + pick("index", "0") + "," +
           pick("attempt", "1") + "}," + pick("state", "\"running\"") + ",\"demand\":{" +
           pick("processors", "1") + "," + pick("memory", "1") + "," + pick("accelerators", "0") +
           "}," + pick("progress", "0.5") + ",\"checkpoint\":\"\"," + pick("used_processors", "1") +
           "," + pick("run_ms", "1") + "," + pick("speed_percent", "100") + "}]}";
}

const std::vector<std::string>& odd_answers() {
    static const std::vector<std::string> all{
        "",
        "null",
        "[]",
        "{}",
        "\xff",
        nested(100'000),
        "{\"code\":" + nested(100'000) + "}",
        "{\"code\":1e300,\"message\":\"m\"}",
        "{\"code\":-1,\"message\":\"m\"}",
        "{\"code\":4294967296,\"message\":\"m\"}",
        "{\"code\":18446744073709551615,\"message\":\"m\"}",
        "{\"code\":601,\"message\":7}",
        "{\"code\":601,\"message\":" + nested(100'000) + "}",
        "{\"tasks\":7}",
        "{\"tasks\":" + nested(100'000) + "}",
        "{\"encoding\":7,\"rows\":[]}",
        "{\"row\":{\"key\":\"k\",\"value\":" + nested(100'000) + ",\"version\":1}}",
    };
    return all;
}

}  // namespace

// Guards against an answer that ends the agent: its threads handle error and nothing else.
TEST_CASE("odd answers of the worker runtime are errors with a result code") {
    odd_service service;
    http_worker_runtime runtime(service.options());
    for (const int status : {200, 400, 409, 500}) {
        for (const auto& answer : odd_answers()) {
            INFO("status ", status, ", answer ", answer.substr(0, 60), " of ", answer.size());
            service.status = status;
            service.answer = answer;
            check_outcome([&] { (void)runtime.list(); });
            check_outcome([&] { runtime.stop({}); });
            check_outcome([&] { (void)runtime.checkpoint({}); });
        }
    }
    service.status = 200;
    service.answer = task_list("", "");
    CHECK(runtime.list().size() == 1);
}

// Guards against numbers that are cut to fit: a task under another attempt or with another demand.
TEST_CASE("a task of the runtime with a number out of range is refused") {
    odd_service service;
    http_worker_runtime runtime(service.options());
    for (const char* field : {"index", "attempt", "processors", "memory", "accelerators",
                              "used_processors", "run_ms", "speed_percent"}) {
        for (const auto& value : odd_values()) {
            INFO("field ", std::string(field), ", value ", value.substr(0, 60));
            service.answer = task_list(field, value);
            CHECK(is_refused([&] { (void)runtime.list(); }));
        }
    }
}

// Guards against answers that end the entry, and against versions that are cut to fit.
TEST_CASE("odd answers of the table service are errors with a result code") {
    odd_service service;
    http_table rows(service.options());
    for (const auto& answer : odd_answers()) {
        INFO("answer ", answer.substr(0, 60), " of ", answer.size());
        service.answer = answer;
        check_outcome([&] { (void)rows.read("k"); });
        check_outcome([&] { (void)rows.scan("k", "", 10); });
        check_outcome([&] { (void)rows.commit({}); });
    }
    for (const auto& value : odd_values()) {
        INFO("version ", value.substr(0, 60));
        const std::string row = "{\"key\":\"k\",\"value\":\"v\",\"version\":" + value + "}";
        service.answer = "{\"row\":" + row + "}";
        CHECK(is_refused([&] { (void)rows.read("k"); }));
        service.answer = "{\"rows\":[" + row + "]}";
        CHECK(is_refused([&] { (void)rows.scan("k", "", 10); }));
        service.answer = "{\"committed\":true,\"conflicts\":[],\"version\":" + value + "}";
        CHECK(is_refused([&] { (void)rows.commit({}); }));
    }
}
