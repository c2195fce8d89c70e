#include "record_check.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace tanagerpaddle::record_check;

namespace {

// One event line of worker `worker` in domain "d1" of a worker with 4000 millicores.
std::string line(double ms, const std::string& worker, const std::string& event,
                 const std::string& more = "") {
    std::ostringstream text;
    text << R"({"ms":)" << ms << R"(,"worker":")" << worker << R"(","domain":"d1","event":")"
         << event << '"' << (more.empty() ? "" : ",") << more << "}\n";
    return text.str();
}

std::string begin(double ms, const std::string& worker) {
    return line(ms, worker, "worker_start",
                R"("capacity":{"processors":4000,"memory":100,"accelerators":0},)"
                R"("reserved":{"processors":1000,"memory":0,"accelerators":0})");
}

std::string task(double ms, const std::string& worker, const std::string& event, int attempt,
                 double progress = 0, const std::string& job = "j") {
    std::ostringstream fields;
    fields << R"("job":")" << job << R"(","index":0,"attempt":)" << attempt << R"(,"progress":)"
           << progress << R"(,"processors":2000,"memory":10,"accelerators":0)";
    return line(ms, worker, event, fields.str());
}

std::string served(double ms, const std::string& worker, const std::string& id) {
    return line(ms, worker, "serve_start", R"("request":")" + id + R"(","method":"cut")");
}

check_result check_texts(const std::vector<std::string>& texts, const check_options& options = {}) {
    std::vector<std::istringstream> streams;
    for (const auto& text : texts) {
        streams.emplace_back(text);
    }
    std::vector<named_record> records;
    for (auto& stream : streams) {
        records.push_back({"record", &stream});
    }
    return check(records, options);
}

// The only violation, or a text that says how many there are.
std::string violation_of(const std::vector<std::string>& texts, const check_options& options = {}) {
    const auto result = check_texts(texts, options);
    if (result.violations.size() != 1) {
        return std::to_string(result.violations.size()) + " violations";
    }
    return result.violations.front();
}

constexpr const char* none = "0 violations";

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a task that pauses, moves and finishes breaks no promise") {
    const std::string first = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                              task(50, "w1", "task_checkpoint", 1, 0.5) +
                              task(60, "w1", "task_pause", 1, 0.6) +
                              task(70, "w1", "task_resume", 1, 0.6) +
                              task(80, "w1", "task_stop", 1, 0.7) + line(200, "w1", "worker_end");
    const std::string second = begin(0, "w2") + task(80, "w2", "task_start", 2, 0.5) +
                               task(150, "w2", "task_finish", 2, 1) + served(160, "w2", "r1") +
                               line(200, "w2", "worker_end");
    const auto result = check_texts({first, second});
    INFO((result.violations.empty() ? std::string() : result.violations.front()));
    CHECK(result.violations.empty());
    CHECK(result.workers == 2);
    CHECK(result.task_starts == 2);
    CHECK(result.tasks_finished == 1);
    CHECK(result.requests == 1);
}

TEST_CASE("a task that runs in two places is reported") {
    const std::string first = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                              task(60, "w1", "task_pause", 1) + line(200, "w1", "worker_end");
    const std::string early =
        begin(0, "w2") + task(50, "w2", "task_start", 2) + task(100, "w2", "task_finish", 2);
    CHECK(contains(violation_of({first, early}), "ran in two places for 10.000 ms"));
    // The overlap of a task that resumes on its old worker.
    const std::string resumed = first + begin(300, "w1");
    const std::string again = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                              task(20, "w1", "task_pause", 1) + task(90, "w1", "task_resume", 1) +
                              line(200, "w1", "worker_end");
    CHECK(contains(violation_of({again, early}), "ran in two places"));
    // Two attempts on one worker.
    const std::string both = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                             task(20, "w1", "task_start", 2) + task(30, "w1", "task_stop", 1) +
                             task(40, "w1", "task_stop", 2);
    CHECK(contains(violation_of({both}), "2 violations"));
}

TEST_CASE("a task of a worker that crashed ran until the worker's last line") {
    const std::string crashed =
        begin(0, "w1") + task(10, "w1", "task_start", 1) + line(100, "w1", "alive");
    const auto second = [](double ms) {
        return begin(0, "w2") + task(ms, "w2", "task_start", 2) + task(300, "w2", "task_stop", 2);
    };
    CHECK(violation_of({crashed, second(100)}) == none);
    CHECK(violation_of({crashed + begin(250, "w1") + line(400, "w1", "alive"), second(120)}) ==
          none);
    CHECK(contains(violation_of({crashed, second(90)}), "ran in two places"));
}

TEST_CASE("a task that finished twice is reported") {
    const std::string first = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                              task(20, "w1", "task_finish", 1, 1) + line(30, "w1", "alive");
    const std::string second =
        begin(0, "w2") + task(100, "w2", "task_start", 2) + task(200, "w2", "task_finish", 2, 1);
    CHECK(contains(violation_of({first, second}), "task j/0 finished 2 times"));
    check_options options;
    options.crash_grace_ms = 15;
    CHECK(violation_of({first, second}, options) == none);
    options.crash_grace_ms = 5;
    CHECK(contains(violation_of({first, second}, options), "finished 2 times"));
}

TEST_CASE("a start below the last checkpoint is reported") {
    const std::string first = begin(0, "w1") + task(10, "w1", "task_start", 1) +
                              task(50, "w1", "task_checkpoint", 1, 0.5) +
                              task(60, "w1", "task_stop", 1, 0.6) + line(70, "w1", "worker_end");
    const std::string second = begin(0, "w2") + task(100, "w2", "task_start", 2, 0.4);
    CHECK(contains(violation_of({first, second}), "lost progress"));
}

TEST_CASE("a request that was served twice is reported unless its method is idempotent") {
    const std::vector<std::string> records{begin(0, "w1") + served(1, "w1", "r1"),
                                           begin(0, "w2") + served(9, "w2", "r1")};
    CHECK(contains(violation_of(records), "request r1 of method cut was served 2 times"));
    check_options options;
    options.idempotent_methods.insert("cut");
    CHECK(violation_of(records, options) == none);
}

TEST_CASE("amounts committed beyond the capacity are reported") {
    const std::string fits = begin(0, "w1") + task(1, "w1", "task_start", 1, 0, "a") +
                             task(2, "w1", "task_stop", 1, 0, "a") +
                             task(3, "w1", "task_start", 1, 0, "b");
    CHECK(violation_of({fits}) == none);
    // A paused task keeps its resources.
    const std::string exceeds = begin(0, "w1") + task(1, "w1", "task_start", 1, 0, "a") +
                                task(2, "w1", "task_pause", 1, 0, "a") +
                                task(3, "w1", "task_start", 1, 0, "b");
    CHECK(contains(violation_of({exceeds}), "5000 processors committed of 4000"));
}

TEST_CASE("a start in a drained failure domain is reported") {
    const std::string record = begin(0, "w1") + task(500, "w1", "task_start", 1);
    check_options options;
    options.drained = {parse_drained("d1@400")};
    CHECK(contains(violation_of({record}, options), "100.000 ms after the limit"));
    options.drained = {parse_drained("d1@600"), parse_drained("d2@0"), parse_drained("d1@1-450")};
    CHECK(violation_of({record}, options) == none);
    CHECK_THROWS_AS((void)parse_drained("d1"), std::invalid_argument);
}

// A checker that skips what it cannot read would pass a damaged record.
TEST_CASE("an unreadable line is reported unless it is the unfinished last one") {
    CHECK(violation_of({begin(0, "w1") + R"({"ms":1,"wor)"}) == none);
    CHECK(contains(violation_of({"{\"ms\":1}\n" + begin(2, "w1")}), "unreadable line 1"));
    CHECK(contains(violation_of({begin(0, "w1") + line(1, "w1", "task_dance")}), "unknown event"));
}
