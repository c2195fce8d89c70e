#pragma once

// Membership view of one entry: known agents, targets and entries. The classes of this header are
// not thread-safe. All instants are values of the caller's own clock.

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "tanagerpaddle/core.hpp"
#include "tanagerpaddle/protocol.hpp"
#include "tanagerpaddle/store.hpp"

namespace tanagerpaddle {

// Detects pauses of the local process from gaps between calls, so that a process that was frozen
// does not expire its peers for the time in which it could not receive their messages.
class pause_detector {
public:
    // A gap between calls longer than `max_call_gap` counts as a pause. The pause plus `grace` is
    // excluded from time-outs, so that peers have time to send again.
    pause_detector(milliseconds max_call_gap, milliseconds grace);

    // Call with each reading of the clock; readings that go back in time are ignored.
    void observe(instant now);
    // `now` less the excluded time so far. Time-outs are measured between such values.
    [[nodiscard]] instant pause_adjusted(instant now) const noexcept {
        return now - excluded_time_;
    }
    [[nodiscard]] std::uint64_t pause_count() const noexcept { return pauses_; }

private:
    milliseconds max_call_gap_;
    milliseconds grace_;
    std::optional<instant> last_;
    boot_clock::duration excluded_time_{0};
    std::uint64_t pauses_ = 0;
};

// ---------------------------------------------------------------------------------------------
// Agents and targets

struct target_directory_options {
    // Number of partitions of the system; never changes.
    std::uint32_t partition_count = 4;
    // Interval at which an agent syncs unless record_sync names another.
    milliseconds sync_interval{2'000};
    // A local agent expires after this many intervals without a sync.
    std::uint32_t max_missed_syncs = 3;
    // Time without a digest after which the reports of another entry are dropped. Longer than for
    // an agent: requests detect dead targets, and agents register with the next owner.
    milliseconds entry_timeout{20'000};
    // A longer gap between two calls counts as a pause of the local process.
    milliseconds max_call_gap{4'000};
};

// State that an entry sends to the others besides its targets.
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

// Agents and targets known to an entry: local agents from their syncs, the others from the digests
// of the entries that own them.
class target_directory {
public:
    explicit target_directory(target_directory_options options = {});

    // Replaces the state that make_digest sends besides targets. The epochs of `state.partitions`
    // also rank the local reports about workers.
    void set_local_state(local_state state);
    // Records a sync of a local agent. `next_sync` is the interval sent to the agent; if zero,
    // options.sync_interval applies. A new incarnation replaces the previous one immediately.
    // Ignores messages of a replaced incarnation and older sequence numbers of the same one;
    // returns false if ignored.
    bool record_sync(const sync_request& request, instant now, milliseconds next_sync = {});
    // Removes local agents that missed too many syncs, and entries that timed out; returns the
    // workers of the removed agents. Call before make_digest, at each digest interval.
    std::vector<worker_id> expire(instant now);
    // Removes a local agent immediately, for example when it was redirected to another entry.
    void remove(const worker_id& worker);

    // Digest for another entry: with the full target list if `receiver` has not acknowledged the
    // current version, else with is_unchanged set.
    [[nodiscard]] entry_digest make_digest(const entry_id& receiver) const;
    // Applies the digest of another entry. Returns the version to acknowledge in the reply: the one
    // received from this incarnation of the sender, or 0 to request the full list.
    std::uint64_t apply_digest(const entry_digest& digest, instant now);
    // Records the reply of `receiver` to the last digest.
    void record_reply(const entry_id& receiver, const digest_reply& reply);

    // All known targets, sorted by worker. Of several reports about a worker the one of the most
    // recently first seen incarnation is used, then the highest epoch of the worker's partition,
    // then the newest. Excludes targets of expired agents and entries.
    [[nodiscard]] std::vector<known_target> targets(instant now);
    // The local agents that have not expired, sorted by worker.
    [[nodiscard]] std::vector<local_agent> local_agents(instant now);
    // The last digests of the entries that have not timed out, without their target lists.
    [[nodiscard]] std::vector<entry_digest> entry_digests(instant now);

    // Incremented with each change of the local target list other than load figures.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct agent_record {
        local_agent agent;
        instant last_contact_at;  // adjusted for pauses
        std::vector<known_target> targets;
    };
    struct worker_report {
        incarnation_number incarnation;
        std::vector<known_target> targets;
    };
    struct entry_record {
        entry_digest last;  // without targets
        std::uint64_t received_version = 0;
        std::map<worker_id, worker_report> workers;
        instant list_received_at;
        instant last_contact_at;  // adjusted for pauses
    };
    // Incarnations of one worker in the order in which they were first seen.
    using incarnation_history = std::vector<incarnation_number>;
    // Precedence of a report among those about the same worker.
    struct rank {
        std::size_t incarnation = 0;
        epoch_number epoch;
        instant reported_at;
        friend auto operator<=>(const rank&, const rank&) = default;
    };

    void record_incarnation(const worker_id& worker, incarnation_number incarnation);
    [[nodiscard]] std::size_t incarnation_rank(const worker_id& worker,
                                               incarnation_number incarnation) const;
    [[nodiscard]] epoch_number epoch_of(const std::vector<partition_summary>& partitions,
                                        const worker_id& worker) const;
    [[nodiscard]] bool is_expired(const agent_record& record, instant now) const;
    [[nodiscard]] bool is_expired(const entry_record& record, instant now) const;
    void remove_unlisted_workers();

    target_directory_options options_;
    pause_detector pauses_;
    local_state local_;
    std::uint64_t version_ = 1;
    std::map<worker_id, agent_record> local_agents_;
    std::map<entry_id, entry_record> entries_;
    std::map<entry_id, std::uint64_t> acknowledged_;
    std::map<worker_id, incarnation_history> history_;
};

// ---------------------------------------------------------------------------------------------
// Entries

// A row entry/<id> that does not describe that entry.
struct unreadable_registration {
    std::string key;
    std::string cause;
};

struct registrations {
    std::vector<entry_info> entries;
    std::vector<unreadable_registration> unreadable;
};

// Reads the rows entry/<id>. Each row is read on its own: one that is no message, lies under the
// key of another entry or has a control address that no process can listen at is reported as
// unreadable and has no influence on the others.
[[nodiscard]] registrations read_registrations(const std::vector<table_row>& rows);

struct entry_directory_options {
    milliseconds digest_interval{2'000};
    // An entry is dead after this many intervals without a digest, or after this many consecutive
    // failed calls without a digest in between. Failures within half an interval count as one.
    std::uint32_t max_missed_digests = 3;
    // A longer gap between two calls counts as a pause of the local process.
    milliseconds max_call_gap{4'000};
};

// Known entries and their liveness. The local entry is always known, and live unless it is leaving.
class entry_directory {
public:
    explicit entry_directory(entry_info self, entry_directory_options options = {});

    // Replaces the list of entries that have a row entry/<id>. Not called while the table is
    // unavailable, so that the last list remains. A new entry counts as heard from now. Entries
    // without a row are kept while their digests arrive. A row that names another incarnation than
    // the one whose digests arrive is ignored: a restarted entry sends digests itself.
    void set_registered(const std::vector<entry_info>& entries, instant now);
    // Records a digest or any other message from `entry`. Ignored if its incarnation was replaced.
    void record_heartbeat(const entry_info& entry, instant now, bool is_leaving = false);
    // Records a call to the entry that failed without a response.
    void record_call_failure(const entry_id& entry, instant now);
    // Marks the local entry as leaving.
    void mark_self_leaving() noexcept { is_self_leaving_ = true; }

    // The entries that may own partitions, sorted by id, including the local one.
    [[nodiscard]] std::vector<entry_info> live(instant now);
    // All known entries, live or not, sorted by id, including the local one.
    [[nodiscard]] std::vector<entry_info> all() const;
    // Pauses of the local process detected so far.
    [[nodiscard]] std::uint64_t pause_count() const noexcept { return pauses_.pause_count(); }

private:
    struct record {
        entry_info info;
        instant last_contact_at;  // adjusted for pauses
        instant failed_at;        // of the last counted failure
        std::uint32_t failed_calls = 0;
        bool is_registered = false;
        bool is_leaving = false;
        // The incarnation of the last accepted message; none before the first one.
        std::optional<incarnation_number> heard_incarnation;
        // Earlier incarnations that sent messages; those known from rows alone may never have run.
        std::vector<incarnation_number> replaced_incarnations;
    };

    void set_incarnation(record& value, const entry_info& entry, instant now);
    void accept_row(const entry_info& entry, instant now);
    [[nodiscard]] bool is_live(const record& value, instant now) const;

    entry_info self_;
    entry_directory_options options_;
    pause_detector pauses_;
    bool is_self_leaving_ = false;
    std::map<entry_id, record> entries_;
};

// Returns the entry of `live` that should own the partition, by rendezvous hashing: when an entry
// joins or leaves, only its own partitions move. Independent of the order of `live`. Returns
// nullptr if `live` is empty; the pointer is valid as long as `live`.
[[nodiscard]] const entry_info* owner_of(partition_number partition,
                                         std::span<const entry_info> live);

}  // namespace tanagerpaddle
