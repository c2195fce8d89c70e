#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

namespace {
constexpr std::size_t scan_page_rows = 500;
}

std::vector<table_row> scan_all(table& rows, const std::string& prefix) {
    std::vector<table_row> result;
    std::string after;
    while (true) {
        auto page = rows.scan(prefix, after, scan_page_rows);
        const bool is_last = page.size() < scan_page_rows;
        if (!page.empty()) {
            after = page.back().key;
        }
        for (auto& row : page) {
            result.push_back(std::move(row));
        }
        if (is_last) {
            return result;
        }
    }
}

void memory_table::throw_if_unavailable() {
    if (faults_.is_down || random_.chance(faults_.lost_request)) {
        throw error(result_code::store_unavailable, "table service is unavailable");
    }
}

std::optional<table_row> memory_table::read(const std::string& key) {
    const std::lock_guard lock(mutex_);
    throw_if_unavailable();
    ++counters_.reads;
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return std::nullopt;
    }
    return table_row{key, found->second.value, found->second.version};
}

std::vector<table_row> memory_table::scan(const std::string& prefix, const std::string& after,
                                          std::size_t limit) {
    const std::lock_guard lock(mutex_);
    throw_if_unavailable();
    ++counters_.reads;
    std::vector<table_row> result;
    auto position = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; position != rows_.end() && result.size() < limit; ++position) {
        if (!position->first.starts_with(prefix)) {
            break;
        }
        result.push_back({position->first, position->second.value, position->second.version});
    }
    return result;
}

commit_result memory_table::commit(const table_transaction& transaction) {
    const std::lock_guard lock(mutex_);
    throw_if_unavailable();
    commit_result result;
    for (const auto& condition : transaction.conditions) {
        const auto found = rows_.find(condition.key);
        const row_version actual = found == rows_.end() ? row_version() : found->second.version;
        if (actual != condition.expected) {
            result.conflicts.push_back(condition.key);
        }
    }
    ++counters_.transactions;
    if (!result.conflicts.empty()) {
        ++counters_.conflicts;
        return result;
    }
    last_version_ = last_version_.next();
    for (const auto& key : transaction.deletes) {
        rows_.erase(key);
    }
    for (const auto& put : transaction.puts) {
        rows_[put.key] = {put.value, last_version_};
    }
    counters_.rows_written += transaction.write_count();
    if (random_.chance(faults_.lost_answer)) {
        throw error(result_code::store_outcome_unknown, "answer of the table service was lost");
    }
    result.committed = true;
    result.version = last_version_;
    return result;
}

void memory_table::set_faults(const store_faults& faults) {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

store_counters memory_table::counters() const {
    const std::lock_guard lock(mutex_);
    return counters_;
}

void memory_object_store::put(const std::string& key, std::string_view bytes) {
    const std::lock_guard lock(mutex_);
    if (is_down_) {
        throw error(result_code::store_unavailable, "object store is unavailable");
    }
    objects_[key] = std::string(bytes);
}

std::optional<std::string> memory_object_store::read(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (is_down_) {
        throw error(result_code::store_unavailable, "object store is unavailable");
    }
    const auto found = objects_.find(key);
    return found == objects_.end() ? std::nullopt : std::optional(found->second);
}

void memory_object_store::remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (is_down_) {
        throw error(result_code::store_unavailable, "object store is unavailable");
    }
    objects_.erase(key);
}

void memory_object_store::set_down(bool is_down) {
    const std::lock_guard lock(mutex_);
    is_down_ = is_down;
}

}  // namespace tanagerpaddle
