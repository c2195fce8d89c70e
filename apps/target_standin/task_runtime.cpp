#include "task_runtime.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace tanagerpaddle::standin {

namespace {

using nlohmann::json;
using milliseconds_double = std::chrono::duration<double, std::milli>;

constexpr double millicores_per_processor = 1'000;
// About three years; keeps sums of times within 64 bits.
constexpr double longest_run_ms = 1e11;

json describe(const task_attempt& attempt, const runtime_task& task) {
    return {{"job", attempt.task.job.value()},
            {"index", attempt.task.index},
            {"attempt", attempt.attempt.value()},
            {"progress", task.progress},
            {"processors", task.demand.processors.value()},
            {"memory", task.demand.memory.value()},
            {"accelerators", task.demand.accelerators.value()}};
}

bool is_held(runtime_task_state state) {
    return state == runtime_task_state::running || state == runtime_task_state::paused;
}

resources larger(const resources& a, const resources& b) {
    return {std::max(a.processors, b.processors), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

}  // namespace

task_behaviour parse_command(const start_permit& permit) {
    task_behaviour behaviour;
    behaviour.run_ms = permit.run_time_ms;
    bool fails = false;
    double fail_at = 0.5;
    std::istringstream words(permit.command);
    std::string word;
    while (words >> word) {
        const auto equals = word.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        const std::string name = word.substr(0, equals);
        try {
            const double value = std::stod(word.substr(equals + 1));
            if (name == "run_ms") {
                behaviour.run_ms = std::llround(value);
            } else if (name == "fail") {
                fails = value != 0;
            } else if (name == "fail_at") {
                fail_at = value;
            } else if (name == "usage_percent") {
                behaviour.usage_percent = std::llround(value);
            }
        } catch (const std::exception&) {
            throw error(result_code::malformed_request, "not a number in the command: " + word);
        }
    }
    behaviour.run_ms = std::max<std::int64_t>(behaviour.run_ms, 1);
    if (fails) {
        behaviour.fail_at = fail_at;
    }
    return behaviour;
}

task_runtime::task_runtime(const runtime_options& options, const clock& time, object_store& objects,
                           const fault_switches& faults, event_record& record)
    : options_(options),
      time_(time),
      objects_(objects),
      faults_(faults),
      record_(record),
      advanced_to_(time.now()),
      largest_committed_(options.reserved) {}

double task_runtime::busy_processors() const {
    double sum = 0;
    for (const auto& [attempt, task] : tasks_) {
        if (task.seen.state == runtime_task_state::running && task.kind == job_kind::batch) {
            sum += static_cast<double>(task.usage.back().used.value()) / millicores_per_processor;
        }
    }
    return sum;
}

double task_runtime::rate_of(const held_task& task, double processors, double slow) const {
    if (task.kind == job_kind::hold) {
        return 0;
    }
    const double own =
        static_cast<double>(task.usage.back().used.value()) / millicores_per_processor;
    const double interference =
        1 + options_.interference_per_processor * std::max(processors - own, 0.0);
    return task.seen.speed_percent / 100.0 / interference / slow /
           static_cast<double>(task.behaviour.run_ms);
}

instant task_runtime::next_change(const held_task& task, double rate) const {
    if (rate <= 0) {
        return task.lease_end;
    }
    const double left = task.behaviour.fail_at.value_or(1.0) - task.seen.progress;
    const milliseconds_double needed(std::min(std::max(left, 0.0) / rate, longest_run_ms));
    // Rounded up, so that the task has surely made its progress by then.
    const auto end = advanced_to_ + std::chrono::duration_cast<std::chrono::nanoseconds>(needed) +
                     std::chrono::nanoseconds(left > 0 ? 1 : 0);
    return std::min(end, task.lease_end);
}

void task_runtime::note_usage(held_task& task, instant at) {
    millicores used;
    if (task.seen.state == runtime_task_state::running && task.kind == job_kind::batch) {
        used = millicores(task.seen.demand.processors.value() * task.behaviour.usage_percent / 100 *
                          task.seen.speed_percent / 100);
    }
    task.usage.push_back({at, used});
    // The last change before the reported time is still needed.
    const instant reported = at - options_.usage_lag;
    while (task.usage.size() > 1 && task.usage[1].at <= reported) {
        task.usage.pop_front();
    }
}

millicores task_runtime::lagged_usage(const held_task& task) const {
    const instant reported = advanced_to_ - options_.usage_lag;
    millicores used;
    for (const auto& change : task.usage) {
        if (change.at <= reported) {
            used = change.used;
        }
    }
    return used;
}

void task_runtime::change_state(held_task& task, runtime_task_state state, std::string_view event,
                                instant at) {
    task.seen.state = state;
    note_usage(task, at);
    record_.write(event, at, describe(task.seen.attempt, task.seen));
}

void task_runtime::settle(held_task& task, instant at) {
    constexpr double rounding = 1e-9;
    const auto fail_at = task.behaviour.fail_at;
    if (fail_at && task.seen.progress >= *fail_at - rounding) {
        change_state(task, runtime_task_state::failed, "task_fail", at);
    } else if (task.seen.progress >= 1 - rounding) {
        task.seen.progress = 1;
        change_state(task, runtime_task_state::finished, "task_finish", at);
    } else if (task.lease_end <= at) {
        change_state(task, runtime_task_state::paused, "task_pause", at);
    }
}

void task_runtime::advance_to(instant now) {
    const double slow = faults_.current().slow_factor;
    while (true) {
        // Rates are constant up to the next change of any task's state.
        const double processors = busy_processors();
        instant next = now;
        for (const auto& [attempt, task] : tasks_) {
            if (task.seen.state == runtime_task_state::running) {
                next = std::min(next, next_change(task, rate_of(task, processors, slow)));
            }
        }
        next = std::max(next, advanced_to_);
        const double step_ms = milliseconds_double(next - advanced_to_).count();
        for (auto& [attempt, task] : tasks_) {
            if (task.seen.state == runtime_task_state::running) {
                task.seen.progress =
                    std::min(1.0, task.seen.progress + rate_of(task, processors, slow) * step_ms);
                task.run_ms += step_ms;
                task.seen.run_ms = std::llround(task.run_ms);
            }
        }
        advanced_to_ = next;
        for (auto& [attempt, task] : tasks_) {
            if (task.seen.state == runtime_task_state::running) {
                settle(task, next);
            }
        }
        if (next >= now) {
            return;
        }
    }
}

void task_runtime::advance() {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
}

std::vector<runtime_task> task_runtime::list() {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    std::vector<runtime_task> result;
    for (const auto& [attempt, task] : tasks_) {
        result.push_back(task.seen);
        result.back().used_processors = lagged_usage(task);
    }
    return result;
}

resources task_runtime::sum_committed() const {
    resources sum = options_.reserved;
    for (const auto& [attempt, task] : tasks_) {
        if (is_held(task.seen.state)) {
            sum += task.seen.demand;
        }
    }
    return sum;
}

double task_runtime::read_progress(const start_permit& permit) {
    if (permit.checkpoint.empty()) {
        return 0;
    }
    const auto bytes = objects_.read(permit.checkpoint);
    if (!bytes) {
        throw error(result_code::malformed_request, "no checkpoint " + permit.checkpoint);
    }
    return json::parse(*bytes).at("progress").get<double>();
}

void task_runtime::admit(const start_permit& permit) {
    const resources after = sum_committed() + permit.demand;
    if (options_.refuses_overcommitment && !after.fits_in(options_.capacity)) {
        throw error(result_code::overloaded, "committed amounts would reach " + to_string(after) +
                                                 " of " + to_string(options_.capacity));
    }
    largest_committed_ = larger(largest_committed_, after);
}

void task_runtime::start(const start_permit& permit, std::int64_t lease_ms, instant sent_at) {
    const task_behaviour behaviour = parse_command(permit);
    const double progress = read_progress(permit);
    const std::lock_guard lock(mutex_);
    const instant now = time_.now();
    advance_to(now);
    if (const auto found = tasks_.find(permit.attempt); found != tasks_.end()) {
        if (is_held(found->second.seen.state)) {
            return;
        }
        throw error(result_code::duplicate_request,
                    to_string(permit.attempt) + " has ended already");
    }
    // The call may have waited in a socket while this process was frozen.
    const auto window = milliseconds(std::min(permit.valid_ms, lease_ms));
    if (now >= sent_at + window) {
        throw error(result_code::deadline_exceeded_not_run,
                    "the permit for " + to_string(permit.attempt) + " has ended");
    }
    admit(permit);
    held_task task;
    task.seen.attempt = permit.attempt;
    task.seen.demand = permit.demand;
    task.seen.progress = progress;
    task.seen.checkpoint = permit.checkpoint;
    task.kind = permit.kind;
    task.can_checkpoint = permit.can_checkpoint;
    task.behaviour = behaviour;
    task.lease_end = sent_at + milliseconds(lease_ms);
    if (faults_.current().fail_tasks) {
        task.behaviour.fail_at = progress;
    }
    auto& stored = tasks_.emplace(permit.attempt, std::move(task)).first->second;
    change_state(stored, runtime_task_state::running, "task_start", now);
    advance_to(now);
}

task_runtime::held_task& task_runtime::held(const task_attempt& attempt) {
    const auto found = tasks_.find(attempt);
    if (found == tasks_.end()) {
        throw error(result_code::unknown_job, "no task " + to_string(attempt));
    }
    return found->second;
}

void task_runtime::renew(const std::vector<task_attempt>& attempts, instant lease_end) {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    for (const auto& attempt : attempts) {
        const auto found = tasks_.find(attempt);
        if (found != tasks_.end()) {
            found->second.lease_end = std::max(found->second.lease_end, lease_end);
        }
    }
}

void task_runtime::pause(const task_attempt& attempt) {
    const std::lock_guard lock(mutex_);
    const instant now = time_.now();
    advance_to(now);
    held_task& task = held(attempt);
    if (task.seen.state == runtime_task_state::running) {
        change_state(task, runtime_task_state::paused, "task_pause", now);
    }
}

void task_runtime::resume(const task_attempt& attempt, instant lease_end) {
    const std::lock_guard lock(mutex_);
    const instant now = time_.now();
    advance_to(now);
    held_task& task = held(attempt);
    if (task.seen.state == runtime_task_state::paused && lease_end > now) {
        task.lease_end = lease_end;
        change_state(task, runtime_task_state::running, "task_resume", now);
    }
}

std::string task_runtime::checkpoint(const task_attempt& attempt) {
    double progress = 0;
    {
        const std::lock_guard lock(mutex_);
        advance_to(time_.now());
        const held_task& task = held(attempt);
        if (!task.can_checkpoint || task.kind == job_kind::hold) {
            return {};
        }
        progress = task.seen.progress;
    }
    std::string key = checkpoint_key(attempt);
    objects_.put(key, json{{"progress", progress}}.dump());
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    held_task& task = held(attempt);
    task.seen.checkpoint = key;
    json fields = describe(attempt, task.seen);
    fields["progress"] = progress;
    record_.write("task_checkpoint", advanced_to_, std::move(fields));
    return key;
}

void task_runtime::throttle(const task_attempt& attempt, std::uint32_t speed_percent) {
    if (speed_percent < 1 || speed_percent > 100) {
        throw error(result_code::malformed_request,
                    "speed_percent is " + std::to_string(speed_percent) + ", not 1 to 100");
    }
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    held_task& task = held(attempt);
    task.seen.speed_percent = speed_percent;
    note_usage(task, advanced_to_);
}

void task_runtime::stop(const task_attempt& attempt) {
    const std::lock_guard lock(mutex_);
    const instant now = time_.now();
    advance_to(now);
    const auto found = tasks_.find(attempt);
    if (found == tasks_.end()) {
        return;
    }
    if (is_held(found->second.seen.state)) {
        record_.write("task_stop", now, describe(attempt, found->second.seen));
    }
    tasks_.erase(found);
}

void task_runtime::forget(const task_attempt& attempt) {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    const auto found = tasks_.find(attempt);
    if (found != tasks_.end() && !is_held(found->second.seen.state)) {
        tasks_.erase(found);
    }
}

double task_runtime::request_slowdown() {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    return 1 + options_.interference_per_processor * busy_processors();
}

resources task_runtime::committed() {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    return sum_committed();
}

resources task_runtime::largest_committed() {
    const std::lock_guard lock(mutex_);
    return largest_committed_;
}

millicores task_runtime::used_processors() {
    const std::lock_guard lock(mutex_);
    advance_to(time_.now());
    std::int64_t sum = 0;
    for (const auto& [attempt, task] : tasks_) {
        sum += lagged_usage(task).value();
    }
    return millicores(sum);
}

}  // namespace tanagerpaddle::standin
