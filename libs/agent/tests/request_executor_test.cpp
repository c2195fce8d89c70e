#include "request_executor.hpp"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace tanagerpaddle;

namespace {

const incarnation_number life(7);
constexpr std::uint32_t slot_count = 8;

// A target whose handler the test chooses.
struct target {
    explicit target(http_server::handler handle) : server(options()) {
        server.route(
            "POST", "/serve/([^/]+)",
            [this, handle = std::move(handle)](const http_request& request) {
                const int now_running = ++running;
                int seen = most.load();
                while (seen < now_running && !most.compare_exchange_weak(seen, now_running)) {
                }
                ++runs;
                http_response response = handle(request);
                --running;
                return response;
            });
        server.start();
    }
    static http_server_options options() {
        http_server_options chosen;
        chosen.listen = {"127.0.0.1", 0};
        return chosen;
    }
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    std::atomic<int> runs{0};
    http_server server;
};

// Accepts one connection, reads a request, sends `answer` and closes.
struct raw_target {
    explicit raw_target(std::string answer) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t length = sizeof address;
        REQUIRE(::bind(socket_, generic, length) == 0);
        REQUIRE(::listen(socket_, 4) == 0);
        REQUIRE(::getsockname(socket_, generic, &length) == 0);
        port = ntohs(address.sin_port);
        if (!answer.empty()) {
            thread_ = std::thread([this, answer = std::move(answer)] {
                const int connection = ::accept(socket_, nullptr, nullptr);
                std::array<char, 4096> buffer{};
                static_cast<void>(::recv(connection, buffer.data(), buffer.size(), 0));
                static_cast<void>(::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
                ::close(connection);
            });
        }
    }
    ~raw_target() {
        if (thread_.joinable()) {
            thread_.join();
        }
        ::close(socket_);
    }
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;
    std::uint16_t port = 0;

private:
    int socket_;
    std::thread thread_;
};

struct fixture {
    explicit fixture(std::uint16_t port, std::uint32_t slots = slot_count)
        : counter(std::make_shared<slot_counter>(slots)),
          spans(trace_options{}, time),
          executor(options(port, slots), life, counter, time, spans) {
        executor.set_refusal(result_code::ok);
    }
    static request_executor_options options(std::uint16_t port, std::uint32_t slots) {
        request_executor_options chosen;
        chosen.target = {"127.0.0.1", port};
        chosen.service = service_id("cut-order");
        chosen.slots = slots;
        chosen.max_requests = 256;
        return chosen;
    }
    static http_request request(const std::string& id, int timeout_ms = 5'000) {
        http_request made;
        made.headers = {
            {header_name::request_id, id},   {header_name::service, "cut-order"},
            {header_name::method, "place"},  {header_name::timeout_ms, std::to_string(timeout_ms)},
            {header_name::incarnation, "7"}, {header_name::idempotent, "0"}};
        made.body = "12 pallets";
        return made;
    }
    result_code run(const std::string& id, int timeout_ms = 5'000) {
        return code_of(executor.execute(request(id, timeout_ms)));
    }
    static result_code code_of(const http_response& response) {
        return result_code_from_number(std::stoi(response.header(header_name::result)));
    }
    cancel_outcome cancel(const std::string& id) {
        return executor.cancel({request_id(id), life}).outcome;
    }

    system_clock time;
    std::shared_ptr<slot_counter> counter;
    tracer spans;
    request_executor executor;
};

http_response echo(const http_request& request) {
    http_response response;
    response.body = "answer to " + request.body;
    response.headers.push_back({header_name::request_id, request.header(header_name::request_id)});
    return response;
}

// Holds requests until opened.
struct gate {
    http_response hold(const http_request& request) {
        while (!is_open) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return echo(request);
    }
    std::atomic<bool> is_open{false};
};

void wait_for(const std::function<bool()>& condition) {
    for (int i = 0; i < 5'000 && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    REQUIRE(condition());
}

}  // namespace

TEST_CASE("an answer carries its id, length, checksum, load and incarnation") {
    target back(echo);
    fixture agent(back.server.port());
    const http_response answer = agent.executor.execute(fixture::request("r1"));
    CHECK(answer.body == "answer to 12 pallets");
    CHECK(answer.header(header_name::request_id) == "r1");
    CHECK(answer.header(header_name::result) == "0");
    CHECK(answer.header(header_name::body_length) == "20");
    CHECK(answer.header(header_name::body_checksum) == to_hex(hash_bytes(answer.body)));
    CHECK(answer.header(header_name::busy_slots) == "0");
    CHECK(answer.header(header_name::incarnation) == "7");
}

// Guards against a caller who gets another request's answer or a part of its own.
TEST_CASE("crossed and truncated answers are never passed on") {
    SUBCASE("another request's id") {
        target back([](const http_request&) {
            http_response response;
            response.headers.push_back({header_name::request_id, "r2"});
            return response;
        });
        CHECK(fixture(back.server.port()).run("r1") == result_code::answer_corrupted);
    }
    SUBCASE("a shorter body than the target announced") {
        target back([](const http_request& request) {
            http_response response = echo(request);
            response.headers.push_back({header_name::body_length, "99"});
            return response;
        });
        CHECK(fixture(back.server.port()).run("r1") == result_code::answer_corrupted);
    }
    SUBCASE("a connection closed within the body") {
        raw_target back(
            "HTTP/1.1 200 OK\r\nTanagerpaddle-Request-Id: r1\r\n"
            "Content-Length: 100\r\n\r\npart");
        CHECK(fixture(back.port).run("r1") == result_code::target_failed);
    }
}

// Guards against "not run" for a request that may run, and "may have run" for one that did not.
TEST_CASE("failures of the target state whether the request ran") {
    SUBCASE("late") {
        target back([](const http_request& request) {
            std::this_thread::sleep_for(milliseconds(400));
            return echo(request);
        });
        CHECK(fixture(back.server.port()).run("r1", 100) == result_code::deadline_exceeded_running);
    }
    SUBCASE("silent") {
        raw_target back("");
        CHECK(fixture(back.port).run("r1", 200) == result_code::deadline_exceeded_running);
    }
    SUBCASE("refused") {
        std::uint16_t port = 0;
        {
            target back(echo);
            port = back.server.port();
        }
        fixture agent(port);
        CHECK(agent.run("r1") == result_code::connection_refused);
        // It did not run, so the id may be tried again and a cancel says so.
        CHECK(agent.run("r1") == result_code::connection_refused);
        CHECK(agent.cancel("r1") == cancel_outcome::not_run);
    }
    SUBCASE("status 500") {
        target back([](const http_request& request) {
            http_response response = echo(request);
            response.status = 500;
            return response;
        });
        CHECK(fixture(back.server.port()).run("r1") == result_code::target_failed);
    }
}

TEST_CASE("requests that must not run are refused with their reason") {
    target back(echo);
    fixture agent(back.server.port());
    const auto code_with = [&](const char* header, const std::string& value) {
        http_request request = fixture::request("r1");
        for (auto& item : request.headers) {
            item.value = item.name == header ? value : item.value;
        }
        return fixture::code_of(agent.executor.execute(request));
    };
    CHECK(code_with(header_name::incarnation, "8") == result_code::wrong_incarnation);
    CHECK(code_with(header_name::timeout_ms, "") == result_code::missing_deadline);
    CHECK(code_with(header_name::timeout_ms, "0") == result_code::deadline_exceeded_not_run);
    CHECK(code_with(header_name::service, "quote") == result_code::unknown_service);
    CHECK(code_with(header_name::request_id, "") == result_code::malformed_request);
    CHECK(code_with(header_name::method, "../admin") == result_code::malformed_request);
    CHECK(back.runs == 0);
}

// Guards against a second run of a non-idempotent request by a repeated delivery.
TEST_CASE("a repeated id gets the stored answer or is refused, and runs once") {
    gate door;
    target back([&](const http_request& request) { return door.hold(request); });
    fixture agent(back.server.port());
    result_code first = result_code::internal_error;
    std::thread caller([&] { first = agent.run("r1"); });
    wait_for([&] { return back.running == 1; });
    CHECK(agent.run("r1") == result_code::duplicate_request);
    door.is_open = true;
    caller.join();
    CHECK(first == result_code::ok);
    const http_response again = agent.executor.execute(fixture::request("r1"));
    CHECK(again.body == "answer to 12 pallets");
    // Another request under the same id must not get this answer.
    http_request other = fixture::request("r1");
    other.body = "99 pallets";
    CHECK(fixture::code_of(agent.executor.execute(other)) == result_code::duplicate_request);
    CHECK(back.runs == 1);
}

// Guards against a request that runs after its cancel was answered with not_run.
TEST_CASE("a cancel before, during and after the run") {
    gate door;
    target back([&](const http_request& request) { return door.hold(request); });
    fixture agent(back.server.port(), 1);
    CHECK(agent.cancel("early") == cancel_outcome::not_run);
    CHECK(agent.run("early") == result_code::cancelled_not_run);
    std::thread runner([&] { CHECK(agent.run("r1") == result_code::ok); });
    wait_for([&] { return back.running == 1; });
    std::thread waiter([&] { CHECK(agent.run("r2") == result_code::cancelled_not_run); });
    wait_for([&] { return agent.executor.in_flight() == 2; });
    CHECK(agent.cancel("r1") == cancel_outcome::running);
    CHECK(agent.cancel("r2") == cancel_outcome::not_run);
    waiter.join();
    door.is_open = true;
    runner.join();
    CHECK(agent.cancel("r1") == cancel_outcome::done);
    CHECK(back.runs == 1);
    CHECK(agent.executor.in_flight() == 0);
}

// Guards against a graceful shutdown that cuts off a request.
TEST_CASE("a request that runs when the agent starts leaving gets its answer") {
    gate door;
    target back([&](const http_request& request) { return door.hold(request); });
    fixture agent(back.server.port());
    std::thread runner([&] { CHECK(agent.run("r1") == result_code::ok); });
    wait_for([&] { return back.running == 1; });
    agent.executor.set_leaving();
    CHECK(agent.run("r2") == result_code::leaving);
    // "leaving" means not run, which would be wrong for an id that runs.
    CHECK(agent.run("r1") == result_code::duplicate_request);
    door.is_open = true;
    runner.join();
    CHECK(back.runs == 1);
}

// Guards against a target that gets more requests than it has slots, and against lost slots.
TEST_CASE("200 concurrent requests never occupy more than 8 slots of the target") {
    target back([](const http_request& request) {
        std::this_thread::sleep_for(milliseconds(5));
        return echo(request);
    });
    fixture agent(back.server.port());
    std::atomic<int> answered{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 200; ++i) {
        callers.emplace_back([&, i] {
            if (agent.run("r" + std::to_string(i), 20'000) == result_code::ok) {
                ++answered;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(answered == 200);
    CHECK(back.most <= static_cast<int>(slot_count));
    CHECK(back.runs == 200);
    CHECK(agent.counter->busy() == 0);
}

// Guards against requests that wait beyond the time when they could still be answered.
TEST_CASE("a request that gets no slot in time is refused as not run") {
    gate door;
    target back([&](const http_request& request) { return door.hold(request); });
    fixture agent(back.server.port(), 1);
    std::thread runner([&] { CHECK(agent.run("r1") == result_code::ok); });
    wait_for([&] { return back.running == 1; });
    CHECK(agent.run("r2", 50) == result_code::deadline_exceeded_not_run);
    door.is_open = true;
    runner.join();
    CHECK(back.runs == 1);
}
