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
constexpr milliseconds load_timeout{2'000};
constexpr milliseconds load_retry_delay{100};
// Age of the newest answer to the job watch up to which the list of jobs counts as complete.
constexpr milliseconds max_job_list_age{2'000};
constexpr milliseconds removal_timeout{2'000};

// The part of a key before the suffix; nullopt if it does not end so, or if nothing comes before.
std::optional<std::string> name_before(std::string_view key, std::string_view suffix) {
    if (key.size() <= suffix.size() || !key.ends_with(suffix)) {
        return std::nullopt;
    }
    return std::string(key.substr(0, key.size() - suffix.size()));
}

bool is_cancel_key(const std::string& key) {
    return name_before(key, cancel_suffix).has_value();
}

job_id job_of_cancel_key(const std::string& key) {
    return job_id(name_before(key, cancel_suffix).value());
}

std::vector<std::string> all_job_parts() {
    std::vector<std::string> parts;
    for (std::uint32_t i = 0; i < job_part_count; ++i) {
        parts.push_back(std::to_string(i));
    }
    return parts;
}

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

// ---------------------------------------------------------------------------------------------
// Loading

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

void owner_session::load_progress(const std::string& from) {
    env_.store->read(
        progress_table, owner_part, from, "", load_timeout,
        [self = shared_from_this(), from](const read_result& result) {
            if (self->is_closed_) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                self->env_.loop->after(load_retry_delay, [self, from] {
                    if (!self->is_closed_) {
                        self->load_progress(from);
                    }
                });
                return;
            }
            for (const auto& row : result.rows) {
                self->add_progress(row);
            }
            if (result.has_more && !result.rows.empty()) {
                self->load_progress(result.rows.back().address.key + key_successor_suffix);
                return;
            }
            self->watch_jobs();
        });
}

// Rows of jobs that have ended are not kept until the jobs are known. The first row of a job comes
// before its others.
void owner_session::add_progress(const stored_row& row) {
    const auto [job, number] = parse_progress_key(row.address.key);
    if (number == 0) {
        const auto phase = decode_job_phase(row.value);
        if (phase && is_terminal(*phase)) {
            coordinator_.add_ended(job, *phase);
        }
    }
    if (!coordinator_.status(job)) {
        progress_.push_back(row);
        jobs_with_rows_.insert(job);
    }
}

void owner_session::watch_jobs() {
    table_watcher::options options{job_table, all_job_parts()};
    options.on_page = [weak = weak_from_this()](const std::vector<stored_row>& rows,
                                                bool is_first) {
        if (const auto self = weak.lock(); self && !self->is_closed_) {
            self->add_page(rows, is_first);
        }
    };
    job_watcher_ = std::make_unique<table_watcher>(
        *env_.loop, *env_.store, options,
        [weak = weak_from_this()](const std::vector<stored_row>& rows, bool is_full) {
            const auto self = weak.lock();
            if (!self || self->is_closed_) {
                return;
            }
            if (is_full) {
                self->add_read_rows();
            }
            for (const auto& row : rows) {
                self->add_row(row);
            }
            if (!self->is_loaded_) {
                self->finish_loading();
            }
            self->schedule_plan();
        });
}

void owner_session::add_page(const std::vector<stored_row>& rows, bool is_first) {
    if (is_first) {
        read_rows_.clear();
        if (!is_loaded_) {
            forget_cancellations_but({});  // those of a read that was broken off
        }
    }
    for (const auto& row : rows) {
        const auto& key = row.address.key;
        if (!is_loaded_) {
            add_row(row);
            continue;
        }
        // Nothing may start before the cancellations are known, which may be in a later page.
        const auto job = is_cancel_key(key) ? job_of_cancel_key(key) : job_id(key);
        const auto known = coordinator_.status(job);
        if (!known || (is_cancel_key(key) && !is_terminal(known->phase))) {
            read_rows_.push_back(row);
        }
    }
}

// The read is complete. Removals of cancellations may have been missed before it; a job that was
// stored after one is not cancelled.
void owner_session::add_read_rows() {
    if (!is_loaded_) {
        return;
    }
    std::set<std::string> stored;
    for (const auto& row : read_rows_) {
        if (is_cancel_key(row.address.key)) {
            stored.insert(row.address.key);
        }
    }
    forget_cancellations_but(stored);
    for (const auto& row : std::exchange(read_rows_, {})) {
        add_row(row);
    }
}

void owner_session::forget_cancellations_but(const std::set<std::string>& stored) {
    for (const auto& job : early_cancellations_.missing_in(stored)) {
        forget_cancellation(job);
    }
}

void owner_session::add_row(const stored_row& row) {
    const auto& key = row.address.key;
    const bool is_removed = row.version == row_version(0);
    if (is_cancel_key(key)) {
        const auto job = job_of_cancel_key(key);
        is_removed ? forget_cancellation(job) : add_cancellation(job, row.version);
        return;
    }
    if (is_removed) {
        return;
    }
    if (coordinator_.status(job_id(key))) {
        return;  // a full read repeats it
    }
    add_job(row);
}

void owner_session::add_job(const stored_row& row) {
    const auto& key = row.address.key;
    try {
        auto job = decode_job(row.value);
        job.id = job_id(key);
        const auto age = std::clamp<std::int64_t>(
            env_.time->utc_now().value() - job.accepted_at.value(), 0, 60'000);
        coordinator_.add_job(job, milliseconds(is_loaded_ ? 0 : age),
                             jobs_with_rows_.contains(job.id));
        early_cancellations_.erase(job.id);
        if (is_loaded_) {
            log_event(log_level::info, "job_added",
                      {{"job", key},
                       {"row_version", row.version.value()},
                       {"job_phase", phase_name(job.id)}});
        }
    } catch (const error& failure) {
        log_event(log_level::error, "job_row_unreadable",
                  {{"job", key}, {"message", failure.what()}});
    }
}

void owner_session::add_cancellation(const job_id& job, row_version version) {
    log_event(
        log_level::info, "job_cancelled",
        {{"job", job.value()}, {"row_version", version.value()}, {"job_phase", phase_name(job)}});
    coordinator_.cancel_job(job);
    if (!coordinator_.status(job)) {
        early_cancellations_.add(job, version);
    }
}

void owner_session::forget_cancellation(const job_id& job) {
    coordinator_.forget_cancellation(job);
    early_cancellations_.erase(job);
}

void owner_session::load_job(const job_id& job) {
    const auto& key = job.value();
    env_.store->read(job_table, part_of(job), key, key + key_successor_suffix, load_timeout,
                     [weak = weak_from_this()](const read_result& result) {
                         const auto self = weak.lock();
                         if (!self || self->is_closed_ || result.outcome != store_outcome::done) {
                             return;
                         }
                         for (const auto& row : result.rows) {
                             self->add_job(row);
                         }
                         self->schedule_plan();
                     });
}

std::string_view owner_session::phase_name(const job_id& job) const {
    const auto found = coordinator_.status(job);
    return found ? name(found->phase) : "unknown";
}

void owner_session::finish_loading() {
    for (const auto& row : progress_) {
        const auto [job, number] = parse_progress_key(row.address.key);
        if (!coordinator_.restore(job, row.value, unclaimed_runs_end_by_, number)) {
            log_event(log_level::error, "progress_row_unreadable",
                      {{"job", job.value()}, {"row", number}});
        }
    }
    is_loaded_ = true;
    const auto kept = coordinator_.kept();
    log_event(log_level::info, "jobs_loaded",
              {{"epoch", epoch_.value()},
               {"progress_rows", progress_.size()},
               {"jobs", coordinator_.count().jobs},
               {"kept_jobs", kept.jobs},
               {"deferred_jobs", kept.deferred_jobs},
               {"ended_jobs", kept.ended_jobs},
               {"kept_occurrences", kept.occurrences},
               {"kept_tasks", kept.tasks},
               {"kept_bytes", kept.bytes}});
    progress_ = {};
    jobs_with_rows_ = {};
    watch_agents();
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
