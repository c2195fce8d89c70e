// More tasks prefer one rack than it can hold.

#include <doctest/doctest.h>

#include "locality_replay.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

// Guards against tasks that pile up on their rack although they would end sooner elsewhere.
TEST_CASE("all tasks want one rack that cannot hold them: they do not pile up there") {
    locality_options options;
    options.instances = 52;
    load demand;
    demand.share_on_rack = 1;
    // 1.6 steps of 10 tasks of 0.54 cores for 1 s: 311 of 256 cores.
    demand.jobs_per_s = 36;
    const auto found = compare("all want one rack, 1.2 times its capacity", options, demand);
    CHECK(found.kept.on_time >= found.never.on_time);
    CHECK(found.kept.on_time >= found.always.on_time);
    CHECK(found.kept.mean_ms < found.always.mean_ms);
    CHECK(found.kept.elsewhere > 0);
}
