#include "record.hpp"

#include <chrono>
#include <cstdio>
#include <thread>

namespace review {

namespace {

const auto process_start = std::chrono::steady_clock::now();

}  // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 process_start)
        .count();
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

void record::write(const std::string& text) {
    char time[24];
    std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now_ms()) / 1'000);
    out_ << time << text << std::endl;
}

void record::line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    write(text);
}

void record::run_started(const std::string& task, std::uint32_t run, const std::string& executor) {
    const std::lock_guard lock(mutex_);
    runs_.push_back({task, run, executor, now_ms(), -1, ""});
    write("run " + task + " #" + std::to_string(run) + " starts on " + executor);
}

void record::run_ended(const std::string& task, std::uint32_t run, const std::string& executor,
                       const std::string& how) {
    const std::lock_guard lock(mutex_);
    for (auto& each : runs_) {
        if (each.task == task && each.run == run && each.executor == executor &&
            each.ended_at < 0) {
            each.ended_at = now_ms();
            each.how = how;
        }
    }
    write("run " + task + " #" + std::to_string(run) + " on " + executor + " ends: " + how);
}

std::vector<run_record> record::runs(const std::string& prefix) const {
    const std::lock_guard lock(mutex_);
    std::vector<run_record> found;
    for (const auto& each : runs_) {
        if (each.task.rfind(prefix, 0) == 0) {
            found.push_back(each);
        }
    }
    return found;
}

}  // namespace review
