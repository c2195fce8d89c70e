// Submissions and cancellations of the same jobs at random times, while the store carries out
// writes late, the watch lags or loses its history, and the owner is replaced.

#include <doctest/doctest.h>

#include <cstdlib>

#include "fake_store.hpp"
#include "loop_support.hpp"
#include "owner_session.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;
using eventio::testing::local_endpoint;

namespace {

constexpr milliseconds lifetime{400};
constexpr milliseconds max_delay{900};
// Times after the first mention of a job until which it is cancelled and submitted.
constexpr milliseconds max_cancel_time{1'000};
constexpr milliseconds max_submit_time{1'800};
constexpr milliseconds call_timeout{800};
constexpr milliseconds duration{6'000};
constexpr int entry_count = 4;

std::uint64_t seed_from_environment() {
    const char* text = std::getenv("TANAGERPADDLE_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

submitted_job make_job(const job_id& id) {
    submitted_job job;
    job.id = id;
    job.queue = queue_id("queue");
    job.rules.service = service_id("service");
    job.spec.steps.emplace_back();
    return job;
}

struct fixture {
    struct job_record {
        std::string id;
        bool has_been_cancelled = false;
        // Start of the newest call that confirmed a cancellation.
        std::optional<instant> cancelled_from;
        std::optional<instant> stored_at;
    };

    eventio::event_loop loop;
    system_clock time;
    fake_store store{loop};
    random_source random;
    std::map<job_id, job_record> jobs;
    std::vector<std::unique_ptr<entry_node>> entries;
    std::size_t owner = 0;
    int confirmed = 0;

    explicit fixture(std::uint64_t seed) : random(seed) {
        for (int i = 0; i < entry_count; ++i) {
            entry_options options{
                "entry" + std::to_string(i), "life", local_endpoint(i), millicores(1'000), {}};
            options.early_cancellation_lifetime = lifetime;
            entries.push_back(std::make_unique<entry_node>(loop, time, store, nullptr, options));
        }
        entries[0]->start();
        run_for(milliseconds(300));
        REQUIRE(entries[0]->is_owner());
        store.draw_delay = [this](const row_transaction& transaction) {
            const bool is_late = transaction.part != owner_part && random.chance(0.3);
            return is_late ? std::optional(draw(max_delay)) : std::nullopt;
        };
        store.on_applied = [this](const row_transaction& transaction) {
            for (const auto& put : transaction.puts) {
                const auto found = jobs.find(job_id(put.key));
                if (found != jobs.end()) {
                    found->second.stored_at = time.now();
                }
            }
        };
    }
    milliseconds draw(milliseconds bound) {
        return milliseconds(
            static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(bound.count()))));
    }
    void run_for(milliseconds limit) {
        loop.after(limit, [this] { loop.stop(); });
        loop.run();
    }
    void replace_owner() {
        entries[owner + 1]->start();
        entries[owner]->leave();
        ++owner;
        for (int i = 0; i < 50 && !entries[owner]->is_owner(); ++i) {
            run_for(milliseconds(100));
        }
        REQUIRE(entries[owner]->is_owner());
    }
    void submit(const job_id& id) {
        entries[owner]->submit(make_job(id), deadline::after(time.now(), call_timeout),
                               [](submit_outcome) {});
    }
    // At the owner or at an entry that has no owner to ask.
    void cancel(const job_id& id) {
        const instant begun = time.now();
        jobs[id].has_been_cancelled = true;
        entries[random.chance(0.5) ? owner : entries.size() - 1]->cancel(
            id, deadline::after(begun, call_timeout), [this, id, begun](entry_node::lookup found) {
                if (found == entry_node::lookup::found || found == entry_node::lookup::missing) {
                    auto& cancelled_from = jobs[id].cancelled_from;
                    cancelled_from = std::max(cancelled_from.value_or(begun), begun);
                    ++confirmed;
                }
            });
    }
    // Draws the calls that concern a new job.
    void add_job() {
        const job_id id("job" + std::to_string(jobs.size()));
        jobs[id].id = id.value();
        const auto cancellations = 1 + random.below(3);
        for (std::uint64_t i = 0; i < cancellations; ++i) {
            loop.after(draw(max_cancel_time), [this, id] { cancel(id); });
        }
        if (random.chance(0.7)) {
            loop.after(draw(max_submit_time), [this, id] { submit(id); });
        }
    }
    void call_at_random() {
        const instant end = time.now() + duration;
        loop.every(milliseconds(20), [this, end] {
            if (time.now() < end) {
                add_job();
                store.watch_delay = random.chance(0.5) ? milliseconds(0) : draw(milliseconds(300));
                if (random.chance(0.02)) {
                    store.lost_history_table = job_table;
                }
            }
        });
        run_for(duration / 3);
        replace_owner();
        run_for(duration / 3);
        replace_owner();
        run_for(std::chrono::ceil<milliseconds>(end - time.now()) + max_submit_time + call_timeout +
                max_delay);
        store.draw_delay = nullptr;
        store.watch_delay = milliseconds(0);
        // A watch that is under way may still be answered late.
        run_for(milliseconds(2'000));
    }
    job_phase phase(const job_id& id) {
        std::optional<job_phase> result;
        loop.post([&] {
            entries[owner]->status(id, deadline::after(time.now(), milliseconds(5'000)),
                                   [&](entry_node::lookup found, job_phase phase) {
                                       REQUIRE(found == entry_node::lookup::found);
                                       result = phase;
                                       loop.stop();
                                   });
        });
        // Not by the deadline, of which a stall of the process takes away.
        REQUIRE(eventio::testing::run_until(loop, milliseconds(1'000),
                                            [&] { return result.has_value(); }));
        return *result;
    }
    [[nodiscard]] bool has_cancellation(const job_id& id) const {
        return store.rows.contains({job_table, part_of(id), id.value() + cancel_suffix});
    }
};

}  // namespace

// Guards against cancelled jobs that run and jobs that are cancelled for no reason, since the row
// of a cancellation was removed too early, or was removed and not forgotten.
TEST_CASE("jobs stored within the lifetime of a cancellation are cancelled, and no row is left") {
    const auto seed = seed_from_environment();
    CAPTURE(seed);
    fixture f(seed);
    f.call_at_random();
    std::map<job_id, job_phase> phases;
    std::size_t stored = 0;
    for (const auto& entry : f.jobs) {
        const auto& id = entry.first;
        const auto& record = entry.second;
        if (!record.stored_at) {
            continue;
        }
        ++stored;
        INFO(record.id);
        phases[id] = f.phase(id);
        const bool is_cancelled = phases[id] == job_phase::cancelled;
        const bool must_be_cancelled =
            record.cancelled_from && *record.stored_at <= *record.cancelled_from + lifetime;
        CHECK((is_cancelled || !must_be_cancelled));
        CHECK((!is_cancelled || record.has_been_cancelled));
        CHECK(is_cancelled == f.has_cancellation(id));
    }
    MESSAGE("seed " << seed << ": " << f.confirmed << " cancellations confirmed, " << stored
                    << " of " << f.jobs.size() << " jobs stored, " << f.store.removal_writes
                    << " removals");
    CHECK(stored > 10);
    CHECK(f.confirmed > 10);
    CHECK(f.store.removal_writes > 0);
    f.run_for(lifetime + milliseconds(4'500));
    for (const auto& [id, record] : f.jobs) {
        if (!record.stored_at) {
            CHECK_FALSE(f.has_cancellation(id));
        }
    }
    CHECK(f.entries[f.owner]->count().early_cancellations == 0);
    f.replace_owner();
    for (const auto& [id, phase] : phases) {
        const auto& found = f.jobs[id];
        INFO(found.id);
        CHECK(f.phase(id) == phase);
    }
}
