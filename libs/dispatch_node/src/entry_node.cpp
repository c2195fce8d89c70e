#include <algorithm>

#include "admission_control.hpp"
#include "owner_session.hpp"
#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// Least timeout of the first attempt to store a job. An attempt without an answer is repeated,
// which is safe since the transaction requires that the row does not exist.
constexpr milliseconds first_submit_timeout{700};
// Timeouts for a slow store, as a multiple of the latency of its newest answer.
constexpr int store_timeout_factor = 3;
// The store counts as unreachable if it has answered nothing for this long, three reads of the
// owner row; submissions are then refused at once.
constexpr milliseconds max_store_silence{1'200};
// Delay before the one retry of a rejected submission: the store may reject a single call only.
// After a second rejection the caller is answered while it can still try another entry.
constexpr milliseconds submit_retry_delay{30};
// Part of the caller's timeout that is reserved for sending the response.
constexpr milliseconds response_reserve{150};
// Time that the owner has to answer a query before the store is read instead.
constexpr milliseconds owner_query_timeout{250};
constexpr milliseconds connect_timeout{400};
constexpr milliseconds owner_link_check_interval{200};
// Half of forecast_sender::send_interval, and far below max_store_silence.
constexpr milliseconds forecast_check_interval{250};

}  // namespace

struct entry_node::state : std::enable_shared_from_this<entry_node::state> {
    // What the owner knows; both are unset if it does not know the job or queue.
    struct owner_answer {
        std::optional<job_phase> phase;
        std::optional<std::size_t> count;
    };
    using answer_handler = std::function<void(const owner_answer*)>;

    state(eventio::event_loop& io_loop, const clock& node_clock, row_store& table_store,
          policy_service* policy_client, entry_options node_options)
        : loop(io_loop),
          time(node_clock),
          store(table_store),
          policies(policy_client),
          options(std::move(node_options)),
          owner(io_loop, node_clock, table_store, options, handlers()),
          admission(options.scheduling.refuses_overload, max_store_silence) {}

    ownership::events handlers() {
        return {[this](const ownership::gain& gained) { begin_session(gained); },
                [this] { lost(); }};
    }

    // --- ownership
    void begin_session(const ownership::gain& gained) {
        close_owner_link();
        owner_session::environment environment;
        environment.loop = &loop;
        environment.time = &time;
        environment.store = &store;
        environment.policies = policies;
        environment.owner = &owner;
        environment.timing = options.timing;
        environment.early_cancellation_lifetime = options.early_cancellation_lifetime;
        environment.scheduling = options.scheduling;
        session = std::make_shared<owner_session>(
            environment, gained.epoch, ownership::unclaimed_runs_end_by(gained, options.timing));
        session->set_queues(queues);
        session->set_evacuated(evacuated);
        session->begin();
    }

    void lost() {
        if (session) {
            session->close();
            session.reset();
            admission.drop_forecast();
        }
    }

    // --- queries to the owner
    void check_owner_link() {
        const auto& record = owner.current();
        const bool has_owner = record && !owner.is_owner() && !record->is_released;
        if (!has_owner || (owner_link && owner_address != record->address)) {
            close_owner_link();
        }
        if (has_owner && !owner_link && !is_connecting) {
            connect_to_owner(record->address);
        }
    }

    void connect_to_owner(const std::string& address) {
        std::optional<eventio::endpoint> endpoint;
        try {
            endpoint = eventio::parse_endpoint(address);
        } catch (const error& failure) {
            // Another process wrote the row; queries are answered from the store meanwhile.
            log_event(log_level::error, "owner_address_unreadable",
                      {{"address", address}, {"message", failure.what()}});
            return;
        }
        is_connecting = true;
        eventio::connect_link(
            loop, *endpoint, connect_timeout,
            [self = shared_from_this(), address](std::shared_ptr<eventio::message_link> link) {
                return self->on_owner_connected(address, std::move(link));
            });
    }

    eventio::link_handlers on_owner_connected(const std::string& address,
                                              std::shared_ptr<eventio::message_link> link) {
        is_connecting = false;
        if (!link) {
            return {};
        }
        owner_link = std::move(link);
        owner_address = address;
        owner_link->send(messages::dump(
            {{"t", "hello"}, {"processors", options.processors.value()}, {"forecasts", true}}));
        return {[weak = weak_from_this()](const std::string& text) {
                    if (const auto self = weak.lock()) {
                        self->on_owner_answer(text);
                    }
                },
                [weak = weak_from_this()] {
                    if (const auto self = weak.lock()) {
                        self->owner_link.reset();
                        self->admission.drop_forecast();
                        self->fail_queries();
                        self->owner.suspect_owner();
                    }
                }};
    }

    void close_owner_link() {
        if (owner_link) {
            owner_link->close();
            owner_link.reset();
            admission.drop_forecast();
        }
        fail_queries();
    }

    void fail_queries() {
        const auto unanswered = std::move(pending_queries);
        pending_queries.clear();
        for (const auto& [number, handler] : unanswered) {
            handler(nullptr);
        }
    }

    // `done` gets the owner's answer, or nullptr if there is none within owner_query_timeout or
    // by `until`.
    void query_owner(json query, deadline until, answer_handler done) {
        const auto timeout = std::min(owner_query_timeout, until.remaining(time.now()));
        if (!owner_link || timeout.count() == 0) {
            done(nullptr);
            return;
        }
        const auto number = ++last_query;
        query["id"] = number;
        pending_queries[number] = std::move(done);
        owner_link->send(messages::dump(query));
        loop.after(timeout, [weak = weak_from_this(), number, timeout] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            const auto found = self->pending_queries.find(number);
            if (found == self->pending_queries.end()) {
                return;
            }
            if (timeout == owner_query_timeout) {
                // The connection may be broken.
                self->close_owner_link();
                return;
            }
            const auto handler = std::move(found->second);
            self->pending_queries.erase(found);
            handler(nullptr);
        });
    }

    void on_owner_answer(const std::string& text) {
        owner_answer answer;
        std::uint64_t number = 0;
        try {
            const auto message = json_input::parse(text);
            if (message.value("t", "") == "forecast") {
                admission.set_forecast(messages::decode_forecast(message), time.now());
                return;
            }
            number = json_input::whole_number<std::uint64_t>(message.at("id"));
            answer = decode_owner_answer(message);
        } catch (const std::exception& failure) {
            // A query that it answers expires, and the store is read instead; an earlier forecast
            // holds until it is too old.
            log_event(log_level::error, "message_unreadable", {{"message", failure.what()}});
            return;
        }
        const auto found = pending_queries.find(number);
        if (found == pending_queries.end()) {
            return;
        }
        const auto handler = std::move(found->second);
        pending_queries.erase(found);
        handler(&answer);
    }

    static owner_answer decode_owner_answer(const json& message) {
        owner_answer answer;
        if (!message.at("known").get<bool>()) {
            return answer;
        }
        if (message.contains("phase")) {
            answer.phase = messages::decode_phase(message.at("phase"));
        }
        if (message.contains("count")) {
            answer.count = json_input::whole_number<std::size_t>(message.at("count"));
        }
        return answer;
    }

    // --- queries from other entries
    eventio::link_handlers accepted(const std::shared_ptr<eventio::message_link>& link) {
        connected_entries[link] = {};
        std::weak_ptr weak_link = link;
        return {[weak = weak_from_this(), weak_link](const std::string& text) {
                    const auto self = weak.lock();
                    const auto from = weak_link.lock();
                    if (self && from) {
                        self->receive(from, text);
                    }
                },
                [weak = weak_from_this(), weak_link] {
                    const auto self = weak.lock();
                    const auto closed = weak_link.lock();
                    if (self) {
                        self->connected_entries.erase(closed);
                        self->update_max_peer_processors();
                    }
                }};
    }

    void receive(const std::shared_ptr<eventio::message_link>& from, const std::string& text) {
        try {
            const auto message = json_input::parse(text);
            if (message.at("t").get<std::string>() == "hello") {
                connected_entries[from] = {json_input::amount<millicores>(message.at("processors")),
                                           message.value("forecasts", false)};
                update_max_peer_processors();
                return;
            }
            from->send(messages::dump(answer_query(message)));
        } catch (const json::exception& failure) {
            log_event(log_level::error, "message_unreadable", {{"message", failure.what()}});
        } catch (const error& failure) {
            log_event(log_level::error, "message_unreadable", {{"message", failure.what()}});
        }
    }

    void update_max_peer_processors() {
        millicores most;
        for (const auto& [link, entry] : connected_entries) {
            most = std::max(most, entry.processors);
        }
        owner.set_max_peer_processors(most);
    }

    json answer_query(const json& query) {
        json out{{"known", false}};
        out["id"] =
            query.contains("id") ? json_input::whole_number<std::uint64_t>(query.at("id")) : 0;
        if (!session || !session->is_loaded()) {
            return out;
        }
        const std::string kind = query.value("t", "");
        if (kind == "status") {
            const auto found = session->jobs().status(job_id(query.value("job", "")));
            if (found) {
                out["known"] = true;
                out["phase"] = static_cast<int>(found->phase);
            }
        } else if (kind == "queued" && session->is_job_list_current()) {
            out["known"] = true;
            out["count"] = session->jobs().queued_jobs(queue_id(query.value("queue", "")));
        }
        return out;
    }

    // --- admission
    void share_forecast() {
        const instant now = time.now();
        admission.observe_store(store_answered_at());
        if (!session || !session->is_job_list_current() || !sender.is_due(now)) {
            return;
        }
        auto forecast = session->make_forecast();
        auto shared = forecast;
        if (!options.scheduling.refuses_overload) {
            // Only that decision needs the delays of the queues, which change all the time.
            shared.queues.clear();
        }
        if (sender.should_send(shared, now)) {
            const auto text = messages::dump(messages::encode(shared));
            // A copy: a link that is closed leaves the map.
            const auto entries = connected_entries;
            for (const auto& [link, entry] : entries) {
                if (entry.takes_forecasts) {
                    link->send(text);
                }
            }
        }
        admission.set_forecast(std::move(forecast), now);
    }

    using admission_handler = std::function<void(const std::optional<refusal>&)>;

    void admit(const submitted_job& job, deadline until, const admission_handler& done) {
        const instant now = time.now();
        const auto refused = admission.decide(job, now);
        if (!refused) {
            done(std::nullopt);
            return;
        }
        // An earlier submission may have stored the job without its caller having learned it.
        if (session) {
            const bool is_known = !session->is_job_list_current() || session->jobs().status(job.id);
            finish_admission(job, is_known ? std::nullopt : refused, done);
            return;
        }
        query_owner({{"t", "status"}, {"job", job.id.value()}}, until,
                    [self = shared_from_this(), job, refused, done](const owner_answer* answer) {
                        const bool is_known = answer == nullptr || answer->phase;
                        self->finish_admission(job, is_known ? std::nullopt : refused, done);
                    });
    }

    void finish_admission(const submitted_job& job, const std::optional<refusal>& refused,
                          const admission_handler& done) const {
        if (refused) {
            admission.report(job, *refused, time.now());
        }
        done(refused);
    }

    [[nodiscard]] std::chrono::seconds retry_after(const job_id& job) const {
        return admission.store_retry_after(job, store_answered_at(), time.now());
    }

    // --- submissions
    struct submit_call {
        submitted_job job;
        deadline until;
        std::function<void(submit_outcome)> done;
        // An earlier attempt may have stored the job.
        bool may_be_stored = false;
        bool was_rejected = false;
    };

    void submit(const std::shared_ptr<submit_call>& call) {
        const auto left = call->until.remaining(time.now());
        if (left.count() == 0) {
            call->done(call->may_be_stored ? submit_outcome::unknown : submit_outcome::refused);
            return;
        }
        if (!is_store_reachable(max_store_silence)) {
            // The caller is answered at once, so that it can try another entry.
            call->done(call->may_be_stored ? submit_outcome::unknown : submit_outcome::refused);
            return;
        }
        row_transaction transaction;
        transaction.part = part_of(call->job.id);
        transaction.conditions.push_back({job_table, call->job.id.value(), row_version(0)});
        transaction.puts.push_back({job_table, call->job.id.value(), encode_job(call->job)});
        const auto timeout = call->may_be_stored ? left : attempt_timeout(call->until);
        store.transact(transaction, timeout,
                       [self = shared_from_this(), call](const transaction_result& result) {
                           self->on_stored(call, result);
                       });
    }

    [[nodiscard]] bool is_store_reachable(milliseconds max_age) const {
        const auto longest = std::max(max_age, owner.store_latency() * store_timeout_factor);
        return time.now() - store_answered_at() <= longest;
    }

    [[nodiscard]] instant store_answered_at() const {
        return std::max(owner.answered_at(), submit_answered_at);
    }

    void on_stored(const std::shared_ptr<submit_call>& call, const transaction_result& result) {
        switch (result.outcome) {
            case store_outcome::done:
            case store_outcome::conflict:
                submit_answered_at = time.now();
                call->done(submit_outcome::accepted);
                return;
            case store_outcome::unknown:
                call->may_be_stored = true;
                submit(call);
                return;
            case store_outcome::rejected:
            case store_outcome::history_expired:
                break;
        }
        if (call->was_rejected && !call->may_be_stored) {
            call->done(submit_outcome::refused);
            return;
        }
        call->was_rejected = true;
        loop.after(submit_retry_delay, [self = shared_from_this(), call] { self->submit(call); });
    }

    // --- lookups
    using status_handler = std::function<void(lookup, job_phase)>;

    void status(const job_id& job, deadline until, const status_handler& done) {
        if (session && session->is_loaded()) {
            if (const auto found = session->jobs().status(job)) {
                done(lookup::found, found->phase);
                return;
            }
            status_from_store(job, until, done);
            return;
        }
        query_owner({{"t", "status"}, {"job", job.value()}}, until,
                    [self = shared_from_this(), job, until, done](const owner_answer* answer) {
                        if (answer != nullptr && answer->phase) {
                            done(lookup::found, *answer->phase);
                            return;
                        }
                        self->status_from_store(job, until, done);
                    });
    }

    struct job_rows {
        store_outcome outcome = store_outcome::unknown;
        bool is_stored = false;
        // 0: there is no cancellation.
        row_version cancellation;

        [[nodiscard]] bool is_cancelled() const { return cancellation != row_version(0); }
    };

    // Reads the rows of the job: the submitted job, and its cancellation if there is one. The range
    // may hold rows of other jobs whose identifiers begin with this one.
    void read_job(const job_id& job, deadline until, std::function<void(const job_rows&)> done) {
        // '0' sorts directly after '/', the first character of cancel_suffix.
        store.read(job_table, part_of(job), job.value(), job.value() + "0",
                   until.remaining(time.now()),
                   [job, done = std::move(done)](const read_result& result) {
                       job_rows rows;
                       rows.outcome = result.outcome;
                       for (const auto& row : result.rows) {
                           const auto& key = row.address.key;
                           rows.is_stored = rows.is_stored || key == job.value();
                           if (key == job.value() + cancel_suffix) {
                               rows.cancellation = row.version;
                           }
                       }
                       done(rows);
                   });
    }

    void status_from_store(const job_id& job, deadline until, const status_handler& done) {
        read_job(job, until, [self = shared_from_this(), job, until, done](const job_rows& found) {
            if (found.outcome != store_outcome::done) {
                done(lookup::unavailable, job_phase::pending);
            } else if (!found.is_stored) {
                done(lookup::missing, job_phase::pending);
            } else {
                self->progress_from_store(job, until, found.is_cancelled(), done);
            }
        });
    }

    void progress_from_store(const job_id& job, deadline until, bool is_cancelled,
                             const status_handler& done) {
        store.read(
            progress_table, owner_part, job.value(), job.value() + key_successor_suffix,
            until.remaining(time.now()), [is_cancelled, job, done](const read_result& result) {
                if (result.outcome != store_outcome::done) {
                    done(lookup::unavailable, job_phase::pending);
                    return;
                }
                auto phase = job_phase::pending;
                if (!result.rows.empty()) {
                    const auto stored = decode_job_phase(result.rows.front().value);
                    if (!stored) {
                        log_event(log_level::error, "progress_row_unreadable",
                                  {{"job", job.value()}});
                    }
                    phase = stored.value_or(job_phase::running);
                }
                const bool is_open = phase == job_phase::pending || phase == job_phase::running;
                done(lookup::found, is_open && is_cancelled ? job_phase::cancelled : phase);
            });
    }

    // --- cancellations
    struct cancel_call {
        job_id job;
        deadline until;
        std::function<void(lookup)> done;
        // The answer once the cancellation is durable: whether the job was stored by then.
        lookup found = lookup::missing;
        // The job's earlier cancellation when the first attempt was made.
        row_version earlier;
        // An earlier attempt may have stored the cancellation.
        bool may_be_stored = false;
        bool was_rejected = false;

        void fail() const { done(may_be_stored ? lookup::unknown : lookup::unavailable); }
    };

    // The time for one attempt. An attempt without an answer is repeated, on another connection.
    [[nodiscard]] milliseconds attempt_timeout(deadline until) const {
        const auto bound =
            std::max(first_submit_timeout, owner.store_latency() * store_timeout_factor);
        return std::min(until.remaining(time.now()), bound);
    }

    // The cancellation of an unknown job is stored as well: a submission may still be on its way.
    void cancel(const std::shared_ptr<cancel_call>& call) {
        const auto timeout = attempt_timeout(call->until);
        if (timeout.count() == 0) {
            call->fail();
            return;
        }
        read_job(call->job, deadline::after(time.now(), timeout),
                 [self = shared_from_this(), call](const job_rows& found) {
                     if (found.outcome == store_outcome::unknown) {
                         self->cancel(call);
                     } else if (found.outcome != store_outcome::done) {
                         self->retry_cancel(call);
                     } else {
                         self->on_rows_read(call, found);
                     }
                 });
    }

    // While the job is not stored, an earlier cancellation may be removed soon: it is written
    // again.
    void on_rows_read(const std::shared_ptr<cancel_call>& call, const job_rows& found) {
        call->found = found.is_stored ? lookup::found : lookup::missing;
        const bool is_new = call->may_be_stored && found.cancellation != call->earlier;
        if (found.is_cancelled() && (found.is_stored || is_new)) {
            call->done(call->found);
            return;
        }
        if (!call->may_be_stored) {
            call->earlier = found.cancellation;
        }
        write_cancellation(call);
    }

    void write_cancellation(const std::shared_ptr<cancel_call>& call) {
        const auto timeout = attempt_timeout(call->until);
        if (timeout.count() == 0) {
            call->fail();
            return;
        }
        row_transaction transaction;
        transaction.part = part_of(call->job);
        transaction.puts.push_back({job_table, call->job.value() + cancel_suffix, "{}"});
        store.transact(transaction, timeout,
                       [self = shared_from_this(), call](const transaction_result& result) {
                           if (result.outcome == store_outcome::done) {
                               call->done(call->found);
                           } else if (result.outcome == store_outcome::unknown) {
                               call->may_be_stored = true;
                               self->cancel(call);
                           } else {
                               self->retry_cancel(call);
                           }
                       });
    }

    // After a second rejection the caller is answered while it can still try another entry.
    void retry_cancel(const std::shared_ptr<cancel_call>& call) {
        if (call->was_rejected) {
            call->fail();
            return;
        }
        call->was_rejected = true;
        loop.after(submit_retry_delay, [self = shared_from_this(), call] { self->cancel(call); });
    }

    eventio::event_loop& loop;
    const clock& time;
    row_store& store;
    policy_service* policies;
    entry_options options;
    ownership owner;
    std::shared_ptr<owner_session> session;
    std::unique_ptr<eventio::message_server> server;
    std::map<queue_id, queue_rules> queues;
    std::set<failure_domain_id> evacuated;
    std::shared_ptr<eventio::message_link> owner_link;
    std::string owner_address;
    bool is_connecting = false;
    std::uint64_t last_query = 0;
    std::map<std::uint64_t, answer_handler> pending_queries;
    struct connected_entry {
        millicores processors;
        // Entries of earlier builds would log each forecast as unreadable.
        bool takes_forecasts = false;
    };
    std::map<std::shared_ptr<eventio::message_link>, connected_entry> connected_entries;
    admission_control admission;
    forecast_sender sender;
    instant submit_answered_at;
};

entry_node::entry_node(eventio::event_loop& loop, const clock& time, row_store& store,
                       policy_service* policies, entry_options options)
    : state_(std::make_shared<state>(loop, time, store, policies, std::move(options))) {}

entry_node::~entry_node() {
    state_->lost();
}

void entry_node::start() {
    state_->server = std::make_unique<eventio::message_server>(
        state_->loop, state_->options.messages,
        [weak = std::weak_ptr(state_)](const std::shared_ptr<eventio::message_link>& link) {
            const auto self = weak.lock();
            return self ? self->accepted(link) : eventio::link_handlers{};
        });
    state_->owner.start();
    state_->loop.every(owner_link_check_interval, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
            self->check_owner_link();
        }
    });
    state_->loop.every(forecast_check_interval, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
            self->share_forecast();
        }
    });
}

void entry_node::set_queues(const std::map<queue_id, queue_rules>& queues) {
    state_->queues = queues;
    if (state_->session) {
        state_->session->set_queues(queues);
    }
}

void entry_node::set_evacuated(const std::set<failure_domain_id>& domains) {
    state_->evacuated = domains;
    if (state_->session) {
        state_->session->set_evacuated(domains);
    }
}

void entry_node::submit(const submitted_job& job, deadline until,
                        std::function<void(submit_outcome)> done) {
    auto call = std::make_shared<state::submit_call>();
    call->job = job;
    call->until = deadline(until.when() - response_reserve);
    call->done = [self = state_, job, done = std::move(done)](submit_outcome outcome) {
        if (outcome == submit_outcome::refused) {
            self->admission.report(job, {refusal_reason::store, self->retry_after(job.id)},
                                   self->time.now());
        }
        done(outcome);
    };
    state_->submit(call);
}

void entry_node::admit(const submitted_job& job, deadline until,
                       const std::function<void(const std::optional<refusal>&)>& done) {
    state_->admit(job, deadline(until.when() - response_reserve), done);
}

std::chrono::seconds entry_node::store_retry_after(const job_id& job) const {
    return state_->retry_after(job);
}

void entry_node::status(const job_id& job, deadline until,
                        const std::function<void(lookup, job_phase)>& done) {
    state_->status(job, until, done);
}

void entry_node::cancel(const job_id& job, deadline until,
                        const std::function<void(lookup)>& done) {
    auto call = std::make_shared<state::cancel_call>();
    call->job = job;
    call->until = deadline(until.when() - response_reserve);
    call->done = done;
    state_->cancel(call);
}

void entry_node::queued_jobs(const queue_id& queue, deadline until,
                             const std::function<void(std::optional<std::size_t>)>& done) {
    if (state_->session) {
        done(state_->session->is_job_list_current()
                 ? std::optional(state_->session->jobs().queued_jobs(queue))
                 : std::nullopt);
        return;
    }
    state_->query_owner({{"t", "queued"}, {"queue", queue.value()}}, until,
                        [done](const state::owner_answer* answer) {
                            done(answer != nullptr ? answer->count : std::nullopt);
                        });
}

void entry_node::leave() {
    state_->owner.leave();
}
bool entry_node::is_owner() const {
    return state_->owner.is_owner();
}

bool entry_node::is_store_reachable(milliseconds max_age) const {
    return state_->is_store_reachable(max_age);
}

coordinator::counts entry_node::count() const {
    // Until all rows are restored, tasks that run are counted as waiting.
    const bool is_known = state_->session && state_->session->is_loaded();
    return is_known ? state_->session->jobs().count() : coordinator::counts{};
}

coordinator::kept_state entry_node::kept() const {
    return state_->session ? state_->session->jobs().kept() : coordinator::kept_state{};
}

std::map<queue_id, std::int64_t> entry_node::queue_shares() const {
    return state_->session ? state_->session->jobs().queue_shares()
                           : std::map<queue_id, std::int64_t>{};
}

}  // namespace tanagerpaddle::dispatch
