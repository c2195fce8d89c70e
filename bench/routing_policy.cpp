// Prints the tables of docs/policy-routing.md: each routing policy against its baselines.
// Usage: routing_policy [number of seeds, from 1] [name of one table] [name of one scenario]

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "routing_model.hpp"

namespace {

using namespace routing_model;

const std::vector<deployment> deployments{
    {"brazos", {3, 3, 3, 2}, milliseconds(4)},
    {"brembati", {4, 4, 3}, milliseconds(5)},
};

struct experiment {
    std::string table;
    scenario kind = scenario::steady;
    double load = 0.7;
    std::vector<policy> policies;
};

policy selecting(const std::string& name, std::shared_ptr<const selection_strategy> selection) {
    policy result;
    result.name = name;
    result.selection = std::move(selection);
    return result;
}

std::vector<policy> selections() {
    power_of_two_options without;
    without.return_margin = without.spill_margin;
    return {
        selecting("random", std::make_shared<random_selection>()),
        selecting("round robin", std::make_shared<round_robin_selection>()),
        selecting("least outstanding", std::make_shared<least_outstanding_selection>()),
        selecting("power of two, no hysteresis", std::make_shared<power_of_two_selection>(without)),
        selecting("power of two", std::make_shared<power_of_two_selection>())};
}

std::vector<policy> limits() {
    std::vector<policy> result(3);
    result[0].name = "fixed at 64";
    result[0].limit = std::make_shared<fixed_limit>(64);
    result[1].name = "fixed at 8";
    result[1].limit = std::make_shared<fixed_limit>(8);
    result[2].name = "adaptive";
    return result;
}

std::vector<policy> pair_of(const char* baseline, const char* product, bool policy::*flag) {
    std::vector<policy> result(2);
    result[0].name = baseline;
    result[0].*flag = false;
    result[1].name = product;
    result[1].*flag = true;
    return result;
}

std::vector<experiment> experiments() {
    std::vector<experiment> list;
    for (const auto kind : {scenario::steady, scenario::slow_target, scenario::drained_domain,
                            scenario::load_shift}) {
        list.push_back({"selection", kind, 0.7, selections()});
        list.push_back({"selection", kind, 1.1, selections()});
    }
    for (const auto kind : {scenario::steady, scenario::slow_target}) {
        list.push_back({"limit", kind, 0.7, limits()});
        list.push_back({"limit", kind, 1.1, limits()});
    }
    const auto admissions = pair_of("wait in order", "by deadline", &policy::admits_by_deadline);
    list.push_back({"admission", scenario::steady, 0.7, admissions});
    list.push_back({"admission", scenario::steady, 1.1, admissions});
    const auto ejections = pair_of("no ejection", "ejection", &policy::ejects);
    list.push_back({"ejection", scenario::failing_target, 0.7, ejections});
    list.push_back({"ejection", scenario::failing_target, 1.1, ejections});
    const auto retries = pair_of("plain retries", "retry budget", &policy::has_retry_budget);
    list.push_back({"retries", scenario::retry_storm, 0.7, retries});
    list.push_back({"retries", scenario::retry_storm, 1.1, retries});
    const auto hedges = pair_of("no hedge", "hedge", &policy::hedges);
    list.push_back({"hedging", scenario::steady, 0.7, hedges});
    list.push_back({"hedging", scenario::slow_target, 0.7, hedges});
    list.push_back({"hedging", scenario::steady, 1.1, hedges});
    return list;
}

double quantile_ms(std::vector<std::int64_t>& values, double quantile) {
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), position, values.end());
    return static_cast<double>(*position) / 1e6;
}

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print_row(const experiment& one, const deployment& place, const policy& used,
               std::uint64_t seeds) {
    model_result sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum.add(run({place, one.kind, one.load, used, seed}));
    }
    std::printf(
        "| %s | %s | %.0f%% | %s | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.1f%% | %.3f |\n",
        place.name.c_str(), name(one.kind).c_str(), one.load * 100, used.name.c_str(),
        quantile_ms(sum.latencies_ns, 0.5), quantile_ms(sum.latencies_ns, 0.99),
        quantile_ms(sum.latencies_ns, 0.999), 100 * share(sum.errors, sum.requests),
        100 * share(sum.interactive_errors, sum.interactive_requests),
        100 * share(sum.cross_domain_tries, sum.tries), share(sum.tries, sum.requests));
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
    const std::string only = argc > 2 ? argv[2] : "";
    const std::string only_scenario = argc > 3 ? argv[3] : "";
    std::string table;
    for (const auto& one : experiments()) {
        if ((!only.empty() && only != one.table) ||
            (!only_scenario.empty() && only_scenario != name(one.kind))) {
            continue;
        }
        if (one.table != table) {
            table = one.table;
            std::printf("\n%s (seeds 1 to %llu)\n\n", table.c_str(),
                        static_cast<unsigned long long>(seeds));
            std::printf(
                "| deployment | scenario | load | policy | p50 ms | p99 ms | p99.9 ms | "
                "errors | interactive errors | cross-domain | tries per request |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        }
        for (const auto& place : deployments) {
            for (const auto& used : one.policies) {
                print_row(one, place, used, seeds);
            }
        }
    }
    return 0;
}
