#include "ownership.hpp"

#include <nlohmann/json.hpp>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

constexpr const char* owner_key = "owner";
// Interval at which other entries read the owner's row.
constexpr milliseconds poll_interval{400};
// The row has not changed for this long: its owner is taken for dead. Four renewals, and the time
// in which a store that is 100 times slower than usual (5 ms a transaction) answers two.
constexpr milliseconds takeover_after{1'600};
// As above, when the connection to the owner has broken as well.
constexpr milliseconds takeover_after_suspicion{700};
// An entry with few processors beside the strongest waits up to this much longer: it could not keep
// up with the work of a large fleet.
constexpr milliseconds longest_deference{900};
// Hands over to an entry that has this many times the processors.
constexpr std::int64_t much_stronger = 2;
// A new owner keeps the ownership for this long, so that it does not bounce.
constexpr milliseconds least_tenure{2'000};
constexpr milliseconds first_limit{600};
constexpr milliseconds longest_limit{4'000};
// A call may take this many times as long as the one before: a slow store is slow for each call,
// and giving up an answer that is on its way costs a second call.
constexpr int patience_factor = 3;
constexpr milliseconds retry_delay{60};
// Starts wait for the write that records them, one write at a time: from here on they take a tenth
// of the time that callers of short jobs allow (2.5 s), and more.
constexpr milliseconds slow_write{250};

}  // namespace

std::string encode(const owner_record& record) {
    return nlohmann::json{{"name", record.name},
                          {"life", record.incarnation},
                          {"address", record.address},
                          {"epoch", record.epoch.value()},
                          {"released", record.is_released},
                          {"strongest", record.strongest.value()}}
        .dump();
}

std::optional<owner_record> decode_owner(std::string_view text) {
    const auto in = nlohmann::json::parse(text, nullptr, false);
    try {
        return owner_record{in.at("name"),     in.at("life"),
                            in.at("address"),  epoch_number(in.at("epoch").get<std::uint64_t>()),
                            in.at("released"), millicores(in.at("strongest").get<std::int64_t>())};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

struct ownership::state : std::enable_shared_from_this<ownership::state> {
    state(eventio::event_loop& events_loop, const clock& source, row_store& rows,
          const entry_options& own, events act)
        : loop(events_loop), time(source), store(rows), self(own), handlers(std::move(act)) {}

    void poll() {
        const instant asked_at = time.now();
        if (is_owner || is_polling || is_taking || is_leaving) {
            return;
        }
        is_polling = true;
        store.read(owner_table, owner_part, owner_key, "", limit,
                   [me = shared_from_this(), asked_at](const read_result& result) {
                       me->is_polling = false;
                       me->on_polled(asked_at, result);
                   });
    }

    void on_polled(instant asked_at, const read_result& result) {
        if (is_owner || is_taking || is_closed) {
            return;
        }
        if (result.outcome != store_outcome::done) {
            answered(false, asked_at);
            // Silence that was not watched is no evidence against the owner.
            changed_at = time.now();
            return;
        }
        answered(true, asked_at);
        observe(result.rows.empty() ? stored_row{} : result.rows.front());
        if (!is_leaving && should_take()) {
            take();
        }
    }

    void observe(const stored_row& row) {
        if (row.version != version || !has_observed) {
            has_observed = true;
            version = row.version;
            changed_at = time.now();
            is_suspected = false;
        }
        record = decode_owner(row.value);
    }

    [[nodiscard]] bool should_take() const {
        if (!record) {
            return true;
        }
        if (record->is_released) {
            return time.now() - changed_at >= deference();
        }
        if (record->name == self.name && record->incarnation != self.incarnation) {
            return true;  // the machine's earlier process is dead
        }
        const auto patience = is_suspected ? takeover_after_suspicion : takeover_after;
        return time.now() - changed_at >= patience + deference();
    }

    [[nodiscard]] milliseconds deference() const {
        const auto strongest = record->strongest.value();
        const auto own = self.processors.value();
        return own >= strongest ? milliseconds(0)
                                : longest_deference * (strongest - own) / strongest;
    }

    // Called before each write of the owner.
    void refresh_record() {
        record->strongest = std::max(self.processors, strongest_peer);
        const bool is_weak = strongest_peer.value() >= much_stronger * self.processors.value() &&
                             time.now() - gained_at >= least_tenure;
        if (is_weak && !record->is_released) {
            log_event(log_level::info, "ownership_offered",
                      {{"own_processors", self.processors.value()},
                       {"strongest", strongest_peer.value()}});
            record->is_released = true;
        }
    }

    void take() {
        is_taking = true;
        owner_record next;
        next.name = self.name;
        next.incarnation = self.incarnation;
        next.address = to_string(self.messages);
        next.strongest = self.processors;
        next.epoch = record ? record->epoch.next() : epoch_number(1);
        const auto previous = record;
        const instant asked_at = time.now();
        store.transact(
            transaction_for(next, {}), limit,
            [me = shared_from_this(), next, previous, asked_at](const transaction_result& result) {
                me->on_taken(next, previous, asked_at, result);
            });
    }

    void on_taken(const owner_record& next, const std::optional<owner_record>& previous,
                  instant asked_at, const transaction_result& result) {
        is_taking = false;
        answered(result.outcome == store_outcome::done || result.outcome == store_outcome::conflict,
                 asked_at);
        if (is_closed) {
            return;
        }
        bool has_won = result.outcome == store_outcome::done;
        if (has_won) {
            version = result.version;
        } else if (result.outcome == store_outcome::conflict && !result.current.empty()) {
            // An earlier try whose answer was lost may have won.
            const auto now_there = decode_owner(result.current.front().value);
            has_won = now_there && now_there->incarnation == self.incarnation;
            observe(result.current.front());
        }
        if (!has_won) {
            return;
        }
        record = next;
        is_owner = true;
        gained_at = time.now();
        log_event(log_level::info, "ownership_gained",
                  {{"epoch", next.epoch.value()},
                   {"previous", previous ? previous->name : std::string("none")},
                   {"previous_released", previous && previous->is_released}});
        handlers.on_gained(next.epoch, previous);
    }

    row_transaction transaction_for(const owner_record& owner,
                                    const std::vector<progress_row>& rows) const {
        row_transaction transaction;
        transaction.part = owner_part;
        transaction.conditions.push_back({owner_table, owner_key, version});
        transaction.puts.push_back({owner_table, owner_key, encode(owner)});
        for (const auto& row : rows) {
            transaction.puts.push_back({progress_table, row.job.value(), row.value});
        }
        return transaction;
    }

    void write(const std::vector<progress_row>& rows, std::function<void(bool)> done) {
        is_writing = true;
        refresh_record();
        const instant asked_at = time.now();
        store.transact(transaction_for(*record, rows), limit,
                       [me = shared_from_this(), asked_at, was_released = record->is_released,
                        done = std::move(done)](const transaction_result& result) {
                           me->on_written(asked_at, was_released, result, done);
                       });
    }

    void on_written(instant asked_at, bool was_released, const transaction_result& result,
                    const std::function<void(bool)>& done) {
        const bool is_answered =
            result.outcome == store_outcome::done || result.outcome == store_outcome::conflict;
        answered(is_answered, asked_at);
        if (is_closed) {
            return;
        }
        note_write(result.outcome, asked_at);
        if (result.outcome == store_outcome::done) {
            version = result.version;
            if (was_released) {
                lose(std::nullopt);
                return;
            }
        } else if (result.outcome == store_outcome::conflict) {
            const auto there =
                result.current.empty() ? std::nullopt : decode_owner(result.current.front().value);
            if (!there || there->incarnation != self.incarnation || there->epoch != record->epoch) {
                lose(there);
                return;
            }
            version = result.current.front().version;
        }
        const bool is_durable = result.outcome == store_outcome::done;
        if (is_durable || result.outcome == store_outcome::conflict) {
            is_writing = false;
            done(is_durable);
            return;
        }
        loop.after(retry_delay, [me = shared_from_this(), done] {
            me->is_writing = false;
            if (!me->is_closed && me->is_owner) {
                done(false);
            }
        });
    }

    void note_write(store_outcome outcome, instant asked_at) const {
        const auto took = std::chrono::duration_cast<milliseconds>(time.now() - asked_at);
        if (outcome != store_outcome::done || took >= slow_write) {
            log_event(log_level::warning, "progress_write_slow",
                      {{"outcome", static_cast<int>(outcome)}, {"took_ms", took}});
        }
    }

    void lose(const std::optional<owner_record>& successor) {
        is_owner = false;
        is_writing = false;
        record = successor;
        has_observed = false;
        log_event(log_level::warning, "ownership_lost",
                  {{"successor", successor ? successor->name : std::string("unknown")}});
        handlers.on_lost();
    }

    void answered(bool is_answered, instant asked_at) {
        if (is_answered) {
            confirmed_at = std::max(confirmed_at, asked_at);
            answered_at = time.now();
            latency = std::chrono::duration_cast<milliseconds>(time.now() - asked_at);
            limit = std::clamp(latency * patience_factor, first_limit, longest_limit);
        } else {
            limit = std::min(limit * 2, longest_limit);
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
    entry_options self;
    events handlers;
    std::optional<owner_record> record;
    row_version version;
    instant changed_at;
    instant confirmed_at;
    instant answered_at;
    instant gained_at;
    millicores strongest_peer;
    milliseconds latency{0};
    milliseconds limit = first_limit;
    bool has_observed = false;
    bool is_owner = false;
    bool is_polling = false;
    bool is_taking = false;
    bool is_writing = false;
    bool is_suspected = false;
    bool is_leaving = false;
    bool is_closed = false;
};

ownership::ownership(eventio::event_loop& loop, const clock& time, row_store& store,
                     const entry_options& self, events handlers)
    : state_(std::make_shared<state>(loop, time, store, self, std::move(handlers))) {}

ownership::~ownership() {
    state_->is_closed = true;
}

void ownership::start() {
    state_->poll();
    state_->loop.every(poll_interval, [weak = std::weak_ptr(state_)] {
        if (const auto me = weak.lock()) {
            me->poll();
        }
    });
}

bool ownership::is_owner() const {
    return state_->is_owner;
}
const std::optional<owner_record>& ownership::current() const {
    return state_->record;
}
instant ownership::confirmed_at() const {
    return state_->confirmed_at;
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

void ownership::suspect() {
    state_->is_suspected = true;
    state_->poll();
}

void ownership::set_strongest_peer(millicores processors) {
    state_->strongest_peer = processors;
}

void ownership::superseded() {
    if (state_->is_owner) {
        state_->lose(std::nullopt);
    }
}

void ownership::leave() {
    state_->leave();
}

}  // namespace tanagerpaddle::dispatch
