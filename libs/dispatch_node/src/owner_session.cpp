#include "owner_session.hpp"

#include <algorithm>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// Interval at which the owner rewrites the owner row if it has no progress to write.
constexpr milliseconds renewal_interval{400};
constexpr milliseconds tick_interval{50};
// Interval at which learned interference pressures are sent to the agents: that of their
// measurements.
constexpr milliseconds share_interval{500};
// Smallest change of a pressure, in units of utilisation, that is sent; smaller changes do not
// alter a pace.
constexpr double min_shared_change = 0.05;
// Pause between two plans, as a multiple of the duration of the last plan. It leaves most of the
// processor to messages and calls; the next plan covers all events of the pause.
constexpr int plan_pause_factor = 4;
// Age of the newest answer to the job watch up to which the list of jobs counts as complete.
constexpr milliseconds max_job_list_age{2'000};
constexpr milliseconds removal_timeout{2'000};

coordinator::options coordinator_options(const lease_timing& timing,
                                         const scheduling_options& scheduling) {
    coordinator::options options;
    options.timing = timing;
    options.long_running.is_enabled = scheduling.has_long_running_reservation;
    options.has_fair_shares = scheduling.has_shares;
    options.delays = scheduling.delays;
    options.fillers.relieves_throttled = scheduling.relieves_fillers;
    options.ordering.uses_measured_run_times = scheduling.uses_measured_run_times;
    return options;
}

}  // namespace

std::optional<std::string> name_before(std::string_view key, std::string_view suffix) {
    if (key.size() <= suffix.size() || !key.ends_with(suffix)) {
        return std::nullopt;
    }
    return std::string(key.substr(0, key.size() - suffix.size()));
}

std::string part_of(const job_id& job) {
    return std::to_string(partition_of(job.value(), job_part_count).value());
}

owner_session::owner_session(environment env, epoch_number epoch,
                             const run_ends& unclaimed_runs_end_by)
    : env_(env),
      epoch_(epoch),
      gained_at_(env.time->now()),
      unclaimed_runs_end_by_(unclaimed_runs_end_by),
      coordinator_(coordinator_options(env.timing, env.scheduling), *env.time, *this),
      early_cancellations_(*env.time, env.early_cancellation_lifetime) {}

void owner_session::begin() {
    last_write_at_ = env_.time->now();
    load_progress("");
    tick();
}

void owner_session::close() {
    is_closed_ = true;
    job_watcher_.reset();
    agent_watcher_.reset();
    for (auto& [name, agent] : agents_) {
        if (agent.link) {
            agent.link->close();
        }
    }
    agents_.clear();
}

void owner_session::watch_agents() {
    agent_watcher_ = std::make_unique<table_watcher>(
        *env_.loop, *env_.store, table_watcher::options{agent_table, {""}},
        [weak = weak_from_this()](const std::vector<stored_row>& rows, bool) {
            const auto self = weak.lock();
            if (!self || self->is_closed_) {
                return;
            }
            for (const auto& row : rows) {
                const auto recorded = name_before(row.address.key, ended_suffix);
                if (recorded && row.version == row_version(0)) {
                    continue;  // the agent has registered again
                }
                const instance_name name(recorded.value_or(row.address.key));
                try {
                    validate(name);
                    if (recorded) {
                        self->add_recorded_end(name, row.value);
                    } else {
                        self->add_agent(name, row.value);
                    }
                } catch (const invariant_violation&) {
                    throw;
                } catch (const std::exception& failure) {
                    log_event(log_level::error, "agent_row_unreadable",
                              {{"agent", name.value()}, {"message", failure.what()}});
                }
            }
        });
}

void owner_session::add_agent(const instance_name& name, const std::string& address_text) {
    const auto address = eventio::parse_endpoint(address_text);
    auto [position, is_new] = agents_.try_emplace(name);
    if (is_new) {
        position->second.runs_end_by = unclaimed_runs_end_by_.listed;
    } else if (position->second.address != address) {
        disconnect(name, "agent address changed");
    }
    position->second.address = address;
    position->second.retry_at = {};
    connect(name);
}

void owner_session::add_recorded_end(const instance_name& name, const std::string& value) {
    const auto end = messages::decode_executor_end(json_input::parse(value));
    log_event(log_level::info, "executor_end_read",
              {{"agent", name.value()}, {"lifetime", end.incarnation.value()}});
    coordinator_.executor_end_recorded(name, end);
    schedule_plan();
}

bool owner_session::is_job_list_current() const {
    return is_loaded_ && job_watcher_ &&
           env_.time->now() - job_watcher_->confirmed_at() <= max_job_list_age;
}

void owner_session::set_queues(const std::map<queue_id, queue_rules>& queues) {
    coordinator_.set_queues(queues);
    schedule_plan();
}

void owner_session::set_evacuated(const std::set<failure_domain_id>& domains) {
    coordinator_.set_evacuated(domains);
    schedule_plan();
}

// ---------------------------------------------------------------------------------------------
// Orders

void owner_session::start(const instance_name& instance, const start_order& order) {
    log_event(
        log_level::info, "start_ordered",
        {{"task", to_string(order.task)}, {"run", order.run.value()}, {"agent", instance.value()}});
    auto message = messages::encode(order);
    message["t"] = "start";
    send(instance, message);
}

void owner_session::stop(const instance_name& instance, const task_key& task, run_number run) {
    log_event(log_level::info, "stop_ordered",
              {{"task", to_string(task)},
               {"run", run.value()},
               {"agent", instance.value()},
               {"job_phase", phase_name(task.job)}});
    send(instance, {{"t", "stop"}, {"task", messages::encode(task)}, {"run", run.value()}});
}

void owner_session::acknowledge(const instance_name& instance, executor_incarnation incarnation,
                                completion_number number) {
    send(instance, {{"t", "ack"}, {"life", incarnation.value()}, {"number", number.value()}});
}

void owner_session::request_permits(const step_key& step,
                                    const std::vector<executor_id>& executors) {
    if (env_.policies == nullptr) {
        log_event(log_level::error, "no_policy_service", {{"job", step.job.value()}});
        return;
    }
    log_event(log_level::info, "permits_requested",
              {{"job", step.job.value()},
               {"step", step.step},
               {"executors", executors.size()},
               {"first", executors.front().value()},
               {"last", executors.back().value()}});
    const instant request_sent_at = env_.time->now();
    env_.policies->request_permits(
        step, executors,
        [self = shared_from_this(), step, executors, request_sent_at](
            std::optional<std::vector<permit>> permits, milliseconds valid_for) {
            if (self->is_closed_) {
                return;
            }
            if (permits) {
                log_event(log_level::info, "permits_granted",
                          {{"job", step.job.value()},
                           {"step", step.step},
                           {"executors", permits->size()},
                           {"valid_ms", valid_for}});
                self->coordinator_.permits_granted(step, executors, *permits,
                                                   request_sent_at + valid_for);
            } else {
                log_event(log_level::warning, "advice_failed", {{"job", step.job.value()}});
                self->coordinator_.permit_request_failed(step);
            }
            self->schedule_plan();
        });
}

void owner_session::send_traits(const instance_name& instance, const task_key& task,
                                const task_traits& traits) {
    send(instance, {{"t", "describe"},
                    {"task", messages::encode(task)},
                    {"traits", messages::encode(traits)}});
}

// ---------------------------------------------------------------------------------------------
// Time and writes

void owner_session::tick() {
    if (is_closed_) {
        return;
    }
    // First, so that an exception below does not end the ticks.
    env_.loop->after(tick_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    const instant now = env_.time->now();
    for (auto& [name, agent] : agents_) {
        if (agent.link && now - agent.last_message_at > env_.timing.link_timeout) {
            disconnect(name, "silent");
        }
        connect(name);
    }
    share_pressures();
    remove_early_cancellations();
    schedule_plan();
}

void owner_session::remove_early_cancellations() {
    if (!is_job_list_current()) {
        return;
    }
    const auto transaction = early_cancellations_.begin_removal();
    if (!transaction) {
        return;
    }
    env_.store->transact(*transaction, removal_timeout,
                         [weak = weak_from_this(),
                          count = transaction->removals.size()](const transaction_result& result) {
                             const auto self = weak.lock();
                             if (!self || self->is_closed_) {
                                 return;
                             }
                             log_event(
                                 log_level::info, "cancellations_removed",
                                 {{"rows", count}, {"outcome", static_cast<int>(result.outcome)}});
                             self->early_cancellations_.end_removal(result);
                         });
}

void owner_session::send_pressures(agent_link& agent, const pressure_table& pressures) {
    if (!agent.link || !agent.is_claimed || pressures.empty()) {
        return;
    }
    agent.link->send(messages::dump({{"t", "pressures"}, {"pairs", messages::encode(pressures)}}));
}

void owner_session::share_pressures() {
    const instant now = env_.time->now();
    if (now - pressures_shared_at_ < share_interval) {
        return;
    }
    pressures_shared_at_ = now;
    pressure_table changed;
    for (const auto& [serving, fillers] : coordinator_.interference().pressures()) {
        auto& sent = shared_pressures_[serving];
        for (const auto& [filler, pressure] : fillers) {
            const auto [position, is_new] = sent.try_emplace(filler, pressure);
            if (is_new || std::abs(position->second - pressure) >= min_shared_change) {
                position->second = pressure;
                changed[serving][filler] = pressure;
            }
        }
    }
    for (auto& [name, agent] : agents_) {
        send_pressures(agent, changed);
    }
}

void owner_session::schedule_plan() {
    if (is_plan_scheduled_) {
        return;
    }
    is_plan_scheduled_ = true;
    const auto plan = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->is_closed_) {
            self->plan();
        }
    };
    const instant now = env_.time->now();
    if (now >= next_plan_at_) {
        env_.loop->post(plan);
    } else {
        env_.loop->after(std::chrono::ceil<milliseconds>(next_plan_at_ - now), plan);
    }
}

void owner_session::plan() {
    is_plan_scheduled_ = false;
    const instant begun = env_.time->now();
    if (is_loaded_) {
        coordinator_.plan();
    }
    write_progress();
    const instant ended = env_.time->now();
    next_plan_at_ = ended + plan_pause_factor * (ended - begun);
}

void owner_session::write_progress() {
    if (!env_.owner->can_write()) {
        return;
    }
    const bool has_rows = is_loaded_ && coordinator_.has_writes();
    const instant now = env_.time->now();
    if (!has_rows && now - last_write_at_ < renewal_interval) {
        return;
    }
    last_write_at_ = now;
    std::vector<progress_row> rows;
    if (has_rows) {
        rows = coordinator_.begin_write();
    }
    env_.owner->write(rows, [weak = weak_from_this(), has_rows, now](bool is_durable) {
        const auto self = weak.lock();
        if (!self || self->is_closed_) {
            return;
        }
        const bool may_start =
            self->env_.time->now() - now <= self->env_.timing.max_start_write_age;
        if (has_rows && is_durable && may_start) {
            self->coordinator_.write_done();
        } else if (has_rows) {
            self->coordinator_.write_failed();
        }
        if (!is_durable) {
            self->last_write_at_ = {};  // renew at once
        }
        self->schedule_plan();
    });
}

}  // namespace tanagerpaddle::dispatch
