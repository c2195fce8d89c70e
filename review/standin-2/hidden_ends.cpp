// More runs of one executor end while the store is away than one answer of the executor lists. The
// store comes back; no task may start again whose end `done` is taken note of.

#include <algorithm>

#include "standin.hpp"

namespace {

using namespace review;

constexpr int task_count = 900;
constexpr int task_cpu = 60;
constexpr std::int64_t work_ms = 6'000;
// The store is down for this long, as in the site's list of troubles.
constexpr std::int64_t outage_ms = 4'500;
// The outage begins this long before the first run ends.
constexpr std::int64_t lead_ms = 300;
constexpr std::int64_t finish_limit_ms = 40'000;

std::size_t count_starts(const record& records) {
    std::size_t count = 0;
    for (const auto& each : records.entries()) {
        count += !each.words.empty() && each.words[0] == "start" ? 1 : 0;
    }
    return count;
}

// Starts after an end `done` of the same task that the executor was told to forget.
int count_repeated(const record& records) {
    struct end {
        std::string executor;
        std::uint64_t number = 0;
    };
    std::map<std::string, end> done;
    std::map<std::string, std::uint64_t> acknowledged;
    // A lapse between an end and its acknowledgement excuses a further start.
    std::set<std::string> lapsed;
    std::set<std::string> repeated;
    for (const auto& each : records.entries()) {
        const auto& words = each.words;
        if (words.size() == 4 && words[0] == "start" && done.count(words[1]) != 0) {
            repeated.insert(words[1]);
        } else if (words.size() == 6 && words[0] == "end" && words[4] == "done") {
            done.try_emplace(words[1], end{words[3], std::stoull(words[5])});
        } else if (words.size() == 6 && words[0] == "end" && words[4] == "lapsed") {
            lapsed.insert(words[3]);
        } else if (words.size() == 3 && words[0] == "acknowledged") {
            acknowledged[words[2]] = std::stoull(words[1]);
        }
    }
    return static_cast<int>(
        std::count_if(repeated.begin(), repeated.end(), [&](const std::string& task) {
            const auto& [executor, number] = done.at(task);
            return number <= acknowledged[executor] && lapsed.count(executor) == 0;
        }));
}

int judge(const std::string& self, const std::string& folder, record& records) {
    local_system system(self, folder, records);
    system.configure(json::array({route("/plans/")}));
    const auto first = system.add_entry("edge-rosenberg-1");
    const auto second = system.add_entry("edge-richmond-1");
    system.add_machine("side-1", {});
    system.add_machine("side-2", {});
    if (!wait_until(10'000,
                    [&] { return system.is_serving(first) && system.is_serving(second); })) {
        return exit_not_run;
    }
    sleep_ms(2'000);
    const auto id = job_id(0x5c0e7a21d94b0002);
    const json step{
        {"count", task_count}, {"cpu", task_cpu}, {"memMb", 100}, {"estimateMs", work_ms}};
    const json job{{"spec", json{{"ms", work_ms}}.dump()}, {"steps", json::array({step})}};
    const auto port = system.entry_at(first).callers;
    const auto accepted = call(port, "POST", "/plans/" + id, job.dump());
    records.add("caller POST " + id + " " + std::to_string(accepted.status));
    if (accepted.status != 200 || !wait_until(10'000, [&] { return count_starts(records) > 0; })) {
        return exit_not_run;
    }
    const auto first_end_at = steady_ms() + work_ms;
    wait_until(first_end_at - lead_ms - steady_ms(),
               [&] { return count_starts(records) >= task_count; });
    sleep_ms(std::max<std::int64_t>(0, first_end_at - lead_ms - steady_ms()));
    if (has_trouble()) {
        records.add("trouble store unavailable");
        system.store().set_mode(table_store::mode::unavailable);
        sleep_ms(outage_ms);
        records.add("trouble store sound");
        system.store().set_mode(table_store::mode::sound);
    }
    std::string state;
    wait_until(finish_limit_ms, [&] {
        sleep_ms(300);
        const auto next = call(port, "GET", "/plans/" + id).state();
        if (next != state) {
            records.add("caller GET " + id + " " + next);
            state = next;
        }
        return state == "completed" || state == "failed";
    });
    sleep_ms(2'000);  // the last ends are taken note of
    const int repeated = count_repeated(records);
    records.add("judge tasks_started_again_after_done " + std::to_string(repeated));
    return repeated > 0 ? exit_broken : exit_held;
}

}  // namespace

int main(int argc, char** argv) {
    return run_case(argc, argv, judge);
}
