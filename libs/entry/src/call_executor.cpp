#include "call_executor.hpp"

namespace tanagerpaddle {

bool call_executor::try_run(std::function<void()> call) {
    const std::lock_guard lock(mutex_);
    if (is_stopping_) {
        return false;
    }
    if (calls_.size() >= idle_) {
        if (threads_.size() >= most_threads_) {
            return false;
        }
        threads_.emplace_back([this] { run(); });
    }
    calls_.push_back(std::move(call));
    changed_.notify_one();
    return true;
}

void call_executor::stop() {
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
        threads.swap(threads_);
    }
    changed_.notify_all();
    for (auto& thread : threads) {
        thread.join();
    }
}

void call_executor::run() {
    std::unique_lock lock(mutex_);
    while (true) {
        ++idle_;
        changed_.wait(lock, [&] { return !calls_.empty() || is_stopping_; });
        --idle_;
        if (calls_.empty()) {
            return;
        }
        const auto call = std::move(calls_.front());
        calls_.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

}  // namespace tanagerpaddle
