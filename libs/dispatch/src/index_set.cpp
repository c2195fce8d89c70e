#include "index_set.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch {

index_set::index_set(std::initializer_list<std::uint32_t> indices) {
    for (const auto index : indices) {
        insert(index);
    }
}

index_set index_set::first(std::uint32_t count) {
    index_set set;
    set.append(0, count);
    return set;
}

std::vector<index_set::range>::const_iterator index_set::find(std::uint32_t index) const {
    return std::upper_bound(
        ranges_.begin(), ranges_.end(), index,
        [](std::uint32_t value, const range& candidate) { return value < candidate.end; });
}

bool index_set::contains(std::uint32_t index) const {
    const auto found = find(index);
    return found != ranges_.end() && found->begin <= index;
}

std::uint32_t index_set::first_absent(std::uint32_t from) const {
    const auto found = find(from);
    return found != ranges_.end() && found->begin <= from ? found->end : from;
}

std::size_t index_set::count_below(std::uint32_t limit) const {
    std::size_t count = 0;
    for (const auto& each : ranges_) {
        if (each.begin >= limit) {
            break;
        }
        count += std::min(each.end, limit) - each.begin;
    }
    return count;
}

index_set::const_iterator index_set::begin() const {
    return {ranges_.data(), ranges_.data() + ranges_.size()};
}

index_set::const_iterator index_set::end() const {
    const auto* last = ranges_.data() + ranges_.size();
    return {last, last};
}

bool index_set::insert(std::uint32_t index) {
    const auto next = ranges_.begin() + (find(index) - ranges_.cbegin());
    if (next != ranges_.end() && next->begin <= index) {
        return false;
    }
    ++size_;
    const bool extends_previous = next != ranges_.begin() && std::prev(next)->end == index;
    const bool extends_next = next != ranges_.end() && next->begin == index + 1;
    if (extends_previous && extends_next) {
        std::prev(next)->end = next->end;
        ranges_.erase(next);
    } else if (extends_previous) {
        std::prev(next)->end = index + 1;
    } else if (extends_next) {
        next->begin = index;
    } else {
        ranges_.insert(next, {index, index + 1});
    }
    return true;
}

bool index_set::erase(std::uint32_t index) {
    const auto found = ranges_.begin() + (find(index) - ranges_.cbegin());
    if (found == ranges_.end() || found->begin > index) {
        return false;
    }
    --size_;
    const auto after = range{index + 1, found->end};
    found->end = index;
    const bool has_rest = after.begin < after.end;
    if (found->begin == found->end) {
        if (has_rest) {
            *found = after;
        } else {
            ranges_.erase(found);
        }
    } else if (has_rest) {
        ranges_.insert(std::next(found), after);
    }
    return true;
}

void index_set::append(std::uint32_t begin, std::uint32_t end) {
    if (begin >= end) {
        return;
    }
    size_ += end - begin;
    if (!ranges_.empty() && ranges_.back().end == begin) {
        ranges_.back().end = end;
    } else {
        ranges_.push_back({begin, end});
    }
}

void index_set::clear() noexcept {
    ranges_.clear();
    size_ = 0;
}

}  // namespace tanagerpaddle::dispatch
