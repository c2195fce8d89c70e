#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "tanagerpaddle/platform.hpp"
#include "target_routes.hpp"

using namespace tanagerpaddle;

namespace {

// One target stand-in and its clients in one process.
struct target_fixture {
    system_clock time;
    memory_object_store objects;
    standin::fault_switches faults;
    standin::event_record record{"", worker_id("w1"), failure_domain_id("d1"), time};
    standin::task_runtime runtime{{}, time, objects, faults, record};
    standin::request_server requests{
        {.slots = 2, .mean_service_ms = 40, .jitter = 0}, faults, record, [] { return 1.0; }};
    standin::server http{{"127.0.0.1", 0, 16}};

    target_fixture() {
        const standin::target_parts parts{faults, runtime, requests, time};
        add_serve_routes(http, parts);
        add_runtime_routes(http, parts);
        add_control_routes(http, parts);
        http.start();
    }

    [[nodiscard]] platform_client_options options(
        milliseconds timeout = milliseconds(2'000)) const {
        platform_client_options result;
        result.port = http.port();
        result.call_timeout = timeout;
        return result;
    }

    [[nodiscard]] httplib::Result ask(const std::string& id, const std::string& body,
                                      const std::string& bytes = "") const {
        httplib::Client client("127.0.0.1", http.port());
        client.set_read_timeout(milliseconds(1'000));
        httplib::Headers headers{{"Tanagerpaddle-Request-Id", id}};
        if (!bytes.empty()) {
            headers.emplace("X-Answer-Bytes", bytes);
        }
        return client.Post("/serve/quote", headers, body, "application/octet-stream");
    }
};

start_permit permit_for(const std::string& job, const std::string& command) {
    start_permit permit;
    permit.attempt = {{job_id(job), 3}, attempt_number(2)};
    permit.demand = {millicores(2'000), mebibytes(100), accelerator_count(1)};
    permit.valid_ms = 3'000;
    permit.run_time_ms = 60'000;
    permit.command = command;
    return permit;
}

template <class Call>
result_code code_of(Call&& call) {
    try {
        call();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

}  // namespace

TEST_CASE_FIXTURE(target_fixture, "the answer is made from id, method and body") {
    auto answer = ask("r1", "abc");
    REQUIRE(answer);
    CHECK(answer->body == "r1|quote|cba");
    CHECK(answer->get_header_value("Tanagerpaddle-Request-Id") == "r1");
    answer = ask("r2", "xy", "20");
    REQUIRE(answer);
    CHECK(answer->body == "r2|quote|yxr2|quote|");
    CHECK(ask("r3", "", "many")->status == 400);
}

TEST_CASE_FIXTURE(target_fixture, "requests beyond the slots wait") {
    const auto start = std::chrono::steady_clock::now();
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] { answered += ask("r" + std::to_string(i), "") ? 1 : 0; });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    const auto taken = std::chrono::steady_clock::now() - start;
    CHECK(answered == 6);
    CHECK(std::chrono::duration_cast<milliseconds>(taken).count() >= 120);
    CHECK(requests.served() == 6);
}

TEST_CASE_FIXTURE(target_fixture, "crossed, truncated, late, failed and silent answers") {
    REQUIRE(ask("r1", "1"));
    faults.change({{"crossed", 1.0}});
    CHECK(ask("r2", "2")->body == "r1|quote|1");
    faults.change({{"crossed", 0.0}, {"truncated", 1.0}});
    CHECK_FALSE(ask("r3", "3"));
    faults.change({{"truncated", 0.0}, {"late", 1.0}, {"late_ms", 200}});
    const auto start = std::chrono::steady_clock::now();
    CHECK(ask("r4", "4")->body == "r4|quote|4");
    const auto taken = std::chrono::steady_clock::now() - start;
    CHECK(std::chrono::duration_cast<milliseconds>(taken).count() >= 240);
    faults.change({{"late", 0.0}, {"fail_requests", true}});
    CHECK(ask("r5", "5")->status == 500);
    faults.change({{"fail_requests", false}, {"silent", true}});
    CHECK_FALSE(ask("r6", "6"));
    faults.change({{"silent", false}});
    // The silent request was not run.
    CHECK(requests.served() == 5);
    CHECK(code_of([&] { faults.change({{"sillent", true}}); }) == result_code::malformed_request);
}

TEST_CASE_FIXTURE(target_fixture, "the runtime's client carries tasks both ways") {
    http_worker_runtime client(options());
    const auto permit = permit_for("j", "run_ms=60000 fail=0");
    client.start(permit, 5'000);
    client.renew({permit.attempt}, 8'000);
    client.throttle(permit.attempt, 40);
    CHECK(client.checkpoint(permit.attempt) == checkpoint_key(permit.attempt));
    client.pause(permit.attempt);
    auto tasks = client.list();
    REQUIRE(tasks.size() == 1);
    CHECK(tasks[0].attempt == permit.attempt);
    CHECK(tasks[0].state == runtime_task_state::paused);
    CHECK(tasks[0].demand == permit.demand);
    CHECK(tasks[0].speed_percent == 40);
    CHECK(tasks[0].checkpoint == checkpoint_key(permit.attempt));
    client.resume(permit.attempt, 5'000);
    CHECK(client.list()[0].state == runtime_task_state::running);
    client.stop(permit.attempt);
    client.stop(permit.attempt);
    client.forget(permit.attempt);
    CHECK(client.list().empty());
    CHECK(code_of([&] { client.pause(permit.attempt); }) == result_code::unknown_job);
}

TEST_CASE_FIXTURE(target_fixture, "a lease runs out on the runtime's own clock") {
    http_worker_runtime client(options());
    client.start(permit_for("j", ""), 150);
    CHECK(client.list()[0].state == runtime_task_state::running);
    std::this_thread::sleep_for(milliseconds(250));
    CHECK(client.list()[0].state == runtime_task_state::paused);
    CHECK(client.list()[0].run_ms <= 150);
}

// An agent that took a lost answer for a refusal would release the task's resources.
TEST_CASE_FIXTURE(target_fixture,
                  "a silent runtime leaves the outcome unknown, a late start is void") {
    http_worker_runtime client(options(milliseconds(200)));
    faults.change({{"runtime_silent", true}});
    CHECK(code_of([&] { client.start(permit_for("j", ""), 250); }) == result_code::outcome_unknown);
    std::this_thread::sleep_for(milliseconds(100));
    faults.change({{"runtime_silent", false}});
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(client.list().empty());
}

TEST_CASE("a runtime without a listener refuses calls") {
    platform_client_options options;
    {
        standin::server stopped({"127.0.0.1", 0, 1});
        stopped.start();
        options.port = stopped.port();
    }
    http_worker_runtime client(options);
    CHECK(code_of([&] { (void)client.list(); }) == result_code::connection_refused);
}
