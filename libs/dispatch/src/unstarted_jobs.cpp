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
    // Of the kept jobs.
    std::size_t bytes = 0;
    // The one to be replaced next is at the end, and so is the one to be chosen next.
    std::vector<job_in_turn> kept;
    std::vector<job_in_turn> deferred;
};

using queues_in_turn = std::map<queue_id, queue_in_turn>;

bool takes_less(const queues_in_turn::value_type& a, const queues_in_turn::value_type& b) {
    return a.second.bytes < b.second.bytes;
}

// At most `max_count` kept and deferred jobs of each queue are needed for a choice of so many.
queues_in_turn by_queue(const std::vector<job_in_turn>& kept,
                        const std::vector<job_in_turn>& deferred, std::size_t max_count) {
    queues_in_turn queues;
    for (const auto& job : kept) {
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
        keep_first(queue.deferred, max_count, is_earlier);
        std::reverse(queue.deferred.begin(), queue.deferred.end());
        keep_first(queue.kept, max_count, is_later);
        std::reverse(queue.kept.begin(), queue.kept.end());
    }
    return queues;
}

bool outranks_kept(const queue_in_turn& queue, const job_in_turn& job) {
    return !queue.kept.empty() && job.turn.outranks(queue.kept.back().turn);
}

// The queue that takes least of those whose next deferred job may be chosen; nullptr if none may.
queue_in_turn* next_to_choose_from(queues_in_turn& queues, std::size_t taken, std::size_t budget) {
    const auto largest = std::max_element(queues.begin(), queues.end(), takes_less);
    queue_in_turn* next = nullptr;
    for (auto& [id, queue] : queues) {
        if (queue.deferred.empty() || (next != nullptr && next->bytes <= queue.bytes)) {
            continue;
        }
        const auto& job = queue.deferred.back();
        const bool has_room = taken + job.bytes <= budget;
        const bool takes_little =
            queue.kept.empty() || queue.bytes + job.bytes < largest->second.bytes / 2;
        if (has_room || takes_little || outranks_kept(queue, job)) {
            next = &queue;
        }
    }
    return next;
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
    auto queues = by_queue(kept, deferred, max_count);
    std::size_t taken = 0;
    for (const auto& job : kept) {
        taken += job.bytes;
    }
    std::vector<job_id> chosen;
    while (chosen.size() < max_count) {
        auto* const queue = next_to_choose_from(queues, taken, budget);
        if (queue == nullptr) {
            break;
        }
        const auto job = queue->deferred.back();
        queue->deferred.pop_back();
        if (taken + job.bytes > budget && outranks_kept(*queue, job)) {
            // The one that it outranks is deferred for it.
            queue->bytes -= queue->kept.back().bytes;
            taken -= queue->kept.back().bytes;
            queue->kept.pop_back();
        }
        queue->bytes += job.bytes;
        taken += job.bytes;
        queue->kept.insert(queue->kept.begin(), job);
        chosen.push_back(*job.id);
    }
    return chosen;
}

}  // namespace tanagerpaddle::dispatch
