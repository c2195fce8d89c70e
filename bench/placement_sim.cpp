#include "placement_sim.hpp"

#include <algorithm>
#include <cmath>

namespace tanagerpaddle::bench {

namespace {

constexpr double step_s = 2;
constexpr double end_s = 14'400;
constexpr double checkpoint_s = 300;
constexpr double bad_worker_fails_after_s = 20;
constexpr std::uint32_t most_failures = 8;
constexpr double urgent_start_s = 3;
constexpr double quota_share = 0.3;  // of the fleet, for each of four teams

double cores(const resources& amount) {
    return static_cast<double>(amount.processors.value()) / 1'000;
}

milliseconds to_ms(double seconds) {
    return milliseconds(static_cast<std::int64_t>(seconds * 1'000));
}

}  // namespace

simulation::simulation(const deployment& place, const policy& choice, std::uint64_t seed)
    : place_(place),
      policy_(choice),
      random_(seed + 1'000),
      work_(make_workload(place, seed)),
      controller_(
          {.mode = choice.mode, .high_latency_ratio = place.high, .low_latency_ratio = place.low}) {
    int number = 0;
    for (std::size_t d = 0; d < place_.workers_of_domain.size(); ++d) {
        for (int i = 0; i < place_.workers_of_domain[d]; ++i, ++number) {
            sim_worker worker;
            worker.view.id = worker_id("w" + std::to_string(number));
            worker.view.domain = failure_domain_id("d" + std::to_string(d));
            worker.view.rack = rack_id("r" + std::to_string(number / 3));
            worker.view.capacity = place_.capacity;
            // Every third worker has accelerators.
            worker.view.capacity.accelerators = accelerator_count(number % 3 == 0 ? 4 : 0);
            worker.view.free = worker.view.capacity - place_.reserved;
            workers_.push_back(worker);
        }
    }
    bad_worker_ = workers_.size() - 1;
    quarantine_.set_fleet_size(workers_.size());
    if (policy_.has_deadline_order) {
        strategy_ = std::make_unique<deadline_placement>(policy_.options);
    } else {
        strategy_ = std::make_unique<first_fit_placement>();
    }
}

metrics simulation::run() {
    for (; time_s_ < end_s; time_s_ += step_s, clock_.advance(to_ms(step_s))) {
        arrive();
        drain_and_return();
        cancel_wave();
        progress();
        measure_latency();
        deliver_reports();
        evacuate();
        place();
        preempt();
        note_idle();
    }
    return summary();
}

utc_millis simulation::utc_at(double seconds) const {
    return utc_millis(1'700'000'000'000 + to_ms(seconds).count());
}

const job_class& simulation::class_of(const sim_task& task) const {
    return place_.classes[work_.jobs[task.job].job_class];
}

milliseconds simulation::remaining(const sim_task& task) const {
    const auto& job = work_.jobs[task.job];
    const double share = task.done_s / task.work_s;
    if (policy_.has_estimates) {
        return estimator_.estimate_remaining(job.id, job.team, to_ms(job.declared_s),
                                             to_ms(task.run_s), share);
    }
    return to_ms(std::max(0.0, job.declared_s - task.run_s));
}

void simulation::arrive() {
    for (std::size_t i = 0; i < work_.tasks.size(); ++i) {
        auto& task = work_.tasks[i];
        const auto& job = work_.jobs[task.job];
        if (task.state == sim_state::future && job.submitted_s <= time_s_) {
            task.state = sim_state::pending;
            pending_.push_back(i);
        }
    }
}

void simulation::progress() {
    const auto running = running_;
    for (const auto i : running) {
        auto& task = work_.tasks[i];
        if (task.state != sim_state::running) {
            continue;
        }
        task.run_s += step_s * task.speed / 100;  // at full speed
        task.done_s += step_s * task.speed / 100;
        if (task.done_s - task.saved_s >= checkpoint_s) {
            task.saved_s = task.done_s;
        }
        if (task.worker == bad_worker_ && time_s_ - task.placed_s >= bad_worker_fails_after_s) {
            fail(task);
        } else if (task.done_s >= task.work_s) {
            finish(task);
        }
    }
    std::erase_if(running_,
                  [&](std::size_t i) { return work_.tasks[i].state != sim_state::running; });
}

void simulation::finish(sim_task& task) {
    auto& job = work_.jobs[task.job];
    workers_[task.worker].view.free += task.demand;
    task.state = sim_state::ended;
    sums_.core_hours += task.work_s * cores(task.demand) / 3'600;
    estimator_.record_completion(job.id, job.team, to_ms(job.declared_s), to_ms(task.run_s));
    quarantine_.record_result(workers_[task.worker].view.id, job.id, false, now());
    if (--job.unfinished == 0) {
        job.finished_s = time_s_;
    }
}

void simulation::fail(sim_task& task) {
    auto& job = work_.jobs[task.job];
    ++sums_.failures;
    ++task.failures;
    quarantine_.record_result(workers_[task.worker].view.id, job.id, true, now());
    task.avoided.push_back(workers_[task.worker].view.id);
    stop(task, false);
    if (task.failures >= most_failures) {
        job.has_failed = true;
        end_job(job);
    }
}

// Back to the queue, from the present state with a checkpoint, else from the last one.
void simulation::stop(sim_task& task, bool has_checkpoint) {
    workers_[task.worker].view.free += task.demand;
    if (has_checkpoint) {
        task.saved_s = task.done_s;
    }
    sums_.lost_core_hours += (task.done_s - task.saved_s) * cores(task.demand) / 3'600;
    task.done_s = task.saved_s;
    task.state = sim_state::pending;
    task.speed = 100;
    task.evicted_s = time_s_;
    pending_.push_back(static_cast<std::size_t>(&task - work_.tasks.data()));
}

void simulation::end_job(sim_job& job) {
    const auto number = static_cast<std::size_t>(&job - work_.jobs.data());
    for (auto& task : work_.tasks) {
        if (task.job != number) {
            continue;
        }
        if (task.state == sim_state::running) {
            workers_[task.worker].view.free += task.demand;
        }
        task.state = sim_state::ended;
    }
}

placement_input simulation::planner_input(std::vector<std::size_t>& tasks) {
    placement_input input;
    input.now = utc_at(time_s_);
    input.teams = shares();
    for (std::size_t w = 0; w < workers_.size(); ++w) {
        auto view = workers_[w].view;
        const auto state = quarantine_.state(view.id, now());
        const bool is_open = !policy_.has_quarantine || state == quarantine_state::in_service;
        view.accepts_work = is_open && !workers_[w].is_drained;
        view.interference = policy_.has_interference_cost ? slowdown_of(w) : 0;
        input.workers.push_back(std::move(view));
    }
    std::sort(pending_.begin(), pending_.end());
    std::erase_if(pending_,
                  [&](std::size_t i) { return work_.tasks[i].state != sim_state::pending; });
    for (const auto i : pending_) {
        const auto& task = work_.tasks[i];
        const auto& job = work_.jobs[task.job];
        if (task.held_until_s > time_s_) {
            continue;
        }
        pending_task view;
        view.job = job.id;
        view.index = task.index;
        view.team = job.team;
        view.demand = task.demand;
        view.priority = job.is_urgent ? job_priority::urgent : job_priority::normal;
        view.complete_by = utc_at(job.due_s);
        view.submitted_at = utc_at(job.submitted_s);
        view.remaining_run_time = remaining(task);
        view.excluded_workers = task.avoided;
        if (policy_.has_interference_cost) {
            view.interference = model_.slowdown(class_of(task).prefix, service_id("quotes"),
                                                task.demand.processors);
        }
        input.tasks.push_back(std::move(view));
        tasks.push_back(i);
    }
    return input;
}

void simulation::place() {
    for (std::size_t w = 0; policy_.has_quarantine && w < workers_.size(); ++w) {
        if (quarantine_.state(workers_[w].view.id, now()) == quarantine_state::probe_due &&
            !workers_[w].is_drained) {
            probe(w);
        }
    }
    std::vector<std::size_t> tasks;
    auto input = planner_input(tasks);
    const auto plan = strategy_->plan(input);
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> by_key;
    for (const auto i : tasks) {
        by_key[{work_.jobs[work_.tasks[i].job].id.value(), work_.tasks[i].index}] = i;
    }
    for (const auto& placed : plan.placed) {
        const auto found = std::find_if(workers_.begin(), workers_.end(), [&](const sim_worker& w) {
            return w.view.id == placed.worker;
        });
        const auto w = static_cast<std::size_t>(found - workers_.begin());
        if (policy_.has_evacuation && evacuation_.allowed_starts(found->view.domain, now()) == 0) {
            continue;
        }
        evacuation_.record_starts(found->view.domain, 1);
        start(by_key.at({placed.job.value(), placed.index}), w);
    }
    std::erase_if(pending_,
                  [&](std::size_t i) { return work_.tasks[i].state != sim_state::pending; });
}

void simulation::probe(std::size_t worker) {
    const auto found = std::find_if(pending_.begin(), pending_.end(), [&](std::size_t i) {
        const auto& task = work_.tasks[i];
        return task.state == sim_state::pending && !work_.jobs[task.job].is_urgent &&
               task.demand.fits_in(workers_[worker].view.free);
    });
    if (found != pending_.end()) {
        quarantine_.record_probe(workers_[worker].view.id, now());
        start(*found, worker);
    }
}

void simulation::start(std::size_t number, std::size_t worker) {
    auto& task = work_.tasks[number];
    workers_[worker].view.free -= task.demand;
    check_invariant(workers_[worker].view.free.is_non_negative(),
                    "overcommitted: " + to_string(workers_[worker].view.free));
    task.state = sim_state::running;
    task.worker = worker;
    task.placed_s = time_s_;
    // A task that was stopped and started within one step is still listed.
    if (std::find(running_.begin(), running_.end(), number) == running_.end()) {
        running_.push_back(number);
    }
}

std::vector<team_share> simulation::shares() const {
    std::map<team_id, resources> used;
    for (const auto i : running_) {
        const auto& task = work_.tasks[i];
        if (task.state == sim_state::running) {
            used[work_.jobs[task.job].team] += task.demand;
        }
    }
    const auto workers = static_cast<double>(workers_.size()) * quota_share;
    const auto part = [&](std::int64_t value) {
        return static_cast<std::int64_t>(static_cast<double>(value) * workers);
    };
    const resources quota{millicores(part(place_.capacity.processors.value())),
                          mebibytes(part(place_.capacity.memory.value())),
                          accelerator_count(part(2))};
    std::vector<team_share> result;
    for (int i = 0; i < 4; ++i) {
        const team_id team("team-" + std::to_string(i));
        result.push_back({team, used[team], quota, true});
    }
    return result;
}

// Processors that are idle while a task waits that some worker could run.
void simulation::note_idle() {
    const bool is_waiting = std::any_of(pending_.begin(), pending_.end(), [&](std::size_t i) {
        return !work_.jobs[work_.tasks[i].job].is_impossible;
    });
    if (!is_waiting) {
        return;
    }
    double idle = 0;
    double all = 0;
    for (const auto& worker : workers_) {
        if (!worker.is_drained) {
            idle += cores(worker.view.free);
            all += cores(worker.view.capacity - place_.reserved);
        }
    }
    sums_.idle_share += idle / all;
    ++idle_samples_;
}

metrics simulation::summary() {
    double possible = 0;
    double on_time = 0;
    for (const auto& job : work_.jobs) {
        if (!job.is_impossible && !job.is_cancelled) {
            ++possible;
            on_time += job.finished_s >= 0 && job.finished_s <= job.due_s ? 1 : 0;
        }
    }
    double urgent = 0;
    double urgent_started = 0;
    double large = 0;
    for (const auto& task : work_.tasks) {
        const auto& job = work_.jobs[task.job];
        if (job.is_impossible || job.is_cancelled) {
            continue;
        }
        const double wait = (task.placed_s < 0 ? end_s : task.placed_s) - job.submitted_s;
        if (job.is_urgent) {
            ++urgent;
            // Submissions are noticed at the next step of the simulation.
            urgent_started += wait <= urgent_start_s + step_s ? 1 : 0;
        } else if (job.job_class == 3) {
            ++large;
            sums_.large_wait_s += wait;
        }
    }
    sums_.jobs_on_time = on_time / possible;
    sums_.urgent_on_time = urgent_started / std::max(1.0, urgent);
    sums_.large_wait_s /= std::max(1.0, large);
    sums_.idle_share /= std::max(1.0, idle_samples_);
    double high = 0;
    for (const double ratio : ratios_) {
        high += ratio > 1.5 ? 1 : 0;
    }
    std::sort(ratios_.begin(), ratios_.end());
    sums_.high_latency_share = high / static_cast<double>(ratios_.size());
    sums_.p99_ratio = ratios_[ratios_.size() * 99 / 100];
    return sums_;
}

}  // namespace tanagerpaddle::bench
