#include <algorithm>
#include <cmath>

#include "standin.hpp"

namespace standin {

namespace {

constexpr std::int64_t beat_ms = 1'500;
constexpr std::int64_t retry_ms = 300;
constexpr std::int64_t max_hold_ms = 6'000;
constexpr std::int64_t max_wait_ms = 2'000;
// Within the bound stopTimeoutMs of 200 to 900 ms.
constexpr std::int64_t stop_ms = 100;
constexpr std::int64_t step_ms = 10;
constexpr std::size_t max_listed_ends = 500;

int step_of(const std::string& task) {
    const auto last = task.rfind('.');
    const auto before = task.rfind('.', last - 1);
    return std::stoi(task.substr(before + 1, last - before - 1));
}

}  // namespace

behaviour behaviour_of(const std::string& spec, int step) {
    std::string text = spec;
    const std::string mark = "step " + std::to_string(step) + ": ";
    if (const auto at = spec.find(mark); at != std::string::npos) {
        text = spec.substr(at + mark.size());
        text = text.substr(0, text.find('\n'));
    }
    behaviour out;
    out.lasts = text.rfind("last", 0) == 0;
    if (text.rfind("work=", 0) == 0) {
        out.work_ms = std::stoll(text.substr(5));
    }
    return out;
}

executor::executor(executor_options options, record& log)
    : options_(std::move(options)), log_(log) {
    worker_ = std::thread([this] { work(); });
    reporter_ = std::thread([this] { report(); });
}

executor::~executor() {
    is_closing_ = true;
    worker_.join();
    reporter_.join();
    crash();
}

void executor::begin() {
    {
        const std::lock_guard lock(mutex_);
        is_alive_ = true;
        ++life_;
        born_ = unix_ms();
        clock_origin_ = now_ms() - 1'000;
        lease_until_ = 0;
        fence_ = 0;
        sequence_ = 0;
        last_end_ = 0;
        finished_.clear();
        closed_.clear();
    }
    server_ = std::make_unique<http_server>(
        options_.app, [this, life = life_](const request& in) { return serve(in, life); });
    log_.line("executor " + options_.id + " is up, kind " + options_.labels.front());
}

bool executor::end_life() {
    const std::lock_guard lock(mutex_);
    if (!is_alive_) {
        return false;
    }
    is_alive_ = false;
    for (const auto& [task, run] : running_) {
        note(task, run.number, "crashed");
    }
    running_.clear();
    ended_.notify_all();
    return true;
}

void executor::crash() {
    if (end_life()) {
        server_.reset();
        log_.line("executor " + options_.id + " is down");
    }
}

void executor::lose_power() {
    if (end_life()) {
        server_->close_listener();
        dark_servers_.push_back(std::move(server_));
        log_.line("executor " + options_.id + " has lost power");
    }
}

void executor::set_kind(std::vector<std::string> labels, int cpu, int mem_mb) {
    const std::lock_guard lock(mutex_);
    options_.labels = std::move(labels);
    options_.cpu = cpu;
    options_.mem_mb = mem_mb;
}

void executor::set_measure(measure measured) {
    const std::lock_guard lock(mutex_);
    measure_ = std::move(measured);
}

std::vector<run_event> executor::events() {
    const std::lock_guard lock(mutex_);
    return events_;
}

std::optional<int> executor::pace_of(const std::string& task) {
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(task);
    return found == running_.end() ? std::nullopt : std::optional(found->second.pace);
}

std::optional<int> executor::percent_of(const std::string& task) {
    const std::lock_guard lock(mutex_);
    const auto found = running_.find(task);
    if (found == running_.end()) {
        return std::nullopt;
    }
    const auto& run = found->second;
    return run.does.lasts
               ? 100
               : static_cast<int>(100 * run.worked_ms / static_cast<double>(run.does.work_ms));
}

std::size_t executor::running_count() {
    const std::lock_guard lock(mutex_);
    return running_.size();
}

void executor::note(const std::string& task, std::uint32_t run, const std::string& what) {
    events_.push_back({now_ms(), options_.id, task, run, what});
    log_.line(options_.id + " " + task + " run " + std::to_string(run) + ": " + what);
}

bool executor::is_fenced(const json& body) {
    const auto token = body.value("fencingToken", std::uint64_t{0});
    if (token < fence_) {
        return true;
    }
    fence_ = token;
    return false;
}

response executor::refuse(const std::string& reason) const {
    return {409, json{{"clockMs", clock()}, {"born", born_}, {"reason", reason}}.dump()};
}

response executor::serve(const request& in, std::uint64_t life) {
    std::unique_lock lock(mutex_);
    if (!is_alive_ || life != life_) {
        return {0, ""};
    }
    const auto body = json::parse(in.body);
    if (in.path == "/run-start") {
        return start(in, body);
    }
    if (in.path == "/run-stop") {
        return stop(body);
    }
    if (in.path == "/hold") {
        return hold(body, lock);
    }
    return in.path == "/pace" ? pace(body) : response{404, "{}"};
}

response executor::start(const request& in, const json& body) {
    const auto expected = in.headers.find("expected-instance");
    if (expected != in.headers.end() && expected->second != options_.id) {
        return {421, json{{"clockMs", clock()}, {"born", born_}}.dump()};
    }
    if (is_fenced(body)) {
        return refuse("fence");
    }
    const auto until = std::min(body.at("deadlineMs").get<std::int64_t>(), clock() + max_hold_ms);
    lease_until_ = std::max(lease_until_, until);
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::uint32_t>();
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == number) {
        return {200, json{{"clockMs", clock()}, {"born", born_}}.dump()};
    }
    if (number <= closed_[task] || found != running_.end()) {
        return refuse("old");
    }
    if (until <= clock()) {
        return refuse("late");
    }
    run added;
    added.number = number;
    added.does = behaviour_of(body.at("spec").get<std::string>(), step_of(task));
    running_[task] = added;
    note(task, number, "start");
    return {200, json{{"clockMs", clock()}, {"born", born_}}.dump()};
}

response executor::stop(const json& body) {
    if (is_fenced(body)) {
        return refuse("fence");
    }
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::uint32_t>();
    auto& closed = closed_[task];
    closed = std::max(closed, number);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number <= number && !found->second.stop_at) {
        found->second.stop_at = now_ms() + stop_ms;
    }
    return {200, json{{"clockMs", clock()}, {"born", born_}}.dump()};
}

response executor::pace(const json& body) {
    if (is_fenced(body)) {
        return refuse("fence");
    }
    const auto task = body.at("task").get<std::string>();
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == body.at("runId").get<std::uint32_t>()) {
        found->second.pace = body.at("percent").get<int>();
        note(task, found->second.number, "pace " + std::to_string(found->second.pace));
    }
    return {200, json{{"clockMs", clock()}, {"born", born_}}.dump()};
}

response executor::hold(const json& body, std::unique_lock<std::mutex>& lock) {
    if (is_fenced(body)) {
        return refuse("fence");
    }
    if (body.contains("deadlineMs")) {
        lease_until_ = std::max(
            lease_until_, std::min(body["deadlineMs"].get<std::int64_t>(), clock() + max_hold_ms));
    }
    const auto cursor = body.value("ackCursor", std::uint64_t{0});
    while (!finished_.empty() && finished_.front().number <= cursor) {
        finished_.pop_front();
    }
    const auto life = life_;
    const auto known = last_end_;
    const auto wait = std::min(body.value("waitMs", std::int64_t{0}), max_wait_ms);
    const auto is_over = [&] { return life != life_ || !is_alive_ || last_end_ != known; };
    if (wait > 0 && finished_.empty()) {
        ended_.wait_for(lock, std::chrono::milliseconds(wait), is_over);
    }
    if (life != life_ || !is_alive_) {
        return {0, ""};
    }
    json running = json::array();
    for (const auto& [task, run] : running_) {
        const int percent =
            run.does.lasts
                ? 100
                : static_cast<int>(100 * run.worked_ms / static_cast<double>(run.does.work_ms));
        running.push_back({task, run.number, "", percent, measure_ ? measure_(task) : 0});
    }
    json finished = json::array();
    for (const auto& each : finished_) {
        if (finished.size() == max_listed_ends) {
            break;
        }
        finished.push_back({each.number, each.task, each.run, each.how, ""});
    }
    return {
        200,
        json{{"clockMs", clock()}, {"born", born_}, {"running", running}, {"finished", finished}}
            .dump()};
}

void executor::finish(const std::string& task, const std::string& how) {
    const auto number = running_.at(task).number;
    running_.erase(task);
    finished_.push_back({++last_end_, task, number, how});
    auto& closed = closed_[task];
    closed = std::max(closed, number);
    note(task, number, how);
    ended_.notify_all();
}

void executor::work() {
    while (!is_closing_) {
        sleep_ms(step_ms);
        const std::lock_guard lock(mutex_);
        const bool has_lapsed = clock() > lease_until_;
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto& [task, run] : running_) {
            run.worked_ms += static_cast<double>(step_ms) * run.pace / 100;
            if (has_lapsed) {
                ends.emplace_back(task, "lapsed");
            } else if (run.stop_at && now_ms() >= *run.stop_at) {
                ends.emplace_back(task, "stopped");
            } else if (!run.does.lasts && run.worked_ms >= static_cast<double>(run.does.work_ms)) {
                ends.emplace_back(task, "done");
            }
        }
        for (const auto& [task, how] : ends) {
            finish(task, how);
        }
    }
}

// Reports at the start of each life, and then every `beat_ms`.
void executor::report() {
    std::uint64_t life = 0;
    std::int64_t next = 0;
    while (!is_closing_) {
        sleep_ms(step_ms);
        json body;
        {
            const std::lock_guard lock(mutex_);
            if (!is_alive_ || (life == life_ && now_ms() < next)) {
                continue;
            }
            life = life_;
            body = {{"service", options_.service},
                    {"address", options_.app.text()},
                    {"zone", options_.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"coldRemainingMs", 0},
                    {"capacity", {{"cpu", options_.cpu}, {"memMb", options_.mem_mb}, {"gpu", 0}}},
                    {"labels", options_.labels},
                    {"clockMs", clock()},
                    {"born", born_},
                    {"sequence", ++sequence_}};
        }
        const auto answer =
            call(options_.control_plane, "POST", "/executors/" + options_.id + "/heartbeat",
                 body.dump(), {}, 1'000);
        next = now_ms() + (answer && answer->status == 200 ? beat_ms : retry_ms);
    }
}

}  // namespace standin
