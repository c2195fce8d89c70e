#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

#include "page_check.hpp"
#include "tanagerpaddle/settings.hpp"

using namespace tanagerpaddle;

// Operators read the page instead of the table; an outdated page names wrong keys and limits. The
// section on the node, which has settings of its own, is checked by platform_adapter.settings_test.
TEST_CASE("docs/settings.md is the reference of the table of keys") {
    const std::string page = testing::read_page("settings.md");
    const auto node_section = page.find("\n## The node on the platform\n");
    REQUIRE(node_section != std::string::npos);
    const std::string expected = markdown_reference() + page.substr(node_section);
    INFO("to update the page: TANAGERPADDLE_UPDATE_PAGES=1 settings_test");
    CHECK(testing::committed_page("settings.md", expected) == expected);
}

// A key that nobody can set, or two rows for one member, would go unnoticed in a long table.
TEST_CASE("every row of the table sets its own member") {
    const settings defaults = default_settings(process_role::entry);
    for (const auto& row : setting_table()) {
        INFO("key ", std::string(row.key));
        CHECK_FALSE(row.description.empty());
        settings changed = defaults;
        auto value = row.read(defaults);
        if (auto* number = std::get_if<std::int64_t>(&value)) {
            *number +=
                static_cast<double>(*number) + 1 <= row.maximum || row.type == setting_type::choice
                    ? 1
                    : -1;
        } else if (auto* ratio = std::get_if<double>(&value)) {
            *ratio += 0.25;
        } else if (auto* text = std::get_if<std::string>(&value)) {
            *text += "x";
        } else {
            std::get<std::vector<network_address>>(value).push_back({"127.0.0.9", 9});
        }
        row.assign(changed, value);
        CHECK(row.read(changed) == value);
        CHECK(changed_keys(defaults, changed) == std::vector<std::string_view>{row.key});
    }
}

// A caller that meets a code without a row cannot know whether its request was run.
TEST_CASE("docs/result-codes.md lists exactly the codes of core.hpp") {
    std::istringstream page(testing::read_page("result-codes.md"));
    std::vector<std::pair<int, std::string>> listed;
    for (std::string line; std::getline(page, line);) {
        int number = 0;
        std::string name_cell;
        char bar = 0;
        std::istringstream cells(line);
        if (cells >> bar >> number >> bar >> name_cell && bar == '|') {
            listed.emplace_back(number, name_cell);
        }
    }
    std::vector<std::pair<int, std::string>> expected;
    for (int number = 0; number < 1'000; ++number) {
        const result_code code = result_code_from_number(number);
        if (static_cast<int>(code) == number) {
            expected.emplace_back(number, "`" + std::string(name(code)) + "`");
        }
    }
    for (std::size_t i = 0; i < std::max(listed.size(), expected.size()); ++i) {
        INFO("row ", i);
        REQUIRE(i < listed.size());
        REQUIRE(i < expected.size());
        CHECK(listed[i].first == expected[i].first);
        CHECK(listed[i].second == expected[i].second);
    }
}
