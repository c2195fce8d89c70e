#include <doctest/doctest.h>

#include "fake_entry.hpp"
#include "tanagerpaddle/config.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::ctl;

namespace {

configuration_builder small_configuration(std::uint32_t slots) {
    configuration_builder builder;
    builder.failure_domain("rosenberg", "texas");
    builder.team("orders", {units::cores(8), units::gibibytes(8), units::accelerators(0)});
    builder.service("cut-orders", "orders").slots(slots).idempotent_method("quote");
    return builder;
}

std::string document(std::uint32_t slots) {
    return to_yaml(small_configuration(slots).build());
}

std::string held(std::uint64_t version, std::uint32_t slots) {
    return nlohmann::json{{"version", version}, {"document", document(slots)}}.dump();
}

// As the operators' interface answers: the state by its name.
std::string row_of(const std::string& id, const std::string& state) {
    job_row row;
    row.declaration.id = job_id(id);
    row.declaration.team = team_id("harvest");
    row.declaration.task_count = 3;
    row.ended_tasks.finished = 2;
    auto body = nlohmann::json::parse(encode(row));
    body["state"] = state;
    return body.dump();
}

}  // namespace

TEST_CASE("apply puts the document on condition of the version that it read") {
    fake_entry entry;
    entry.on("GET /v1/config", held(7, 8));
    entry.on("PUT /v1/config", R"({"version":8})");
    const auto seen = run_at(entry, {"apply", "-", "--operator", "ana"}, document(9));
    INFO("output: ", seen.out, seen.err);
    CHECK(seen.status == 0);
    CHECK(seen.out.find("slots 8 -> 9") != std::string::npos);
    CHECK(seen.out.find("accepted as version 8") != std::string::npos);
    const auto puts = entry.seen("PUT /v1/config");
    REQUIRE(puts.size() == 1);
    CHECK(puts[0].parameter("expected_version") == "7");
    CHECK_FALSE(puts[0].parameter("operation").empty());
    CHECK(puts[0].header("Tanagerpaddle-Operator") == "ana");
    CHECK(puts[0].body == document(9));
}

// With another id the repetition would conflict with the change that it made itself.
TEST_CASE("apply repeats a change of unknown outcome with the same operation id") {
    fake_entry entry;
    entry.on("GET /v1/config", held(1, 8));
    std::atomic<int> calls{0};
    entry.on("PUT /v1/config", [&calls](const http_request&) {
        if (++calls == 1) {
            return error_response(result_code::store_outcome_unknown, "no answer of the table");
        }
        http_response response;
        response.body = R"({"version":2})";
        return response;
    });
    const auto seen = run_at(entry, {"apply", "-"}, document(9));
    INFO("output: ", seen.out, seen.err);
    CHECK(seen.status == 0);
    const auto puts = entry.seen("PUT /v1/config");
    REQUIRE(puts.size() == 2);
    CHECK(puts[0].parameter("operation") == puts[1].parameter("operation"));
}

TEST_CASE("a conflict names the expected and the present version") {
    fake_entry entry;
    entry.on("GET /v1/config", held(7, 8));
    entry.on("PUT /v1/config", [](const http_request&) {
        http_response response;
        response.status = 409;
        response.body = R"({"code":502,"name":"configuration_conflict","message":"","version":9})";
        return response;
    });
    const auto seen = run_at(entry, {"apply", "-"}, document(9));
    INFO("error output: ", seen.err);
    CHECK(seen.status == 5);
    CHECK(seen.err.find("expected version 7, present version 9") != std::string::npos);
}

TEST_CASE("nothing is sent by a dry run, for an invalid document or without a change") {
    fake_entry entry;
    entry.on("GET /v1/config", held(7, 8));
    CHECK(run_at(entry, {"apply", "-", "--dry-run"}, document(9)).status == 0);
    CHECK(run_at(entry, {"apply", "-"}, document(8)).status == 0);
    const auto invalid = run_at(entry, {"apply", "-"}, to_yaml(small_configuration(0).declared()));
    INFO("error output: ", invalid.err);
    CHECK(invalid.status == 1);
    CHECK(invalid.err.find("slots") != std::string::npos);
    CHECK(entry.seen("PUT /v1/config").empty());
}

TEST_CASE("the first configuration is applied to version 0") {
    fake_entry entry;
    entry.on("GET /v1/config", [](const http_request&) {
        http_response response;
        response.status = 404;
        response.body = R"({"version":0})";
        return response;
    });
    entry.on("PUT /v1/config", R"({"version":1})");
    const auto seen = run_at(entry, {"apply", "-"}, document(8));
    INFO("output: ", seen.out, seen.err);
    CHECK(seen.status == 0);
    REQUIRE(entry.seen("PUT /v1/config").size() == 1);
    CHECK(entry.seen("PUT /v1/config")[0].parameter("expected_version") == "0");
}

TEST_CASE("jobs are listed as an aligned table and as JSON") {
    fake_entry entry;
    entry.on("GET /v1/jobs",
             "[" + row_of("plan", "active") + "," + row_of("render-a-long-name", "failed") + "]");
    const auto table = run_at(entry, {"jobs", "list"});
    INFO("output: ", table.out, table.err);
    CHECK(table.status == 0);
    CHECK(table.out.starts_with("JOB                 TEAM     KIND   STATE   TASKS  FINISHED"));
    CHECK(table.out.find("\nplan                harvest  batch  active  3      2") !=
          std::string::npos);
    const auto json = run_at(entry, {"--output", "json", "jobs", "list"});
    const auto parsed = nlohmann::json::parse(json.out);
    CHECK(parsed.size() == 2);
    CHECK(parsed[1]["state"] == "failed");
}

// A name from elsewhere must not move the cursor or change colours of the operator's terminal.
TEST_CASE("control characters do not reach the terminal") {
    fake_entry entry;
    entry.on("GET /v1/decisions", R"([{"kind":"claim\u001b[2J","cause":"a\nb","age_ms":5}])");
    const auto seen = run_at(entry, {"decisions"});
    CHECK(seen.out.find('\x1b') == std::string::npos);
    CHECK(seen.out.find("a?b") != std::string::npos);
}

TEST_CASE("a job submitted from flags arrives as declared") {
    fake_entry entry;
    entry.on("POST /v1/jobs", R"({"is_new":true})");
    const auto seen =
        run_at(entry, {"jobs", "submit", "soil-map", "--team", "harvest", "--tasks", "4", "--cores",
                       "2.5", "--memory-mib", "512", "--non-idempotent", "--urgent",
                       "--complete-by", "2026-12-05T05:30:00Z", "--command", "run_ms=5"});
    INFO("output: ", seen.out, seen.err);
    REQUIRE(seen.status == 0);
    const auto job = decode<job_declaration>(entry.seen("POST /v1/jobs").at(0).body);
    CHECK(job.id.value() == "soil-map");
    CHECK(job.task_count == 4);
    CHECK(job.demand.processors.value() == 2'500);
    CHECK(job.demand.memory.value() == 512);
    CHECK_FALSE(job.is_idempotent);
    CHECK(job.priority == job_priority::urgent);
    CHECK(to_rfc3339(job.complete_by) == "2026-12-05T05:30:00.000Z");
    CHECK(job.command == "run_ms=5");
}

TEST_CASE("cancelling by prefix takes active jobs only and reports the first failure") {
    fake_entry entry;
    entry.on("GET /v1/jobs", "[" + row_of("soil-1", "active") + "," + row_of("soil-2", "finished") +
                                 "," + row_of("yard", "active") + "]");
    entry.on("POST /v1/jobs/cancel", R"({"results":[{"id":"soil-1","code":500}]})");
    const auto seen = run_at(entry, {"jobs", "cancel", "--prefix", "soil-"});
    INFO("output: ", seen.out, seen.err);
    CHECK(seen.status == 5);
    CHECK(entry.seen("POST /v1/jobs/cancel").at(0).body == R"({"ids":["soil-1"]})");
}

// Entries leave out members with default values; partition 0 and an idle target must still show.
TEST_CASE("status and targets show members that the answer leaves out") {
    fake_entry entry;
    entry.on("GET /v1/status",
             R"({"entry":"entry-1","is_ready":true,"partitions":[{"worker_count":2}]})");
    entry.on("GET /v1/targets", R"([{"target":{"id":"t","service":"s","slots":8}}])");
    const auto status = run_at(entry, {"status"});
    INFO("output: ", status.out, status.err);
    CHECK(status.out.find("\n0          0      2        0        0m 0MiB 0acc") !=
          std::string::npos);
    const auto targets = run_at(entry, {"targets"});
    INFO("output: ", targets.out, targets.err);
    CHECK(targets.out.find("\nt       s        :0") != std::string::npos);
    CHECK(targets.out.find("  0     8      -            -") != std::string::npos);
}
