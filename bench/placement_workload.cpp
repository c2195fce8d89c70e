#include <algorithm>
#include <cmath>

#include "placement_sim.hpp"

namespace tanagerpaddle::bench {

namespace {

// Jobs are submitted for two and a half hours.
constexpr double submit_s = 9'000;
constexpr double impossible_share = 0.02;
constexpr double urgent_share = 0.03;
constexpr std::uint64_t most_tasks = 12;
constexpr int teams = 4;
// Waves of noisy tasks: start and length in seconds.
constexpr double wave_every_s = 2'400;
constexpr double wave_s = 300;

resources amount(std::int64_t cores, std::int64_t gib, std::int64_t accelerators = 0) {
    return {millicores(cores * 1'000), mebibytes(gib * 1'024), accelerator_count(accelerators)};
}

// Between half and twice the typical run time.
double spread(random_source& random) {
    return std::exp2(2 * random.unit() - 1);
}

std::string name_of(const std::string& place, double noise) {
    return place + (noise < 1 ? ", moderate noise" : ", strong noise");
}

std::size_t pick_class(const deployment& place, random_source& random) {
    double at = random.unit();
    for (std::size_t i = 0; i + 1 < place.classes.size(); ++i) {
        at -= place.classes[i].share;
        if (at < 0) {
            return i;
        }
    }
    return place.classes.size() - 1;
}

}  // namespace

deployment brazos(double noise) {
    return {name_of("Brazos", noise),
            {3, 3, 3, 2},
            amount(64, 250),
            amount(8, 16),
            {{"harvest", amount(4, 8), 300, 0.3, 0.30, 0.004},
             {"survey", amount(2, 16), 120, 10, 0.25, 0},
             {"irrigation", amount(8, 16), 600, 1, 0.15, 0.004},
             {"soilmodel", amount(24, 64), 600, 0.1, 0.08, 0.002},
             {"noise", amount(8, 8), 400, 2, 0.07, 0.06 * noise},
             {"imagery", amount(4, 16, 1), 300, 0.5, 0.15, 0.002}},
            1.0,
            2.5,
            1.8};
}

deployment brembati(double noise) {
    return {name_of("Brembati", noise),
            {4, 4, 3},
            amount(32, 125),
            amount(10, 32),
            {{"finish", amount(2, 6), 300, 0.3, 0.30, 0.01},
             {"catalogue", amount(1, 8), 120, 10, 0.25, 0},
             {"tooling", amount(4, 8), 600, 1, 0.15, 0.01},
             {"scene", amount(10, 40), 600, 0.1, 0.08, 0.005},
             {"noise", amount(4, 4), 400, 2, 0.07, 0.12 * noise},
             {"render", amount(2, 8, 1), 300, 0.5, 0.15, 0.005}},
            0.9,
            1.5,
            1.2};
}

workload make_workload(const deployment& place, std::uint64_t seed) {
    random_source random(seed);
    workload result;
    int workers = 0;
    for (const int count : place.workers_of_domain) {
        workers += count;
    }
    const double cores =
        workers * static_cast<double>((place.capacity - place.reserved).processors.value()) / 1'000;
    double offered = 0;
    while (offered < place.load * cores * submit_s) {
        sim_job job;
        job.job_class = pick_class(place, random);
        job.is_urgent = random.chance(urgent_share);
        job.is_impossible = !job.is_urgent && random.chance(impossible_share);
        if (job.is_urgent) {
            job.job_class = 0;
        }
        const auto& kind = place.classes[job.job_class];
        job.id = job_id(kind.prefix + "-" + std::to_string(result.jobs.size()));
        job.team = team_id("team-" + std::to_string(random.below(teams)));
        job.submitted_s = random.unit() * submit_s;
        if (kind.prefix == "noise") {
            job.submitted_s =
                std::floor(job.submitted_s / wave_every_s) * wave_every_s + random.unit() * wave_s;
        }
        job.declared_s = kind.typical_s * kind.declared_factor;
        job.due_s = job.submitted_s + 300 + kind.typical_s * (2 + 6 * random.unit());
        job.unfinished =
            job.is_urgent ? 1 : static_cast<std::uint32_t>(1 + random.below(most_tasks));
        for (std::uint32_t i = 0; i < job.unfinished; ++i) {
            sim_task task;
            task.job = result.jobs.size();
            task.index = i;
            task.demand = job.is_impossible ? place.capacity + kind.demand : kind.demand;
            task.work_s = kind.typical_s * spread(random);
            if (!job.is_impossible) {
                offered +=
                    task.work_s * static_cast<double>(task.demand.processors.value()) / 1'000;
            }
            result.tasks.push_back(task);
        }
        result.jobs.push_back(job);
    }
    // Tasks in the order of submission, which is the order of the baseline.
    std::stable_sort(result.tasks.begin(), result.tasks.end(),
                     [&](const sim_task& a, const sim_task& b) {
                         return result.jobs[a.job].submitted_s < result.jobs[b.job].submitted_s;
                     });
    return result;
}

}  // namespace tanagerpaddle::bench
