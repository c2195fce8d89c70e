#include <doctest/doctest.h>

#include "tanagerpaddle/placement.hpp"

using namespace tanagerpaddle;

TEST_CASE("first fit never places more on a worker than it has free") {
    placement_input input;
    const resources one{millicores(1000), mebibytes(1000), accelerator_count(0)};
    input.workers.push_back({.id = worker_id("w"),
                             .domain = {},
                             .rack = {},
                             .capacity = one + one,
                             .free = one + one,
                             .accepts_work = true,
                             .interference = 0});
    for (std::uint32_t i = 0; i < 3; ++i) {
        pending_task task;
        task.job = job_id("j");
        task.index = i;
        task.demand = one;
        input.tasks.push_back(task);
    }
    const auto plan = first_fit_placement().plan(input);
    CHECK(plan.placed.size() == 2);
    CHECK(plan.unplaced.size() == 1);
}
