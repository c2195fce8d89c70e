#include "locality_fleet.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch::testing {

namespace {

constexpr milliseconds message_delay{4};
constexpr milliseconds write_delay{10};
constexpr milliseconds plan_interval{20};
// From the end of a run to its report, and between two reports of progress.
constexpr milliseconds end_delay{50};
constexpr milliseconds report_interval{300};
constexpr milliseconds stop_time{100};
constexpr milliseconds link_timeout{1'500};

}  // namespace

submitted_job make_locality_job(const std::string& id, const locality_job& shape) {
    submitted_job job;
    job.id = job_id(id);
    job.queue = queue_id("queue-" + std::to_string(shape.priority));
    job.rules.service = service_id("service");
    job.rules.priority = shape.priority;
    job.rules.max_attempts = 4;
    job.rules.stretch = 1.5;
    job.rules.target = milliseconds(250);
    for (std::uint32_t s = 0; s < shape.steps; ++s) {
        step_spec step;
        step.task_count = shape.tasks;
        step.demand = {millicores(shape.millicores_each), mebibytes(shape.mebibytes_each),
                       accelerator_count(0)};
        step.estimate = shape.estimate;
        step.preferred_rack = rack_id(shape.rack);
        step.image = "image";
        step.is_filler = shape.is_filler;
        step.writes_checkpoints = shape.writes_checkpoints;
        if (s > 0) {
            step.depends_on = {s - 1};
        }
        job.spec.steps.push_back(step);
    }
    return job;
}

submitted_job make_blocker(const std::string& id, std::uint32_t executors, milliseconds length) {
    locality_job shape;
    shape.tasks = executors;
    shape.millicores_each = 31'700;
    shape.estimate = length;
    auto job = make_locality_job(id, shape);
    job.spec.steps[0].required_label = "rack-0";
    job.spec.steps[0].max_per_executor = 1;
    return job;
}

locality_fleet::locality_fleet(const locality_options& options) : options_(options) {
    for (std::size_t i = 0; i < options.instances; ++i) {
        auto& added = executors_.emplace_back();
        added.info.id = executor_id("executor-" + std::to_string(i));
        added.info.incarnation = executor_incarnation(1);
        added.info.service = service_id("service");
        added.info.domain =
            failure_domain_id("domain-" + std::to_string(i / options.instances_per_rack));
        added.info.capacity = options.capacity;
        added.info.labels = {"a", "rack-" + std::to_string(i / options.instances_per_rack)};
        index_by_name_[instance_name("instance-" + std::to_string(i))] = i;
    }
    begin_coordinator();
    for (std::size_t i = 0; i < options.instances; ++i) {
        claim(i);
        report(i);
    }
    plan_and_write();
}

void locality_fleet::at(milliseconds delay, std::function<void()> action) {
    events_.emplace(time_.now() + delay, std::move(action));
}

void locality_fleet::run_for(milliseconds length) {
    const instant end = time_.now() + length;
    while (!events_.empty() && events_.begin()->first <= end) {
        auto event = events_.extract(events_.begin());
        time_.advance(std::chrono::duration_cast<milliseconds>(event.key() - time_.now()));
        event.mapped()();
    }
    time_.advance(std::chrono::duration_cast<milliseconds>(end - time_.now()));
}

void locality_fleet::begin_coordinator() {
    ++generation_;
    is_writing_ = false;
    coordinator::options settings;
    settings.delays = options_.rules;
    coordinator_ = std::make_unique<coordinator>(settings, time_, *this);
    std::map<queue_id, queue_rules> queues;
    for (int priority = 0; priority < 3; ++priority) {
        locality_job shape;
        shape.priority = priority;
        const auto job = make_locality_job("none", shape);
        queues[job.queue] = job.rules;
    }
    coordinator_->set_queues(queues);
    for (const auto& [id, job] : jobs_) {
        coordinator_->add_job(job.first,
                              std::chrono::duration_cast<milliseconds>(time_.now() - job.second));
    }
    for (const auto& [key, row] : rows) {
        if (!coordinator_->restore(key.first, row, time_.now() + lease_timing{}.expiry_delay(),
                                   key.second)) {
            violations.push_back("a row cannot be read: " + row);
        }
    }
}

void locality_fleet::take_over() {
    begin_coordinator();
    for (std::size_t i = 0; i < executors_.size(); ++i) {
        const milliseconds delay(100 + static_cast<std::int64_t>(300 * i / executors_.size()));
        at(delay, [this, i, generation = generation_] {
            if (generation == generation_ && !executors_[i].is_frozen) {
                claim(i);
            }
        });
    }
}

void locality_fleet::claim(std::size_t index) {
    inventory found;
    found.executor = executors_[index].info;
    found.running = running_tasks(executors_[index]);
    found.finished = executors_[index].finished;
    coordinator_->instance_claimed(instance_name("instance-" + std::to_string(index)), found);
}

void locality_fleet::submit(const submitted_job& job) {
    jobs_.insert_or_assign(job.id, std::pair(job, time_.now()));
    coordinator_->add_job(job, milliseconds(0));
}

void locality_fleet::plan_and_write() {
    coordinator_->plan();
    if (!is_writing_ && coordinator_->has_writes()) {
        is_writing_ = true;
        at(write_delay, [this, written = coordinator_->begin_write(), generation = generation_] {
            if (generation != generation_) {
                return;
            }
            is_writing_ = false;
            if (time_.now() < writes_fail_until_) {
                coordinator_->write_failed();
                return;
            }
            for (const auto& row : written) {
                rows[{row.job, row.number}] = row.value;
            }
            coordinator_->write_done();
        });
    }
    at(plan_interval, [this] { plan_and_write(); });
}

const step_spec& locality_fleet::spec_of(const task_key& task) const {
    return jobs_.at(task.job).first.spec.steps.at(task.step);
}

void locality_fleet::start(const instance_name& name, const start_order& order) {
    at(message_delay, [this, name, order, generation = generation_] {
        const auto index = index_by_name_.at(name);
        auto& target = executors_[index];
        const auto& spec = spec_of(order.task);
        if (generation != generation_ || target.is_frozen) {
            return;
        }
        resources used = spec.demand;
        used.processors = spec.is_filler ? millicores(0) : used.processors;
        for (const auto& [task, other] : target.running) {
            const auto& demand = spec_of(task);
            used += {demand.is_filler ? millicores(0) : demand.demand.processors,
                     demand.demand.memory, accelerator_count(0)};
        }
        if (!used.fits_in(target.info.capacity)) {
            violations.push_back("overcommitted " + name.value() + ": " + to_string(used));
        }
        const auto& rack = spec.preferred_rack.value();
        const bool is_on_rack = rack.empty() || target.info.labels[1] == rack;
        if (!rack.empty()) {
            ++(is_on_rack ? starts_on_rack : starts_elsewhere);
        }
        const double scale =
            options_.run_time_over_estimate * (is_on_rack ? 1 : options_.off_rack_factor);
        const int percent = order.checkpoint.empty() ? 0 : std::stoi(order.checkpoint);
        const milliseconds length(static_cast<std::int64_t>(
            static_cast<double>(spec.estimate.count()) * scale * (100 - percent) / 100));
        if (!target.running
                 .emplace(order.task,
                          sim_run{order.run, time_.now(), time_.now() + length, percent})
                 .second) {
            violations.push_back("a second run of " + to_string(order.task));
        }
        instance_of[order.task] = index;
        started_at.try_emplace(order.task, time_.now());
        coordinator_->start_reported(name, order.task, order.run, start_outcome::started);
        at(length,
           [this, index, order] { finish(index, order.task, order.run, run_outcome::succeeded); });
    });
}

void locality_fleet::stop(const instance_name& name, const task_key& task, run_number run) {
    ++stops;
    at(message_delay + stop_time, [this, name, task, run] {
        finish(index_by_name_.at(name), task, run, run_outcome::stopped);
    });
}

void locality_fleet::acknowledge(const instance_name& name, executor_incarnation,
                                 completion_number number) {
    std::erase_if(executors_[index_by_name_.at(name)].finished,
                  [&](const finished_task& end) { return end.number <= number; });
}

std::vector<running_task> locality_fleet::running_tasks(const executor& target) const {
    std::vector<running_task> result;
    for (const auto& [task, run] : target.running) {
        const auto length = std::max(
            milliseconds(1), std::chrono::duration_cast<milliseconds>(run.ends_at - run.begun_at));
        const int percent =
            run.percent_at_start +
            static_cast<int>((100 - run.percent_at_start) * (time_.now() - run.begun_at) / length);
        result.push_back({task, run.number,
                          spec_of(task).writes_checkpoints ? std::to_string(percent) : "", percent,
                          0});
    }
    return result;
}

void locality_fleet::finish(std::size_t index, const task_key& task, run_number number,
                            run_outcome outcome) {
    auto& target = executors_[index];
    const auto found = target.running.find(task);
    if (target.is_frozen || found == target.running.end() || found->second.number != number) {
        return;
    }
    finished_task end{completion_number(++target.ends), task, number, outcome, ""};
    if (outcome == run_outcome::succeeded) {
        auto& done = succeeded_[task.job];
        done.insert(task);
        std::size_t tasks = 0;
        for (const auto& step : jobs_.at(task.job).first.spec.steps) {
            tasks += step.task_count;
        }
        if (done.size() == tasks) {
            job_times.emplace(task.job, std::chrono::duration_cast<milliseconds>(
                                            time_.now() - jobs_.at(task.job).second));
        }
    } else {
        for (const auto& running : running_tasks(target)) {
            end.checkpoint = running.task == task ? running.checkpoint : end.checkpoint;
        }
    }
    target.running.erase(found);
    target.finished.push_back(end);
    at(end_delay, [this, index, end, generation = generation_] {
        if (generation == generation_ && !executors_[index].is_frozen) {
            coordinator_->runs_finished(instance_name("instance-" + std::to_string(index)),
                                        executor_incarnation(1), {end});
        }
    });
}

void locality_fleet::report(std::size_t index) {
    if (!executors_[index].is_frozen) {
        coordinator_->progress_reported(instance_name("instance-" + std::to_string(index)),
                                        running_tasks(executors_[index]), {});
    }
    at(report_interval, [this, index] { report(index); });
}

void locality_fleet::drain_rack(std::size_t rack) {
    for (std::size_t i = 0; i < executors_.size(); ++i) {
        if (i / options_.instances_per_rack == rack) {
            executors_[i].info.is_draining = true;
            coordinator_->executor_changed(instance_name("instance-" + std::to_string(i)),
                                           executors_[i].info);
        }
    }
}

// The leases of its runs expire, and they end with it.
void locality_fleet::freeze(std::size_t index) {
    executors_[index].is_frozen = true;
    executors_[index].running.clear();
    at(link_timeout, [this, index] {
        coordinator_->instance_disconnected(instance_name("instance-" + std::to_string(index)),
                                            time_.now() + lease_timing{}.expiry_delay());
    });
}

milliseconds locality_fleet::mean_job_time() const {
    milliseconds sum{0};
    for (const auto& [id, time] : job_times) {
        sum += time;
    }
    return job_times.empty() ? sum : sum / static_cast<std::int64_t>(job_times.size());
}

double locality_fleet::share_within(milliseconds objective) const {
    const auto on_time = std::count_if(job_times.begin(), job_times.end(), [&](const auto& entry) {
        return entry.second <= objective;
    });
    return static_cast<double>(on_time) /
           static_cast<double>(std::max<std::size_t>(1, jobs_.size()));
}

}  // namespace tanagerpaddle::dispatch::testing
