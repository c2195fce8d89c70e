#include <algorithm>
#include <set>

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle {

namespace {

// Incarnations that are remembered for each worker; see note_incarnation.
constexpr std::size_t remembered_incarnations = 8;

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

// An incarnation that was never seen before is the newest; one that is known keeps its place, so
// a delayed statement about a former life never wins.
void target_directory::note_incarnation(const worker_id& worker, incarnation_number incarnation) {
    auto& known = history_[worker];
    if (std::find(known.begin(), known.end(), incarnation) != known.end()) {
        return;
    }
    known.push_back(incarnation);
    if (known.size() > remembered_incarnations) {
        known.erase(known.begin());
    }
}

// 0 for an incarnation that is not remembered.
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
    const auto position = own_.find(request.worker);
    if (position != own_.end()) {
        const auto& last = position->second.agent.last_sync;
        const bool is_older = last.incarnation == request.incarnation
                                  ? request.sequence < last.sequence
                                  : incarnation_rank(request.worker, request.incarnation) != 0;
        if (is_older) {
            return false;
        }
    }
    note_incarnation(request.worker, request.incarnation);
    auto targets = targets_of(request);
    const bool is_changed =
        position == own_.end()
            ? !targets.empty()
            : !std::equal(targets.begin(), targets.end(), position->second.targets.begin(),
                          position->second.targets.end(), is_visibly_equal);
    if (is_changed) {
        ++version_;
    }
    const auto interval = next_sync.count() > 0 ? next_sync : options_.sync_interval;
    own_[request.worker] = {
        {request, now, interval}, pauses_.pause_adjusted(now), std::move(targets)};
    return true;
}

bool target_directory::is_silent(const agent_record& record, instant now) const {
    return pauses_.pause_adjusted(now) - record.heard_at >
           record.agent.sync_interval * options_.max_missed_syncs;
}

bool target_directory::is_silent(const entry_record& record, instant now) const {
    return pauses_.pause_adjusted(now) - record.heard_at > options_.entry_timeout;
}

std::vector<worker_id> target_directory::expire(instant now) {
    pauses_.observe(now);
    std::vector<worker_id> dropped;
    for (const auto& [worker, record] : own_) {
        if (is_silent(record, now)) {
            dropped.push_back(worker);
        }
    }
    for (const auto& worker : dropped) {
        remove(worker);
    }
    std::erase_if(entries_, [&](const auto& item) { return is_silent(item.second, now); });
    // Bounds the acknowledgements by the entries that are heard; others get the whole list again.
    std::erase_if(acknowledged_, [&](const auto& item) { return !entries_.contains(item.first); });
    forget_unknown_workers();
    return dropped;
}

void target_directory::remove(const worker_id& worker) {
    const auto position = own_.find(worker);
    if (position == own_.end()) {
        return;
    }
    if (!position->second.targets.empty()) {
        ++version_;
    }
    own_.erase(position);
}

// Bounds the history by the workers that somebody lists.
void target_directory::forget_unknown_workers() {
    std::erase_if(history_, [&](const auto& item) {
        return !own_.contains(item.first) &&
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
        for (const auto& [worker, record] : own_) {
            result.targets.insert(result.targets.end(), record.targets.begin(),
                                  record.targets.end());
        }
    }
    return result;
}

std::uint64_t target_directory::apply_digest(const entry_digest& digest, instant now) {
    pauses_.observe(now);
    entry_record& record = entries_[digest.from.id];
    const bool is_other_life = record.last.from.incarnation != digest.from.incarnation;
    if (!is_other_life && digest.targets_version < record.held_version) {
        return record.held_version;  // overtaken by a newer digest
    }
    if (is_other_life) {
        // The list of the former life stands until the new one sends its own.
        record.held_version = 0;
    }
    record.heard_at = pauses_.pause_adjusted(now);
    record.last = digest;
    record.last.targets.clear();
    if (!digest.is_unchanged) {
        record.workers.clear();
        for (const auto& target : digest.targets) {
            note_incarnation(target.worker, target.incarnation);
            auto& statement = record.workers[target.worker];
            statement.incarnation = target.incarnation;
            statement.targets.push_back(target);
        }
        record.held_version = digest.targets_version;
        record.listed_at = now;
    }
    return digest.targets_version == record.held_version ? record.held_version : 0;
}

void target_directory::record_reply(const entry_id& receiver, const digest_reply& reply) {
    acknowledged_[receiver] = reply.acknowledged;
}

std::vector<known_target> target_directory::targets(instant now) {
    pauses_.observe(now);
    std::map<worker_id, std::pair<rank, const std::vector<known_target>*>> best;
    const auto offer = [&](const worker_id& worker, const rank& offered,
                           const std::vector<known_target>& list) {
        const auto [position, is_new] = best.try_emplace(worker, offered, &list);
        if (!is_new && offered > position->second.first) {
            position->second = {offered, &list};
        }
    };
    for (const auto& [worker, record] : own_) {
        if (!is_silent(record, now)) {
            offer(worker,
                  {incarnation_rank(worker, record.agent.last_sync.incarnation),
                   epoch_of(local_.partitions, worker), record.agent.synced_at},
                  record.targets);
        }
    }
    for (const auto& [id, record] : entries_) {
        if (is_silent(record, now)) {
            continue;
        }
        for (const auto& [worker, statement] : record.workers) {
            offer(worker,
                  {incarnation_rank(worker, statement.incarnation),
                   epoch_of(record.last.partitions, worker), record.listed_at},
                  statement.targets);
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
    for (const auto& [worker, record] : own_) {
        if (!is_silent(record, now)) {
            result.push_back(record.agent);
        }
    }
    return result;
}

std::vector<entry_digest> target_directory::entry_digests(instant now) {
    pauses_.observe(now);
    std::vector<entry_digest> result;
    for (const auto& [id, record] : entries_) {
        if (!is_silent(record, now)) {
            result.push_back(record.last);
        }
    }
    return result;
}

}  // namespace tanagerpaddle
