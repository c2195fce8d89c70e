#include <doctest/doctest.h>

#include "tanagerpaddle/routing.hpp"

using namespace tanagerpaddle;

namespace {

constexpr admission_capacity four_slots{.slots = 4, .service_time = milliseconds(20)};

struct queue_fixture {
    manual_clock time;
    admission_queue queue;

    // Multiple 1: a request may take a slot if the mean service time is left to its deadline.
    explicit queue_fixture(std::size_t max_waiting, double service_time_multiple = 1)
        : queue({.max_waiting = max_waiting, .min_service_time_multiple = service_time_multiple},
                time) {}

    admission_result offer(std::int64_t budget_ms, const char* team = "red",
                           request_priority priority = request_priority::standard) {
        return queue.offer(
            {deadline::after(time.now(), milliseconds(budget_ms)), priority, team_id(team)},
            four_slots);
    }
};

}  // namespace

// Guards against running requests whose callers have timed out: without a deadline check on
// admission the queue fills with requests that cannot meet their deadline.
TEST_CASE("a request that cannot meet its deadline is refused") {
    queue_fixture fixture(100);
    CHECK(fixture.offer(10).code == result_code::deadline_exceeded_not_run);
    int admitted = 0;
    while (fixture.offer(100).ticket) {
        ++admitted;
    }
    // A slot becomes free every 5 ms; the last request must get one within 80 ms.
    CHECK(admitted == 15);
    CHECK(fixture.offer(100).code == result_code::overloaded);
    CHECK(fixture.offer(500).ticket);
    CHECK(fixture.queue.offer({}, {}).code == result_code::no_target);
}

// Guards against slots wasted on requests that start with only the mean service time left: half of
// them miss their deadline.
TEST_CASE("under overload a request needs three times the mean service time after its wait") {
    queue_fixture single(100, 1);
    queue_fixture triple(100, 3);
    const auto fill = [](queue_fixture& fixture) {
        while (fixture.offer(100).ticket) {
        }
    };
    fill(single);
    fill(triple);
    CHECK(single.queue.size() == 15);
    CHECK(triple.queue.size() == 7);
    single.time.advance(milliseconds(50));
    triple.time.advance(milliseconds(50));
    CHECK(single.queue.dequeue(four_slots).expired.empty());
    // Three expire; after that no more requests wait than there are slots.
    CHECK(triple.queue.dequeue(four_slots).expired.size() == 3);
}

// Guards against slots used for requests that can no longer meet their deadline after waiting.
TEST_CASE("a free slot goes to the highest priority, then the earliest deadline that can be met") {
    queue_fixture fixture(100);
    const auto expiring = fixture.offer(30).ticket;
    const auto late = fixture.offer(900).ticket;
    const auto early = fixture.offer(500).ticket;
    const auto interactive_ticket = fixture.offer(900, "red", request_priority::interactive).ticket;
    const auto cancelled = fixture.offer(400).ticket;
    CHECK(fixture.queue.cancel(*cancelled));
    CHECK_FALSE(fixture.queue.cancel(*cancelled));
    fixture.time.advance(milliseconds(20));
    CHECK(fixture.queue.dequeue(four_slots).ticket == interactive_ticket);
    const auto next = fixture.queue.dequeue(four_slots);
    CHECK(next.ticket == early);
    CHECK(next.expired == std::vector<ticket_number>{*expiring});
    CHECK(fixture.queue.dequeue(four_slots).ticket == late);
    CHECK_FALSE(fixture.queue.dequeue(four_slots).ticket);
}

// Guards against refusing high-priority requests while low-priority ones fill the queue, and
// against one team that fills the queue and starves the others.
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
    // A request of the team above its share is refused.
    result = fixture.offer(2'000, "red");
    CHECK(result.code == result_code::overloaded);
    CHECK(result.shed.empty());
    CHECK(fixture.queue.size() == 6);
}
