#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <thread>

#include "tanagerpaddle/telemetry.hpp"

using namespace tanagerpaddle;
using nlohmann::json;

namespace {

// A log file that is removed at the end of the test.
struct log_file {
    std::string path;

    explicit log_file(const std::string& name) : path(name + ".log") {
        std::filesystem::remove(path);
    }
    ~log_file() { std::filesystem::remove(path); }
    log_file(const log_file&) = delete;
    log_file& operator=(const log_file&) = delete;

    [[nodiscard]] std::vector<json> lines() const {
        std::vector<json> result;
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            INFO(line);
            result.push_back(json::parse(line));
        }
        return result;
    }
    [[nodiscard]] log_options options() const {
        log_options result;
        result.role = "entry";
        result.id = "e-1";
        result.file = path;
        return result;
    }
};

}  // namespace

// A line that is not JSON, or has another event name, is lost to whoever searches the logs.
TEST_CASE("every line is valid JSON whatever the texts contain") {
    const log_file file("every_line");
    const manual_clock time;
    event_log log(file.options(), time);
    const std::string hostile("quote\" backslash\\ newline\n tab\t nul\0 high\xff\xc3( {} %v", 43);
    log.log(log_level::warning, "request_rejected",
            {{"text", hostile},
             {"level", "not the level"},
             {"long", std::string(100'000, 'x')},
             {"number", std::uint64_t{18'446'744'073'709'551'615U}},
             {"negative", -5},
             {"ratio", 0.5},
             {"not_a_number", std::numeric_limits<double>::quiet_NaN()},
             {"flag", true},
             {"code", result_code::overloaded},
             {"wait_ms", milliseconds(5)},
             {"version", row_version(9)},
             {"job", job_id("j-1")}});
    const auto lines = file.lines();
    REQUIRE(lines.size() == 1);
    const json& line = lines.at(0);
    INFO(line.dump(-1, ' ', false, json::error_handler_t::replace).substr(0, 400));
    // The manual clock starts at 1,700,003,600 s after 1970.
    CHECK(line.at("ts") == "2023-11-14T23:13:20.000Z");
    CHECK(line.at("level") == "warning");
    CHECK(line.at("event") == "request_rejected");
    CHECK(line.at("role") == "entry");
    CHECK(line.at("id") == "e-1");
    CHECK(line.at("field_level") == "not the level");
    CHECK(line.at("text").get<std::string>().starts_with("quote\" backslash\\ newline\n tab\t"));
    CHECK(line.at("long").get<std::string>().size() == 8'192);
    CHECK(line.at("number").get<std::uint64_t>() == 18'446'744'073'709'551'615U);
    CHECK(line.at("negative") == -5);
    CHECK(line.at("not_a_number").is_null());
    CHECK(line.at("flag") == true);
    CHECK(line.at("code") == 201);
    CHECK(line.at("wait_ms") == 5);
    CHECK(line.at("version") == 9);
    CHECK(line.at("job") == "j-1");
}

// A key in a log file would be readable by everyone who may read logs.
TEST_CASE("a secret is never written") {
    const log_file file("secret");
    const manual_clock time;
    event_log log(file.options(), time);
    log.log(log_level::info, "key_loaded", {{"key", secret{"open-sesame-0123"}}});
    CHECK(file.lines().at(0).at("key") == "***");
}

// A repeated failure would fill the disk and slow every request down.
TEST_CASE("repeated events are held back and counted in one line") {
    const log_file file("repeated");
    manual_clock time;
    log_options options = file.options();
    options.lines_per_window = 3;
    event_log log(options, time);
    for (int i = 0; i < 10; ++i) {
        log.log(log_level::warning, "target_failed", {{"n", i}});
        log.log(log_level::info, "other_event");
    }
    // Errors have a window of their own.
    for (int i = 0; i < 10; ++i) {
        log.log(log_level::error, "target_failed");
    }
    CHECK(file.lines().size() == 9);
    time.advance(options.window);
    log.log(log_level::warning, "target_failed", {{"n", 10}});
    auto lines = file.lines();
    REQUIRE(lines.size() == 11);
    CHECK(lines[9].at("suppressed") == 7);
    CHECK(lines[10].at("n") == 10);
    log.flush();
    lines = file.lines();
    REQUIRE(lines.size() == 13);
    CHECK(lines[11].at("event") == "other_event");
    CHECK(lines[11].at("suppressed") == 7);
    CHECK(lines[12].at("level") == "error");
    CHECK(lines[12].at("suppressed") == 7);
}

// A threshold that lets debug lines through would multiply the volume of every process.
TEST_CASE("lines below the threshold are left out") {
    const log_file file("threshold");
    const manual_clock time;
    event_log log(file.options(), time);
    log.log(log_level::debug, "first");
    log.set_threshold(log_level::debug);
    log.log(log_level::debug, "second");
    REQUIRE(file.lines().size() == 1);
    CHECK(file.lines()[0].at("event") == "second");
    log_options unusable = file.options();
    unusable.file = "/dev/null/log";
    CHECK_THROWS_AS(event_log(unusable, time), error);
}

// Interleaved writes would break two lines at once.
TEST_CASE("lines of several threads stay whole") {
    const log_file file("threads");
    const system_clock time;
    log_options options = file.options();
    options.lines_per_window = 10'000;
    event_log log(options, time);
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([&log, t] {
                for (int i = 0; i < 200; ++i) {
                    log.log(log_level::info, "step", {{"thread", t}, {"n", i}});
                }
            });
        }
    }
    CHECK(file.lines().size() == 800);
}
