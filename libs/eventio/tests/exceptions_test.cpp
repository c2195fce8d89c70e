// One malformed message or unexpected error must not end the process: an exception ends the
// callback and the connection that it came from, and everything else continues.

#include <doctest/doctest.h>

#include <algorithm>
#include <stdexcept>

#include "loop_support.hpp"
#include "tanagerpaddle/eventio.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::eventio;
using tanagerpaddle::eventio::testing::local_endpoint;

namespace {

struct fixture {
    event_loop loop;
    std::vector<std::string> failures;

    fixture() {
        loop.on_exception(
            [this](const std::exception& failure) { failures.emplace_back(failure.what()); });
    }
    void run_for(milliseconds limit) { testing::run_for(loop, limit); }
};

}  // namespace

TEST_CASE("an exception in a callback is reported, and periodic actions continue") {
    fixture f;
    int runs = 0;
    f.loop.every(milliseconds(5), [&] {
        ++runs;
        throw std::runtime_error("periodic");
    });
    f.loop.post([] { throw std::out_of_range("posted"); });
    f.run_for(milliseconds(200));
    CHECK(runs > 5);
    REQUIRE(!f.failures.empty());
    CHECK(f.failures.front() == "posted");
    CHECK(std::count(f.failures.begin(), f.failures.end(), "periodic") == runs);
}

TEST_CASE("without a handler, and for a violated invariant, run() throws") {
    event_loop unhandled;
    unhandled.post([] { throw std::runtime_error("unhandled"); });
    CHECK_THROWS_WITH_AS(unhandled.run(), "unhandled", std::runtime_error);
    fixture f;
    f.loop.post([] { check_invariant(false, "overcommitted"); });
    CHECK_THROWS_AS(f.loop.run(), invariant_violation);
}

TEST_CASE("an exception in a message handler closes that link only") {
    fixture f;
    std::vector<std::string> received;
    std::vector<std::shared_ptr<message_link>> accepted;
    message_server server(f.loop, local_endpoint(0),
                          [&](const std::shared_ptr<message_link>& link) {
                              accepted.push_back(link);
                              return link_handlers{[&](const std::string& text) {
                                                       if (text == "malformed") {
                                                           throw std::invalid_argument(text);
                                                       }
                                                       received.push_back(text);
                                                   },
                                                   [] {}};
                          });
    int closed = 0;
    std::vector<std::shared_ptr<message_link>> links;
    for (int i = 0; i < 2; ++i) {
        connect_link(f.loop, local_endpoint(0), milliseconds(5'000),
                     [&, i](const std::shared_ptr<message_link>& link) {
                         links.push_back(link);
                         link->send(i == 0 ? "malformed" : "first");
                         return link_handlers{[](const std::string&) {}, [&] { ++closed; }};
                     });
    }
    f.run_for(milliseconds(150));
    CHECK(closed == 1);
    CHECK(f.failures == std::vector<std::string>{"malformed"});
    for (const auto& link : links) {
        link->send("second");
    }
    f.run_for(milliseconds(150));
    CHECK(received == std::vector<std::string>{"first", "second"});
}

TEST_CASE("an exception in a request handler ends that call, and the server serves the next") {
    fixture f;
    http_server server(f.loop, local_endpoint(1), {},
                       [](const http_request& request, const http_responder& respond) {
                           if (request.target == "/bad") {
                               throw std::runtime_error("bad");
                           }
                           respond({200, "good", {}});
                       });
    http_client client(f.loop, local_endpoint(1), 1);
    std::vector<call_outcome> outcomes;
    for (const char* target : {"/bad", "/good"}) {
        client.call({"GET", target, "", {}}, milliseconds(5'000),
                    [&](const http_result& result) { outcomes.push_back(result.outcome); });
    }
    f.run_for(milliseconds(300));
    CHECK(outcomes == std::vector{call_outcome::unknown, call_outcome::answered});
    CHECK(f.failures == std::vector<std::string>{"bad"});
}

TEST_CASE("an exception in the callback of a call does not hold up the calls that wait") {
    fixture f;
    http_server server(f.loop, local_endpoint(2), {},
                       [](const http_request&, const http_responder& respond) {
                           respond({200, "", {}});
                       });
    http_client client(f.loop, local_endpoint(2), 1);
    int answered = 0;
    client.call({"GET", "/", "", {}}, milliseconds(5'000),
                [](const http_result&) { throw std::runtime_error("callback"); });
    client.call({"GET", "/", "", {}}, milliseconds(5'000),
                [&](const http_result& result) { answered += result.status == 200 ? 1 : 0; });
    f.run_for(milliseconds(300));
    CHECK(answered == 1);
    CHECK(f.failures == std::vector<std::string>{"callback"});
}

TEST_CASE("a waiting call ends at its own timeout, also behind one with a longer timeout") {
    fixture f;
    std::vector<http_responder> held;
    http_server server(
        f.loop, local_endpoint(3), {},
        [&](const http_request&, const http_responder& respond) { held.push_back(respond); });
    http_client client(f.loop, local_endpoint(3), 1);
    std::vector<int> ended;
    for (const auto& [number, limit] : {std::pair(0, 20'000), std::pair(1, 20'000), {2, 100}}) {
        client.call({"GET", "/", "", {}}, milliseconds(limit),
                    [&, number = number](const http_result& result) {
                        CHECK(result.outcome == call_outcome::not_sent);
                        ended.push_back(number);
                    });
    }
    f.run_for(milliseconds(400));
    CHECK(ended == std::vector{2});
}

TEST_CASE("calls that wait when their client is destroyed end as not sent") {
    fixture f;
    std::vector<http_responder> held;
    http_server server(
        f.loop, local_endpoint(4), {},
        [&](const http_request&, const http_responder& respond) { held.push_back(respond); });
    auto client = std::make_unique<http_client>(f.loop, local_endpoint(4), 1);
    std::vector<call_outcome> outcomes;
    for (int i = 0; i < 2; ++i) {
        client->call({"GET", "/", "", {}}, milliseconds(1'000),
                     [&](const http_result& result) { outcomes.push_back(result.outcome); });
    }
    f.loop.after(milliseconds(50), [&] { client.reset(); });
    f.run_for(milliseconds(1'300));
    // The first was sent, and its answer is still awaited until its timeout.
    CHECK(outcomes == std::vector{call_outcome::not_sent, call_outcome::unknown});
}

TEST_CASE("a timeout header with anything but digits counts as absent") {
    fixture f;
    http_server_options options;
    options.timeout_header = "Timeout-Ms";
    std::vector<milliseconds> timeouts;
    http_server server(f.loop, local_endpoint(5), options,
                       [&](const http_request& request, const http_responder& respond) {
                           timeouts.push_back(request.timeout);
                           respond({200, "", {}});
                       });
    http_client client(f.loop, local_endpoint(5), 1);
    for (const char* text : {"30", "30x", "3 0", "-30", ""}) {
        client.call({"GET", "/", "", {{"Timeout-Ms", text}}}, milliseconds(5'000),
                    [](const http_result&) {});
    }
    f.run_for(milliseconds(300));
    CHECK(timeouts == std::vector{milliseconds(30), milliseconds(0), milliseconds(0),
                                  milliseconds(0), milliseconds(0)});
}
