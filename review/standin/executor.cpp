#include "executor.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {

executor::executor(executor_options options, record& log)
    : options_(std::move(options)), log_(log) {}

executor::~executor() {
    crash();
}

void executor::start(const std::string& id, std::int64_t first_report_ms) {
    {
        const std::lock_guard lock(mutex_);
        id_ = id;
        running_.clear();
        finished_.clear();
        closed_runs_.clear();
        last_end_ = 0;
        highest_token_ = 0;
        lease_until_ = 0;
        begun_at_ = now_ms();
        born_ = unix_ms();
        sequence_ = 0;
        has_failed_ = false;
        is_alive_ = true;
    }
    log_.line("executor " + options_.name + " starts as " + id);
    server_ = std::make_unique<http_server>(
        options_.port, [this](const http_request& request) { return answer(request); });
    ticker_ = std::thread([this] { tick(); });
    reporter_ = std::thread([this, first_report_ms] { send_reports(first_report_ms); });
}

void executor::crash() {
    {
        const std::lock_guard lock(mutex_);
        if (!is_alive_) {
            return;
        }
        is_alive_ = false;
        log_.line("executor " + options_.name + " crashes");
        for (const auto& [task, each] : running_) {
            log_.run_ended(task, each.number, options_.name, "crashed");
        }
        running_.clear();
        changed_.notify_all();
    }
    server_.reset();
    for (auto* each : {&ticker_, &reporter_}) {
        if (each->joinable()) {
            each->join();
        }
    }
}

void executor::fail_at_start_of(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    fails_at_ = prefix;
}

bool executor::has_failed() const {
    const std::lock_guard lock(mutex_);
    return has_failed_;
}

std::size_t executor::running_count() const {
    const std::lock_guard lock(mutex_);
    return running_.size();
}

std::size_t executor::unacknowledged_count() const {
    const std::lock_guard lock(mutex_);
    return finished_.size();
}

executor::json executor::report() {
    const std::lock_guard lock(mutex_);
    return {{"service", options_.service},
            {"address", "127.0.0.1:" + std::to_string(options_.port)},
            {"zone", options_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.memory_mb}, {"gpu", 0}}},
            {"labels", options_.labels},
            {"clockMs", clock_ms()},
            {"sequence", ++sequence_},
            {"born", born_}};
}

void executor::send_reports(std::int64_t first_report_ms) {
    auto next = now_ms() + first_report_ms;
    while (true) {
        {
            std::unique_lock lock(mutex_);
            changed_.wait_for(lock,
                              std::chrono::milliseconds(std::max<std::int64_t>(0, next - now_ms())),
                              [&] { return !is_alive_; });
            if (!is_alive_) {
                return;
            }
        }
        if (now_ms() >= next) {
            next = now_ms() + options_.heartbeat_ms;
            (void)call(options_.report_port,
                       {"POST", "/executors/" + id_ + "/heartbeat", {}, report().dump()}, 1'000);
        }
    }
}

void executor::end_run(const std::string& task, const std::string& how) {
    const auto found = running_.find(task);
    const auto number = found->second.number;
    running_.erase(found);
    closed_runs_[task] = std::max(closed_runs_[task], number);
    finished_.push_back({++last_end_, task, number, how});
    log_.run_ended(task, number, options_.name, how);
    changed_.notify_all();
}

void executor::tick() {
    constexpr std::int64_t interval = 5;
    std::unique_lock lock(mutex_);
    while (is_alive_) {
        const auto now = clock_ms();
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto& [task, each] : running_) {
            if (now > lease_until_) {
                ends.emplace_back(task, "lapsed");
            } else if (each.stops_at && now >= *each.stops_at) {
                ends.emplace_back(task, "stopped");
            } else if (each.duration > 0 && now >= each.begun_at + each.duration) {
                ends.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ends) {
            end_run(task, how);
        }
        changed_.wait_for(lock, std::chrono::milliseconds(interval));
    }
}

http_response executor::reply(int status, json body) const {
    body["clockMs"] = clock_ms();
    body["born"] = born_;
    return {status, body.dump()};
}

http_response executor::answer(const http_request& request) {
    std::unique_lock lock(mutex_);
    if (!is_alive_ || has_failed_) {
        return {0, ""};
    }
    const auto intended = request.headers.find("expected-instance");
    if (intended != request.headers.end() && intended->second != id_) {
        return reply(421);
    }
    if (request.method != "POST") {
        return {request.target == "/health" ? 200 : 404, ""};
    }
    const auto body = json::parse(request.body);
    if (!passes_fence(body)) {
        return reply(409, {{"reason", "fence"}});
    }
    if (request.target == "/run-start") {
        return start_run(body);
    }
    if (request.target == "/run-stop") {
        return stop_run(body);
    }
    if (request.target == "/hold") {
        return hold(body, lock);
    }
    return request.target == "/pace" ? reply(200) : http_response{404, ""};
}

bool executor::passes_fence(const json& body) {
    const auto token = body.value("fencingToken", std::uint64_t{0});
    highest_token_ = std::max(highest_token_, token);
    return token == highest_token_;
}

void executor::extend_lease(const json& body) {
    const auto until =
        std::min(body.value("deadlineMs", std::int64_t{0}), clock_ms() + options_.hold_max_ms);
    lease_until_ = std::max(lease_until_, until);
}

http_response executor::start_run(const json& body) {
    const std::string task = body.at("task");
    const std::uint32_t number = body.at("runId");
    const auto running = running_.find(task);
    if (running != running_.end() && running->second.number == number) {
        return reply(200);
    }
    if (!fails_at_.empty() && task.rfind(fails_at_, 0) == 0) {
        log_.line("executor " + options_.name + " fails before it carries out the start of " +
                  task + " #" + std::to_string(number));
        fails_at_.clear();
        has_failed_ = true;
        return {0, ""};
    }
    if (body.value("deadlineMs", std::int64_t{0}) <= clock_ms()) {
        return reply(409, {{"reason", "late"}});
    }
    extend_lease(body);
    const auto closed = closed_runs_.find(task);
    if (running != running_.end() || (closed != closed_runs_.end() && number <= closed->second)) {
        return reply(409, {{"reason", "old"}});
    }
    run added;
    added.number = number;
    added.begun_at = clock_ms();
    const std::string spec = body.value("spec", "");
    if (spec.rfind("run_ms=", 0) == 0) {
        added.duration = std::atoll(spec.c_str() + 7);
    }
    running_[task] = added;
    log_.run_started(task, number, options_.name);
    return reply(200);
}

http_response executor::stop_run(const json& body) {
    const std::string task = body.at("task");
    const std::uint32_t number = body.at("runId");
    const auto running = running_.find(task);
    if (running != running_.end() && running->second.number == number) {
        if (!running->second.stops_at) {
            running->second.stops_at = clock_ms() + options_.stop_ms;
        }
    } else {
        closed_runs_[task] = std::max(closed_runs_[task], number);
    }
    return reply(200);
}

http_response executor::hold(const json& body, std::unique_lock<std::mutex>& lock) {
    extend_lease(body);
    const auto acknowledged = body.value("ackCursor", std::uint64_t{0});
    std::erase_if(finished_, [&](const end& each) { return each.number <= acknowledged; });
    const auto wait = std::chrono::milliseconds(body.value("waitMs", std::int64_t{0}));
    changed_.wait_for(lock, wait, [&] { return !is_alive_ || !finished_.empty(); });
    if (!is_alive_) {
        return {0, ""};
    }
    json running = json::array();
    for (const auto& [task, each] : running_) {
        const auto age = clock_ms() - each.begun_at;
        const auto percent = each.duration > 0
                                 ? std::min<std::int64_t>(99, age * 100 / each.duration)
                                 : std::int64_t{100};
        running.push_back({task, each.number, "", percent, 100});
    }
    json finished = json::array();
    for (const auto& each : finished_) {
        finished.push_back({each.number, each.task, each.run, each.how, ""});
    }
    return reply(200, {{"running", running}, {"finished", finished}});
}

}  // namespace review
