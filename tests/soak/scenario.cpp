#include "scenario.hpp"

#include <algorithm>

namespace tanagerpaddle::soak {

namespace {

using std::chrono::seconds;

// Bounds that the requirements state.
constexpr milliseconds configuration_bound{10'000};
constexpr milliseconds urgent_bound{3'000};
// Without faults for this long, agents have found their owners' entries again.
constexpr milliseconds reconnection{15'000};
// All jobs end within this virtual time after the last fault: the longest horizon, quarantine,
// holds, and the queue of a run at half load.
constexpr milliseconds settling_bound = std::chrono::minutes(30);

}  // namespace

scenario::scenario(const world_options& options)
    : w_(options),
      faults_(w_, hash_bytes("faults" + std::to_string(options.seed))),
      random_(hash_bytes("work" + std::to_string(options.seed))) {}

run_result scenario::run() {
    run_result result;
    try {
        run_all();
    } catch (const std::exception& failure) {
        result.violation = failure.what();
    }
    result.last_lines.assign(w_.trace.last_lines().begin(), w_.trace.last_lines().end());
    result.steps = w_.steps;
    result.messages = w_.net.sent;
    result.trace_hash = w_.trace.hash();
    result.virtual_time = w_.time.now - std::chrono::hours(1);
    result.settled_after = settled_after_;
    result.jobs = jobs_.size();
    result.faults = faults_.counts();
    result.tasks = w_.seen.counts();
    for (const auto& row : w_.jobs()) {
        result.tasks.lost += row.ended_tasks.lost;
    }
    return result;
}

void scenario::run_all() {
    set_drains({});
    run_for(seconds(20));
    check_urgent_starts();
    has_faults_ = true;
    run_for(seconds(w_.options.fault_seconds));
    has_faults_ = false;
    faults_.heal();
    set_drains({});
    const milliseconds healed_at = w_.time.now;
    while (active_jobs() > 0 && w_.time.now < healed_at + settling_bound) {
        run_for(seconds(5));
    }
    settled_after_ = w_.time.now - healed_at;
    check_nothing_is_lost();
    run_for(seconds(30));
    check_all_is_free();
    check_urgent_starts();
}

void scenario::run_for(milliseconds duration) {
    const milliseconds end = w_.time.now + duration;
    while (w_.time.now < end) {
        step();
    }
}

void scenario::step() {
    w_.step();
    if (has_faults_) {
        faults_.step();
        work();
    }
    const auto row = w_.rows.rows.read(std::string(configuration_key));
    if (row && row->value != last_row_) {
        last_row_ = row->value;
        changed_at_ = w_.time.now;
    }
    if (faults_.is_quiet() && w_.time.now > faults_.quiet_since() + reconnection &&
        w_.time.now > changed_at_ + configuration_bound) {
        check_configuration_in_force();
    }
}

void scenario::work() {
    // Half of the capacity on average: 1.75 processors for 30 s and 2.5 tasks a job.
    if (random_.chance(0.0012 * static_cast<double>(w_.agents.size()))) {
        submit_random();
    }
    if (random_.chance(0.002)) {
        for (std::uint64_t i = random_.below(w_.agents.size()) + 1; i > 0; --i) {
            submit_random();
        }
    }
    if (random_.chance(0.003)) {
        cancel_wave();
    }
    if (random_.chance(0.004)) {
        race_of_operators();
    }
}

scenario::submitted_job scenario::make_job() {
    submitted_job made;
    job_declaration& job = made.declaration;
    job.id = job_id("job-" + std::to_string(next_job_++));
    job.team = team_id(random_.chance(0.2) ? "packers" : "growers");
    job.task_count = static_cast<std::uint32_t>(1 + random_.below(4));
    job.demand = {millicores(static_cast<std::int64_t>(500 + 500 * random_.below(6))),
                  mebibytes(static_cast<std::int64_t>(100 + random_.below(4'000))),
                  accelerator_count(random_.chance(0.05) ? 1 : 0)};
    job.is_idempotent = random_.chance(0.75);
    job.can_checkpoint = random_.chance(0.75);
    job.priority = random_.chance(0.15) ? job_priority::urgent : job_priority::normal;
    const auto real = static_cast<std::int64_t>(2'000 + random_.below(56'000));
    job.command = std::to_string(real);
    job.run_time = milliseconds(random_.chance(0.3) ? real / 10 + 1
                                                    : (random_.chance(0.3) ? real * 10 : real));
    job.complete_by = utc_millis((w_.time.now + seconds(60 + random_.below(600))).count());
    if (random_.chance(0.05)) {
        job.kind = job_kind::hold;
        job.complete_by = utc_millis((w_.time.now + seconds(20 + random_.below(200))).count());
    } else if (random_.chance(0.03)) {
        job.demand.processors = millicores(100'000);
        made.can_run = false;
    }
    return made;
}

void scenario::submit_random() {
    submit(make_job());
}

void scenario::submit(submitted_job job) {
    entry_process* entry = w_.any_entry();
    if (!entry) {
        return;
    }
    w_.seen.add_job(job.declaration);
    const submit_result result = entry->scheduler->submit(job.declaration, false);
    w_.trace.add("submit " + job.declaration.id.value() + " " + std::string(name(result.code)));
    job.is_accepted = result.code == result_code::ok;
    jobs_[job.declaration.id] = job;
}

void scenario::cancel_wave() {
    entry_process* entry = w_.any_entry();
    if (!entry || next_job_ == 0) {
        return;
    }
    std::vector<job_id> ids;
    for (std::uint64_t i = 1 + random_.below(5); i > 0; --i) {
        const std::uint64_t back = 1 + random_.below(std::min<std::size_t>(next_job_, 20));
        ids.emplace_back("job-" + std::to_string(next_job_ - back));
    }
    w_.trace.add("cancel " + std::to_string(ids.size()) + " jobs from " + ids.front().value());
    static_cast<void>(entry->scheduler->cancel_many(ids));
}

bool scenario::apply(const std::optional<table_row>& seen, std::vector<failure_domain_id> drained,
                     const std::string& who) {
    const config_version before =
        seen ? decode<configuration_row>(seen->value).version : config_version();
    auto next = std::make_shared<configuration>();
    const resources quota{millicores(8'000), mebibytes(32'000), accelerator_count(2)};
    next->teams.push_back({team_id("growers"), {}, true});
    next->teams.push_back({team_id("packers"), quota, false});
    next->drains = drained;
    configuration_row row;
    row.version = before.next();
    row.document = "document-" + std::to_string(++next_document_);
    row.changed_by = who;
    w_.documents[row.document] = next;
    table_transaction change;
    change.conditions.push_back(
        {std::string(configuration_key), seen ? seen->version : row_version()});
    change.puts.push_back({std::string(configuration_key), encode(row)});
    for (int i = 0; i < 3; ++i) {
        const failure_domain_id domain("domain-" + std::to_string(i));
        const bool is_drained = next->is_drained(domain);
        const auto stored = w_.rows.rows.read(domain_key(domain));
        if (!stored || decode<domain_row>(stored->value).is_drained != is_drained) {
            change.puts.push_back(
                {domain_key(domain), encode(domain_row{is_drained, row.version})});
        }
    }
    const bool committed = w_.rows.commit(change, who, [](std::size_t) {}).committed;
    w_.trace.add(who + " applies version " + std::to_string(row.version.value()) +
                 (committed ? "" : ": conflict"));
    return committed;
}

void scenario::race_of_operators() {
    const std::vector<failure_domain_id> first =
        random_.chance(0.5) ? std::vector<failure_domain_id>{}
                            : std::vector<failure_domain_id>{
                                  failure_domain_id("domain-" + std::to_string(random_.below(3)))};
    const std::vector<failure_domain_id> second{
        failure_domain_id("domain-" + std::to_string(random_.below(3)))};
    int accepted = 0;
    std::optional<table_row> seen;
    try {
        w_.rows.pass_request();
        seen = w_.rows.rows.read(std::string(configuration_key));
    } catch (const error&) {
        return;
    }
    for (const auto& [who, drained] : {std::pair{"operator-a", first}, {"operator-b", second}}) {
        try {
            accepted += apply(seen, drained, who) ? 1 : 0;
        } catch (const error&) {
            // Refused, or the outcome is unknown; the operator looks again later.
        }
    }
    check_invariant(accepted <= 1, "configuration: both of two racing changes were accepted");
}

void scenario::set_drains(std::vector<failure_domain_id> drained) {
    while (true) {
        try {
            if (apply(w_.rows.rows.read(std::string(configuration_key)), drained, "operator")) {
                return;
            }
        } catch (const error&) {
            step();
        }
    }
}

void scenario::check_configuration_in_force() {
    const auto current = decode<configuration_row>(last_row_).version;
    for (const auto& entry : w_.entries) {
        check_invariant(entry.scheduler && entry.scheduler->configured_version() == current,
                        "configuration: " + entry.info.id.value() + " lacks version " +
                            std::to_string(current.value()));
    }
    for (const auto& agent : w_.agents) {
        check_invariant(agent.tasks && agent.tasks->current_configuration().version == current,
                        "configuration: " + agent.identity.worker.value() + " lacks version " +
                            std::to_string(current.value()));
    }
}

void scenario::check_urgent_starts() {
    for (int i = 0; i < 3; ++i) {
        submitted_job job = make_job();
        job.declaration.kind = job_kind::batch;
        job.declaration.team = team_id("growers");
        job.declaration.priority = job_priority::urgent;
        job.declaration.demand = {millicores(500), mebibytes(100), accelerator_count(0)};
        job.can_run = true;
        const milliseconds submitted_at = w_.time.now;
        submit(job);
        const job_id& id = job.declaration.id;
        check_invariant(jobs_[id].is_accepted, "urgent: " + id.value() + " was not accepted");
        while (!w_.seen.has_started(id) && w_.time.now < submitted_at + urgent_bound) {
            step();
        }
        check_invariant(w_.seen.has_started(id), "urgent: " + id.value() + " did not start in 3 s");
    }
}

std::size_t scenario::active_jobs() {
    std::size_t active = 0;
    for (const auto& row : w_.jobs()) {
        const auto known = jobs_.find(row.declaration.id);
        const bool can_run = known == jobs_.end() || known->second.can_run;
        active += row.state == job_state::active && can_run ? 1 : 0;
    }
    return active;
}

void scenario::check_nothing_is_lost() {
    std::map<job_id, job_row> stored;
    for (auto& row : w_.jobs()) {
        stored[row.declaration.id] = row;
    }
    for (const auto& [id, job] : jobs_) {
        const auto row = stored.find(id);
        check_invariant(row != stored.end() || !job.is_accepted,
                        "lost job: " + id.value() + " was accepted and is not in the table");
        if (row == stored.end() || !job.can_run) {
            continue;
        }
        check_invariant(row->second.state != job_state::active,
                        "lost job: " + id.value() + " is active long after all faults");
        check_invariant(row->second.ended_tasks.lost == 0 || !job.declaration.is_idempotent,
                        "lost job: " + id.value() + " is idempotent and reported lost");
    }
}

void scenario::check_all_is_free() {
    for (const auto& agent : w_.agents) {
        check_invariant(agent.ledger->free() == agent.capacity,
                        "ledger: " + agent.identity.worker.value() + " has only " +
                            to_string(agent.ledger->free()) + " free without tasks");
    }
}

}  // namespace tanagerpaddle::soak
