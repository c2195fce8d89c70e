// Recorded operations that another writer left in an odd state.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "configuration_store.hpp"

using namespace tanagerpaddle;

namespace {

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

// Guards against an error of another class that the answer to the operator does not explain.
TEST_CASE("an operation recorded without a sound version counts as accepted") {
    memory_table rows;
    configuration_store configurations(rows);
    for (const char* recorded : {"op-1@", "op-1@x", "op-1@99999999999999999999999"}) {
        INFO("operation ", std::string(recorded));
        configuration_row row;
        row.version = config_version(5);
        row.document = to_yaml(sound_configuration());
        row.operations.emplace_back(recorded);
        put(rows, std::string(configuration_key), encode(row));
        accepted_configuration accepted;
        CHECK_NOTHROW(accepted = configurations.apply(change(sound_configuration(), 4, "op-1")));
        CHECK(accepted.version == config_version(5));
    }
}
