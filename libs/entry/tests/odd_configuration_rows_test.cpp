// Rows of the configuration that another writer left in an odd state.

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

std::string row_text(std::uint64_t version, const std::string& document) {
    configuration_row row;
    row.version = config_version(version);
    row.document = document;
    return encode(row);
}

void put(table& rows, const std::string& key, const std::string& value) {
    table_transaction transaction;
    transaction.puts.push_back({key, value});
    REQUIRE(rows.commit(transaction).committed);
}

const std::vector<std::string>& odd_rows() {
    configuration negative = sound_configuration();
    negative.teams.front().quota.processors = millicores(-1);
    configuration doubled = sound_configuration();
    doubled.failure_domains.push_back(doubled.failure_domains.front());
    static const std::vector<std::string> all{
        "",
        "7",
        "{",
        "\xff",
        nested(100'000),
        "{\"version\":" + nested(100'000) + "}",
        "{\"version\":18446744073709551615,\"document\":\"\"}",
        "{\"version\":1e300}",
        row_text(2, std::string(100'000, '[')),
        row_text(2, "teams: 7"),
        row_text(2, to_yaml(negative)),
        row_text(2, to_yaml(doubled)),
    };
    return all;
}

}  // namespace

// Guards against an odd configuration in force, and against one after which none is accepted.
TEST_CASE("an odd configuration row is refused, and the next sound one is read") {
    for (const auto& value : odd_rows()) {
        INFO("row ", value.substr(0, 80), " of ", value.size(), " bytes");
        memory_table rows;
        configuration_store configurations(rows);
        put(rows, std::string(configuration_key), value);
        CHECK_THROWS_AS((void)configurations.read_newer(config_version(1)), error);
        put(rows, std::string(configuration_key), row_text(3, to_yaml(sound_configuration())));
        const auto accepted = configurations.read_newer(config_version(1));
        REQUIRE(accepted.declared != nullptr);
        CHECK(accepted.version == config_version(3));
    }
}
