#pragma once

// Which entry the agent syncs with next. Not thread-safe.

#include <algorithm>
#include <optional>
#include <vector>

#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {

class entry_rotation {
public:
    // `seeds` are always among the candidates.
    explicit entry_rotation(std::vector<endpoint> seeds) : seeds_(std::move(seeds)) {
        set_known({});
    }

    // The entries named in the last reply.
    void set_known(const std::vector<entry_info>& entries) {
        candidates_.clear();
        for (const auto& entry : entries) {
            add(entry.control);
        }
        for (const auto& seed : seeds_) {
            add(seed);
        }
    }

    // The preferred entry, else the next of the candidates in turn.
    [[nodiscard]] endpoint next() {
        if (preferred_) {
            return *preferred_;
        }
        position_ = (position_ + 1) % candidates_.size();
        return candidates_[position_];
    }

    void prefer(const endpoint& entry) { preferred_ = entry; }
    // Without effect if another entry has been preferred meanwhile.
    void failed(const endpoint& entry) {
        if (preferred_ == entry) {
            preferred_.reset();
        }
    }
    [[nodiscard]] std::size_t candidate_count() const noexcept { return candidates_.size(); }

private:
    void add(const endpoint& entry) {
        if (std::find(candidates_.begin(), candidates_.end(), entry) == candidates_.end()) {
            candidates_.push_back(entry);
        }
    }

    std::vector<endpoint> seeds_;
    std::vector<endpoint> candidates_;
    std::optional<endpoint> preferred_;
    std::size_t position_ = 0;
};

}  // namespace tanagerpaddle
