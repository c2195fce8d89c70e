#pragma once

// Interfaces of the platform's table service and object store, an in-memory implementation with
// fault switches for tests and stand-ins, and the budget of writes that an entry may spend.

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// One row: a key, its value and the version that the last write gave it. Versions of a key grow
// with each write and start again above all earlier ones after a deletion.
struct table_row {
    std::string key;
    std::string value;
    row_version version;
};

// A condition of a transaction: the row's version is `expected` (0: the row does not exist).
struct table_condition {
    std::string key;
    row_version expected;
};

struct table_put {
    std::string key;
    std::string value;
};

// Takes effect whole or not at all.
struct table_transaction {
    std::vector<table_condition> conditions;
    std::vector<table_put> puts;
    std::vector<std::string> deletes;

    // Rows written: puts and deletes.
    [[nodiscard]] std::size_t write_count() const noexcept { return puts.size() + deletes.size(); }
};

struct commit_result {
    // False: a condition did not hold and nothing was written.
    bool committed = false;
    // The version of all rows written, if committed.
    row_version version;
    // The keys whose conditions did not hold.
    std::vector<std::string> conflicts;
};

// The platform's transactional table. Implementations are thread-safe. Each call throws
// error(store_unavailable) if it certainly had no effect.
class table {
public:
    table() = default;
    table(const table&) = delete;
    table& operator=(const table&) = delete;
    virtual ~table() = default;

    // The row, or nothing if it does not exist.
    [[nodiscard]] virtual std::optional<table_row> read(const std::string& key) = 0;
    // Up to `limit` rows whose keys start with `prefix` and are greater than `after`, by key.
    [[nodiscard]] virtual std::vector<table_row> scan(const std::string& prefix,
                                                      const std::string& after,
                                                      std::size_t limit) = 0;
    // Throws error(store_outcome_unknown) if the transaction may have taken effect. Committing the
    // same conditional transaction again is then safe: at most one of the two takes effect.
    [[nodiscard]] virtual commit_result commit(const table_transaction& transaction) = 0;
};

// All rows with the prefix, read in pages.
[[nodiscard]] std::vector<table_row> scan_all(table& rows, const std::string& prefix);

// The platform's object store. Implementations are thread-safe; errors as for table.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;

    virtual void put(const std::string& key, std::string_view bytes) = 0;
    // Nothing if there is no such object.
    [[nodiscard]] virtual std::optional<std::string> read(const std::string& key) = 0;
    virtual void remove(const std::string& key) = 0;
};

// Faults of the in-memory store; each applies to the calls after it was set.
struct store_faults {
    // All calls fail without effect.
    bool is_down = false;
    // Probability that a commit takes effect and its answer is lost.
    double lost_answer = 0;
    // Probability that a call fails without effect.
    double lost_request = 0;
};

struct store_counters {
    std::uint64_t reads = 0;
    std::uint64_t transactions = 0;
    std::uint64_t rows_written = 0;
    std::uint64_t conflicts = 0;
};

// A table in memory, with the platform's semantics and with fault switches.
class memory_table final : public table {
public:
    explicit memory_table(std::uint64_t seed = 1) : random_(seed) {}

    [[nodiscard]] std::optional<table_row> read(const std::string& key) override;
    [[nodiscard]] std::vector<table_row> scan(const std::string& prefix, const std::string& after,
                                              std::size_t limit) override;
    [[nodiscard]] commit_result commit(const table_transaction& transaction) override;

    void set_faults(const store_faults& faults);
    [[nodiscard]] store_counters counters() const;

private:
    struct stored_value {
        std::string value;
        row_version version;
    };

    void throw_if_unavailable();

    mutable std::mutex mutex_;
    std::map<std::string, stored_value> rows_;
    row_version last_version_;
    store_faults faults_;
    store_counters counters_;
    random_source random_;
};

// An object store in memory.
class memory_object_store final : public object_store {
public:
    void put(const std::string& key, std::string_view bytes) override;
    [[nodiscard]] std::optional<std::string> read(const std::string& key) override;
    void remove(const std::string& key) override;
    void set_down(bool is_down);

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
    bool is_down_ = false;
};

// Token bucket that keeps an entry below its share of the table's writes a second. Urgent writes
// may use the whole bucket, others leave `urgent_reserve` of it. Not thread-safe.
class write_budget {
public:
    // `rows_per_second` and `burst_rows` are positive; the bucket starts full.
    write_budget(const clock& time, double rows_per_second, double burst_rows,
                 double urgent_reserve);

    // Takes `rows` tokens if there are enough; a request larger than the burst passes when the
    // bucket is full and leaves it in debt.
    [[nodiscard]] bool try_take(std::size_t rows, bool is_urgent);

private:
    const clock& time_;
    double rows_per_second_;
    double burst_rows_;
    double urgent_reserve_;
    double tokens_;
    instant refilled_at_;
};

}  // namespace tanagerpaddle
