// The executor stand-in: one life is one process.

#include <algorithm>
#include <cstdlib>

#include "standin.hpp"

namespace review {

namespace {

constexpr int max_lease_ms = 6'000;
constexpr std::size_t max_listed_ends = 500;
constexpr int stop_takes_ms = 50;
constexpr int tick_ms = 5;
constexpr int report_timeout_ms = 1'000;

struct run_state {
    std::uint32_t run = 0;
    std::int64_t started_at = 0;
    std::int64_t work_ms = 0;
    std::optional<std::int64_t> stops_at;
    bool fails = false;
    bool is_long_running = false;
};

struct end_state {
    std::uint64_t number = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string how;
};

class executor_life {
public:
    explicit executor_life(const executor_settings& settings)
        : settings_(settings), records_(settings.record_file), born_(unix_ms()) {}

    void run();

private:
    [[nodiscard]] std::int64_t clock_ms() const { return steady_ms() - started_at_ + 1'000; }
    // Refuses orders of an earlier epoch, and takes note of a later one.
    [[nodiscard]] bool takes_epoch(const json& body);
    void extend_lease(const json& body);
    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] http_response answer(int status, const std::string& reason = {}) const;
    [[nodiscard]] http_response start(const http_request& request);
    [[nodiscard]] http_response stop(const http_request& request);
    [[nodiscard]] http_response hold(const http_request& request);
    void end_run(const std::string& task, const std::string& how);
    void advance();
    void report();

    executor_settings settings_;
    record records_;
    std::int64_t born_;
    std::int64_t started_at_ = steady_ms();
    std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, run_state> running_;
    // Highest run that was stopped or has ended here.
    std::map<std::string, std::uint32_t> closed_;
    std::vector<end_state> ends_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_listed_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::uint64_t epoch_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t sequence_ = 0;
};

bool executor_life::takes_epoch(const json& body) {
    const auto epoch = body.value("fencingToken", std::uint64_t{0});
    if (epoch < epoch_) {
        return false;
    }
    epoch_ = epoch;
    return true;
}

void executor_life::extend_lease(const json& body) {
    if (body.contains("deadlineMs")) {
        const auto until =
            std::min(body.at("deadlineMs").get<std::int64_t>(), clock_ms() + max_lease_ms);
        lease_until_ = std::max(lease_until_, until);
    }
}

http_response executor_life::answer(int status, const std::string& reason) const {
    json out{{"clockMs", clock_ms()}, {"born", born_}};
    if (!reason.empty()) {
        out["reason"] = reason;
    }
    return {status, out.dump()};
}

http_response executor_life::start(const http_request& request) {
    const json body = json::parse(request.body);
    const std::string task = body.at("task");
    const auto run = body.at("runId").get<std::uint32_t>();
    const std::lock_guard lock(mutex_);
    const auto expected = request.header("expected-instance");
    if (!expected.empty() && expected != settings_.id) {
        return answer(421);
    }
    if (!takes_epoch(body)) {
        return answer(409, "fence");
    }
    if (body.value("deadlineMs", std::int64_t{0}) <= clock_ms()) {
        return answer(409, "late");
    }
    extend_lease(body);
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run == run) {
        return answer(200);
    }
    const auto closed = closed_.find(task);
    if (present != running_.end() || (closed != closed_.end() && run <= closed->second)) {
        return answer(409, "old");
    }
    const json spec = json::parse(body.value("spec", "{}"), nullptr, false);
    run_state next;
    next.run = run;
    next.started_at = steady_ms();
    if (spec.is_object()) {
        next.work_ms = spec.value("ms", 500);
        next.fails = spec.value("fails", false);
        next.is_long_running = spec.value("lasts", false);
    }
    running_[task] = next;
    records_.add("start " + task + " " + std::to_string(run) + " " + settings_.id);
    return answer(200);
}

http_response executor_life::stop(const http_request& request) {
    const json body = json::parse(request.body);
    const std::string task = body.at("task");
    const auto run = body.at("runId").get<std::uint32_t>();
    const std::lock_guard lock(mutex_);
    if (!takes_epoch(body)) {
        return answer(409, "fence");
    }
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.run == run) {
        present->second.stops_at = steady_ms() + stop_takes_ms;
    } else {
        auto& closed = closed_[task];
        closed = std::max(closed, run);
    }
    records_.add("stop " + task + " " + std::to_string(run) + " " + settings_.id);
    return answer(200);
}

http_response executor_life::hold(const http_request& request) {
    const json body = json::parse(request.body);
    std::unique_lock lock(mutex_);
    if (!takes_epoch(body)) {
        return answer(409, "fence");
    }
    extend_lease(body);
    const auto cursor = body.value("ackCursor", std::uint64_t{0});
    if (cursor > acknowledged_) {
        acknowledged_ = cursor;
        std::erase_if(ends_, [&](const end_state& each) { return each.number <= cursor; });
        records_.add("acknowledged " + std::to_string(cursor) + " " + settings_.id);
    }
    ended_.wait_for(lock, milliseconds(body.value("waitMs", 0)),
                    [&] { return last_number_ > last_listed_; });
    json out{{"clockMs", clock_ms()}, {"born", born_}};
    out["running"] = json::array();
    for (const auto& [task, state] : running_) {
        const auto done = state.work_ms > 0 ? (steady_ms() - state.started_at) * 100 / state.work_ms
                                            : std::int64_t{0};
        const auto percent = state.is_long_running ? 100 : std::min<std::int64_t>(done, 99);
        out["running"].push_back(json::array({task, state.run, "", percent, 0}));
    }
    out["finished"] = json::array();
    for (const auto& each : ends_) {
        if (out["finished"].size() < max_listed_ends) {
            out["finished"].push_back(
                json::array({each.number, each.task, each.run, each.how, ""}));
            last_listed_ = std::max(last_listed_, each.number);
        }
    }
    return {200, out.dump()};
}

void executor_life::end_run(const std::string& task, const std::string& how) {
    const auto run = running_.at(task).run;
    running_.erase(task);
    auto& closed = closed_[task];
    closed = std::max(closed, run);
    ends_.push_back({++last_number_, task, run, how});
    records_.add("end " + task + " " + std::to_string(run) + " " + settings_.id + " " + how + " " +
                 std::to_string(last_number_));
    ended_.notify_all();
}

void executor_life::advance() {
    const std::lock_guard lock(mutex_);
    const auto now = steady_ms();
    const bool is_lapsed = clock_ms() >= lease_until_;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, state] : running_) {
        if (is_lapsed) {
            over.emplace_back(task, "lapsed");
        } else if (state.stops_at && now >= *state.stops_at) {
            over.emplace_back(task, "stopped");
        } else if (!state.is_long_running && now - state.started_at >= state.work_ms) {
            over.emplace_back(task, state.fails ? "failed" : "done");
        }
    }
    for (const auto& [task, how] : over) {
        end_run(task, how);
    }
}

void executor_life::report() {
    const json body{
        {"service", settings_.service},
        {"address", loopback(settings_.port)},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"capacity", {{"cpu", settings_.cpu}, {"memMb", settings_.memory_mb}, {"gpu", 0}}},
        {"labels", {"a", settings_.rack}},
        {"clockMs", clock_ms()},
        {"born", born_},
        {"sequence", ++sequence_}};
    // An agent that is down gets the next one.
    (void)send_http(
        settings_.agent_port, "POST", "/executors/" + settings_.id + "/heartbeat",
        {{"Host", loopback(settings_.agent_port)}, {"Content-Type", "application/json"}},
        body.dump(), report_timeout_ms);
}

http_response executor_life::serve(const http_request& request) {
    if (request.path == "/run-start") {
        return start(request);
    }
    if (request.path == "/run-stop") {
        return stop(request);
    }
    return request.path == "/hold" ? hold(request) : answer(200);
}

void executor_life::run() {
    records_.add("life " + settings_.id + " " + std::to_string(born_));
    const http_server server(settings_.port,
                             [this](const http_request& request) { return serve(request); });
    std::thread([this] {
        for (;;) {
            advance();
            sleep_ms(tick_ms);
        }
    }).detach();
    std::thread([this] {
        for (;;) {
            report();
            sleep_ms(settings_.heartbeat_ms);
        }
    }).detach();
    for (;;) {
        sleep_ms(settings_.heartbeat_ms);
    }
}

}  // namespace

int run_executor(const executor_settings& settings) {
    executor_life(settings).run();
    return EXIT_SUCCESS;
}

std::vector<std::string> executor_command(const std::string& self,
                                          const executor_settings& settings) {
    return {self,
            "executor",
            settings.id,
            std::to_string(settings.port),
            std::to_string(settings.agent_port),
            settings.service,
            settings.zone,
            settings.rack,
            std::to_string(settings.cpu),
            std::to_string(settings.memory_mb),
            std::to_string(settings.heartbeat_ms),
            settings.record_file};
}

executor_settings parse_executor(const std::vector<std::string>& arguments) {
    executor_settings settings;
    settings.id = arguments.at(2);
    settings.port = std::stoi(arguments.at(3));
    settings.agent_port = std::stoi(arguments.at(4));
    settings.service = arguments.at(5);
    settings.zone = arguments.at(6);
    settings.rack = arguments.at(7);
    settings.cpu = std::stoi(arguments.at(8));
    settings.memory_mb = std::stoi(arguments.at(9));
    settings.heartbeat_ms = std::stoi(arguments.at(10));
    settings.record_file = arguments.at(11);
    return settings;
}

}  // namespace review
