// Configuration of a sod grower: a cut order service, harvest plans that are complete before dawn
// and pallet holds for a season. `example_brazos | tanagerpaddlectl apply -` puts it into effect.

#include "tanagerpaddle/config.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::units;
using namespace std::chrono_literals;

namespace {

void declare_teams(configuration_builder& builder) {
    for (const char* domain : {"rosenberg", "richmond", "wharton", "needville"}) {
        builder.failure_domain(domain, "texas");
    }
    // 11 workers of 64 cores and 250 GB: the quotas leave room to borrow at night.
    builder.team("orders", {cores(176), gigabytes(700), accelerators(0)})
        .team("harvest", {cores(352), gigabytes(1'400), accelerators(0)})
        .team("yard", {cores(64), gigabytes(250), accelerators(0)}, false);
}

void declare_cut_orders(configuration_builder& builder) {
    builder.service("cut-orders", "orders")
        .slots(8)
        .connections(64)
        .reserved({cores(16), gigabytes(32), accelerators(0)})
        .idempotent_method("quote")
        .priority(request_priority::interactive)
        // A cut order books turf, so a second run would cut twice.
        .non_idempotent_method("order")
        .priority(request_priority::interactive)
        .duplicates(duplicate_scope::everywhere)
        .idempotent_method("status");
}

void declare_harvest_plans(configuration_builder& builder) {
    // Crews leave at 05:30 local time, which is 11:30 UTC in winter.
    const utc_millis dawn = utc("2026-12-05T11:30:00Z");
    for (const char* farm : {"rosenberg", "richmond", "wharton", "needville"}) {
        builder
            .batch_job(std::string("harvest-plan-") + farm, "harvest",
                       {cores(4), gigabytes(16), accelerators(0)})
            .tasks(24)
            .run_time(45min)
            .complete_by(dawn)
            .command(std::string("harvest-plan --farm ") + farm);
    }
    builder
        .batch_job("harvest-plan-irrigation", "harvest", {cores(2), gigabytes(8), accelerators(0)})
        .tasks(48)
        .run_time(20min)
        .complete_by(dawn)
        .urgent()
        .command("harvest-plan --irrigation");
}

void declare_pallet_holds(configuration_builder& builder) {
    const utc_millis end_of_season = utc("2027-06-30T23:59:59Z");
    for (const char* customer : {"stadium", "golf", "nursery"}) {
        builder
            .hold(std::string("pallets-") + customer, "yard",
                  {cores(1), gigabytes(4), accelerators(0)})
            .tasks(4)
            .complete_by(end_of_season)
            .command(std::string("pallet-hold --customer ") + customer);
    }
}

}  // namespace

int main(int argc, char** argv) {
    configuration_builder builder;
    declare_teams(builder);
    declare_cut_orders(builder);
    declare_harvest_plans(builder);
    declare_pallet_holds(builder);
    return print_configuration(builder, argc, argv);
}
