#include "interference_fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <optional>
#include <utility>

#include "world.hpp"

namespace tanagerpaddle::dispatch::testing {

namespace {

constexpr milliseconds step_length{100};
constexpr milliseconds sample_interval{500};
constexpr milliseconds stop_time{300};
constexpr milliseconds target{150};
constexpr milliseconds burst_begin{12'000};
constexpr milliseconds burst_end{18'000};
constexpr double min_pressure = 0.3;
constexpr double idle_tail_ms = 25;
// Difference of phase between the serving tasks of an instance, in turns.
constexpr double phase_shift = 0.37;
// Speed below which a filler counts as throttled.
constexpr double throttled_rate = 0.3;
// The own load of a serving task stays below what its target allows.
constexpr double max_own_load = 0.8;
// Jobs that end later than this multiple of their objective are of no benefit.
constexpr double late_objective_factor = 3;
constexpr double late_benefit = 0.15;

coordinator::options coordinator_options(const filler_rules& rules) {
    coordinator::options options;
    options.fillers = rules;
    return options;
}

double seconds(milliseconds time) {
    return std::chrono::duration<double>(time).count();
}

struct run {
    task_key task;
    run_number number;
    std::string image;
    bool is_filler = false;
    // Seconds of work at full pace that are done and needed.
    double done_s = 0;
    double work_s = 0;
    bool is_stopping = false;
    instant stops_at;
    // The pace in effect, and the ordered one with the time from which it is.
    double pace = 1;
    double ordered_pace = 1;
    instant paced_at;
    // Of a serving task: since when it has been over its target.
    std::optional<instant> over_since;
    double utilisation = 0;
    double tail_ms = 0;
    double used_millicores = 0;
};

struct machine {
    instance_name name;
    // Of the swing of each serving process, in turns.
    std::array<double, 4> phases{};
    std::vector<run> runs;
    std::vector<finished_task> finished;
    std::uint64_t completions = 0;
    interference_pacer pacer;
};

struct job_times {
    instant submitted;
    // Sum over the steps of the longest run time of a task.
    double longest_run_s = 0;
    std::vector<double> ends_s;

    [[nodiscard]] double objective_s() const { return 2 * longest_run_s + 1; }
};

class fleet final : public coordinator_orders {
public:
    explicit fleet(const fleet_options& options)
        : options_(options),
          random_(options.seed),
          errors_(options.seed),
          jobs_(coordinator_options(options.rules), time_, *this) {
        jobs_.set_queues({{queue_id("queue"), default_rules()}});
        for (std::size_t s = 0; s < options.serving_images; ++s) {
            for (std::size_t f = 0; f < options.filler_images; ++f) {
                pressure_[serving_image(s)][filler_image(f)] =
                    random_.chance(options.heavy_share)
                        ? min_pressure + (options.max_pressure - min_pressure) * random_.unit()
                        : 0;
            }
        }
        for (std::size_t i = 0; i < options.instances; ++i) {
            auto& added = machines_.emplace_back();
            added.name = instance_name("m" + std::to_string(i));
            for (auto& phase : added.phases) {
                phase = random_.unit();
            }
            index_[added.name] = i;
            jobs_.instance_claimed(added.name, idle_executor(added.name));
        }
        const bool has_wide_jobs = options.serving_jobs > 0;
        for (std::size_t i = 0; i < (has_wide_jobs ? options.serving_jobs : options.instances);
             ++i) {
            jobs_.add_job(serving_job(i), milliseconds(0));
            plan();
        }
    }

    fleet_result play(milliseconds length) {
        for (milliseconds at{0}; at < 2 * length; at += step_length) {
            const double rate = options_.jobs_per_s * (is_burst(at) ? options_.burst_factor : 1);
            if (at < length && random_.chance(rate * seconds(step_length))) {
                submit();
            }
            time_.advance(step_length);
            for (std::size_t i = 0; i < machines_.size(); ++i) {
                advance(machines_[i]);
                if ((at / step_length + static_cast<std::int64_t>(i)) %
                        (sample_interval / step_length) ==
                    0) {
                    report(machines_[i]);
                }
            }
            plan();
            if (at >= length && jobs_.count().waiting_tasks == 0 && open_jobs() == 0) {
                break;
            }
        }
        return result();
    }

    // --- coordinator_orders
    void start(const instance_name& name, const start_order& order) override {
        run started;
        started.task = order.task;
        started.number = order.run;
        started.image = order.traits.image;
        started.is_filler = order.traits.is_filler;
        started.work_s = started.is_filler ? work_of_[order.task] : 0;
        started.done_s = order.checkpoint.empty() ? 0 : std::stod(order.checkpoint);
        machines_[index_.at(name)].runs.push_back(started);
        accepted_.push_back({name, order.task, order.run});
    }
    void stop(const instance_name& name, const task_key& task, run_number number) override {
        for (auto& current : machines_[index_.at(name)].runs) {
            if (current.task == task && current.number == number && !current.is_stopping) {
                current.is_stopping = true;
                current.stops_at = time_.now() + stop_time;
                result_.moves += current.is_filler ? 1 : 0;
            }
        }
    }
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}

private:
    struct accepted_start {
        instance_name instance;
        task_key task;
        run_number number;
    };

    static std::string serving_image(std::size_t i) { return "serving-" + std::to_string(i); }
    static std::string filler_image(std::size_t i) { return "filler-" + std::to_string(i); }

    [[nodiscard]] inventory idle_executor(const instance_name& name) const {
        executor_info info;
        info.id = executor_id("executor-" + name.value());
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(options_.capacity_millicores), mebibytes(256'000),
                         accelerator_count(0)};
        return {info, {}, {}};
    }

    [[nodiscard]] bool is_burst(milliseconds at) const {
        const auto since_first = at - burst_begin;
        const auto since = options_.burst_period.count() > 0 && since_first.count() > 0
                               ? since_first % options_.burst_period
                               : since_first;
        return since.count() >= 0 && since < burst_end - burst_begin;
    }

    submitted_job serving_job(std::size_t i) {
        const bool is_wide = options_.serving_jobs > 0;
        auto job = make_job("serve" + std::to_string(i),
                            {1, is_wide ? options_.tasks_per_serving_job : 1,
                             options_.serving_millicores, milliseconds(60'000), true});
        auto& step = job.spec.steps.front();
        step.image = serving_image(i % options_.serving_images);
        step.tail_target = target;
        step.max_per_executor = is_wide ? 1 : 0;
        return job;
    }

    void submit() {
        const std::string id = "job" + std::to_string(times_.size());
        auto estimate = options_.estimate;
        if (options_.estimate_error > 0) {
            const double factor = 1 + options_.estimate_error * (2 * random_.unit() - 1);
            estimate = milliseconds(std::lround(static_cast<double>(estimate.count()) * factor));
        }
        auto job = make_job(id, {options_.steps_per_job, options_.tasks_per_job,
                                 options_.filler_millicores, estimate, false});
        const auto image = filler_image(random_.below(options_.filler_images));
        const bool writes_checkpoints =
            options_.checkpointing_share >= 1 || random_.chance(options_.checkpointing_share);
        for (auto& step : job.spec.steps) {
            step.image = image;
            step.is_filler = true;
            step.writes_checkpoints = writes_checkpoints;
        }
        writes_checkpoints_[job.id] = writes_checkpoints;
        auto& times = times_[job.id];
        times.submitted = time_.now();
        for (std::uint32_t s = 0; s < options_.steps_per_job; ++s) {
            double longest_s = 0;
            for (std::uint32_t i = 0; i < options_.tasks_per_job; ++i) {
                const double work_s = options_.min_work_s +
                                      (options_.max_work_s - options_.min_work_s) * random_.unit();
                work_of_[{job.id, 0, s, i}] = work_s;
                longest_s = std::max(longest_s, work_s);
            }
            times.longest_run_s += longest_s;
        }
        jobs_.add_job(job, milliseconds(0));
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
    }

    static double wrap(double turns) { return turns - std::floor(turns); }

    [[nodiscard]] double own_load(double phase) const {
        const double turns =
            seconds(std::chrono::duration_cast<milliseconds>(time_.now().time_since_epoch())) /
                seconds(options_.swing_period) +
            phase;
        const double mean =
            options_.mean_load * (1 + options_.load_spread * (2 * wrap(7 * phase) - 1));
        return std::min(max_own_load,
                        mean * (1 + options_.load_swing * std::sin(2 * std::numbers::pi * turns)));
    }

    // Sets the utilisation of the serving tasks by their own load; returns the processors that
    // they use. The slowest process of a task determines its tail, all of them its use.
    double load_serving_tasks(machine& on) const {
        double used = 0;
        double shift = 0;
        for (auto& current : on.runs) {
            if (current.is_filler) {
                continue;
            }
            current.utilisation = 0;
            for (const double phase : on.phases) {
                const double load = own_load(phase + shift);
                current.utilisation = std::max(current.utilisation, load);
                used += load * static_cast<double>(options_.serving_millicores) /
                        static_cast<double>(on.phases.size());
            }
            shift += phase_shift;
        }
        return used;
    }

    void advance(machine& on) {
        const double left =
            static_cast<double>(options_.capacity_millicores) - load_serving_tasks(on);
        const auto demand = static_cast<double>(options_.filler_millicores);
        double wanted = 0;
        for (auto& current : on.runs) {
            if (time_.now() >= current.paced_at) {
                current.pace = current.ordered_pace;
            }
            wanted += current.is_filler ? current.pace * demand : 0;
        }
        const double share = wanted > left ? left / wanted : 1;
        for (auto& current : on.runs) {
            if (!current.is_filler) {
                continue;
            }
            const double rate = share * current.pace;
            current.done_s += rate * seconds(step_length);
            current.used_millicores = rate * demand;
            result_.throttled_s += rate < throttled_rate ? seconds(step_length) : 0;
            for (auto& serving : on.runs) {
                if (!serving.is_filler) {
                    serving.utilisation += pressure_.at(serving.image).at(current.image) *
                                           current.used_millicores /
                                           static_cast<double>(options_.capacity_millicores);
                }
            }
        }
        measure_serving_tasks(on);
        end_runs(on);
    }

    void measure_serving_tasks(machine& on) {
        for (auto& current : on.runs) {
            if (current.is_filler) {
                continue;
            }
            current.tail_ms = idle_tail_ms / (1 - std::min(current.utilisation, 0.98));
            ++steps_;
            if (current.tail_ms <= static_cast<double>(target.count())) {
                current.over_since.reset();
                continue;
            }
            ++over_steps_;
            current.over_since = current.over_since.value_or(time_.now() - step_length);
            result_.longest_over_target = std::max(
                result_.longest_over_target,
                std::chrono::duration_cast<milliseconds>(time_.now() - *current.over_since));
        }
    }

    void end_runs(machine& on) {
        std::vector<run> alive;
        for (const auto& current : on.runs) {
            const bool is_done = current.is_filler && current.done_s >= current.work_s;
            const bool is_stopped = current.is_stopping && time_.now() >= current.stops_at;
            if (!is_done && !is_stopped) {
                alive.push_back(current);
                continue;
            }
            const bool keeps_work = current.is_filler && writes_checkpoints_[current.task.job];
            on.finished.push_back({completion_number(++on.completions), current.task,
                                   current.number,
                                   is_done ? run_outcome::succeeded : run_outcome::stopped,
                                   keeps_work ? std::to_string(current.done_s) : ""});
            result_.lost_s += is_done || keeps_work ? 0 : current.done_s;
            if (is_done) {
                auto& times = times_.at(current.task.job);
                times.ends_s.push_back(seconds(
                    std::chrono::duration_cast<milliseconds>(time_.now() - times.submitted)));
            }
        }
        on.runs = std::move(alive);
        if (!on.finished.empty()) {
            jobs_.runs_finished(on.name, executor_incarnation(1), std::exchange(on.finished, {}));
        }
    }

    void report(machine& on) {
        interference_sample sample;
        sample.capacity = millicores(options_.capacity_millicores);
        std::map<std::string, interference_sample::serving> serving;
        std::map<std::string, interference_sample::filler> fillers;
        std::vector<running_task> running;
        for (const auto& current : on.runs) {
            const auto tail = milliseconds(std::lround(current.tail_ms * measurement_error()));
            const auto used = std::lround(current.used_millicores);
            if (current.is_filler) {
                auto& of_image = fillers[current.image];
                of_image.image = current.image;
                of_image.used = millicores(of_image.used.value() + used);
                of_image.demand = millicores(of_image.demand.value() + options_.filler_millicores);
            } else {
                auto& of_image = serving[current.image];
                of_image = {current.image, target, std::max(of_image.tail, tail)};
            }
            const double share = current.is_filler ? current.done_s / current.work_s : 1;
            const bool has_checkpoint =
                current.is_filler && writes_checkpoints_[current.task.job] && current.done_s > 0;
            running.push_back({current.task, current.number,
                               has_checkpoint ? std::to_string(current.done_s) : "",
                               static_cast<int>(100 * std::min(1.0, share)),
                               current.is_filler ? used : tail.count()});
        }
        for (const auto& [image, measured] : serving) {
            sample.serving_tasks.push_back(measured);
        }
        for (const auto& [image, measured] : fillers) {
            sample.fillers.push_back(measured);
        }
        jobs_.progress_reported(on.name, running, sample);
        set_paces(on, on.pacer.update(jobs_.interference(), sample, time_.now()));
    }

    void set_paces(machine& on, const std::map<std::string, int>& percents) {
        for (auto& current : on.runs) {
            if (current.is_filler) {
                set_pace(current, percents.at(current.image) / 100.0);
            }
        }
    }

    double measurement_error() {
        return options_.tail_error > 0 ? 1 + options_.tail_error * (2 * errors_.unit() - 1) : 1;
    }

    void set_pace(run& current, double pace) {
        if (pace != current.ordered_pace) {
            ++result_.pace_orders;
            current.pace = time_.now() >= current.paced_at ? current.ordered_pace : current.pace;
            current.ordered_pace = pace;
            current.paced_at = time_.now() + options_.pace_delay;
        }
    }

    [[nodiscard]] std::size_t tasks_of_job() const {
        return std::size_t{options_.steps_per_job} * options_.tasks_per_job;
    }

    [[nodiscard]] std::size_t open_jobs() const {
        return static_cast<std::size_t>(std::count_if(
            times_.begin(), times_.end(),
            [&](const auto& entry) { return entry.second.ends_s.size() < tasks_of_job(); }));
    }

    [[nodiscard]] fleet_result result() const {
        fleet_result out = result_;
        std::vector<double> ratios;
        for (const auto& [id, times] : times_) {
            if (times.ends_s.size() < tasks_of_job()) {
                continue;
            }
            const double objective_s = times.objective_s();
            const bool is_on_time = times.ends_s.back() <= objective_s;
            out.on_time += is_on_time ? 1 : 0;
            out.benefit += is_on_time ? 1
                           : times.ends_s.back() <= late_objective_factor * objective_s
                               ? late_benefit
                               : 0;
            ratios.push_back(times.ends_s.back() / times.ends_s[times.ends_s.size() * 4 / 5]);
        }
        out.jobs = times_.size();
        out.on_time /= static_cast<double>(std::max<std::size_t>(1, out.jobs));
        out.benefit /= static_cast<double>(std::max<std::size_t>(1, out.jobs));
        out.over_target = static_cast<double>(over_steps_) / static_cast<double>(steps_);
        if (!ratios.empty()) {
            std::nth_element(ratios.begin(),
                             ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2),
                             ratios.end());
            out.straggler_ratio = ratios[ratios.size() / 2];
        }
        return out;
    }

    fleet_options options_;
    random_source random_;
    // Of its own, so that different rules play against the same arrivals.
    random_source errors_;
    manual_clock time_;
    coordinator jobs_;
    std::vector<machine> machines_;
    std::map<instance_name, std::size_t> index_;
    std::map<std::string, std::map<std::string, double>> pressure_;
    std::map<task_key, double> work_of_;
    std::map<job_id, job_times> times_;
    std::vector<accepted_start> accepted_;
    fleet_result result_;
    std::map<job_id, bool> writes_checkpoints_;
    std::size_t over_steps_ = 0;
    std::size_t steps_ = 0;
};

}  // namespace

fleet_result play_fleet(const fleet_options& options, milliseconds length) {
    return fleet(options).play(length);
}

}  // namespace tanagerpaddle::dispatch::testing
