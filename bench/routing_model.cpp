#include "routing_model.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <utility>

#include "routing_objects.hpp"

namespace routing_model {

namespace {

class simulation {
public:
    explicit simulation(const model_options& options)
        : options_(options), random_(options.seed), arrivals_(options.seed + 1'000) {}

    model_result run() {
        build();
        while (!events_.empty() && events_.top().at_ns < run_ns) {
            const event next = events_.top();
            events_.pop();
            time_.now_ns = next.at_ns;
            handle(next);
        }
        return std::move(result_);
    }

private:
    void build();
    [[nodiscard]] std::vector<route_target> targets_of_snapshot(bool is_drained) const;
    void handle(const event& next);
    void push(std::int64_t at_ns, event_kind kind, std::size_t index) {
        events_.push({at_ns, ++sequence_, kind, index});
    }
    void on_arrival();
    void on_target(std::size_t index);
    void on_served(std::size_t index);
    void on_answer(std::size_t index);
    void on_give_up(std::size_t index);
    void on_hedge(std::size_t index);
    void start_service(std::size_t index);
    [[nodiscard]] std::int64_t service_time(const attempt& one);
    // Sends a try, or nothing if no target was available.
    result_code send(std::size_t index);
    void first_try(std::size_t index);
    void wait(std::size_t index);
    void serve_waiting(entry_model& entry);
    void retry_or_fail(std::size_t index);
    void finish(std::size_t index, bool is_ok);
    void release(attempt& one, result_code code, std::int64_t latency_ns, bool has_busy);
    [[nodiscard]] admission_capacity capacity_of(const entry_model& entry) const;
    [[nodiscard]] bool is_within(std::int64_t from_s, std::int64_t to_s) const {
        return time_.now_ns >= from_s * second && time_.now_ns < to_s * second;
    }

    model_options options_;
    random_source random_;
    random_source arrivals_;
    event_clock time_;
    std::vector<target_model> targets_;
    std::deque<entry_model> entries_;
    std::deque<request> requests_;
    std::deque<attempt> attempts_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t sequence_ = 0;
    double requests_per_ns_ = 0;
    model_result result_;
};

const service_id service("quotes");

failure_domain_id domain_id(std::size_t number) {
    return failure_domain_id("domain-" + std::to_string(number));
}

std::vector<route_target> simulation::targets_of_snapshot(bool is_drained) const {
    std::vector<route_target> list;
    for (std::size_t number = 0; number < targets_.size(); ++number) {
        route_target target;
        target.id = target_id(std::to_string(number));
        target.service = service;
        target.domain = domain_id(targets_[number].domain);
        target.slots = slots;
        target.connections = connections;
        target.accepts = !is_drained || targets_[number].domain != 0;
        list.push_back(std::move(target));
    }
    return list;
}

void simulation::build() {
    for (std::size_t domain = 0; domain < options_.place.targets.size(); ++domain) {
        for (int count = 0; count < options_.place.targets[domain]; ++count) {
            targets_.emplace_back().domain = domain;
        }
    }
    const policy& used = options_.used;
    for (std::size_t domain = 0; domain < options_.place.targets.size(); ++domain) {
        pool_options pool;
        pool.selection = used.selection;
        pool.limit = used.limit;
        pool.outliers.is_enabled = used.ejects;
        entry_model& entry = entries_.emplace_back();
        entry.pool = std::make_unique<target_pool>(pool, time_, domain_id(domain));
        entry.pool->replace(targets_of_snapshot(false));
        if (used.has_retry_budget) {
            entry.retries = std::make_unique<retry_budget>(time_);
        } else {
            entry.retries = std::make_unique<unlimited_retries>();
        }
        entry.hedges = std::make_unique<hedge_policy>(*entry.retries);
        entry.admission = std::make_unique<admission_queue>(admission_options{}, time_);
    }
    const double capacity = static_cast<double>(targets_.size() * slots) / (mean_service_ms * ms);
    requests_per_ns_ = capacity * options_.load;
    push(0, event_kind::arrival, 0);
    push(15 * second, event_kind::shift, 0);
    push(30 * second, event_kind::shift, 0);
}

void simulation::handle(const event& next) {
    switch (next.kind) {
        case event_kind::arrival:
            return on_arrival();
        case event_kind::at_target:
            return on_target(next.index);
        case event_kind::served:
            return on_served(next.index);
        case event_kind::answer:
            return on_answer(next.index);
        case event_kind::give_up:
            return on_give_up(next.index);
        case event_kind::hedge:
            return on_hedge(next.index);
        case event_kind::shift:
            if (options_.kind == scenario::drained_domain) {
                for (auto& entry : entries_) {
                    entry.pool->replace(targets_of_snapshot(is_within(15, 30)));
                }
            }
            return;
    }
}

void simulation::on_arrival() {
    const double gap = -std::log(1 - arrivals_.unit()) / requests_per_ns_;
    push(time_.now_ns + std::llround(gap), event_kind::arrival, 0);
    request& one = requests_.emplace_back();
    one.entry = arrivals_.below(entries_.size());
    if (options_.kind == scenario::load_shift && is_within(15, 30) && arrivals_.chance(0.5)) {
        one.entry = 0;
    }
    one.arrived_ns = time_.now_ns;
    one.priority =
        arrivals_.chance(0.2) ? request_priority::interactive : request_priority::standard;
    const std::size_t index = requests_.size() - 1;
    push(time_.now_ns + budget_ns, event_kind::give_up, index);
    entries_[one.entry].retries->on_request();
    first_try(index);
}

result_code simulation::send(std::size_t index) {
    request& one = requests_[index];
    entry_model& entry = entries_[one.entry];
    auto acquired = entry.pool->acquire(service, one.tried, random_);
    if (!acquired.lease) {
        return acquired.reason;
    }
    attempt& next = attempts_.emplace_back();
    next.request = index;
    next.target = static_cast<std::size_t>(std::stoi(acquired.lease->target().id.value()));
    next.sent_ns = time_.now_ns;
    next.one_way_ns =
        acquired.lease->is_local() ? local_one_way_ns : nanoseconds(options_.place.one_way).count();
    if (one.arrived_ns >= warm_up_ns) {
        ++result_.tries;
        result_.cross_domain_tries += acquired.lease->is_local() ? 0 : 1;
    }
    one.tried.push_back(acquired.lease->target().id);
    next.lease = std::move(acquired.lease);
    ++one.tries;
    ++entry.outstanding;
    one.open.push_back(attempts_.size() - 1);
    push(time_.now_ns + next.one_way_ns, event_kind::at_target, attempts_.size() - 1);
    return result_code::ok;
}

void simulation::first_try(std::size_t index) {
    request& one = requests_[index];
    const result_code code = send(index);
    if (code == result_code::overloaded) {
        wait(index);
    } else if (code != result_code::ok) {
        finish(index, false);
    } else if (options_.used.hedges && one.tries == 1) {
        const auto due = entries_[one.entry].hedges->hedge_at(
            time_.now(), deadline(instant(nanoseconds(one.arrived_ns + budget_ns))), true,
            entries_[one.entry].p95);
        if (due) {
            push(due->time_since_epoch().count(), event_kind::hedge, index);
        }
    }
}

admission_capacity simulation::capacity_of(const entry_model& entry) const {
    // By Little's law the entry's requests end at the rate outstanding / latency.
    return {.slots = std::max<std::uint32_t>(1, entry.outstanding),
            .service_time = nanoseconds(std::llround(entry.mean_latency_ns))};
}

void simulation::wait(std::size_t index) {
    request& one = requests_[index];
    entry_model& entry = entries_[one.entry];
    if (!options_.used.admits_by_deadline) {
        entry.fifo.push_back(index);
        return;
    }
    const deadline until(instant(nanoseconds(one.arrived_ns + budget_ns)));
    const auto offered =
        entry.admission->offer({until, one.priority, team_id("team")}, capacity_of(entry));
    for (const auto ticket : offered.shed) {
        const auto shed = entry.waiting.find(ticket);
        finish(shed->second, false);
        entry.waiting.erase(shed);
    }
    if (!offered.ticket) {
        finish(index, false);
        return;
    }
    one.ticket = offered.ticket;
    entry.waiting.emplace(*offered.ticket, index);
}

void simulation::serve_waiting(entry_model& entry) {
    if (!options_.used.admits_by_deadline) {
        while (!entry.fifo.empty()) {
            const std::size_t index = entry.fifo.front();
            if (!requests_[index].is_done && send(index) != result_code::ok) {
                return;
            }
            entry.fifo.pop_front();
        }
        return;
    }
    while (entry.admission->size() > 0) {
        // Whether a slot is free shows only in acquire, so the ticket is taken after a trial.
        random_source trial(sequence_);
        if (!entry.pool->acquire(service, {}, trial, {.can_probe = false}).lease) {
            return;
        }
        const auto next = entry.admission->dequeue(capacity_of(entry));
        for (const auto ticket : next.expired) {
            const std::size_t index = entry.waiting.at(ticket);
            entry.waiting.erase(ticket);
            finish(index, false);
        }
        if (next.ticket) {
            const std::size_t index = entry.waiting.at(*next.ticket);
            entry.waiting.erase(*next.ticket);
            requests_[index].ticket.reset();
            first_try(index);
            // Nothing was free for this request, for example on targets it has not tried yet.
            if (requests_[index].ticket) {
                return;
            }
        }
    }
}

std::int64_t simulation::service_time(const attempt& one) {
    // Box-Muller transform; the mean of the log-normal distribution is mean_service_ms.
    const double normal = std::sqrt(-2 * std::log(1 - random_.unit())) *
                          std::cos(2 * 3.14159265358979 * random_.unit());
    const double mu = std::log(mean_service_ms) - service_sigma * service_sigma / 2;
    double time_ms = std::exp(mu + service_sigma * normal);
    if (options_.kind == scenario::slow_target && one.target == 0) {
        time_ms *= 5;
    }
    return std::llround(time_ms * ms);
}

void simulation::on_target(std::size_t index) {
    attempt& one = attempts_[index];
    target_model& target = targets_[one.target];
    if (options_.kind == scenario::failing_target && one.target == 0) {
        one.code = result_code::target_failed;
        one.busy = 1;
        push(time_.now_ns + ms + one.one_way_ns, event_kind::answer, index);
        return;
    }
    if (target.busy + target.queue.size() >= connections) {
        one.code = result_code::too_many_connections;
        one.busy = target.busy;
        push(time_.now_ns + one.one_way_ns, event_kind::answer, index);
        return;
    }
    target.queue.push_back(index);
    start_service(one.target);
}

void simulation::start_service(std::size_t index) {
    target_model& target = targets_[index];
    while (target.busy < slots && !target.queue.empty()) {
        const std::size_t next = target.queue.front();
        target.queue.pop_front();
        attempt& one = attempts_[next];
        // The target knows the deadline and drops what it could not answer in time.
        if (requests_[one.request].arrived_ns + budget_ns <= time_.now_ns) {
            continue;
        }
        ++target.busy;
        push(time_.now_ns + service_time(one), event_kind::served, next);
    }
}

void simulation::on_served(std::size_t index) {
    attempt& one = attempts_[index];
    target_model& target = targets_[one.target];
    --target.busy;
    start_service(one.target);
    one.busy = target.busy;
    if (options_.kind == scenario::retry_storm && is_within(15, 25) && random_.chance(0.5)) {
        one.code = result_code::target_failed;
    }
    push(time_.now_ns + one.one_way_ns, event_kind::answer, index);
}

void simulation::release(attempt& one, result_code code, std::int64_t latency_ns, bool has_busy) {
    entry_model& entry = entries_[requests_[one.request].entry];
    request_outcome outcome;
    outcome.code = code;
    outcome.latency = nanoseconds(latency_ns);
    if (has_busy) {
        outcome.busy_slots = one.busy;
    }
    entry.pool->release(*one.lease, outcome);
    one.lease.reset();
    --entry.outstanding;
}

void simulation::on_answer(std::size_t index) {
    attempt& one = attempts_[index];
    if (!one.lease) {
        return;
    }
    request& asked = requests_[one.request];
    entry_model& entry = entries_[asked.entry];
    const std::int64_t latency_ns = time_.now_ns - one.sent_ns;
    release(one, one.code, latency_ns, true);
    std::erase(asked.open, index);
    if (one.code == result_code::ok) {
        constexpr double weight = 0.01;
        entry.mean_latency_ns += weight * (static_cast<double>(latency_ns) - entry.mean_latency_ns);
        entry.p95.record(nanoseconds(latency_ns));
        finish(one.request, true);
    } else {
        retry_or_fail(one.request);
    }
    serve_waiting(entry);
}

void simulation::retry_or_fail(std::size_t index) {
    request& one = requests_[index];
    if (one.is_done || !one.open.empty()) {
        return;
    }
    if (one.tries >= most_tries || !entries_[one.entry].retries->try_retry()) {
        finish(index, false);
        return;
    }
    first_try(index);
}

void simulation::on_hedge(std::size_t index) {
    request& one = requests_[index];
    if (one.is_done || one.open.empty() || one.tries >= most_tries) {
        return;
    }
    if (entries_[one.entry].hedges->try_hedge()) {
        (void)send(index);
    }
}

void simulation::on_give_up(std::size_t index) {
    request& one = requests_[index];
    if (one.is_done) {
        return;
    }
    entry_model& entry = entries_[one.entry];
    if (one.ticket) {
        entry.admission->cancel(*one.ticket);
        entry.waiting.erase(*one.ticket);
    }
    for (const std::size_t open : std::exchange(one.open, {})) {
        release(attempts_[open], result_code::deadline_exceeded_running,
                time_.now_ns - attempts_[open].sent_ns, false);
    }
    finish(index, false);
    serve_waiting(entry);
}

void simulation::finish(std::size_t index, bool is_ok) {
    request& one = requests_[index];
    if (one.is_done) {
        return;
    }
    one.is_done = true;
    // The slower of a request and its hedge: its connection is closed, the target works on.
    for (const std::size_t open : std::exchange(one.open, {})) {
        release(attempts_[open], result_code::cancelled_not_run,
                time_.now_ns - attempts_[open].sent_ns, false);
    }
    if (one.arrived_ns < warm_up_ns) {
        return;
    }
    ++result_.requests;
    result_.errors += is_ok ? 0 : 1;
    if (one.priority == request_priority::interactive) {
        ++result_.interactive_requests;
        result_.interactive_errors += is_ok ? 0 : 1;
    }
    if (is_ok) {
        result_.latencies_ns.push_back(time_.now_ns - one.arrived_ns);
    }
}

}  // namespace

std::string name(scenario value) {
    switch (value) {
        case scenario::steady:
            return "steady";
        case scenario::slow_target:
            return "slow target";
        case scenario::failing_target:
            return "failing target";
        case scenario::retry_storm:
            return "retry storm";
        case scenario::drained_domain:
            return "drained domain";
        case scenario::load_shift:
            return "load shift";
    }
    return "unknown";
}

void model_result::add(const model_result& other) {
    latencies_ns.insert(latencies_ns.end(), other.latencies_ns.begin(), other.latencies_ns.end());
    requests += other.requests;
    errors += other.errors;
    interactive_requests += other.interactive_requests;
    interactive_errors += other.interactive_errors;
    tries += other.tries;
    cross_domain_tries += other.cross_domain_tries;
}

model_result run(const model_options& options) {
    return simulation(options).run();
}

}  // namespace routing_model
