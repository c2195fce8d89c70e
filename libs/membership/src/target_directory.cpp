#include <algorithm>
#include <set>

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle {

namespace {

// Incarnations kept for each worker; see record_incarnation.
constexpr std::size_t max_remembered_incarnations = 8;

std::vector<known_target> targets_of(const sync_request& request) {
    std::vector<known_target> result;
    result.reserve(request.targets.size());
    for (const auto& target : request.targets) {
        result.push_back({target, request.worker, request.incarnation, request.control,
                          request.domain, request.is_leaving});
    }
    return result;
}

// Compares all but the load figures, which change with each sync.
bool is_visibly_equal(const known_target& a, const known_target& b) {
    return a.target.id == b.target.id && a.target.service == b.target.service &&
           a.target.data == b.target.data && a.target.slots == b.target.slots &&
           a.target.is_healthy == b.target.is_healthy && a.worker == b.worker &&
           a.incarnation == b.incarnation && a.control == b.control && a.domain == b.domain &&
           a.is_leaving == b.is_leaving;
}

}  // namespace

target_directory::target_directory(target_directory_options options)
    : options_(options), pauses_(options.max_call_gap, options.sync_interval) {}

void target_directory::set_local_state(local_state state) {
    local_ = std::move(state);
}

// A new incarnation is appended as the newest; a known one keeps its rank, so that a delayed report
// about an earlier incarnation never takes precedence.
void target_directory::record_incarnation(const worker_id& worker, incarnation_number incarnation) {
    auto& known = history_[worker];
    if (std::find(known.begin(), known.end(), incarnation) != known.end()) {
        return;
    }
    known.push_back(incarnation);
    if (known.size() > max_remembered_incarnations) {
        known.erase(known.begin());
    }
}

// Returns 0 for an unknown incarnation.
std::size_t target_directory::incarnation_rank(const worker_id& worker,
                                               incarnation_number incarnation) const {
    const auto position = history_.find(worker);
    if (position == history_.end()) {
        return 0;
    }
    const auto& known = position->second;
    const auto found = std::find(known.begin(), known.end(), incarnation);
    return found == known.end() ? 0 : static_cast<std::size_t>(found - known.begin()) + 1;
}

epoch_number target_directory::epoch_of(const std::vector<partition_summary>& partitions,
                                        const worker_id& worker) const {
    const auto partition = partition_of(worker.value(), options_.partition_count);
    const auto found = std::find_if(
        partitions.begin(), partitions.end(),
        [&](const partition_summary& summary) { return summary.partition == partition; });
    return found == partitions.end() ? epoch_number() : found->epoch;
}

bool target_directory::record_sync(const sync_request& request, instant now,
                                   milliseconds next_sync) {
    pauses_.observe(now);
    const auto position = local_agents_.find(request.worker);
    if (position != local_agents_.end()) {
        const auto& last = position->second.agent.last_sync;
        const bool is_older = last.incarnation == request.incarnation
                                  ? request.sequence < last.sequence
                                  : incarnation_rank(request.worker, request.incarnation) != 0;
        if (is_older) {
            return false;
        }
    }
    record_incarnation(request.worker, request.incarnation);
    auto targets = targets_of(request);
    const bool is_changed =
        position == local_agents_.end()
            ? !targets.empty()
            : !std::equal(targets.begin(), targets.end(), position->second.targets.begin(),
                          position->second.targets.end(), is_visibly_equal);
    if (is_changed) {
        ++version_;
    }
    const auto interval = next_sync.count() > 0 ? next_sync : options_.sync_interval;
    local_agents_[request.worker] = {
        {request, now, interval}, pauses_.pause_adjusted(now), std::move(targets)};
    return true;
}

bool target_directory::is_expired(const agent_record& record, instant now) const {
    return pauses_.pause_adjusted(now) - record.last_contact_at >
           record.agent.sync_interval * options_.max_missed_syncs;
}

bool target_directory::is_expired(const entry_record& record, instant now) const {
    return pauses_.pause_adjusted(now) - record.last_contact_at > options_.entry_timeout;
}

std::vector<worker_id> target_directory::expire(instant now) {
    pauses_.observe(now);
    std::vector<worker_id> expired;
    for (const auto& [worker, record] : local_agents_) {
        if (is_expired(record, now)) {
            expired.push_back(worker);
        }
    }
    for (const auto& worker : expired) {
        remove(worker);
    }
    std::erase_if(entries_, [&](const auto& item) { return is_expired(item.second, now); });
    // Bounds the acknowledgements by the known entries; others are sent the full list again.
    std::erase_if(acknowledged_, [&](const auto& item) { return !entries_.contains(item.first); });
    remove_unlisted_workers();
    return expired;
}

void target_directory::remove(const worker_id& worker) {
    const auto position = local_agents_.find(worker);
    if (position == local_agents_.end()) {
        return;
    }
    if (!position->second.targets.empty()) {
        ++version_;
    }
    local_agents_.erase(position);
}

// Bounds the history by the workers that are local or listed by another entry.
void target_directory::remove_unlisted_workers() {
    std::erase_if(history_, [&](const auto& item) {
        return !local_agents_.contains(item.first) &&
               std::none_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
                   return entry.second.workers.contains(item.first);
               });
    });
}

entry_digest target_directory::make_digest(const entry_id& receiver) const {
    entry_digest result;
    result.from = local_.self;
    result.configuration = local_.configuration;
    result.partitions = local_.partitions;
    result.usage = local_.usage;
    result.is_leaving = local_.is_leaving;
    result.targets_version = version_;
    const auto position = acknowledged_.find(receiver);
    result.is_unchanged = position != acknowledged_.end() && position->second == version_;
    if (!result.is_unchanged) {
        for (const auto& [worker, record] : local_agents_) {
            result.targets.insert(result.targets.end(), record.targets.begin(),
                                  record.targets.end());
        }
    }
    return result;
}

std::uint64_t target_directory::apply_digest(const entry_digest& digest, instant now) {
    pauses_.observe(now);
    entry_record& record = entries_[digest.from.id];
    const bool is_new_incarnation = record.last.from.incarnation != digest.from.incarnation;
    if (!is_new_incarnation && digest.targets_version < record.received_version) {
        return record.received_version;  // arrived after a newer digest
    }
    if (is_new_incarnation) {
        // The list of the previous incarnation is kept until the new one sends its list.
        record.received_version = 0;
    }
    record.last_contact_at = pauses_.pause_adjusted(now);
    record.last = digest;
    record.last.targets.clear();
    if (!digest.is_unchanged) {
        record.workers.clear();
        for (const auto& target : digest.targets) {
            record_incarnation(target.worker, target.incarnation);
            auto& report = record.workers[target.worker];
            report.incarnation = target.incarnation;
            report.targets.push_back(target);
        }
        record.received_version = digest.targets_version;
        record.list_received_at = now;
    }
    return digest.targets_version == record.received_version ? record.received_version : 0;
}

void target_directory::record_reply(const entry_id& receiver, const digest_reply& reply) {
    acknowledged_[receiver] = reply.acknowledged;
}

std::vector<known_target> target_directory::targets(instant now) {
    pauses_.observe(now);
    std::map<worker_id, std::pair<rank, const std::vector<known_target>*>> best;
    const auto consider = [&](const worker_id& worker, const rank& candidate,
                              const std::vector<known_target>& list) {
        const auto [position, is_new] = best.try_emplace(worker, candidate, &list);
        if (!is_new && candidate > position->second.first) {
            position->second = {candidate, &list};
        }
    };
    for (const auto& [worker, record] : local_agents_) {
        if (!is_expired(record, now)) {
            consider(worker,
                     {incarnation_rank(worker, record.agent.last_sync.incarnation),
                      epoch_of(local_.partitions, worker), record.agent.synced_at},
                     record.targets);
        }
    }
    for (const auto& [id, record] : entries_) {
        if (is_expired(record, now)) {
            continue;
        }
        for (const auto& [worker, report] : record.workers) {
            consider(worker,
                     {incarnation_rank(worker, report.incarnation),
                      epoch_of(record.last.partitions, worker), record.list_received_at},
                     report.targets);
        }
    }
    std::vector<known_target> result;
    for (const auto& [worker, choice] : best) {
        result.insert(result.end(), choice.second->begin(), choice.second->end());
    }
    return result;
}

std::vector<local_agent> target_directory::local_agents(instant now) {
    pauses_.observe(now);
    std::vector<local_agent> result;
    for (const auto& [worker, record] : local_agents_) {
        if (!is_expired(record, now)) {
            result.push_back(record.agent);
        }
    }
    return result;
}

std::vector<entry_digest> target_directory::entry_digests(instant now) {
    pauses_.observe(now);
    std::vector<entry_digest> result;
    for (const auto& [id, record] : entries_) {
        if (!is_expired(record, now)) {
            result.push_back(record.last);
        }
    }
    return result;
}

}  // namespace tanagerpaddle
