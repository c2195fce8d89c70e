// A grant answers a heartbeat of the agent, whose time it repeats.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

struct silent_executor final : executor_control {
    void sync(epoch_number, completion_number, std::optional<std::int64_t>, milliseconds,
              std::function<void(const sync_result&)>) override {}
    void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)>) override {}
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}
};

}  // namespace

// Guards against a lease that ends with no loss of the owner: a later one never shortens it.
TEST_CASE("a grant of a heartbeat that has not been sent yet ends the link") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    silent_executor executor;
    agent_node agent(loop, time, store, executor, {"agent", "life", local_endpoint(60), {}});
    agent.start();
    for (const auto& [ahead, closes] :
         {std::pair{milliseconds(0), false}, std::pair{milliseconds(3'600'000), true},
          std::pair{milliseconds(0), false}}) {
        CAPTURE(ahead);
        bool is_closed = false;
        const auto sent_at = (time.now() + ahead).time_since_epoch().count();
        eventio::connect_link(
            loop, local_endpoint(60), milliseconds(5'000),
            [&](const std::shared_ptr<eventio::message_link>& link) {
                link->send(R"({"t":"claim","epoch":1})");
                link->send(messages::dump({{"t", "grant"}, {"at", sent_at}}));
                return eventio::link_handlers{[](const std::string&) {}, [&] { is_closed = true; }};
            });
        CHECK_NOTHROW(eventio::testing::run_for(loop, milliseconds(200)));
        CHECK(is_closed == closes);
    }
}
