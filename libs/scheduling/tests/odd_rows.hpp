#pragma once

// Rows that another writer left in an odd state.

#include <string>

#include "world.hpp"

namespace tanagerpaddle::test {

// JSON of lists within lists.
inline std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

inline void put(world& w, const std::string& key, const std::string& value) {
    table_transaction transaction;
    transaction.puts.push_back({key, value});
    REQUIRE(w.rows.commit(transaction).committed);
}

}  // namespace tanagerpaddle::test
