#include "owner_session.hpp"

#include <algorithm>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// Interval at which the owner renews its row if there is nothing else to write.
constexpr milliseconds renewal_interval{400};
constexpr milliseconds tick_interval{50};
// Agents get what was learned of interference at the interval of their measurements.
constexpr milliseconds share_interval{500};
// Of a utilisation; smaller changes do not alter a pace.
constexpr double least_shared_change = 0.05;
// Between two plans the owner rests this many times as long as the last one took, which leaves most
// of its processor to messages and calls; events that come meanwhile are planned for together.
constexpr int rest_factor = 4;
constexpr milliseconds load_limit{2'000};
constexpr milliseconds load_retry{100};
// An answer about an unknown job is trusted while the feed of new jobs is at most this old.
constexpr milliseconds freshest_feed{2'000};

bool is_cancel_key(const std::string& key) {
    const std::string_view suffix = cancel_suffix;
    return key.size() > suffix.size() &&
           std::string_view(key).substr(key.size() - suffix.size()) == suffix;
}

std::vector<std::string> all_job_parts() {
    std::vector<std::string> parts;
    for (std::uint32_t i = 0; i < job_parts; ++i) {
        parts.push_back(std::to_string(i));
    }
    return parts;
}

}  // namespace

std::string part_of(const job_id& job) {
    return std::to_string(partition_of(job.value(), job_parts).value());
}

owner_session::owner_session(environment with, epoch_number epoch, instant machines_gone_at)
    : env_(with),
      epoch_(epoch),
      machines_gone_at_(machines_gone_at),
      coordinator_({with.timing, coordinator::options{}.rows_per_write}, *with.time, *this) {}

// ---------------------------------------------------------------------------------------------
// Loading

void owner_session::begin() {
    written_at_ = env_.time->now();
    load_progress("");
    tick();
}

void owner_session::close() {
    is_closed_ = true;
    job_feed_.reset();
    agent_feed_.reset();
    for (auto& [name, agent] : agents_) {
        if (agent.link) {
            agent.link->close();
        }
    }
    agents_.clear();
}

void owner_session::load_progress(const std::string& from) {
    env_.store->read(
        progress_table, owner_part, from, "", load_limit,
        [self = shared_from_this(), from](const read_result& result) {
            if (self->is_closed_) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                self->env_.loop->after(load_retry, [self, from] {
                    if (!self->is_closed_) {
                        self->load_progress(from);
                    }
                });
                return;
            }
            self->progress_.insert(self->progress_.end(), result.rows.begin(), result.rows.end());
            if (result.has_more && !result.rows.empty()) {
                self->load_progress(result.rows.back().address.key + key_successor_suffix);
                return;
            }
            self->job_feed_ = std::make_unique<table_watcher>(
                *self->env_.loop, *self->env_.store,
                table_watcher::options{job_table, all_job_parts()},
                [weak = self->weak_from_this()](const std::vector<stored_row>& rows, bool) {
                    const auto me = weak.lock();
                    if (!me || me->is_closed_) {
                        return;
                    }
                    for (const auto& row : rows) {
                        me->add_row(row);
                    }
                    if (!me->is_loaded_) {
                        me->finish_loading();
                    }
                    me->schedule_plan();
                });
        });
}

void owner_session::add_row(const stored_row& row) {
    if (row.version == row_version(0)) {
        return;
    }
    const auto& key = row.address.key;
    if (is_cancel_key(key)) {
        const job_id job(key.substr(0, key.size() - std::string_view(cancel_suffix).size()));
        log_event(log_level::info, "job_cancelled",
                  {{"job", job.value()}, {"row_version", row.version.value()}});
        coordinator_.cancel_job(job);
        return;
    }
    try {
        auto job = decode_job(row.value);
        job.id = job_id(key);
        const auto age = std::clamp<std::int64_t>(
            env_.time->utc_now().value() - job.accepted_at.value(), 0, 60'000);
        coordinator_.add_job(job, milliseconds(is_loaded_ ? 0 : age));
    } catch (const error& failure) {
        log_event(log_level::error, "job_row_unreadable",
                  {{"job", key}, {"message", failure.what()}});
    }
}

void owner_session::finish_loading() {
    for (const auto& row : progress_) {
        if (!coordinator_.restore(job_id(row.address.key), row.value, machines_gone_at_)) {
            log_event(log_level::error, "progress_row_unreadable", {{"job", row.address.key}});
        }
    }
    is_loaded_ = true;
    log_event(log_level::info, "jobs_loaded",
              {{"epoch", epoch_.value()},
               {"progress_rows", progress_.size()},
               {"jobs", coordinator_.count().jobs}});
    progress_ = {};
    follow_agents();
}

void owner_session::follow_agents() {
    agent_feed_ = std::make_unique<table_watcher>(
        *env_.loop, *env_.store, table_watcher::options{agent_table, {""}},
        [weak = weak_from_this()](const std::vector<stored_row>& rows, bool) {
            const auto self = weak.lock();
            if (!self || self->is_closed_) {
                return;
            }
            for (const auto& row : rows) {
                const machine_name name(row.address.key);
                try {
                    const auto address = eventio::parse_endpoint(row.value);
                    auto [position, is_new] = self->agents_.try_emplace(name);
                    if (is_new) {
                        position->second.gone_at = self->machines_gone_at_;
                    } else if (position->second.address != address) {
                        self->disconnect(name, "agent has another address");
                    }
                    position->second.address = address;
                    position->second.retry_at = {};
                    self->connect(name);
                } catch (const error& failure) {
                    log_event(log_level::error, "agent_row_unreadable",
                              {{"agent", name.value()}, {"message", failure.what()}});
                }
            }
        });
}

bool owner_session::knows_all_jobs() const {
    return is_loaded_ && job_feed_ && env_.time->now() - job_feed_->confirmed_at() <= freshest_feed;
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

void owner_session::start(const machine_name& machine, const start_order& order) {
    log_event(
        log_level::info, "start_ordered",
        {{"task", to_string(order.task)}, {"run", order.run.value()}, {"agent", machine.value()}});
    auto message = messages::encode(order);
    message["t"] = "start";
    send(machine, message);
}

void owner_session::stop(const machine_name& machine, const task_key& task, run_number run) {
    log_event(log_level::info, "stop_ordered",
              {{"task", to_string(task)}, {"run", run.value()}, {"agent", machine.value()}});
    send(machine, {{"t", "stop"}, {"task", messages::encode(task)}, {"run", run.value()}});
}

void owner_session::acknowledge(const machine_name& machine, lifetime_number lifetime,
                                end_number number) {
    send(machine, {{"t", "ack"}, {"life", lifetime.value()}, {"number", number.value()}});
}

void owner_session::ask_advice(const step_key& step, const std::vector<executor_id>& executors) {
    if (env_.policies == nullptr) {
        log_event(log_level::error, "no_policy_service", {{"job", step.job.value()}});
        return;
    }
    const instant asked_at = env_.time->now();
    env_.policies->request_permits(
        step, executors,
        [self = shared_from_this(), step, asked_at](std::optional<std::vector<permit>> permits,
                                                    milliseconds valid_for) {
            if (self->is_closed_) {
                return;
            }
            if (permits) {
                self->coordinator_.advised(step, *permits, asked_at + valid_for);
            } else {
                log_event(log_level::warning, "advice_failed", {{"job", step.job.value()}});
                self->coordinator_.advice_failed(step);
            }
            self->schedule_plan();
        });
}

void owner_session::describe(const machine_name& machine, const task_key& task,
                             const task_traits& traits) {
    send(machine, {{"t", "describe"},
                   {"task", messages::encode(task)},
                   {"traits", messages::encode(traits)}});
}

// ---------------------------------------------------------------------------------------------
// Time and writes

void owner_session::tick() {
    if (is_closed_) {
        return;
    }
    const instant now = env_.time->now();
    for (auto& [name, agent] : agents_) {
        if (agent.link && now - agent.heard_at > env_.timing.link_silence) {
            disconnect(name, "silent");
        }
        connect(name);
    }
    share_pressures();
    schedule_plan();
    env_.loop->after(tick_interval, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
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
    if (now - shared_at_ < share_interval) {
        return;
    }
    shared_at_ = now;
    pressure_table changed;
    for (const auto& [serving, fillers] : coordinator_.interference().pressures()) {
        auto& known = shared_[serving];
        for (const auto& [filler, pressure] : fillers) {
            const auto [position, is_new] = known.try_emplace(filler, pressure);
            if (is_new || std::abs(position->second - pressure) >= least_shared_change) {
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
    if (now >= plan_at_) {
        env_.loop->post(plan);
    } else {
        env_.loop->after(std::chrono::ceil<milliseconds>(plan_at_ - now), plan);
    }
}

void owner_session::plan() {
    is_plan_scheduled_ = false;
    const instant begun = env_.time->now();
    if (is_loaded_) {
        coordinator_.plan();
    }
    pump_writes();
    const instant ended = env_.time->now();
    plan_at_ = ended + rest_factor * (ended - begun);
}

void owner_session::pump_writes() {
    if (!env_.owner->can_write()) {
        return;
    }
    const bool has_rows = is_loaded_ && coordinator_.has_writes();
    const instant now = env_.time->now();
    if (!has_rows && now - written_at_ < renewal_interval) {
        return;
    }
    written_at_ = now;
    std::vector<progress_row> rows;
    if (has_rows) {
        rows = coordinator_.begin_write();
    }
    env_.owner->write(rows, [weak = weak_from_this(), has_rows](bool is_durable) {
        const auto self = weak.lock();
        if (!self || self->is_closed_) {
            return;
        }
        if (has_rows && is_durable) {
            self->coordinator_.write_done();
        } else if (has_rows) {
            self->coordinator_.write_failed();
        }
        if (!is_durable) {
            self->written_at_ = {};  // renew at once
        }
        self->schedule_plan();
    });
}

}  // namespace tanagerpaddle::dispatch
