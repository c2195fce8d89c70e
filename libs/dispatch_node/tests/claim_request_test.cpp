// Tests that an agent uses an executor that takes the place of another only under a claim of its
// own: the executor takes calls that were meant for the one before.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;
using eventio::testing::run_for;

namespace {

constexpr executor_incarnation first_life{1'000};
constexpr executor_incarnation second_life{2'000};

class replaced_executor final : public executor_control {
public:
    explicit replaced_executor(eventio::event_loop& loop) : loop_(loop) {}

    void sync(epoch_number epoch, completion_number, std::optional<std::int64_t>, milliseconds,
              std::function<void(const sync_result&)> done) override {
        loop_.after(milliseconds(30), [this, epoch, done] {
            highest_epoch = std::max(highest_epoch, epoch);
            sync_result result;
            result.is_answered = true;
            result.view.incarnation = life;
            done(result);
        });
    }
    void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)>) override {}
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}

    executor_incarnation life = first_life;
    epoch_number highest_epoch;

private:
    eventio::event_loop& loop_;
};

struct fixture {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store{loop};
    replaced_executor executor{loop};
    agent_node agent{loop, time, store, executor, {"agent", "life", local_endpoint(0), {}}};
    std::shared_ptr<eventio::message_link> owner;
    bool answers_requests = true;
    int requests = 0;
    bool is_closed = false;
    // The executors of the inventories, 0 for none.
    std::vector<std::int64_t> listed;

    fixture() {
        agent.start();
        report(first_life);
        eventio::connect_link(loop, local_endpoint(0), milliseconds(5'000),
                              [this](const std::shared_ptr<eventio::message_link>& link) {
                                  owner = link;
                                  link->send(R"({"t":"claim","epoch":1})");
                                  return eventio::link_handlers{
                                      [this](const std::string& text) { receive(text); },
                                      [this] { is_closed = true; }};
                              });
        run_for(loop, milliseconds(300));
        REQUIRE(!listed.empty());
        REQUIRE(listed.back() == first_life.value());
        listed.clear();
    }
    void report(executor_incarnation life) {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = life;
        agent.executor_reported(info);
    }
    void receive(const std::string& text) {
        const auto message = messages::json::parse(text);
        if (message.at("t") == "inventory") {
            const auto found = messages::decode_inventory(message, time.now());
            listed.push_back(found.executor ? found.executor->incarnation.value() : 0);
        } else if (message.at("t") == "reclaim") {
            ++requests;
            if (answers_requests) {
                owner->send(R"({"t":"claim","epoch":2})");
            }
        }
    }
};

}  // namespace

TEST_CASE("an executor that takes the place of another is used once its own claim is known to it") {
    fixture f;
    f.executor.life = second_life;
    f.report(second_life);
    run_for(f.loop, milliseconds(400));
    CHECK(f.requests == 1);
    CHECK(f.executor.highest_epoch == epoch_number(2));
    REQUIRE(!f.listed.empty());
    CHECK(std::count(f.listed.begin(), f.listed.end(), first_life.value()) == 0);
    CHECK(f.listed.back() == second_life.value());
    CHECK_FALSE(f.is_closed);
}

// Owners of earlier versions claim an agent once for each connection.
TEST_CASE("an agent closes its link if the owner does not answer a request for another claim") {
    fixture f;
    f.answers_requests = false;
    f.executor.life = second_life;
    f.report(second_life);
    run_for(f.loop, milliseconds(700));
    CHECK(f.requests == 1);
    CHECK_FALSE(f.is_closed);
    CHECK(std::count(f.listed.begin(), f.listed.end(), second_life.value()) == 0);
    run_for(f.loop, milliseconds(800));
    CHECK(f.is_closed);
}
