// Eviction of batch tasks from drained failure domains.

#include <algorithm>

#include "scheduler_state.hpp"

namespace tanagerpaddle {

void scheduler_state::remove_completed_evictions(partition_state& p) {
    std::erase_if(p.evictions, [&](const task_attempt& attempt) {
        const task_record* record = find_task(p, attempt.task);
        return !record || record->attempt != attempt.attempt || !is_active(record->state) ||
               !is_drained(record->domain);
    });
}

void scheduler_state::order_drain_evictions() {
    const instant current_time = now();
    const double elapsed =
        std::chrono::duration<double>(current_time - std::exchange(drain_refilled_at, current_time))
            .count();
    // The burst is limited to one second of the rate, so that checkpoints are spread over time.
    drain_tokens = std::min(std::max(1.0, options.drain_evictions_per_second),
                            drain_tokens + elapsed * options.drain_evictions_per_second);
    struct candidate {
        utc_millis complete_by;
        task_attempt attempt;
        partition_state* partition;
        worker_id worker;
    };
    std::vector<candidate> candidates;
    for (auto& [number, p] : partitions) {
        remove_completed_evictions(p);
        for (const auto& [key, group] : p.groups) {
            const job_declaration& job = group.row.declaration;
            // A non-idempotent task cannot be restarted without a checkpoint: it runs to its end.
            const bool can_move = job.is_idempotent || job.can_checkpoint;
            if (job.kind != job_kind::batch || !can_move) {
                continue;
            }
            for (const auto& record : group.row.tasks) {
                if (!is_active(record.state) || !is_drained(record.domain)) {
                    continue;
                }
                const task_attempt attempt{{job.id, record.index}, record.attempt};
                const auto worker = p.workers.find(record.worker);
                if (!p.evictions.contains(attempt) && worker != p.workers.end() &&
                    worker->second.held.contains(attempt)) {
                    candidates.push_back({job.complete_by, attempt, &p, record.worker});
                }
            }
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return std::tie(a.complete_by, a.attempt) < std::tie(b.complete_by, b.attempt);
    });
    for (const auto& next : candidates) {
        if (drain_tokens < 1) {
            return;
        }
        drain_tokens -= 1;
        next.partition->evictions.insert(next.attempt);
        wake(*next.partition, next.worker);
        record_decision(decision_kind::eviction, next.partition->number, next.attempt, next.worker,
                        "its failure domain is drained");
    }
}

}  // namespace tanagerpaddle
