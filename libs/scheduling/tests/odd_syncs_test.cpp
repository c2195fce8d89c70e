// Syncs of a worker with values that no sound agent sends.

#include <limits>
#include <vector>

#include "odd_rows.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();

sync_request sync_of(const std::string& worker, std::int64_t capacity, std::int64_t free) {
    sync_request request;
    request.worker = worker_id(worker);
    request.incarnation = incarnation_number(1);
    request.sequence = 1;
    request.control = {"127.0.0.1", 1};
    request.domain = failure_domain_id("richmond");
    request.capacity = {millicores(capacity), mebibytes(capacity), accelerator_count(0)};
    request.free = {millicores(free), mebibytes(free), accelerator_count(0)};
    return request;
}

}  // namespace

// Guards against one worker whose amounts overflow the sums of its partition and attract all work.
TEST_CASE("a sync with amounts beyond all limits is refused and stops no job") {
    sync_request negative_task = sync_of("odd", 4'000, 4'000);
    negative_task.tasks.emplace_back().demand.processors = millicores(lowest);
    const std::vector<sync_request> odd{
        sync_of("odd", highest, highest), sync_of("odd", lowest, lowest), sync_of("odd", -1, -1),
        sync_of("odd", 4'000, highest),   sync_of("odd", 4'000, 4'001),   negative_task,
        sync_of("", 4'000, 4'000)};
    for (const auto& request : odd) {
        INFO("sync ", encode(request));
        world w;
        w.add_entry();
        w.add_worker("w1");
        w.run(seconds(3));
        CHECK_THROWS_AS((void)w.entries[0]->scheduler->sync(request), error);
        CHECK(w.entries[0]->scheduler->partitions().front().worker_count == 1);
        REQUIRE(w.entries[0]->scheduler->submit(make_job("sound", 1000, seconds(2)), false).is_new);
        CHECK_NOTHROW(w.run(seconds(10)));
        CHECK(w.row_of("sound").state == job_state::finished);
        // The next sound sync of the same worker is taken.
        CHECK_NOTHROW((void)w.entries[0]->scheduler->sync(sync_of("odd", 4'000, 4'000)));
        CHECK(w.entries[0]->scheduler->partitions().front().worker_count == 2);
    }
}
