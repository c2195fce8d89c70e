// Configuration of a maker of handles: a catalogue with quick quotes, finish renders as batch jobs
// and stock watches that run for long. `example_brembati | tanagerpaddlectl apply -` puts it into
// effect.

#include "tanagerpaddle/config.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::units;
using namespace std::chrono_literals;

namespace {

void declare_teams(configuration_builder& builder) {
    for (const char* domain : {"lumezzane", "gardone", "sarezzo"}) {
        builder.failure_domain(domain, "brescia");
    }
    // 11 workers of 32 cores and 125 GB.
    builder.team("catalogue", {cores(132), gigabytes(500), accelerators(0)})
        .team("studio", {cores(176), gigabytes(700), accelerators(0)})
        .team("warehouse", {cores(32), gigabytes(125), accelerators(0)}, false);
}

void declare_catalogue(configuration_builder& builder) {
    builder.service("catalogue", "catalogue")
        .slots(8)
        .connections(64)
        .reserved({cores(12), gigabytes(24), accelerators(0)})
        .idempotent_method("quick_quote")
        .priority(request_priority::interactive)
        .idempotent_method("price_list")
        .priority(request_priority::background)
        // Adds or takes pieces, so a second run would count them twice.
        .non_idempotent_method("stock_update")
        .duplicates(duplicate_scope::everywhere);
}

void declare_finish_renders(configuration_builder& builder) {
    const utc_millis opening = utc("2026-12-05T06:00:00Z");
    for (const char* finish : {"satin-brass", "polished-chrome", "matt-black"}) {
        builder
            .batch_job(std::string("finish-render-") + finish, "studio",
                       {cores(8), gigabytes(16), accelerators(0)})
            .tasks(16)
            .run_time(30min)
            .complete_by(opening)
            .command(std::string("finish-render --finish ") + finish);
    }
}

void declare_stock_watches(configuration_builder& builder) {
    for (const char* site : {"lumezzane", "gardone", "sarezzo"}) {
        // A watch orders material, so two of them, or one that starts again from the beginning,
        // would order twice.
        builder
            .batch_job(std::string("stock-watch-") + site, "warehouse",
                       {cores(1), gigabytes(2), accelerators(0)})
            .run_time(24h * 26)
            .complete_by(utc("2026-12-31T22:59:59Z"))
            .non_idempotent()
            .command(std::string("stock-watch --site ") + site);
    }
}

}  // namespace

int main(int argc, char** argv) {
    configuration_builder builder;
    declare_teams(builder);
    declare_catalogue(builder);
    declare_finish_renders(builder);
    declare_stock_watches(builder);
    return print_configuration(builder, argc, argv);
}
