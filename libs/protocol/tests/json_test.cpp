#include <doctest/doctest.h>

#include "tanagerpaddle/protocol.hpp"

using namespace tanagerpaddle;

// A field that is lost on the way would silently take its default at the receiver.
TEST_CASE("a sync request survives its way through JSON") {
    sync_request request;
    request.worker = worker_id("w1");
    request.incarnation = incarnation_number(0xFFFF'FFFF'FFFF'FFFF);
    request.capacity = {millicores(64'000), mebibytes(250'000), accelerator_count(2)};
    request.tasks.push_back({.attempt = {{job_id("j"), 3}, attempt_number(2)},
                             .state = task_state::running,
                             .demand = {millicores(1), mebibytes(2), accelerator_count(0)},
                             .progress = 0.5,
                             .checkpoint = "c",
                             .used_processors = millicores(7),
                             .speed_percent = 50,
                             .run_ms = 9});
    request.is_leaving = true;
    const std::string text = encode(request);
    const auto copy = decode<sync_request>(text);
    CHECK(encode(copy) == text);
    CHECK(copy.incarnation == request.incarnation);
    CHECK(copy.tasks.at(0).attempt == request.tasks.at(0).attempt);
    CHECK(copy.tasks.at(0).speed_percent == 50);
    CHECK(copy.is_leaving);
}

TEST_CASE("optional parts of a reply may be absent") {
    const auto reply = decode<sync_reply>("{}");
    CHECK_FALSE(reply.redirect.has_value());
    CHECK_FALSE(reply.configuration.has_value());
    CHECK(reply.lease_ms == 0);
}

TEST_CASE("text that is no message is refused with a numbered error") {
    for (const char* text : {"", "[]", "{\"worker\":7}", "{\"tasks\":{}}", "{"}) {
        INFO("text ", text);
        CHECK_THROWS_AS((void)decode<sync_request>(text), error);
    }
}

TEST_CASE("keys of one shard share its prefix") {
    const auto key = group_key(partition_number(3), job_id("harvest"), 12);
    CHECK(key == "group/0003/harvest/0012");
    CHECK(key.starts_with(shard_prefix(partition_number(3))));
}

// A number that is cut silently would turn one process's statement into another one.
TEST_CASE("numbers and enumerators out of range are refused") {
    for (const char* text :
         {"{\"code\":7e120}", "{\"code\":70000}", "{\"code\":599}", "{\"lease_ms\":1.5}",
          "{\"epoch\":-1}", "{\"epoch\":18446744073709551616}"}) {
        INFO("text ", text);
        CHECK_THROWS_AS((void)decode<sync_reply>(text), error);
    }
    CHECK_THROWS_AS((void)decode<sync_request>("{\"control\":{\"port\":65536}}"), error);
    CHECK_THROWS_AS((void)decode<sync_request>("{\"tasks\":[{\"state\":8}]}"), error);
    CHECK_THROWS_AS((void)decode<sync_request>("{\"tasks\":[{\"run_ms\":1e99}]}"), error);
}

// A default that differs from zero must not be restored in place of a zero that was sent.
TEST_CASE("a field is left out only if it holds its default") {
    held_task task;
    CHECK(encode(task) == "{}");
    task.speed_percent = 0;
    CHECK(encode(task) == "{\"speed_percent\":0}");
    CHECK(decode<held_task>(encode(task)).speed_percent == 0);
    CHECK(encode_complete(task).size() > 100);
}
