#include <algorithm>

#include "messages.hpp"
#include "owner_session.hpp"
#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// Time for which the executor may delay its answer to a sync: the measurements that pacing needs
// are due every half second.
constexpr milliseconds max_sync_wait{500};
// Delay before the next sync after one that failed, or that returned within min_sync_duration
// without a new completion.
constexpr milliseconds sync_retry_delay{50};
constexpr milliseconds min_sync_duration{20};
constexpr milliseconds tick_interval{100};
constexpr milliseconds registration_timeout{1'000};
constexpr milliseconds registration_retry_delay{250};
// Consecutive refused connections after which the executor counts as unreachable.
constexpr int max_refused_connections = 3;
// Time within which a coordinator answers a request for another claim.
constexpr milliseconds max_claim_wait{1'000};
// Time from leave() to its `done`, in which pending orders may still be answered.
constexpr milliseconds leave_delay{500};

}  // namespace

struct agent_node::state : agent_orders, std::enable_shared_from_this<agent_node::state> {
    // Checkpoint and percentage of each run.
    using run_progress = std::map<std::pair<task_key, run_number>, std::pair<std::string, int>>;

    state(eventio::event_loop& io_loop, const clock& node_clock, row_store& table_store,
          executor_control& executor_client, agent_options node_options)
        : loop(io_loop),
          time(node_clock),
          store(table_store),
          executor(executor_client),
          options(std::move(node_options)),
          core(node_clock, *this, options.timing) {}

    // --- registration
    void register_self() {
        row_transaction transaction;
        transaction.puts.push_back({agent_table, options.name, to_string(options.messages)});
        transaction.removals.push_back({agent_table, options.name + ended_suffix});
        store.transact(transaction, registration_timeout,
                       [self = shared_from_this()](const transaction_result& result) {
                           if (result.outcome == store_outcome::done) {
                               log_event(log_level::info, "agent_registered", {});
                               return;
                           }
                           self->loop.after(registration_retry_delay,
                                            [self] { self->register_self(); });
                       });
    }

    // For an owner that cannot claim this agent any more.
    void record_executor_end() {
        const auto found = core.current_inventory();
        if (!found.is_vacant || !found.ended) {
            return;
        }
        row_transaction transaction;
        transaction.puts.push_back({agent_table, options.name + ended_suffix,
                                    messages::dump(messages::encode(*found.ended))});
        store.transact(transaction, registration_timeout,
                       [lifetime = found.ended->incarnation](const transaction_result& result) {
                           log_event(log_level::info, "executor_end_recorded",
                                     {{"lifetime", lifetime.value()},
                                      {"outcome", static_cast<int>(result.outcome)}});
                       });
    }

    // --- coordinator
    eventio::link_handlers accepted(const std::shared_ptr<eventio::message_link>& from_peer) {
        std::weak_ptr weak_link = from_peer;
        pending.push_back(from_peer);
        return {[weak = weak_from_this(), weak_link](const std::string& text) {
                    const auto self = weak.lock();
                    const auto from = weak_link.lock();
                    if (self && from) {
                        self->receive(from, text);
                    }
                },
                [weak = weak_from_this(), weak_link] {
                    const auto self = weak.lock();
                    const auto from = weak_link.lock();
                    if (self && from) {
                        std::erase(self->pending, from);
                        if (self->link == from) {
                            self->link.reset();
                            log_event(log_level::warning, "coordinator_lost",
                                      {{"epoch", self->core.epoch().value()}});
                        }
                    }
                }};
    }

    void receive(const std::shared_ptr<eventio::message_link>& from, const std::string& text) {
        try {
            handle(from, json_input::parse(text));
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
            claim(from, messages::decode_claim_epoch(message.at("epoch")));
            return;
        }
        if (from != link) {
            return;  // from a coordinator that another one has replaced
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
                      messages::decode_run(message.at("run")), core.epoch());
        } else if (kind == "ack") {
            core.acknowledge(messages::decode_incarnation(message.at("life")),
                             messages::decode_completion(message.at("number")));
        } else if (kind == "grant") {
            const auto sent_at = messages::decode_instant(message.at("at"));
            if (sent_at > time.now()) {
                throw error(result_code::malformed_request,
                            "grant of a heartbeat that has not been sent");
            }
            core.lease_granted(sent_at + options.timing.lease_duration);
        } else if (kind == "describe") {
            core.set_traits(messages::decode_task(message.at("task")),
                            messages::decode_traits(message.at("traits")));
        } else if (kind == "pressures") {
            for (const auto& [serving, fillers] : messages::decode_pressures(message.at("pairs"))) {
                for (const auto& [filler, pressure] : fillers) {
                    core.set_pressure(serving, filler, pressure);
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
            // The peer closes the connection; its messages are ignored until then.
            pending.push_back(link);
        }
        std::erase(pending, from);
        link = from;
        claim_requested_for.reset();
        log_event(log_level::info, "coordinator_gained", {{"epoch", epoch.value()}});
        link->send(messages::dump(messages::encode(core.current_inventory(), time.now())));
        send_heartbeat();
        // Syncs with the new epoch: runs that the answer does not list can no longer start.
        ++sync_sequence;
        has_executor_clock = false;
        sync();
    }

    void send(const json& message) {
        if (link) {
            link->send(messages::dump(message));
        }
    }

    void send_heartbeat() {
        json running = json::array();
        run_progress current_progress;
        for (const auto& run : core.current_inventory().running) {
            const auto progress = std::pair(run.checkpoint, run.percent);
            const auto key = std::pair(run.task, run.run);
            const auto reported = reported_progress.find(key);
            if (reported == reported_progress.end() || reported->second != progress) {
                running.push_back(messages::encode(run));
            }
            current_progress[key] = progress;
        }
        reported_progress = std::move(current_progress);
        send({{"t", "beat"},
              {"at", time.now().time_since_epoch().count()},
              {"views", core.complete_view_count()},
              {"sample", messages::encode(core.sample())},
              {"running", std::move(running)}});
    }

    // --- executor
    [[nodiscard]] std::int64_t lease_until() const {
        const auto left = std::chrono::duration_cast<milliseconds>(core.lease_expires_at() -
                                                                   executor_clock_read_at);
        return executor_clock_ms + left.count();
    }

    void sync() {
        const instant request_sent_at = time.now();
        std::optional<std::int64_t> until;
        if (has_executor_clock && request_sent_at < core.lease_expires_at()) {
            until = lease_until();
        }
        // The first sync must return at once: the coordinator waits for the inventory.
        const auto wait = has_executor_clock ? max_sync_wait : milliseconds(0);
        // Without its clock it may be another executor, whose completions have other numbers.
        const auto acknowledged = has_executor_clock ? core.acknowledged() : completion_number(0);
        executor.sync(core.epoch(), acknowledged, until, wait,
                      [self = shared_from_this(), request_sent_at, sequence = sync_sequence,
                       epoch = core.epoch()](const sync_result& result) {
                          if (sequence == self->sync_sequence) {
                              self->on_synced(request_sent_at, epoch, result);
                          }
                      });
    }

    void log_other_life(const executor_view& view) const {
        if (core.executor() && core.executor()->incarnation != view.incarnation) {
            log_event(log_level::warning, "lists_of_another_lifetime",
                      {{"executor", core.executor()->id.value()},
                       {"known_lifetime", core.executor()->incarnation.value()},
                       {"listed_lifetime", view.incarnation.value()},
                       {"last_answer_ago_ms",
                        std::chrono::duration_cast<milliseconds>(time.now() - answered_at)},
                       {"running", view.running.size()},
                       {"finished", view.finished.size()}});
        }
    }

    void log_completeness(const executor_view& view) {
        listed_running = view.running.size();
        listed_finished = view.finished.size();
        if (std::exchange(has_complete_lists, view.is_complete) != view.is_complete) {
            log_event(view.is_complete ? log_level::info : log_level::warning,
                      view.is_complete ? "lists_complete" : "lists_incomplete",
                      {{"running", listed_running},
                       {"finished", listed_finished},
                       {"acknowledged", core.acknowledged().value()}});
        }
    }

    // Asks the coordinator for a later epoch, which the listed executor alone is called under.
    void request_claim(executor_incarnation incarnation) {
        if (!link || claim_requested_for == incarnation) {
            return;
        }
        claim_requested_for = incarnation;
        log_event(log_level::info, "claim_requested",
                  {{"lifetime", incarnation.value()}, {"epoch", core.epoch().value()}});
        send({{"t", "reclaim"}});
        loop.after(max_claim_wait, [weak = weak_from_this(), incarnation] {
            const auto self = weak.lock();
            if (self && self->core.needs_claim() && self->claim_requested_for == incarnation) {
                self->reconnect();
            }
        });
    }

    // A coordinator that does not know the request claims the agent again on a new connection.
    void reconnect() {
        claim_requested_for.reset();
        if (link) {
            log_event(log_level::warning, "claim_not_answered", {{"epoch", core.epoch().value()}});
            std::exchange(link, nullptr)->close();
        }
    }

    void on_synced(instant request_sent_at, epoch_number epoch, const sync_result& result) {
        const instant now = time.now();
        bool needs_delay = true;
        if (result.is_unanswered || result.is_connection_refused) {
            has_executor_clock = false;
            core.connection_lost();
        }
        if (result.is_answered) {
            refused_connections = 0;
            executor_clock_ms = result.executor_clock_ms;
            executor_clock_read_at = now;
            has_executor_clock = true;
            auto view = result.view;
            view.requested_at = request_sent_at;
            view.epoch = epoch;
            has_new_completions = false;
            log_completeness(view);
            log_other_life(view);
            answered_at = now;
            try {
                if (core.executor_view_received(view)) {
                    send(messages::encode(core.current_inventory(), time.now()));
                    // The coordinator may order starts from now on, and the agent refuses them
                    // until the answer to a heartbeat grants it a lease.
                    send_heartbeat();
                }
            } catch (const invariant_violation&) {
                throw;
            } catch (const std::exception& failure) {
                // The next sync reads the lists again; without it the lease would expire.
                log_event(log_level::error, "view_unusable", {{"message", failure.what()}});
            }
            if (core.needs_claim()) {
                request_claim(view.incarnation);
            }
            needs_delay = now - request_sent_at < min_sync_duration && !has_new_completions;
        } else if (result.is_connection_refused &&
                   ++refused_connections >= max_refused_connections && !core.has_open_starts()) {
            if (core.executor()) {
                log_event(log_level::warning, "executor_unreachable",
                          {{"executor", core.executor()->id.value()},
                           {"lifetime", core.executor()->incarnation.value()},
                           {"has_coordinator", link != nullptr}});
            }
            if (core.executor_unreachable()) {
                send(messages::encode(core.current_inventory(), time.now()));
                if (is_leaving) {
                    record_executor_end();
                }
            }
        }
        if (needs_delay) {
            loop.after(sync_retry_delay, [self = shared_from_this(), sequence = sync_sequence] {
                if (sequence == self->sync_sequence) {
                    self->sync();
                }
            });
        } else {
            sync();
        }
    }

    // --- agent_orders
    void call_start(const start_order& order, epoch_number epoch) override {
        if (!core.executor()) {
            return;
        }
        if (const auto attempt = core.start_attempts(order.task, order.run); attempt > 1) {
            log_event(log_level::info, "start_repeated",
                      {{"task", to_string(order.task)},
                       {"run", order.run.value()},
                       {"attempt", attempt},
                       {"last_answer_ago_ms",
                        std::chrono::duration_cast<milliseconds>(time.now() - answered_at)}});
        }
        executor.start(
            order, core.executor()->id, epoch, lease_until(),
            [self = shared_from_this(), task = order.task, run = order.run](start_answer answer) {
                if (answer != start_answer::started) {
                    log_event(log_level::info, "start_answered",
                              {{"task", to_string(task)},
                               {"run", run.value()},
                               {"answer", static_cast<int>(answer)}});
                }
                self->core.start_answered(task, run, answer);
            });
    }

    void call_stop(const task_key& task, run_number run, epoch_number epoch) override {
        executor.stop(task, run, epoch, [self = shared_from_this(), task, run](bool is_confirmed) {
            self->core.stop_answered(task, run, is_confirmed);
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
        log_event(log_level::info, "run_absent",
                  {{"task", to_string(task)},
                   {"run", run.value()},
                   {"listed_running", listed_running},
                   {"listed_finished", listed_finished}});
        send({{"t", "stopped"}, {"task", messages::encode(task)}, {"run", run.value()}});
    }

    void report_finished(executor_incarnation incarnation,
                         const std::vector<finished_task>& finished_runs) override {
        has_new_completions = true;
        json list = json::array();
        for (const auto& finished_run : finished_runs) {
            list.push_back(messages::encode(finished_run));
        }
        send({{"t", "ends"}, {"life", incarnation.value()}, {"ends", std::move(list)}});
    }

    void report_executor_terminated(executor_incarnation incarnation,
                                    const std::vector<run_age>& ages) override {
        json list = json::array();
        for (const auto& age : ages) {
            list.push_back(messages::encode(age));
        }
        send({{"t", "gone"}, {"life", incarnation.value()}, {"ages", std::move(list)}});
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
    // Progress in the newest heartbeat.
    run_progress reported_progress;
    std::int64_t executor_clock_ms = 0;
    instant executor_clock_read_at;
    // When a sync was last answered.
    instant answered_at;
    bool has_executor_clock = false;
    bool has_new_completions = false;
    // Number of runs in the latest lists.
    std::size_t listed_running = 0;
    std::size_t listed_finished = 0;
    bool has_complete_lists = true;
    // Each sync starts the next one; a new claim starts a new sequence and ends the earlier one.
    std::uint64_t sync_sequence = 0;
    // The incarnation for which another claim was requested.
    std::optional<executor_incarnation> claim_requested_for;
    bool is_leaving = false;
    int refused_connections = 0;
    // Of the latest report that was logged.
    executor_incarnation logged_incarnation;
};

agent_node::agent_node(eventio::event_loop& loop, const clock& time, row_store& store,
                       executor_control& executor, agent_options options)
    : state_(std::make_shared<state>(loop, time, store, executor, std::move(options))) {}

agent_node::~agent_node() = default;

void agent_node::start() {
    state_->server = std::make_unique<eventio::message_server>(
        state_->loop, state_->options.messages,
        [weak = std::weak_ptr(state_)](const std::shared_ptr<eventio::message_link>& from) {
            const auto self = weak.lock();
            return self ? self->accepted(from) : eventio::link_handlers{};
        });
    state_->register_self();
    state_->loop.every(tick_interval, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
            self->core.tick();
        }
    });
    state_->loop.every(state_->options.timing.heartbeat_interval, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
            self->send_heartbeat();
        }
    });
}

void agent_node::executor_reported(const executor_info& info) {
    if (state_->core.contradicts_lists(info)) {
        log_event(log_level::warning, "report_contradicts_lists",
                  {{"executor", info.id.value()},
                   {"lifetime", info.incarnation.value()},
                   {"service", info.service.value()}});
        return;
    }
    const auto& known = state_->core.executor();
    if ((!known || known->incarnation != info.incarnation) &&
        state_->logged_incarnation != info.incarnation) {
        state_->logged_incarnation = info.incarnation;
        log_event(log_level::info, "executor_reported",
                  {{"executor", info.id.value()},
                   {"lifetime", info.incarnation.value()},
                   {"service", info.service.value()}});
    }
    if (state_->core.executor_reported(info)) {
        state_->send({{"t", "executor"}, {"executor", messages::encode(*state_->core.executor())}});
    }
}

void agent_node::executor_deregistered(const executor_id& id) {
    if (state_->core.executor() && state_->core.executor()->id == id) {
        log_event(log_level::info, "executor_left", {{"executor", id.value()}});
        // One refused connection is then enough.
        state_->refused_connections = max_refused_connections - 1;
    }
}

void agent_node::leave(std::function<void()> done) {
    state_->is_leaving = true;
    state_->record_executor_end();
    state_->loop.after(leave_delay, std::move(done));
}

}  // namespace tanagerpaddle::dispatch
