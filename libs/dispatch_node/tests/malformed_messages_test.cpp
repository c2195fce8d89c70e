// A malformed message of a peer, or a malformed row, is logged and ends at most the link that it
// came over. The loop has no exception handler here, so that an exception that escapes fails the
// test.

#include <doctest/doctest.h>

#include <limits>
#include <optional>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "messages.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

// Messages that are no JSON, no object, or have members that are missing, of another type, or out
// of range.
std::vector<std::string> malformed_messages() {
    std::vector<std::string> texts{"", "{", "[]", "7", "null", "{}", R"({"t":7})", "\xff\xfe"};
    for (const char* kind : {"hello", "status", "queued", "inventory", "superseded", "beat",
                             "pressures", "started", "stopped", "ends", "executor", "gone", "claim",
                             "start", "stop", "ack", "grant", "forecast"}) {
        const std::string begin = std::string(R"({"t":")") + kind + R"(")";
        texts.push_back(begin + "}");
        texts.push_back(begin + R"(,"id":"x","job":4,"queue":[],"processors":"many"})");
        texts.push_back(begin + R"(,"task":["a",0,0,0],"run":1,"outcome":99})");
        texts.push_back(begin + R"(,"task":["a",0,0,0],"run":-1,"outcome":"ok","epoch":-5})");
        texts.push_back(begin + R"(,"life":1,"ends":[[1,["a",0,0,0],1,99,""]]})");
        texts.push_back(begin + R"(,"at":"now","sample":[1],"running":[[1]],"finished":7})");
    }
    return texts;
}

struct fixture {
    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    entry_node entry{
        loop, time, store, nullptr, {"entry", "life", local_endpoint(0), millicores(1'000), {}}};

    fixture() {
        entry.set_queues({{queue_id("queue"), queue_rules{}}});
        entry.start();
        run_for(milliseconds(300));
    }
    void run_for(milliseconds limit) { CHECK_NOTHROW(eventio::testing::run_for(loop, limit)); }
};

}  // namespace

TEST_CASE("an owner survives malformed messages from other entries and answers the next query") {
    fixture f;
    for (const auto& text : malformed_messages()) {
        CAPTURE(text);
        eventio::connect_link(f.loop, local_endpoint(0), milliseconds(5'000),
                              [&](const std::shared_ptr<eventio::message_link>& link) {
                                  link->send(text);
                                  return eventio::link_handlers{[](const std::string&) {}, [] {}};
                              });
        f.run_for(milliseconds(10));
    }
    CHECK(f.entry.is_owner());
    // An owner answers from a list of jobs of the last 2 s, which the store confirms each second.
    f.run_for(milliseconds(1'500));
    std::string answer;
    eventio::connect_link(
        f.loop, local_endpoint(0), milliseconds(5'000),
        [&](const std::shared_ptr<eventio::message_link>& link) {
            link->send(R"({"t":"queued","id":5,"queue":"queue"})");
            return eventio::link_handlers{[&](const std::string& text) { answer = text; }, [] {}};
        });
    f.run_for(milliseconds(200));
    CHECK(messages::json::parse(answer) ==
          messages::json({{"known", true}, {"id", 5}, {"count", 0}}));
}

// Agents that each send their share of the malformed messages, one after each claim.
TEST_CASE("an owner survives malformed messages from agents and claims each of them again") {
    fixture f;
    constexpr int agent_count = 12;
    const auto texts = malformed_messages();
    struct fake_agent {
        std::unique_ptr<eventio::message_server> server;
        std::size_t next = 0;
        int claims = 0;
    };
    std::vector<fake_agent> agents(agent_count);
    for (int i = 0; i < agent_count; ++i) {
        auto& agent = agents[static_cast<std::size_t>(i)];
        agent.next = static_cast<std::size_t>(i);
        const auto accept = [&](const std::shared_ptr<eventio::message_link>& link) {
            return eventio::link_handlers{
                [&, link](const std::string& text) {
                    if (messages::json::parse(text).at("t") != "claim") {
                        return;
                    }
                    ++agent.claims;
                    link->send(messages::dump(messages::encode(inventory{}, instant{})));
                    if (agent.next < texts.size()) {
                        link->send(texts[agent.next]);
                        agent.next += agent_count;
                        // Messages that are ignored leave the link open.
                        f.loop.after(milliseconds(50), [link] { link->close(); });
                    }
                },
                [] {}};
        };
        agent.server =
            std::make_unique<eventio::message_server>(f.loop, local_endpoint(i + 1), accept);
        f.store.put(agent_table, "", "agent-" + std::to_string(i),
                    to_string(local_endpoint(i + 1)));
    }
    f.run_for(milliseconds(6'000));
    for (const auto& agent : agents) {
        CHECK(agent.next >= texts.size());
        CHECK(agent.claims > static_cast<int>(texts.size()) / agent_count);
    }
    CHECK(f.entry.is_owner());
}

// Guards against a stored job that ends each owner that loads it, and with it all other jobs.
TEST_CASE("an owner ignores a stored job with more tasks than it can hold") {
    fixture f;
    submitted_job job;
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    job.spec.steps.emplace_back();
    const job_id sound("0123456789abcdef");
    f.store.put(job_table, part_of(sound), sound.value(), encode_job(job));
    job.spec.occurrences = std::numeric_limits<std::uint32_t>::max();
    const job_id endless("0000000000000000");
    f.store.put(job_table, part_of(endless), endless.value(), encode_job(job));
    f.run_for(milliseconds(1'500));
    std::optional<entry_node::lookup> found;
    f.entry.status(sound, deadline::after(f.time.now(), milliseconds(1'000)),
                   [&](entry_node::lookup result, job_phase) { found = result; });
    f.run_for(milliseconds(200));
    CHECK(found == entry_node::lookup::found);
    CHECK(f.entry.is_owner());
}

TEST_CASE("an agent survives malformed messages from an owner and can be claimed again") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    struct silent_executor final : executor_control {
        void sync(epoch_number, completion_number, std::optional<std::int64_t>, milliseconds,
                  std::function<void(const sync_result&)>) override {}
        void start(const start_order&, const executor_id&, epoch_number, std::int64_t,
                   std::function<void(start_answer)>) override {}
        void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
        void pace(const task_key&, run_number, int, epoch_number) override {}
    } executor;
    agent_node agent(loop, time, store, executor, {"agent", "life", local_endpoint(13), {}});
    agent.start();
    int inventories = 0;
    std::uint64_t epoch = 1;
    for (const auto& text : malformed_messages()) {
        CAPTURE(text);
        eventio::connect_link(
            loop, local_endpoint(13), milliseconds(5'000),
            [&](const std::shared_ptr<eventio::message_link>& link) {
                link->send(R"({"t":"claim","epoch":)" + std::to_string(++epoch) + "}");
                link->send(text);
                return eventio::link_handlers{
                    [&](const std::string& answer) {
                        inventories += answer.find("inventory") != std::string::npos ? 1 : 0;
                    },
                    [] {}};
            });
        CHECK_NOTHROW(eventio::testing::run_for(loop, milliseconds(10)));
    }
    CHECK(inventories == static_cast<int>(malformed_messages().size()));
}

TEST_CASE(
    "an owner's row without a usable address is ignored until the next owner writes its own") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    store.put(owner_table, owner_part, "owner",
              encode(owner_record{"other", "life", "nowhere", epoch_number(4), false,
                                  millicores(1'000)}));
    entry_node entry(loop, time, store, nullptr,
                     {"entry", "life", local_endpoint(14), millicores(1'000), {}});
    entry.set_queues({{queue_id("queue"), queue_rules{}}});
    entry.start();
    CHECK_NOTHROW(eventio::testing::run_for(loop, milliseconds(3'000)));
    CHECK(entry.is_owner());
}

TEST_CASE("outcomes and phases out of range are rejected") {
    CHECK(messages::decode_start_outcome(3) == start_outcome::bad_permit);
    CHECK(messages::decode_phase(4) == job_phase::cancelled);
    for (const int number : {-1, 5, 99}) {
        CAPTURE(number);
        CHECK_THROWS_AS((void)messages::decode_start_outcome(number), error);
        CHECK_THROWS_AS((void)messages::decode_phase(number), error);
    }
    CHECK_THROWS_AS((void)messages::decode_phase("completed"), messages::json::exception);
}
