#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>

#include "platform_service.hpp"
#include "tanagerpaddle/platform.hpp"

using namespace tanagerpaddle;

namespace {

// The stand-in and its clients in one process.
struct platform_fixture {
    system_clock time;
    standin::platform_service service{time, {}, 7};
    standin::server http{{"127.0.0.1", 0, 16}};

    platform_fixture() {
        service.add_routes(http);
        http.start();
    }

    [[nodiscard]] platform_client_options options(
        milliseconds timeout = milliseconds(2'000)) const {
        platform_client_options result;
        result.port = http.port();
        result.call_timeout = timeout;
        return result;
    }
};

template <class Call>
result_code code_of(Call&& call) {
    try {
        call();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

const table_transaction create_a{{{"a", row_version()}}, {{"a", "1"}}, {}};

}  // namespace

TEST_CASE_FIXTURE(platform_fixture, "the HTTP table keeps conditions, versions and any bytes") {
    http_table rows(options());
    const std::string bytes("\xff\x00\"{\n", 5);
    const auto first = rows.commit({{{"p/1", row_version()}}, {{"p/1", bytes}, {"p/2", "x"}}, {}});
    REQUIRE(first.committed);
    CHECK(rows.read("p/1")->value == bytes);
    CHECK(rows.read("p/1")->version == first.version);
    CHECK_FALSE(rows.read("p/3").has_value());
    const auto second = rows.commit({{{"p/1", row_version()}}, {{"p/1", "y"}}, {}});
    CHECK_FALSE(second.committed);
    CHECK(second.conflicts == std::vector<std::string>{"p/1"});
    CHECK(rows.scan("p/", "p/1", 10).size() == 1);
    CHECK(scan_all(rows, "p/").size() == 2);
    CHECK(rows.commit({{{"p/1", first.version}}, {}, {"p/1"}}).committed);
    CHECK_FALSE(rows.read("p/1").has_value());
    const auto counters = service.counters();
    INFO(counters.dump());
    CHECK(counters["prefixes"]["p"]["rows_written"] == 3);
    CHECK(counters["prefixes"]["p"]["conflicts"] == 1);
}

TEST_CASE_FIXTURE(platform_fixture, "the HTTP object store keeps bytes under any key") {
    http_object_store objects(options());
    const std::string bytes("\x00\xfe%", 3);
    const std::string key = "checkpoint/a b%2F+?#/3/1";
    CHECK_FALSE(objects.read(key).has_value());
    objects.put(key, bytes);
    CHECK(objects.read(key) == bytes);
    objects.remove(key);
    CHECK_FALSE(objects.read(key).has_value());
}

TEST_CASE_FIXTURE(platform_fixture, "a platform that is down refuses calls without effect") {
    http_table rows(options());
    http_object_store objects(options());
    service.change_faults({{"down", true}});
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_unavailable);
    CHECK(code_of([&] { (void)rows.read("a"); }) == result_code::store_unavailable);
    CHECK(code_of([&] { objects.put("a", "1"); }) == result_code::store_unavailable);
    service.change_faults({{"down", false}});
    CHECK_FALSE(rows.read("a").has_value());
}

TEST_CASE("a platform without a listener refuses calls") {
    platform_client_options options;
    {
        standin::server stopped({"127.0.0.1", 0, 1});
        stopped.start();
        options.port = stopped.port();
    }
    http_table rows(options);
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_unavailable);
}

// An owner that took a lost answer for a refusal would claim the same tasks twice.
TEST_CASE_FIXTURE(platform_fixture, "a commit whose answer is lost is unknown and has an effect") {
    http_table rows(options());
    service.change_faults({{"lost_answer", 1.0}});
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_outcome_unknown);
    service.change_faults({{"lost_answer", 0.0}});
    CHECK(rows.read("a")->value == "1");
    CHECK_FALSE(rows.commit(create_a).committed);
}

TEST_CASE_FIXTURE(platform_fixture, "a commit whose request is lost is unknown without an effect") {
    http_table rows(options());
    service.change_faults({{"lost_request", 1.0}});
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_outcome_unknown);
    CHECK(code_of([&] { (void)rows.read("a"); }) == result_code::store_unavailable);
    service.change_faults({{"lost_request", 0.0}});
    CHECK_FALSE(rows.read("a").has_value());
}

// Without a timeout a slow store would hold the threads of an entry.
TEST_CASE_FIXTURE(platform_fixture, "a call to a slow platform ends at its timeout") {
    service.change_faults({{"latency_ms", 600}});
    http_table rows(options(milliseconds(150)));
    const auto start = std::chrono::steady_clock::now();
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_outcome_unknown);
    CHECK(code_of([&] { (void)rows.read("a"); }) == result_code::store_unavailable);
    const auto taken = std::chrono::steady_clock::now() - start;
    CHECK(std::chrono::duration_cast<milliseconds>(taken).count() < 550);
    service.change_faults({{"latency_ms", 0}});
    std::this_thread::sleep_for(milliseconds(700));
    http_table patient(options());
    CHECK(patient.read("a")->value == "1");
}

TEST_CASE_FIXTURE(platform_fixture, "writes above the rate limit are refused without effect") {
    http_table rows(options());
    service.change_faults({{"write_limit", 5}, {"read_limit", 1'000}});
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const table_transaction put{{}, {{"k/" + std::to_string(i), "x"}}, {}};
        const auto code = code_of([&] { (void)rows.commit(put); });
        CHECK((code == result_code::ok || code == result_code::store_unavailable));
        refused += code == result_code::store_unavailable ? 1 : 0;
    }
    CHECK(refused >= 10);
    CHECK(scan_all(rows, "k/").size() == static_cast<std::size_t>(20 - refused));
}

TEST_CASE_FIXTURE(platform_fixture, "calls beyond the kept connections wait until the timeout") {
    auto narrow = options(milliseconds(300));
    narrow.connections = 1;
    http_table rows(narrow);
    service.change_faults({{"latency_ms", 1'000}});
    std::thread first([&] { (void)code_of([&] { (void)rows.read("a"); }); });
    std::this_thread::sleep_for(milliseconds(200));
    // The first call holds the only connection to its own timeout, then a new one is made.
    CHECK(code_of([&] { (void)rows.commit(create_a); }) == result_code::store_outcome_unknown);
    first.join();
}

// Owners depend on conditions alone to keep each other's writes, also when answers are lost.
TEST_CASE_FIXTURE(platform_fixture, "concurrent conditional increments lose and repeat none") {
    constexpr int writers = 4;
    constexpr int increments = 25;
    service.change_faults({{"lost_answer", 0.1}, {"lost_request", 0.1}});
    http_table rows(options());
    const auto add_one = [&rows](const std::string& mark) {
        while (true) {
            try {
                const auto row = rows.read("sum");
                if (row && row->value.find(mark) != std::string::npos) {
                    return;
                }
                const std::string value = (row ? row->value : "") + mark;
                const row_version expected = row ? row->version : row_version();
                if (rows.commit({{{"sum", expected}}, {{"sum", value}}, {}}).committed) {
                    return;
                }
            } catch (const error&) {
                // The mark in the row decides.
            }
        }
    };
    std::vector<std::thread> threads;
    for (int writer = 0; writer < writers; ++writer) {
        threads.emplace_back([&add_one, writer] {
            for (int i = 0; i < increments; ++i) {
                add_one("<" + std::to_string(writer) + ":" + std::to_string(i) + ">");
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    service.change_faults({{"lost_answer", 0.0}, {"lost_request", 0.0}});
    const std::string sum = rows.read("sum")->value;
    INFO(sum);
    CHECK(std::count(sum.begin(), sum.end(), '<') == writers * increments);
}

// A platform that was replaced must not look like an outage to the reads that follow.
TEST_CASE("reads go on over new connections after the platform was restarted") {
    const system_clock time;
    standin::platform_service service(time, {}, 1);
    platform_client_options options;
    const standin::server_options any_port{"127.0.0.1", 0, 16, std::chrono::seconds(1)};
    auto first = std::make_unique<standin::server>(any_port);
    service.add_routes(*first);
    first->start();
    options.port = first->port();
    http_table rows(options);
    CHECK_FALSE(rows.read("a").has_value());
    first->stop();
    first.reset();
    standin::server second({"127.0.0.1", options.port, 16, std::chrono::seconds(1)});
    service.add_routes(second);
    second.start();
    CHECK(code_of([&] { (void)rows.read("a"); }) == result_code::ok);
}

// A connection beyond the bound must get an answer rather than wait for a free thread.
TEST_CASE("a connection beyond the limit is answered at once") {
    const system_clock time;
    standin::platform_service service(time, {}, 1);
    standin::server http({"127.0.0.1", 0, 1});
    service.add_routes(http);
    http.start();
    platform_client_options options;
    options.port = http.port();
    http_table holder(options);
    CHECK_FALSE(holder.read("a").has_value());
    http_table second(options);
    CHECK(code_of([&] { (void)second.read("a"); }) == result_code::store_unavailable);
    CHECK_FALSE(holder.read("a").has_value());
}
