#include "world.hpp"

#include <algorithm>
#include <utility>

namespace tanagerpaddle::soak {

namespace {

constexpr milliseconds step_length{100};
constexpr milliseconds listing_interval{10'000};
constexpr milliseconds poll_interval{1'000};
constexpr milliseconds digest_interval{2'000};
// An agent gives a sync up after this long.
constexpr milliseconds sync_deadline{2'000};

// Two clocks differ in rate by less than 1%.
double chosen_rate(random_source& random) {
    return 0.9955 + 0.009 * random.unit();
}

// Gives the sources of randomness of one run different seeds.
std::uint64_t derived_seed(std::uint64_t seed, std::string_view purpose) {
    return hash_bytes(std::to_string(seed) + std::string(purpose));
}

}  // namespace

world::world(const world_options& chosen)
    : options(chosen),
      trace(time, chosen.trace_file),
      seen(time, trace),
      rows(time, seen, trace, derived_seed(chosen.seed, "table")),
      net(time, derived_seed(chosen.seed, "network")),
      random(derived_seed(chosen.seed, "world")) {
    scheduling.partition_count =
        static_cast<std::uint32_t>(std::max<std::size_t>(2, chosen.entries));
    scheduling.mechanisms = chosen.scheduler;
    scheduling.write_rows_per_second = 300.0 / static_cast<double>(chosen.entries);
    entries.resize(chosen.entries);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entry_process& entry = entries[i];
        entry.info.id = entry_id("entry-" + std::to_string(i));
        entry.info.control = {entry.info.id.value(), 1};
        entry.time = std::make_unique<skewed_clock>(time, chosen_rate(random));
        entry_index_[entry.info.id.value()] = i;
        start_entry(entry);
    }
    agents.resize(chosen.workers);
    for (std::size_t i = 0; i < agents.size(); ++i) {
        agent_process& agent = agents[i];
        agent.identity.worker = worker_id("w" + std::to_string(i));
        agent.identity.domain = failure_domain_id("domain-" + std::to_string(i % 3));
        agent.identity.rack = rack_id("rack-" + std::to_string(i / 3));
        agent.identity.control = {agent.identity.worker.value(), 1};
        agent.capacity = {millicores(4'000), mebibytes(16'000),
                          accelerator_count(i % 4 == 0 ? 1 : 0)};
        agent.time = std::make_unique<skewed_clock>(time, chosen_rate(random));
        agent.runtime_time = std::make_unique<skewed_clock>(time, chosen_rate(random));
        seen.add_worker(agent.identity.worker, agent.capacity, agent.identity.domain);
        agent.runtime = std::make_unique<simulated_runtime>(
            agent.identity.worker, *agent.runtime_time, seen,
            derived_seed(chosen.seed, agent.identity.worker.value()));
        agent_index_[agent.identity.worker.value()] = i;
        start_agent(agent);
    }
}

void world::start_entry(entry_process& entry) {
    entry.info.incarnation = incarnation_number(++next_life_);
    entry.port =
        std::make_unique<table_port>(rows, time, entry.info.id.value(),
                                     scheduling.write_rows_per_second, scheduling.write_burst_rows);
    entry.directory = std::make_unique<entry_directory>(entry.info);
    entry.scheduler = std::make_unique<entry_scheduler>(scheduling, entry.info, *entry.port,
                                                        strategy, *entry.time, next_life_);
    entry.is_frozen = false;
    entry.is_registered = false;
    entry.held_back.clear();
    entry.digests.clear();
    entry.highest_seen = {};
    entry.next_tick = entry.next_digest = entry.next_listing = entry.next_poll = entry.time->now();
    trace.add("entry " + entry.info.id.value() + " starts as " + std::to_string(next_life_));
}

void world::start_agent(agent_process& agent) {
    agent.incarnation = incarnation_number(++next_life_);
    agent.tasks.reset();
    agent.ledger = std::make_unique<instance_ledger>(agent.capacity);
    agent_options chosen;
    chosen.mechanisms = options.agent;
    agent.tasks = std::make_unique<agent_tasks>(chosen, agent.identity, *agent.ledger,
                                                *agent.runtime, *agent.time, agent.incarnation);
    agent.is_frozen = false;
    agent.is_worker_dead = false;
    agent.is_woken = false;
    agent.held_back.clear();
    agent.entry = entries[random.below(entries.size())].info.id.value();
    agent.asked_at.reset();
    agent.next_tick = agent.time->now();
    agent.highest_seen = {};
    agent.answered_at = {};
    trace.add("agent " + agent.identity.worker.value() + " starts as " +
              std::to_string(next_life_));
}

void world::resume(entry_process& entry) {
    if (!entry.is_frozen) {
        return;
    }
    entry.is_frozen = false;
    trace.add("entry " + entry.info.id.value() + " resumes");
    // What arrived meanwhile and what was due are taken up in either order.
    if (random.chance(0.5) && entry.scheduler) {
        run(entry);
    }
    for (const auto& arrived : std::exchange(entry.held_back, {})) {
        deliver(arrived);
    }
}

void world::resume(agent_process& agent) {
    if (!agent.is_frozen) {
        return;
    }
    agent.is_frozen = false;
    trace.add("agent " + agent.identity.worker.value() + " resumes");
    if (random.chance(0.5) && agent.tasks) {
        run(agent);
    }
    for (const auto& arrived : std::exchange(agent.held_back, {})) {
        deliver(arrived);
    }
}

entry_process* world::any_entry() {
    const std::size_t first = random.below(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entry_process& entry = entries[(first + i) % entries.size()];
        if (entry.scheduler && !entry.is_frozen) {
            return &entry;
        }
    }
    return nullptr;
}

std::vector<job_row> world::jobs() {
    std::vector<job_row> result;
    for (const auto& row : scan_all(rows.rows, "job/")) {
        result.push_back(decode<job_row>(row.value));
    }
    return result;
}

void world::step() {
    ++steps;
    time.now += step_length;
    rows.apply_late_commits();
    for (auto& agent : agents) {
        agent.runtime->advance(step_length);
    }
    for (auto& arrived : net.arrivals()) {
        deliver(std::move(arrived));
    }
    std::vector<std::size_t> order(entries.size() + agents.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
        std::swap(order[i], order[random.below(i + 1)]);
    }
    for (const std::size_t i : order) {
        if (i < entries.size()) {
            if (entries[i].scheduler && !entries[i].is_frozen) {
                run(entries[i]);
            }
        } else {
            agent_process& agent = agents[i - entries.size()];
            if (agent.tasks && !agent.is_frozen) {
                run(agent);
            }
        }
    }
    check_versions();
    check_ledgers();
}

void world::deliver(message arrived) {
    const auto to_entry = entry_index_.find(arrived.to);
    if (to_entry != entry_index_.end()) {
        entry_process& entry = entries[to_entry->second];
        if (entry.scheduler && entry.is_frozen) {
            entry.held_back.push_back(std::move(arrived));
        } else if (entry.scheduler) {
            handle(entry, arrived);
        }
        return;
    }
    agent_process& agent = agents[agent_index_.at(arrived.to)];
    const bool is_for_this_life =
        arrived.to_life == 0 || arrived.to_life == agent.incarnation.value();
    if (agent.tasks && agent.is_frozen && is_for_this_life) {
        agent.held_back.push_back(std::move(arrived));
    } else if (agent.tasks && is_for_this_life) {
        handle(agent, arrived);
    }
}

void world::handle(entry_process& entry, const message& arrived) {
    const instant now = entry.time->now();
    if (const auto* request = std::get_if<sync_request>(&arrived.body)) {
        sync_answer answer{entry.scheduler->sync(*request), request->sequence};
        net.send({entry.info.id.value(), arrived.from, arrived.from_life, 0, std::move(answer)});
    } else if (const auto* digest = std::get_if<entry_digest>(&arrived.body)) {
        entry.directory->record_heartbeat(digest->from, now, digest->is_leaving);
        entry.digests[digest->from.id] = *digest;
        if (digest->configuration > entry.scheduler->configured_version()) {
            entry.next_poll = now;
        }
    } else if (const auto* notice = std::get_if<entry_notice>(&arrived.body)) {
        for (const auto shard : notice->changed_shards) {
            entry.scheduler->mark_shard_changed(shard);
        }
    }
}

void world::handle(agent_process& agent, const message& arrived) {
    if (std::holds_alternative<wake_call>(arrived.body)) {
        agent.is_woken = true;
    } else if (const auto* call = std::get_if<inventory_call>(&arrived.body)) {
        if (agent.tasks->is_recovered() && agent.tasks->accept_inventory(call->epoch)) {
            agent.entry = arrived.from;
            agent.is_woken = true;
        }
    } else if (const auto* answer = std::get_if<sync_answer>(&arrived.body)) {
        if (answer->sequence == agent.sequence) {
            agent.asked_at.reset();
        }
        agent.tasks->on_reply(answer->reply, answer->sequence);
        if (answer->reply.redirect) {
            agent.is_woken = agent.entry != answer->reply.redirect->id.value();
            agent.entry = answer->reply.redirect->id.value();
        } else if (answer->reply.code == result_code::ok) {
            agent.answered_at = time.now;
        }
    }
}

void world::run(agent_process& agent) {
    const instant now = agent.time->now();
    if (!agent.tasks->is_recovered() && !agent.tasks->recover()) {
        return;
    }
    if (now >= agent.next_tick) {
        agent.tasks->tick();
        agent.next_tick = now + agent_options().tick_interval;
    }
    if (agent.asked_at) {
        if (now < *agent.asked_at + sync_deadline) {
            return;
        }
        agent.asked_at.reset();
        agent.entry = entries[random.below(entries.size())].info.id.value();
    }
    if (agent.is_woken || agent.tasks->has_unsent_reports() ||
        agent.tasks->next_sync_at().has_passed(now)) {
        agent.is_woken = false;
        agent.asked_at = now;
        sync_request request = agent.tasks->next_sync_request();
        agent.sequence = request.sequence;
        net.send({agent.identity.worker.value(), agent.entry, 0, agent.incarnation.value(),
                  std::move(request)});
    }
}

void world::run(entry_process& entry) {
    const instant now = entry.time->now();
    if (now >= entry.next_listing) {
        entry.next_listing = now + listing_interval;
        list_entries(entry);
    }
    if (now >= entry.next_poll) {
        entry.next_poll = now + poll_interval;
        poll_configuration(entry);
    }
    if (now >= entry.next_digest) {
        entry.next_digest = now + digest_interval;
        send_digests(entry);
    }
    if (now >= entry.next_tick) {
        entry.next_tick = now + scheduling.tick_interval;
        tick(entry);
    }
}

void world::tick(entry_process& entry) {
    const instant now = entry.time->now();
    entry.scheduler->set_live_entries(entry.directory->live(now));
    const tick_result result = entry.scheduler->tick();
    const std::string& self = entry.info.id.value();
    for (const auto& wake : result.agents_to_wake) {
        net.send({self, wake.worker.value(), 0, 0, wake_call{}});
    }
    for (const auto& query : result.inventory_queries) {
        net.send({self, query.agent.worker.value(), 0, 0, inventory_call{query.epoch}});
    }
    if (!result.changed_shards.empty()) {
        for (const auto& other : entries) {
            if (other.info.id != entry.info.id) {
                net.send(
                    {self, other.info.id.value(), 0, 0, entry_notice{{}, result.changed_shards}});
            }
        }
    }
}

void world::list_entries(entry_process& entry) {
    try {
        if (!entry.is_registered) {
            table_transaction registration;
            registration.puts.push_back({entry_key(entry.info.id), encode(entry.info)});
            // The registration is no write of the scheduler and outside its budget.
            entry.is_registered =
                rows.commit(registration, entry.info.id.value(), [](std::size_t) {}).committed;
        }
        std::vector<entry_info> found;
        for (const auto& row : scan_all(*entry.port, "entry/")) {
            found.push_back(decode<entry_info>(row.value));
        }
        entry.directory->set_registered(found, entry.time->now());
    } catch (const error&) {
        entry.next_listing = entry.time->now() + poll_interval;
    }
}

void world::poll_configuration(entry_process& entry) {
    try {
        const auto row = entry.port->read(std::string(configuration_key));
        if (row) {
            const auto current = decode<configuration_row>(row->value);
            entry.scheduler->set_configuration(documents.at(current.document), current.version);
        }
    } catch (const error&) {
        return;  // The next poll tries again.
    }
}

void world::send_digests(entry_process& entry) {
    entry_digest digest;
    digest.from = entry.info;
    digest.configuration = entry.scheduler->configured_version();
    digest.partitions = entry.scheduler->partitions();
    digest.usage = entry.scheduler->usage();
    for (const auto& other : entry.directory->all()) {
        if (other.id != entry.info.id) {
            net.send({entry.info.id.value(), other.id.value(), 0, 0, digest});
        }
    }
    std::vector<partition_summary> partitions;
    std::vector<team_usage> usage;
    for (const auto& live : entry.directory->live(entry.time->now())) {
        const auto known = entry.digests.find(live.id);
        if (known != entry.digests.end()) {
            partitions.insert(partitions.end(), known->second.partitions.begin(),
                              known->second.partitions.end());
            usage.insert(usage.end(), known->second.usage.begin(), known->second.usage.end());
        }
    }
    entry.scheduler->set_remote_partitions(std::move(partitions), std::move(usage));
}

void world::check_versions() {
    for (auto& entry : entries) {
        if (entry.scheduler) {
            check_invariant(entry.scheduler->configured_version() >= entry.highest_seen,
                            "configuration: it went back in " + entry.info.id.value());
            entry.highest_seen = entry.scheduler->configured_version();
        }
    }
    for (auto& agent : agents) {
        if (agent.tasks) {
            check_invariant(agent.tasks->current_configuration().version >= agent.highest_seen,
                            "configuration: it went back in " + agent.identity.worker.value());
            agent.highest_seen = agent.tasks->current_configuration().version;
        }
    }
}

void world::check_ledgers() {
    for (const auto& agent : agents) {
        if (agent.tasks) {
            check_invariant(agent.ledger->committed().fits_in(agent.capacity),
                            "resources: the ledger of " + agent.identity.worker.value());
        }
    }
}

}  // namespace tanagerpaddle::soak
