// Requests that crash the agents that serve them: the connection breaks after the request was sent.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "request_service.hpp"

using namespace tanagerpaddle;

namespace {

// Accepts connections, reads one request from each and closes the connection without an answer.
class crashing_agent {
public:
    explicit crashing_agent(milliseconds crash_delay) : crash_delay_(crash_delay) {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(listener_, generic, size) == 0);
        REQUIRE(::listen(listener_, 16) == 0);
        REQUIRE(::getsockname(listener_, generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }
    ~crashing_agent() {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }
    crashing_agent(const crashing_agent&) = delete;
    crashing_agent& operator=(const crashing_agent&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    // Requests to serve; questions about their outcome do not count.
    std::atomic<int> requests{0};

private:
    void serve() {
        for (;;) {
            const int connection = ::accept(listener_, nullptr, nullptr);
            if (connection < 0) {
                return;
            }
            std::string text(4'096, '\0');
            const auto size = ::recv(connection, text.data(), text.size(), 0);
            if (size > 0 && text.find("/v1/execute") != std::string::npos) {
                ++requests;
                std::this_thread::sleep_for(crash_delay_);
            }
            ::close(connection);
        }
    }

    milliseconds crash_delay_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

struct fixture {
    static constexpr int agent_count = 12;

    explicit fixture(milliseconds crash_delay = milliseconds(0))
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
        for (int i = 0; i < agent_count; ++i) {
            agents.push_back(std::make_unique<crashing_agent>(crash_delay));
            route_target target;
            target.id = target_id("t" + std::to_string(i));
            target.service = service_id("orders");
            target.data = target.control = agents.back()->address();
            target.domain = failure_domain_id("a");
            targets.push_back(target);
        }
        pool.replace(targets);
        requests.set_slots({{service_id("orders"), 16}});
        // Enough for any number of retries of one request.
        for (int i = 0; i < 10'000; ++i) {
            retries.on_request();
        }
    }

    result_code send(const std::string& method, const std::string& id,
                     milliseconds timeout = milliseconds(3'000)) {
        http_request request;
        request.captures = {"orders", method};
        request.headers = {{header_name::request_id, id},
                           {header_name::timeout_ms, std::to_string(timeout.count())}};
        const auto response = requests.handle(request);
        return result_code_from_number(std::atoi(response.header(header_name::result).c_str()));
    }
    [[nodiscard]] int received() const {
        int sum = 0;
        for (const auto& agent : agents) {
            sum += agent->requests;
        }
        return sum;
    }

    system_clock time;
    key_ring keys;
    tracer spans;
    memory_table rows;
    std::vector<std::unique_ptr<crashing_agent>> agents;
    http_client_pool connections;
    rpc_client rpc;
    target_pool pool;
    retry_budget retries;
    request_claims claims;
    request_service requests;
};

}  // namespace

// Guards against one request that crashes target after target.
TEST_CASE("an idempotent request that crashes its targets is sent to four of them at most") {
    fixture f;
    // An attempt ends after a third of the timeout, whether or not its target has read the request.
    CHECK(f.send("quote", "q1", milliseconds(30'000)) != result_code::ok);
    CHECK(f.received() == 4);
    for (const auto& agent : f.agents) {
        CHECK(agent->requests <= 1);
    }
}

// Guards against retries of many such requests at once, which the limit of one does not bound.
TEST_CASE("retries after crashes end with the retry budget") {
    fixture f;
    while (f.retries.try_retry()) {
    }
    int sent = 0;
    for (; sent < 20; ++sent) {
        CHECK(f.send("quote", "q" + std::to_string(sent)) != result_code::ok);
    }
    MESSAGE("received " << f.received() << " for " << sent << " requests");
    CHECK(f.received() <= 2 * sent);
}

// Guards against a repeated order: the target may have carried it out before it crashed.
TEST_CASE("a non-idempotent request that crashes its target is sent once") {
    fixture f(milliseconds(20));
    CHECK(f.send("order", "o1") == result_code::outcome_unknown);
    CHECK(f.received() == 1);
    CHECK(f.send("order", "o1") == result_code::duplicate_request);
    CHECK(f.received() == 1);
}
