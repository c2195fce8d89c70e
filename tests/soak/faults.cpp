#include "faults.hpp"

namespace tanagerpaddle::soak {

namespace {
// Mean interval between the beginnings of two faults: one in this many steps of 100 ms.
constexpr double fault_probability = 1.0 / 60;
}  // namespace

std::int64_t fault_source::between(std::int64_t low, std::int64_t high) {
    return low +
           static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(high - low + 1)));
}

entry_process& fault_source::entry() {
    return w_.entries[random_.below(w_.entries.size())];
}

agent_process& fault_source::agent() {
    return w_.agents[random_.below(w_.agents.size())];
}

void fault_source::begin(const std::string& kind, std::int64_t seconds, std::function<void()> end) {
    ++counts_[kind];
    w_.trace.add("fault " + kind + " for " + std::to_string(seconds) + " s");
    active_.push_back({kind, w_.time.now + std::chrono::seconds(seconds), std::move(end)});
}

void fault_source::step() {
    for (std::size_t i = 0; i < active_.size();) {
        if (active_[i].ends_at > w_.time.now) {
            ++i;
            continue;
        }
        const active_fault ended = active_[i];
        active_.erase(active_.begin() + static_cast<std::ptrdiff_t>(i));
        w_.trace.add("fault " + ended.kind + " ends");
        ended.end();
        quiet_since_ = w_.time.now;
    }
    if (!random_.chance(fault_probability)) {
        return;
    }
    static constexpr member kinds[] = {
        &fault_source::kill_entry,     &fault_source::freeze_entry,
        &fault_source::kill_agent,     &fault_source::freeze_agent,
        &fault_source::kill_worker,    &fault_source::freeze_runtime,
        &fault_source::freeze_machine, &fault_source::table_down,
        &fault_source::table_slow,     &fault_source::table_loses_answers,
        &fault_source::network_cut,    &fault_source::network_bad,
        &fault_source::bad_worker,     &fault_source::table_loses_requests,
        &fault_source::kill_agent,     &fault_source::network_cut};
    // A long outage is rare, since nothing else happens meanwhile.
    const int count = random_.chance(0.3) ? 2 : 1;
    for (int i = 0; i < count; ++i) {
        const member kind = random_.chance(0.02) ? &fault_source::table_long_outage
                                                 : kinds[random_.below(std::size(kinds))];
        (this->*kind)();
    }
}

void fault_source::heal() {
    while (!active_.empty()) {
        const active_fault ended = active_.front();
        active_.erase(active_.begin());
        ended.end();
    }
    w_.net.heal();
    w_.rows.faults = {};
    quiet_since_ = w_.time.now;
    w_.trace.add("all faults end");
}

void fault_source::kill_entry() {
    entry_process& chosen = entry();
    if (!chosen.scheduler) {
        return;
    }
    w_.kill_entry(chosen);
    w_.trace.add("kill " + chosen.info.id.value());
    begin("kill_entry", between(0, 40), [this, &chosen] { w_.start_entry(chosen); });
}

void fault_source::freeze_entry() {
    entry_process& chosen = entry();
    if (!chosen.scheduler || chosen.is_frozen) {
        return;
    }
    chosen.is_frozen = true;
    w_.trace.add("freeze " + chosen.info.id.value());
    begin("freeze_entry", random_.chance(0.5) ? between(61, 150) : between(1, 60),
          [this, &chosen] { w_.resume(chosen); });
}

void fault_source::kill_agent() {
    agent_process& chosen = agent();
    if (!chosen.tasks || chosen.is_worker_dead) {
        return;
    }
    w_.kill_agent(chosen);
    w_.trace.add("kill agent " + chosen.identity.worker.value());
    begin("kill_agent", between(0, 60), [this, &chosen] {
        if (!chosen.tasks && !chosen.is_worker_dead) {
            w_.start_agent(chosen);
        }
    });
}

void fault_source::freeze_agent() {
    agent_process& chosen = agent();
    if (!chosen.tasks || chosen.is_frozen) {
        return;
    }
    chosen.is_frozen = true;
    w_.trace.add("freeze agent " + chosen.identity.worker.value());
    begin("freeze_agent", between(1, 90), [this, &chosen] { w_.resume(chosen); });
}

void fault_source::kill_worker() {
    agent_process& chosen = agent();
    if (chosen.is_worker_dead) {
        return;
    }
    chosen.is_worker_dead = true;
    w_.kill_agent(chosen);
    w_.trace.add("kill worker " + chosen.identity.worker.value());
    chosen.runtime->kill();
    begin("kill_worker", between(1, 90), [this, &chosen] { w_.start_agent(chosen); });
}

void fault_source::freeze_runtime() {
    agent_process& chosen = agent();
    if (chosen.is_worker_dead) {
        return;
    }
    chosen.runtime->set_frozen(true);
    w_.trace.add("freeze runtime " + chosen.identity.worker.value());
    begin("freeze_runtime", between(1, 90), [&chosen] { chosen.runtime->set_frozen(false); });
}

void fault_source::freeze_machine() {
    agent_process& chosen = agent();
    if (chosen.is_worker_dead || !chosen.tasks || chosen.is_frozen) {
        return;
    }
    chosen.runtime->set_frozen(true);
    chosen.is_frozen = true;
    w_.trace.add("freeze worker " + chosen.identity.worker.value());
    begin("freeze_worker", between(5, 120), [this, &chosen] {
        // The two processes resume in either order.
        if (random_.chance(0.5)) {
            w_.resume(chosen);
            chosen.runtime->set_frozen(false);
        } else {
            chosen.runtime->set_frozen(false);
            w_.resume(chosen);
        }
    });
}

void fault_source::table_down() {
    w_.rows.faults.is_down = true;
    begin("table_down", random_.chance(0.3) ? between(60, 150) : between(1, 20),
          [this] { w_.rows.faults.is_down = false; });
}

void fault_source::table_long_outage() {
    w_.rows.faults.is_down = true;
    begin("table_long_outage", between(300, 900), [this] { w_.rows.faults.is_down = false; });
}

void fault_source::table_slow() {
    w_.rows.faults.late = 0.1 + 0.6 * random_.unit();
    begin("table_slow", between(5, 60), [this] { w_.rows.faults.late = 0; });
}

void fault_source::table_loses_answers() {
    w_.rows.faults.lost_answer = 0.1 + 0.5 * random_.unit();
    begin("lost_answers", between(5, 60), [this] { w_.rows.faults.lost_answer = 0; });
}

void fault_source::table_loses_requests() {
    w_.rows.faults.lost_request = 0.1 + 0.5 * random_.unit();
    begin("lost_requests", between(5, 60), [this] { w_.rows.faults.lost_request = 0; });
}

void fault_source::network_cut() {
    std::vector<std::string> names;
    for (const auto& one : w_.entries) {
        names.push_back(one.info.id.value());
    }
    const std::string from = names[random_.below(names.size())];
    for (const auto& one : w_.agents) {
        names.push_back(one.identity.worker.value());
    }
    // One way, between an entry and either a few agents or another entry.
    const bool is_outgoing = random_.chance(0.5);
    const std::int64_t pairs = between(1, 8);
    std::vector<std::pair<std::string, std::string>> added;
    for (std::int64_t i = 0; i < pairs; ++i) {
        const std::string& other = names[random_.below(names.size())];
        added.emplace_back(is_outgoing ? from : other, is_outgoing ? other : from);
        w_.net.cut(added.back().first, added.back().second);
        w_.trace.add("cut " + added.back().first + " to " + added.back().second);
    }
    begin("one_way_cut", between(5, 120), [this, added] {
        for (const auto& [a, b] : added) {
            w_.net.mend(a, b);
        }
    });
}

void fault_source::network_bad() {
    w_.net.faults.loss = 0.4 * random_.unit();
    w_.net.faults.duplication = 0.4 * random_.unit();
    w_.net.faults.extra_delay_ms = random_.below(6'000);
    begin("bad_network", between(5, 60), [this] { w_.net.faults = {}; });
}

void fault_source::bad_worker() {
    agent_process& chosen = agent();
    chosen.runtime->fails_everything = true;
    begin("bad_worker", between(5, 60), [&chosen] { chosen.runtime->fails_everything = false; });
}

}  // namespace tanagerpaddle::soak
