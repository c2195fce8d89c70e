#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

#include "sample_configuration.hpp"

using namespace tanagerpaddle;
using testing::sample_builder;

namespace {

struct mistake {
    const char* path;
    std::function<void(configuration&)> make;
};

std::string all_problems(const std::vector<configuration_problem>& problems) {
    std::string text;
    for (const auto& problem : problems) {
        text += to_string(problem) + "\n";
    }
    return text;
}

std::vector<mistake> mistakes_of_teams_and_services() {
    return {
        {"failure_domains[north].id",
         [](auto& c) { c.failure_domains[1].id = failure_domain_id("north"); }},
        {"failure_domains[0].id",
         [](auto& c) { c.failure_domains[0].id = failure_domain_id("a/b"); }},
        {"failure_domains[north].region",
         [](auto& c) { c.failure_domains[0].region = region_id(); }},
        {"teams[sales].quota.memory_mib", [](auto& c) { c.teams[0].quota.memory = mebibytes(-1); }},
        {"services[orders].team", [](auto& c) { c.services[0].team = team_id("nobody"); }},
        {"services[orders].slots", [](auto& c) { c.services[0].slots = 0; }},
        {"services[orders].connections", [](auto& c) { c.services[0].connections = 7; }},
        {"services[orders].max_body_bytes",
         [](auto& c) { c.services[0].max_body_bytes = 1ULL << 40U; }},
        {"services[orders].reserved.processors_millicores",
         [](auto& c) { c.services[0].reserved.processors = millicores(-5); }},
        {"services[orders].methods", [](auto& c) { c.services[0].methods.clear(); }},
        {"services[orders].methods[quote].id",
         [](auto& c) { c.services[0].methods[1].id = method_id("quote"); }},
        {"drains[0]", [](auto& c) { c.drains[0] = failure_domain_id("west"); }},
        {"drains[1]", [](auto& c) { c.drains.push_back(c.drains[0]); }},
    };
}

std::vector<mistake> mistakes_of_jobs() {
    return {
        {"jobs[0].id", [](auto& c) { c.jobs[0].id = job_id(std::string(129, 'x')); }},
        {"jobs[0].id", [](auto& c) { c.jobs[0].id = job_id(".."); }},
        {"jobs[0].id", [](auto& c) { c.jobs[0].id = job_id(""); }},
        {"jobs[plan].id", [](auto& c) { c.jobs[1].id = c.jobs[0].id; }},
        {"jobs[plan].team", [](auto& c) { c.jobs[0].team = team_id("nobody"); }},
        {"jobs[plan].task_count", [](auto& c) { c.jobs[0].task_count = 0; }},
        {"jobs[plan].task_count", [](auto& c) { c.jobs[0].task_count = 100'001; }},
        {"jobs[plan].demand", [](auto& c) { c.jobs[0].demand = {}; }},
        {"jobs[plan].demand", [](auto& c) { c.jobs[0].demand.processors = millicores(128'001); }},
        {"jobs[plan].demand.accelerators",
         [](auto& c) { c.jobs[0].demand.accelerators = accelerator_count(-1); }},
        {"jobs[plan].run_time_ms", [](auto& c) { c.jobs[0].run_time = milliseconds(0); }},
        {"jobs[plan].complete_by", [](auto& c) { c.jobs[0].complete_by = utc_millis(); }},
        {"jobs[plan].complete_by", [](auto& c) { c.jobs[0].complete_by = utc_millis(-1); }},
        {"jobs[plan].command", [](auto& c) { c.jobs[0].command = std::string("a\0b", 3); }},
        {"jobs[plan].command", [](auto& c) { c.jobs[0].command = "\xc3("; }},
        {"jobs[plan].command", [](auto& c) { c.jobs[0].command.assign(8'193, 'x'); }},
    };
}

void check_each(const std::vector<mistake>& mistakes) {
    for (const auto& item : mistakes) {
        configuration declared = sample_builder().declared();
        item.make(declared);
        const auto problems = validate(declared);
        INFO("expected a problem at ", item.path, ", got:\n", all_problems(problems));
        CHECK(std::any_of(problems.begin(), problems.end(),
                          [&](const auto& problem) { return problem.path == item.path; }));
    }
}

}  // namespace

// Rejecting a sound configuration would block every change.
TEST_CASE("a sound configuration has no problems") {
    const auto problems = validate(sample_builder().declared());
    INFO(all_problems(problems));
    CHECK(problems.empty());
}

// Each of these would fail later, in a place that cannot tell the operator.
TEST_CASE("each mistake in teams, services and drains is reported at its path") {
    check_each(mistakes_of_teams_and_services());
}

// As above, for jobs: a job that can never run would wait without an explanation.
TEST_CASE("each mistake in jobs is reported at its path") {
    check_each(mistakes_of_jobs());
}

// A configuration full of mistakes must not produce an unbounded report.
TEST_CASE("at most 100 problems are reported") {
    configuration declared = sample_builder().declared();
    declared.jobs.assign(5'000, job_declaration{});
    CHECK(validate(declared).size() == 100);
}
