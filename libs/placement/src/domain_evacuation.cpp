#include <algorithm>
#include <limits>
#include <tuple>

#include "tanagerpaddle/placement.hpp"

namespace tanagerpaddle {

namespace {

double seconds(boot_clock::duration value) {
    return std::chrono::duration<double>(value).count();
}

// Allocates the demand on the first worker that fits; returns false if none does.
bool allocate(std::vector<worker_view>& workers, const resources& demand) {
    const auto found = std::find_if(workers.begin(), workers.end(), [&](const worker_view& worker) {
        return worker.accepts_work && demand.fits_in(worker.free);
    });
    if (found == workers.end()) {
        return false;
    }
    found->free -= demand;
    return true;
}

std::int64_t latest_start(const running_task& task) {
    return task.complete_by.value() - task.remaining_run_time.count();
}

}  // namespace

std::vector<eviction> domain_evacuation::next_moves(const std::vector<running_task>& running,
                                                    const std::vector<worker_view>& destinations,
                                                    const std::vector<resources>& pending_moves,
                                                    utc_millis now_utc, instant now) {
    if (tokens_updated_at_) {
        tokens_ = std::min(options_.burst, tokens_ + options_.moves_per_second *
                                                         seconds(now - *tokens_updated_at_));
    } else {
        tokens_ = options_.burst;
    }
    tokens_updated_at_ = now;

    std::vector<worker_view> free_workers = destinations;
    for (const auto& demand : pending_moves) {
        allocate(free_workers, demand);
    }
    std::vector<const running_task*> order;
    for (const auto& task : running) {
        if (task.kind == job_kind::batch && task.can_resume &&
            task.remaining_run_time > options_.min_remaining_run_time) {
            order.push_back(&task);
        }
    }
    // Tasks that can still be on time come before tasks that are already late.
    std::sort(order.begin(), order.end(), [&](const running_task* a, const running_task* b) {
        const auto key = [&](const running_task& task) {
            return std::tuple(task.priority != job_priority::urgent,
                              latest_start(task) < now_utc.value(), latest_start(task));
        };
        return key(*a) < key(*b);
    });
    std::vector<eviction> result;
    for (const auto* task : order) {
        if (tokens_ < 1) {
            break;
        }
        if (allocate(free_workers, task->demand)) {
            tokens_ -= 1;
            result.push_back({task->job, task->index, task->worker, eviction_cause::domain_drained,
                              task->unsaved_work});
        }
    }
    return result;
}

void domain_evacuation::on_domain_returned(const failure_domain_id& domain, instant now) {
    returned_[domain] = {now, 0};
}

void domain_evacuation::on_domain_drained(const failure_domain_id& domain) {
    returned_.erase(domain);
}

std::size_t domain_evacuation::allowed_starts(const failure_domain_id& domain, instant now) const {
    const auto position = returned_.find(domain);
    if (position == returned_.end() ||
        now - position->second.returned_at >= options_.refill_period) {
        return std::numeric_limits<std::size_t>::max();
    }
    const double allowed =
        options_.refill_starts_per_second * seconds(now - position->second.returned_at) -
        position->second.starts;
    return allowed < 1 ? 0 : static_cast<std::size_t>(allowed);
}

void domain_evacuation::record_starts(const failure_domain_id& domain, std::size_t starts) {
    const auto position = returned_.find(domain);
    if (position != returned_.end()) {
        position->second.starts += static_cast<double>(starts);
    }
}

}  // namespace tanagerpaddle
