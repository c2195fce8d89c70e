#pragma once

// A coordinator with the table that it writes and one instance, for tests of what is kept in
// memory.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "world.hpp"

namespace tanagerpaddle::dispatch::testing {

struct owner_orders final : coordinator_orders {
    void start(const instance_name&, const start_order& order) override {
        started.push_back(order);
    }
    void stop(const instance_name&, const task_key&, run_number) override {}
    void acknowledge(const instance_name&, executor_incarnation, completion_number) override {}
    void request_permits(const step_key&, const std::vector<executor_id>&) override {}
    void send_traits(const instance_name&, const task_key&, const task_traits&) override {}
    void load_job(const job_id& job) override { asked.push_back(job); }

    std::vector<start_order> started;
    std::vector<job_id> asked;
};

// An owner with one instance, and the table that it writes. Orders are carried out at once.
struct owner {
    manual_clock& time;
    owner_orders orders;
    coordinator jobs;
    std::map<std::pair<job_id, std::uint32_t>, std::string>& rows;
    std::map<job_id, submitted_job> stored;
    std::uint64_t completions = 0;
    const instance_name instance{"instance"};

    owner(manual_clock& source, std::map<std::pair<job_id, std::uint32_t>, std::string>& table,
          const coordinator::options& options = {})
        : time(source), jobs(options, source, orders), rows(table) {
        jobs.set_queues({{queue_id("queue"), default_rules()}});
    }
    void add(const submitted_job& job) {
        stored.insert_or_assign(job.id, job);
        const auto first_row = rows.lower_bound({job.id, 0});
        jobs.add_job(job, milliseconds(0),
                     first_row != rows.end() && first_row->first.first == job.id);
    }
    // Answers to load_job.
    void load_asked() {
        for (const auto& id : std::exchange(orders.asked, {})) {
            jobs.add_job(stored.at(id), milliseconds(0));
        }
    }
    // Reads the table as a new owner does; the instance has no runs.
    void load(const std::vector<submitted_job>& accepted) {
        for (const auto& [key, row] : rows) {
            const auto phase = decode_job_phase(row);
            if (key.second == 0 && phase && is_terminal(*phase)) {
                jobs.add_ended(key.first, *phase);
            }
        }
        for (const auto& job : accepted) {
            add(job);
        }
        for (const auto& [key, row] : rows) {
            CHECK(jobs.restore(key.first, row, time.now(), key.second));
        }
    }
    void claim(std::int64_t slots) {
        executor_info info;
        info.id = executor_id("executor");
        info.incarnation = executor_incarnation(1);
        info.service = default_rules().service;
        info.capacity = {millicores(slots * 1'000), mebibytes(1'000'000), accelerator_count(0)};
        jobs.instance_claimed(instance, {info, {}, {}});
    }
    // Plans and writes; returns what starts.
    std::vector<start_order> start() {
        time.advance(milliseconds(50));
        load_asked();
        jobs.progress_reported(instance, {}, {});
        jobs.plan();
        while (jobs.has_writes()) {
            for (const auto& row : jobs.begin_write()) {
                rows[{row.job, row.number}] = row.value;
            }
            jobs.write_done();
        }
        return std::exchange(orders.started, {});
    }
    void finish(const std::vector<start_order>& runs) {
        for (const auto& order : runs) {
            jobs.start_reported(instance, order.task, order.run, start_outcome::started);
            jobs.runs_finished(instance, executor_incarnation(1),
                               {{completion_number(++completions), order.task, order.run,
                                 run_outcome::succeeded, ""}});
        }
    }
    // Lets all tasks that start end at once; returns how many.
    std::size_t run(int rounds) {
        std::size_t count = 0;
        for (int i = 0; i < rounds; ++i) {
            const auto runs = start();
            count += runs.size();
            finish(runs);
        }
        return count;
    }
};

}  // namespace tanagerpaddle::dispatch::testing
