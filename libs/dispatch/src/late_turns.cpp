#include "late_turns.hpp"

#include <algorithm>

namespace tanagerpaddle::dispatch {

namespace {

std::pair<service_id, int> competition_of(const ready_step& step) {
    return {step.rules.service, step.rules.priority};
}

// The part of the step that one turn is for; the rest stays in `step`.
ready_step take_turn(ready_step& step) {
    ready_step turn = step;
    if (step.spec->is_gang) {
        step.waiting.clear();
        return turn;
    }
    const auto index = step.waiting.front();
    turn.waiting = {index};
    step.waiting.erase(index);
    return turn;
}

}  // namespace

void late_turns::placed(const ready_step& step) {
    if (interval_ == 0) {
        return;
    }
    auto& count = placements_[competition_of(step)];
    count = step.rank == late_rank ? 0 : std::min(count + 1, interval_);
}

bool late_turns::is_due(const competition& among) const {
    const auto found = placements_.find(among);
    return found != placements_.end() && found->second + 1 >= interval_;
}

void late_turns::apply(std::vector<ready_step>& ready) const {
    if (interval_ == 0) {
        return;
    }
    std::map<competition, std::size_t> oldest;
    for (std::size_t i = 0; i < ready.size(); ++i) {
        // A task that may crash executors is not preferred to sound ones.
        if (ready[i].rank != late_rank || ready[i].has_suspect) {
            continue;
        }
        const auto [position, is_first] = oldest.try_emplace(competition_of(ready[i]), i);
        if (!is_first && ready[i].due_at < ready[position->second].due_at) {
            position->second = i;
        }
    }
    std::vector<ready_step> turns;
    for (const auto& [among, index] : oldest) {
        if (is_due(among)) {
            turns.push_back(take_turn(ready[index]));
        }
    }
    if (turns.empty()) {
        return;
    }
    std::erase_if(ready, [](const ready_step& step) { return step.waiting.empty(); });
    for (auto& turn : turns) {
        const auto place = std::find_if(ready.begin(), ready.end(), [&](const ready_step& other) {
            return other.rules.priority >= turn.rules.priority;
        });
        ready.insert(place, std::move(turn));
    }
}

}  // namespace tanagerpaddle::dispatch
