#include "world.hpp"

#include <algorithm>

namespace tanagerpaddle::test {

void run_record::add_worker(const worker_id& worker, const resources& capacity) {
    capacity_[worker] = capacity;
}

void run_record::add_task(const worker_id& worker, const task_attempt& attempt,
                          const resources& demand) {
    occupied_[worker][attempt] = demand;
    resources sum;
    for (const auto& [held, amount] : occupied_[worker]) {
        sum += amount;
    }
    overcommits += sum.fits_in(capacity_[worker]) ? 0 : 1;
}

void run_record::remove_task(const worker_id& worker, const task_attempt& attempt) {
    occupied_[worker].erase(attempt);
    running_[attempt.task].erase({worker, attempt});
}

void run_record::set_running(const worker_id& worker, const task_attempt& attempt,
                             bool is_running) {
    auto& running_attempts = running_[attempt.task];
    if (is_running) {
        running_attempts.insert({worker, attempt});
        concurrent_runs += running_attempts.size() > 1 ? 1 : 0;
    } else {
        running_attempts.erase({worker, attempt});
    }
}

void run_record::add_completion(const task_attempt& attempt) {
    ++completions[attempt.task];
}

fake_runtime::fake_runtime(const manual_clock& time, run_record& record, worker_id worker,
                           const resources& capacity)
    : time_(time), record_(record), worker_(std::move(worker)) {
    record_.add_worker(worker_, capacity);
}

void fake_runtime::set_state(running_task& changed, runtime_task_state state) {
    changed.task.state = state;
    record_.set_running(worker_, changed.task.attempt, state == runtime_task_state::running);
    if (state == runtime_task_state::finished || state == runtime_task_state::failed) {
        record_.remove_task(worker_, changed.task.attempt);
    }
}

void fake_runtime::advance(milliseconds step) {
    for (auto& [attempt, entry] : tasks_) {
        if (entry.task.state != runtime_task_state::running) {
            continue;
        }
        entry.task.run_ms += step.count();
        if (time_.now() >= entry.lease_end) {
            set_state(entry, runtime_task_state::paused);
        } else if (fails_all_tasks) {
            set_state(entry, runtime_task_state::failed);
        } else if (entry.task.run_ms >= entry.run_time_ms) {
            record_.add_completion(attempt);
            set_state(entry, runtime_task_state::finished);
        }
    }
}

std::vector<runtime_task> fake_runtime::list() {
    std::vector<runtime_task> result;
    for (const auto& [attempt, entry] : tasks_) {
        result.push_back(entry.task);
    }
    return result;
}

void fake_runtime::start(const start_permit& permit, std::int64_t lease_ms) {
    record_.starts.push_back({worker_, permit.attempt, time_.now(), permit.checkpoint});
    running_task added;
    added.task.attempt = permit.attempt;
    added.task.demand = permit.demand;
    added.task.checkpoint = permit.checkpoint;
    added.lease_end = time_.now() + milliseconds(lease_ms);
    added.run_time_ms = permit.run_time_ms;
    record_.add_task(worker_, permit.attempt, permit.demand);
    set_state(tasks_[permit.attempt] = added, runtime_task_state::running);
}

void fake_runtime::renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) {
    for (const auto& attempt : attempts) {
        tasks_.at(attempt).lease_end = time_.now() + milliseconds(lease_ms);
    }
}

void fake_runtime::pause(const task_attempt& attempt) {
    if (tasks_.at(attempt).task.state == runtime_task_state::running) {
        set_state(tasks_.at(attempt), runtime_task_state::paused);
    }
}

void fake_runtime::resume(const task_attempt& attempt, std::int64_t lease_ms) {
    tasks_.at(attempt).lease_end = time_.now() + milliseconds(lease_ms);
    set_state(tasks_.at(attempt), runtime_task_state::running);
}

std::string fake_runtime::checkpoint(const task_attempt& attempt) {
    ++checkpoints;
    return tasks_.at(attempt).task.checkpoint = checkpoint_key(attempt);
}

void fake_runtime::throttle(const task_attempt& attempt, std::uint32_t speed_percent) {
    tasks_.at(attempt).task.speed_percent = speed_percent;
}

void fake_runtime::stop(const task_attempt& attempt) {
    record_.remove_task(worker_, attempt);
    tasks_.erase(attempt);
}

void fake_runtime::forget(const task_attempt& attempt) {
    tasks_.erase(attempt);
}

void fake_runtime::lose_tasks() {
    for (const auto& [attempt, entry] : tasks_) {
        record_.remove_task(worker_, attempt);
    }
    tasks_.clear();
}

bool fake_runtime::holds_any(const std::set<job_id>& jobs) const {
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [&](const auto& item) { return jobs.contains(item.first.task.job); });
}

world::world(scheduler_options chosen) : options(chosen) {}

scheduler_options world::default_options() {
    scheduler_options chosen;
    chosen.partition_count = 1;
    return chosen;
}

std::size_t world::add_entry(const scheduler_options& chosen) {
    auto node = std::make_unique<entry_node>();
    const std::size_t index = entries.size();
    node->info.id = entry_id("entry-" + std::to_string(index));
    node->info.incarnation = incarnation_number(100 + index);
    node->scheduler =
        std::make_unique<entry_scheduler>(chosen, node->info, rows, strategy, time, index + 1);
    entries.push_back(std::move(node));
    return index;
}

agent_node& world::add_worker(const std::string& name, std::int64_t processors,
                              const std::string& domain, agent_options chosen) {
    auto node = std::make_unique<agent_node>();
    node->identity.worker = worker_id(name);
    node->identity.domain = failure_domain_id(domain);
    node->identity.control.address = name;
    node->identity.runtime.address = name + "-runtime";
    node->capacity = {millicores(processors), mebibytes(16'000), accelerator_count(0)};
    node->options = chosen;
    node->runtime =
        std::make_unique<fake_runtime>(time, record, node->identity.worker, node->capacity);
    agents.push_back(std::move(node));
    restart_agent(*agents.back());
    return *agents.back();
}

void world::restart_agent(agent_node& agent) {
    static std::uint64_t next_incarnation = 1'000;
    agent.tasks.reset();
    agent.ledger = std::make_unique<instance_ledger>(agent.capacity);
    agent.tasks =
        std::make_unique<agent_tasks>(agent.options, agent.identity, *agent.ledger, *agent.runtime,
                                      time, incarnation_number(++next_incarnation));
    REQUIRE(agent.tasks->recover());
}

void world::crash_worker(agent_node& agent, milliseconds down_time) {
    agent.runtime->lose_tasks();
    agent.is_frozen = true;
    agent.is_disconnected = true;
    agent.restarts_at = time.now() + down_time;
}

void world::set_live(const std::vector<std::size_t>& live) {
    std::vector<entry_info> infos;
    for (const std::size_t index : live) {
        infos.push_back(entries[index]->info);
    }
    for (auto& entry : entries) {
        entry->scheduler->set_live_entries(infos);
    }
}

void world::sync(agent_node& agent) {
    agent.is_wake_pending = false;
    agent.last_request = agent.tasks->next_sync_request();
    if (agent.is_disconnected || entries[agent.entry]->is_frozen) {
        return;
    }
    // Messages are encoded and decoded as JSON, as between processes.
    const auto request = decode<sync_request>(encode(agent.last_request));
    auto reply = decode<sync_reply>(encode(entries[agent.entry]->scheduler->sync(request)));
    if (agent.reply_filter && !agent.reply_filter(reply)) {
        return;
    }
    agent.tasks->on_reply(reply, request.sequence);
    if (reply.redirect) {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            if (entries[i]->info.id == reply.redirect->id) {
                agent.entry = i;
            }
        }
    }
}

void world::answer_runtime_query(entry_scheduler& scheduler, const runtime_query& query) {
    for (auto& agent : agents) {
        if (agent->identity.runtime == query.runtime && !agent->is_disconnected) {
            scheduler.set_runtime_tasks(query.worker, agent->runtime->list());
        }
    }
}

void world::run(milliseconds duration) {
    constexpr milliseconds step{100};
    for (milliseconds passed{0}; passed < duration; passed += step) {
        time.advance(step);
        for (auto& agent : agents) {
            agent->runtime->advance(step);
            if (agent->restarts_at && time.now() >= *agent->restarts_at) {
                agent->restarts_at.reset();
                agent->is_frozen = false;
                agent->is_disconnected = false;
                restart_agent(*agent);
            } else if (agent->runtime->holds_any(crashing_jobs)) {
                crash_worker(*agent, crash_down_time);
            }
        }
        for (auto& entry : entries) {
            if (entry->is_frozen) {
                continue;
            }
            const tick_result result = entry->scheduler->tick();
            for (auto& agent : agents) {
                for (const auto& wake : result.agents_to_wake) {
                    agent->is_wake_pending =
                        agent->is_wake_pending || wake.worker == agent->identity.worker;
                }
            }
            for (const auto& query : result.runtime_queries) {
                answer_runtime_query(*entry->scheduler, query);
            }
            for (const auto shard : result.changed_shards) {
                for (auto& other : entries) {
                    other->scheduler->mark_shard_changed(shard);
                }
            }
        }
        for (auto& agent : agents) {
            if (agent->is_frozen) {
                continue;
            }
            agent->tasks->tick();
            if (agent->is_wake_pending || agent->tasks->has_unsent_reports() ||
                agent->tasks->next_sync_at().has_passed(time.now())) {
                sync(*agent);
            }
        }
    }
}

bool world::run_until(const std::function<bool()>& condition, milliseconds limit) {
    for (milliseconds passed{0}; passed < limit; passed += milliseconds(100)) {
        if (condition()) {
            return true;
        }
        run(milliseconds(100));
    }
    return condition();
}

task_state world::state_of(const std::string& job, std::size_t entry) {
    const job_status known = entries[entry]->scheduler->status(job_id(job));
    if (!known.tasks.empty()) {
        return known.tasks.front().state;
    }
    const task_counts& ended = known.job.ended_tasks;
    if (ended.lost > 0) {
        return task_state::lost;
    }
    if (ended.failed > 0) {
        return task_state::failed;
    }
    return ended.cancelled > 0 ? task_state::cancelled : task_state::finished;
}

job_row world::row_of(const std::string& job) {
    return decode<job_row>(rows.read(job_key(job_id(job))).value().value);
}

void world::drain_in_table(const std::string& domain) {
    table_transaction transaction;
    transaction.puts.push_back(
        {domain_key(failure_domain_id(domain)), encode(domain_row{true, config_version(1)})});
    REQUIRE(rows.commit(transaction).committed);
}

std::size_t world::starts_of(const std::string& job) const {
    return static_cast<std::size_t>(
        std::count_if(record.starts.begin(), record.starts.end(),
                      [&](const auto& start) { return start.attempt.task.job.value() == job; }));
}

job_declaration make_job(const std::string& id, std::int64_t processors, milliseconds run_time) {
    job_declaration job;
    job.id = job_id(id);
    job.team = team_id("growers");
    job.demand = {millicores(processors), mebibytes(100), accelerator_count(0)};
    job.run_time = run_time;
    return job;
}

task_key first_task(const std::string& job) {
    return {job_id(job), 0};
}

}  // namespace tanagerpaddle::test
