#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

instant at(std::int64_t seconds) {
    return instant(std::chrono::seconds(3'600 + seconds));
}

worker_id numbered(int i) {
    return worker_id("w" + std::to_string(i));
}

// Ten workers run ten jobs each; the first `bad_workers` fail all of them.
worker_quarantine fleet_with(int bad_workers) {
    worker_quarantine quarantine;
    quarantine.set_fleet_size(10);
    for (int job = 0; job < 10; ++job) {
        for (int i = 0; i < 10; ++i) {
            const job_id id("j" + std::to_string(job) + "-" + std::to_string(i));
            quarantine.record_result(numbered(i), id, i < bad_workers, at(job));
        }
    }
    return quarantine;
}

}  // namespace

// Guards against one worker that accepts and fails the whole queue.
TEST_CASE("a worker that fails everything is quarantined and no other is") {
    const auto quarantine = fleet_with(1);
    CHECK(quarantine.quarantined() == std::vector<worker_id>{numbered(0)});
    CHECK(quarantine.state(numbered(0), at(20)) == quarantine_state::quarantined);
    CHECK(quarantine.state(numbered(1), at(20)) == quarantine_state::in_service);
}

// Guards against a fleet quarantined for a fault outside the workers.
TEST_CASE("at most the configured fraction of the fleet is in quarantine") {
    CHECK(fleet_with(5).quarantined().size() <= 1);
    CHECK(fleet_with(10).quarantined().empty());
}

// Guards against one bad job that gets the workers it ran on quarantined.
TEST_CASE("a job that fails everywhere quarantines no worker") {
    worker_quarantine quarantine;
    quarantine.set_fleet_size(100);
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 10; ++i) {
            quarantine.record_result(numbered(i), job_id("bad"), true, at(round));
            for (int job = 0; job < 5; ++job) {
                quarantine.record_result(numbered(i), job_id("bad" + std::to_string(job)), true,
                                         at(round));
            }
        }
        quarantine.record_result(numbered(10), job_id("good" + std::to_string(round)), false,
                                 at(round));
    }
    // The first worker sees each bad job before it is known to fail elsewhere.
    CHECK(quarantine.quarantined().empty());
}

// Guards against a worker that never returns to service, and against probes that fail many tasks.
TEST_CASE("a quarantined worker is probed after a backoff that doubles, and returns") {
    auto quarantine = fleet_with(1);
    const auto bad = numbered(0);
    CHECK(quarantine.state(bad, at(70)) == quarantine_state::probe_due);
    quarantine.record_probe(bad, at(70));
    CHECK(quarantine.state(bad, at(71)) == quarantine_state::probing);
    quarantine.record_result(bad, job_id("probe-1"), true, at(80));
    CHECK(quarantine.state(bad, at(199)) == quarantine_state::quarantined);
    CHECK(quarantine.state(bad, at(200)) == quarantine_state::probe_due);
    quarantine.record_probe(bad, at(200));
    // A probe without a result does not quarantine the worker forever.
    CHECK(quarantine.state(bad, at(200 + 601)) == quarantine_state::probe_due);
    quarantine.record_result(bad, job_id("probe-2"), false, at(810));
    CHECK(quarantine.state(bad, at(810)) == quarantine_state::in_service);
}
