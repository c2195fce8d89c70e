#include <doctest/doctest.h>

#include <algorithm>

#include "sample_configuration.hpp"

using namespace tanagerpaddle;
using testing::sample_builder;

// An operator confirms a change by this text: a missing line would hide a change.
TEST_CASE("a difference lists what was added, removed and changed in one line each") {
    const configuration from = sample_builder().build();
    configuration to = from;
    to.teams.push_back({team_id("new"), {}, true});
    to.jobs[0].task_count = 13;
    to.jobs[0].demand.memory = mebibytes(1);
    to.jobs.pop_back();
    to.services[0].methods[0].priority = request_priority::standard;
    to.drains = {failure_domain_id("north")};

    std::vector<std::string> lines;
    std::string text;
    for (const auto& change : diff(from, to)) {
        CHECK(change.description.find('\n') == std::string::npos);
        lines.push_back(change.description);
        text += change.description + "\n";
    }
    const std::vector<std::string> expected{
        "added teams[new]",
        "changed services[orders].methods[quote]: priority interactive -> standard",
        "changed jobs[plan]: task_count 12 -> 13, demand {processors_millicores: 4000, memory_mib: "
        "8192, accelerators: 0} -> {processors_millicores: 4000, memory_mib: 1, accelerators: 0}",
        "removed jobs[pallets]",
        "added drains[north]",
        "removed drains[south]",
    };
    INFO(text);
    CHECK(lines == expected);
}

// A reordered file is no change; reporting one would hide the real ones among them.
TEST_CASE("the order of declarations makes no difference") {
    const configuration from = sample_builder().build();
    configuration to = from;
    std::reverse(to.jobs.begin(), to.jobs.end());
    std::reverse(to.teams.begin(), to.teams.end());
    std::reverse(to.services[0].methods.begin(), to.services[0].methods.end());
    CHECK(diff(from, to).empty());
}
