// Rows of drained failure domains that another writer left in an odd state.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "configuration_store.hpp"

using namespace tanagerpaddle;

namespace {

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

configuration sound_configuration(const std::vector<std::string>& drains = {}) {
    configuration_builder builder;
    builder.failure_domain("a", "r").failure_domain("b", "r");
    builder.team("growers", {millicores(1'000), mebibytes(1'000), accelerator_count(0)});
    for (const auto& domain : drains) {
        builder.drain(domain);
    }
    return builder.build();
}

void put(table& rows, const std::string& key, const std::string& value) {
    table_transaction transaction;
    transaction.puts.push_back({key, value});
    REQUIRE(rows.commit(transaction).committed);
}

configuration_change_request change(const configuration& declared, std::uint64_t expected,
                                    const std::string& operation) {
    return {to_yaml(declared), config_version(expected), operation_id(operation), "operator"};
}

}  // namespace

// Guards against one row of a failure domain that keeps operators from changing anything.
TEST_CASE("an odd row of a failure domain is replaced by the next change") {
    for (const auto& value : {std::string(), std::string("7"), nested(100'000)}) {
        INFO("row ", value.substr(0, 80), " of ", value.size(), " bytes");
        memory_table rows;
        configuration_store configurations(rows);
        put(rows, domain_key(failure_domain_id("a")), value);
        CHECK_NOTHROW((void)configurations.apply(change(sound_configuration({"b"}), 0, "op-1")));
        const auto a = rows.read(domain_key(failure_domain_id("a")));
        const auto b = rows.read(domain_key(failure_domain_id("b")));
        REQUIRE(a.has_value());
        REQUIRE(b.has_value());
        domain_row first{true, {}};
        CHECK_NOTHROW(first = decode<domain_row>(a->value));
        CHECK_FALSE(first.is_drained);
        CHECK(decode<domain_row>(b->value).is_drained);
    }
}
