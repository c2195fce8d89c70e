#include <algorithm>

#include "messages.hpp"
#include "owner_session.hpp"
#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// Longest wait of a look at the executor's lists: figures for pacing come at half-second intervals.
constexpr milliseconds hold_wait{500};
// Pause after a look that failed, or that came back at once without news.
constexpr milliseconds hold_pause{50};
constexpr milliseconds quick_answer{20};
constexpr milliseconds tick_interval{100};
constexpr milliseconds registration_limit{1'000};
constexpr milliseconds registration_retry{250};
// Refused connections in a row after which the executor's process is taken for dead.
constexpr int refusals_of_dead = 3;
// A leave that waits for orders ends after this time.
constexpr milliseconds leave_limit{500};

}  // namespace

struct agent_node::state : agent_orders, std::enable_shared_from_this<agent_node::state> {
    state(eventio::event_loop& events, const clock& source, row_store& rows,
          executor_control& calls, agent_options with)
        : loop(events),
          time(source),
          store(rows),
          executor(calls),
          options(std::move(with)),
          core(source, *this) {}

    // --- registration
    void register_self() {
        row_transaction transaction;
        transaction.puts.push_back({agent_table, options.name, to_string(options.messages)});
        store.transact(transaction, registration_limit,
                       [me = shared_from_this()](const transaction_result& result) {
                           if (result.outcome == store_outcome::done) {
                               log_event(log_level::info, "agent_registered", {});
                               return;
                           }
                           me->loop.after(registration_retry, [me] { me->register_self(); });
                       });
    }

    // --- coordinator
    eventio::link_handlers accepted(const std::shared_ptr<eventio::message_link>& from_peer) {
        std::weak_ptr weak_link = from_peer;
        pending.push_back(from_peer);
        return {[weak = weak_from_this(), weak_link](const std::string& text) {
                    const auto me = weak.lock();
                    const auto from = weak_link.lock();
                    if (me && from) {
                        me->receive(from, text);
                    }
                },
                [weak = weak_from_this(), weak_link] {
                    const auto me = weak.lock();
                    const auto from = weak_link.lock();
                    if (me && from) {
                        std::erase(me->pending, from);
                        if (me->link == from) {
                            me->link.reset();
                            log_event(log_level::warning, "coordinator_lost",
                                      {{"epoch", me->core.epoch().value()}});
                        }
                    }
                }};
    }

    void receive(const std::shared_ptr<eventio::message_link>& from, const std::string& text) {
        try {
            handle(from, json::parse(text));
        } catch (const std::exception& failure) {
            log_event(log_level::error, "message_unreadable", {{"message", failure.what()}});
            std::erase(pending, from);
            if (link == from) {
                link.reset();
            }
            from->close();
        }
    }

    void handle(const std::shared_ptr<eventio::message_link>& from, const json& message) {
        const auto kind = message.at("t").get<std::string>();
        if (kind == "claim") {
            claim(from, epoch_number(message.at("epoch").get<std::uint64_t>()));
            return;
        }
        if (from != link) {
            return;  // a coordinator that another one has replaced
        }
        if (kind == "start") {
            auto order = messages::decode_start(message);
            if (is_leaving) {
                report_start(order.task, order.run, start_outcome::not_started);
                return;
            }
            core.start(order, core.epoch());
        } else if (kind == "stop") {
            core.stop(messages::decode_task(message.at("task")),
                      run_number(message.at("run").get<std::uint32_t>()), core.epoch());
        } else if (kind == "ack") {
            core.acknowledge(lifetime_number(message.at("life").get<std::int64_t>()),
                             end_number(message.at("number").get<std::uint64_t>()));
        } else if (kind == "grant") {
            const auto sent_at = instant(std::chrono::nanoseconds(message.at("at")));
            core.granted(sent_at + options.timing.grant);
        } else if (kind == "describe") {
            core.describe(messages::decode_task(message.at("task")),
                          messages::decode_traits(message.at("traits")));
        } else if (kind == "pressures") {
            for (const auto& [serving, fillers] : messages::decode_pressures(message.at("pairs"))) {
                for (const auto& [filler, pressure] : fillers) {
                    core.learn(serving, filler, pressure);
                }
            }
        } else if (kind == "recall") {
            send({{"t", "pressures"}, {"pairs", messages::encode(core.pressures())}});
        }
    }

    void claim(const std::shared_ptr<eventio::message_link>& from, epoch_number epoch) {
        if (!core.claim(epoch)) {
            log_event(log_level::warning, "stale_coordinator",
                      {{"epoch", epoch.value()}, {"current", core.epoch().value()}});
            from->send(messages::dump({{"t", "superseded"}, {"epoch", core.epoch().value()}}));
            return;
        }
        if (link && link != from) {
            link->send(messages::dump({{"t", "superseded"}, {"epoch", epoch.value()}}));
            // The peer closes the connection; nothing more is taken from it.
            pending.push_back(link);
        }
        std::erase(pending, from);
        link = from;
        log_event(log_level::info, "coordinator_gained", {{"epoch", epoch.value()}});
        link->send(messages::dump(messages::encode(core.report())));
        send_beat();
        // A look with the new number: what the answer does not hold can no longer start.
        ++hold_chain;
        has_clock = false;
        hold();
    }

    void send(const json& message) {
        if (link) {
            link->send(messages::dump(message));
        }
    }

    void send_beat() {
        json running = json::array();
        std::map<task_key, std::pair<std::string, int>> known;
        for (const auto& run : core.report().running) {
            const auto shown = std::pair(run.checkpoint, run.percent);
            const auto before = reported_progress.find(run.task);
            if (before == reported_progress.end() || before->second != shown) {
                running.push_back(messages::encode(run));
            }
            known[run.task] = shown;
        }
        reported_progress = std::move(known);
        send({{"t", "beat"},
              {"at", time.now().time_since_epoch().count()},
              {"sample", messages::encode(core.sample())},
              {"running", std::move(running)}});
    }

    // --- executor
    [[nodiscard]] std::int64_t lease_until() const {
        const auto left =
            std::chrono::duration_cast<milliseconds>(core.granted_until() - clock_read_at);
        return executor_clock_ms + left.count();
    }

    void hold() {
        const instant asked_at = time.now();
        std::optional<std::int64_t> until;
        if (has_clock && asked_at < core.granted_until()) {
            until = lease_until();
        }
        // The first look is needed at once: the coordinator waits for the inventory.
        const auto wait = has_clock ? hold_wait : milliseconds(0);
        executor.sync(core.epoch(), core.acknowledged(), until, wait,
                      [me = shared_from_this(), asked_at, chain = hold_chain,
                       epoch = core.epoch()](const sync_result& result) {
                          if (chain == me->hold_chain) {
                              me->held(asked_at, epoch, result);
                          }
                      });
    }

    void held(instant asked_at, epoch_number epoch, const sync_result& result) {
        const instant now = time.now();
        bool is_idle_answer = true;
        if (result.is_answered) {
            refusals = 0;
            executor_clock_ms = result.executor_clock_ms;
            clock_read_at = now;
            has_clock = true;
            auto view = result.view;
            view.requested_at = asked_at;
            view.epoch = epoch;
            has_news = false;
            if (core.executor_seen(view)) {
                send(messages::encode(core.report()));
            }
            is_idle_answer = now - asked_at < quick_answer && !has_news;
        } else if (result.is_connection_refused && ++refusals >= refusals_of_dead) {
            if (core.executor()) {
                log_event(log_level::warning, "executor_unreachable",
                          {{"executor", core.executor()->id.value()}});
            }
            has_clock = false;
            core.executor_unreachable();
        }
        if (is_idle_answer) {
            loop.after(hold_pause, [me = shared_from_this(), chain = hold_chain] {
                if (chain == me->hold_chain) {
                    me->hold();
                }
            });
        } else {
            hold();
        }
    }

    // --- agent_orders
    void call_start(const start_order& order, epoch_number epoch) override {
        if (!core.executor()) {
            return;
        }
        executor.start(
            order, core.executor()->id, epoch, lease_until(),
            [me = shared_from_this(), task = order.task, run = order.run](start_answer answer) {
                if (answer != start_answer::started) {
                    log_event(log_level::info, "start_answered",
                              {{"task", to_string(task)},
                               {"run", run.value()},
                               {"answer", static_cast<int>(answer)}});
                }
                me->core.start_answered(task, run, answer);
            });
    }

    void call_stop(const task_key& task, run_number run, epoch_number epoch) override {
        executor.stop(task, run, epoch, [me = shared_from_this(), task, run](bool is_confirmed) {
            me->core.stop_answered(task, run, is_confirmed);
        });
    }

    void call_pace(const task_key& task, run_number run, int percent, epoch_number epoch) override {
        log_event(log_level::info, "filler_paced",
                  {{"task", to_string(task)}, {"run", run.value()}, {"percent", percent}});
        executor.pace(task, run, percent, epoch);
    }

    void report_start(const task_key& task, run_number run, start_outcome outcome) override {
        send({{"t", "started"},
              {"task", messages::encode(task)},
              {"run", run.value()},
              {"outcome", static_cast<int>(outcome)}});
    }

    void report_stop(const task_key& task, run_number run) override {
        send({{"t", "stopped"}, {"task", messages::encode(task)}, {"run", run.value()}});
    }

    void report_ends(lifetime_number lifetime, const std::vector<finished_task>& ends) override {
        has_news = true;
        json list = json::array();
        for (const auto& end : ends) {
            list.push_back(messages::encode(end));
        }
        send({{"t", "ends"}, {"life", lifetime.value()}, {"ends", std::move(list)}});
    }

    void report_gone(lifetime_number lifetime) override {
        send({{"t", "gone"}, {"life", lifetime.value()}});
    }

    eventio::event_loop& loop;
    const clock& time;
    row_store& store;
    executor_control& executor;
    agent_options options;
    agent core;
    std::unique_ptr<eventio::message_server> server;
    std::shared_ptr<eventio::message_link> link;
    // Links whose peer has not claimed this agent yet.
    std::vector<std::shared_ptr<eventio::message_link>> pending;
    std::map<task_key, std::pair<std::string, int>> reported_progress;
    std::int64_t executor_clock_ms = 0;
    instant clock_read_at;
    bool has_clock = false;
    bool has_news = false;
    // Looks at the executor follow each other; a new claim begins a new chain.
    std::uint64_t hold_chain = 0;
    bool is_leaving = false;
    int refusals = 0;
};

agent_node::agent_node(eventio::event_loop& loop, const clock& time, row_store& store,
                       executor_control& executor, agent_options options)
    : state_(std::make_shared<state>(loop, time, store, executor, std::move(options))) {}

agent_node::~agent_node() = default;

void agent_node::start() {
    state_->server = std::make_unique<eventio::message_server>(
        state_->loop, state_->options.messages,
        [weak = std::weak_ptr(state_)](const std::shared_ptr<eventio::message_link>& from) {
            const auto me = weak.lock();
            return me ? me->accepted(from) : eventio::link_handlers{};
        });
    state_->register_self();
    state_->loop.every(tick_interval, [weak = std::weak_ptr(state_)] {
        if (const auto me = weak.lock()) {
            me->core.tick();
        }
    });
    state_->loop.every(state_->options.timing.beat, [weak = std::weak_ptr(state_)] {
        if (const auto me = weak.lock()) {
            me->send_beat();
        }
    });
}

void agent_node::executor_reported(const executor_info& info) {
    const bool is_other =
        !state_->core.executor() || state_->core.executor()->lifetime < info.lifetime;
    if (is_other) {
        state_->has_clock = false;
        log_event(log_level::info, "executor_reported",
                  {{"executor", info.id.value()}, {"lifetime", info.lifetime.value()}});
    }
    if (state_->core.executor_reported(info)) {
        state_->send({{"t", "executor"}, {"executor", messages::encode(*state_->core.executor())}});
    }
}

void agent_node::executor_deregistered(const executor_id& id) {
    if (state_->core.executor() && state_->core.executor()->id == id) {
        log_event(log_level::info, "executor_left", {{"executor", id.value()}});
        state_->refusals = refusals_of_dead - 1;
    }
}

void agent_node::leave(std::function<void()> done) {
    state_->is_leaving = true;
    state_->loop.after(leave_limit, std::move(done));
}

}  // namespace tanagerpaddle::dispatch
