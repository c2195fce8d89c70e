#pragma once

// The threads around agent_tasks: one syncs with the entries, one polls the runtime.

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "entry_rotation.hpp"
#include "tanagerpaddle/rpc.hpp"
#include "tanagerpaddle/scheduling.hpp"

namespace tanagerpaddle {

struct sync_loop_options {
    std::vector<endpoint> entries;
    milliseconds tick_interval{500};
    // For one sync call.
    milliseconds call_timeout{2'000};
    // Pause after all entries have failed, and between tries to recover.
    milliseconds retry_interval{200};
};

// Thread-safe. agent_tasks is used under one mutex only, which is not held during a sync call.
class sync_loop {
public:
    using target_source = std::function<std::vector<target_report>()>;

    // `targets` is asked before each sync, `after_tick` is called after each tick without the
    // mutex. The references must outlive the object.
    sync_loop(const sync_loop_options& options, agent_tasks& tasks, rpc_client& calls,
              const clock& time, target_source targets, std::function<void()> after_tick);
    ~sync_loop();
    sync_loop(const sync_loop&) = delete;
    sync_loop& operator=(const sync_loop&) = delete;

    void start();
    // Waits for a running sync call, then joins the threads.
    void stop();
    // Syncs at once, also if a sync is under way: then again after it.
    void wake();
    // A new owner asks. If its epoch is accepted, the agent syncs with `from` next.
    [[nodiscard]] bool accept_inventory(epoch_number epoch, const std::optional<endpoint>& from);
    void set_leaving();
    [[nodiscard]] bool is_recovered() const;
    // As agent_tasks::is_idle().
    [[nodiscard]] bool is_idle() const;
    // Calls `use` with agent_tasks under the mutex.
    void with_tasks(const std::function<void(agent_tasks&)>& use);

private:
    void run_syncs();
    void run_ticks();
    // Tries the entries in turn; false if none gave a usable reply.
    [[nodiscard]] bool sync_once();
    // True if the reply was taken; a redirect is followed by the next try.
    [[nodiscard]] bool sync_with(const endpoint& entry);
    void take_reply(const endpoint& entry, const sync_reply& reply, std::uint64_t sequence,
                    instant sent_at);
    void check_lease();
    // Until the next sync is due; false if the loop stops.
    [[nodiscard]] bool wait_until_due();

    sync_loop_options options_;
    agent_tasks& tasks_;
    rpc_client& calls_;
    const clock& time_;
    target_source targets_;
    std::function<void()> after_tick_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    entry_rotation rotation_;
    bool is_woken_ = false;
    bool is_stopping_ = false;
    deadline lease_end_;
    bool has_lease_ = false;
    std::thread sync_thread_;
    std::thread tick_thread_;
};

}  // namespace tanagerpaddle
