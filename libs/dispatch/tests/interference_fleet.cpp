#include "interference_fleet.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
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
constexpr std::int64_t capacity_millicores = 64'000;
// A serving task reserves four fifths of its instance.
constexpr std::int64_t serving_millicores = 51'000;
constexpr std::int64_t filler_millicores = 7'000;

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
};

struct machine {
    instance_name name;
    // Of the swing of each serving process, in turns.
    std::array<double, 4> phases{};
    std::vector<run> runs;
    std::vector<finished_task> finished;
    std::uint64_t completions = 0;
    interference_pacer pacer;
    double tail_ms = 0;
    std::map<std::string, double> used_millicores;
};

struct job_times {
    instant submitted;
    double longest_run_s = 0;
    std::vector<double> ends_s;
};

class fleet final : public coordinator_orders {
public:
    explicit fleet(const fleet_options& options)
        : options_(options),
          random_(options.seed),
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
        for (std::size_t i = 0; i < options.instances; ++i) {
            jobs_.add_job(serving_job(i), milliseconds(0));
            plan();
        }
    }

    fleet_result play(milliseconds length) {
        for (milliseconds at{0}; at < 2 * length; at += step_length) {
            const bool is_burst = at >= burst_begin && at < burst_end;
            const double rate = options_.jobs_per_s * (is_burst ? options_.burst_factor : 1);
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
                ++moves_;
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

    static inventory idle_executor(const instance_name& name) {
        executor_info info;
        info.id = executor_id("executor-" + name.value());
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.domain = failure_domain_id("domain");
        info.capacity = {millicores(capacity_millicores), mebibytes(256'000), accelerator_count(0)};
        return {info, {}, {}};
    }

    submitted_job serving_job(std::size_t i) {
        auto job = make_job("serve" + std::to_string(i),
                            {1, 1, serving_millicores, milliseconds(60'000), true});
        auto& step = job.spec.steps.front();
        step.image = serving_image(i % options_.serving_images);
        step.tail_target = target;
        return job;
    }

    void submit() {
        const std::string id = "job" + std::to_string(times_.size());
        auto job = make_job(
            id, {1, options_.tasks_per_job, filler_millicores, milliseconds(1'700), false});
        auto& step = job.spec.steps.front();
        step.image = filler_image(random_.below(options_.filler_images));
        step.is_filler = true;
        step.writes_checkpoints = true;
        auto& times = times_[job.id];
        times.submitted = time_.now();
        for (std::uint32_t i = 0; i < options_.tasks_per_job; ++i) {
            const double work_s = 0.8 + 2.4 * random_.unit();
            work_of_[{job.id, 0, 0, i}] = work_s;
            times.longest_run_s = std::max(times.longest_run_s, work_s);
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

    [[nodiscard]] double own_load(double phase) const {
        const double turns =
            seconds(std::chrono::duration_cast<milliseconds>(time_.now().time_since_epoch())) /
                seconds(options_.swing_period) +
            phase;
        return options_.mean_load *
               (1 + options_.load_swing * std::sin(2 * std::numbers::pi * turns));
    }

    [[nodiscard]] int pace_of(const machine& on, const std::string& image) const {
        const auto& paces = on.pacer.pace_percents();
        const auto found = paces.find(image);
        return found == paces.end() ? 100 : found->second;
    }

    void advance(machine& on) {
        // The slowest process determines the tail, all of them the processors in use.
        double utilisation = 0;
        double mean_load = 0;
        std::string serving;
        for (const auto& current : on.runs) {
            serving = current.is_filler ? serving : current.image;
        }
        for (const double phase : on.phases) {
            const double load = serving.empty() ? 0 : own_load(phase);
            utilisation = std::max(utilisation, load);
            mean_load += load / static_cast<double>(on.phases.size());
        }
        double wanted = 0;
        for (const auto& current : on.runs) {
            wanted +=
                current.is_filler ? pace_of(on, current.image) / 100.0 * filler_millicores : 0;
        }
        const double left = capacity_millicores - mean_load * serving_millicores;
        const double share = wanted > left ? left / wanted : 1;
        on.used_millicores.clear();
        for (auto& current : on.runs) {
            if (!current.is_filler) {
                continue;
            }
            const double rate = share * pace_of(on, current.image) / 100.0;
            current.done_s += rate * seconds(step_length);
            on.used_millicores[current.image] += rate * filler_millicores;
            if (!serving.empty()) {
                utilisation += pressure_.at(serving).at(current.image) * rate * filler_millicores /
                               capacity_millicores;
            }
        }
        on.tail_ms = idle_tail_ms / (1 - std::min(utilisation, 0.98));
        over_steps_ += !serving.empty() && on.tail_ms > static_cast<double>(target.count()) ? 1 : 0;
        ++steps_;
        end_runs(on);
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
            on.finished.push_back({completion_number(++on.completions), current.task,
                                   current.number,
                                   is_done ? run_outcome::succeeded : run_outcome::stopped,
                                   std::to_string(current.done_s)});
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
        sample.capacity = millicores(capacity_millicores);
        std::map<std::string, std::int64_t> demand;
        std::vector<running_task> running;
        for (const auto& current : on.runs) {
            if (current.is_filler) {
                demand[current.image] += filler_millicores;
            } else {
                sample.serving_tasks.push_back(
                    {current.image, target, milliseconds(std::lround(on.tail_ms))});
            }
            const double share = current.is_filler ? current.done_s / current.work_s : 1;
            running.push_back({current.task, current.number, "",
                               static_cast<int>(100 * std::min(1.0, share)), 0});
        }
        for (const auto& [image, millicores_wanted] : demand) {
            sample.fillers.push_back({image, millicores(std::lround(on.used_millicores[image])),
                                      millicores(millicores_wanted)});
        }
        jobs_.progress_reported(on.name, running, sample);
        on.pacer.update(jobs_.interference(), sample, time_.now());
    }

    [[nodiscard]] std::size_t open_jobs() const {
        return static_cast<std::size_t>(
            std::count_if(times_.begin(), times_.end(), [&](const auto& entry) {
                return entry.second.ends_s.size() < options_.tasks_per_job;
            }));
    }

    [[nodiscard]] fleet_result result() const {
        fleet_result out;
        std::vector<double> ratios;
        for (const auto& [id, times] : times_) {
            if (times.ends_s.size() < options_.tasks_per_job) {
                continue;
            }
            out.on_time += times.ends_s.back() <= 2 * times.longest_run_s + 1 ? 1 : 0;
            ratios.push_back(times.ends_s.back() / times.ends_s[times.ends_s.size() * 4 / 5]);
        }
        out.jobs = times_.size();
        out.on_time /= static_cast<double>(std::max<std::size_t>(1, out.jobs));
        out.over_target = static_cast<double>(over_steps_) / static_cast<double>(steps_);
        out.moves = moves_;
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
    manual_clock time_;
    coordinator jobs_;
    std::vector<machine> machines_;
    std::map<instance_name, std::size_t> index_;
    std::map<std::string, std::map<std::string, double>> pressure_;
    std::map<task_key, double> work_of_;
    std::map<job_id, job_times> times_;
    std::vector<accepted_start> accepted_;
    std::size_t moves_ = 0;
    std::size_t over_steps_ = 0;
    std::size_t steps_ = 0;
};

}  // namespace

fleet_result play_fleet(const fleet_options& options, milliseconds length) {
    return fleet(options).play(length);
}

}  // namespace tanagerpaddle::dispatch::testing
