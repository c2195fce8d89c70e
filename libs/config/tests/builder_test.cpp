#include <doctest/doctest.h>

#include <limits>

#include "sample_configuration.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::units;
using testing::sample_builder;

// A builder that writes to the wrong declaration would silently misconfigure another one.
TEST_CASE("builders keep addressing their own declaration while others are added") {
    configuration_builder builder;
    auto first = builder.service("first", "a");
    auto method = first.idempotent_method("read");
    for (int i = 0; i < 100; ++i) {
        builder.service("service-" + std::to_string(i), "a").non_idempotent_method("write");
    }
    first.slots(3);
    method.priority(request_priority::background);
    const auto& declared = builder.declared().services.at(0);
    CHECK(declared.slots == 3);
    CHECK(declared.methods.at(0).priority == request_priority::background);
    CHECK(builder.declared().services.at(100).methods.at(0).is_idempotent == false);
}

// Wrong conversion factors would over- or undercommit every worker.
TEST_CASE("units convert to the units of the ledger") {
    CHECK(cores(64) == millicores(64'000));
    CHECK(cores(0.25) == millicores(250));
    CHECK(gibibytes(250) == mebibytes(256'000));
    CHECK(gigabytes(250) == mebibytes(238'419));
    CHECK(in_hours(1.5, utc_millis(1'000)) == utc_millis(5'401'000));
    // Not representable amounts must be rejected by validation, not wrap around.
    CHECK(cores(1e300).value() > configuration_limits::amount);
    CHECK(gibibytes(std::numeric_limits<double>::quiet_NaN()).value() >
          configuration_limits::amount);
}

// A time that is read as another one moves a deadline without a message.
TEST_CASE("only complete UTC times are accepted") {
    CHECK(utc("1970-01-01T00:00:00Z") == utc_millis(0));
    CHECK(utc("2026-12-05T05:30:00Z") == utc_millis(1'796'448'600'000));
    CHECK(to_rfc3339(utc("2028-02-29T23:59:59.999Z")) == "2028-02-29T23:59:59.999Z");
    for (const char* text :
         {"", "2026-12-05", "2026-12-05T05:30:00", "2026-12-05T05:30:00+01:00",
          "2026-02-30T00:00:00Z", "2026-12-05T24:00:00Z", "2026-12-05 05:30:00Z",
          "2026-12-05T05:30:00.5Z", "1969-12-31T23:59:59Z", "2026-1a-05T05:30:00Z"}) {
        INFO("text '", text, "'");
        CHECK_THROWS_AS(static_cast<void>(utc(text)), error);
    }
}

// A program that prints an invalid configuration with status 0 would be applied by scripts.
TEST_CASE("a configuration program prints YAML or problems, never both") {
    configuration_builder valid = sample_builder();
    const auto printed = configuration_program(valid, {});
    CHECK(printed.exit_status == 0);
    CHECK(from_yaml(printed.standard_output, "program") == valid.declared());
    CHECK(configuration_program(valid, {"--check"}).standard_output.empty());
    CHECK(configuration_program(valid, {"--print"}).exit_status == 2);

    valid.drain("nowhere");
    const auto rejected = configuration_program(valid, {});
    CHECK(rejected.exit_status == 1);
    CHECK(rejected.standard_output.empty());
    CHECK(rejected.standard_error.find("drains[1]: 'nowhere'") != std::string::npos);
    CHECK_THROWS_WITH_AS(static_cast<void>(valid.build()),
                         doctest::Contains("drains[1]: 'nowhere'"), error);
}
