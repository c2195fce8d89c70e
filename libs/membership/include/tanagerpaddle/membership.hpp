#pragma once

// Which agents, targets and entries exist, as far as one entry knows. No class of this header
// locks; the caller serialises the calls. All instants are values of the caller's own clock.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle {

// Finds pauses of the own process from gaps between calls, so that a process that was frozen does
// not take its own silence for the silence of the others.
class pause_detector {
public:
    // Calls that are further apart than `max_call_gap` are taken for a pause. The pause and `grace`
    // more are left out of all silences, so that others have time to be heard again.
    pause_detector(milliseconds max_call_gap, milliseconds grace);

    // To be called with each look at the clock; calls that go back in time change nothing.
    void observe(instant now);
    // `now` less the time left out so far; silences are differences of these values.
    [[nodiscard]] instant pause_adjusted(instant now) const noexcept { return now - left_out_; }
    // Pauses found so far.
    [[nodiscard]] std::uint64_t pause_count() const noexcept { return pauses_; }

private:
    milliseconds max_call_gap_;
    milliseconds grace_;
    std::optional<instant> last_;
    boot_clock::duration left_out_{0};
    std::uint64_t pauses_ = 0;
};

// ---------------------------------------------------------------------------------------------
// Agents and targets

struct target_directory_options {
    // Fixed number of partitions of the system.
    std::uint32_t partition_count = 4;
    // Interval at which an agent syncs unless record_sync names another.
    milliseconds sync_interval{2'000};
    // An own agent expires after this many intervals without a sync.
    std::uint32_t max_missed_syncs = 3;
    // Silence of another entry after which its statements are dropped. Longer than for an agent:
    // requests find dead targets themselves, and the agents announce themselves to the next owner.
    milliseconds entry_timeout{20'000};
    // Longest gap between two calls that is not taken for a pause of the own process.
    milliseconds max_call_gap{4'000};
};

// What an entry tells the others besides its targets.
struct local_state {
    entry_info self;
    config_version configuration;
    std::vector<partition_summary> partitions;
    std::vector<team_usage> usage;
    bool is_leaving = false;
};

// An agent that syncs with this entry, as of its last sync.
struct local_agent {
    sync_request last_sync;
    instant synced_at;
    milliseconds sync_interval{0};
};

// What an entry knows of agents and their targets: its own agents by their syncs, the others by
// the digests of their owners.
class target_directory {
public:
    explicit target_directory(target_directory_options options = {});

    // Replaces what make_digest tells besides targets. The epochs of `state.partitions` also rank
    // the own statements about workers.
    void set_local_state(local_state state);
    // Notes an own agent; `next_sync` is the interval that it was told, the option's if zero. A
    // new incarnation replaces the former one at once; a late message of a replaced incarnation or
    // an older sequence of the same one is ignored. Returns false if ignored.
    bool record_sync(const sync_request& request, instant now, milliseconds next_sync = {});
    // Drops own agents that missed too many syncs, and silent entries; returns the workers of the
    // dropped agents. To be called before make_digest, at each digest interval.
    std::vector<worker_id> expire(instant now);
    // Forgets an own agent at once, for example when it was redirected to another entry.
    void remove(const worker_id& worker);

    // The digest for one other entry: the whole target list if `receiver` has not acknowledged the
    // present version, else is_unchanged.
    [[nodiscard]] entry_digest make_digest(const entry_id& receiver) const;
    // Notes the digest of another entry. Returns the version to acknowledge in the reply: the one
    // held from this life of the sender, 0 if its list is needed.
    std::uint64_t apply_digest(const entry_digest& digest, instant now);
    // Notes the reply of `receiver` to the last digest.
    void record_reply(const entry_id& receiver, const digest_reply& reply);

    // All targets known, one statement for each worker: of the incarnation that appeared last,
    // then of the highest epoch of the worker's partition, then of the newest report. Sorted by
    // worker. Targets of silent agents and entries are left out.
    [[nodiscard]] std::vector<known_target> targets(instant now);
    // The own agents that are not expired, sorted by worker.
    [[nodiscard]] std::vector<local_agent> local_agents(instant now);
    // The last digests of the entries that are not silent, without their target lists.
    [[nodiscard]] std::vector<entry_digest> entry_digests(instant now);

    // Grows with each visible change of the own target list; load figures are none.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct agent_record {
        local_agent agent;
        instant heard_at;  // adjusted for pauses
        std::vector<known_target> targets;
    };
    struct worker_statement {
        incarnation_number incarnation;
        std::vector<known_target> targets;
    };
    struct entry_record {
        entry_digest last;  // without targets
        std::uint64_t held_version = 0;
        std::map<worker_id, worker_statement> workers;
        instant listed_at;
        instant heard_at;  // adjusted for pauses
    };
    // Incarnations of one worker, the one that appeared last at the end.
    using incarnation_history = std::vector<incarnation_number>;
    // How a statement ranks against others about the same worker.
    struct rank {
        std::size_t incarnation = 0;
        epoch_number epoch;
        instant reported_at;
        friend auto operator<=>(const rank&, const rank&) = default;
    };

    void note_incarnation(const worker_id& worker, incarnation_number incarnation);
    [[nodiscard]] std::size_t incarnation_rank(const worker_id& worker,
                                               incarnation_number incarnation) const;
    [[nodiscard]] epoch_number epoch_of(const std::vector<partition_summary>& partitions,
                                        const worker_id& worker) const;
    [[nodiscard]] bool is_silent(const agent_record& record, instant now) const;
    [[nodiscard]] bool is_silent(const entry_record& record, instant now) const;
    void forget_unknown_workers();

    target_directory_options options_;
    pause_detector pauses_;
    local_state local_;
    std::uint64_t version_ = 1;
    std::map<worker_id, agent_record> own_;
    std::map<entry_id, entry_record> entries_;
    std::map<entry_id, std::uint64_t> acknowledged_;
    std::map<worker_id, incarnation_history> history_;
};

// ---------------------------------------------------------------------------------------------
// Entries

struct entry_directory_options {
    milliseconds digest_interval{2'000};
    // An entry is dead after this many intervals without a digest, or this many failed calls to it
    // in a row without a digest from it in between; of several failures within half an interval
    // one is counted.
    std::uint32_t max_missed_digests = 3;
    // Longest gap between two calls that is not taken for a pause of the own process.
    milliseconds max_call_gap{4'000};
};

// Which entries exist and are live. The own entry is always known and, unless it is leaving, live.
class entry_directory {
public:
    explicit entry_directory(entry_info self, entry_directory_options options = {});

    // Replaces the list of the rows entry/<id>. Not called while the table is unavailable, so the
    // last list stands. An entry seen for the first time has until its first missed digests to
    // send one. Entries that lost their row stay as long as their digests arrive.
    void set_registered(const std::vector<entry_info>& entries, instant now);
    // A digest, or any other sign of life, came from `entry`. Ignored if it is of an incarnation
    // that was replaced.
    void record_heartbeat(const entry_info& entry, instant now, bool is_leaving = false);
    // A call to the entry failed before an answer.
    void record_call_failure(const entry_id& entry, instant now);
    // The own entry is leaving.
    void mark_self_leaving() noexcept { is_self_leaving_ = true; }

    // The entries that may own partitions, sorted by id, the own one included.
    [[nodiscard]] std::vector<entry_info> live(instant now);
    // All entries known, live or not, sorted by id, the own one included.
    [[nodiscard]] std::vector<entry_info> all() const;
    // Pauses of the own process found so far.
    [[nodiscard]] std::uint64_t pause_count() const noexcept { return pauses_.pause_count(); }

private:
    struct record {
        entry_info info;
        instant heard_at;   // adjusted for pauses
        instant failed_at;  // of the last counted failure
        std::uint32_t failed_calls = 0;
        bool is_registered = false;
        bool is_leaving = false;
        std::vector<incarnation_number> replaced;
    };

    record* accept(const entry_info& entry, instant now);
    [[nodiscard]] bool is_live(const record& value, instant now) const;

    entry_info self_;
    entry_directory_options options_;
    pause_detector pauses_;
    bool is_self_leaving_ = false;
    std::map<entry_id, record> entries_;
};

// The entry of `live` that should own the partition, by rendezvous hashing, whatever their order:
// when an entry comes or goes, only its own partitions move. nullptr if `live` is empty; valid as
// long as `live`.
[[nodiscard]] const entry_info* owner_of(partition_number partition,
                                         std::span<const entry_info> live);

}  // namespace tanagerpaddle
