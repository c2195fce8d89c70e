#pragma once

// The entry role: serves callers and operators, routes requests, owns partitions.

#include <cstdint>
#include <memory>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/settings.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

class entry_services;

// One entry. All calls from one thread.
class entry_daemon {
public:
    // `spans` must outlive the object.
    entry_daemon(const settings& values, incarnation_number incarnation, tracer& spans);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    // Binds the servers and starts the threads. Throws error if an address cannot be bound.
    void start();
    // /readyz answers 503 and the partitions are handed over; requests are still served.
    void begin_shutdown();
    // Waits until the balancer had time to notice and no request is running. False if `limit`
    // passed first.
    [[nodiscard]] bool wait_until_drained(deadline limit);
    // Ends servers and threads.
    void stop();
    // Takes the reloadable values over and reads the key files again.
    void reload(const settings& values);

    [[nodiscard]] std::uint16_t callers_port() const;
    [[nodiscard]] std::uint16_t operators_port() const;
    [[nodiscard]] std::uint16_t control_port() const;

private:
    std::unique_ptr<entry_services> services_;
};

}  // namespace tanagerpaddle
