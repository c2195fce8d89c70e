// Tests what an agent sends to an executor whose connection was lost: another executor may answer,
// whose completions have other numbers and whose clock starts anew.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

struct sync_call {
    completion_number acknowledged;
    bool extends_lease = false;
    milliseconds wait;
};

class interrupted_executor final : public executor_control {
public:
    explicit interrupted_executor(eventio::event_loop& loop) : loop_(loop) {}

    void sync(epoch_number, completion_number acknowledged, std::optional<std::int64_t> lease_until,
              milliseconds wait, std::function<void(const sync_result&)> done) override {
        calls.push_back({acknowledged, lease_until.has_value(), wait});
        loop_.after(milliseconds(30), [this, done] {
            sync_result result;
            result.is_answered = !loses_connections;
            result.is_unanswered = loses_connections;
            result.view.incarnation = executor_incarnation(1);
            result.view.finished = finished;
            done(result);
        });
    }
    void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)>) override {}
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}

    bool loses_connections = false;
    std::vector<finished_task> finished;
    std::vector<sync_call> calls;

private:
    eventio::event_loop& loop_;
};

}  // namespace

// Guards against ends that an executor forgets before anyone has read them, and against leases that
// are counted by the clock of the executor before.
TEST_CASE("after a lost connection nothing is acknowledged or extended until the lists are read") {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store(loop);
    interrupted_executor executor(loop);
    agent_node agent(loop, time, store, executor, {"agent", "life", local_endpoint(0), {}});
    agent.start();
    executor_info info;
    info.id = executor_id("executor");
    info.incarnation = executor_incarnation(1);
    agent.executor_reported(info);
    const task_key task{job_id("job"), 0, 0, 0};
    executor.finished = {{completion_number(1), task, run_number(1), run_outcome::succeeded, ""}};
    std::shared_ptr<eventio::message_link> owner;
    const auto receive = [&](const std::string& text) {
        const auto message = messages::json::parse(text);
        if (message.at("t") == "beat") {
            owner->send(messages::dump({{"t", "ack"}, {"life", 1}, {"number", 1}}));
            owner->send(messages::dump({{"t", "grant"}, {"at", message.at("at")}}));
        }
    };
    eventio::connect_link(loop, local_endpoint(0), milliseconds(5'000),
                          [&](const std::shared_ptr<eventio::message_link>& link) {
                              owner = link;
                              link->send(R"({"t":"claim","epoch":1})");
                              return eventio::link_handlers{receive, [] {}};
                          });
    eventio::testing::run_for(loop, milliseconds(1'000));
    REQUIRE(executor.calls.size() > 3);
    CHECK(executor.calls.back().acknowledged == completion_number(1));
    CHECK(executor.calls.back().extends_lease);
    CHECK(executor.calls.back().wait > milliseconds(0));
    executor.loses_connections = true;
    eventio::testing::run_for(loop, milliseconds(300));
    const auto is_cautious = [](const sync_call& call) {
        return call.acknowledged == completion_number(0) && !call.extends_lease &&
               call.wait == milliseconds(0);
    };
    CHECK(is_cautious(executor.calls.back()));
    executor.loses_connections = false;
    const auto lost = executor.calls.size();
    eventio::testing::run_for(loop, milliseconds(500));
    CHECK(is_cautious(executor.calls.at(lost)));
    CHECK_FALSE(is_cautious(executor.calls.at(lost + 1)));
}
