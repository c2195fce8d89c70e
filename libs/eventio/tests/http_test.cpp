// Tests HTTP and framed messages over the loopback interface.

#include <doctest/doctest.h>

#include <algorithm>

#include "loop_support.hpp"
#include "tanagerpaddle/eventio.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::eventio;
using tanagerpaddle::eventio::testing::local_endpoint;

namespace {

// Runs the loop until `done` is true; the check fails if that takes longer than 5 s.
void run_until(event_loop& loop, const bool& done) {
    constexpr milliseconds max_run_time{5'000};
    bool is_timed_out = false;
    loop.after(max_run_time, [&] {
        is_timed_out = true;
        loop.stop();
    });
    loop.every(milliseconds(2), [&] {
        if (done) {
            loop.stop();
        }
    });
    loop.run();
    CHECK_FALSE(is_timed_out);
}

}  // namespace

TEST_CASE("valid addresses are parsed, and invalid ones are rejected with an error") {
    CHECK(parse_endpoint("10.1.0.13:8161") == endpoint{"10.1.0.13", 8161});
    CHECK(to_string(endpoint{"10.1.0.13", 8161}) == "10.1.0.13:8161");
    for (const char* text :
         {"", "host", ":80", "a:", "a:70000", "a:1x", "a:80", "10.1.0:80", "10.1.0.256:80",
          "10.1.0.13:0", "10.1.0.13:-1", "10.1.0.13:65536", "10.1.0.13:1x", "10.1.0.13:"}) {
        CHECK_THROWS_WITH_AS((void)parse_endpoint(text), doctest::Contains("not an address"),
                             error);
    }
}

TEST_CASE("calls over a persistent connection carry method, target, body and timeout") {
    event_loop loop;
    http_server_options options;
    options.timeout_header = "Timeout-Ms";
    std::vector<http_request> received_requests;
    http_server server(loop, local_endpoint(0), options,
                       [&](const http_request& request, const http_responder& respond) {
                           received_requests.push_back(request);
                           respond({201, "answer", {{"Retry-After", "1"}}});
                           respond({500, "ignored", {}});
                       });
    http_client client(loop, local_endpoint(0), 2);
    bool done = false;
    std::vector<http_result> results;
    std::function<void()> send_request = [&] {
        client.call({"POST", "/path?x=1", "body", {{"Timeout-Ms", "3000"}}}, milliseconds(1'000),
                    [&](const http_result& result) {
                        results.push_back(result);
                        if (results.size() < 3) {
                            loop.post(send_request);
                        } else {
                            done = true;
                        }
                    });
    };
    send_request();
    run_until(loop, done);
    REQUIRE(results.size() == 3);
    for (const auto& result : results) {
        CHECK(result.outcome == call_outcome::answered);
        CHECK(result.status == 201);
        CHECK(result.body == "answer");
    }
    REQUIRE(received_requests.size() == 3);
    CHECK(received_requests[0].method == "POST");
    CHECK(received_requests[0].target == "/path?x=1");
    CHECK(received_requests[0].body == "body");
    CHECK(received_requests[0].timeout == milliseconds(3'000));
}

TEST_CASE("a call to a port without a listener ends as not sent, with the connection refused") {
    event_loop loop;
    http_client client(loop, local_endpoint(1), 1);
    bool done = false;
    client.call({"GET", "/", "", {}}, milliseconds(500), [&](const http_result& result) {
        CHECK(result.outcome == call_outcome::not_sent);
        CHECK(result.was_connection_refused);
        done = true;
    });
    run_until(loop, done);
}

TEST_CASE("at timeout a call without an answer ends as unknown, and waiting calls as not sent") {
    event_loop loop;
    std::vector<http_responder> pending_responders;
    http_server server(loop, local_endpoint(2), {},
                       [&](const http_request&, const http_responder& respond) {
                           pending_responders.push_back(respond);
                       });
    http_client client(loop, local_endpoint(2), 1);
    bool done = false;
    std::vector<call_outcome> outcomes;
    bool was_connection_lost = false;
    for (int i = 0; i < 2; ++i) {
        client.call({"GET", "/", "", {}}, milliseconds(200 - 100 * i),
                    [&](const http_result& result) {
                        outcomes.push_back(result.outcome);
                        was_connection_lost = was_connection_lost || result.was_connection_lost;
                        done = outcomes.size() == 2;
                    });
    }
    run_until(loop, done);
    REQUIRE(outcomes.size() == 2);
    CHECK_FALSE(was_connection_lost);
    CHECK(std::count(outcomes.begin(), outcomes.end(), call_outcome::unknown) == 1);
    CHECK(std::count(outcomes.begin(), outcomes.end(), call_outcome::not_sent) == 1);
}

TEST_CASE("a call whose connection the peer closes ends as unknown, with the connection lost") {
    event_loop loop;
    message_server peer(loop, local_endpoint(8), [](const std::shared_ptr<message_link>& link) {
        link->close();
        return link_handlers{[](const std::string&) {}, [] {}};
    });
    http_client client(loop, local_endpoint(8), 1);
    bool done = false;
    client.call({"GET", "/", "", {}}, milliseconds(2'000), [&](const http_result& result) {
        CHECK(result.outcome == call_outcome::unknown);
        CHECK(result.was_connection_lost);
        done = true;
    });
    run_until(loop, done);
}

TEST_CASE("a request body over the size limit is rejected with status 413") {
    event_loop loop;
    http_server_options options;
    options.max_body_bytes = 100;
    http_server server(loop, local_endpoint(3), options,
                       [](const http_request&, const http_responder& respond) { respond({}); });
    http_client client(loop, local_endpoint(3), 1);
    bool done = false;
    client.call({"POST", "/", std::string(1'000, 'x'), {}}, milliseconds(1'000),
                [&](const http_result& result) {
                    CHECK(result.status == 413);
                    done = true;
                });
    run_until(loop, done);
}

// A connection that is closed while its request is still arriving is reset, and the caller sees a
// failed write in place of the response.
TEST_CASE("a rejection reaches a caller that is still sending its request") {
    event_loop loop;
    http_server_options options;
    options.max_body_bytes = 100;
    http_server server(loop, local_endpoint(6), options,
                       [](const http_request&, const http_responder& respond) { respond({}); });
    http_client client(loop, local_endpoint(6), 20);
    std::vector<http_result> results;
    bool done = false;
    for (int i = 0; i < 20; ++i) {
        client.call({"POST", "/", std::string(8'000'000, 'x'), {}}, milliseconds(3'000),
                    [&](const http_result& result) {
                        results.push_back(result);
                        done = results.size() == 20;
                    });
    }
    run_until(loop, done);
    for (const auto& result : results) {
        CHECK(result.outcome == call_outcome::answered);
        CHECK(result.status == 413);
    }
}

TEST_CASE("messages arrive in order in both directions, and a close by the peer is reported") {
    event_loop loop;
    std::shared_ptr<message_link> accepted_link;
    message_server server(loop, local_endpoint(4), [&](std::shared_ptr<message_link> link) {
        accepted_link = link;
        return link_handlers{[link](const std::string& text) { link->send("echo " + text); }, {}};
    });
    bool done = false;
    std::vector<std::string> received;
    connect_link(loop, local_endpoint(4), milliseconds(500),
                 [&](const std::shared_ptr<message_link>& link) {
                     REQUIRE(link != nullptr);
                     link->send("a");
                     link->send(std::string(100'000, 'b'));
                     return link_handlers{[&](const std::string& text) {
                                              received.push_back(text);
                                              if (received.size() == 2) {
                                                  accepted_link->close();
                                              }
                                          },
                                          [&] { done = true; }};
                 });
    run_until(loop, done);
    REQUIRE(received.size() == 2);
    CHECK(received[0] == "echo a");
    CHECK(received[1].size() == 100'005);
}

TEST_CASE("connecting to a port without a listener reports a null link") {
    event_loop loop;
    bool done = false;
    connect_link(loop, local_endpoint(5), milliseconds(500),
                 [&](const std::shared_ptr<message_link>& link) {
                     CHECK(link == nullptr);
                     done = true;
                     return link_handlers{};
                 });
    run_until(loop, done);
}
