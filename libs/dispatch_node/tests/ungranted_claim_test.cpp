// An agent whose link closes after its inventory and before the owner has granted it anything.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

TEST_CASE("runs end one lease after the claim if the link closes before the first grant") {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store(loop);
    store.tells_time = true;
    lease_timing timing;
    timing.lease_duration = milliseconds(500);
    timing.max_renewal_without_store = milliseconds(5'000);
    submitted_job job;
    job.id = job_id("0123456789abcdef");
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    job.spec.steps.emplace_back();
    const auto& id = job.id.value();
    store.put(job_table, part_of(job.id), id, encode_job(job));
    store.put(progress_table, owner_part, id, R"({"p":1,"t":[[0,0,0,1,0,"away",""]],"d":[]})");
    store.put(agent_table, "", "away", to_string(local_endpoint(2)));
    owner_record earlier{"first",         "life", to_string(local_endpoint(3)),
                         epoch_number(1), false,  millicores(1'000)};
    earlier.sent_by = store.now();
    store.put(owner_table, owner_part, "owner", encode(earlier));

    inventory found;
    found.executor.emplace();
    found.executor->id = executor_id("executor");
    found.executor->incarnation = executor_incarnation(1);
    found.executor->service = service_id("service");
    found.running = {{{job.id, 0, 0, 0}, run_number(1), "", 0, 0}};
    std::optional<instant> claimed_at;
    std::unique_ptr<eventio::message_server> agent = std::make_unique<eventio::message_server>(
        loop, local_endpoint(2), [&](const std::shared_ptr<eventio::message_link>& link) {
            return eventio::link_handlers{
                [&, link](const std::string&) {
                    if (claimed_at) {
                        return;  // only the claim is answered
                    }
                    link->send(messages::dump(messages::encode(found, instant{})));
                    claimed_at = time.now();
                    loop.after(milliseconds(50), [&, link] {
                        agent.reset();
                        link->close();
                    });
                },
                [] {}};
        });
    entry_node entry(loop, time, store, nullptr,
                     {"second", "life", local_endpoint(4), millicores(1'000), timing});
    entry.start();
    for (int i = 0; i < 400 && entry.count().waiting_tasks == 0; ++i) {
        eventio::testing::run_for(loop, milliseconds(20));
    }
    REQUIRE(claimed_at.has_value());
    CHECK(entry.count().waiting_tasks == 1);
    const auto waited = std::chrono::duration_cast<milliseconds>(time.now() - *claimed_at);
    CHECK(waited.count() >= timing.expiry_delay().count());
    CHECK(waited.count() < timing.expiry_delay().count() + 1'000);
}
