#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Time for which the store may delay its answer to a watch. A broken connection is detected after
// max_watch_wait + min_answer_slack, which must be less than the 2 s within which a new
// configuration must be in force.
constexpr milliseconds max_watch_wait{1'000};
// Time beyond the wait that the store has to answer. It doubles with each failure, so that a slow
// store can answer.
constexpr milliseconds min_answer_slack{600};
constexpr milliseconds max_answer_slack{5'000};
constexpr milliseconds read_timeout{1'500};
// Interval at which a call without an answer is repeated after failures.
constexpr milliseconds repeat_interval = max_watch_wait + min_answer_slack;
constexpr milliseconds retry_delay{100};

}  // namespace

struct table_watcher::state : std::enable_shared_from_this<table_watcher::state> {
    state(eventio::event_loop& io_loop, row_store& table_store, options watch_options,
          handler row_handler)
        : loop(io_loop),
          store(table_store),
          config(std::move(watch_options)),
          on_rows(std::move(row_handler)) {}

    void read_all() {
        collected.clear();
        is_first_page = true;
        version = row_version(0);
        read_pages(0, "");
    }

    void read_pages(std::size_t index, const std::string& from) {
        if (index == config.parts.size()) {
            is_loaded = true;
            const auto rows = std::move(collected);
            collected = {};
            on_rows(rows, true);
            if (!is_closed) {
                watch();
            }
            return;
        }
        begin_round();
        call_read(index, from);
    }

    void call_read(std::size_t index, const std::string& from) {
        ++unanswered;
        const instant request_sent_at = time.now();
        store.read(config.table, config.parts[index], from, "", read_timeout + answer_slack,
                   [self = shared_from_this(), index, request_sent_at,
                    call_round = round](const read_result& result) {
                       if (self->round == call_round) {
                           self->on_read(index, request_sent_at, result);
                       }
                   });
        repeat_call([index, from](state& self) { self.call_read(index, from); });
    }

    void on_read(std::size_t index, instant request_sent_at, const read_result& result) {
        if (is_closed) {
            return;
        }
        --unanswered;
        const bool has_failed = result.outcome != store_outcome::done;
        if (has_failed && unanswered > 0) {
            count_failure("table_read_failed");
            return;
        }
        begin_round();
        if (has_failed) {
            on_failure("table_read_failed", [](state& self) { self.read_all(); });
            return;
        }
        on_success(request_sent_at);
        // The lowest version of all pages, so that the watch returns changes made during the read.
        if (version == row_version(0) || result.version < version) {
            version = result.version;
        }
        if (config.on_page) {
            config.on_page(result.rows, std::exchange(is_first_page, false));
        } else {
            collected.insert(collected.end(), result.rows.begin(), result.rows.end());
        }
        if (is_closed) {
            return;
        }
        if (result.has_more && !result.rows.empty()) {
            read_pages(index, result.rows.back().address.key + key_successor_suffix);
        } else {
            read_pages(index + 1, "");
        }
    }

    // The answers to earlier calls have no effect.
    void begin_round() {
        ++round;
        unanswered = 0;
    }

    // The store may have lost the call, and its timeout is long after failures: another call is
    // sent meanwhile, and the first answer counts.
    void repeat_call(std::function<void(state&)> call) {
        if (answer_slack == min_answer_slack) {
            return;
        }
        loop.after(repeat_interval,
                   [weak = weak_from_this(), call_round = round, call = std::move(call)] {
                       const auto self = weak.lock();
                       if (self && !self->is_closed && self->round == call_round) {
                           call(*self);
                       }
                   });
    }

    void watch() {
        begin_round();
        call_watch();
    }

    void call_watch() {
        ++unanswered;
        const instant request_sent_at = time.now();
        store.watch(config.table, version, max_watch_wait, max_watch_wait + answer_slack,
                    [self = shared_from_this(), request_sent_at,
                     call_round = round](const read_result& result) {
                        if (self->round == call_round) {
                            self->on_watched(request_sent_at, result);
                        }
                    });
        repeat_call([](state& self) { self.call_watch(); });
    }

    void on_watched(instant request_sent_at, const read_result& result) {
        if (is_closed) {
            return;
        }
        --unanswered;
        const bool has_failed = result.outcome != store_outcome::done &&
                                result.outcome != store_outcome::history_expired;
        if (has_failed && unanswered > 0) {
            count_failure("table_watch_failed");
            return;
        }
        begin_round();
        if (has_failed) {
            on_failure("table_watch_failed", [](state& self) { self.watch(); });
            return;
        }
        if (result.outcome == store_outcome::history_expired) {
            log_event(log_level::info, "table_history_gone", {{"table", config.table}});
            answer_slack = min_answer_slack;  // the store answers again
            read_all();
            return;
        }
        on_success(request_sent_at);
        version = std::max(version, result.version);
        if (!result.rows.empty()) {
            on_rows(result.rows, false);
        }
        if (!is_closed) {
            watch();
        }
    }

    void on_success(instant request_sent_at) {
        confirmed_at = std::max(confirmed_at, request_sent_at);
        answer_slack = min_answer_slack;
        if (failure_count > 0) {
            log_event(log_level::info, "table_regained",
                      {{"table", config.table}, {"failures", failure_count}});
            failure_count = 0;
        }
    }

    void count_failure(std::string_view event) {
        if (failure_count++ == 0) {
            log_event(log_level::warning, event, {{"table", config.table}});
        }
        answer_slack = std::min(answer_slack * 2, max_answer_slack);
    }

    void on_failure(std::string_view event, void (*retry)(state&)) {
        count_failure(event);
        loop.after(retry_delay, [weak = weak_from_this(), retry] {
            const auto self = weak.lock();
            if (self && !self->is_closed) {
                retry(*self);
            }
        });
    }

    eventio::event_loop& loop;
    row_store& store;
    options config;
    handler on_rows;
    system_clock time;
    std::vector<stored_row> collected;
    bool is_first_page = true;
    row_version version;
    instant confirmed_at;
    milliseconds answer_slack = min_answer_slack;
    // All calls of a round ask for the same; those of earlier rounds have no effect.
    std::uint64_t round = 0;
    int unanswered = 0;
    std::uint64_t failure_count = 0;
    bool is_loaded = false;
    bool is_closed = false;
};

table_watcher::table_watcher(eventio::event_loop& loop, row_store& store, options watch_options,
                             handler on_rows)
    : state_(std::make_shared<state>(loop, store, std::move(watch_options), std::move(on_rows))) {
    state_->read_all();
}

table_watcher::~table_watcher() {
    state_->is_closed = true;
}
bool table_watcher::is_loaded() const {
    return state_->is_loaded;
}
instant table_watcher::confirmed_at() const {
    return state_->confirmed_at;
}

}  // namespace tanagerpaddle::dispatch
