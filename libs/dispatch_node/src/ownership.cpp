#include "ownership.hpp"

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

constexpr const char* owner_key = "owner";
// Interval at which entries that are not the owner read the owner row.
constexpr milliseconds poll_interval{400};
// An owner whose row has not changed for this long counts as failed. Covers four renewals, and two
// transactions of a store that is 100 times slower than usual (5 ms a transaction).
constexpr milliseconds takeover_timeout{1'600};
// The same if the connection to the owner is also lost.
constexpr milliseconds suspected_takeover_timeout{700};
// Upper bound of the delay by which an entry with fewer processors than the largest one postpones a
// takeover: it could not keep up with the work of a large fleet.
constexpr milliseconds max_takeover_delay{900};
// The owner releases the ownership to an entry with this many times its processors.
constexpr std::int64_t handover_processor_ratio = 2;
// Time for which a new owner keeps the ownership, so that it does not change back and forth.
constexpr milliseconds min_ownership_time{2'000};
constexpr milliseconds min_store_timeout{600};
constexpr milliseconds max_store_timeout{4'000};
// Timeout of a call as a multiple of the latency of the previous one: a slow store is slow for each
// call, and a call that times out before its answer arrives costs a second call.
constexpr int store_timeout_factor = 3;
constexpr milliseconds retry_delay{60};
// Writes from this duration on are logged. Starts wait for the write that records them, one write
// at a time; this is a tenth of the time that callers of short jobs allow (2.5 s).
constexpr milliseconds slow_write_threshold{250};

}  // namespace

struct ownership::state : std::enable_shared_from_this<ownership::state> {
    state(eventio::event_loop& io_loop, const clock& node_clock, row_store& table_store,
          const entry_options& entry, events event_handlers)
        : loop(io_loop),
          time(node_clock),
          store(table_store),
          local_entry(entry),
          handlers(std::move(event_handlers)) {}

    void poll() {
        const instant request_sent_at = time.now();
        if (is_owner || is_polling || is_acquiring || is_leaving) {
            return;
        }
        is_polling = true;
        store.read(owner_table, owner_part, owner_key, "", store_timeout,
                   [self = shared_from_this(), request_sent_at](const read_result& result) {
                       self->is_polling = false;
                       self->on_polled(request_sent_at, result);
                   });
    }

    void on_polled(instant request_sent_at, const read_result& result) {
        if (is_owner || is_acquiring || is_closed) {
            return;
        }
        if (result.outcome != store_outcome::done) {
            record_answer(false, request_sent_at);
            // A row that could not be read is no sign that the owner has failed.
            changed_at = time.now();
            return;
        }
        record_answer(true, request_sent_at);
        observe(result.rows.empty() ? stored_row{} : result.rows.front());
        if (!is_leaving && should_acquire()) {
            acquire();
        }
    }

    void observe(const stored_row& row) {
        const bool is_new = row.version != version || !has_observed;
        record = decode_owner(row.value);
        if (!is_new) {
            return;
        }
        if (record) {
            highest_epoch = std::max(highest_epoch, record->epoch);
        } else if (row.version != row_version(0)) {
            log_event(log_level::error, "owner_row_unreadable",
                      {{"row_version", row.version.value()}});
        }
        has_observed = true;
        set_version(row.version);
        changed_at = time.now();
        is_suspected = false;
        // An own record is that of an acquisition whose answer was lost.
        if (!record || !is_own(*record)) {
            // A row that cannot be read may hide an owner that has renewed until it was replaced.
            const bool is_unreadable = !record && row.version != row_version(0);
            previous = is_unreadable ? std::optional(owner_record{}) : record;
            previous_unchanged_since = time.now();
        }
    }

    [[nodiscard]] bool is_own(const owner_record& stored) const {
        return stored.name == local_entry.name && stored.incarnation == local_entry.incarnation;
    }

    void set_version(row_version current) {
        if (current != version) {
            version = current;
            first_attempt_at.reset();
        }
    }

    // Called before each write, which is conditional on `version`; returns its send time.
    instant begin_attempt(owner_record& written) {
        const instant now = time.now();
        first_attempt_at = first_attempt_at.value_or(now);
        written.sent_by = by_store_clock(now);
        written.earlier_grants_end_by =
            is_owner ? by_store_clock(earlier_grants_end_by) : std::nullopt;
        return now;
    }

    // Upper bound of the store's time at `when`; nullopt if the store has not told its time.
    [[nodiscard]] std::optional<store_instant> by_store_clock(instant when) const {
        if (!store_time) {
            return std::nullopt;
        }
        // The store answered after that request was sent, in whole milliseconds. Answers to reads
        // are not used: they may be behind.
        return *store_time + std::chrono::ceil<milliseconds>(when - store_time_sent_at) +
               milliseconds(1);
    }

    void record_store_time(instant request_sent_at, std::optional<store_instant> answered) {
        if (answered) {
            store_time = answered;
            store_time_sent_at = request_sent_at;
        }
    }

    // Time by which the newest write of another process was sent; `answered` is the store's time in
    // an answer that has just arrived.
    [[nodiscard]] instant previous_written_by(std::optional<store_instant> answered) const {
        if (!previous || !previous->sent_by || !answered) {
            return previous_unchanged_since;
        }
        return std::min(previous_unchanged_since, time.now() - (*answered - *previous->sent_by));
    }

    // Time after which no earlier owner grants leases; `answered` is the store's time in an answer
    // that has just arrived.
    [[nodiscard]] instant grants_end_by(instant written_by,
                                        std::optional<store_instant> answered) const {
        const instant now = time.now();
        if (!previous) {
            return now;
        }
        // Each owner grants for a limited time after its newest write of the row, and those before
        // the previous one wrote earlier.
        const instant limit = written_by + local_entry.timing.max_renewal_without_store;
        const bool has_ended = previous->is_released || previous->name == local_entry.name;
        if (!has_ended || !previous->earlier_grants_end_by || !answered) {
            return std::max(now, limit);
        }
        return std::max(now, std::min(limit, now + (*previous->earlier_grants_end_by - *answered)));
    }

    void renewed(instant request_sent_at, row_version current) {
        renewed_at = std::max(renewed_at, request_sent_at);
        set_version(current);
    }

    // The row has changed by an attempt whose answer was lost, one of those since the first.
    void renewed_unanswered(row_version current) {
        if (first_attempt_at && current != version) {
            renewed(*first_attempt_at, current);
        }
        set_version(current);
    }

    [[nodiscard]] bool should_acquire() const {
        if (!record) {
            return true;
        }
        if (record->is_released) {
            return time.now() - changed_at >= takeover_delay();
        }
        if (record->name == local_entry.name && record->incarnation != local_entry.incarnation) {
            return true;  // an earlier process of this instance, which has ended
        }
        const auto base = is_suspected ? suspected_takeover_timeout : takeover_timeout;
        return time.now() - changed_at >= base + takeover_delay();
    }

    [[nodiscard]] milliseconds takeover_delay() const {
        const auto most = record->max_processors.value();
        const auto own = local_entry.processors.value();
        return own >= most ? milliseconds(0) : max_takeover_delay * (most - own) / most;
    }

    // Called before each write of the owner.
    void update_record() {
        record->max_processors = std::max(local_entry.processors, max_peer_processors);
        // Without an answer to its release an owner grants no leases, so that runs would not
        // outlast an outage of the store: a handover waits for its end.
        const bool is_answered = !first_attempt_at;
        const bool should_release = is_answered &&
                                    max_peer_processors.value() >=
                                        handover_processor_ratio * local_entry.processors.value() &&
                                    time.now() - gained_at >= min_ownership_time;
        if (should_release && !record->is_released) {
            log_event(log_level::info, "ownership_offered",
                      {{"own_processors", local_entry.processors.value()},
                       {"strongest", max_peer_processors.value()}});
            record->is_released = true;
        }
    }

    void acquire() {
        is_acquiring = true;
        owner_record next;
        next.name = local_entry.name;
        next.incarnation = local_entry.incarnation;
        next.address = to_string(local_entry.messages);
        next.max_processors = local_entry.processors;
        next.epoch = highest_epoch.next();
        const instant request_sent_at = begin_attempt(next);
        store.transact(
            transaction_for(next, {}), store_timeout,
            [self = shared_from_this(), next, request_sent_at](const transaction_result& result) {
                self->on_acquire_answer(next, request_sent_at, result);
            });
    }

    void on_acquire_answer(const owner_record& next, instant request_sent_at,
                           const transaction_result& result) {
        is_acquiring = false;
        record_answer(
            result.outcome == store_outcome::done || result.outcome == store_outcome::conflict,
            request_sent_at);
        record_store_time(request_sent_at, result.answered_at);
        if (is_closed) {
            return;
        }
        bool has_won = result.outcome == store_outcome::done;
        if (has_won) {
            renewed(request_sent_at, result.version);
        } else if (result.outcome == store_outcome::conflict && !result.current.empty()) {
            // An earlier attempt whose answer was lost may have succeeded.
            const auto& current = result.current.front();
            const auto winner = decode_owner(current.value);
            has_won = winner && is_own(*winner);
            if (has_won) {
                renewed_unanswered(current.version);
            }
            observe(current);
        }
        if (!has_won) {
            return;
        }
        record = next;
        highest_epoch = next.epoch;
        is_owner = true;
        may_be_released = false;
        gained_at = time.now();
        const instant written_by = previous_written_by(result.answered_at);
        earlier_grants_end_by = grants_end_by(written_by, result.answered_at);
        const auto written_ago = std::chrono::duration_cast<milliseconds>(gained_at - written_by);
        log_event(log_level::info, "ownership_gained",
                  {{"epoch", next.epoch.value()},
                   {"previous", previous ? previous->name : std::string("none")},
                   {"previous_released", previous && previous->is_released},
                   {"previous_written_ago_ms", written_ago},
                   {"earlier_grants_left_ms",
                    std::chrono::duration_cast<milliseconds>(earlier_grants_end_by - gained_at)}});
        handlers.on_gained({next.epoch, previous, written_by, earlier_grants_end_by});
    }

    row_transaction transaction_for(const owner_record& owner,
                                    const std::vector<progress_row>& rows) const {
        row_transaction transaction;
        transaction.part = owner_part;
        transaction.conditions.push_back({owner_table, owner_key, version});
        transaction.puts.push_back({owner_table, owner_key, encode(owner)});
        for (const auto& row : rows) {
            transaction.puts.push_back(
                {progress_table, progress_key(row.job, row.number), row.value});
        }
        return transaction;
    }

    void write(const std::vector<progress_row>& rows, std::function<void(bool)> done) {
        is_writing = true;
        update_record();
        const instant request_sent_at = begin_attempt(*record);
        const bool was_released = record->is_released;
        const bool is_first_release = was_released && !may_be_released;
        may_be_released = may_be_released || was_released;
        store.transact(transaction_for(*record, rows), store_timeout,
                       [self = shared_from_this(), request_sent_at, was_released, is_first_release,
                        done = std::move(done)](const transaction_result& result) {
                           if (is_first_release && result.outcome == store_outcome::rejected) {
                               self->may_be_released = false;
                           }
                           self->on_written(request_sent_at, was_released, result, done);
                       });
    }

    void on_written(instant request_sent_at, bool was_released, const transaction_result& result,
                    const std::function<void(bool)>& done) {
        const bool is_answered =
            result.outcome == store_outcome::done || result.outcome == store_outcome::conflict;
        record_answer(is_answered, request_sent_at);
        record_store_time(request_sent_at, result.answered_at);
        if (is_closed) {
            return;
        }
        log_slow_write(result.outcome, request_sent_at);
        if (result.outcome == store_outcome::done) {
            renewed(request_sent_at, result.version);
            if (was_released) {
                lose_ownership(std::nullopt);
                return;
            }
        } else if (result.outcome == store_outcome::conflict) {
            const auto stored =
                result.current.empty() ? std::nullopt : decode_owner(result.current.front().value);
            if (!stored || !is_own(*stored) || stored->epoch != record->epoch) {
                lose_ownership(stored);
                return;
            }
            renewed_unanswered(result.current.front().version);
        }
        const bool is_durable = result.outcome == store_outcome::done;
        if (is_durable || result.outcome == store_outcome::conflict) {
            is_writing = false;
            done(is_durable);
            return;
        }
        loop.after(retry_delay, [self = shared_from_this(), done] {
            self->is_writing = false;
            if (!self->is_closed && self->is_owner) {
                done(false);
            }
        });
    }

    void log_slow_write(store_outcome outcome, instant request_sent_at) const {
        const auto duration =
            std::chrono::duration_cast<milliseconds>(time.now() - request_sent_at);
        if (outcome != store_outcome::done || duration >= slow_write_threshold) {
            log_event(log_level::warning, "progress_write_slow",
                      {{"outcome", static_cast<int>(outcome)}, {"took_ms", duration}});
        }
    }

    void lose_ownership(const std::optional<owner_record>& successor) {
        is_owner = false;
        is_writing = false;
        record = successor;
        has_observed = false;
        log_event(log_level::warning, "ownership_lost",
                  {{"successor", successor ? successor->name : std::string("unknown")}});
        handlers.on_lost();
    }

    void record_answer(bool is_answered, instant request_sent_at) {
        if (is_answered) {
            answered_at = time.now();
            latency = std::chrono::duration_cast<milliseconds>(time.now() - request_sent_at);
            store_timeout =
                std::clamp(latency * store_timeout_factor, min_store_timeout, max_store_timeout);
        } else {
            store_timeout = std::min(store_timeout * 2, max_store_timeout);
        }
    }

    void leave() {
        is_leaving = true;
        if (is_owner) {
            record->is_released = true;
        }
    }

    eventio::event_loop& loop;
    const clock& time;
    row_store& store;
    entry_options local_entry;
    events handlers;
    std::optional<owner_record> record;
    row_version version;
    // Of the owners seen so far. A row that cannot be read tells none, and agents refuse the claims
    // of a lower one.
    epoch_number highest_epoch;
    // Send time of the first write that is conditional on `version`.
    std::optional<instant> first_attempt_at;
    instant renewed_at;
    // The store's time in its newest answer, and the send time of the request that it answers.
    std::optional<store_instant> store_time;
    instant store_time_sent_at;
    // Start of the time without a change after which the owner counts as failed; a failed read
    // starts it anew.
    instant changed_at;
    // The newest record of another process, and when its version of the row was first seen. Failed
    // reads do not change it.
    std::optional<owner_record> previous;
    instant previous_unchanged_since;
    // Of the owners before this one, set when the ownership is acquired.
    instant earlier_grants_end_by;
    instant answered_at;
    instant gained_at;
    millicores max_peer_processors;
    milliseconds latency{0};
    milliseconds store_timeout = min_store_timeout;
    bool has_observed = false;
    bool is_owner = false;
    bool is_polling = false;
    bool is_acquiring = false;
    bool is_writing = false;
    bool is_suspected = false;
    bool may_be_released = false;
    bool is_leaving = false;
    bool is_closed = false;
};

ownership::ownership(eventio::event_loop& loop, const clock& time, row_store& store,
                     const entry_options& local_entry, events handlers)
    : state_(std::make_shared<state>(loop, time, store, local_entry, std::move(handlers))) {}

ownership::~ownership() {
    state_->is_closed = true;
}

void ownership::start() {
    state_->poll();
    state_->loop.every(poll_interval, [weak = std::weak_ptr(state_)] {
        if (const auto self = weak.lock()) {
            self->poll();
        }
    });
}

run_ends ownership::unclaimed_runs_end_by(const gain& gained, const lease_timing& timing) {
    const instant listed = gained.earlier_grants_end_by + timing.expiry_delay();
    // Agents make no call for a start long after the grants have ended, nor owners after a write.
    const instant last_start = std::min(gained.earlier_grants_end_by,
                                        gained.previous_written_by + timing.max_start_write_age);
    return {listed, std::max(listed, last_start + timing.start_expiry_delay())};
}

bool ownership::is_owner() const {
    return state_->is_owner;
}
const std::optional<owner_record>& ownership::current() const {
    return state_->record;
}
instant ownership::renewed_at() const {
    return state_->renewed_at;
}
bool ownership::may_be_released() const {
    return state_->may_be_released;
}
instant ownership::answered_at() const {
    return state_->answered_at;
}
milliseconds ownership::store_latency() const {
    return state_->latency;
}
bool ownership::can_write() const {
    return state_->is_owner && !state_->is_writing;
}

void ownership::write(const std::vector<progress_row>& rows, std::function<void(bool)> done) {
    state_->write(rows, std::move(done));
}

void ownership::suspect_owner() {
    state_->is_suspected = true;
    state_->poll();
}

void ownership::set_max_peer_processors(millicores processors) {
    state_->max_peer_processors = processors;
}

void ownership::superseded() {
    if (state_->is_owner) {
        state_->lose_ownership(std::nullopt);
    }
}

void ownership::leave() {
    state_->leave();
}

}  // namespace tanagerpaddle::dispatch
