// What the heartbeats of an agent tell the owner about the runs of its executor.

#include <doctest/doctest.h>

#include <algorithm>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

// Answers each sync with the same lists.
class listing_executor final : public executor_control {
public:
    explicit listing_executor(eventio::event_loop& loop) : loop_(loop) {}

    void sync(epoch_number, completion_number, std::optional<std::int64_t>, milliseconds wait,
              std::function<void(const sync_result&)> done) override {
        loop_.after(wait / 10, [this, done] {
            sync_result result;
            result.is_answered = true;
            result.view.incarnation = executor_incarnation(1);
            result.view.running = running;
            done(result);
        });
    }
    void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)>) override {}
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}

    std::vector<running_task> running;

private:
    eventio::event_loop& loop_;
};

}  // namespace

// Guards against a run that the owner never hears of: it stops those that it does not expect.
TEST_CASE("a heartbeat lists a run that replaced one of the same task with the same progress") {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store(loop);
    listing_executor executor(loop);
    agent_node agent(loop, time, store, executor, {"agent", "life", local_endpoint(0), {}});
    agent.start();
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    agent.executor_reported(info);
    const task_key task{job_id("job"), 0, 0, 0};
    executor.running = {{task, run_number(1), "", 0, 0}};
    std::string listed;
    const auto receive = [&](const std::string& text) {
        const auto message = messages::json::parse(text);
        if (message.at("t") == "beat") {
            for (const auto& row : message.at("running")) {
                listed += std::to_string(messages::decode_running(row).run.value()) + " ";
            }
        }
    };
    eventio::connect_link(loop, local_endpoint(0), milliseconds(5'000),
                          [&](const std::shared_ptr<eventio::message_link>& link) {
                              link->send(R"({"t":"claim","epoch":1})");
                              return eventio::link_handlers{receive, [] {}};
                          });
    eventio::testing::run_for(loop, milliseconds(700));
    executor.running[0].run = run_number(2);
    eventio::testing::run_for(loop, milliseconds(900));
    CHECK(listed == "1 2 ");
}

// Guards against starts that the agent refuses: the owner orders them as soon as it knows the
// executor, but grants leases only in its answers to heartbeats.
TEST_CASE("a heartbeat follows the first inventory with an executor without waiting its interval") {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store(loop);
    listing_executor executor(loop);
    agent_options options{"agent", "life", local_endpoint(0), {}};
    options.timing.heartbeat_interval = milliseconds(3'600'000);
    agent_node agent(loop, time, store, executor, options);
    agent.start();
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    agent.executor_reported(info);
    std::vector<std::string> received;
    const auto receive = [&](const std::string& text) {
        const auto message = messages::json::parse(text);
        const bool has_executor = message.contains("executor") && !message.at("executor").is_null();
        received.push_back(message.at("t").get<std::string>() + (has_executor ? "+executor" : ""));
    };
    eventio::connect_link(loop, local_endpoint(0), milliseconds(5'000),
                          [&](const std::shared_ptr<eventio::message_link>& link) {
                              link->send(R"({"t":"claim","epoch":1})");
                              return eventio::link_handlers{receive, [] {}};
                          });
    eventio::testing::run_for(loop, milliseconds(1'000));
    std::string sequence;
    for (const auto& kind : received) {
        sequence += kind + " ";
    }
    INFO("received: " << sequence);
    const auto found = std::find(received.begin(), received.end(), "inventory+executor");
    REQUIRE(found != received.end());
    CHECK(std::find(found, received.end(), "beat") != received.end());
}
