// Estimates of run times by image, and which runs they are learned from.

#include "run_times.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "ordering.hpp"
#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;

namespace {

const instant start = instant(std::chrono::hours(1));

milliseconds ms(double value) {
    return milliseconds(std::llround(value));
}

// Estimates that compete: each turns a declared run time and what was measured into one.
struct order_errors {
    double declared = 0;
    double measured_mean = 0;
    double scaled_by_ratio = 0;
    double learned = 0;
};

// A job's declared and true run time, and its estimates.
struct ranked_job {
    double truth = 0;
    double declared = 0;
    double mean = 0;
    double ratio = 0;
    double learned = 0;
};

// Share of the pairs of jobs that an estimate puts in the wrong order.
template <class Estimate>
double share_misordered(const std::vector<ranked_job>& jobs, Estimate estimate) {
    std::size_t wrong = 0;
    std::size_t pairs = 0;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        for (std::size_t k = i + 1; k < jobs.size(); ++k) {
            wrong += (jobs[i].truth < jobs[k].truth) != (estimate(jobs[i]) < estimate(jobs[k]));
            ++pairs;
        }
    }
    return static_cast<double>(wrong) / static_cast<double>(pairs);
}

// Plays jobs of 20 tasks each of several images. `size_range` is the ratio of the largest to the
// smallest job of one image, `declared_error` the relative error of what jobs declare.
order_errors play_jobs(double size_range, double declared_error, std::uint64_t seed) {
    constexpr std::size_t images = 12;
    constexpr std::size_t tasks = 20;
    random_source random(seed);
    run_times learned;
    struct sums {
        double measured = 0;
        double declared = 0;
        double count = 0;
    };
    std::vector<double> image_mean(images);
    std::vector<sums> seen(images);
    for (auto& mean : image_mean) {
        mean = 800 * std::pow(8.0, random.unit());
    }
    std::vector<ranked_job> jobs;
    for (int n = 0; n < 240; ++n) {
        const auto image = random.below(images);
        const std::string name = "image-" + std::to_string(image);
        ranked_job job;
        job.truth = image_mean[image] * std::pow(size_range, random.unit() - 0.5);
        job.declared = job.truth * (1 + declared_error * (2 * random.unit() - 1));
        auto& sum = seen[image];
        const auto estimate = learned.estimate(name, ms(job.declared));
        job.learned = estimate ? static_cast<double>(estimate->count()) : job.declared;
        job.mean = sum.count > 0 ? sum.measured / sum.count : job.declared;
        job.ratio =
            sum.count > 0 ? job.mean * job.declared / (sum.declared / sum.count) : job.declared;
        jobs.push_back(job);
        for (std::size_t i = 0; i < tasks; ++i) {
            const double measured = job.truth * (0.75 + 0.5 * random.unit());
            learned.record(name, ms(job.declared), ms(measured), start);
            sum.measured += measured;
            sum.declared += job.declared;
            sum.count += 1;
        }
    }
    return {share_misordered(jobs, [](const ranked_job& job) { return job.declared; }),
            share_misordered(jobs, [](const ranked_job& job) { return job.mean; }),
            share_misordered(jobs, [](const ranked_job& job) { return job.ratio; }),
            share_misordered(jobs, [](const ranked_job& job) { return job.learned; })};
}

order_errors mean_errors(double size_range, double declared_error) {
    constexpr std::uint64_t seeds = 5;
    order_errors mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto errors = play_jobs(size_range, declared_error, seed);
        mean.declared += errors.declared / seeds;
        mean.measured_mean += errors.measured_mean / seeds;
        mean.scaled_by_ratio += errors.scaled_by_ratio / seeds;
        mean.learned += errors.learned / seeds;
    }
    return mean;
}

std::string to_string(const order_errors& errors) {
    return "share of pairs in the wrong order: declared " + std::to_string(errors.declared) +
           ", measured mean " + std::to_string(errors.measured_mean) + ", scaled by the ratio " +
           std::to_string(errors.scaled_by_ratio) + ", learned " + std::to_string(errors.learned);
}

}  // namespace

TEST_CASE("an image has an estimate from its fifth run on") {
    run_times times;
    for (int i = 0; i < 4; ++i) {
        times.record("image", ms(1'000), ms(2'000), start);
        CHECK_FALSE(times.estimate("image", ms(1'000)).has_value());
    }
    times.record("image", ms(1'000), ms(2'000), start);
    CHECK(times.estimate("image", ms(1'000)) == ms(2'000));
    CHECK_FALSE(times.estimate("other", ms(1'000)).has_value());
    CHECK(times.coverage_of("image")->runs == 5);
}

// Load pattern: declared run times are wrong by up to 0.9 of their value, and the tasks of an image
// share a distribution. Guards against ranks that follow the declared error: scaling by the
// declared ratio would carry it over into the estimate.
TEST_CASE("with unreliable declared run times, measured ones put jobs in a better order") {
    const auto errors = mean_errors(1, 0.9);
    MESSAGE(to_string(errors));
    CHECK(errors.learned < 0.6 * errors.declared);
    CHECK(errors.learned < errors.scaled_by_ratio);
}

// Load pattern: jobs of one image differ in size by a factor of ten and declare it within 10%.
// Guards against an estimate that ignores what jobs declare.
TEST_CASE("with reliable declared run times, jobs of one image are still told apart by them") {
    const auto errors = mean_errors(10, 0.1);
    MESSAGE(to_string(errors));
    CHECK(errors.learned < 0.5 * errors.measured_mean);
}

TEST_CASE("an image that becomes slower is followed within a few jobs") {
    run_times times;
    for (int i = 0; i < 1'000; ++i) {
        times.record("image", ms(1'000), ms(1'000), start);
    }
    for (int i = 0; i < 400; ++i) {
        times.record("image", ms(1'000), ms(3'000), start);
    }
    const auto estimate = times.estimate("image", ms(1'000));
    CHECK(estimate > ms(2'500));
    CHECK(estimate <= ms(3'000));
}

// Guards against memory that grows with the number of images that callers name.
TEST_CASE("at most 512 images are kept, and the one recorded the longest ago is replaced") {
    run_times times;
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 512; ++i) {
            times.record(std::to_string(i), ms(100), ms(100), start);
        }
    }
    times.record("0", ms(100), ms(100), start);
    times.record("new", ms(100), ms(100), start);
    CHECK(times.images() == run_times::max_images);
    CHECK(times.estimate("0", ms(100)).has_value());
    CHECK_FALSE(times.estimate("1", ms(100)).has_value());
    CHECK(times.estimate("2", ms(100)).has_value());
}

TEST_CASE("odd run times yield finite, positive estimates") {
    run_times times;
    for (const std::int64_t measured : {0LL, 1LL, 100'000'000'000LL, 0LL, 5LL, 7LL}) {
        times.record("image", milliseconds(measured), milliseconds(measured), start);
    }
    for (const std::int64_t declared : {0LL, 1LL, 1'000LL, 100'000'000'000LL}) {
        const auto estimate = times.estimate("image", milliseconds(declared));
        CAPTURE(declared);
        REQUIRE(estimate.has_value());
        CHECK(estimate->count() >= 1);
        CHECK(estimate->count() < 1'000'000'000'000'000);
    }
}

// ---------------------------------------------------------------------------------------------
// Runs that are recorded

namespace {

struct silent_orders final : coordinator_orders {
    void start(const instance_name&, const start_order&) override {}
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
};

// One job with one task on an instance of rack "r1".
struct fixture {
    manual_clock time;
    silent_orders orders;
    coordinator::options options;
    coordinator jobs{options, time, orders};
    step_spec spec;
    std::uint64_t completions = 0;

    fixture() {
        spec.image = "image";
        spec.estimate = milliseconds(1'000);
        spec.demand = {millicores(1'000), mebibytes(100), accelerator_count(0)};
        jobs.set_queues({{queue_id("queue"), testing::default_rules()}});
        inventory idle;
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        info.service = testing::default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(32'000), mebibytes(64'000), accelerator_count(0)};
        info.labels = {"r1"};
        idle.executor = info;
        jobs.instance_claimed(instance_name("instance"), idle);
    }

    // Runs `count` jobs of the step one after the other for 2 s each, which use that many
    // processors.
    void run_jobs(int count, std::int64_t millicores_used = 1'000) {
        for (int i = 0; i < count; ++i) {
            auto job = testing::make_job("job" + std::to_string(++completions), {1, 1});
            job.spec.steps.front() = spec;
            jobs.add_job(job, milliseconds(0));
            plan();
            const task_key task{job.id, 0, 0, 0};
            jobs.start_reported(instance_name("instance"), task, run_number(1),
                                start_outcome::started);
            time.advance(milliseconds(1'000));
            jobs.progress_reported(instance_name("instance"),
                                   {{task, run_number(1), "", 50, millicores_used}}, {});
            plan();
            time.advance(milliseconds(1'000));
            jobs.runs_finished(instance_name("instance"), executor_incarnation(1),
                               {{completion_number(completions), task, run_number(1),
                                 run_outcome::succeeded, ""}});
            plan();
        }
    }
    void plan() {
        jobs.plan();
        while (jobs.has_writes()) {
            static_cast<void>(jobs.begin_write());
            jobs.write_done();
        }
    }
    [[nodiscard]] std::uint64_t recorded() const {
        const auto found = jobs.measured_run_times().coverage_of("image");
        return found ? found->runs : 0;
    }
};

}  // namespace

TEST_CASE("successful runs are recorded with the time since their begin") {
    fixture f;
    f.run_jobs(5);
    CHECK(f.recorded() == 5);
    CHECK(f.jobs.measured_run_times().estimate("image", milliseconds(1'000)) ==
          milliseconds(2'000));
}

// Guards against run times that are longer than the work of the image takes.
TEST_CASE("runs of throttled fillers and runs off the preferred rack are not recorded") {
    fixture f;
    f.spec.is_filler = true;
    f.run_jobs(3, 300);
    CHECK(f.recorded() == 0);
    f.run_jobs(3, 950);
    CHECK(f.recorded() == 3);
    f.spec.preferred_rack = rack_id("r2");
    f.run_jobs(3);
    CHECK(f.recorded() == 3);
    f.spec.preferred_rack = rack_id("r1");
    f.run_jobs(3);
    CHECK(f.recorded() == 6);
}

TEST_CASE("a run that resumed from a checkpoint is not recorded, the first run of a task is") {
    fixture f;
    f.spec.writes_checkpoints = true;
    auto job = testing::make_job("resumed", {1, 1});
    job.spec.steps.front() = f.spec;
    f.jobs.add_job(job, milliseconds(0));
    f.plan();
    const task_key task{job.id, 0, 0, 0};
    const instance_name instance("instance");
    f.jobs.start_reported(instance, task, run_number(1), start_outcome::started);
    f.jobs.runs_finished(
        instance, executor_incarnation(1),
        {{completion_number(1), task, run_number(1), run_outcome::lease_expired, "half"}});
    f.plan();
    f.jobs.start_reported(instance, task, run_number(2), start_outcome::started);
    f.time.advance(milliseconds(500));
    f.jobs.runs_finished(instance, executor_incarnation(1),
                         {{completion_number(2), task, run_number(2), run_outcome::succeeded, ""}});
    CHECK(f.recorded() == 0);
    f.completions = 2;
    f.run_jobs(1);
    CHECK(f.recorded() == 1);
}
