#include <algorithm>

#include "owner_session.hpp"
#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using messages::json;

// First wait for the store's answer to a submission; a try without an answer is repeated, which is
// safe since the row must not exist yet.
constexpr milliseconds first_try{700};
// A slow store gets this many times the time of its newest answer.
constexpr int patience_factor = 3;
// A store that has answered nothing for this long, three reads of the owner's row, cannot be
// reached: hand-ins are refused at once.
constexpr milliseconds longest_silence{1'200};
// A store that turns a call away may do so for one call only; one repetition, then the caller hears
// of it while it can still go elsewhere.
constexpr milliseconds refusal_retry{30};
// Kept back from the caller's time for the answer's way.
constexpr milliseconds answer_reserve{150};
// Wait for the owner's answer to a question, before the store is asked.
constexpr milliseconds owner_answer_limit{250};
constexpr milliseconds connect_limit{400};
constexpr milliseconds peer_check_interval{200};

}  // namespace

struct entry_node::state : std::enable_shared_from_this<entry_node::state> {
    using answer_handler = std::function<void(const json*)>;

    state(eventio::event_loop& events, const clock& source, row_store& rows,
          policy_service* advisers, entry_options with)
        : loop(events),
          time(source),
          store(rows),
          policies(advisers),
          options(std::move(with)),
          owner(events, source, rows, options, handlers()) {}

    ownership::events handlers() {
        return {[this](epoch_number epoch, const std::optional<owner_record>& previous) {
                    gained(epoch, previous);
                },
                [this] { lost(); }};
    }

    // --- ownership
    void gained(epoch_number epoch, const std::optional<owner_record>& previous) {
        // An owner that has released its row, or that was a process of this machine, grants nothing
        // any more; another one may go on for a while without the store.
        const bool is_silent = !previous || previous->is_released || previous->name == options.name;
        const auto after = options.timing.certain_end() +
                           (is_silent ? milliseconds(0) : options.timing.grant_without_store);
        close_peer();
        owner_session::environment environment;
        environment.loop = &loop;
        environment.time = &time;
        environment.store = &store;
        environment.policies = policies;
        environment.owner = &owner;
        environment.timing = options.timing;
        session = std::make_shared<owner_session>(environment, epoch, time.now() + after);
        session->set_queues(queues);
        session->set_evacuated(evacuated);
        session->begin();
    }

    void lost() {
        if (session) {
            session->close();
            session.reset();
        }
    }

    // --- questions to the owner
    void check_peer() {
        const auto& record = owner.current();
        const bool has_owner = record && !owner.is_owner() && !record->is_released;
        if (!has_owner || (peer && peer_address != record->address)) {
            close_peer();
        }
        if (has_owner && !peer && !is_connecting) {
            connect_peer(record->address);
        }
    }

    void connect_peer(const std::string& address) {
        is_connecting = true;
        eventio::connect_link(
            loop, eventio::parse_endpoint(address), connect_limit,
            [me = shared_from_this(), address](std::shared_ptr<eventio::message_link> link) {
                return me->peer_connected(address, std::move(link));
            });
    }

    eventio::link_handlers peer_connected(const std::string& address,
                                          std::shared_ptr<eventio::message_link> link) {
        is_connecting = false;
        if (!link) {
            return {};
        }
        peer = std::move(link);
        peer_address = address;
        peer->send(messages::dump({{"t", "hello"}, {"processors", options.processors.value()}}));
        return {[weak = weak_from_this()](const std::string& text) {
                    if (const auto me = weak.lock()) {
                        me->peer_answered(text);
                    }
                },
                [weak = weak_from_this()] {
                    if (const auto me = weak.lock()) {
                        me->peer.reset();
                        me->fail_questions();
                        me->owner.suspect();
                    }
                }};
    }

    void close_peer() {
        if (peer) {
            peer->close();
            peer.reset();
        }
        fail_questions();
    }

    void fail_questions() {
        const auto open = std::move(questions);
        questions.clear();
        for (const auto& [number, handler] : open) {
            handler(nullptr);
        }
    }

    // `done` gets the owner's answer, or nullptr if there is none in time.
    void ask_owner(json question, answer_handler done) {
        if (!peer) {
            done(nullptr);
            return;
        }
        const auto number = ++last_question;
        question["id"] = number;
        questions[number] = std::move(done);
        peer->send(messages::dump(question));
        loop.after(owner_answer_limit, [weak = weak_from_this(), number] {
            const auto me = weak.lock();
            if (!me) {
                return;
            }
            const auto found = me->questions.find(number);
            if (found != me->questions.end()) {
                // The connection may have gone silent for good.
                me->close_peer();
            }
        });
    }

    void peer_answered(const std::string& text) {
        const auto answer = json::parse(text, nullptr, false);
        const auto number = answer.is_object() ? answer.value("id", std::uint64_t{0}) : 0;
        const auto found = questions.find(number);
        if (found == questions.end()) {
            return;
        }
        const auto handler = std::move(found->second);
        questions.erase(found);
        handler(&answer);
    }

    // --- questions from other entries
    eventio::link_handlers accepted(const std::shared_ptr<eventio::message_link>& link) {
        askers[link] = millicores(0);
        std::weak_ptr weak_link = link;
        return {[weak = weak_from_this(), weak_link](const std::string& text) {
                    const auto me = weak.lock();
                    const auto from = weak_link.lock();
                    if (me && from) {
                        me->receive(from, text);
                    }
                },
                [weak = weak_from_this(), weak_link] {
                    const auto me = weak.lock();
                    const auto closed = weak_link.lock();
                    if (me) {
                        me->askers.erase(closed);
                        me->note_peers();
                    }
                }};
    }

    void receive(const std::shared_ptr<eventio::message_link>& from, const std::string& text) {
        const auto message = json::parse(text, nullptr, false);
        if (!message.is_object()) {
            log_event(log_level::error, "message_unreadable", {{"message", "no object"}});
            return;
        }
        if (message.value("t", "") == "hello") {
            askers[from] = millicores(message.value("processors", std::int64_t{0}));
            note_peers();
            return;
        }
        from->send(messages::dump(answer(message)));
    }

    void note_peers() {
        millicores strongest;
        for (const auto& [link, processors] : askers) {
            strongest = std::max(strongest, processors);
        }
        owner.set_strongest_peer(strongest);
    }

    json answer(const json& question) {
        json out{{"known", false}};
        out["id"] = question.value("id", std::uint64_t{0});
        if (!session || !session->is_loaded()) {
            return out;
        }
        const std::string kind = question.value("t", "");
        if (kind == "status") {
            const auto found = session->jobs().status(job_id(question.value("job", "")));
            if (found) {
                out["known"] = true;
                out["phase"] = static_cast<int>(found->phase);
            }
        } else if (kind == "queued" && session->knows_all_jobs()) {
            out["known"] = true;
            out["count"] = session->jobs().queued_jobs(queue_id(question.value("queue", "")));
        }
        return out;
    }

    // --- submissions
    struct attempt {
        submitted_job job;
        deadline until;
        std::function<void(submit_outcome)> done;
        // An earlier try may have stored the job.
        bool may_be_stored = false;
        bool was_refused = false;
    };

    void submit(const std::shared_ptr<attempt>& call) {
        const auto left = call->until.remaining(time.now());
        if (left.count() == 0) {
            call->done(call->may_be_stored ? submit_outcome::unknown : submit_outcome::refused);
            return;
        }
        if (!is_store_reachable(longest_silence)) {
            // Nobody can store it here now; the caller hears of it while another entry may.
            call->done(call->may_be_stored ? submit_outcome::unknown : submit_outcome::refused);
            return;
        }
        row_transaction transaction;
        transaction.part = part_of(call->job.id);
        transaction.conditions.push_back({job_table, call->job.id.value(), row_version(0)});
        transaction.puts.push_back({job_table, call->job.id.value(), encode_job(call->job)});
        const auto patience = std::max(first_try, owner.store_latency() * patience_factor);
        const auto limit = call->may_be_stored ? left : std::min(left, patience);
        store.transact(transaction, limit,
                       [me = shared_from_this(), call](const transaction_result& result) {
                           me->submitted(call, result);
                       });
    }

    [[nodiscard]] bool is_store_reachable(milliseconds limit) const {
        const auto patience = std::max(limit, owner.store_latency() * patience_factor);
        return time.now() - std::max(owner.answered_at(), stored_at) <= patience;
    }

    void submitted(const std::shared_ptr<attempt>& call, const transaction_result& result) {
        switch (result.outcome) {
            case store_outcome::done:
            case store_outcome::conflict:
                stored_at = time.now();
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
        if (call->was_refused && !call->may_be_stored) {
            call->done(submit_outcome::refused);
            return;
        }
        call->was_refused = true;
        loop.after(refusal_retry, [me = shared_from_this(), call] { me->submit(call); });
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
        ask_owner({{"t", "status"}, {"job", job.value()}},
                  [me = shared_from_this(), job, until, done](const json* answer) {
                      if (answer != nullptr && answer->value("known", false)) {
                          done(lookup::found, static_cast<job_phase>(answer->value("phase", 0)));
                          return;
                      }
                      me->status_from_store(job, until, done);
                  });
    }

    // The rows of the job: as submitted, and its cancellation.
    void read_job(const job_id& job, deadline until, std::function<void(const read_result&)> done) {
        // '0' follows '/', with which the suffix of the cancellation begins.
        store.read(job_table, part_of(job), job.value(), job.value() + "0",
                   until.remaining(time.now()), std::move(done));
    }

    void status_from_store(const job_id& job, deadline until, const status_handler& done) {
        read_job(job, until,
                 [me = shared_from_this(), job, until, done](const read_result& result) {
                     if (result.outcome != store_outcome::done) {
                         done(lookup::unavailable, job_phase::pending);
                     } else if (result.rows.empty()) {
                         done(lookup::missing, job_phase::pending);
                     } else {
                         me->progress_from_store(job, until, result.rows.size() > 1, done);
                     }
                 });
    }

    void progress_from_store(const job_id& job, deadline until, bool is_cancelled,
                             const status_handler& done) {
        store.read(
            progress_table, owner_part, job.value(), job.value() + "0", until.remaining(time.now()),
            [is_cancelled, job, done](const read_result& result) {
                if (result.outcome != store_outcome::done) {
                    done(lookup::unavailable, job_phase::pending);
                    return;
                }
                auto phase = job_phase::pending;
                if (!result.rows.empty()) {
                    const auto stored = phase_of_row(result.rows.front().value);
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

    void cancel(const job_id& job, deadline until, const std::function<void(lookup)>& done) {
        read_job(job, until, [me = shared_from_this(), job, until, done](const read_result& found) {
            if (found.outcome != store_outcome::done) {
                done(lookup::unavailable);
            } else if (found.rows.empty()) {
                done(lookup::missing);
            } else if (found.rows.size() > 1) {
                done(lookup::found);
            } else {
                me->write_cancellation(job, until, done);
            }
        });
    }

    void write_cancellation(const job_id& job, deadline until,
                            const std::function<void(lookup)>& done) {
        row_transaction transaction;
        transaction.part = part_of(job);
        transaction.puts.push_back({job_table, job.value() + cancel_suffix, "{}"});
        store.transact(
            transaction, until.remaining(time.now()), [done](const transaction_result& result) {
                done(result.outcome == store_outcome::done ? lookup::found : lookup::unavailable);
            });
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
    std::shared_ptr<eventio::message_link> peer;
    std::string peer_address;
    bool is_connecting = false;
    std::uint64_t last_question = 0;
    std::map<std::uint64_t, answer_handler> questions;
    // Connected entries and their processors.
    std::map<std::shared_ptr<eventio::message_link>, millicores> askers;
    instant stored_at;
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
            const auto me = weak.lock();
            return me ? me->accepted(link) : eventio::link_handlers{};
        });
    state_->owner.start();
    state_->loop.every(peer_check_interval, [weak = std::weak_ptr(state_)] {
        if (const auto me = weak.lock()) {
            me->check_peer();
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
    auto call = std::make_shared<state::attempt>();
    call->job = job;
    call->until = deadline(until.when() - answer_reserve);
    call->done = std::move(done);
    state_->submit(call);
}

void entry_node::status(const job_id& job, deadline until,
                        const std::function<void(lookup, job_phase)>& done) {
    state_->status(job, until, done);
}

void entry_node::cancel(const job_id& job, deadline until,
                        const std::function<void(lookup)>& done) {
    state_->cancel(job, until, done);
}

void entry_node::queued_jobs(const queue_id& queue, deadline,
                             const std::function<void(std::optional<std::size_t>)>& done) {
    if (state_->session) {
        done(state_->session->knows_all_jobs()
                 ? std::optional(state_->session->jobs().queued_jobs(queue))
                 : std::nullopt);
        return;
    }
    state_->ask_owner({{"t", "queued"}, {"queue", queue.value()}}, [done](const json* answer) {
        done(answer != nullptr && answer->value("known", false)
                 ? std::optional(answer->value("count", std::size_t{0}))
                 : std::nullopt);
    });
}

void entry_node::leave() {
    state_->owner.leave();
}
bool entry_node::is_owner() const {
    return state_->owner.is_owner();
}

bool entry_node::is_store_reachable(milliseconds limit) const {
    return state_->is_store_reachable(limit);
}

coordinator::counts entry_node::count() const {
    return state_->session ? state_->session->jobs().count() : coordinator::counts{};
}

}  // namespace tanagerpaddle::dispatch
