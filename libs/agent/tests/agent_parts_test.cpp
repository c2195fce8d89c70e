#include "agent_parts.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace tanagerpaddle;

namespace {

http_server_options any_port() {
    http_server_options chosen;
    chosen.listen = {"127.0.0.1", 0};
    return chosen;
}

class empty_runtime final : public worker_runtime {
public:
    std::vector<runtime_task> list() override { return {}; }
    void start(const start_permit&, std::int64_t) override {}
    void renew(const std::vector<task_attempt>&, std::int64_t) override {}
    void pause(const task_attempt&) override {}
    void resume(const task_attempt&, std::int64_t) override {}
    std::string checkpoint(const task_attempt&) override { return {}; }
    void throttle(const task_attempt&, std::uint32_t) override {}
    void stop(const task_attempt&) override {}
    void forget(const task_attempt&) override {}
};

// An entry, a target and the agent between them.
struct world {
    world() : entry(any_port()), target(any_port()), spans(trace_options{}, time), pool(time, 8) {
        calls.add("entry.sync", [this](const std::string& params) {
            const std::lock_guard lock(mutex);
            last = decode<sync_request>(params);
            ++syncs;
            return encode(reply);
        });
        calls.mount(entry, keys);
        entry.start();
        target.route("POST", "/serve/([^/]+)", [this](const http_request& request) {
            ++running;
            while (is_held) {
                std::this_thread::sleep_for(milliseconds(1));
            }
            --running;
            http_response response;
            response.body = "ok";
            response.headers.push_back(
                {header_name::request_id, request.header(header_name::request_id)});
            return response;
        });
        target.start();
        reply.next_sync_ms = 60'000;
        agent = std::make_unique<agent_parts>(values(), incarnation_number(7), spans,
                                              std::make_unique<empty_runtime>());
        agent->start();
    }

    settings values() const {
        settings chosen = default_settings(process_role::agent);
        chosen.security = {};
        chosen.agent.data.port = 0;
        chosen.agent.control.port = 0;
        chosen.agent.target_url = "http://127.0.0.1:" + std::to_string(target.port());
        chosen.agent.service = service_id("quote");
        chosen.agent.entries = {{"127.0.0.1", entry.port()}};
        chosen.agent.capacity = {millicores(4'000), mebibytes(4'096), accelerator_count(0)};
        return chosen;
    }
    result_code execute(const std::string& id) {
        http_call call;
        call.to = {"127.0.0.1", agent->data_port()};
        call.path = "/v1/execute";
        call.headers = {{header_name::request_id, id},   {header_name::service, "quote"},
                        {header_name::method, "price"},  {header_name::timeout_ms, "5000"},
                        {header_name::incarnation, "7"}, {header_name::idempotent, "0"}};
        call.limit = call.first_byte = deadline::after(time.now(), milliseconds(5'000));
        const http_result result = pool.call(call);
        REQUIRE(result.failure == http_failure::none);
        return result_code_from_number(std::stoi(result.response.header(header_name::result)));
    }
    int control_status(const std::string& path) {
        http_call call;
        call.to = {"127.0.0.1", agent->control_port()};
        call.method = "GET";
        call.path = path;
        call.limit = call.first_byte = deadline::after(time.now(), milliseconds(5'000));
        return pool.call(call).response.status;
    }
    std::string call_agent(const std::string& method, const std::string& params) {
        rpc_client client(pool, keys);
        return client.call({"127.0.0.1", agent->control_port()}, method, params,
                           deadline::after(time.now(), milliseconds(5'000)));
    }
    bool becomes_true(const std::function<bool()>& condition) {
        for (int i = 0; i < 5'000 && !condition(); ++i) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return condition();
    }

    system_clock time;
    std::mutex mutex;
    sync_reply reply;
    sync_request last;
    std::atomic<int> syncs{0};
    std::atomic<int> running{0};
    std::atomic<bool> is_held{false};
    key_ring keys;
    rpc_dispatcher calls;
    http_server entry;
    http_server target;
    tracer spans;
    http_client_pool pool;
    std::unique_ptr<agent_parts> agent;
};

}  // namespace

TEST_CASE("an agent serves requests and control calls and reports its target") {
    world all;
    REQUIRE(all.becomes_true([&] { return all.control_status("/readyz") == 200; }));
    CHECK(all.control_status("/healthz") == 200);
    CHECK(all.control_status("/metrics") == 200);
    REQUIRE(all.becomes_true([&] { return all.execute("warm-up") == result_code::ok; }));
    CHECK(all.call_agent("agent.cancel",
                         encode(cancel_request{request_id("warm-up"), incarnation_number(7)})) ==
          encode(cancel_reply{cancel_outcome::done}));
    REQUIRE(all.becomes_true([&] { return all.syncs >= 1; }));
    const int before = all.syncs;
    CHECK(all.call_agent("agent.wake", "{}") == "{}");
    REQUIRE(all.becomes_true([&] { return all.syncs > before; }));
    const int woken = all.syncs;
    CHECK(all.call_agent("agent.inventory",
                         "{\"epoch\":1,\"from\":{\"address\":\"127.0.0.1\",\"port\":" +
                             std::to_string(all.entry.port()) + "}}") == "{\"accepted\":true}");
    CHECK_THROWS_AS(all.call_agent("agent.inventory", "{\"epoch\":1,\"from\":3}"), error);
    REQUIRE(all.becomes_true([&] { return all.syncs > woken; }));
    const std::lock_guard lock(all.mutex);
    REQUIRE(all.last.targets.size() == 1);
    CHECK(all.last.targets[0].data.port == all.agent->data_port());
    CHECK(all.last.targets[0].slots == 8);
    CHECK(all.last.control.port == all.agent->control_port());
}

// Guards against an instance that is committed beyond its memory by its target and its tasks.
TEST_CASE("requests are refused while the service's reserved amount does not fit the ledger") {
    world all;
    service_declaration service;
    service.id = service_id("quote");
    service.reserved = {millicores(5'000), mebibytes(1), accelerator_count(0)};
    {
        const std::lock_guard lock(all.mutex);
        all.reply.configuration = agent_configuration{config_version(2), {service}, false};
    }
    all.call_agent("agent.wake", "{}");
    CHECK(all.becomes_true([&] {
        static int serial = 0;
        return all.execute("r" + std::to_string(++serial)) == result_code::overloaded;
    }));
}

// Guards against a shutdown that ends while a request runs, or before the owner knows.
TEST_CASE("a leaving agent reports it, refuses requests and waits for the running one") {
    world all;
    REQUIRE(all.becomes_true([&] { return all.execute("warm-up") == result_code::ok; }));
    all.is_held = true;
    std::thread caller([&] { CHECK(all.execute("r1") == result_code::ok); });
    REQUIRE(all.becomes_true([&] { return all.running == 1; }));
    all.agent->begin_shutdown();
    CHECK(all.execute("r2") == result_code::leaving);
    CHECK(all.control_status("/readyz") == 503);
    CHECK(all.becomes_true([&] {
        const std::lock_guard lock(all.mutex);
        return all.last.is_leaving;
    }));
    CHECK_FALSE(all.agent->wait_until_drained(deadline::after(all.time.now(), milliseconds(50))));
    all.is_held = false;
    CHECK(all.agent->wait_until_drained(deadline::after(all.time.now(), milliseconds(5'000))));
    all.agent->stop();
    caller.join();
}

// Guards against a rotation of keys that needs a restart, and a fault in a key file that opens the
// agent to everyone.
TEST_CASE("a reload takes the new keys and keeps the present ones if the file cannot be read") {
    const std::string first_key = "first-key-0123456789";
    const auto path = std::filesystem::temp_directory_path() /
                      ("tanagerpaddle-agent-" + std::to_string(::getpid()) + ".key");
    std::ofstream(path) << first_key << "\n";
    world all;
    settings changed = all.values();
    changed.security.key_file = path.string();
    all.agent->reload(changed);
    CHECK_THROWS_AS(all.call_agent("agent.wake", "{}"), error);
    std::filesystem::remove(path);
    all.agent->reload(changed);
    CHECK_THROWS_AS(all.call_agent("agent.wake", "{}"), error);
    all.keys.set_keys(first_key, "");
    CHECK(all.call_agent("agent.wake", "{}") == "{}");
}
