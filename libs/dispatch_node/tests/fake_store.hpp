#pragma once

// An in-memory implementation of row_store that can inject faults.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "tanagerpaddle/dispatch_node.hpp"

namespace tanagerpaddle::dispatch::testing {

class fake_store final : public row_store {
public:
    explicit fake_store(eventio::event_loop& loop) : loop_(loop) {}

    void transact(const row_transaction& transaction, milliseconds timeout,
                  std::function<void(const transaction_result&)> done) override {
        ++transactions;
        if (before_next_transaction) {
            std::exchange(before_next_transaction, nullptr)();
        }
        const bool is_removal = !transaction.removals.empty();
        if (is_removal) {
            ++removal_writes;
            max_removals = std::max(max_removals, transaction.removals.size());
            if (before_next_removal) {
                std::exchange(before_next_removal, nullptr)();
            }
        }
        if (is_down) {
            loop_.post([done] { done({store_outcome::rejected, {}, {}}); });
            return;
        }
        if (loses_requests) {
            loop_.after(timeout, [done] { done({store_outcome::unknown, {}, {}}); });
            return;
        }
        if (rejects_writes) {
            loop_.post([done] { done({store_outcome::rejected, {}, {}}); });
            return;
        }
        job_writes += !transaction.puts.empty() && transaction.puts.front().table == "jobs" ? 1 : 0;
        const auto delay = draw_delay                    ? draw_delay(transaction)
                           : is_removal && removal_delay ? removal_delay
                                                         : write_delay;
        if (delay) {
            loop_.after(*delay, [this, transaction] { apply(transaction); });
            loop_.after(timeout, [done] { done({store_outcome::unknown, {}, {}}); });
            return;
        }
        const auto result = apply(transaction);
        if (loses_answers) {
            loop_.after(timeout, [done] { done({store_outcome::unknown, {}, {}}); });
        } else {
            // An answer after the timeout is lost.
            const bool is_late = latency > timeout;
            loop_.after(is_late ? timeout : latency,
                        [done, result, is_late] { done(is_late ? transaction_result{} : result); });
        }
    }

    void read(const std::string& table, const std::string& part, const std::string& from,
              const std::string& to, milliseconds timeout,
              std::function<void(const read_result&)> done) override {
        read_result result;
        if (loses_requests || latency > timeout) {
            loop_.after(timeout, [done] { done({}); });
            return;
        }
        if (is_down) {
            result.outcome = store_outcome::rejected;
        } else {
            result.outcome = store_outcome::done;
            result.version = version;
            for (const auto& [address, row] : rows) {
                const auto& [row_table, row_part, key] = address;
                if (row_table == table && row_part == part && key >= from &&
                    (to.empty() || key < to)) {
                    if (result.rows.size() == max_rows_per_read) {
                        result.has_more = true;
                        break;
                    }
                    result.rows.push_back({{row_table, row_part, key}, row.first, row.second});
                }
            }
        }
        loop_.after(latency, [done, result] { done(result); });
    }

    void watch(const std::string& table, row_version after, milliseconds wait, milliseconds timeout,
               std::function<void(const read_result&)> done) override {
        ++watches;
        if (loses_watches) {
            loop_.after(timeout, [done] { done({}); });
            return;
        }
        if (watch_delay.count() > 0) {
            const bool is_late = watch_delay + wait > timeout;
            loop_.after(is_late ? timeout : watch_delay + wait,
                        [this, table, after, done, is_late] {
                            is_late ? done({}) : poll(table, after, deadline(time_.now()), done);
                        });
            return;
        }
        poll(table, after, deadline::after(time_.now(), wait), std::move(done));
    }

    // Writes a row unconditionally, as another client.
    void put(const std::string& table, const std::string& part, const std::string& key,
             const std::string& value) {
        version = version.next();
        removed_rows.erase({table, part, key});
        rows[{table, part, key}] = {value, version};
    }
    // Removes a row unconditionally, as another client.
    void remove(const std::string& table, const std::string& part, const std::string& key) {
        version = version.next();
        rows.erase({table, part, key});
        removed_rows[{table, part, key}] = version;
    }
    [[nodiscard]] std::string value(const std::string& table, const std::string& part,
                                    const std::string& key) const {
        const auto found = rows.find({table, part, key});
        return found == rows.end() ? "" : found->second.first;
    }

    std::map<std::tuple<std::string, std::string, std::string>, std::pair<std::string, row_version>>
        rows;
    // Versions at which rows were removed.
    std::map<std::tuple<std::string, std::string, std::string>, row_version> removed_rows;
    row_version version;
    int transactions = 0;
    int removal_writes = 0;
    // Most rows that one transaction removed.
    std::size_t max_removals = 0;
    int job_writes = 0;
    int watches = 0;
    milliseconds latency{2};
    // Called once, when the next transaction arrives.
    std::function<void()> before_next_transaction;
    // Called once, when the next transaction that removes rows arrives.
    std::function<void()> before_next_removal;
    // Writes are not answered, and are done after this time.
    std::optional<milliseconds> write_delay;
    // The same for transactions that remove rows.
    std::optional<milliseconds> removal_delay;
    // Draws such a time for a transaction.
    std::function<std::optional<milliseconds>(const row_transaction&)> draw_delay;
    // Called after a transaction has been applied.
    std::function<void(const row_transaction&)> on_applied;
    bool is_down = false;
    bool rejects_writes = false;
    bool loses_requests = false;
    bool loses_answers = false;
    std::size_t max_rows_per_read = SIZE_MAX;
    // Watches are answered this long after their wait.
    milliseconds watch_delay{0};
    // Watches that begin meanwhile are never answered.
    bool loses_watches = false;
    // The next watch finds that its history is gone: that of any table, or of this one.
    bool has_lost_history = false;
    std::string lost_history_table;

    // The store's time; unset if its answers do not tell it.
    [[nodiscard]] std::optional<store_instant> now() const {
        if (!tells_time) {
            return std::nullopt;
        }
        const auto elapsed = system_clock().now().time_since_epoch();
        return store_instant(std::chrono::floor<milliseconds>(elapsed) + clock_offset);
    }
    bool tells_time = false;
    // Its clock and that of the processes have different origins.
    milliseconds clock_offset{-1'000'000};

private:
    transaction_result apply(const row_transaction& transaction) {
        transaction_result result;
        result.outcome = store_outcome::done;
        result.answered_at = now();
        for (const auto& condition : transaction.conditions) {
            const auto found = rows.find({condition.table, transaction.part, condition.key});
            const auto current = found == rows.end() ? row_version() : found->second.second;
            if (current != condition.expected) {
                result.outcome = store_outcome::conflict;
                result.current.push_back({{condition.table, transaction.part, condition.key},
                                          found == rows.end() ? "" : found->second.first,
                                          current});
            }
        }
        if (result.outcome == store_outcome::done) {
            version = version.next();
            result.version = version;
            for (const auto& put : transaction.puts) {
                removed_rows.erase({put.table, transaction.part, put.key});
                rows[{put.table, transaction.part, put.key}] = {put.value, version};
            }
            for (const auto& removal : transaction.removals) {
                rows.erase({removal.table, transaction.part, removal.key});
                removed_rows[{removal.table, transaction.part, removal.key}] = version;
            }
            if (on_applied) {
                on_applied(transaction);
            }
        }
        return result;
    }

    // The rows that changed after a version, in the order of their last changes.
    [[nodiscard]] std::vector<stored_row> changes(const std::string& table,
                                                  row_version after) const {
        std::multimap<row_version, stored_row> changed;
        for (const auto& [address, row] : rows) {
            const auto& [row_table, part, key] = address;
            if (row_table == table && row.second > after) {
                changed.insert({row.second, {{row_table, part, key}, row.first, row.second}});
            }
        }
        for (const auto& [address, removed_at] : removed_rows) {
            const auto& [row_table, part, key] = address;
            if (row_table == table && removed_at > after) {
                changed.insert({removed_at, {{row_table, part, key}, "", row_version(0)}});
            }
        }
        std::vector<stored_row> result;
        for (auto& [changed_at, row] : changed) {
            result.push_back(std::move(row));
        }
        return result;
    }

    void poll(const std::string& table, row_version after, deadline until,
              std::function<void(const read_result&)> done) {
        static constexpr milliseconds step{2};
        read_result result;
        result.version = version;
        if (is_down) {
            result.outcome = store_outcome::rejected;
            loop_.after(step, [done, result] { done(result); });
            return;
        }
        if (has_lost_history || lost_history_table == table) {
            has_lost_history = false;
            lost_history_table.clear();
            result.outcome = store_outcome::history_expired;
            loop_.after(step, [done, result] { done(result); });
            return;
        }
        result.outcome = store_outcome::done;
        result.rows = changes(table, after);
        if (!result.rows.empty() || until.has_passed(time_.now() + step)) {
            loop_.after(step, [done, result] { done(result); });
            return;
        }
        loop_.after(step, [this, table, after, until, done = std::move(done)]() mutable {
            poll(table, after, until, std::move(done));
        });
    }

    eventio::event_loop& loop_;
    system_clock time_;
};

}  // namespace tanagerpaddle::dispatch::testing
