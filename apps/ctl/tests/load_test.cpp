#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "fake_entry.hpp"
#include "load_generator.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::ctl;

namespace {

const sent_request sent{"id-1", "quote", "abc"};

http_result right_answer() {
    http_result result;
    result.response.body = "id-1|quote|cba";
    result.response.headers = {
        {header_name::request_id, "id-1"},
        {header_name::result, "0"},
        {header_name::body_length, std::to_string(result.response.body.size())},
        {header_name::body_checksum, to_hex(hash_bytes(result.response.body))}};
    return result;
}

void set_header(http_result& result, const std::string& name, const std::string& value) {
    for (auto& item : result.response.headers) {
        if (item.name == name) {
            item.value = value;
        }
    }
}

answer_kind kind_of(const http_result& result) {
    return judge(sent, result, true).kind;
}

// Answers like an entry in front of the target stand-in; each third request is shed.
http_response serve(const http_request& request, std::atomic<int>& count) {
    const std::string id = request.header(header_name::request_id);
    if (++count % 3 == 0) {
        return error_response(result_code::overloaded, "scripted");
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = id + "|quote|" + std::string(request.body.rbegin(), request.body.rend());
    response.headers = {{header_name::request_id, id},
                        {header_name::result, "0"},
                        {header_name::body_length, std::to_string(response.body.size())},
                        {header_name::body_checksum, to_hex(hash_bytes(response.body))}};
    return response;
}

}  // namespace

// A check that lets a damaged answer pass makes every load run green.
TEST_CASE("each kind of damage makes an answer wrong") {
    CHECK(kind_of(right_answer()) == answer_kind::right);
    for (const char* damaged : {header_name::request_id, header_name::result,
                                header_name::body_length, header_name::body_checksum}) {
        for (const char* value : {"", "other"}) {
            http_result result = right_answer();
            set_header(result, damaged, value);
            INFO("header ", damaged, " is \"", value, "\"");
            CHECK(kind_of(result) == answer_kind::wrong);
        }
    }
    http_result truncated = right_answer();
    truncated.response.body.pop_back();
    CHECK(kind_of(truncated) == answer_kind::wrong);
    http_result crossed = right_answer();
    crossed.response.body = "id-1|quote|xyz";
    set_header(crossed, header_name::body_checksum, to_hex(hash_bytes(crossed.response.body)));
    CHECK(kind_of(crossed) == answer_kind::wrong);
    CHECK(judge(sent, crossed, false).kind == answer_kind::right);
}

TEST_CASE("errors that say so are honest and counted by code") {
    http_result shed;
    shed.response = error_response(result_code::overloaded, "scripted");
    CHECK(judge(sent, shed, true).code == "overloaded");
    http_result lost;
    lost.failure = http_failure::no_answer;
    CHECK(judge(sent, lost, true).code == "no_answer");
    http_result of_another = shed;
    of_another.response.headers.push_back({header_name::request_id, "id-2"});
    CHECK(kind_of(of_another) == answer_kind::wrong);
}

TEST_CASE("a plan is determined by its seed and has the wanted rate and weights") {
    load_options options;
    options.methods = {{"quote", 3}, {"order", 1}};
    options.requests_per_second = 1'000;
    options.seconds = 10;
    const auto plan = plan_load(options);
    const auto again = plan_load(options);
    REQUIRE(plan.size() == again.size());
    CHECK(plan.back().at == again.back().at);
    CHECK(plan.back().body_seed == again.back().body_seed);
    // Five standard deviations of a Poisson and of a binomial distribution.
    CHECK(std::abs(static_cast<double>(plan.size()) - 10'000) < 500);
    const auto orders = std::count_if(plan.begin(), plan.end(),
                                      [](const planned_request& item) { return item.method == 1; });
    CHECK(std::abs(static_cast<double>(orders) / static_cast<double>(plan.size()) - 0.25) < 0.022);
    CHECK(body_of(7, 64) == body_of(7, 64));
    CHECK(body_of(7, 64) != body_of(8, 64));
}

// Counted from the moment of sending, a stalled server would hide the requests that wait for it.
TEST_CASE("latency is counted from the intended send time") {
    fake_entry entry;
    entry.on("POST /v1/requests/s/quote", [](const http_request& request) {
        std::atomic<int> count{0};
        std::this_thread::sleep_for(milliseconds(20));
        return serve(request, count);
    });
    load_options options;
    options.callers = {parse_endpoint(entry.address())};
    options.service = "s";
    options.methods = {{"quote", 1}};
    options.id_prefix = "t";
    options.connections = 1;
    options.checks_standin = true;
    std::vector<planned_request> plan(10);
    for (std::size_t i = 0; i < plan.size(); ++i) {
        plan[i].number = i;
    }
    load_results results;
    run_load(options, plan, system_clock(), results);
    const auto body = results.to_json();
    INFO(body.dump());
    CHECK(results.right() == 10);
    // The last of ten that were due at once waits for nine others of 20 ms each; a quantile of the
    // histogram is off by 12.2% at most.
    CHECK(body["latency_s"]["max"].get<double>() > 0.2 * 0.87);
}

TEST_CASE("load counts answers and errors and ends with 4 after a wrong answer") {
    std::atomic<int> count{0};
    fake_entry entry;
    entry.on("POST /v1/requests/s/quote",
             [&count](const http_request& request) { return serve(request, count); });
    std::vector<std::string> arguments{"load", "--callers",       entry.address(), "--service",
                                       "s",    "--method",        "quote",         "--rate",
                                       "200",  "--seconds",       "0.5",           "--seed",
                                       "3",    "--check-standin", "--output",      "json"};
    const auto good = run(arguments);
    INFO("output: ", good.out, good.err);
    REQUIRE(good.status == 0);
    const auto body = nlohmann::json::parse(good.out);
    CHECK(body["sent"] == body["right"].get<int>() + body["errors"].get<int>());
    CHECK(body["errors"] == count.load() / 3);
    CHECK(body["errors_by_code"]["overloaded"] == body["errors"]);
    entry.on("POST /v1/requests/s/quote", [&count](const http_request& request) {
        http_response response = serve(request, count);
        response.body += "x";
        return response;
    });
    CHECK(run(arguments).status == 4);
}
