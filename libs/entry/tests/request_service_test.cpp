#include "request_service.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <thread>

using namespace tanagerpaddle;

namespace {

// What the fake agent does with its next requests.
enum class behaviour { right, crossed, truncated, silent, leaving };

http_response whole_answer(const std::string& id, const std::string& body) {
    http_response response;
    response.body = body;
    response.headers = {{header_name::result, "0"},
                        {header_name::request_id, id},
                        {header_name::body_length, std::to_string(body.size())},
                        {header_name::body_checksum, to_hex(hash_bytes(body))}};
    return response;
}

class fake_agent {
public:
    fake_agent() : server_({.listen = {"127.0.0.1", 0}}) {
        server_.route("POST", "/v1/execute",
                      [this](const http_request& request) { return execute(request); });
        methods_.add("agent.cancel", [this](const std::string&) {
            return encode(cancel_reply{cancel_answer.load()});
        });
        methods_.mount(server_, keys_);
        server_.start();
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.port()}; }

    std::atomic<behaviour> next{behaviour::right};
    std::atomic<cancel_outcome> cancel_answer{cancel_outcome::unknown};
    std::atomic<int> executed{0};

private:
    http_response execute(const http_request& request) {
        const std::string id = request.header(header_name::request_id);
        ++executed;
        switch (next.load()) {
            case behaviour::crossed:
                return whole_answer("another", "answer of another request");
            case behaviour::truncated: {
                http_response response = whole_answer(id, "answer");
                response.body = "ans";
                return response;
            }
            case behaviour::silent:
                std::this_thread::sleep_for(milliseconds(400));
                return whole_answer(id, "late");
            case behaviour::leaving:
                --executed;
                return error_response(result_code::leaving, "leaving");
            case behaviour::right:
                break;
        }
        return whole_answer(id, "answer to " + id);
    }

    key_ring keys_;
    rpc_dispatcher methods_;
    http_server server_;
};

struct service_fixture {
    service_fixture()
        : spans({}, time),
          connections(time, 16),
          rpc(connections, keys),
          pool({}, time, failure_domain_id("a")),
          retries(time),
          claims(rows, {entry_id("e1"), incarnation_number(1), {}, failure_domain_id("a")}, time),
          requests({pool, connections, rpc, retries, time, spans, keys}, claims) {
        configuration_builder builder;
        builder.failure_domain("a", "r").team("t", {});
        builder.service("orders", "t").idempotent_method("quote").non_idempotent_method("order");
        requests.set_configuration(builder.declared());
        std::vector<route_target> targets;
        for (const auto* agent : {&first, &second}) {
            route_target target;
            target.id = target_id("t" + std::to_string(targets.size()));
            target.service = service_id("orders");
            target.data = agent->address();
            target.control = agent->address();
            target.domain = failure_domain_id("a");
            targets.push_back(target);
        }
        pool.replace(targets);
        requests.set_slots({{service_id("orders"), 16}});
    }

    http_response send(const std::string& method, const std::string& id,
                       const std::string& budget = "300") {
        http_request request;
        request.captures = {"orders", method};
        request.headers = {{header_name::request_id, id}, {header_name::timeout_ms, budget}};
        return requests.handle(request);
    }

    void set_both(behaviour next) {
        first.next = next;
        second.next = next;
    }

    system_clock time;
    key_ring keys;
    tracer spans;
    memory_table rows;
    fake_agent first;
    fake_agent second;
    http_client_pool connections;
    rpc_client rpc;
    target_pool pool;
    retry_budget retries;
    request_claims claims;
    request_service requests;
};

result_code code_of(const http_response& response) {
    return result_code_from_number(std::atoi(response.header(header_name::result).c_str()));
}

}  // namespace

TEST_CASE("a request gets the whole answer to itself") {
    service_fixture f;
    const auto response = f.send("quote", "q1");
    CHECK(response.status == 200);
    CHECK(response.body == "answer to q1");
    CHECK(response.header(header_name::request_id) == "q1");
    CHECK(response.header(header_name::body_checksum) == to_hex(hash_bytes(response.body)));
}

// Forwarding whatever comes back would give a caller another caller's answer, or half of its own.
TEST_CASE("crossed and truncated answers are not forwarded") {
    service_fixture f;
    for (const behaviour fault : {behaviour::crossed, behaviour::truncated}) {
        f.set_both(fault);
        const auto response = f.send("quote", "q1");
        INFO("fault ", static_cast<int>(fault), " body ", response.body);
        CHECK(code_of(response) == result_code::answer_corrupted);
        CHECK(response.body.find("answer of another") == std::string::npos);
    }
}

TEST_CASE("an idempotent request is tried again on another target") {
    service_fixture f;
    f.first.next = behaviour::truncated;
    for (int i = 0; i < 8; ++i) {
        CHECK(f.send("quote", "q" + std::to_string(i)).status == 200);
    }
}

TEST_CASE("a leaving target's refusal moves any request to another target") {
    service_fixture f;
    f.first.next = behaviour::leaving;
    for (int i = 0; i < 4; ++i) {
        const auto response = f.send("order", "o" + std::to_string(i));
        CHECK(response.body == "answer to o" + std::to_string(i));
    }
    CHECK(f.first.executed == 0);
    CHECK(f.second.executed == 4);
}

// Trying a request again after an unclear outcome would run a cut order twice.
TEST_CASE("a non-idempotent request with an unclear outcome is not tried again") {
    service_fixture f;
    f.set_both(behaviour::silent);
    const auto response = f.send("order", "o1");
    CHECK(code_of(response) == result_code::outcome_unknown);
    CHECK(f.first.executed + f.second.executed == 1);
    CHECK(code_of(f.send("order", "o1")) == result_code::duplicate_request);
    CHECK(f.first.executed + f.second.executed == 1);
}

TEST_CASE("a request that the agent confirms as not run is reported as not run") {
    service_fixture f;
    f.set_both(behaviour::silent);
    f.first.cancel_answer = cancel_outcome::not_run;
    f.second.cancel_answer = cancel_outcome::not_run;
    const auto response = f.send("order", "o1", "200");
    CHECK(means_not_run(code_of(response)));
}

TEST_CASE("bad requests are refused with their numbered codes") {
    service_fixture f;
    CHECK(code_of(f.send("unknown", "q1")) == result_code::unknown_method);
    CHECK(code_of(f.send("quote", "q1", "")) == result_code::missing_deadline);
    CHECK(code_of(f.send("quote", "q1", "soon")) == result_code::missing_deadline);
    CHECK(code_of(f.send("quote", "q1", "0")) == result_code::deadline_exceeded_not_run);
    CHECK(code_of(f.send("quote", std::string(200, 'x'))) == result_code::malformed_request);
    CHECK(code_of(f.send("quote", "a/b")) == result_code::malformed_request);
    CHECK(f.requests.in_flight() == 0);
}
