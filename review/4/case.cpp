// A queue with a policy that allows two executors of 45 for a step; the one that runs it is lost.

#include <mutex>
#include <set>
#include <thread>

#include "standin/deployment.hpp"

namespace {

using namespace review;
using nlohmann::json;

constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t max_idle_ms = 3'000;
constexpr std::size_t executor_count = 45;
const std::string job = "5c0e7a21d94b36f8";

// Allows one executor of those asked for first and one other, whatever is asked later.
class policy {
public:
    std::vector<std::string> advise(const std::vector<std::string>& ids) {
        const std::lock_guard lock(mutex_);
        const std::set<std::string> asked(ids.begin(), ids.end());
        if (allowed_.empty() && !ids.empty()) {
            allowed_.insert(ids.front());
            for (std::size_t i = executor_count; i > 0 && allowed_.size() < 2; --i) {
                const std::string id = "i-side-" + std::to_string(i);
                if (!asked.contains(id)) {
                    allowed_.insert(id);
                }
            }
        }
        std::vector<std::string> found;
        for (const auto& id : allowed_) {
            if (asked.contains(id)) {
                found.push_back(id);
            }
        }
        return found;
    }

    [[nodiscard]] std::string text() {
        const std::lock_guard lock(mutex_);
        std::string out;
        for (const auto& id : allowed_) {
            out += (out.empty() ? "" : " and ") + id;
        }
        return out;
    }

private:
    std::mutex mutex_;
    std::set<std::string> allowed_;
};

verdict check(record& log) {
    route queue{"nony24.example", "/lohu930/"};
    queue.has_advice = true;
    policy rules;
    deployment::options options;
    options.executors = executor_count;
    options.routes = {queue};
    options.advise = [&](const std::string&, const std::vector<std::string>& ids) {
        return rules.advise(ids);
    };
    deployment system(options, log);
    const json step{{"count", 1}, {"cpu", 500}, {"memMb", 256}, {"estimateMs", 2'000}};
    if (!system.submit(queue, job, {{"spec", "run_ms=2000"}, {"steps", {step}}}) ||
        !wait_for(5'000, [&] { return log.runs(job).size() == 1; })) {
        return could_not_run;
    }
    sleep_ms(500);
    if (has_trouble()) {
        system.executor_named(log.runs(job).front().executor).crash();
    }
    log.line("the policy allows " + rules.text());
    const auto until = now_ms() + finish_ms;
    std::string state;
    while (now_ms() < until && state != "completed") {
        state = system.state_of(queue, job);
        sleep_ms(1'000);
    }
    std::int64_t last_activity = 0;
    for (const auto& each : log.runs(job)) {
        last_activity = std::max(last_activity, each.ended_at < 0 ? now_ms() : each.ended_at);
    }
    log.line("shown as " + state + ", nothing has run for " +
             std::to_string(now_ms() - last_activity) + " ms");
    return state != "completed" && now_ms() - last_activity >= max_idle_ms ? broken : held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, check);
}
