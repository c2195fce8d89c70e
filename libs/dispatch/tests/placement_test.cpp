// Order of steps under load, choice of machines, and machines that fail everything.

#include "placement.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

const instant start = instant(std::chrono::hours(1));

queue_rules rules_of(int priority) {
    queue_rules rules;
    rules.service = service_id("service");
    rules.priority = priority;
    rules.stretch = 2;
    rules.target = milliseconds(1'000);
    return rules;
}

machine_state machine_of(const std::string& name, std::int64_t cores) {
    machine_state machine;
    machine.name = instance_name(name);
    machine.is_linked = true;
    executor_info info;
    info.id = executor_id("executor-" + name);
    info.service = service_id("service");
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(cores * 1'000), mebibytes(100'000), accelerator_count(0)};
    info.labels = {"a", "rack-" + name};
    machine.executor = info;
    return machine;
}

// A serving task of 6 processors runs on the machine.
void serve(machine_state& machine, const std::string& image) {
    machine.serving_demand = millicores(machine.serving_demand.value() + 6'000);
    machine.committed += {millicores(6'000), mebibytes(0), accelerator_count(0)};
    ++machine.serving_tasks_by_image[image];
}

struct fixture {
    std::vector<machine_state> machines;
    std::set<failure_domain_id> evacuated;
    interference_model model;
    step_spec spec;
    ready_step step;
    placement_context context;

    fixture() {
        spec.demand = {millicores(4'000), mebibytes(100), accelerator_count(0)};
        step.spec = &spec;
        step.rules = rules_of(0);
        context.now = start;
        context.evacuated = &evacuated;
        context.interference = &model;
    }
    std::optional<std::size_t> choose() { return choose_machine(machines, step, context); }
};

// What a job earns: its work if it ends within the objective, a seventh up to three times that.
double earned(double work, double ends_at, double objective) {
    return ends_at <= objective ? work : ends_at <= 3 * objective ? work / 7 : 0;
}

struct burst_job {
    double work = 0;
    double accepted = 0;
    double objective = 0;
};

// One machine that works on one job after the other, in the order that `before` gives at each end.
template <class Before>
double play_burst(std::vector<burst_job> waiting, Before before) {
    double now = 0;
    double total = 0;
    while (!waiting.empty()) {
        const auto next = std::min_element(
            waiting.begin(), waiting.end(),
            [&](const burst_job& a, const burst_job& b) { return before(a, b, now); });
        now += next->work;
        total += earned(next->work, now - next->accepted, next->objective);
        waiting.erase(next);
    }
    return total;
}

}  // namespace

// Load: a burst of jobs that together need 2.6 times what there is before their objectives.
TEST_CASE("in a burst beyond capacity the order earns more than deadlines first") {
    random_source random(7);
    std::vector<burst_job> burst;
    for (int i = 0; i < 60; ++i) {
        const double work = 0.2 + 2 * random.unit();
        burst.push_back({work, 0, 2 * work + 10 + 10 * random.unit()});
    }
    const auto step_of = [](const burst_job& job, double now) {
        ready_step step;
        step.rules = rules_of(0);
        step.core_seconds_left = job.work;
        step.objective = start + milliseconds(static_cast<std::int64_t>(job.objective * 1'000));
        step.rank = now + job.work <= job.objective       ? 0
                    : now + job.work <= 3 * job.objective ? 1
                                                          : 2;
        return step;
    };
    const double ours = play_burst(burst, [&](const burst_job& a, const burst_job& b, double now) {
        return goes_before(step_of(a, now), step_of(b, now));
    });
    const double deadlines = play_burst(burst, [](const burst_job& a, const burst_job& b, double) {
        return a.objective < b.objective;
    });
    INFO("earned " << ours << " against " << deadlines);
    CHECK(ours > deadlines);
}

TEST_CASE("urgent work goes first whatever else waits") {
    ready_step urgent;
    urgent.rules = rules_of(0);
    urgent.rank = 2;
    urgent.core_seconds_left = 100;
    ready_step other;
    other.rules = rules_of(2);
    CHECK(goes_before(urgent, other));
    CHECK_FALSE(goes_before(other, urgent));
}

TEST_CASE("the rank tells what a job can still earn") {
    const auto rules = rules_of(0);  // objective: 2 x 4 s + 1 s
    const milliseconds chain{4'000};
    CHECK(rank_of(rules, start, chain, chain, start) == 0);
    CHECK(rank_of(rules, start, chain, chain, start + std::chrono::seconds(6)) == 1);
    CHECK(rank_of(rules, start, chain, chain, start + std::chrono::seconds(30)) == 2);
}

// Load: serving tasks of several images and fillers of several more. Each filler image disturbs
// some serving images only; the baseline, which kept all serving tasks on as few machines as
// possible, left no machine where a filler disturbed nobody.
TEST_CASE("serving tasks share machines with their own image") {
    fixture f;
    f.machines = {machine_of("0", 32), machine_of("1", 32)};
    serve(f.machines[1], "web");
    f.spec.tail_target = milliseconds(24);
    f.spec.image = "web";
    CHECK(f.choose() == 1U);
    f.spec.image = "mail";
    CHECK(f.choose() == 0U);
}

TEST_CASE("fillers go beside serving tasks that they do not disturb, others where nobody serves") {
    fixture f;
    f.machines = {machine_of("0", 32), machine_of("1", 32)};
    serve(f.machines[1], "web");
    f.spec.is_filler = true;
    f.spec.image = "unknown";
    CHECK(f.choose() == 0U);
    f.spec.image = "heavy";
    f.model.set("web", "heavy", 1.0);
    CHECK(f.choose() == 0U);
    f.spec.image = "light";
    f.model.set("web", "light", 0.1);
    CHECK(f.choose() == 1U);
}

TEST_CASE("a filler stays away from serving tasks that cannot bear its image") {
    fixture f;
    f.machines = {machine_of("0", 32)};
    auto& machine = f.machines[0];
    serve(machine, "web");
    machine.sample.capacity = millicores(32'000);
    machine.sample.serving_tasks = {{"web", milliseconds(24), milliseconds(12)}};
    f.spec.is_filler = true;
    f.spec.image = "heavy";
    f.model.set("web", "heavy", 4.0);
    CHECK_FALSE(f.choose().has_value());
    f.model.set("web", "heavy", 0.1);
    CHECK(f.choose() == 0U);
    f.model.set("web", "heavy", 4.0);
    f.context.only_room_counts = true;
    CHECK(f.choose() == 0U);
}

TEST_CASE("labels, limits for each executor, permits and evacuations are kept") {
    fixture f;
    f.machines = {machine_of("0", 32), machine_of("1", 32)};
    f.spec.required_label = "rack-1";
    CHECK(f.choose() == 1U);
    f.spec.required_label = "b";
    CHECK_FALSE(f.choose().has_value());
    f.spec.required_label.clear();
    f.spec.max_per_executor = 1;
    f.machines[0].tasks_of_step[f.step.key] = 1;
    CHECK(f.choose() == 1U);
    const std::map<executor_id, std::string> permits{{executor_id("executor-0"), "ticket"}};
    f.context.permits = &permits;
    CHECK_FALSE(f.choose().has_value());
    f.context.permits = nullptr;
    f.evacuated = {failure_domain_id("domain")};
    CHECK_FALSE(f.choose().has_value());
}

TEST_CASE("a retry avoids the machine where the task failed, if there is another") {
    fixture f;
    f.machines = {machine_of("0", 32), machine_of("1", 32)};
    f.context.avoid = 0;
    CHECK(f.choose() == 1U);
    f.machines.pop_back();
    CHECK(f.choose() == 0U);
}

// Load: a broken machine is always free, and would draw the work of the fleet.
TEST_CASE("a machine on which tasks of several jobs fail is left out, and tried again later") {
    machine_health health;
    health.failed(job_id("a"), start);
    health.failed(job_id("a"), start);
    health.failed(job_id("a"), start);
    CHECK_FALSE(health.is_quarantined(start));  // one broken job says nothing about the machine
    health.failed(job_id("b"), start);
    health.failed(job_id("c"), start);
    CHECK(health.is_quarantined(start));
    const auto later = start + std::chrono::seconds(3);
    CHECK_FALSE(health.is_quarantined(later));
    health.failed(job_id("d"), later);
    CHECK(health.is_quarantined(later + std::chrono::seconds(3)));
    health.succeeded();
    health.failed(job_id("e"), later + std::chrono::seconds(10));
    CHECK_FALSE(health.is_quarantined(later + std::chrono::seconds(10)));
}
