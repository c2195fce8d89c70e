// Cancellations of jobs that are not stored: their rows and keys are kept while a submission may be
// under way, and no longer.

#include "early_cancellations.hpp"

#include <doctest/doctest.h>

#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

constexpr milliseconds lifetime{60'000};

struct fixture {
    manual_clock time;
    early_cancellations cancellations{time, lifetime};

    void add(std::uint64_t count) {
        for (std::uint64_t i = 0; i < count; ++i) {
            cancellations.add(job_id("job" + std::to_string(i)), row_version(i + 1));
        }
    }
    void erase(const row_transaction& removed) {
        for (const auto& condition : removed.conditions) {
            if (condition.expected == row_version(0)) {
                cancellations.erase(job_id(condition.key));
            }
        }
    }
};

transaction_result answer(store_outcome outcome, std::vector<stored_row> current = {}) {
    transaction_result result;
    result.outcome = outcome;
    result.current = std::move(current);
    return result;
}

// The job at a position of a removal.
job_id job_at(const row_transaction& removal, std::size_t position) {
    return job_id(removal.conditions.at(2 * position + 1).key);
}

}  // namespace

TEST_CASE("a row is removed after its lifetime, if it is unchanged and the job is not stored") {
    fixture f;
    f.cancellations.add(job_id("job"), row_version(7));
    f.time.advance(lifetime - milliseconds(1));
    CHECK_FALSE(f.cancellations.begin_removal().has_value());
    f.time.advance(milliseconds(1));
    const auto removal = f.cancellations.begin_removal();
    REQUIRE(removal.has_value());
    CHECK(removal->part == part_of(job_id("job")));
    CHECK(removal->puts.empty());
    REQUIRE(removal->removals.size() == 1);
    CHECK(removal->removals[0].table == job_table);
    CHECK(removal->removals[0].key == "job/cancel");
    REQUIRE(removal->conditions.size() == 2);
    CHECK(removal->conditions[0].key == "job/cancel");
    CHECK(removal->conditions[0].expected == row_version(7));
    CHECK(removal->conditions[1].key == "job");
    CHECK(removal->conditions[1].expected == row_version(0));
}

TEST_CASE("the lifetime of a row begins again when it is rewritten, not when it is read again") {
    fixture f;
    f.cancellations.add(job_id("read again"), row_version(1));
    f.cancellations.add(job_id("rewritten"), row_version(2));
    f.time.advance(lifetime / 2);
    f.cancellations.add(job_id("read again"), row_version(1));
    f.cancellations.add(job_id("rewritten"), row_version(3));
    f.time.advance(lifetime / 2);
    const auto removal = f.cancellations.begin_removal();
    REQUIRE(removal.has_value());
    REQUIRE(removal->removals.size() == 1);
    CHECK(removal->removals[0].key == "read again/cancel");
}

// Guards against a transaction that the store refuses for its size, and against removals that take
// the store's time from other writes.
TEST_CASE("one removal at a time takes a bounded number of rows of one part") {
    fixture f;
    constexpr std::uint64_t count = 1'000;
    f.add(count);
    f.time.advance(lifetime);
    std::size_t removed = 0;
    while (const auto removal = f.cancellations.begin_removal()) {
        CHECK_FALSE(f.cancellations.begin_removal().has_value());
        CHECK(removal->removals.size() <= early_cancellations::max_removals_per_write);
        CHECK(removal->removals.size() + removal->conditions.size() <= 100);
        for (std::size_t i = 0; i < removal->removals.size(); ++i) {
            CHECK(part_of(job_at(*removal, i)) == removal->part);
        }
        removed += removal->removals.size();
        f.cancellations.end_removal(answer(store_outcome::done));
        f.erase(*removal);
    }
    CHECK(removed == count);
    CHECK(f.cancellations.size() == 0);
}

// Guards against a removal without an answer being taken as done or as not done.
TEST_CASE("a removal without an answer is repeated with the same conditions after a pause") {
    for (const auto outcome : {store_outcome::unknown, store_outcome::rejected}) {
        fixture f;
        f.cancellations.add(job_id("job"), row_version(7));
        f.time.advance(lifetime);
        REQUIRE(f.cancellations.begin_removal().has_value());
        f.cancellations.end_removal(answer(outcome));
        CHECK(f.cancellations.size() == 1);
        CHECK_FALSE(f.cancellations.begin_removal().has_value());
        f.time.advance(milliseconds(1'000));
        const auto repeated = f.cancellations.begin_removal();
        REQUIRE(repeated.has_value());
        CHECK(repeated->conditions.at(0).expected == row_version(7));
    }
}

TEST_CASE("rows that have changed do not hold up the removal of others") {
    fixture f;
    f.add(100);
    f.time.advance(lifetime);
    const auto first = f.cancellations.begin_removal();
    REQUIRE(first.has_value());
    REQUIRE(first->removals.size() > 3);
    const auto rewritten = job_at(*first, 0);
    const auto stored = job_at(*first, 1);
    const auto count = first->removals.size();
    f.cancellations.end_removal(answer(
        store_outcome::conflict,
        {{{job_table, first->part, rewritten.value() + cancel_suffix}, "{}", row_version(900)},
         {{job_table, first->part, stored.value()}, "{}", row_version(901)},
         {{job_table, first->part, job_at(*first, 2).value()}, "", row_version(0)}}));
    CHECK(f.cancellations.size() == 100);
    std::set<job_id> removed;
    while (const auto next = f.cancellations.begin_removal()) {
        for (std::size_t i = 0; i < next->removals.size(); ++i) {
            removed.insert(job_at(*next, i));
        }
        f.cancellations.end_removal(answer(store_outcome::done));
        f.erase(*next);
    }
    CHECK(count > 3);
    CHECK(removed.size() == 98);
    CHECK_FALSE(removed.contains(rewritten));
    CHECK_FALSE(removed.contains(stored));
}

TEST_CASE("a conflict that names no row is not repeated at once") {
    fixture f;
    f.add(3);
    f.time.advance(lifetime);
    int attempts = 0;
    while (attempts < 100 && f.cancellations.begin_removal()) {
        ++attempts;
        f.cancellations.end_removal(answer(store_outcome::conflict));
    }
    CHECK(attempts <= 3);
    CHECK(f.cancellations.size() == 3);
}

// Guards against an answer that changes what was learned while it was awaited.
TEST_CASE("a row that is rewritten while its removal is awaited keeps its new lifetime") {
    fixture f;
    f.cancellations.add(job_id("job"), row_version(1));
    f.time.advance(lifetime);
    REQUIRE(f.cancellations.begin_removal().has_value());
    f.cancellations.add(job_id("job"), row_version(2));
    f.time.advance(milliseconds(500));
    f.cancellations.end_removal(answer(store_outcome::done));
    f.time.advance(lifetime - milliseconds(501));
    CHECK_FALSE(f.cancellations.begin_removal().has_value());
    f.time.advance(milliseconds(1));
    const auto next = f.cancellations.begin_removal();
    REQUIRE(next.has_value());
    CHECK(next->conditions.at(0).expected == row_version(2));
}
