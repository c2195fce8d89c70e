#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

#include "tanagerpaddle/config.hpp"

using namespace tanagerpaddle;

namespace {

// What the example printed during the build.
configuration printed(const std::string& example) {
    std::ifstream file(std::string(TANAGERPADDLE_PRINTED_DIR "/") + example + ".yaml");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    INFO(example, " printed ", text.size(), " bytes");
    REQUIRE_FALSE(text.empty());
    return from_yaml(text, example + ".yaml");
}

std::string all_problems(const configuration& declared) {
    std::string text;
    for (const auto& problem : validate(declared)) {
        text += to_string(problem) + "\n";
    }
    return text;
}

}  // namespace

// The examples are what operators copy; one that is rejected misleads all of them.
TEST_CASE("the printed examples parse and validate") {
    CHECK(all_problems(printed("brazos")) == "");
    CHECK(all_problems(printed("brembati")) == "");
}

// A cut order or stock watch declared idempotent could run twice.
TEST_CASE("work that must not run twice is declared non-idempotent") {
    const configuration brazos = printed("brazos");
    const auto* orders = brazos.find_service(service_id("cut-orders"));
    REQUIRE(orders != nullptr);
    CHECK(find_method(*orders, method_id("quote"))->is_idempotent);
    CHECK_FALSE(find_method(*orders, method_id("order"))->is_idempotent);
    CHECK(orders->slots == 8);
    CHECK(orders->connections == 64);
    CHECK(brazos.failure_domains.size() == 4);

    const configuration brembati = printed("brembati");
    const auto* catalogue = brembati.find_service(service_id("catalogue"));
    REQUIRE(catalogue != nullptr);
    CHECK_FALSE(find_method(*catalogue, method_id("stock_update"))->is_idempotent);
    CHECK(brembati.failure_domains.size() == 3);
    for (const auto& job : brembati.jobs) {
        INFO("job ", job.id.value());
        CHECK(job.is_idempotent == !job.id.value().starts_with("stock-watch-"));
    }
}
