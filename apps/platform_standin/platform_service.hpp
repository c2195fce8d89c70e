#pragma once

// The platform's table and object store over HTTP, with rate limits, faults and counters.

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "standin_server.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle::standin {

// Beyond a limit calls are answered 429; 0 means no limit.
struct platform_limits {
    double rows_written_per_second = 0;
    double reads_per_second = 0;
};

struct platform_faults {
    // Every call is answered 503 without effect.
    bool is_down = false;
    // Delay of each call before it takes effect.
    std::int64_t added_latency_ms = 0;
    // Probability that a call takes effect and its connection is closed without an answer.
    double lost_answer = 0;
    // Probability that the connection is closed without an effect.
    double lost_request = 0;
};

// Thread-safe. Routes: POST /table/{read,scan,commit}, GET PUT DELETE /objects/<key>,
// POST /control/faults (only the members named change), GET /control/counters.
class platform_service {
public:
    // Committed transactions are appended to `log_path` as JSON lines, unless it is empty. Throws
    // error(invalid_settings) if the file cannot be opened.
    platform_service(const clock& time, const platform_limits& limits, std::uint64_t seed,
                     const std::string& log_path = {});

    // The service must outlive the server.
    void add_routes(server& http);

    // Takes {"down", "latency_ms", "lost_answer", "lost_request", "write_limit", "read_limit"}.
    // Throws error(malformed_request) for other members.
    void change_faults(const nlohmann::json& changes);
    [[nodiscard]] nlohmann::json counters() const;

private:
    using prefix_counters = std::map<std::string, store_counters>;

    // Wraps a route with latency, outage and lost messages.
    [[nodiscard]] server::handler with_faults(server::handler handle);
    void set_limits(const platform_limits& limits);
    void take_read();
    void take_rows(std::size_t rows);

    [[nodiscard]] nlohmann::json read(const nlohmann::json& message);
    [[nodiscard]] nlohmann::json scan(const nlohmann::json& message);
    [[nodiscard]] nlohmann::json commit(const nlohmann::json& message);
    void count_commit(const table_transaction& transaction, const commit_result& result);
    void add_table_routes(server& http);
    void add_object_routes(server& http);

    const clock& time_;
    memory_table rows_;
    memory_object_store objects_;
    mutable std::mutex mutex_;
    platform_faults faults_;
    platform_limits limits_;
    std::optional<write_budget> write_budget_;
    std::optional<write_budget> read_budget_;
    prefix_counters by_prefix_;
    store_counters total_;
    random_source random_;
    std::ofstream log_;
};

}  // namespace tanagerpaddle::standin
