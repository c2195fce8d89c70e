// Which jobs that have not begun the coordinator keeps; see unstarted_jobs.hpp.

#include <algorithm>

#include "coordinator_state.hpp"
#include "ordering.hpp"

namespace tanagerpaddle::dispatch {

namespace {

// Jobs are kept from this time before they are due, so that their rows are read in time.
constexpr milliseconds lead_time{5'000};
// A row that was asked for and has not come is asked for again after this time.
constexpr milliseconds ask_interval{2'000};
// Between choices, which look at each deferred job: after one that chose jobs, and after others.
constexpr milliseconds choice_interval{500};
constexpr milliseconds idle_choice_interval{1'000};
constexpr std::size_t max_asked = 256;

std::uint64_t task_count(const job_spec& spec) {
    std::uint64_t count = 0;
    for (const auto& step : spec.steps) {
        count += step.task_count;
    }
    return count * std::max<std::uint32_t>(1, spec.occurrences);
}

}  // namespace

void coordinator::state::note_unstarted(const job_state& job) {
    const auto& spec = job.submitted.spec;
    const auto work = work_of(spec, nullptr, ordering_run_times());
    unstarted_job noted;
    noted.queue = job.submitted.queue;
    noted.accepted_at = job.accepted_at;
    noted.schedule.occurrences = spec.occurrences;
    noted.schedule.first_due = spec.first_due;
    noted.schedule.interval = spec.interval;
    noted.chain = work.chain;
    noted.core_seconds = work.core_seconds_left;
    noted.has_precedence = std::any_of(spec.steps.begin(), spec.steps.end(),
                                       [&](const step_spec& step) { return has_precedence(step); });
    noted.tasks = task_count(spec);
    noted.bytes = bytes_of_unstarted(job);
    unstarted_bytes += noted.bytes;
    unstarted_jobs.insert_or_assign(job.submitted.id, std::move(noted));
    if (unstarted_bytes > config.max_unstarted_bytes) {
        defer_excess();
    }
}

job_turn coordinator::state::turn_of(const unstarted_job& job) const {
    job_turn turn;
    const auto rules = queues.find(job.queue);
    turn.must_wait = rules == queues.end();
    if (turn.must_wait) {
        return turn;
    }
    instant due_at = job.accepted_at;
    if (job.schedule.occurrences > 0) {
        // By the last occurrence that is due: earlier ones may be too late.
        const auto due_count =
            count_due(job.schedule, utc_millis(time.utc_now().value() + lead_time.count()));
        turn.must_wait = due_count == 0;
        due_at = due_time(job.schedule, due_count == 0 ? 0 : due_count - 1);
    }
    turn.priority = rules->second.priority;
    turn.has_precedence = job.has_precedence;
    turn.rank = job.has_precedence
                    ? 0
                    : lateness_rank(rules->second, due_at, job.chain, job.chain, time.now());
    turn.core_seconds = job.core_seconds;
    turn.objective = due_at + job.chain + rules->second.target;
    return turn;
}

// Nothing is lost with what the owner keeps of such a job but its specification, which is stored.
bool coordinator::state::is_unstarted(const job_state& job) {
    const auto& kept = job.occurrences.kept();
    return job.phase == job_phase::pending && !job.has_started && !job.has_rows &&
           job.assigned_tasks == 0 && std::all_of(kept.begin(), kept.end(), [](const auto& entry) {
               return entry.second.is_untouched();
           });
}

void coordinator::state::forget_unstarted(const job_id& id) {
    if (const auto found = unstarted_jobs.find(id); found != unstarted_jobs.end()) {
        unstarted_bytes -= found->second.bytes;
        unstarted_jobs.erase(found);
    }
}

void coordinator::state::forget_started() {
    std::erase_if(unstarted_jobs, [&](const auto& entry) {
        const bool has_begun = !is_unstarted(jobs.at(entry.first));
        unstarted_bytes -= has_begun ? entry.second.bytes : 0;
        return has_begun;
    });
}

job_in_turn coordinator::state::in_turn(const job_id& id, const unstarted_job& job) const {
    return {&id, &job.queue, turn_of(job), job.bytes};
}

void coordinator::state::defer_excess() {
    forget_started();
    // So much less that the next choice is not due at once.
    const auto target = config.max_unstarted_bytes / 4 * 3;
    if (unstarted_bytes <= target) {
        return;
    }
    std::vector<job_in_turn> kept;
    for (const auto& [id, job] : unstarted_jobs) {
        kept.push_back(in_turn(id, job));
    }
    for (const auto& id : choose_deferred(std::move(kept), unstarted_bytes - target)) {
        auto job = unstarted_jobs.extract(id);
        unstarted_bytes -= job.mapped().bytes;
        deferred_jobs.insert(std::move(job));
        drop_job(id);
    }
}

void coordinator::state::load_deferred() {
    const instant now = time.now();
    if (deferred_jobs.empty() || now < next_load_at) {
        return;
    }
    forget_started();
    std::vector<job_in_turn> kept;
    for (const auto& [id, job] : unstarted_jobs) {
        kept.push_back(in_turn(id, job));
    }
    // Rows that were asked for count as kept.
    std::size_t asked = 0;
    std::vector<job_in_turn> deferred;
    for (auto& [id, job] : deferred_jobs) {
        if (job.asked_until && now >= *job.asked_until) {
            job.asked_until.reset();
        }
        asked += job.asked_until ? 1 : 0;
        (job.asked_until ? kept : deferred).push_back(in_turn(id, job));
    }
    const auto chosen = choose_kept(kept, deferred, config.max_unstarted_bytes / 8 * 5,
                                    max_asked - std::min(asked, max_asked));
    next_load_at = now + (chosen.empty() ? idle_choice_interval : choice_interval);
    for (const auto& id : chosen) {
        deferred_jobs.at(id).asked_until = now + ask_interval;
    }
    for (const auto& id : chosen) {
        orders.load_job(id);
    }
}

std::optional<unstarted_job> coordinator::state::take_deferred(const job_id& id) {
    auto found = deferred_jobs.extract(id);
    return found.empty() ? std::nullopt : std::optional(std::move(found.mapped()));
}

void coordinator::state::drop_permits(const job_id& id) {
    const auto permits = permits_by_step.lower_bound({id, 0, 0});
    permits_by_step.erase(permits,
                          std::find_if(permits, permits_by_step.end(),
                                       [&](const auto& entry) { return entry.first.job != id; }));
}

void coordinator::state::drop_job(const job_id& id) {
    drop_permits(id);
    forget_unstarted(id);
    active_jobs.erase(id);
    jobs.erase(id);
}

}  // namespace tanagerpaddle::dispatch
