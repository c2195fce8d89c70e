// The end of an executor while no owner is linked to its agent, seen by the next owner.

#include <doctest/doctest.h>

#include <map>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;
using eventio::testing::run_for;

namespace {

constexpr executor_incarnation first_life(1'000);
// Longest time for which a task that lasts may not run while there is room for it.
constexpr milliseconds max_idle_time{3'000};

// Carries out starts until it ends; then its port refuses connections.
class ending_executor final : public executor_control {
public:
    ending_executor(eventio::event_loop& loop, const tanagerpaddle::clock& time)
        : loop_(loop), time_(time) {}

    void sync(epoch_number, completion_number, std::optional<std::int64_t>, milliseconds wait,
              std::function<void(const sync_result&)> done) override {
        loop_.after(
            has_ended ? milliseconds(1) : std::max(wait / 10, milliseconds(1)), [this, done] {
                sync_result result;
                result.is_connection_refused = has_ended;
                result.is_answered = !has_ended;
                result.executor_clock_ms =
                    std::chrono::floor<milliseconds>(time_.now().time_since_epoch()).count();
                result.view.incarnation = first_life;
                for (const auto& [task, run] : running) {
                    result.view.running.push_back({task, run, "", 100, 0});
                }
                done(result);
            });
    }
    void start(const start_order& order, const executor_id&, epoch_number, std::int64_t,
               std::function<void(start_answer)> done) override {
        if (!has_ended) {
            running[order.task] = order.run;
        }
        loop_.post(
            [this, done] { done(has_ended ? start_answer::refused : start_answer::started); });
    }
    void stop(const task_key&, run_number, epoch_number, std::function<void(bool)>) override {}
    void pace(const task_key&, run_number, int, epoch_number) override {}

    std::map<task_key, run_number> running;
    bool has_ended = false;

private:
    eventio::event_loop& loop_;
    const tanagerpaddle::clock& time_;
};

// Two instances with room for one task each, and entries that own the coordinator in turn.
struct fixture {
    eventio::event_loop loop;
    const system_clock time;
    fake_store store{loop};
    ending_executor first_executor{loop, time};
    ending_executor second_executor{loop, time};
    std::map<std::string, std::unique_ptr<agent_node>> agents;
    std::unique_ptr<entry_node> entry;
    const queue_id queue{"queue"};
    const job_id job{"0123456789abcdef"};

    fixture() {
        submitted_job lasting;
        lasting.id = job;
        lasting.queue = queue;
        lasting.rules.service = service_id("service");
        auto& step = lasting.spec.steps.emplace_back();
        step.demand.processors = millicores(1'000);
        step.is_long_running = true;
        store.put(job_table, part_of(job), job.value(), encode_job(lasting));
    }
    void start_agent(const std::string& name, ending_executor& executor, int port) {
        agents[name] = std::make_unique<agent_node>(
            loop, time, store, executor, agent_options{name, "life", local_endpoint(port), {}});
        agents[name]->start();
    }
    void report(const std::string& name) {
        executor_info info;
        info.id = executor_id("executor of " + name);
        info.incarnation = first_life;
        info.service = service_id("service");
        info.domain = failure_domain_id("domain");
        info.capacity.processors = millicores(1'000);
        agents.at(name)->executor_reported(info);
    }
    void start_entry(const std::string& name, int port) {
        entry = std::make_unique<entry_node>(
            loop, time, store, nullptr,
            entry_options{name, "life", local_endpoint(port), millicores(1'000), {}});
        queue_rules rules;
        rules.service = service_id("service");
        entry->set_queues({{queue, rules}});
        entry->start();
    }
    template <class Condition>
    bool run_until(milliseconds limit, Condition holds) {
        const instant end = time.now() + limit;
        while (!holds() && time.now() < end) {
            run_for(loop, milliseconds(20));
        }
        return holds();
    }
};

}  // namespace

// The runs of an agent that is not claimed would end 11.8 s after the earlier owner's last write.
TEST_CASE("a task whose executor ended between two owners restarts without a wait for the lease") {
    fixture f;
    f.start_agent("m1", f.first_executor, 0);
    f.report("m1");
    f.start_entry("first", 2);
    REQUIRE(f.run_until(milliseconds(5'000), [&] { return f.first_executor.running.size() == 1; }));
    const auto [task, first_run] = *f.first_executor.running.begin();
    f.start_agent("m2", f.second_executor, 1);
    f.report("m2");
    run_for(f.loop, milliseconds(500));
    f.entry.reset();
    run_for(f.loop, milliseconds(100));
    f.first_executor.has_ended = true;
    SUBCASE("and the agent lives on") {
        run_for(f.loop, milliseconds(500));
    }
    SUBCASE("and the agent restarts") {
        run_for(f.loop, milliseconds(500));
        f.agents.erase("m1");
        f.start_agent("m1", f.first_executor, 4);
    }
    SUBCASE("and the agent leaves") {
        run_for(f.loop, milliseconds(500));
        f.agents.at("m1")->leave([] {});
        run_for(f.loop, milliseconds(500));
        f.agents.erase("m1");
        // Pending calls keep its listener open; nothing listens at this one, as after its exit.
        f.store.put(agent_table, "", "m1", to_string(local_endpoint(5)));
    }
    f.start_entry("second", 3);
    REQUIRE(f.run_until(milliseconds(8'000), [&] { return f.entry->is_owner(); }));
    REQUIRE(f.run_until(max_idle_time, [&] { return f.second_executor.running.size() == 1; }));
    CHECK(f.second_executor.running.begin()->first == task);
    CHECK(f.second_executor.running.begin()->second > first_run);
}
