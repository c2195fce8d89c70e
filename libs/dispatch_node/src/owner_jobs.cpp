// The rows of jobs that an owner reads: all when it begins, new ones, and those of deferred jobs.

#include <algorithm>

#include "owner_session.hpp"
#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

namespace {

constexpr milliseconds load_timeout{2'000};
constexpr milliseconds load_retry_delay{100};
// Reads of deferred jobs at a time, so that they do not hold up writes.
constexpr std::size_t max_job_reads = 8;

bool is_cancel_key(const std::string& key) {
    return name_before(key, cancel_suffix).has_value();
}

job_id job_of_cancel_key(const std::string& key) {
    return job_id(name_before(key, cancel_suffix).value());
}

std::vector<std::string> all_job_parts() {
    std::vector<std::string> parts;
    for (std::uint32_t i = 0; i < job_part_count; ++i) {
        parts.push_back(std::to_string(i));
    }
    return parts;
}

}  // namespace

void owner_session::load_progress(const std::string& from) {
    env_.store->read(
        progress_table, owner_part, from, "", load_timeout,
        [self = shared_from_this(), from](const read_result& result) {
            if (self->is_closed_) {
                return;
            }
            if (result.outcome != store_outcome::done) {
                self->env_.loop->after(load_retry_delay, [self, from] {
                    if (!self->is_closed_) {
                        self->load_progress(from);
                    }
                });
                return;
            }
            for (const auto& row : result.rows) {
                self->add_progress(row);
            }
            if (result.has_more && !result.rows.empty()) {
                self->load_progress(result.rows.back().address.key + key_successor_suffix);
                return;
            }
            self->watch_jobs();
        });
}

// Rows of jobs that have ended are not kept until the jobs are known. The first row of a job comes
// before its others.
void owner_session::add_progress(const stored_row& row) {
    const auto [job, number] = parse_progress_key(row.address.key);
    if (number == 0) {
        const auto phase = decode_job_phase(row.value);
        if (phase && is_terminal(*phase)) {
            coordinator_.add_ended(job, *phase);
        }
    }
    if (!coordinator_.status(job)) {
        progress_.push_back(row);
        jobs_with_rows_.insert(job);
    }
}

void owner_session::watch_jobs() {
    table_watcher::options options{job_table, all_job_parts()};
    options.on_page = [weak = weak_from_this()](const std::vector<stored_row>& rows,
                                                bool is_first) {
        if (const auto self = weak.lock(); self && !self->is_closed_) {
            self->add_page(rows, is_first);
        }
    };
    job_watcher_ = std::make_unique<table_watcher>(
        *env_.loop, *env_.store, options,
        [weak = weak_from_this()](const std::vector<stored_row>& rows, bool is_full) {
            const auto self = weak.lock();
            if (!self || self->is_closed_) {
                return;
            }
            if (is_full) {
                self->add_read_rows();
            }
            for (const auto& row : rows) {
                self->add_row(row);
            }
            if (!self->is_loaded_) {
                self->finish_loading();
            }
            self->schedule_plan();
        });
}

void owner_session::add_page(const std::vector<stored_row>& rows, bool is_first) {
    if (is_first) {
        read_rows_.clear();
        if (!is_loaded_) {
            forget_cancellations_but({});  // those of a read that was broken off
        }
    }
    for (const auto& row : rows) {
        const auto& key = row.address.key;
        if (!is_loaded_) {
            add_row(row);
            continue;
        }
        // Nothing may start before the cancellations are known, which may be in a later page.
        const auto job = is_cancel_key(key) ? job_of_cancel_key(key) : job_id(key);
        const auto known = coordinator_.status(job);
        if (!known || (is_cancel_key(key) && !is_terminal(known->phase))) {
            read_rows_.push_back(row);
        }
    }
}

// The read is complete. Removals of cancellations may have been missed before it; a job that was
// stored after one is not cancelled.
void owner_session::add_read_rows() {
    if (!is_loaded_) {
        return;
    }
    std::set<std::string> stored;
    for (const auto& row : read_rows_) {
        if (is_cancel_key(row.address.key)) {
            stored.insert(row.address.key);
        }
    }
    forget_cancellations_but(stored);
    for (const auto& row : std::exchange(read_rows_, {})) {
        add_row(row);
    }
}

void owner_session::forget_cancellations_but(const std::set<std::string>& stored) {
    for (const auto& job : early_cancellations_.missing_in(stored)) {
        forget_cancellation(job);
    }
}

void owner_session::add_row(const stored_row& row) {
    const auto& key = row.address.key;
    const bool is_removed = row.version == row_version(0);
    if (is_cancel_key(key)) {
        const auto job = job_of_cancel_key(key);
        is_removed ? forget_cancellation(job) : add_cancellation(job, row.version);
        return;
    }
    if (is_removed) {
        return;
    }
    if (coordinator_.status(job_id(key))) {
        return;  // a full read repeats it
    }
    add_job(row);
}

void owner_session::add_job(const stored_row& row) {
    const auto& key = row.address.key;
    try {
        auto job = decode_job(row.value);
        job.id = job_id(key);
        const auto age = std::clamp<std::int64_t>(
            env_.time->utc_now().value() - job.accepted_at.value(), 0, 60'000);
        coordinator_.add_job(job, milliseconds(is_loaded_ ? 0 : age),
                             jobs_with_rows_.contains(job.id));
        early_cancellations_.erase(job.id);
        if (is_loaded_) {
            log_event(log_level::info, "job_added",
                      {{"job", key},
                       {"row_version", row.version.value()},
                       {"job_phase", phase_name(job.id)}});
        }
    } catch (const error& failure) {
        log_event(log_level::error, "job_row_unreadable",
                  {{"job", key}, {"message", failure.what()}});
    }
}

void owner_session::add_cancellation(const job_id& job, row_version version) {
    log_event(
        log_level::info, "job_cancelled",
        {{"job", job.value()}, {"row_version", version.value()}, {"job_phase", phase_name(job)}});
    coordinator_.cancel_job(job);
    if (!coordinator_.status(job)) {
        early_cancellations_.add(job, version);
    }
}

void owner_session::forget_cancellation(const job_id& job) {
    coordinator_.forget_cancellation(job);
    early_cancellations_.erase(job);
}

void owner_session::load_job(const job_id& job) {
    if (std::find(jobs_to_load_.begin(), jobs_to_load_.end(), job) == jobs_to_load_.end()) {
        jobs_to_load_.push_back(job);
    }
    load_next_jobs();
}

void owner_session::load_next_jobs() {
    while (!jobs_to_load_.empty() && job_reads_ < max_job_reads) {
        const auto job = std::move(jobs_to_load_.front());
        jobs_to_load_.pop_front();
        ++job_reads_;
        const auto& key = job.value();
        env_.store->read(job_table, part_of(job), key, key + key_successor_suffix, load_timeout,
                         [weak = weak_from_this()](const read_result& result) {
                             const auto self = weak.lock();
                             if (self && !self->is_closed_) {
                                 self->job_read(result);
                             }
                         });
    }
}

// The coordinator asks again for a row that could not be read.
void owner_session::job_read(const read_result& result) {
    --job_reads_;
    if (result.outcome == store_outcome::done) {
        for (const auto& row : result.rows) {
            add_job(row);
        }
        schedule_plan();
    }
    load_next_jobs();
}

std::string_view owner_session::phase_name(const job_id& job) const {
    const auto found = coordinator_.status(job);
    return found ? name(found->phase) : "unknown";
}

void owner_session::finish_loading() {
    for (const auto& row : progress_) {
        const auto [job, number] = parse_progress_key(row.address.key);
        if (!coordinator_.restore(job, row.value, unclaimed_runs_end_by_, number)) {
            log_event(log_level::error, "progress_row_unreadable",
                      {{"job", job.value()}, {"row", number}});
        }
    }
    is_loaded_ = true;
    const auto kept = coordinator_.kept();
    log_event(log_level::info, "jobs_loaded",
              {{"epoch", epoch_.value()},
               {"progress_rows", progress_.size()},
               {"jobs", coordinator_.count().jobs},
               {"kept_jobs", kept.jobs},
               {"deferred_jobs", kept.deferred_jobs},
               {"ended_jobs", kept.ended_jobs},
               {"kept_occurrences", kept.occurrences},
               {"kept_tasks", kept.tasks},
               {"kept_bytes", kept.bytes}});
    progress_ = {};
    jobs_with_rows_ = {};
    watch_agents();
}

}  // namespace tanagerpaddle::dispatch
