#include <doctest/doctest.h>

#include "support.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::testing;

namespace {

running_task running(const std::string& job, const std::string& where, resources demand,
                     std::int64_t unsaved_minutes, const std::string& team = "t") {
    running_task result;
    result.job = job_id(job);
    result.team = team_id(team);
    result.worker = worker_id(where);
    result.demand = demand;
    result.unsaved_work = milliseconds(unsaved_minutes * minute_ms);
    return result;
}

worker_view full(const std::string& id) {
    auto result = worker(id, amount(8, 8));
    result.free = amount(0, 0);
    return result;
}

pending_task urgent(resources demand) {
    auto result = task("urgent", demand);
    result.team = team_id("u");
    result.priority = job_priority::urgent;
    return result;
}

std::vector<std::string> jobs(const std::vector<eviction>& evictions) {
    std::vector<std::string> result;
    for (const auto& value : evictions) {
        result.push_back(value.job.value());
    }
    return result;
}

using names = std::vector<std::string>;
const utc_millis now{start_ms};

}  // namespace

// Guards against more evictions and lost work than an urgent start needs.
TEST_CASE("an urgent task evicts the fewest tasks, then those with the least lost work") {
    const std::vector<worker_view> workers{full("a"), full("b"), full("c")};
    const std::vector<running_task> tasks{
        running("a1", "a", amount(4, 4), 0), running("a2", "a", amount(4, 4), 0),
        running("b1", "b", amount(8, 8), 50), running("c1", "c", amount(8, 8), 20)};
    CHECK(jobs(preemption_policy().select_victims(urgent(amount(8, 8)), workers, tasks, {}, now)) ==
          names{"c1"});
}

// Guards against evictions from a team within its quota while others exceed theirs.
TEST_CASE("tasks of teams above their quota are evicted first") {
    const std::vector<team_share> teams{{team_id("t"), amount(4, 4), amount(8, 8), true},
                                        {team_id("b"), amount(9, 9), amount(4, 4), true}};
    const std::vector<running_task> tasks{running("own", "w", amount(4, 4), 0),
                                          running("borrowed", "w", amount(4, 4), 9, "b")};
    CHECK(jobs(preemption_policy().select_victims(urgent(amount(4, 4)), {full("w")}, tasks, teams,
                                                  now)) == names{"borrowed"});
}

// Guards against the loss of holds, urgent tasks and tasks that cannot resume, and against repeated
// eviction of the same task.
TEST_CASE(
    "holds, urgent tasks, tasks that cannot resume and recently evicted tasks are not evicted") {
    auto hold = running("hold", "w", amount(8, 8), 0);
    hold.kind = job_kind::hold;
    auto other_urgent = running("other", "w", amount(8, 8), 0);
    other_urgent.priority = job_priority::urgent;
    auto watch = running("watch", "w", amount(8, 8), 0);
    watch.can_resume = false;
    auto again = running("again", "w", amount(8, 8), 0);
    again.evicted_at = utc_millis(start_ms - 9 * minute_ms);
    const std::vector<running_task> tasks{hold, other_urgent, watch, again};
    const preemption_policy policy;
    CHECK(policy.select_victims(urgent(amount(8, 8)), {full("w")}, tasks, {}, now).empty());
    const utc_millis later(start_ms + 2 * minute_ms);
    CHECK(jobs(policy.select_victims(urgent(amount(8, 8)), {full("w")}, tasks, {}, later)) ==
          names{"again"});
}

// Guards against reclaiming more than the borrowed amount.
TEST_CASE("a normal task reclaims only what other teams use above their quota") {
    const std::vector<running_task> tasks{running("b1", "w", amount(4, 4), 1, "b"),
                                          running("b2", "w", amount(4, 4), 2, "b")};
    std::vector<team_share> teams{{team_id("t"), amount(0, 0), amount(8, 8), true},
                                  {team_id("b"), amount(8, 8), amount(4, 4), true}};
    const preemption_policy policy;
    const auto evicted =
        policy.select_victims(task("own", amount(4, 4)), {full("w")}, tasks, teams, now);
    CHECK(jobs(evicted) == names{"b1"});
    CHECK(evicted.at(0).cause == eviction_cause::quota_reclaim);
    CHECK(policy.select_victims(task("own", amount(8, 8)), {full("w")}, tasks, teams, now).empty());
    teams[1].used = amount(4, 4);
    CHECK(policy.select_victims(task("own", amount(4, 4)), {full("w")}, tasks, teams, now).empty());
}
