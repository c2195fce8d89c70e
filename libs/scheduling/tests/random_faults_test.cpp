// Concurrent and repeated random faults of all kinds, generated from a printed seed. The runtimes'
// record is checked, and once the faults are cleared all jobs must end.

#include <algorithm>

#include "world.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::test;
using std::chrono::seconds;

namespace {

constexpr std::size_t entry_count = 3;

struct simulation {
    explicit simulation(std::uint64_t seed) : w(chosen_options()), random(seed) {
        for (std::size_t i = 0; i < entry_count; ++i) {
            w.add_entry();
        }
        w.set_live({0, 1, 2});
        for (int i = 0; i < 6; ++i) {
            w.add_worker("w" + std::to_string(i), 4000, i % 2 == 0 ? "richmond" : "wharton");
        }
    }

    static scheduler_options chosen_options() {
        auto options = world::default_options();
        options.partition_count = 3;
        options.write_rows_per_second = 1'000;
        return options;
    }

    // Passes on what membership reports to each entry that is not frozen, without delay.
    void update_membership() {
        std::vector<entry_info> live;
        for (const auto& entry : w.entries) {
            if (!entry->is_frozen) {
                live.push_back(entry->info);
            }
        }
        for (std::size_t i = 0; i < w.entries.size(); ++i) {
            if (w.entries[i]->is_frozen) {
                continue;
            }
            w.entries[i]->scheduler->set_live_entries(live);
            w.entries[i]->scheduler->set_configuration(current, configured);
            std::vector<partition_summary> remote;
            for (std::size_t k = 0; k < w.entries.size(); ++k) {
                if (k != i && !w.entries[k]->is_frozen) {
                    const auto owned = w.entries[k]->scheduler->partitions();
                    remote.insert(remote.end(), owned.begin(), owned.end());
                }
            }
            w.entries[i]->scheduler->set_remote_partitions(remote, {});
        }
        for (auto& agent : w.agents) {
            while (w.entries[agent->entry]->is_frozen) {
                agent->entry = (agent->entry + 1) % w.entries.size();
            }
        }
    }

    void submit_random_job() {
        const auto processors = static_cast<std::int64_t>(500 + 500 * random.below(4));
        const seconds run_time(5 + static_cast<std::int64_t>(random.below(30)));
        auto job = make_job("job-" + std::to_string(submitted), processors, run_time);
        job.task_count = static_cast<std::uint32_t>(1 + random.below(4));
        job.is_idempotent = random.chance(0.7);
        ++submitted;
        // The job may exist although its submission got no reply.
        submitted_jobs[job.id] = job;
        accepted += random_running_entry().submit(job, false).code == result_code::ok ? 1 : 0;
    }

    entry_scheduler& random_running_entry() {
        std::size_t index = random.below(entry_count);
        while (w.entries[index]->is_frozen) {
            index = (index + 1) % entry_count;
        }
        return *w.entries[index]->scheduler;
    }

    void change_random_fault() {
        auto& agent = *w.agents[random.below(w.agents.size())];
        switch (random.below(8)) {
            case 0:
                agent.is_frozen = !agent.is_frozen;
                break;
            case 1:
                agent.is_disconnected = !agent.is_disconnected;
                break;
            case 2:
                w.restart_agent(agent);
                agent.reply_filter = nullptr;
                break;
            case 3:
                w.entries[random.below(entry_count)]->is_frozen = false;
                break;
            case 4:
                if (std::count_if(w.entries.begin(), w.entries.end(),
                                  [](const auto& e) { return e->is_frozen; }) < 2) {
                    w.entries[random.below(entry_count)]->is_frozen = true;
                }
                break;
            case 5:
                faults = {random.chance(0.3), random.chance(0.5) ? 0.2 : 0.0,
                          random.chance(0.5) ? 0.2 : 0.0};
                w.rows.set_faults(faults);
                break;
            case 6:
                set_drained(!is_drained);
                break;
            default:
                if (submitted > 0) {
                    static_cast<void>(random_running_entry().cancel(
                        job_id("job-" + std::to_string(random.below(submitted)))));
                }
                break;
        }
    }

    // Changes the configuration as an operator would; the table accepts it without faults.
    void set_drained(bool drained) {
        w.rows.set_faults({});
        table_transaction transaction;
        configured = configured.next();
        transaction.puts.push_back(
            {domain_key(drained_domain), encode(domain_row{drained, configured})});
        REQUIRE(w.rows.commit(transaction).committed);
        w.rows.set_faults(faults);
        auto next = std::make_shared<configuration>();
        next->teams.push_back({team_id("growers"), {}, true});
        if (drained) {
            next->drains.push_back(drained_domain);
            drains.emplace_back(w.time.now(), instant::max());
        } else if (is_drained) {
            drains.back().second = w.time.now();
        }
        current = next;
        is_drained = drained;
    }

    void clear_faults() {
        faults = {};
        set_drained(false);
        for (auto& agent : w.agents) {
            agent->is_frozen = false;
            agent->is_disconnected = false;
        }
        for (auto& entry : w.entries) {
            entry->is_frozen = false;
        }
    }

    std::size_t active_jobs() {
        const auto stored = scan_all(w.rows, "job/");
        return static_cast<std::size_t>(
            std::count_if(stored.begin(), stored.end(), [](const table_row& row) {
                return decode<job_row>(row.value).state == job_state::active;
            }));
    }

    world w;
    random_source random;
    store_faults faults;
    failure_domain_id drained_domain{"richmond"};
    bool is_drained = false;
    config_version configured;
    std::shared_ptr<const configuration> current;
    // Start and end of each period in which the domain was drained.
    std::vector<std::pair<instant, instant>> drains;
    std::size_t submitted = 0;
    std::size_t accepted = 0;
    std::map<job_id, job_declaration> submitted_jobs;
};

void check_starts_of_non_idempotent_tasks(const simulation& s) {
    std::map<task_key, int> starts;
    for (const auto& start : s.w.record.starts) {
        const auto& job = s.submitted_jobs.at(start.attempt.task.job);
        if (!job.is_idempotent && start.checkpoint.empty()) {
            const int count = ++starts[start.attempt.task];
            INFO("starts without checkpoint of " << to_string(start.attempt));
            CHECK(count == 1);
        }
    }
}

void check_starts_after_drains(const simulation& s) {
    for (const auto& start : s.w.record.starts) {
        for (const auto& agent : s.w.agents) {
            if (agent->identity.worker != start.worker ||
                agent->identity.domain != s.drained_domain) {
                continue;
            }
            for (const auto& [from, to] : s.drains) {
                INFO(to_string(start.attempt) << " on " << start.worker.value());
                CHECK_FALSE((start.at > from + seconds(3) && start.at < to));
            }
        }
    }
}

}  // namespace

// Guards against combinations of failures that the other tests do not cover.
TEST_CASE("under random faults no task runs twice at once and all work ends after them") {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        simulation s(seed);
        s.w.run(seconds(5));
        // A table that is mostly unavailable accepts few jobs, so such a run needs more rounds.
        for (int round = 0; round < 150 || (s.accepted <= 10 && round < 1'000); ++round) {
            s.update_membership();
            if (s.random.chance(0.4)) {
                s.submit_random_job();
            }
            if (s.random.chance(0.4)) {
                s.change_random_fault();
            }
            s.w.run(milliseconds(200 + 100 * static_cast<std::int64_t>(s.random.below(30))));
        }
        s.clear_faults();
        for (int round = 0; round < 300 && s.active_jobs() > 0; ++round) {
            s.update_membership();
            s.w.run(seconds(2));
        }
        CHECK(s.accepted > 10);
        CHECK(scan_all(s.w.rows, "job/").size() >= s.accepted);
        CHECK(s.w.record.concurrent_runs == 0);
        CHECK(s.w.record.overcommits == 0);
        CHECK(s.active_jobs() == 0);
        check_starts_after_drains(s);
        check_starts_of_non_idempotent_tasks(s);
        s.w.run(seconds(30));
        for (const auto& agent : s.w.agents) {
            CHECK(agent->tasks->held_tasks() == 0);
        }
    }
}
