#include "unstarted_jobs.hpp"

#include <algorithm>
#include <tuple>

#include "late_turns.hpp"

namespace tanagerpaddle::dispatch {

namespace {

bool is_earlier(const job_in_turn& a, const job_in_turn& b) {
    return std::tie(a.turn, *a.id) < std::tie(b.turn, *b.id);
}

bool is_later(const job_in_turn& a, const job_in_turn& b) {
    return is_earlier(b, a);
}

// Sorts the first `count` jobs in the order and drops the others.
void keep_first(std::vector<job_in_turn>& jobs, std::size_t count,
                bool (*precedes)(const job_in_turn&, const job_in_turn&)) {
    const auto kept = std::min(count, jobs.size());
    std::partial_sort(jobs.begin(), jobs.begin() + static_cast<std::ptrdiff_t>(kept), jobs.end(),
                      precedes);
    jobs.resize(kept);
}

struct queue_in_turn {
    std::size_t bytes = 0;
    std::vector<job_in_turn> kept;
    std::vector<job_in_turn> deferred;
};

using queues_in_turn = std::map<queue_id, queue_in_turn>;

bool takes_less(const queues_in_turn::value_type& a, const queues_in_turn::value_type& b) {
    return a.second.bytes < b.second.bytes;
}

}  // namespace

bool operator<(const job_turn& a, const job_turn& b) {
    // Late jobs go by age, so that the oldest one is there when it gets its turn.
    const auto size = [](const job_turn& turn) {
        return turn.must_wait || turn.rank == late_rank ? 0 : turn.core_seconds;
    };
    return std::tuple(a.must_wait, a.priority, !a.has_precedence, a.rank, size(a), a.objective) <
           std::tuple(b.must_wait, b.priority, !b.has_precedence, b.rank, size(b), b.objective);
}

bool job_turn::outranks(const job_turn& other) const {
    return std::tuple(must_wait, priority, !has_precedence, rank) <
           std::tuple(other.must_wait, other.priority, !other.has_precedence, other.rank);
}

std::vector<job_id> choose_deferred(std::vector<job_in_turn> kept, std::size_t excess) {
    std::sort(kept.begin(), kept.end(), is_earlier);
    std::vector<job_id> chosen;
    std::size_t freed = 0;
    const auto choose = [&](const job_in_turn& job) {
        chosen.push_back(*job.id);
        freed += job.bytes;
    };
    while (freed < excess && !kept.empty() && kept.back().turn.must_wait) {
        choose(kept.back());
        kept.pop_back();
    }
    queues_in_turn queues;
    for (const auto& job : kept) {
        auto& queue = queues[*job.queue];
        queue.bytes += job.bytes;
        queue.kept.push_back(job);
    }
    while (freed < excess && !queues.empty()) {
        const auto largest = std::max_element(queues.begin(), queues.end(), takes_less);
        auto& queue = largest->second;
        if (queue.kept.size() == 1) {
            queues.erase(largest);
            continue;
        }
        choose(queue.kept.back());
        queue.bytes -= queue.kept.back().bytes;
        queue.kept.pop_back();
    }
    return chosen;
}

std::vector<job_id> choose_kept(const std::vector<job_in_turn>& kept,
                                const std::vector<job_in_turn>& deferred, std::size_t budget,
                                std::size_t max_count) {
    queues_in_turn queues;
    std::size_t taken = 0;
    for (const auto& job : kept) {
        taken += job.bytes;
        auto& queue = queues[*job.queue];
        queue.bytes += job.bytes;
        queue.kept.push_back(job);
    }
    for (const auto& job : deferred) {
        if (!job.turn.must_wait) {
            queues[*job.queue].deferred.push_back(job);
        }
    }
    for (auto& [id, queue] : queues) {
        // The next one to be chosen, and the next to be replaced, is at the end.
        keep_first(queue.deferred, max_count, is_earlier);
        std::reverse(queue.deferred.begin(), queue.deferred.end());
        keep_first(queue.kept, max_count, is_later);
        std::reverse(queue.kept.begin(), queue.kept.end());
    }
    std::vector<job_id> chosen;
    while (chosen.size() < max_count) {
        std::erase_if(queues, [](const auto& entry) {
            return entry.second.kept.empty() && entry.second.deferred.empty();
        });
        auto next = queues.end();
        std::size_t largest = 0;
        for (auto each = queues.begin(); each != queues.end(); ++each) {
            largest = std::max(largest, each->second.bytes);
        }
        for (auto each = queues.begin(); each != queues.end(); ++each) {
            const auto& queue = each->second;
            if (queue.deferred.empty()) {
                continue;
            }
            const auto& job = queue.deferred.back();
            const bool has_room = taken + job.bytes <= budget;
            const bool takes_little = queue.kept.empty() || queue.bytes + job.bytes < largest / 2;
            const bool outranks = !queue.kept.empty() && job.turn.outranks(queue.kept.back().turn);
            if ((has_room || takes_little || outranks) &&
                (next == queues.end() || takes_less(*each, *next))) {
                next = each;
            }
        }
        if (next == queues.end()) {
            break;
        }
        auto& queue = next->second;
        const auto job = queue.deferred.back();
        if (taken + job.bytes > budget && !queue.kept.empty() &&
            job.turn.outranks(queue.kept.back().turn)) {
            // The one that it outranks is deferred for it.
            queue.bytes -= queue.kept.back().bytes;
            taken -= queue.kept.back().bytes;
            queue.kept.pop_back();
        }
        queue.bytes += job.bytes;
        taken += job.bytes;
        chosen.push_back(*job.id);
        queue.kept.insert(queue.kept.begin(), job);
        queue.deferred.pop_back();
    }
    return chosen;
}

}  // namespace tanagerpaddle::dispatch
