#include "tanagerpaddle/dispatch_node.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Longest wait of a watch. A connection that has gone silent is noticed after this time and
// watch_slack, which together stay below the 2 s within which a configuration must be in force.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds watch_slack{600};
// A slow store gets more time with each failure, up to this.
constexpr milliseconds longest_slack{5'000};
constexpr milliseconds read_limit{1'500};
constexpr milliseconds retry_delay{100};

}  // namespace

struct table_watcher::state : std::enable_shared_from_this<table_watcher::state> {
    state(eventio::event_loop& events, row_store& rows, options with, handler act)
        : loop(events), store(rows), config(std::move(with)), on_rows(std::move(act)) {}

    void read_all() {
        collected.clear();
        version = row_version(0);
        read_part(0, "");
    }

    void read_part(std::size_t index, const std::string& from) {
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
        const instant asked_at = time.now();
        store.read(config.table, config.parts[index], from, "", read_limit + slack,
                   [self = shared_from_this(), index, asked_at](const read_result& result) {
                       self->on_read(index, asked_at, result);
                   });
    }

    void on_read(std::size_t index, instant asked_at, const read_result& result) {
        if (is_closed) {
            return;
        }
        if (result.outcome != store_outcome::done) {
            failed("table_read_failed", [](state& self) { self.read_all(); });
            return;
        }
        succeeded(asked_at);
        // The oldest version of all pages: changes during the read are watched for again.
        if (version == row_version(0) || result.version < version) {
            version = result.version;
        }
        collected.insert(collected.end(), result.rows.begin(), result.rows.end());
        if (result.has_more && !result.rows.empty()) {
            read_part(index, result.rows.back().address.key + key_successor_suffix);
        } else {
            read_part(index + 1, "");
        }
    }

    void watch() {
        const instant asked_at = time.now();
        store.watch(config.table, version, watch_wait, watch_wait + slack,
                    [self = shared_from_this(), asked_at](const read_result& result) {
                        self->on_watched(asked_at, result);
                    });
    }

    void on_watched(instant asked_at, const read_result& result) {
        if (is_closed) {
            return;
        }
        if (result.outcome == store_outcome::history_expired) {
            log_event(log_level::info, "table_history_gone", {{"table", config.table}});
            read_all();
            return;
        }
        if (result.outcome != store_outcome::done) {
            failed("table_watch_failed", [](state& self) { self.watch(); });
            return;
        }
        succeeded(asked_at);
        version = std::max(version, result.version);
        if (!result.rows.empty()) {
            on_rows(result.rows, false);
        }
        if (!is_closed) {
            watch();
        }
    }

    void succeeded(instant asked_at) {
        confirmed_at = std::max(confirmed_at, asked_at);
        slack = watch_slack;
        if (failures > 0) {
            log_event(log_level::info, "table_regained",
                      {{"table", config.table}, {"failures", failures}});
            failures = 0;
        }
    }

    void failed(std::string_view event, void (*retry)(state&)) {
        if (failures++ == 0) {
            log_event(log_level::warning, event, {{"table", config.table}});
        }
        slack = std::min(slack * 2, longest_slack);
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
    row_version version;
    instant confirmed_at;
    milliseconds slack = watch_slack;
    std::uint64_t failures = 0;
    bool is_loaded = false;
    bool is_closed = false;
};

table_watcher::table_watcher(eventio::event_loop& loop, row_store& store, options with,
                             handler on_rows)
    : state_(std::make_shared<state>(loop, store, std::move(with), std::move(on_rows))) {
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
