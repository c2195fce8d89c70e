#include <doctest/doctest.h>

#include "tanagerpaddle/routing.hpp"

using namespace tanagerpaddle;

namespace {

constexpr admission_capacity four_slots{.slots = 4, .service_time = milliseconds(20)};

struct queue_fixture {
    manual_clock time;
    admission_queue queue;

    // Margin 1: a slot is worth taking while the mean service time is left.
    explicit queue_fixture(std::size_t max_waiting, double margin = 1)
        : queue({.max_waiting = max_waiting, .min_service_time_multiple = margin}, time) {}

    admission_result offer(std::int64_t budget_ms, const char* team = "red",
                           request_priority priority = request_priority::standard) {
        return queue.offer(
            {deadline::after(time.now(), milliseconds(budget_ms)), priority, team_id(team)},
            four_slots);
    }
};

}  // namespace

// Guards against work that is done for callers that have given up: without the check of the
// deadline the queue fills with requests whose answers come too late.
TEST_CASE("a request is refused when its deadline would pass before its answer") {
    queue_fixture fixture(100);
    CHECK(fixture.offer(10).code == result_code::deadline_exceeded_not_run);
    int admitted = 0;
    while (fixture.offer(100).ticket) {
        ++admitted;
    }
    // A slot becomes free every 5 ms; the last must get one after less than 80 ms.
    CHECK(admitted == 15);
    CHECK(fixture.offer(100).code == result_code::overloaded);
    CHECK(fixture.offer(500).ticket);
    CHECK(fixture.queue.offer({}, {}).code == result_code::no_target);
}

// Guards against slots lost to requests that start in time for the mean service time and miss their
// deadline all the same, as half of them do without the margin.
TEST_CASE("under overload a request needs three times the mean service time after its wait") {
    queue_fixture without(100, 1);
    queue_fixture with(100, 3);
    const auto fill = [](queue_fixture& fixture) {
        while (fixture.offer(100).ticket) {
        }
    };
    fill(without);
    fill(with);
    CHECK(without.queue.size() == 15);
    CHECK(with.queue.size() == 7);
    without.time.advance(milliseconds(50));
    with.time.advance(milliseconds(50));
    CHECK(without.queue.dequeue(four_slots).expired.empty());
    // Three are dropped until the waiting ones no longer exceed the slots.
    CHECK(with.queue.dequeue(four_slots).expired.size() == 3);
}

// Guards against slots that are spent on requests that expired while they waited.
TEST_CASE("a free slot goes to the earliest deadline of the highest priority that can be met") {
    queue_fixture fixture(100);
    const auto expiring = fixture.offer(30).ticket;
    const auto late = fixture.offer(900).ticket;
    const auto early = fixture.offer(500).ticket;
    const auto urgent = fixture.offer(900, "red", request_priority::interactive).ticket;
    const auto withdrawn = fixture.offer(400).ticket;
    CHECK(fixture.queue.cancel(*withdrawn));
    CHECK_FALSE(fixture.queue.cancel(*withdrawn));
    fixture.time.advance(milliseconds(20));
    CHECK(fixture.queue.dequeue(four_slots).ticket == urgent);
    const auto next = fixture.queue.dequeue(four_slots);
    CHECK(next.ticket == early);
    CHECK(next.expired == std::vector<ticket_number>{*expiring});
    CHECK(fixture.queue.dequeue(four_slots).ticket == late);
    CHECK_FALSE(fixture.queue.dequeue(four_slots).ticket);
}

// Guards against important requests refused behind a queue of unimportant ones, and against one
// team that fills the queue and locks out the others.
TEST_CASE("a full queue sheds the lowest priority, then the team furthest above its share") {
    queue_fixture fixture(6);
    std::vector<ticket_number> red;
    for (int request = 0; request < 5; ++request) {
        red.push_back(*fixture.offer(1'000 + request, "red").ticket);
    }
    const auto background = fixture.offer(1'000, "blue", request_priority::background).ticket;
    auto result = fixture.offer(1'000, "blue");
    CHECK(result.ticket);
    CHECK(result.shed == std::vector<ticket_number>{*background});
    result = fixture.offer(2'000, "blue");
    CHECK(result.ticket);
    CHECK(result.shed == std::vector<ticket_number>{red.back()});
    // The team above its share gets no further place.
    result = fixture.offer(2'000, "red");
    CHECK(result.code == result_code::overloaded);
    CHECK(result.shed.empty());
    CHECK(fixture.queue.size() == 6);
}
