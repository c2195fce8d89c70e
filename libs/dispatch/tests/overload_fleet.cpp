#include "overload_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "world.hpp"

namespace tanagerpaddle::dispatch::testing {

namespace {

constexpr milliseconds step_length{50};
constexpr milliseconds forecast_interval{500};
constexpr milliseconds arrivals{60'000};
constexpr milliseconds burst_begin{15'000};
constexpr milliseconds burst_end{45'000};
// Callers repeat a refused submission this often.
constexpr int max_repetitions = 4;
constexpr std::int64_t urgent_millicores = 540;
constexpr std::int64_t large_millicores = 3'500;
// Of one task.
constexpr double urgent_run_s = 1.0;
constexpr double large_run_s = 2.7;
// 2 steps of 20 tasks.
constexpr double mean_large_work = 40 * large_run_s * large_millicores / 1'000;

const queue_id urgent_queue("urgent");
const queue_id large_queue("large");

double seconds(std::chrono::nanoseconds time) {
    return std::chrono::duration<double>(time).count();
}

milliseconds to_ms(double time_s) {
    return milliseconds(std::llround(time_s * 1'000));
}

struct caller_job {
    submitted_job job;
    bool is_large = false;
    instant submitted_at;
    milliseconds objective{0};
    double work_core_s = 0;
    double benefit = 0;
    int refusals = 0;
    bool is_accepted = false;
    std::optional<instant> ended_at;
    double run_core_s = 0;
    // True run time of each task, by step.
    std::vector<std::vector<milliseconds>> run_times;
};

class fleet final : public coordinator_orders {
public:
    explicit fleet(const overload_options& options)
        : options_(options),
          random_(options.seed),
          jobs_(coordinator_options(options.ordering), time_, *this) {
        rules_[urgent_queue] = rules_of(0, 1.5, milliseconds(250));
        rules_[large_queue] = rules_of(2, 2.0, milliseconds(1'000));
        jobs_.set_queues(rules_);
        for (std::size_t i = 0; i < options.images; ++i) {
            // Between 0.35 and 1.65 of the mean.
            image_factor_.push_back(0.35 + 1.3 * random_.unit());
        }
        for (std::size_t i = 0; i < options.instances; ++i) {
            const instance_name name("m" + std::to_string(i));
            jobs_.instance_claimed(name, idle_executor(name));
        }
    }

    overload_result play() {
        for (milliseconds at{0}; at < 2 * arrivals; at += step_length) {
            if (at < arrivals) {
                const bool is_burst = at >= burst_begin && at < burst_end;
                arrive(options_.urgent_per_s, false);
                arrive(options_.large_per_s * (is_burst ? options_.burst_factor : 1), true);
            }
            repeat_submissions();
            time_.advance(step_length);
            end_runs();
            if (at % forecast_interval == milliseconds(0)) {
                report();
                forecast_ = jobs_.forecast(options_.instances);
            }
            plan();
            if (at >= arrivals && repetitions_.empty() && jobs_.count().jobs == 0) {
                break;
            }
        }
        return result();
    }

    // --- coordinator_orders
    void start(const instance_name& name, const start_order& order) override {
        auto& job = callers_.at(order.task.job);
        const auto run_time = job.run_times[order.task.step][order.task.index];
        runs_.emplace(time_.now() + run_time, run{name, order.task, order.run});
        job.run_core_s +=
            seconds(run_time) *
            static_cast<double>(job.job.spec.steps[order.task.step].demand.processors.value()) /
            1'000;
        accepted_.push_back({name, order.task, order.run});
    }
    // Nothing is stopped: no task fails, and no serving task is disturbed.
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

private:
    struct run {
        instance_name instance;
        task_key task;
        run_number number;
    };

    static coordinator::options coordinator_options(const ordering_rules& ordering) {
        coordinator::options options;
        options.ordering = ordering;
        return options;
    }

    static queue_rules rules_of(int priority, double stretch, milliseconds target) {
        queue_rules rules = default_rules();
        rules.priority = priority;
        rules.stretch = stretch;
        rules.target = target;
        return rules;
    }

    static inventory idle_executor(const instance_name& name) {
        executor_info info;
        info.id = executor_id("executor-" + name.value());
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(32'000), mebibytes(128'000), accelerator_count(0)};
        return {info, {}, {}};
    }

    void arrive(double per_s, bool is_large) {
        if (random_.chance(per_s * seconds(step_length))) {
            submit(make(is_large));
        }
    }

    caller_job make(bool is_large) {
        caller_job made;
        const std::string id = (is_large ? "large" : "urgent") + std::to_string(callers_.size());
        made.is_large = is_large;
        made.submitted_at = time_.now();
        // 1.6 and 2 steps on average; 10 and 20 tasks.
        const auto steps = static_cast<std::uint32_t>(is_large ? 1 + random_.below(3)
                                                               : (random_.chance(0.6) ? 2 : 1));
        const auto tasks =
            static_cast<std::uint32_t>(is_large ? 10 + random_.below(21) : 5 + random_.below(11));
        const auto image = random_.below(options_.images);
        const double mean_s = image_factor_[image] * (is_large ? large_run_s : urgent_run_s);
        const std::int64_t cores = is_large ? large_millicores : urgent_millicores;
        made.job = make_job(id, {steps, tasks, cores, milliseconds(0)});
        made.job.queue = is_large ? large_queue : urgent_queue;
        made.job.rules = rules_.at(made.job.queue);
        const double declared_s = mean_s * (1 + options_.declared_error * (2 * random_.unit() - 1));
        double critical_path_s = 0;
        for (auto& step : made.job.spec.steps) {
            step.image = (is_large ? "large-" : "urgent-") + std::to_string(image);
            step.is_filler = is_large;
            step.estimate = to_ms(declared_s);
            auto& times = made.run_times.emplace_back();
            for (std::uint32_t i = 0; i < tasks; ++i) {
                times.push_back(to_ms(mean_s * (0.8 + 0.4 * random_.unit())));
                made.work_core_s += seconds(times.back()) * static_cast<double>(cores) / 1'000;
            }
            critical_path_s += mean_s;
        }
        made.objective = to_ms(critical_path_s * made.job.rules.stretch) + made.job.rules.target;
        made.benefit =
            is_large ? std::min(4.0, 0.3 + 0.7 * made.work_core_s / mean_large_work) : 0.3;
        return made;
    }

    void submit(caller_job made) {
        const auto id = made.job.id;
        attempt(callers_.emplace(id, std::move(made)).first->second);
    }

    void attempt(caller_job& caller) {
        const auto refused = decide_admission(caller.job, forecast_, options_.refuses_overload);
        if (!refused) {
            caller.is_accepted = true;
            jobs_.add_job(caller.job, milliseconds(0));
            return;
        }
        ++caller.refusals;
        if (caller.refusals <= max_repetitions && refused->retry_after) {
            repetitions_.emplace(time_.now() + *refused->retry_after, caller.job.id);
        }
    }

    void repeat_submissions() {
        while (!repetitions_.empty() && repetitions_.begin()->first <= time_.now()) {
            const auto id = repetitions_.begin()->second;
            repetitions_.erase(repetitions_.begin());
            attempt(callers_.at(id));
        }
    }

    void end_runs() {
        std::map<instance_name, std::vector<finished_task>> finished;
        while (!runs_.empty() && runs_.begin()->first <= time_.now()) {
            const auto ended = runs_.begin()->second;
            runs_.erase(runs_.begin());
            finished[ended.instance].push_back({completion_number(++completions_), ended.task,
                                                ended.number, run_outcome::succeeded, ""});
            touched_.insert(ended.task.job);
        }
        for (const auto& [name, completions] : finished) {
            jobs_.runs_finished(name, executor_incarnation(1), completions);
        }
    }

    void report() {
        for (std::size_t i = 0; i < options_.instances; ++i) {
            jobs_.progress_reported(instance_name("m" + std::to_string(i)), {}, {});
        }
    }

    // Starts are accepted in the step in which they are ordered.
    void plan() {
        jobs_.plan();
        while (jobs_.has_writes()) {
            static_cast<void>(jobs_.begin_write());
            jobs_.write_done();
        }
        for (const auto& started : std::exchange(accepted_, {})) {
            jobs_.start_reported(started.instance, started.task, started.number,
                                 start_outcome::started);
        }
        for (const auto& id : std::exchange(touched_, {})) {
            auto& caller = callers_.at(id);
            if (jobs_.status(id)->phase == job_phase::completed && !caller.ended_at) {
                caller.ended_at = time_.now();
            }
        }
    }

    void count(const caller_job& caller, overload_result& out) const {
        (caller.is_large ? out.large : out.urgent) += 1;
        out.refusals += static_cast<std::size_t>(caller.refusals);
        if (!caller.is_accepted) {
            ++out.refused;
            out.refused_jobs.insert(caller.job.id.value());
            return;
        }
        const auto took = caller.ended_at.value_or(time_.now()) - caller.submitted_at;
        out.longest_s = std::max(out.longest_s, seconds(took));
        const bool is_on_time = caller.ended_at && took <= caller.objective;
        const bool is_late = !is_on_time && caller.ended_at && took <= 3 * caller.objective;
        if (!is_on_time && !is_late) {
            out.too_late += caller.is_large ? 1 : 0;
            out.wasted_core_s += caller.run_core_s;
            return;
        }
        out.served_jobs.insert(caller.job.id.value());
        const double benefit = caller.benefit * (is_on_time ? 1 : 0.15);
        out.benefit += benefit;
        out.large_benefit += caller.is_large ? benefit : 0;
        out.late += caller.is_large && is_late ? 1 : 0;
        (caller.is_large ? out.large_on_time : out.urgent_on_time) += is_on_time ? 1 : 0;
    }

    [[nodiscard]] overload_result result() const {
        overload_result out;
        for (const auto& [id, caller] : callers_) {
            count(caller, out);
        }
        const auto share = [](double& value, std::size_t of) {
            value /= static_cast<double>(std::max<std::size_t>(1, of));
        };
        share(out.large_on_time, out.large);
        share(out.urgent_on_time, out.urgent);
        share(out.benefit, out.large + out.urgent);
        share(out.large_benefit, out.large);
        return out;
    }

    overload_options options_;
    random_source random_;
    manual_clock time_;
    coordinator jobs_;
    std::map<queue_id, queue_rules> rules_;
    std::vector<double> image_factor_;
    std::map<job_id, caller_job> callers_;
    std::multimap<instant, run> runs_;
    std::multimap<instant, job_id> repetitions_;
    std::set<job_id> touched_;
    std::vector<run> accepted_;
    std::uint64_t completions_ = 0;
    fleet_forecast forecast_;
};

}  // namespace

overload_result play_overload(const overload_options& options) {
    return fleet(options).play();
}

std::string to_string(const overload_result& result) {
    return "benefit " + std::to_string(result.benefit) + " (large " +
           std::to_string(result.large_benefit) + "), on time: large " +
           std::to_string(result.large_on_time) + " of " + std::to_string(result.large) +
           ", urgent " + std::to_string(result.urgent_on_time) + " of " +
           std::to_string(result.urgent) + ", late " + std::to_string(result.late) + ", too late " +
           std::to_string(result.too_late) + " (" + std::to_string(result.wasted_core_s) +
           " core-seconds), refused " + std::to_string(result.refused) + " in " +
           std::to_string(result.refusals) + " submissions, longest " +
           std::to_string(result.longest_s) + " s";
}

}  // namespace tanagerpaddle::dispatch::testing
