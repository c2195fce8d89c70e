// Long randomised run of entries, agents and runtimes on a virtual clock.

#include <cxxopts.hpp>
#include <iostream>

#include "scenario.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::soak;

namespace {

struct totals {
    std::uint64_t runs = 0;
    std::uint64_t steps = 0;
    std::uint64_t messages = 0;
    std::uint64_t trace_hash = 0;
    std::map<std::string, std::uint64_t> faults;
    run_counts tasks;

    void add(const run_result& result) {
        ++runs;
        steps += result.steps;
        messages += result.messages;
        trace_hash = hash_bytes(to_hex(trace_hash) + to_hex(result.trace_hash));
        for (const auto& [kind, count] : result.faults) {
            faults[kind] += count;
        }
        tasks.started += result.tasks.started;
        tasks.finished += result.tasks.finished;
        tasks.evicted += result.tasks.evicted;
        tasks.lost += result.tasks.lost;
    }
};

void print_violation(const run_result& result, std::uint64_t seed) {
    for (const auto& line : result.last_lines) {
        std::cout << line << '\n';
    }
    std::cout << "violation: " << result.violation << "\nseed " << seed << " step " << result.steps
              << " virtual time " << result.virtual_time.count() << " ms\n";
}

void print_totals(const totals& sum, std::uint64_t first_seed) {
    std::cout << "seeds " << first_seed << " to " << first_seed + sum.runs - 1 << "\nsteps "
              << sum.steps << "\nfaults";
    for (const auto& [kind, count] : sum.faults) {
        std::cout << ' ' << kind << '=' << count;
    }
    std::cout << "\nmessages " << sum.messages << "\nchecks " << invariant_checks()
              << "\ntasks started=" << sum.tasks.started << " finished=" << sum.tasks.finished
              << " evicted=" << sum.tasks.evicted << " lost=" << sum.tasks.lost << "\ntrace hash "
              << to_hex(sum.trace_hash) << '\n';
}

cxxopts::Options declared_options() {
    cxxopts::Options options("tanagerpaddle-soak", "Randomised runs on a virtual clock");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "minutes", "wall-clock minutes; new seeds begin until then",
        cxxopts::value<double>()->default_value("0"))(
        "workers", "workers", cxxopts::value<std::size_t>()->default_value("50"))(
        "entries", "entries", cxxopts::value<std::size_t>()->default_value("3"))(
        "runs", "runs at most; 0: as --minutes allows, or one",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "seconds", "virtual seconds with faults in each run",
        cxxopts::value<std::int64_t>()->default_value("600"))(
        "trace", "file for the trace", cxxopts::value<std::string>()->default_value(""))(
        "keep-going", "report violations and go on with the next seed")("help", "this text");
    return options;
}

int run_seeds(const cxxopts::ParseResult& chosen) {
    const auto first_seed = chosen["seed"].as<std::uint64_t>();
    const auto minutes = chosen["minutes"].as<double>();
    auto most = chosen["runs"].as<std::uint64_t>();
    if (most == 0 && minutes <= 0) {
        most = 1;
    }
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(static_cast<std::int64_t>(minutes * 60'000));
    totals sum;
    std::uint64_t violations = 0;
    std::cout << "seed " << first_seed << std::endl;
    for (std::uint64_t seed = first_seed; most == 0 || seed < first_seed + most; ++seed) {
        if (minutes > 0 && seed > first_seed && std::chrono::steady_clock::now() >= end) {
            break;
        }
        world_options options;
        options.seed = seed;
        options.workers = chosen["workers"].as<std::size_t>();
        options.entries = chosen["entries"].as<std::size_t>();
        options.fault_seconds = chosen["seconds"].as<std::int64_t>();
        options.trace_file = chosen["trace"].as<std::string>();
        const run_result result = scenario(options).run();
        sum.add(result);
        if (!result.violation.empty()) {
            ++violations;
            if (chosen.count("keep-going") == 0) {
                print_violation(result, seed);
                break;
            }
            std::cout << "violation seed " << seed << " step " << result.steps << ": "
                      << result.violation << std::endl;
        }
    }
    print_totals(sum, first_seed);
    std::cout << (violations == 0 ? "ok: no invariant was violated" : "failed") << ", "
              << violations << " of " << sum.runs << " runs with a violation\n";
    return violations == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options = declared_options();
        const auto chosen = options.parse(argc, argv);
        if (chosen.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        return run_seeds(chosen);
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << '\n';
        return 2;
    }
}
