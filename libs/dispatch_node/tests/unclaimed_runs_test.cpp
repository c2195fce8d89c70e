// Until when runs of earlier owners count as alive on instances that a new owner cannot claim.

#include <doctest/doctest.h>

#include "ownership.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

struct fixture {
    lease_timing timing;
    ownership::gain gained;

    fixture() {
        gained.previous_written_by = instant(std::chrono::seconds(100));
        gained.earlier_grants_end_by =
            gained.previous_written_by + timing.max_renewal_without_store;
    }
    [[nodiscard]] run_ends ends() const { return ownership::unclaimed_runs_end_by(gained, timing); }
};

}  // namespace

TEST_CASE("listed runs end with the last grants of earlier owners") {
    const fixture f;
    CHECK((f.ends().listed == f.gained.earlier_grants_end_by + f.timing.expiry_delay()));
}

// Guards against a second run at once: a start reaches the next executor after the last write.
TEST_CASE("runs that no executor has listed end after the last start that may have been sent") {
    fixture f;
    SUBCASE("by an owner that has not released the ownership") {
        CHECK((f.ends().unlisted == f.gained.previous_written_by + f.timing.max_start_write_age +
                                        f.timing.start_expiry_delay()));
    }
    SUBCASE("by an owner that has released it, and grants and starts nothing since") {
        f.gained.earlier_grants_end_by = f.gained.previous_written_by;
        CHECK(
            (f.ends().unlisted == f.gained.earlier_grants_end_by + f.timing.start_expiry_delay()));
    }
}

TEST_CASE("runs that no executor has listed do not end before those that one has") {
    fixture f;
    f.timing.max_renewal_without_store = milliseconds(60'000);
    f.gained.earlier_grants_end_by =
        f.gained.previous_written_by + f.timing.max_renewal_without_store;
    CHECK((f.ends().unlisted == f.ends().listed));
}
