#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "tanagerpaddle/telemetry.hpp"

using namespace tanagerpaddle;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view valid_parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

// The spans of the file, which is removed.
std::vector<json> take_spans(const std::string& path) {
    std::vector<json> spans;
    {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            INFO(line);
            const json document = json::parse(line);
            spans.push_back(
                document.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0));
        }
    }
    std::filesystem::remove(path);
    return spans;
}

trace_options options_for(const std::string& path) {
    std::filesystem::remove(path);
    trace_options options;
    options.role = "entry";
    options.id = "e-1";
    options.file = path;
    options.sample_ratio = 1;
    options.seed = 7;
    return options;
}

}  // namespace

// A lenient parser would join unrelated traces or pass malformed headers on.
TEST_CASE("only well-formed traceparent headers are accepted") {
    const auto parsed = parse_traceparent(valid_parent);
    REQUIRE(parsed.has_value());
    CHECK(parsed->trace_id[0] == 0x0af7651916cd43dd);
    CHECK(parsed->span_id == 0xb7ad6b7169203331);
    CHECK(parsed->is_sampled);
    CHECK(to_traceparent(*parsed) == valid_parent);
    CHECK(parse_traceparent("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more"));
    for (const char* text : {"", "00", "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                             "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                             "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01 ",
                             "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01.more",
                             "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                             "00-0af7651916cd43dd8448eb211c80319c-b7ad6b716920333g-01"}) {
        INFO("header '", text, "'");
        CHECK_FALSE(parse_traceparent(text).has_value());
    }
}

// A span without its parent or times cannot be placed in a request's trace.
TEST_CASE("an ended span is one OTLP JSON line with parent, times and result") {
    const std::string path = "trace_test_span.jsonl";
    manual_clock time;
    std::string child_header;
    {
        tracer spans(options_for(path), time);
        span outer = spans.start("request", valid_parent);
        time.advance(5ms);
        {
            span inner = outer.child("attempt");
            child_header = inner.traceparent();
            inner.set("target", "t\"1\xff");
            inner.set("tries", 2);
            inner.set("key", secret{"hidden"});
            inner.set_result(result_code::overloaded);
            time.advance(2ms);
        }
        outer.end();
        outer.end();
    }
    const auto written = take_spans(path);
    REQUIRE(written.size() == 2);
    const json& inner = written[0];
    const json& outer = written[1];
    INFO(inner.dump(), "\n", outer.dump());
    CHECK(outer.at("parentSpanId") == "b7ad6b7169203331");
    CHECK(inner.at("parentSpanId") == outer.at("spanId"));
    CHECK(inner.at("traceId") == "0af7651916cd43dd8448eb211c80319c");
    CHECK(child_header ==
          "00-0af7651916cd43dd8448eb211c80319c-" + inner.at("spanId").get<std::string>() + "-01");
    // The manual clock starts at 1,700,003,600 s after 1970.
    CHECK(outer.at("startTimeUnixNano") == "1700003600000000000");
    CHECK(outer.at("endTimeUnixNano") == "1700003600007000000");
    CHECK(inner.at("startTimeUnixNano") == "1700003600005000000");
    CHECK(outer.at("status").at("code") == 1);
    CHECK(inner.at("status").at("code") == 2);
    CHECK(inner.at("attributes").at(1) == json({{"key", "tries"}, {"value", {{"intValue", "2"}}}}));
    CHECK(inner.at("attributes").at(2).at("value").at("stringValue") == "***");
}

// The caller's decision must hold for all hops, or traces have gaps.
TEST_CASE("a parent decides on sampling and the ratio on new traces") {
    const std::string path = "trace_test_sampling.jsonl";
    const manual_clock time;
    {
        auto options = options_for(path);
        options.sample_ratio = 0;
        tracer spans(options, time);
        CHECK_FALSE(spans.start("new").context().is_sampled);
        CHECK(spans.start("child", valid_parent).context().is_sampled);
        options.sample_ratio = 1;
        tracer all(options, time);
        std::string parent(valid_parent);
        parent.back() = '0';
        CHECK_FALSE(all.start("child", parent).context().is_sampled);
        const span fresh = all.start("new", "garbage");
        CHECK(fresh.context().is_sampled);
        CHECK(fresh.context().trace_id != parse_traceparent(valid_parent)->trace_id);
    }
    CHECK(take_spans(path).size() == 2);
}

// A trace file on a slow disk must slow down no request and use no unbounded memory.
TEST_CASE("spans of several threads are written whole or counted as dropped") {
    const std::string path = "trace_test_threads.jsonl";
    const system_clock time;
    std::uint64_t dropped = 0;
    {
        auto options = options_for(path);
        options.queue_length = 16;
        tracer spans(options, time);
        {
            std::vector<std::jthread> threads;
            for (int t = 0; t < 4; ++t) {
                threads.emplace_back([&spans] {
                    for (int i = 0; i < 500; ++i) {
                        span item = spans.start("step");
                        for (int k = 0; k < 100; ++k) {
                            item.set("attribute", k);
                        }
                    }
                });
            }
        }
        dropped = spans.dropped();
    }
    const auto written = take_spans(path);
    INFO("written ", written.size(), ", dropped ", dropped);
    CHECK(written.size() + dropped == 2'000);
    CHECK(written.at(0).at("attributes").size() == 33);
}
