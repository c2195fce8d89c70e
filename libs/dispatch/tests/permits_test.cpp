// Tests that a step whose queue has a policy finds the executors that may run it, however many
// there are: a request names 30 at most.

#include <doctest/doctest.h>

#include <set>
#include <utility>

#include "tanagerpaddle/dispatch.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

namespace {

constexpr std::size_t max_executors_per_request = 30;
constexpr milliseconds plan_interval{20};
constexpr milliseconds answer_time{100};
constexpr milliseconds permit_lifetime{3'000};
const task_key task{job_id("job"), 0, 0, 0};

// A coordinator, its instances, and a policy service that allows some of them.
struct fixture : coordinator_orders {
    manual_clock time;
    coordinator jobs{coordinator::options{}, time, *this};
    std::set<executor_id> allowed;
    std::map<instance_name, executor_info> executors;
    bool is_service_available = true;
    std::vector<std::vector<executor_id>> requests;
    std::vector<std::pair<instant, std::vector<executor_id>>> open;
    std::map<task_key, std::pair<instance_name, start_order>> started;
    std::size_t starts = 0;

    explicit fixture(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            executor_info info;
            info.id = executor_id("executor-" + std::to_string(i));
            info.incarnation = executor_incarnation(1);
            info.service = default_rules().service;
            info.domain = failure_domain_id("domain");
            info.capacity = {millicores(2'000), mebibytes(1'000), accelerator_count(0)};
            add(instance_name("instance-" + std::to_string(i)), info);
        }
    }
    void add(const instance_name& name, const executor_info& info) {
        executors[name] = info;
        jobs.instance_claimed(name, {info, {}, {}});
    }
    void remove(const instance_name& name) {
        executors.erase(name);
        inventory found;
        found.is_vacant = true;
        jobs.instance_claimed(name, found);
    }
    void submit(std::uint32_t tasks, bool is_gang = false) {
        auto rules = default_rules();
        rules.requires_permit = true;
        auto job = make_job("job", {1, tasks, 1'000, milliseconds(500), false, is_gang});
        job.rules = rules;
        jobs.set_queues({{job.queue, rules}});
        jobs.add_job(job, milliseconds(0));
    }
    void start(const instance_name& instance, const start_order& order) override {
        ++starts;
        started[order.task] = {instance, order};
        const auto& id = executors.at(instance).id;
        CHECK(allowed.count(id) == 1);
        CHECK(order.permit == "ticket of " + id.value());
        jobs.start_reported(instance, order.task, order.run, start_outcome::started);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void request_permits(const step_key&, const std::vector<executor_id>& asked) override {
        CHECK(!asked.empty());
        CHECK(asked.size() <= max_executors_per_request);
        requests.push_back(asked);
        open.emplace_back(time.now() + answer_time, asked);
    }
    void answer_requests() {
        const auto due = std::exchange(open, {});
        for (const auto& [at, asked] : due) {
            if (time.now() < at) {
                open.emplace_back(at, asked);
                continue;
            }
            if (!is_service_available) {
                jobs.permit_request_failed({task.job, 0, 0});
                continue;
            }
            std::vector<permit> permits;
            for (const auto& id : asked) {
                if (allowed.count(id) != 0) {
                    permits.emplace_back(permit{id, "ticket of " + id.value()});
                }
            }
            jobs.permits_granted({task.job, 0, 0}, asked, permits,
                                 at - answer_time + permit_lifetime);
        }
    }
    void run_for(milliseconds duration) {
        const instant end = time.now() + duration;
        while (time.now() < end) {
            time.advance(plan_interval);
            answer_requests();
            for (const auto& [name, info] : executors) {
                jobs.progress_reported(name, {}, {});
            }
            jobs.plan();
            while (jobs.has_writes()) {
                static_cast<void>(jobs.begin_write());
                jobs.write_done();
            }
        }
    }
};

executor_id id_of(std::size_t index) {
    return executor_id("executor-" + std::to_string(index));
}

}  // namespace

// Guards against an accepted job that never starts though an allowed executor is idle: the service
// was asked for the first 30 again and again.
TEST_CASE("an allowed executor is found wherever it is, soon after the others are lost") {
    for (std::size_t index = 0; index < 45; ++index) {
        CAPTURE(index);
        fixture f(45);
        const std::size_t other = (index + 31) % 45;
        f.allowed = {id_of(index), id_of(other)};
        f.submit(1);
        f.run_for(milliseconds(1'000));
        REQUIRE(f.starts == 1);
        f.remove(f.started.at(task).first);
        f.run_for(milliseconds(1'000));
        REQUIRE(f.starts == 2);
        CHECK(f.executors.count(f.started.at(task).first) == 1);
    }
}

TEST_CASE("a fleet of any size is asked for once before any executor is asked for again") {
    fixture f(200);
    f.submit(1);
    f.run_for(milliseconds(1'500));
    CHECK(f.requests.size() == 7);
    std::set<executor_id> asked;
    for (const auto& request : f.requests) {
        asked.insert(request.begin(), request.end());
    }
    CHECK(asked.size() == 200);
    // Nobody is allowed: the service is asked again later, not all the time.
    f.run_for(milliseconds(1'000));
    CHECK(f.requests.size() <= 8);
    // An executor that joins is asked for at once.
    executor_info info = f.executors.begin()->second;
    info.id = executor_id("new");
    f.allowed = {info.id};
    f.add(instance_name("new"), info);
    f.run_for(milliseconds(500));
    CHECK(f.starts == 1);
}

TEST_CASE("more executors are asked for while the allowed ones are full") {
    fixture f(45);
    for (std::size_t index = 0; index < 45; index += 15) {
        f.allowed.insert(id_of(index));
    }
    f.submit(6);  // two tasks fit on each of the three
    f.run_for(milliseconds(1'000));
    CHECK(f.starts == 6);
}

TEST_CASE("the members of a gang find their executors across several requests") {
    fixture f(90);
    f.allowed = {id_of(5), id_of(50), id_of(85)};
    f.submit(6, /*is_gang=*/true);
    f.run_for(milliseconds(1'500));
    CHECK(f.starts == 6);
}

TEST_CASE("executors that have no room are asked for at long intervals") {
    fixture f(45);
    f.allowed = {id_of(1)};
    f.submit(3);  // two fit
    f.run_for(milliseconds(1'000));
    CHECK(f.starts == 2);
    const auto requests = f.requests.size();
    f.run_for(milliseconds(4'000));
    CHECK(f.requests.size() - requests <= 4);
}

TEST_CASE("a service that refuses is asked again soon, but not at each plan") {
    fixture f(3);
    f.allowed = {id_of(1)};
    f.is_service_available = false;
    f.submit(1);
    f.run_for(milliseconds(2'000));
    CHECK(f.requests.size() >= 4);
    CHECK(f.requests.size() <= 10);
    f.is_service_available = true;
    f.run_for(milliseconds(500));
    CHECK(f.starts == 1);
}

TEST_CASE("a refused ticket is asked for again, and the tickets of others are kept") {
    fixture f(40);
    f.allowed = {id_of(1)};
    f.submit(1);
    f.run_for(milliseconds(500));
    REQUIRE(f.starts == 1);
    const auto [instance, order] = f.started.at(task);
    f.jobs.start_reported(instance, task, order.run, start_outcome::bad_permit);
    f.run_for(milliseconds(500));
    CHECK(f.starts == 2);
    CHECK(f.requests.back().front() == id_of(1));
}

TEST_CASE("steps find their executors while executors come and go at random") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        random_source random(seed);
        fixture f(20 + random.below(100));
        const auto names = f.executors;
        for (int i = 0; i < 4; ++i) {
            f.allowed.insert(id_of(random.below(names.size())));
        }
        f.submit(1);
        for (int i = 0; i < 20; ++i) {
            auto name = names.begin();
            std::advance(name, static_cast<std::ptrdiff_t>(random.below(names.size())));
            if (f.executors.count(name->first) != 0) {
                f.remove(name->first);
            } else {
                auto info = name->second;
                info.incarnation = executor_incarnation(i + 2);
                f.add(name->first, info);
            }
            f.run_for(milliseconds(static_cast<std::int64_t>(random.below(600))));
        }
        for (const auto& [name, info] : names) {
            if (f.executors.count(name) == 0) {
                f.add(name, info);
            }
        }
        const auto running = f.started.find(task);
        if (running != f.started.end()) {
            f.remove(running->second.first);
        }
        const auto before = f.starts;
        f.run_for(milliseconds(3'000));
        CHECK(f.starts > before);
    }
}
