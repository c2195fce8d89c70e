// Occurrences of timed jobs: which are due, and which of them have a state.

#include <algorithm>

#include "coordinator_state.hpp"
#include "ordering.hpp"

namespace tanagerpaddle::dispatch {

namespace {

std::int64_t due_ms(const job_spec& spec, std::uint32_t occurrence) {
    return spec.first_due.value() + std::int64_t{occurrence} * spec.interval.count();
}

}  // namespace

std::uint32_t count_due(const job_spec& spec, utc_millis now) {
    const auto late = now.value() - spec.first_due.value();
    if (late < 0) {
        return 0;
    }
    if (spec.interval.count() == 0) {
        return spec.occurrences;
    }
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(late / spec.interval.count() + 1, spec.occurrences));
}

occurrence_state& coordinator::state::open_occurrence(job_state& job, std::uint32_t number) {
    if (auto* found = job.occurrences.find(number); found != nullptr) {
        return *found;
    }
    auto& opened = job.occurrences.open(number);
    opened.due_at = job.accepted_at;
    opened.is_due = job.submitted.spec.occurrences == 0;
    return opened;
}

instant coordinator::state::due_time(const job_spec& spec, std::uint32_t occurrence) const {
    return time.now() - milliseconds(time.utc_now().value() - due_ms(spec, occurrence));
}

// State is kept only for what could start soon: a backlog of occurrences that are due is a range of
// numbers, of which the next ones get a state as earlier ones begin.
void coordinator::state::release_due_occurrences() {
    const auto utc = time.utc_now();
    std::vector<std::pair<job_state*, std::uint32_t>> jobs_with_due;
    for (const auto& id : active_jobs) {
        auto& job = jobs.at(id);
        const auto& spec = job.submitted.spec;
        const auto due_count = spec.occurrences == 0 ? 0 : count_due(spec, utc);
        if (due_count == 0) {
            continue;
        }
        for (auto& [k, occurrence] : job.occurrences.kept()) {
            if (!occurrence.is_due && k < due_count) {
                occurrence.is_due = true;
                occurrence.due_at = due_time(spec, k);
            }
        }
        if (job.occurrences.over().count_below(due_count) < due_count) {
            jobs_with_due.emplace_back(&job, due_count);
        }
    }
    for (const auto& [job, due_count] : jobs_with_due) {
        const auto steps = config.max_offered_steps / jobs_with_due.size();
        offer_occurrences(*job, due_count,
                          std::max<std::size_t>(1, steps / job->submitted.spec.steps.size()));
    }
}

void coordinator::state::offer_occurrences(job_state& job, std::uint32_t due_count,
                                           std::size_t limit) {
    const auto& spec = job.submitted.spec;
    auto& occurrences = job.occurrences;
    index_set offered;
    const auto offer = [&](std::uint32_t begin, std::uint32_t end) {
        std::size_t count = 0;
        for (auto k = occurrences.over().first_absent(begin); k < end && count < limit;
             k = occurrences.over().first_absent(k + 1)) {
            const auto* found = occurrences.find(k);
            if (found == nullptr || found->is_untouched()) {
                offered.insert(k);
                ++count;
            }
        }
    };
    // The order of steps begins with the rank, so that the first ones of each rank are offered.
    const auto in_time = first_not_later_than(job, due_count, 0);
    const auto late = first_not_later_than(job, due_count, 1);
    offer(0, late);
    offer(late, in_time);
    offer(in_time, due_count);
    std::erase_if(occurrences.kept(), [&](const auto& entry) {
        return entry.second.is_untouched() && !offered.contains(entry.first);
    });
    for (const auto k : offered) {
        auto& occurrence = open_occurrence(job, k);
        if (!occurrence.is_due) {
            occurrence.is_due = true;
            occurrence.due_at = due_time(spec, k);
        }
    }
}

// The first occurrence that would have at most that rank if nothing of it has begun. Ranks fall
// from one occurrence to the next, since these are due later.
std::uint32_t coordinator::state::first_not_later_than(const job_state& job,
                                                       std::uint32_t due_count, int rank) const {
    const auto& spec = job.submitted.spec;
    const auto rules = queues.find(job.submitted.queue);
    const auto work = work_of(spec, nullptr, ordering_run_times());
    std::uint32_t begin = 0;
    std::uint32_t end = rules == queues.end() ? 0 : due_count;
    while (begin < end) {
        const auto middle = begin + (end - begin) / 2;
        const bool is_later = lateness_rank(rules->second, due_time(spec, middle), work.chain,
                                            work.chain_left, time.now()) > rank;
        (is_later ? begin : end) = is_later ? middle + 1 : middle;
    }
    return begin;
}

// ---------------------------------------------------------------------------------------------
// What has ended

void coordinator::state::discard_ended_state() {
    for (const auto& id : discardable_jobs) {
        auto* job = find_job(id);
        if (job == nullptr) {
            continue;
        }
        job->occurrences.discard_ended(job->is_terminal());
        const auto begin = permits_by_step.lower_bound({id, 0, 0});
        for (auto entry = begin; entry != permits_by_step.end() && entry->first.job == id;) {
            const bool is_needed = job->occurrences.find(entry->first.occurrence) != nullptr;
            entry = is_needed ? std::next(entry) : permits_by_step.erase(entry);
        }
        forget_if_over(id);
    }
    discardable_jobs.clear();
}

void coordinator::state::forget_if_over(const job_id& id) {
    const auto& job = *find_job(id);
    const auto phase = job.phase;
    const bool is_in_write =
        active_write && std::any_of(active_write->jobs.begin(), active_write->jobs.end(),
                                    [&](const job_write& written) { return written.job == id; });
    if (!is_terminal(phase) || job.durable_phase != phase || job.is_dirty || is_in_write ||
        !job.occurrences.kept().empty()) {
        return;
    }
    drop_job(id);
    ended_jobs.emplace(id, phase);
}

}  // namespace tanagerpaddle::dispatch
