#include <algorithm>

#include "tanagerpaddle/membership.hpp"

namespace tanagerpaddle {

namespace {

// Replaced incarnations kept for each entry. A message of an older one would be treated as a new
// incarnation only if it was delayed over this many restarts.
constexpr std::size_t max_remembered_incarnations = 8;

bool is_replaced(const std::vector<incarnation_number>& replaced, incarnation_number incarnation) {
    return std::find(replaced.begin(), replaced.end(), incarnation) != replaced.end();
}

}  // namespace

entry_directory::entry_directory(entry_info self, entry_directory_options options)
    : self_(std::move(self)),
      options_(options),
      pauses_(options.max_call_gap, options.digest_interval) {}

void entry_directory::set_incarnation(record& value, const entry_info& entry, instant now) {
    if (value.info.incarnation != entry.incarnation) {
        value.last_contact_at = pauses_.pause_adjusted(now);
        value.failed_calls = 0;
        value.is_leaving = false;
    }
    value.info = entry;
}

void entry_directory::accept_row(const entry_info& entry, instant now) {
    const auto [position, is_new] = entries_.try_emplace(entry.id);
    record& value = position->second;
    value.is_registered = true;
    if (is_new) {
        value.info = entry;
        value.last_contact_at = pauses_.pause_adjusted(now);
        return;
    }
    const bool is_other = value.info.incarnation != entry.incarnation;
    if (is_other && ((value.heard_incarnation == value.info.incarnation && is_live(value, now)) ||
                     is_replaced(value.replaced_incarnations, entry.incarnation))) {
        return;
    }
    set_incarnation(value, entry, now);
}

void entry_directory::set_registered(const std::vector<entry_info>& entries, instant now) {
    pauses_.observe(now);
    for (auto& [id, value] : entries_) {
        value.is_registered = false;
    }
    for (const auto& entry : entries) {
        if (entry.id != self_.id) {
            accept_row(entry, now);
        }
    }
    std::erase_if(entries_, [&](const auto& item) {
        return !item.second.is_registered && !is_live(item.second, now);
    });
}

void entry_directory::record_heartbeat(const entry_info& entry, instant now, bool is_leaving) {
    pauses_.observe(now);
    if (entry.id == self_.id) {
        return;
    }
    record& value = entries_[entry.id];
    if (is_replaced(value.replaced_incarnations, entry.incarnation)) {
        return;
    }
    if (value.heard_incarnation && *value.heard_incarnation != entry.incarnation) {
        value.replaced_incarnations.push_back(*value.heard_incarnation);
        if (value.replaced_incarnations.size() > max_remembered_incarnations) {
            value.replaced_incarnations.erase(value.replaced_incarnations.begin());
        }
    }
    set_incarnation(value, entry, now);
    value.heard_incarnation = entry.incarnation;
    value.last_contact_at = std::max(value.last_contact_at, pauses_.pause_adjusted(now));
    value.failed_calls = 0;
    value.is_leaving = is_leaving;
}

void entry_directory::record_call_failure(const entry_id& entry, instant now) {
    pauses_.observe(now);
    const auto position = entries_.find(entry);
    if (position == entries_.end()) {
        return;
    }
    record& value = position->second;
    if (value.failed_calls == 0 || now - value.failed_at >= options_.digest_interval / 2) {
        ++value.failed_calls;
        value.failed_at = now;
    }
}

bool entry_directory::is_live(const record& value, instant now) const {
    return !value.is_leaving && value.failed_calls < options_.max_missed_digests &&
           pauses_.pause_adjusted(now) - value.last_contact_at <=
               options_.digest_interval * options_.max_missed_digests;
}

std::vector<entry_info> entry_directory::live(instant now) {
    pauses_.observe(now);
    std::vector<entry_info> result;
    if (!is_self_leaving_) {
        result.push_back(self_);
    }
    for (const auto& [id, value] : entries_) {
        if (is_live(value, now)) {
            result.push_back(value.info);
        }
    }
    std::sort(result.begin(), result.end(),
              [](const entry_info& a, const entry_info& b) { return a.id < b.id; });
    return result;
}

std::vector<entry_info> entry_directory::all() const {
    std::vector<entry_info> result{self_};
    for (const auto& [id, value] : entries_) {
        result.push_back(value.info);
    }
    std::sort(result.begin(), result.end(),
              [](const entry_info& a, const entry_info& b) { return a.id < b.id; });
    return result;
}

const entry_info* owner_of(partition_number partition, std::span<const entry_info> live) {
    const std::string key = partition_key(partition);
    const entry_info* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& entry : live) {
        const std::uint64_t weight = rendezvous_weight(entry.id.value(), key);
        if (best == nullptr || weight > best_weight ||
            (weight == best_weight && entry.id < best->id)) {
            best = &entry;
            best_weight = weight;
        }
    }
    return best;
}

}  // namespace tanagerpaddle
