#pragma once

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle::testing {

// A valid configuration with one or two of everything.
inline configuration_builder sample_builder() {
    using namespace units;
    configuration_builder builder;
    builder.failure_domain("north", "region-1").failure_domain("south", "region-1");
    builder.team("sales", {cores(64), gibibytes(256), accelerators(2)})
        .team("growing", {cores(128), gibibytes(512), accelerators(0)}, false);
    builder.service("orders", "sales")
        .slots(8)
        .connections(64)
        .reserved({cores(2), gibibytes(4), accelerators(0)})
        .idempotent_method("quote")
        .priority(request_priority::interactive)
        .non_idempotent_method("order")
        .duplicates(duplicate_scope::everywhere);
    builder.batch_job("plan", "growing", {cores(4), gibibytes(8), accelerators(0)})
        .tasks(12)
        .run_time(std::chrono::minutes(20))
        .complete_by(utc("2026-12-05T05:30:00Z"))
        .command("plan --field 'A \"1\"'\n\tcaff\xc3\xa8 # not a comment: yes");
    builder.hold("pallets", "sales", {cores(0.5), gibibytes(1), accelerators(1)})
        .complete_by(utc("2027-03-31T00:00:00.250Z"))
        .urgent()
        .non_idempotent()
        .without_checkpoints();
    builder.drain("south");
    return builder;
}

}  // namespace tanagerpaddle::testing
