#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace tanagerpaddle {

// Runs calls in threads that are started when needed, up to a bound. Thread-safe.
class call_executor {
public:
    explicit call_executor(std::size_t most_threads) : most_threads_(most_threads) {}
    ~call_executor() { stop(); }
    call_executor(const call_executor&) = delete;
    call_executor& operator=(const call_executor&) = delete;

    // Runs `call` in a thread of its own. False, without effect, if all threads are busy or the
    // executor has stopped. `call` must not throw.
    [[nodiscard]] bool try_run(std::function<void()> call);
    // Waits for running calls and ends the threads.
    void stop();

private:
    void run();

    std::size_t most_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> calls_;
    std::size_t idle_ = 0;
    bool is_stopping_ = false;
    std::vector<std::thread> threads_;
};

}  // namespace tanagerpaddle
