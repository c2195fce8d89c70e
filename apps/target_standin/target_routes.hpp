#pragma once

#include "request_server.hpp"
#include "standin_server.hpp"
#include "task_runtime.hpp"

namespace tanagerpaddle::standin {

// The parts of one target stand-in.
struct target_parts {
    fault_switches& faults;
    task_runtime& runtime;
    request_server& requests;
    const clock& time;
};

// POST /serve/<method>. The parts must outlive the server; so for the others.
void add_serve_routes(server& http, const target_parts& parts);
// POST /runtime/{list,start,renew,pause,resume,checkpoint,throttle,stop,forget,usage}, with JSON:
// {"task": {"job", "index", "attempt"}, "lease_ms", "speed_percent", "sent_at_ns"} as far as they
// apply, start {"permit": {"task", "kind": "batch"|"hold", "demand", "valid_ms", "run_time_ms",
// "command", "checkpoint", "can_checkpoint"}, "lease_ms", "sent_at_ns"}, renew {"tasks": [...],
// ...}. "sent_at_ns" is the caller's CLOCK_BOOTTIME on the same machine; without it leases count
// from the arrival.
void add_runtime_routes(server& http, const target_parts& parts);
// POST /control/faults, see fault_switches.
void add_control_routes(server& http, const target_parts& parts);

}  // namespace tanagerpaddle::standin
