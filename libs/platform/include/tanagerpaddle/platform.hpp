#pragma once

// HTTP clients of the platform: its transactional table, its object store and a worker's runtime.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/scheduling.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

class platform_connections;

// Where a part of the platform listens and how long a call to it may take.
struct platform_client_options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // For making a connection; part of `call_timeout`.
    milliseconds connect_timeout{1'000};
    // For a whole call, including the wait for a free connection.
    milliseconds call_timeout{3'000};
    // Connections kept open, and so calls in flight; further calls wait.
    std::size_t connections = 8;
    // A connection that was idle for longer is replaced, since it may be half-open. Keep it below
    // the server's own idle timeout.
    milliseconds idle_limit{4'000};
};

// The platform's table service. Thread-safe. Values may be any bytes, keys are UTF-8.
// Every call throws error(store_unavailable) if it had no effect: no connection, all connections
// in use until the timeout, or an answer 429 or 503. A read also throws it if its answer is lost.
// A commit whose answer is lost, late or unreadable throws error(store_outcome_unknown).
class http_table final : public table {
public:
    explicit http_table(const platform_client_options& options);
    ~http_table() override;

    [[nodiscard]] std::optional<table_row> read(const std::string& key) override;
    [[nodiscard]] std::vector<table_row> scan(const std::string& prefix, const std::string& after,
                                              std::size_t limit) override;
    [[nodiscard]] commit_result commit(const table_transaction& transaction) override;

private:
    std::unique_ptr<platform_connections> clients_;
};

// The platform's object store. Thread-safe; errors as for http_table, with put and remove in place
// of commit. Both may be repeated after error(store_outcome_unknown).
class http_object_store final : public object_store {
public:
    explicit http_object_store(const platform_client_options& options);
    ~http_object_store() override;

    void put(const std::string& key, std::string_view bytes) override;
    [[nodiscard]] std::optional<std::string> read(const std::string& key) override;
    void remove(const std::string& key) override;

private:
    std::unique_ptr<platform_connections> clients_;
};

// The runtime of the worker beside this process. Thread-safe. Every call carries the time when it
// was sent, by the boot clock that both processes on the machine share: leases count from it, and
// the runtime refuses a start that reaches it after the permit or the lease has ended.
// Throws error(connection_refused) if nothing was sent, error(outcome_unknown) if the answer is
// lost or late, and otherwise the code that the runtime answered: overloaded (resources exceeded,
// if the runtime checks them, or too many calls), unknown_job (no such attempt),
// deadline_exceeded_not_run (permit ended), duplicate_request (the attempt has ended already),
// store_unavailable (checkpoint not readable or not written), malformed_request, and
// outcome_unknown if it cannot tell.
// Repeating renew, pause, throttle, stop, forget, or start of an attempt that runs, is harmless.
class http_worker_runtime final : public worker_runtime {
public:
    explicit http_worker_runtime(const platform_client_options& options);
    ~http_worker_runtime() override;

    [[nodiscard]] std::vector<runtime_task> list() override;
    void start(const start_permit& permit, std::int64_t lease_ms) override;
    void renew(const std::vector<task_attempt>& attempts, std::int64_t lease_ms) override;
    void pause(const task_attempt& attempt) override;
    void resume(const task_attempt& attempt, std::int64_t lease_ms) override;
    std::string checkpoint(const task_attempt& attempt) override;
    void throttle(const task_attempt& attempt, std::uint32_t speed_percent) override;
    void stop(const task_attempt& attempt) override;
    void forget(const task_attempt& attempt) override;

private:
    std::unique_ptr<platform_connections> clients_;
    system_clock time_;
};

}  // namespace tanagerpaddle
