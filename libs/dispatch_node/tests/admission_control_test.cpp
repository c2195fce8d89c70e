// What an entry knows of the owner's forecast and of the store's outages, and what it refuses by
// them.

#include "admission_control.hpp"

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

const instant start = instant(std::chrono::hours(1));
constexpr milliseconds min_outage{1'200};

submitted_job make_job(const std::string& id, std::int64_t cores = 1) {
    submitted_job job;
    job.id = job_id(id);
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    auto& step = job.spec.steps.emplace_back();
    step.estimate = milliseconds(1'000);
    step.demand.processors = millicores(cores * 1'000);
    return job;
}

fleet_forecast make_forecast(milliseconds delay = milliseconds(0)) {
    fleet_forecast forecast;
    forecast.services[service_id("service")] = {
        {{millicores(8'000), mebibytes(8'000), accelerator_count(1)}, {"a", "b"}}};
    forecast.queues[queue_id("queue")] = {delay, milliseconds(1'000)};
    return forecast;
}

std::string forecast_text() {
    return messages::dump(messages::encode(make_forecast()));
}

}  // namespace

TEST_CASE("the longest recent outage of the store is known for ten minutes") {
    store_outages outages(min_outage);
    const auto at = [](int ms) { return start + milliseconds(ms); };
    for (const int answered_ms : {0, 400, 1'500, 5'500, 5'600, 8'000}) {
        outages.observe(at(answered_ms));
    }
    CHECK(outages.longest(at(8'000)) == milliseconds(4'000));
    CHECK(outages.longest(at(5'500 + 600'000)) == milliseconds(4'000));
    CHECK(outages.longest(at(5'501 + 600'000)) == milliseconds(2'400));
    CHECK(outages.longest(at(8'001 + 600'000)) == milliseconds(0));
}

TEST_CASE("a forecast is used for 3 s, and not after the link to its owner has ended") {
    admission_control admission(true, min_outage);
    const auto job = make_job("job", 100);
    CHECK_FALSE(admission.decide(job, start).has_value());
    admission.set_forecast(make_forecast(), start);
    CHECK(admission.decide(job, start + milliseconds(3'000)).has_value());
    CHECK(admission.forecast_age(start + milliseconds(700)) == milliseconds(700));
    // Guards against refusals by an owner that has been replaced or is out of reach.
    CHECK_FALSE(admission.decide(job, start + milliseconds(3'001)).has_value());
    CHECK_FALSE(admission.predicted_wait(job.queue, start + milliseconds(3'001)).has_value());
    admission.set_forecast(make_forecast(), start);
    admission.drop_forecast();
    CHECK_FALSE(admission.decide(job, start).has_value());
}

TEST_CASE("overload is refused only if that is switched on") {
    for (const bool is_on : {false, true}) {
        admission_control admission(is_on, min_outage);
        admission.set_forecast(make_forecast(milliseconds(60'000)), start);
        CHECK(admission.decide(make_job("job"), start).has_value() == is_on);
        CHECK(admission.predicted_wait(queue_id("queue"), start) == milliseconds(60'000));
    }
}

TEST_CASE("a changed forecast is sent every 500 ms, an unchanged one every 2 s") {
    forecast_sender sender;
    CHECK(sender.is_due(start));
    CHECK(sender.should_send(make_forecast(), start));
    CHECK_FALSE(sender.is_due(start + milliseconds(499)));
    CHECK(sender.is_due(start + milliseconds(500)));
    CHECK_FALSE(sender.should_send(make_forecast(), start + milliseconds(500)));
    CHECK(sender.should_send(make_forecast(milliseconds(1)), start + milliseconds(1'000)));
    CHECK_FALSE(sender.should_send(make_forecast(milliseconds(1)), start + milliseconds(2'500)));
    CHECK(sender.should_send(make_forecast(milliseconds(1)), start + milliseconds(3'000)));
}

TEST_CASE("a forecast is read as it was sent, and unknown members are ignored") {
    auto message = messages::encode(make_forecast(milliseconds(1'500)));
    CHECK(messages::decode_forecast(message) == make_forecast(milliseconds(1'500)));
    message["later"] = {1, 2};
    message["queues"][0].push_back(7);
    message["services"][0].push_back("x");
    CHECK(messages::decode_forecast(message) == make_forecast(milliseconds(1'500)));
}

namespace {

std::vector<std::string> malformed_forecasts() {
    std::string many = R"([1,1,1,[]])";
    for (std::size_t i = 0; i < max_shapes_per_service; ++i) {
        many += R"(,[1,1,1,[]])";
    }
    return {
        R"({"t":"forecast"})",
        R"({"t":"forecast","services":7,"queues":[]})",
        R"({"t":"forecast","services":[],"queues":{"a":1}})",
        R"({"t":"forecast","services":[[7,[]]],"queues":[]})",
        R"({"t":"forecast","services":[["s",[[1,1]]]],"queues":[]})",
        R"({"t":"forecast","services":[["s",[[-1,1,1,[]]]]],"queues":[]})",
        R"({"t":"forecast","services":[["s",[[1e300,1,1,[]]]]],"queues":[]})",
        R"({"t":"forecast","services":[["s",[[1,1,1,[4]]]]],"queues":[]})",
        R"({"t":"forecast","services":[["s",[)" + many + R"(]]],"queues":[]})",
        R"({"t":"forecast","services":[],"queues":[["q"]]})",
        R"({"t":"forecast","services":[],"queues":[["q",-1,1000]]})",
        R"({"t":"forecast","services":[],"queues":[["q","soon",1000]]})",
        R"({"t":["forecast"],"services":[],"queues":[]})",
        R"({"t":"forecast","services":[],"queues":[)",
    };
}

// An entry whose owner is played by the test.
struct fixture {
    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    entry_options options;
    std::optional<entry_node> entry;
    std::unique_ptr<eventio::message_server> owner;
    std::shared_ptr<eventio::message_link> link;
    std::vector<std::string> received;
    // The phase that the owner answers; unset if it does not know the job.
    std::optional<int> known_phase;

    fixture() {
        options.name = "entry";
        options.incarnation = "life";
        options.messages = local_endpoint(0);
        owner = std::make_unique<eventio::message_server>(
            loop, local_endpoint(1),
            [this](const std::shared_ptr<eventio::message_link>& accepted) {
                link = accepted;
                return eventio::link_handlers{[this](const std::string& text) { receive(text); },
                                              [this] { link.reset(); }};
            });
        loop.every(milliseconds(100), [this] { renew(); });
        renew();
        entry.emplace(loop, time, store, nullptr, options);
        entry->set_queues({{queue_id("queue"), queue_rules{}}});
        entry->start();
        REQUIRE(eventio::testing::run_until(loop, milliseconds(5'000),
                                            [&] { return !received.empty(); }));
    }
    void renew() {
        store.put(owner_table, owner_part, "owner",
                  encode(owner_record{"other", "life", to_string(local_endpoint(1)),
                                      epoch_number(4), false, millicores(1'000)}));
    }
    void receive(const std::string& text) {
        received.push_back(text);
        const auto message = messages::json::parse(text);
        if (message.at("t") == "status" && link) {
            messages::json answer{{"known", known_phase.has_value()}, {"id", message.at("id")}};
            if (known_phase) {
                answer["phase"] = *known_phase;
            }
            link->send(messages::dump(answer));
        }
    }
    void send(const std::string& text) {
        REQUIRE(link);
        link->send(text);
        eventio::testing::run_for(loop, milliseconds(60));
    }
    // The reason of a refusal, or "admitted".
    std::string admit(std::int64_t cores) {
        std::optional<std::string> decided;
        entry->admit(make_job("0123456789abcdef", cores),
                     deadline::after(time.now(), milliseconds(3'000)),
                     [&](const std::optional<refusal>& refused) {
                         decided = refused ? std::string(name(refused->reason)) : "admitted";
                     });
        REQUIRE(eventio::testing::run_until(loop, milliseconds(3'000),
                                            [&] { return decided.has_value(); }));
        return *decided;
    }
};

}  // namespace

// Guards against a refusal of a job that is stored after all.
TEST_CASE("a refused job was not sent to the store, and a job that the owner knows is admitted") {
    fixture f;
    CHECK(f.admit(100) == "admitted");
    f.send(forecast_text());
    CHECK(f.admit(4) == "admitted");
    CHECK(f.admit(100) == "never_fits");
    CHECK(f.store.job_writes == 0);
    CHECK(f.store.value(job_table, part_of(job_id("0123456789abcdef")), "0123456789abcdef") == "");
    f.known_phase = static_cast<int>(job_phase::pending);
    CHECK(f.admit(100) == "admitted");
}

// Guards against a message that ends the process, or the queries over the same link.
TEST_CASE("malformed forecasts change nothing, and the link goes on") {
    fixture f;
    f.send(forecast_text());
    const auto link = f.link;
    for (const auto& text : malformed_forecasts()) {
        CAPTURE(text);
        f.send(text);
        CHECK(f.link == link);
        CHECK(f.admit(100) == "never_fits");
        f.send(forecast_text());
    }
}

// Guards against refusals by the forecast of an owner that was replaced.
TEST_CASE("an entry admits everything once its owner has gone silent or its link has ended") {
    fixture f;
    f.send(forecast_text());
    CHECK(f.admit(100) == "never_fits");
    SUBCASE("the link ends") {
        f.link->close();
        f.link.reset();
        eventio::testing::run_for(f.loop, milliseconds(100));
        CHECK(f.admit(100) == "admitted");
    }
    SUBCASE("no forecast comes for 3 s") {
        eventio::testing::run_for(f.loop, milliseconds(3'200));
        CHECK(f.admit(100) == "admitted");
    }
}

// Guards against lines in the log of an entry of an earlier build, which takes any message for an
// answer: the owner sends a forecast only to entries that ask for it.
TEST_CASE("an owner sends its forecast to the entries that ask for it") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    entry_options options;
    options.name = "entry";
    options.incarnation = "life";
    options.messages = local_endpoint(2);
    entry_node entry(loop, time, store, nullptr, options);
    entry.set_queues({{queue_id("queue"), queue_rules{}}});
    entry.start();
    std::vector<std::string> earlier_build;
    std::vector<std::string> this_build;
    const auto connect = [&](const std::string& hello, std::vector<std::string>& received) {
        eventio::connect_link(
            loop, local_endpoint(2), milliseconds(5'000),
            [&, hello](const std::shared_ptr<eventio::message_link>& link) {
                link->send(hello);
                return eventio::link_handlers{
                    [&, link](const std::string& text) { received.push_back(text); }, [] {}};
            });
    };
    connect(R"({"t":"hello","processors":100})", earlier_build);
    connect(R"({"t":"hello","processors":100,"forecasts":true})", this_build);
    REQUIRE(eventio::testing::run_until(loop, milliseconds(15'000),
                                        [&] { return this_build.size() >= 2; }));
    CHECK(earlier_build.empty());
    const auto message = messages::json::parse(this_build.front());
    CHECK(message.at("t") == "forecast");
    CHECK_NOTHROW((void)messages::decode_forecast(message));
}

// Guards against refusals by an owner that has just taken over, and against an owner that never
// comes to know its largest executors.
TEST_CASE("an owner refuses what never fits once it has known its executors for 10 s") {
    eventio::event_loop loop;
    system_clock time;
    fake_store store(loop);
    entry_options options;
    options.name = "entry";
    options.incarnation = "life";
    options.messages = local_endpoint(3);
    inventory found;
    found.executor.emplace();
    found.executor->id = executor_id("executor");
    found.executor->incarnation = executor_incarnation(1);
    found.executor->service = service_id("service");
    found.executor->capacity.processors = millicores(8'000);
    std::optional<instant> claimed_at;
    eventio::message_server agent(
        loop, local_endpoint(4), [&](const std::shared_ptr<eventio::message_link>& link) {
            return eventio::link_handlers{
                [&, link](const std::string& text) {
                    if (messages::json::parse(text).at("t") == "claim") {
                        claimed_at = claimed_at.value_or(time.now());
                        link->send(messages::dump(messages::encode(found, time.now())));
                    }
                },
                [] {}};
        });
    store.put(agent_table, "", "agent", to_string(local_endpoint(4)));
    entry_node entry(loop, time, store, nullptr, options);
    entry.set_queues({{queue_id("queue"), queue_rules{}}});
    entry.start();
    std::optional<refusal> last;
    std::optional<instant> refused_at;
    loop.every(milliseconds(100), [&] {
        entry.admit(make_job("0123456789abcdef", 100),
                    deadline::after(time.now(), milliseconds(1'000)),
                    [&](const std::optional<refusal>& refused) {
                        if (refused && !refused_at) {
                            refused_at = time.now();
                            last = refused;
                        }
                    });
    });
    REQUIRE(eventio::testing::run_until(loop, milliseconds(40'000),
                                        [&] { return refused_at.has_value(); }));
    REQUIRE(claimed_at.has_value());
    CHECK(*refused_at - *claimed_at >= milliseconds(10'000));
    CHECK(last->reason == refusal_reason::never_fits);
    CHECK(store.job_writes == 0);
}
