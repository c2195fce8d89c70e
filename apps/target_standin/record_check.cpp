#include "record_check.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace tanagerpaddle::record_check {

namespace {

using nlohmann::json;

constexpr double progress_rounding = 1e-6;

struct amounts {
    std::array<long long, 3> values{};
};

constexpr std::array<const char*, 3> amount_names{"processors", "memory", "accelerators"};

amounts read_amounts(const json& from) {
    amounts result;
    for (std::size_t i = 0; i < amount_names.size(); ++i) {
        result.values.at(i) = from.value(amount_names.at(i), 0LL);
    }
    return result;
}

// Identifies a task, and one attempt of it.
struct task_name {
    std::string job;
    long long index = 0;
    friend auto operator<=>(const task_name&, const task_name&) = default;
};

struct attempt_name {
    task_name task;
    long long attempt = 0;
    friend auto operator<=>(const attempt_name&, const attempt_name&) = default;
};

std::string text_of(const task_name& task) {
    return task.job + "/" + std::to_string(task.index);
}

std::string text_of(double ms) {
    std::ostringstream text;
    text.precision(3);
    text << std::fixed << ms;
    return text.str();
}

// One life of one worker: from worker_start to worker_end or to the last line before a crash.
struct worker_life {
    std::string worker;
    double last_ms = 0;
    bool has_ended_cleanly = false;
    std::optional<amounts> capacity;
    amounts committed;
    std::map<attempt_name, amounts> held;
    // Attempts that run, and since when.
    std::map<attempt_name, double> running;
};

struct run_interval {
    double from = 0;
    double to = 0;
    std::string place;
};

struct progress_event {
    double ms = 0;
    bool is_start = false;
    double progress = 0;
    std::string place;
    std::size_t life = 0;
};

struct finish_event {
    double ms = 0;
    std::string place;
    std::size_t life = 0;
};

struct served_request {
    std::string method;
    std::vector<std::string> places;
};

class checker {
public:
    explicit checker(const check_options& options) : options_(options) {}

    void read(const named_record& record);
    [[nodiscard]] check_result finish();

private:
    using task_handler = void (checker::*)(worker_life&, const attempt_name&, const json&);

    void begin_life(const json& event);
    void take(const json& event);
    void take_task_event(const std::string& kind, worker_life& life, const json& event);
    void on_start(worker_life& life, const attempt_name& attempt, const json& event);
    void on_resume(worker_life& life, const attempt_name& attempt, const json& event);
    void on_pause(worker_life& life, const attempt_name& attempt, const json& event);
    void on_stop(worker_life& life, const attempt_name& attempt, const json& event);
    void on_finish(worker_life& life, const attempt_name& attempt, const json& event);
    void on_checkpoint(worker_life& life, const attempt_name& attempt, const json& event);

    void close_interval(worker_life& life, const attempt_name& attempt, double to);
    void close_lives();
    void check_committed(const worker_life& life, double ms);
    void check_drained(const attempt_name& attempt, const json& event);
    void check_overlaps();
    void check_finishes();
    void check_progress();
    void check_requests();
    [[nodiscard]] bool was_lost_in_crash(double ms, std::size_t life) const;
    void report(const std::string& violation) { result_.violations.push_back(violation); }

    check_options options_;
    check_result result_;
    std::vector<worker_life> lives_;
    std::set<std::string> workers_;
    std::map<task_name, std::vector<run_interval>> intervals_;
    std::map<task_name, std::vector<progress_event>> progress_;
    std::map<task_name, std::vector<finish_event>> finishes_;
    std::map<std::string, served_request> requests_;
};

std::string place_of(const worker_life& life, const attempt_name& attempt) {
    return life.worker + " attempt " + std::to_string(attempt.attempt);
}

void checker::read(const named_record& record) {
    // Lines before the first worker_start belong to a life of their own.
    lives_.emplace_back();
    std::string line;
    std::size_t number = 0;
    while (std::getline(*record.lines, line)) {
        ++number;
        // A process that is killed may leave its last line unfinished.
        const bool is_unfinished = record.lines->eof();
        const json event = json::parse(line, nullptr, false);
        if (event.is_object()) {
            try {
                take(event);
                continue;
            } catch (const json::exception&) {
                // Reported below.
            }
        }
        if (!is_unfinished) {
            report("unreadable line " + std::to_string(number) + " of " + record.name);
        }
    }
}

void checker::begin_life(const json& event) {
    worker_life life;
    life.capacity = read_amounts(event.at("capacity"));
    life.committed = read_amounts(event.value("reserved", json::object()));
    lives_.push_back(std::move(life));
}

void checker::take(const json& event) {
    const auto kind = event.at("event").get<std::string>();
    const double ms = event.at("ms").get<double>();
    if (kind == "worker_start") {
        begin_life(event);
    }
    worker_life& life = lives_.back();
    life.worker = event.at("worker").get<std::string>();
    life.last_ms = std::max(life.last_ms, ms);
    workers_.insert(life.worker);
    ++result_.events;
    if (kind == "worker_start") {
        check_committed(life, ms);
    } else if (kind == "worker_end") {
        life.has_ended_cleanly = true;
    } else if (kind == "serve_start") {
        auto& request = requests_[event.at("request").get<std::string>()];
        request.method = event.at("method").get<std::string>();
        request.places.push_back(life.worker + " at " + text_of(ms));
    } else if (kind.starts_with("task_")) {
        take_task_event(kind, life, event);
    }
}

void checker::take_task_event(const std::string& kind, worker_life& life, const json& event) {
    static const std::map<std::string, task_handler> handlers{
        {"task_start", &checker::on_start},           {"task_resume", &checker::on_resume},
        {"task_pause", &checker::on_pause},           {"task_stop", &checker::on_stop},
        {"task_finish", &checker::on_finish},         {"task_fail", &checker::on_stop},
        {"task_checkpoint", &checker::on_checkpoint},
    };
    const auto found = handlers.find(kind);
    if (found == handlers.end()) {
        report("unknown event " + kind + " of " + life.worker);
        return;
    }
    const attempt_name attempt{
        {event.at("job").get<std::string>(), event.at("index").get<long long>()},
        event.at("attempt").get<long long>()};
    (this->*found->second)(life, attempt, event);
}

void checker::check_drained(const attempt_name& attempt, const json& event) {
    const auto domain = event.value("domain", "");
    const double ms = event.at("ms").get<double>();
    for (const auto& drained : options_.drained) {
        if (drained.domain == domain && ms > drained.from_ms + options_.tolerance_ms &&
            ms < drained.until_ms) {
            report("task " + text_of(attempt.task) + " started in drained " + domain + " at " +
                   text_of(ms) + ", " + text_of(ms - drained.from_ms) + " ms after the limit");
        }
    }
}

void checker::check_committed(const worker_life& life, double ms) {
    if (!life.capacity) {
        return;
    }
    for (std::size_t i = 0; i < amount_names.size(); ++i) {
        const long long committed = life.committed.values.at(i);
        const long long capacity = life.capacity->values.at(i);
        if (committed > capacity) {
            report(life.worker + " had " + std::to_string(committed) + " " + amount_names.at(i) +
                   " committed of " + std::to_string(capacity) + " at " + text_of(ms));
        }
    }
}

void checker::on_start(worker_life& life, const attempt_name& attempt, const json& event) {
    const double ms = event.at("ms").get<double>();
    ++result_.task_starts;
    check_drained(attempt, event);
    if (life.held.contains(attempt)) {
        report("attempt " + std::to_string(attempt.attempt) + " of task " + text_of(attempt.task) +
               " started again on " + life.worker + " at " + text_of(ms));
        close_interval(life, attempt, ms);
    } else {
        const amounts demand = read_amounts(event);
        life.held.emplace(attempt, demand);
        for (std::size_t i = 0; i < amount_names.size(); ++i) {
            life.committed.values.at(i) += demand.values.at(i);
        }
        check_committed(life, ms);
    }
    life.running[attempt] = ms;
    progress_[attempt.task].push_back(
        {ms, true, event.value("progress", 0.0), place_of(life, attempt), lives_.size() - 1});
}

void checker::on_resume(worker_life& life, const attempt_name& attempt, const json& event) {
    life.running.emplace(attempt, event.at("ms").get<double>());
}

void checker::on_pause(worker_life& life, const attempt_name& attempt, const json& event) {
    close_interval(life, attempt, event.at("ms").get<double>());
}

void checker::on_stop(worker_life& life, const attempt_name& attempt, const json& event) {
    close_interval(life, attempt, event.at("ms").get<double>());
    const auto found = life.held.find(attempt);
    if (found != life.held.end()) {
        for (std::size_t i = 0; i < amount_names.size(); ++i) {
            life.committed.values.at(i) -= found->second.values.at(i);
        }
        life.held.erase(found);
    }
}

void checker::on_finish(worker_life& life, const attempt_name& attempt, const json& event) {
    on_stop(life, attempt, event);
    finishes_[attempt.task].push_back(
        {event.at("ms").get<double>(), place_of(life, attempt), lives_.size() - 1});
}

void checker::on_checkpoint(worker_life& life, const attempt_name& attempt, const json& event) {
    progress_[attempt.task].push_back({event.at("ms").get<double>(), false,
                                       event.at("progress").get<double>(), place_of(life, attempt),
                                       lives_.size() - 1});
}

void checker::close_interval(worker_life& life, const attempt_name& attempt, double to) {
    const auto found = life.running.find(attempt);
    if (found != life.running.end()) {
        intervals_[attempt.task].push_back({found->second, to, place_of(life, attempt)});
        life.running.erase(found);
    }
}

// What still ran when the worker ended or crashed ran until its last line.
void checker::close_lives() {
    for (auto& life : lives_) {
        while (!life.running.empty()) {
            const attempt_name attempt = life.running.begin()->first;
            close_interval(life, attempt, life.last_ms);
        }
    }
}

bool checker::was_lost_in_crash(double ms, std::size_t life) const {
    const worker_life& where = lives_.at(life);
    return !where.has_ended_cleanly && options_.crash_grace_ms > 0 &&
           ms >= where.last_ms - options_.crash_grace_ms;
}

void checker::check_overlaps() {
    for (auto& [task, intervals] : intervals_) {
        std::sort(intervals.begin(), intervals.end(),
                  [](const auto& a, const auto& b) { return a.from < b.from; });
        const run_interval* latest = nullptr;
        for (const auto& interval : intervals) {
            if (latest != nullptr && interval.from + options_.tolerance_ms < latest->to) {
                const double overlap = std::min(latest->to, interval.to) - interval.from;
                if (overlap > options_.tolerance_ms) {
                    report("task " + text_of(task) + " ran in two places for " + text_of(overlap) +
                           " ms from " + text_of(interval.from) + ": " + latest->place + " and " +
                           interval.place);
                }
            }
            if (latest == nullptr || interval.to > latest->to) {
                latest = &interval;
            }
        }
    }
}

void checker::check_finishes() {
    for (auto& [task, finishes] : finishes_) {
        std::sort(finishes.begin(), finishes.end(),
                  [](const auto& a, const auto& b) { return a.ms < b.ms; });
        std::string places;
        bool was_known = false;
        for (const auto& finish : finishes) {
            // The last one excuses no other, whatever became of its worker.
            const bool is_last = &finish == &finishes.back();
            was_known = was_known || (!is_last && !was_lost_in_crash(finish.ms, finish.life));
            places += (places.empty() ? "" : ", ") + finish.place + " at " + text_of(finish.ms);
        }
        if (was_known) {
            report("task " + text_of(task) + " finished " + std::to_string(finishes.size()) +
                   " times: " + places);
        }
    }
    result_.tasks_finished = finishes_.size();
}

void checker::check_progress() {
    for (auto& [task, events] : progress_) {
        std::stable_sort(events.begin(), events.end(),
                         [](const auto& a, const auto& b) { return a.ms < b.ms; });
        const progress_event* checkpoint = nullptr;
        for (const auto& event : events) {
            if (!event.is_start) {
                if (!was_lost_in_crash(event.ms, event.life)) {
                    checkpoint = &event;
                }
            } else if (checkpoint != nullptr &&
                       event.progress + progress_rounding < checkpoint->progress) {
                report("task " + text_of(task) + " lost progress: " + event.place + " started at " +
                       std::to_string(event.progress) + " at " + text_of(event.ms) +
                       " after the checkpoint at " + std::to_string(checkpoint->progress) + " of " +
                       checkpoint->place);
            }
        }
    }
}

void checker::check_requests() {
    for (const auto& [id, request] : requests_) {
        if (request.places.size() < 2 || options_.idempotent_methods.contains(request.method)) {
            continue;
        }
        std::ostringstream text;
        text << "request " << id << " of method " << request.method << " was served "
             << request.places.size() << " times:";
        for (const auto& place : request.places) {
            text << ' ' << place << ';';
        }
        report(text.str());
    }
    result_.requests = requests_.size();
}

check_result checker::finish() {
    close_lives();
    check_overlaps();
    check_finishes();
    check_progress();
    check_requests();
    result_.workers = workers_.size();
    return std::move(result_);
}

}  // namespace

drained_domain parse_drained(const std::string& text) {
    const auto at = text.rfind('@');
    if (at == std::string::npos || at == 0) {
        throw std::invalid_argument("not DOMAIN@MS: " + text);
    }
    drained_domain result;
    result.domain = text.substr(0, at);
    const std::string times = text.substr(at + 1);
    const auto dash = times.find('-');
    result.from_ms = std::stod(times.substr(0, dash));
    if (dash != std::string::npos) {
        result.until_ms = std::stod(times.substr(dash + 1));
    }
    return result;
}

check_result check(const std::vector<named_record>& records, const check_options& options) {
    checker work(options);
    for (const auto& record : records) {
        work.read(record);
    }
    return work.finish();
}

}  // namespace tanagerpaddle::record_check
