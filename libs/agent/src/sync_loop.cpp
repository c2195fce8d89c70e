#include "sync_loop.hpp"

#include <algorithm>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

// For the log and the metrics only; far from overflow when added to an instant.
constexpr milliseconds max_shown_lease = std::chrono::hours(24);

}  // namespace

sync_loop::sync_loop(const sync_loop_options& options, agent_tasks& tasks, rpc_client& calls,
                     const clock& time, target_source targets, std::function<void()> after_tick)
    : options_(options),
      tasks_(tasks),
      calls_(calls),
      time_(time),
      targets_(std::move(targets)),
      after_tick_(std::move(after_tick)),
      rotation_(options.entries) {}

sync_loop::~sync_loop() {
    stop();
}

void sync_loop::start() {
    tick_thread_ = std::thread([this] { run_ticks(); });
    sync_thread_ = std::thread([this] { run_syncs(); });
}

void sync_loop::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread* const thread : {&sync_thread_, &tick_thread_}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void sync_loop::wake() {
    {
        const std::lock_guard lock(mutex_);
        is_woken_ = true;
    }
    changed_.notify_all();
}

bool sync_loop::accept_inventory(epoch_number epoch, const std::optional<endpoint>& from) {
    {
        const std::lock_guard lock(mutex_);
        if (!tasks_.accept_inventory(epoch)) {
            return false;
        }
        if (from) {
            rotation_.prefer(*from);
        }
        is_woken_ = true;
    }
    changed_.notify_all();
    return true;
}

void sync_loop::set_leaving() {
    {
        const std::lock_guard lock(mutex_);
        tasks_.set_leaving();
        is_leaving_ = true;
        is_woken_ = true;
    }
    changed_.notify_all();
}

bool sync_loop::is_recovered() const {
    const std::lock_guard lock(mutex_);
    return tasks_.is_recovered();
}

bool sync_loop::is_drained() const {
    const std::lock_guard lock(mutex_);
    return tasks_.is_idle() && (!is_leaving_ || is_leaving_reported_);
}

void sync_loop::with_tasks(const std::function<void(agent_tasks&)>& use) {
    const std::lock_guard lock(mutex_);
    use(tasks_);
}

void sync_loop::run_ticks() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        if (tasks_.is_recovered()) {
            tasks_.tick();
        } else if (tasks_.recover()) {
            is_woken_ = true;
        }
        check_lease();
        const bool is_recovered = tasks_.is_recovered();
        lock.unlock();
        changed_.notify_all();
        after_tick_();
        lock.lock();
        const instant next =
            time_.now() + (is_recovered ? options_.tick_interval : options_.retry_interval);
        while (!is_stopping_ && time_.now() < next) {
            changed_.wait_for(lock, deadline(next).remaining(time_.now()) + milliseconds(1));
        }
    }
}

void sync_loop::check_lease() {
    if (has_lease_ && lease_end_.has_passed(time_.now())) {
        has_lease_ = false;
        metrics().counter_of(metric::leases_expired).add();
        log_event(log_level::warning, "lease_expired", {{"held_tasks", tasks_.held_tasks()}});
    }
}

bool sync_loop::wait_until_due() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        const instant now = time_.now();
        if (tasks_.is_recovered() &&
            (is_woken_ || tasks_.has_unsent_reports() || tasks_.next_sync_at().has_passed(now))) {
            is_woken_ = false;
            return true;
        }
        // The tick thread notifies after each tick; the bound covers a slow tick.
        const milliseconds left =
            tasks_.is_recovered() ? tasks_.next_sync_at().remaining(now) : options_.tick_interval;
        changed_.wait_for(lock, std::min(left, options_.tick_interval) + milliseconds(1));
    }
    return false;
}

void sync_loop::run_syncs() {
    while (wait_until_due()) {
        if (sync_once()) {
            continue;
        }
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, options_.retry_interval, [this] { return is_stopping_; });
        is_woken_ = true;
    }
}

bool sync_loop::sync_once() {
    std::size_t tries = 0;
    {
        const std::lock_guard lock(mutex_);
        // Each candidate once, and room for the preferred one and a redirect.
        tries = rotation_.candidate_count() + 2;
    }
    for (std::size_t i = 0; i < tries; ++i) {
        endpoint entry;
        {
            const std::lock_guard lock(mutex_);
            if (is_stopping_) {
                return true;
            }
            entry = rotation_.next();
        }
        if (sync_with(entry)) {
            return true;
        }
    }
    return false;
}

bool sync_loop::sync_with(const endpoint& entry) {
    std::vector<target_report> targets = targets_();
    sync_request request;
    instant sent_at;
    {
        const std::lock_guard lock(mutex_);
        tasks_.set_targets(std::move(targets));
        request = tasks_.next_sync_request();
        sent_at = time_.now();
    }
    result_code code = result_code::ok;
    std::string message;
    try {
        const auto reply = calls_.call_typed<sync_reply>(
            entry, "entry.sync", request, deadline::after(sent_at, options_.call_timeout));
        code = reply.code;
        take_reply(entry, reply, request, sent_at);
    } catch (const error& failure) {
        code = failure.code();
        message = failure.what();
        const std::lock_guard lock(mutex_);
        rotation_.failed(entry);
    }
    metrics().counter_of(metric::control_calls, {"entry.sync", std::string(name(code))}).add();
    metrics()
        .latency_of(metric::control_call_latency, {"entry.sync"})
        .record(time_.now() - sent_at);
    if (code != result_code::ok && code != result_code::not_owner) {
        // The log itself bounds the lines of one event name.
        log_event(log_level::warning, "sync_failed",
                  {{"entry", to_string(entry)}, {"code", code}, {"message", message}});
    }
    return code == result_code::ok;
}

void sync_loop::take_reply(const endpoint& entry, const sync_reply& reply,
                           const sync_request& request, instant sent_at) {
    const std::lock_guard lock(mutex_);
    tasks_.on_reply(reply, request.sequence);
    rotation_.set_known(tasks_.entries());
    // A reply with a lower epoch than a new owner's inventory call comes from the old owner.
    if (reply.code == result_code::ok && reply.epoch >= tasks_.epoch()) {
        rotation_.prefer(entry);
        is_leaving_reported_ = is_leaving_reported_ || request.is_leaving;
        has_lease_ = reply.lease_ms > 0;
        lease_end_ = deadline::after(
            sent_at, std::clamp(milliseconds(reply.lease_ms), milliseconds(0), max_shown_lease));
    } else if (reply.redirect) {
        rotation_.prefer(reply.redirect->control);
    } else {
        rotation_.failed(entry);
    }
}

}  // namespace tanagerpaddle
