#include "entry_services.hpp"

namespace tanagerpaddle {

periodic_thread::periodic_thread(std::function<milliseconds()> interval,
                                 std::function<void()> action)
    : interval_(std::move(interval)), action_(std::move(action)), thread_([this] { run(); }) {}

void periodic_thread::run_soon() {
    const std::lock_guard lock(mutex_);
    is_due_ = true;
    changed_.notify_all();
}

void periodic_thread::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void periodic_thread::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        is_due_ = false;
        lock.unlock();
        try {
            action_();
        } catch (const error& failure) {
            log_event(log_level::warning, "periodic_action_failed",
                      {{"code", failure.code()}, {"message", failure.what()}});
        } catch (const std::exception& failure) {
            log_event(log_level::error, "periodic_action_failed",
                      {{"code", result_code::internal_error}, {"message", failure.what()}});
        }
        lock.lock();
        changed_.wait_for(lock, interval_(), [&] { return is_due_ || is_stopping_; });
    }
}

}  // namespace tanagerpaddle
