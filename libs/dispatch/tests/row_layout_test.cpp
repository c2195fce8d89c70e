// Guards against a layout of progress rows that differs from the stored one: tasks would be read
// from rows that other owners do not write.

#include "../src/row_layout.hpp"

#include <doctest/doctest.h>

#include <array>
#include <map>
#include <set>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

using task_place = std::array<std::uint32_t, 3>;

// The definition of the layout, task by task.
struct listed_layout {
    std::map<std::uint32_t, std::vector<task_place>> rows;
    std::map<std::uint32_t, std::pair<std::uint32_t, std::uint32_t>> groups;

    listed_layout(const job_spec& job, std::uint32_t tasks_per_row) {
        std::uint64_t offset = 0;
        for (std::uint32_t k = 0; k < std::max(1U, job.occurrences); ++k) {
            for (std::uint32_t s = 0; s < job.steps.size(); ++s) {
                const auto count = job.steps[s].task_count;
                const auto used = offset % tasks_per_row;
                if (job.steps[s].is_gang && used > 0 && used + count > tasks_per_row) {
                    offset += tasks_per_row - used;
                }
                const auto first = static_cast<std::uint32_t>(offset / tasks_per_row);
                for (std::uint32_t i = 0; i < count; ++i) {
                    rows[static_cast<std::uint32_t>(offset++ / tasks_per_row)].push_back({k, s, i});
                }
                const auto last = static_cast<std::uint32_t>((offset - 1) / tasks_per_row);
                for (auto row = first; job.steps[s].is_gang && last > first && row <= last; ++row) {
                    groups[row] = {first, last};
                }
            }
        }
    }
};

job_spec random_job(random_source& random) {
    job_spec job;
    const auto steps = 1 + random.below(4);
    const auto most_tasks = 1 + random.below(20);
    for (std::uint64_t s = 0; s < steps; ++s) {
        auto& step = job.steps.emplace_back();
        step.task_count = static_cast<std::uint32_t>(1 + random.below(most_tasks));
        step.is_gang = random.chance(0.4);
    }
    job.occurrences = static_cast<std::uint32_t>(random.below(60));
    return job;
}

}  // namespace

TEST_CASE("the computed layout of rows is the one that lists the tasks in turn") {
    random_source random(1);
    for (int i = 0; i < 500; ++i) {
        CAPTURE(i);
        const auto job = random_job(random);
        const auto tasks_per_row = static_cast<std::uint32_t>(1 + random.below(9));
        const listed_layout expected(job, tasks_per_row);
        const row_layout layout(job, tasks_per_row);
        REQUIRE(layout.row_count() == expected.rows.size());
        for (const auto& [row, tasks] : expected.rows) {
            CAPTURE(row);
            std::vector<task_place> found;
            layout.for_each_task(row, [&](std::uint32_t k, std::uint32_t s, std::uint32_t t) {
                found.push_back({k, s, t});
            });
            CHECK(found == tasks);
            for (const auto& [k, s, t] : tasks) {
                CHECK(layout.row_of({{}, k, s, t}) == row);
            }
            const auto group = expected.groups.find(row);
            const auto [first, last] =
                group == expected.groups.end() ? std::pair(row, row) : group->second;
            CHECK(layout.group_of(row).first == first);
            CHECK(layout.group_of(row).last == last);
        }
    }
}
