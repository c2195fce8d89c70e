#pragma once

// The agent role: the process beside one target and its worker. It owns the instance's ledger,
// passes requests to the target through its slots and runs tasks on the worker's runtime.

#include <cstdint>
#include <memory>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/settings.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

class agent_parts;

// One agent. start(), begin_shutdown(), wait_until_drained(), stop() and reload() are called from
// one thread at a time.
class agent_daemon {
public:
    // `values` are checked settings of the role agent; `spans` must outlive the object. Throws
    // error(invalid_settings) if a key file cannot be read.
    agent_daemon(const settings& values, incarnation_number incarnation, tracer& spans);
    // Calls stop().
    ~agent_daemon();
    agent_daemon(const agent_daemon&) = delete;
    agent_daemon& operator=(const agent_daemon&) = delete;

    // Binds both servers and starts the threads. Requests are refused with not_ready until the
    // worker's runtime has answered. Throws error(internal_error) if a port cannot be bound.
    void start();
    // The agent is leaving: new requests are refused with `leaving`, which means not run, the
    // owner is told at once and evicts the tasks. Requests that were accepted go on.
    void begin_shutdown();
    // True once no request is in flight, no task is held and every report is acknowledged; false
    // if that is not so by `limit`.
    [[nodiscard]] bool wait_until_drained(deadline limit);
    // Lets running requests end, closes the servers and joins the threads. Tasks that are still
    // held go on under their leases, and a restarted agent finds them again.
    void stop();
    // Reads the key files again. If one cannot be read, the present keys stay and the fault is
    // logged. Does not throw.
    void reload(const settings& values);

    // The bound ports; 0 before start().
    [[nodiscard]] std::uint16_t data_port() const noexcept;
    [[nodiscard]] std::uint16_t control_port() const noexcept;

private:
    std::unique_ptr<agent_parts> parts_;
};

}  // namespace tanagerpaddle
