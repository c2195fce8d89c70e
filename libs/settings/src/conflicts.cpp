#include <array>

#include "settings_internal.hpp"

namespace tanagerpaddle::settings_detail {

namespace {

void check(std::vector<setting_problem>& problems, bool is_allowed, std::string_view key,
           const std::string& value, const std::string& allowed) {
    if (!is_allowed) {
        problems.push_back({{}, 0, std::string(key), value, allowed});
    }
}

void check_times(const settings& values, std::vector<setting_problem>& problems) {
    const auto& s = values.scheduler;
    // Two renewals in a row may fail before the horizon passes.
    check(problems, 2 * s.horizon_renewal < s.horizon, "scheduler.horizon_renewal_s",
          std::to_string(s.horizon_renewal.count()),
          "below half of scheduler.horizon_s (" + std::to_string(s.horizon.count()) + ")");
    check(problems, s.worker_lease <= s.horizon, "scheduler.worker_lease_s",
          std::to_string(s.worker_lease.count()),
          "at most scheduler.horizon_s (" + std::to_string(s.horizon.count()) + ")");
    check(problems, s.sync_interval < s.worker_lease, "scheduler.sync_interval_ms",
          std::to_string(s.sync_interval.count()),
          "below scheduler.worker_lease_s (" + std::to_string(s.worker_lease.count()) + " s)");
    const auto& m = values.membership;
    check(problems, m.entry_expiry >= 2 * m.digest_interval, "membership.entry_expiry_ms",
          std::to_string(m.entry_expiry.count()),
          "at least twice membership.digest_interval_ms (" +
              std::to_string(m.digest_interval.count()) + ")");
}

struct named_listener {
    std::string_view port_key;
    const listen_settings* listener;
};

// Any-address listeners claim the port on all addresses of the machine.
bool overlaps(const listen_settings& a, const listen_settings& b) {
    const auto is_any = [](const listen_settings& l) {
        return l.address == "0.0.0.0" || l.address == "::";
    };
    return a.port != 0 && a.port == b.port && (a.address == b.address || is_any(a) || is_any(b));
}

template <std::size_t Count>
void check_ports(const std::array<named_listener, Count>& listeners,
                 std::vector<setting_problem>& problems) {
    for (std::size_t i = 0; i < Count; ++i) {
        for (std::size_t k = 0; k < i; ++k) {
            check(problems, !overlaps(*listeners[i].listener, *listeners[k].listener),
                  listeners[i].port_key, std::to_string(listeners[i].listener->port),
                  "another port than " + std::string(listeners[k].port_key));
        }
    }
}

}  // namespace

std::vector<setting_problem> find_conflicts(const settings& values) {
    std::vector<setting_problem> problems;
    check_times(values, problems);
    if (values.role == process_role::entry) {
        check_ports(std::array{named_listener{"entry.callers.port", &values.entry.callers},
                               named_listener{"entry.operators.port", &values.entry.operators},
                               named_listener{"entry.control.port", &values.entry.control}},
                    problems);
    } else {
        check_ports(std::array{named_listener{"agent.data.port", &values.agent.data},
                               named_listener{"agent.control.port", &values.agent.control}},
                    problems);
        check(problems, values.agent.max_requests >= values.agent.slots, "agent.max_requests",
              std::to_string(values.agent.max_requests),
              "at least agent.slots (" + std::to_string(values.agent.slots) + ")");
    }
    check(problems, !values.security.key_file.empty(), "security.key_file", "\"\"",
          "the name of a file");
    check(problems,
          values.security.previous_key_file.empty() ||
              values.security.previous_key_file != values.security.key_file,
          "security.previous_key_file", values.security.previous_key_file,
          "another file than security.key_file");
    check(problems, values.log.file.empty() || values.log.file != values.trace.file, "trace.file",
          values.trace.file, "another file than log.file");
    return problems;
}

}  // namespace tanagerpaddle::settings_detail
