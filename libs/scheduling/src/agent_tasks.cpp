#include <algorithm>

#include "agent_state.hpp"

namespace tanagerpaddle {

agent_tasks::agent_tasks(const agent_options& options, worker_identity identity,
                         instance_ledger& ledger, worker_runtime& runtime, const clock& time,
                         incarnation_number incarnation)
    : state_(std::make_unique<agent_state>(options, std::move(identity), ledger, runtime, time,
                                           incarnation)) {}

agent_tasks::~agent_tasks() = default;

bool agent_tasks::recover() {
    return state_->is_recovered || state_->recover();
}

bool agent_tasks::is_recovered() const noexcept {
    return state_->is_recovered;
}

sync_request agent_tasks::next_sync_request() {
    return state_->next_sync_request();
}

void agent_tasks::on_reply(const sync_reply& reply, std::uint64_t sequence) {
    state_->on_reply(reply, sequence);
}

deadline agent_tasks::next_sync_at() const noexcept {
    return state_->next_sync_at;
}

bool agent_tasks::has_unsent_reports() const noexcept {
    return state_->has_new_reports;
}

void agent_tasks::tick() {
    state_->tick();
}

bool agent_tasks::accept_inventory(epoch_number epoch) {
    if (!state_->is_recovered ||
        (state_->options.mechanisms.check_epoch && epoch < state_->epoch)) {
        return false;
    }
    state_->epoch = epoch;
    state_->next_sync_at = deadline(state_->time.now());
    return true;
}

void agent_tasks::set_targets(std::vector<target_report> targets) {
    state_->targets = std::move(targets);
    state_->apply_reservations();
}

void agent_tasks::set_leaving() {
    state_->is_leaving = true;
    state_->next_sync_at = deadline(state_->time.now());
}

bool agent_tasks::is_idle() const noexcept {
    return held_tasks() == 0 && state_->reports.empty();
}

const agent_configuration& agent_tasks::current_configuration() const noexcept {
    return state_->current_configuration;
}

const std::vector<entry_info>& agent_tasks::entries() const noexcept {
    return state_->entries;
}

const std::optional<entry_info>& agent_tasks::redirect() const noexcept {
    return state_->redirect;
}

std::size_t agent_tasks::held_tasks() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(state_->tasks.begin(), state_->tasks.end(),
                      [](const auto& item) { return !item.second.is_ended; }));
}

epoch_number agent_tasks::epoch() const noexcept {
    return state_->epoch;
}

}  // namespace tanagerpaddle
