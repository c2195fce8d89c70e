#pragma once

// Leader election among entries: at most one entry owns the coordinator. The row owner/owner names
// the owner. Each write of the owner is conditional on the version of that row and rewrites it, so
// that a write of an earlier owner, or a delayed duplicate of an own write, has no effect. The
// change of the version also serves as the owner's heartbeat.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tanagerpaddle/dispatch_node.hpp"

namespace tanagerpaddle::dispatch {

inline constexpr const char* owner_table = "owner";
inline constexpr const char* progress_table = "progress";
inline constexpr const char* owner_part = "owner";

struct owner_record {
    std::string name;
    std::string incarnation;
    std::string address;
    epoch_number epoch;
    // The owner has released the ownership. It grants no leases from before it sends this record.
    bool is_released = false;
    // Most processors of one entry among the owner and the entries connected to it.
    millicores max_processors;
    // The write of this record was sent by then; unset if the store's time was not known.
    std::optional<store_instant> sent_by{};
    // No owner before this one grants leases after that; unset if it is not known.
    std::optional<store_instant> earlier_grants_end_by{};
};

[[nodiscard]] std::string encode(const owner_record& record);
[[nodiscard]] std::optional<owner_record> decode_owner(std::string_view text);

class ownership {
public:
    // The ownership that this entry has acquired.
    struct gain {
        epoch_number epoch;
        // The newest record of another process in the row, if there was one.
        std::optional<owner_record> previous;
        // The newest write of another process that changed the row was sent by then.
        instant previous_written_by;
        // No earlier owner grants leases after that; not before the ownership was acquired.
        instant earlier_grants_end_by;
    };
    struct events {
        std::function<void(const gain& gained)> on_gained;
        std::function<void()> on_lost;
    };

    // When all runs have ended that earlier owners started on instances whose agents the new one
    // cannot claim.
    [[nodiscard]] static run_ends unclaimed_runs_end_by(const gain& gained,
                                                        const lease_timing& timing);

    ownership(eventio::event_loop& loop, const clock& time, row_store& store,
              const entry_options& local_entry, events handlers);
    ~ownership();
    ownership(const ownership&) = delete;
    ownership& operator=(const ownership&) = delete;

    void start();
    [[nodiscard]] bool is_owner() const;
    // The owner's record as last read or written; nullopt if there is none.
    [[nodiscard]] const std::optional<owner_record>& current() const;
    // Lower bound of the send time of this entry's newest write that is known to have changed the
    // row. Answers that leave the row as it was do not count: a successor cannot see them.
    [[nodiscard]] instant renewed_at() const;
    // True once this entry has sent a release, unless the store has refused it: another entry may
    // then own the coordinator, and counts on this one granting no more leases.
    [[nodiscard]] bool may_be_released() const;
    // Arrival time of the newest answer of the store.
    [[nodiscard]] instant answered_at() const;
    // Time from request to answer of the newest answer of the store.
    [[nodiscard]] milliseconds store_latency() const;
    // True if this entry is the owner and no write is in progress.
    [[nodiscard]] bool can_write() const;
    // Writes rows of the progress table and renews the ownership. `done` gets true if the rows are
    // durable; otherwise they may still become durable until the next write has succeeded.
    void write(const std::vector<progress_row>& rows, std::function<void(bool)> done);
    // Reads the owner row at once, and uses the shorter takeover timeout until the row changes.
    void suspect_owner();
    // Sets the most processors of one connected entry. The ownership is released if that is at
    // least twice this entry's processors.
    void set_max_peer_processors(millicores processors);
    // Gives up the ownership: an agent has accepted a claim of a later owner.
    void superseded();
    // Releases the ownership with the next write if this entry is the owner, and does not acquire
    // it again.
    void leave();

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace tanagerpaddle::dispatch
