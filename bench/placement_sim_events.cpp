// Faults, evictions and services of the simulated fleet.

#include <algorithm>
#include <cmath>

#include "placement_sim.hpp"

namespace tanagerpaddle::bench {

namespace {

// The second failure domain is drained, switched off and returned.
constexpr double drain_s = 4'000;
constexpr double gone_s = 4'300;
constexpr double return_s = 6'700;
constexpr double cancel_s = 7'500;
constexpr double cancelled_share = 0.3;
// Checkpoints that the store takes in one step of the simulation (2 s).
constexpr std::size_t checkpoints_per_step = 40;
constexpr double report_every_s = 6;
constexpr double report_lag_s = 10;
constexpr double held_after_eviction_s = 300;
constexpr double base_p99_us = 20'000;
constexpr std::size_t evictions_per_step = 4;

std::string prefix_of(const job_id& id) {
    return id.value().substr(0, id.value().find('-'));
}

}  // namespace

void simulation::drain_and_return() {
    const failure_domain_id domain("d1");
    const auto is_in = [&](const sim_worker& worker) { return worker.view.domain == domain; };
    if (drain_step_ == 0 && time_s_ >= drain_s) {
        drain_step_ = 1;
        for (auto& worker : workers_) {
            worker.is_drained = worker.is_drained || is_in(worker);
        }
        evacuation_.on_domain_drained(domain);
    } else if (drain_step_ == 1 && time_s_ >= gone_s) {
        drain_step_ = 2;
        for (const auto i : running_) {
            auto& task = work_.tasks[i];
            if (task.state == sim_state::running && is_in(workers_[task.worker])) {
                stop(task, false);
                ++sums_.evictions;
            }
        }
    } else if (drain_step_ == 2 && time_s_ >= return_s) {
        drain_step_ = 3;
        for (auto& worker : workers_) {
            worker.is_drained = worker.is_drained && !is_in(worker);
        }
        evacuation_.on_domain_returned(domain, now());
    }
}

void simulation::cancel_wave() {
    if (has_cancelled_ || time_s_ < cancel_s) {
        return;
    }
    has_cancelled_ = true;
    for (auto& job : work_.jobs) {
        const bool is_chosen = random_.chance(cancelled_share);
        if (is_chosen && job.submitted_s <= time_s_ && job.finished_s < 0 && !job.has_failed) {
            job.is_cancelled = true;
            end_job(job);
        }
    }
}

running_task simulation::running_view(const sim_task& task) const {
    const auto& job = work_.jobs[task.job];
    running_task view;
    view.job = job.id;
    view.index = task.index;
    view.team = job.team;
    view.worker = workers_[task.worker].view.id;
    view.demand = task.demand;
    view.priority = job.is_urgent ? job_priority::urgent : job_priority::normal;
    view.complete_by = utc_at(job.due_s);
    view.remaining_run_time = remaining(task);
    // An eviction that is announced writes a checkpoint first.
    view.unsaved_work = milliseconds(0);
    view.evicted_at = task.evicted_s < 0 ? utc_millis(0) : utc_at(task.evicted_s);
    return view;
}

void simulation::evict(const eviction& chosen) {
    for (const auto i : running_) {
        auto& task = work_.tasks[i];
        if (task.state == sim_state::running && task.index == chosen.index &&
            work_.jobs[task.job].id == chosen.job) {
            stop(task, true);
            ++sums_.evictions;
            return;
        }
    }
}

void simulation::evacuate() {
    if (drain_step_ != 1) {
        return;
    }
    std::vector<running_task> leaving;
    std::vector<std::size_t> numbers;
    for (const auto i : running_) {
        const auto& task = work_.tasks[i];
        if (task.state == sim_state::running && workers_[task.worker].is_drained) {
            leaving.push_back(running_view(task));
            numbers.push_back(i);
        }
    }
    if (!policy_.has_evacuation) {
        // Baseline: everything is stopped at once; checkpoints beyond the budget are not written.
        for (std::size_t n = 0; n < numbers.size(); ++n) {
            stop(work_.tasks[numbers[n]], n < checkpoints_per_step);
            ++sums_.evictions;
        }
        return;
    }
    std::vector<worker_view> elsewhere;
    for (const auto& worker : workers_) {
        elsewhere.push_back(worker.view);
        elsewhere.back().accepts_work = !worker.is_drained;
    }
    for (const auto& move :
         evacuation_.next_moves(leaving, elsewhere, {}, utc_at(time_s_), now())) {
        evict(move);
    }
}

void simulation::preempt() {
    if (!policy_.has_preemption) {
        return;
    }
    std::vector<std::size_t> tasks;
    const auto input = planner_input(tasks);
    std::vector<running_task> running;
    for (const auto i : running_) {
        if (work_.tasks[i].state == sim_state::running) {
            running.push_back(running_view(work_.tasks[i]));
        }
    }
    std::size_t done = 0;
    for (std::size_t n = 0; n < input.tasks.size() && done < evictions_per_step; ++n) {
        const auto& task = input.tasks[n];
        if (task.priority != job_priority::urgent) {
            continue;
        }
        const auto chosen =
            preemption_.select_victims(task, input.workers, running, input.teams, input.now);
        if (chosen.empty()) {
            continue;
        }
        for (const auto& victim : chosen) {
            evict(victim);
            ++done;
        }
        const auto found = std::find_if(workers_.begin(), workers_.end(), [&](const sim_worker& w) {
            return w.view.id == chosen[0].worker;
        });
        start(tasks[n], static_cast<std::size_t>(found - workers_.begin()));
        break;
    }
}

// Expected slowdown of the services by the batch work on the worker at full speed, so that room
// made by throttling is not filled with more work of the same kind.
double simulation::slowdown_of(std::size_t worker) const {
    double product = 1;
    for (const auto i : running_) {
        const auto& task = work_.tasks[i];
        if (task.state == sim_state::running && task.worker == worker) {
            product *= 1 + model_.slowdown(class_of(task).prefix, service_id("quotes"),
                                           task.demand.processors);
        }
    }
    return product - 1;
}

void simulation::measure_latency() {
    if (std::fmod(time_s_, report_every_s) >= 2) {
        return;
    }
    for (std::size_t w = 0; w < workers_.size(); ++w) {
        if (workers_[w].is_drained) {
            continue;
        }
        auto& load = workers_[w].load;
        load = std::clamp(load + 0.1 * (random_.unit() - 0.5), 0.2, 0.9);
        double effect = 0;
        std::map<std::string, std::int64_t> uses;
        for (const auto i : running_) {
            const auto& task = work_.tasks[i];
            if (task.state == sim_state::running && task.worker == w) {
                const auto use = task.demand.processors.value() * task.speed / 100;
                effect += class_of(task).effect_per_core * static_cast<double>(use) / 1'000;
                uses[class_of(task).prefix] += use;
            }
        }
        const double base = base_p99_us * (1 + load);
        const double measured = base * std::exp(effect) * (0.9 + 0.2 * random_.unit());
        ratios_.push_back(measured / base);
        report next{time_s_ + report_lag_s, w, {}};
        next.sample = {service_id("quotes"), static_cast<std::int64_t>(measured), load, {}};
        for (const auto& [job_class, use] : uses) {
            next.sample.class_usage.emplace_back(job_class, millicores(use));
        }
        reports_.push_back(std::move(next));
    }
}

void simulation::deliver_reports() {
    while (!reports_.empty() && reports_.front().due_s <= time_s_) {
        const auto next = reports_.front();
        reports_.pop_front();
        model_.add_sample(next.sample);
        std::vector<batch_load> loads;
        for (const auto i : running_) {
            const auto& task = work_.tasks[i];
            if (task.state == sim_state::running && task.worker == next.worker) {
                const auto& id = work_.jobs[task.job].id;
                loads.push_back({id, task.index, prefix_of(id),
                                 millicores(task.demand.processors.value() * task.speed / 100),
                                 task.speed});
            }
        }
        for (const auto& action :
             controller_.decide(workers_[next.worker].view.id, next.sample, loads, model_, now())) {
            act(action);
        }
    }
}

void simulation::act(const interference_action& action) {
    for (const auto i : running_) {
        auto& task = work_.tasks[i];
        if (task.state != sim_state::running || task.index != action.index ||
            work_.jobs[task.job].id != action.job) {
            continue;
        }
        if (action.step == interference_step::throttle ||
            action.step == interference_step::restore) {
            sums_.throttles += action.step == interference_step::throttle ? 1 : 0;
            task.speed = action.speed_percent;
            return;
        }
        ++sums_.evictions;
        stop(task, true);
        if (action.step == interference_step::evict) {
            task.held_until_s = time_s_ + held_after_eviction_s;
        }
        task.avoided.push_back(action.worker);
        return;
    }
}

}  // namespace tanagerpaddle::bench
