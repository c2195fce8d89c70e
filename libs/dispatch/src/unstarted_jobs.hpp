#pragma once

// Jobs that have not begun, and which of them the owner keeps in memory. The others are deferred:
// their rows are read again when it is their turn.

#include <cstdint>
#include <optional>
#include <vector>

#include "tanagerpaddle/dispatch.hpp"

namespace tanagerpaddle::dispatch {

// Orders the jobs of a queue that have not begun; the lesser gets capacity first.
struct job_turn {
    // Its first occurrence is not due, or its queue does not exist.
    bool must_wait = false;
    int priority = 0;
    bool has_precedence = false;
    // See lateness_rank.
    int rank = 0;
    double core_seconds = 0;
    instant objective;

    // True if it goes first for another reason than its size and age.
    [[nodiscard]] bool outranks(const job_turn& other) const;
    friend bool operator<(const job_turn& a, const job_turn& b);
};

// What is known of a job that has not begun, also while it is deferred.
struct unstarted_job {
    queue_id queue;
    instant accepted_at;
    // Without its steps and payload.
    job_spec schedule;
    // Of one occurrence.
    milliseconds chain{0};
    double core_seconds = 0;
    // A step has precedence.
    bool has_precedence = false;
    // Of all occurrences.
    std::uint64_t tasks = 0;
    // Memory of the job while it is not deferred.
    std::size_t bytes = 0;
    // The row of a deferred job was asked for; not again before.
    std::optional<instant> asked_until;
};

// Refers to the names of a job in a container that outlives the choice: there may be many jobs.
struct job_in_turn {
    const job_id* id = nullptr;
    const queue_id* queue = nullptr;
    job_turn turn;
    std::size_t bytes = 0;
};

// Chooses jobs of `kept` that take `excess` bytes or more together: first those that must wait, the
// latest first, then those of the queue that takes most, the last in turn first. A queue full of
// work that cannot start then leaves room for the jobs of other queues. The first in turn of each
// queue is not chosen unless it must wait.
[[nodiscard]] std::vector<job_id> choose_deferred(std::vector<job_in_turn> kept,
                                                  std::size_t excess);
// Chooses at most `max_count` deferred jobs to be kept again, those of the queue that takes least
// first, each queue's in turn. A job is chosen if there is room in `budget`, if its queue takes
// nothing, or less than half of what the largest takes, or if it outranks the last kept one of its
// queue. Jobs that must wait are not chosen.
[[nodiscard]] std::vector<job_id> choose_kept(const std::vector<job_in_turn>& kept,
                                              const std::vector<job_in_turn>& deferred,
                                              std::size_t budget, std::size_t max_count);

}  // namespace tanagerpaddle::dispatch
