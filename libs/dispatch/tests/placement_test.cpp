// Tests the order of steps, the choice of an instance, and quarantine.

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

instance_state instance_of(const std::string& name, std::int64_t cores) {
    instance_state instance;
    instance.name = instance_name(name);
    instance.is_linked = true;
    instance.observed_at = start;
    executor_info info;
    info.id = executor_id("executor-" + name);
    info.service = service_id("service");
    info.domain = failure_domain_id("domain");
    info.capacity = {millicores(cores * 1'000), mebibytes(100'000), accelerator_count(0)};
    info.labels = {"a", "rack-" + name};
    instance.executor = info;
    return instance;
}

// A serving task of 6 processors runs on the instance.
void serve(instance_state& instance, const std::string& image) {
    instance.serving_demand = millicores(instance.serving_demand.value() + 6'000);
    instance.committed += {millicores(6'000), mebibytes(0), accelerator_count(0)};
    ++instance.serving_tasks_by_image[image];
}

struct fixture {
    std::vector<instance_state> instances;
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
    std::optional<std::size_t> choose() { return choose_instance(instances, step, context); }
};

// Benefit of a job: its work if it ends within the objective, a seventh of it up to three times the
// objective.
double benefit_of(double work, double ends_at, double objective) {
    return ends_at <= objective ? work : ends_at <= 3 * objective ? work / 7 : 0;
}

struct burst_job {
    double work = 0;
    double accepted = 0;
    double objective = 0;
};

// Runs the jobs one at a time on one instance; `before` chooses the next job at each completion.
template <class Before>
double simulate_burst(std::vector<burst_job> waiting, Before before) {
    double now = 0;
    double total = 0;
    while (!waiting.empty()) {
        const auto next = std::min_element(
            waiting.begin(), waiting.end(),
            [&](const burst_job& a, const burst_job& b) { return before(a, b, now); });
        now += next->work;
        total += benefit_of(next->work, now - next->accepted, next->objective);
        waiting.erase(next);
    }
    return total;
}

}  // namespace

// A burst of jobs needs 2.6 times the capacity available before their objectives.
TEST_CASE("in a burst beyond capacity the order yields more benefit than earliest deadline first") {
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
    const double planned_benefit =
        simulate_burst(burst, [&](const burst_job& a, const burst_job& b, double now) {
            return precedes(step_of(a, now), step_of(b, now));
        });
    const double deadline_benefit = simulate_burst(
        burst,
        [](const burst_job& a, const burst_job& b, double) { return a.objective < b.objective; });
    INFO("benefit " << planned_benefit << " against " << deadline_benefit);
    CHECK(planned_benefit > deadline_benefit);
}

TEST_CASE("urgent work goes before all other waiting work") {
    ready_step urgent;
    urgent.rules = rules_of(0);
    urgent.rank = 2;
    urgent.core_seconds_left = 100;
    ready_step other;
    other.rules = rules_of(2);
    CHECK(precedes(urgent, other));
    CHECK_FALSE(precedes(other, urgent));
}

TEST_CASE("the lateness rank reflects the benefit a job can still yield") {
    const auto rules = rules_of(0);  // objective: 2 x 4 s + 1 s
    const milliseconds chain{4'000};
    CHECK(lateness_rank(rules, start, chain, chain, start) == 0);
    CHECK(lateness_rank(rules, start, chain, chain, start + std::chrono::seconds(6)) == 1);
    CHECK(lateness_rank(rules, start, chain, chain, start + std::chrono::seconds(30)) == 2);
}

// Each filler image interferes with some serving images only. Packing all serving tasks onto as few
// instances as possible left no instance on which a filler interfered with none of them.
TEST_CASE("serving tasks are co-located with tasks of their own image") {
    fixture f;
    f.instances = {instance_of("0", 32), instance_of("1", 32)};
    serve(f.instances[1], "web");
    f.spec.tail_target = milliseconds(24);
    f.spec.image = "web";
    CHECK(f.choose() == 1U);
    f.spec.image = "mail";
    CHECK(f.choose() == 0U);
}

TEST_CASE("fillers are co-located with serving tasks that they do not disturb, others run apart") {
    fixture f;
    f.instances = {instance_of("0", 32), instance_of("1", 32)};
    serve(f.instances[1], "web");
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

TEST_CASE("a filler is not placed with serving tasks that lack the slack for its image") {
    fixture f;
    f.instances = {instance_of("0", 32)};
    auto& instance = f.instances[0];
    serve(instance, "web");
    instance.sample.capacity = millicores(32'000);
    instance.sample.serving_tasks = {{"web", milliseconds(24), milliseconds(12)}};
    f.spec.is_filler = true;
    f.spec.image = "heavy";
    f.model.set("web", "heavy", 4.0);
    CHECK_FALSE(f.choose().has_value());
    f.model.set("web", "heavy", 0.1);
    CHECK(f.choose() == 0U);
    f.model.set("web", "heavy", 4.0);
    f.context.checks_capacity_only = true;
    CHECK(f.choose() == 0U);
}

TEST_CASE("labels, limits per executor, permits and evacuations are respected") {
    fixture f;
    f.instances = {instance_of("0", 32), instance_of("1", 32)};
    f.spec.required_label = "rack-1";
    CHECK(f.choose() == 1U);
    f.spec.required_label = "b";
    CHECK_FALSE(f.choose().has_value());
    f.spec.required_label.clear();
    f.spec.max_per_executor = 1;
    f.instances[0].tasks_by_step[f.step.key] = 1;
    CHECK(f.choose() == 1U);
    const std::map<executor_id, std::string> permits{{executor_id("executor-0"), "ticket"}};
    f.context.permits = &permits;
    CHECK_FALSE(f.choose().has_value());
    f.context.permits = nullptr;
    f.evacuated = {failure_domain_id("domain")};
    CHECK_FALSE(f.choose().has_value());
}

TEST_CASE("a retry avoids the instance where the task failed, if there is another") {
    fixture f;
    f.instances = {instance_of("0", 32), instance_of("1", 32)};
    f.context.avoided_instance = 0;
    CHECK(f.choose() == 1U);
    f.instances.pop_back();
    CHECK(f.choose() == 0U);
}

// Guards against a broken instance that always has free capacity and attracts most new tasks.
TEST_CASE("an instance on which tasks of several jobs fail is quarantined, and used again later") {
    instance_health health;
    health.failed(job_id("a"), start);
    health.failed(job_id("a"), start);
    health.failed(job_id("a"), start);
    CHECK_FALSE(health.is_quarantined(start));  // failures of a single job do not count
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
