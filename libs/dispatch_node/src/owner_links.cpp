// The owner's connections to the agents, and what comes over them.

#include <algorithm>

#include "owner_session.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

constexpr milliseconds connect_limit{600};
constexpr milliseconds first_reconnect{200};
constexpr milliseconds longest_reconnect{1'600};

}  // namespace

void owner_session::connect(const instance_name& machine) {
    auto& agent = agents_.at(machine);
    if (agent.link || agent.is_connecting || env_.time->now() < agent.retry_at) {
        return;
    }
    agent.is_connecting = true;
    eventio::connect_link(
        *env_.loop, agent.address, connect_limit,
        [self = shared_from_this(), machine](const std::shared_ptr<eventio::message_link>& link) {
            return self->connected(machine, link);
        });
}

eventio::link_handlers owner_session::connected(
    const instance_name& machine, const std::shared_ptr<eventio::message_link>& link) {
    const auto found = agents_.find(machine);
    if (is_closed_ || found == agents_.end()) {
        if (link) {
            link->close();
        }
        return {};
    }
    auto& agent = found->second;
    agent.is_connecting = false;
    if (!link) {
        const auto delay =
            std::min(first_reconnect * (1 << std::min(agent.failures, 3)), longest_reconnect);
        ++agent.failures;
        agent.retry_at = env_.time->now() + delay;
        return {};
    }
    agent.link = link;
    agent.failures = 0;
    agent.heard_at = env_.time->now();
    const auto claim = claim_epoch(epoch_, ++agent.claims);
    link->send(messages::dump({{"t", "claim"}, {"epoch", claim.value()}}));
    std::weak_ptr weak = weak_from_this();
    return {[weak, machine](const std::string& text) {
                if (const auto self = weak.lock(); self && !self->is_closed_) {
                    self->receive(machine, text);
                }
            },
            [weak, machine] {
                if (const auto self = weak.lock(); self && !self->is_closed_) {
                    self->disconnect(machine, "connection closed");
                }
            }};
}

void owner_session::disconnect(const instance_name& machine, std::string_view why) {
    auto& agent = agents_.at(machine);
    if (!agent.link) {
        return;
    }
    agent.link->close();
    agent.link.reset();
    agent.retry_at = env_.time->now() + first_reconnect;
    if (agent.is_claimed) {
        agent.is_claimed = false;
        coordinator_.instance_disconnected(machine, agent.gone_at);
        schedule_plan();
    }
    log_event(log_level::warning, "agent_lost",
              {{"agent", machine.value()},
               {"why", why},
               {"silent_ms",
                std::chrono::duration_cast<milliseconds>(env_.time->now() - agent.heard_at)}});
}

void owner_session::receive(const instance_name& machine, const std::string& text) {
    try {
        handle(machine, json::parse(text));
    } catch (const json::exception& failure) {
        log_event(log_level::error, "message_unreadable",
                  {{"agent", machine.value()}, {"message", failure.what()}});
        disconnect(machine, "unreadable message");
    }
    schedule_plan();
}

void owner_session::handle(const instance_name& machine, const json& message) {
    auto& agent = agents_.at(machine);
    agent.heard_at = env_.time->now();
    const auto kind = message.at("t").get<std::string>();
    const auto task = [&] { return messages::decode_task(message.at("task")); };
    const auto run = [&] { return run_number(message.at("run").get<std::uint32_t>()); };
    const auto life = [&] { return executor_incarnation(message.at("life").get<std::int64_t>()); };
    if (kind == "inventory") {
        on_inventory(machine, agent, message);
    } else if (kind == "superseded") {
        const auto newer = owner_epoch(epoch_number(message.at("epoch").get<std::uint64_t>()));
        log_event(
            log_level::warning, "superseded",
            {{"agent", machine.value()}, {"epoch", epoch_.value()}, {"newer", newer.value()}});
        if (newer > epoch_) {
            env_.owner->superseded();
        }
    } else if (kind == "beat") {
        on_beat(machine, agent, message);
    } else if (!agent.is_claimed) {
        return;
    } else if (kind == "pressures") {
        on_pressures(machine, agent, message);
    } else if (kind == "started") {
        const auto outcome = static_cast<start_outcome>(message.at("outcome").get<int>());
        if (outcome != start_outcome::started) {
            log_event(log_level::info, "start_refused",
                      {{"task", to_string(task())},
                       {"agent", machine.value()},
                       {"outcome", static_cast<int>(outcome)}});
        }
        coordinator_.start_reported(machine, task(), run(), outcome);
    } else if (kind == "stopped") {
        coordinator_.stop_confirmed(machine, task(), run());
    } else if (kind == "ends") {
        std::vector<finished_task> ends;
        for (const auto& end : message.at("ends")) {
            ends.push_back(messages::decode_finished(end));
            log_event(log_level::info, "run_ended",
                      {{"task", to_string(ends.back().task)},
                       {"run", ends.back().run.value()},
                       {"agent", machine.value()},
                       {"how", static_cast<int>(ends.back().outcome)}});
        }
        coordinator_.runs_finished(machine, life(), ends);
    } else if (kind == "executor") {
        const auto info = messages::decode_executor(message.at("executor"));
        log_event(log_level::info, "executor_changed",
                  {{"agent", machine.value()}, {"draining", info.is_draining}});
        coordinator_.executor_changed(machine, info);
    } else if (kind == "gone") {
        log_event(log_level::warning, "executor_gone", {{"agent", machine.value()}});
        coordinator_.executor_terminated(machine, life());
    }
}

void owner_session::on_inventory(const instance_name& machine, agent_link& agent,
                                 const json& message) {
    const auto found = messages::decode_inventory(message);
    agent.is_claimed = true;
    log_event(log_level::info, "agent_claimed",
              {{"agent", machine.value()},
               {"has_executor", found.executor.has_value()},
               {"running", found.running.size()},
               {"finished", found.finished.size()}});
    coordinator_.instance_claimed(machine, found);
    if (has_recalled_) {
        send_pressures(agent, shared_);
    } else {
        send(machine, {{"t", "recall"}});
    }
}

void owner_session::on_pressures(const instance_name& machine, agent_link& agent,
                                 const json& message) {
    const auto pressures = messages::decode_pressures(message.at("pairs"));
    log_event(log_level::info, "pressures_recalled",
              {{"agent", machine.value()}, {"serving_images", pressures.size()}});
    coordinator_.restore_pressures(pressures);
    // An agent that has started anew knows nothing; the next one may.
    has_recalled_ = has_recalled_ || !pressures.empty();
    send_pressures(agent, shared_);
}

void owner_session::on_beat(const instance_name& machine, agent_link& agent, const json& message) {
    std::vector<running_task> running;
    for (const auto& run : message.at("running")) {
        running.push_back(messages::decode_running(run));
    }
    coordinator_.progress_reported(machine, running, messages::decode_sample(message.at("sample")));
    if (may_grant()) {
        agent.gone_at = env_.time->now() + env_.timing.expiry_delay();
        send(machine, {{"t", "grant"}, {"at", message.at("at")}});
    }
}

bool owner_session::may_grant() const {
    return env_.time->now() - env_.owner->confirmed_at() <= env_.timing.max_renewal_without_store;
}

void owner_session::send(const instance_name& machine, const json& message) {
    const auto found = agents_.find(machine);
    if (found != agents_.end() && found->second.link) {
        found->second.link->send(messages::dump(message));
    }
}

}  // namespace tanagerpaddle::dispatch
