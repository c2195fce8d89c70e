// The owner's links to the agents, and the messages received over them.

#include <algorithm>

#include "owner_session.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

constexpr milliseconds connect_timeout{600};
constexpr milliseconds min_reconnect_delay{200};
constexpr milliseconds max_reconnect_delay{1'600};

}  // namespace

void owner_session::connect(const instance_name& instance) {
    auto& agent = agents_.at(instance);
    if (agent.link || agent.is_connecting || env_.time->now() < agent.retry_at) {
        return;
    }
    agent.is_connecting = true;
    eventio::connect_link(
        *env_.loop, agent.address, connect_timeout,
        [self = shared_from_this(), instance](const std::shared_ptr<eventio::message_link>& link) {
            return self->connected(instance, link);
        });
}

eventio::link_handlers owner_session::connected(
    const instance_name& instance, const std::shared_ptr<eventio::message_link>& link) {
    const auto found = agents_.find(instance);
    if (is_closed_ || found == agents_.end()) {
        if (link) {
            link->close();
        }
        return {};
    }
    auto& agent = found->second;
    agent.is_connecting = false;
    if (!link) {
        const auto delay = std::min(
            min_reconnect_delay * (1 << std::min(agent.connect_failures, 3)), max_reconnect_delay);
        ++agent.connect_failures;
        agent.retry_at = env_.time->now() + delay;
        return {};
    }
    agent.link = link;
    agent.connect_failures = 0;
    agent.last_message_at = env_.time->now();
    send_claim(agent);
    std::weak_ptr weak = weak_from_this();
    return {[weak, instance](const std::string& text) {
                if (const auto self = weak.lock(); self && !self->is_closed_) {
                    self->receive(instance, text);
                }
            },
            [weak, instance] {
                if (const auto self = weak.lock(); self && !self->is_closed_) {
                    self->disconnect(instance, "connection closed");
                }
            }};
}

void owner_session::send_claim(agent_link& agent) const {
    const auto claim = claim_epoch(epoch_, ++agent.claim_count);
    agent.link->send(messages::dump({{"t", "claim"}, {"epoch", claim.value()}}));
}

void owner_session::disconnect(const instance_name& instance, std::string_view why) {
    auto& agent = agents_.at(instance);
    if (!agent.link) {
        return;
    }
    agent.link->close();
    agent.link.reset();
    agent.retry_at = env_.time->now() + min_reconnect_delay;
    if (agent.is_claimed) {
        agent.is_claimed = false;
        coordinator_.instance_disconnected(instance, agent.runs_end_by);
        schedule_plan();
    }
    log_event(log_level::warning, "agent_lost",
              {{"agent", instance.value()},
               {"why", why},
               {"silent_ms", std::chrono::duration_cast<milliseconds>(env_.time->now() -
                                                                      agent.last_message_at)}});
}

void owner_session::receive(const instance_name& instance, const std::string& text) {
    try {
        handle(instance, json_input::parse(text));
    } catch (const invariant_violation&) {
        throw;
    } catch (const std::exception& failure) {
        log_event(log_level::error, "message_unreadable",
                  {{"agent", instance.value()}, {"message", failure.what()}});
        disconnect(instance, "unreadable message");
    }
    schedule_plan();
}

void owner_session::handle(const instance_name& instance, const json& message) {
    auto& agent = agents_.at(instance);
    agent.last_message_at = env_.time->now();
    const auto kind = message.at("t").get<std::string>();
    const auto task = [&] { return messages::decode_task(message.at("task")); };
    const auto run = [&] { return messages::decode_run(message.at("run")); };
    const auto incarnation = [&] { return messages::decode_incarnation(message.at("life")); };
    if (kind == "inventory") {
        on_inventory(instance, agent, message);
    } else if (kind == "superseded") {
        const auto newer = owner_epoch(messages::decode_claim_epoch(message.at("epoch")));
        log_event(
            log_level::warning, "superseded",
            {{"agent", instance.value()}, {"epoch", epoch_.value()}, {"newer", newer.value()}});
        if (newer > epoch_) {
            env_.owner->superseded();
        }
    } else if (kind == "beat") {
        on_heartbeat(instance, agent, message);
    } else if (!agent.is_claimed) {
        return;
    } else if (kind == "reclaim") {
        send_claim(agent);
    } else if (kind == "pressures") {
        on_pressures(instance, agent, message);
    } else if (kind == "started") {
        const auto outcome = messages::decode_start_outcome(message.at("outcome"));
        if (outcome != start_outcome::started) {
            log_event(log_level::info, "start_refused",
                      {{"task", to_string(task())},
                       {"agent", instance.value()},
                       {"outcome", static_cast<int>(outcome)}});
        }
        coordinator_.start_reported(instance, task(), run(), outcome);
    } else if (kind == "stopped") {
        coordinator_.stop_confirmed(instance, task(), run());
    } else if (kind == "ends") {
        std::vector<finished_task> finished_runs;
        for (const auto& row : json_input::list(message.at("ends"))) {
            finished_runs.push_back(messages::decode_finished(row));
            log_event(log_level::info, "run_ended",
                      {{"task", to_string(finished_runs.back().task)},
                       {"run", finished_runs.back().run.value()},
                       {"agent", instance.value()},
                       {"how", static_cast<int>(finished_runs.back().outcome)}});
        }
        coordinator_.runs_finished(instance, incarnation(), finished_runs);
    } else if (kind == "executor") {
        const auto info = messages::decode_executor(message.at("executor"));
        log_event(log_level::info, "executor_changed",
                  {{"agent", instance.value()}, {"draining", info.is_draining}});
        coordinator_.executor_changed(instance, info);
    } else if (kind == "gone") {
        log_event(log_level::warning, "executor_gone", {{"agent", instance.value()}});
        coordinator_.executor_terminated(instance, incarnation(),
                                         messages::decode_run_ages(message));
    }
}

void owner_session::on_inventory(const instance_name& instance, agent_link& agent,
                                 const json& message) {
    const auto found = messages::decode_inventory(message, env_.time->now());
    agent.is_claimed = true;
    // The agent takes no grants of other owners or earlier links any more.
    agent.runs_end_by = std::min(agent.runs_end_by, env_.time->now() + env_.timing.expiry_delay());
    log_event(log_level::info, "agent_claimed",
              {{"agent", instance.value()},
               {"has_executor", found.executor.has_value()},
               {"running", found.running.size()},
               {"finished", found.finished.size()},
               {"ended_lifetime", found.ended ? found.ended->incarnation.value() : 0},
               {"unsettled", found.ended ? found.ended->unsettled.size() : 0},
               {"vacant", found.is_vacant}});
    coordinator_.instance_claimed(instance, found);
    log_unresolved(instance);
    if (has_restored_pressures_) {
        send_pressures(agent, shared_pressures_);
    } else {
        send(instance, {{"t", "recall"}});
    }
}

void owner_session::log_unresolved(const instance_name& instance) const {
    const auto [count, runs_end_by] = coordinator_.unresolved(instance);
    if (count > 0) {
        const auto left = std::chrono::duration_cast<milliseconds>(runs_end_by - env_.time->now());
        log_event(log_level::info, "runs_unresolved",
                  {{"agent", instance.value()}, {"tasks", count}, {"ended_in_ms", left}});
    }
}

void owner_session::on_pressures(const instance_name& instance, agent_link& agent,
                                 const json& message) {
    const auto pressures = messages::decode_pressures(message.at("pairs"));
    log_event(log_level::info, "pressures_recalled",
              {{"agent", instance.value()}, {"serving_images", pressures.size()}});
    coordinator_.restore_pressures(pressures);
    // A restarted agent has no pressures; another agent may have some.
    has_restored_pressures_ = has_restored_pressures_ || !pressures.empty();
    send_pressures(agent, shared_pressures_);
}

void owner_session::on_heartbeat(const instance_name& instance, agent_link& agent,
                                 const json& message) {
    const auto sent_at = messages::decode_instant(message.at("at"));
    std::vector<running_task> running;
    for (const auto& run : json_input::list(message.at("running"))) {
        running.push_back(messages::decode_running(run));
    }
    // Agents of earlier versions do not send the number.
    std::optional<std::uint64_t> view_count;
    if (message.contains("views")) {
        view_count = json_input::whole_number<std::uint64_t>(message.at("views"));
    }
    const bool has_complete_view = !view_count || view_count != agent.view_count;
    agent.view_count = view_count;
    coordinator_.progress_reported(instance, running, messages::decode_sample(message.at("sample")),
                                   has_complete_view);
    if (may_grant() && coordinator_.has_executor(instance)) {
        agent.runs_end_by = env_.time->now() + env_.timing.expiry_delay();
        send(instance, {{"t", "grant"}, {"at", sent_at.time_since_epoch().count()}});
    }
}

bool owner_session::may_grant() const {
    return !env_.owner->may_be_released() &&
           env_.time->now() - env_.owner->renewed_at() <= env_.timing.max_renewal_without_store;
}

void owner_session::send(const instance_name& instance, const json& message) {
    const auto found = agents_.find(instance);
    if (found != agents_.end() && found->second.link) {
        found->second.link->send(messages::dump(message));
    }
}

}  // namespace tanagerpaddle::dispatch
