#include "limits.hpp"

#include <algorithm>

namespace tanagerpaddle::eventio {

namespace {

// What a listener keeps when descriptors are short: a link to each of the other processes that
// matter, or a check of the readiness beside a reader of the metrics.
constexpr std::size_t min_connections = 4;
constexpr std::size_t permille = 1'000;

}  // namespace

connection_number connection_pool::add(instant now, std::function<void()> close) {
    const connection_number id(++last_id_);
    members_[id] = {connection_phase::waiting, now, std::move(close)};
    closing_order_.insert({connection_phase::waiting, now, id});
    return id;
}

void connection_pool::remove(connection_number id) {
    const auto found = members_.find(id);
    if (found != members_.end()) {
        closing_order_.erase({found->second.phase, found->second.since, id});
        members_.erase(found);
    }
}

void connection_pool::set_phase(connection_number id, connection_phase phase, instant now) {
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    auto& changed = found->second;
    closing_order_.erase({changed.phase, changed.since, id});
    changed.phase = phase;
    changed.since = now;
    closing_order_.insert({phase, now, id});
}

bool connection_pool::make_room() {
    return members_.size() < capacity_ || close_one();
}

bool connection_pool::close_one() {
    if (closing_order_.empty() ||
        std::get<connection_phase>(*closing_order_.begin()) == connection_phase::handling) {
        return false;
    }
    const auto id = std::get<connection_number>(*closing_order_.begin());
    const auto close = std::move(members_.at(id).close);
    remove(id);
    ++refused_;
    close();
    return true;
}

holder_number byte_budget::add(std::function<void()> release) {
    const holder_number id(++last_id_);
    holders_[id].release = std::move(release);
    return id;
}

void byte_budget::remove(holder_number id) {
    const auto found = holders_.find(id);
    if (found != holders_.end()) {
        assign(id, found->second, 0, false);
        holders_.erase(found);
    }
}

void byte_budget::assign(holder_number id, holder& target, std::size_t bytes, bool is_releasable) {
    if (target.is_releasable) {
        releasable_.erase({target.bytes, id});
    }
    held_ = held_ - target.bytes + bytes;
    target.bytes = bytes;
    target.is_releasable = is_releasable;
    if (is_releasable) {
        releasable_.insert({bytes, id});
    }
}

void byte_budget::set(holder_number id, std::size_t bytes, bool is_releasable) {
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    assign(id, found->second, bytes, is_releasable);
    while (held_ > limit_ && !releasable_.empty()) {
        const auto largest = std::prev(releasable_.end())->second;
        auto& target = holders_.at(largest);
        assign(largest, target, 0, false);
        ++released_;
        // Copied, since the holder may remove itself.
        const auto release = target.release;
        release();
    }
}

std::size_t capacity_of(const process_limits& limits, std::size_t descriptors, listener_share share,
                        std::size_t max_connections) {
    const auto available = descriptors - std::min(descriptors, limits.reserved_descriptors);
    const auto part = available * share.value() / permille;
    return std::max(min_connections, std::min({part, max_connections, limits.max_connections}));
}

}  // namespace tanagerpaddle::eventio
