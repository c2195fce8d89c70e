#include <algorithm>

#include "pool_state.hpp"

namespace tanagerpaddle {

// ---------------------------------------------------------------------------------------------
// target_lease

target_lease::target_lease(target_pool& pool, std::shared_ptr<const pool_entry> entry,
                           bool is_probe, instant acquired_at) noexcept
    : pool_(&pool), entry_(std::move(entry)), is_probe_(is_probe), acquired_at_(acquired_at) {}

target_lease::target_lease(target_lease&& other) noexcept
    : pool_(other.pool_),
      entry_(std::move(other.entry_)),
      is_probe_(other.is_probe_),
      acquired_at_(other.acquired_at_) {}

target_lease& target_lease::operator=(target_lease&& other) noexcept {
    if (this != &other) {
        if (is_held()) {
            pool_->release(*this, {.code = result_code::cancelled_not_run});
        }
        pool_ = other.pool_;
        entry_ = std::move(other.entry_);
        is_probe_ = other.is_probe_;
        acquired_at_ = other.acquired_at_;
    }
    return *this;
}

target_lease::~target_lease() {
    if (is_held()) {
        pool_->release(*this, {.code = result_code::cancelled_not_run});
    }
}

const route_target& target_lease::target() const noexcept {
    return entry_->target;
}

bool target_lease::is_local() const noexcept {
    return entry_->is_local;
}

nanoseconds target_lease::p99_latency() const noexcept {
    return entry_->counters->p99.value();
}

// ---------------------------------------------------------------------------------------------
// target_pool

target_pool::target_pool(const pool_options& options, const clock& time,
                         failure_domain_id local_domain)
    : state_(std::make_unique<pool_state>(options, time, std::move(local_domain))) {}

target_pool::~target_pool() = default;

void target_pool::replace(std::vector<route_target> targets) {
    state_->replace(std::move(targets));
}

acquisition target_pool::acquire(const service_id& service, const std::vector<target_id>& excluded,
                                 random_source& random, const acquire_options& options) {
    const instant now = state_->now();
    selection_result selected = state_->acquire(service, excluded, random, options.can_probe, now);
    acquisition result;
    result.reason = selected.reason;
    if (selected.entry) {
        result.lease = target_lease(*this, std::move(selected.entry), selected.is_probe, now);
    }
    return result;
}

void target_pool::release(target_lease& lease, const request_outcome& outcome) {
    if (!lease.is_held()) {
        return;
    }
    const auto entry = std::move(lease.entry_);
    lease.entry_.reset();
    state_->finish(*entry, lease.is_probe_, outcome);
}

std::vector<target_status> target_pool::status() const {
    return state_->status();
}

// ---------------------------------------------------------------------------------------------
// Snapshots

void atomic_min(std::atomic<std::int64_t>& value, std::int64_t candidate) noexcept {
    auto old = value.load();
    while (candidate < old && !value.compare_exchange_weak(old, candidate)) {
    }
}

bool contains(const std::vector<target_id>& ids, const target_id& id) noexcept {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

pool_state::pool_state(const pool_options& options, const clock& time,
                       failure_domain_id local_domain)
    : options_(options),
      time_(time),
      local_domain_(std::move(local_domain)),
      snapshot_(std::make_unique<const pool_snapshot>()) {
    if (!options_.selection) {
        options_.selection = std::make_shared<power_of_two_selection>();
    }
    if (!options_.limit) {
        options_.limit = std::make_shared<aimd_limit>();
    }
}

std::unique_ptr<const pool_snapshot> pool_state::build(std::vector<route_target> targets) const {
    // The caller holds the health mutex, so the old snapshot is valid without a read section.
    const pool_snapshot& old = snapshot_.load();
    std::unordered_map<target_id, std::shared_ptr<const pool_entry>> old_entries;
    for (const auto& [service, group] : old.services) {
        for (const auto* list : {&group.candidates, &group.not_accepting}) {
            for (const auto& entry : *list) {
                old_entries.emplace(entry->target.id, entry);
            }
        }
    }
    std::unordered_map<target_id, std::size_t> last_index;
    for (std::size_t index = 0; index < targets.size(); ++index) {
        last_index[targets[index].id] = index;
    }
    auto next = std::make_unique<pool_snapshot>();
    for (std::size_t index = 0; index < targets.size(); ++index) {
        if (last_index.at(targets[index].id) != index) {
            continue;
        }
        auto entry = std::make_shared<pool_entry>();
        entry->target = std::move(targets[index]);
        const route_target& target = entry->target;
        service_group& group = next->services[target.service];
        if (!group.counters) {
            const auto before = old.services.find(target.service);
            group.counters = before != old.services.end() ? before->second.counters
                                                          : std::make_shared<service_counters>();
        }
        const auto before = old_entries.find(target.id);
        const bool keeps_counters = before != old_entries.end() &&
                                    before->second->target.incarnation == target.incarnation &&
                                    before->second->target.service == target.service;
        entry->counters = keeps_counters
                              ? before->second->counters
                              : std::make_shared<target_counters>(std::clamp<double>(
                                    options_.limit->initial(target.slots, target.connections), 1,
                                    std::max(1U, target.connections)));
        entry->service = group.counters;
        entry->is_local = target.domain == local_domain_;
        (target.accepts ? group.candidates : group.not_accepting).push_back(std::move(entry));
    }
    for (auto& [service, group] : next->services) {
        const auto middle =
            std::stable_partition(group.candidates.begin(), group.candidates.end(),
                                  [](const auto& entry) { return entry->is_local; });
        group.local_count = static_cast<std::size_t>(middle - group.candidates.begin());
    }
    return next;
}

void pool_state::replace(std::vector<route_target> targets) {
    std::unique_ptr<const pool_snapshot> old;
    {
        const std::lock_guard lock(health_mutex_);
        old = snapshot_.exchange(build(std::move(targets)));
        for (const auto& [service, group] : snapshot_.load().services) {
            reinstate_excess(group, to_ns(time_.now()));
        }
    }
    rcu::synchronize();
    // The time of the next probe does not cover targets that were not accepting requests while
    // ejected. Zero makes the next acquire scan all candidates; it is set only after synchronize(),
    // when no reader can overwrite it from a scan of the old snapshot.
    const rcu::read_section section;
    for (const auto& [service, group] : snapshot_.load().services) {
        group.counters->next_probe_ns.store(0);
    }
}

std::vector<target_status> pool_state::status() const {
    const std::int64_t now_ns = to_ns(time_.now());
    std::vector<target_status> result;
    {
        const rcu::read_section section;
        for (const auto& [service, group] : snapshot_.load().services) {
            for (const auto* list : {&group.candidates, &group.not_accepting}) {
                for (const auto& entry : *list) {
                    const target_counters& counters = *entry->counters;
                    result.push_back(
                        {.id = entry->target.id,
                         .service = service,
                         .domain = entry->target.domain,
                         .outstanding = counters.outstanding.load(std::memory_order_relaxed),
                         .limit = counters.effective_limit(now_ns, options_.outliers.slow_start),
                         .latency =
                             nanoseconds(counters.latency_ns.load(std::memory_order_relaxed)),
                         .p99_latency = counters.p99.value(),
                         .failure_share = counters.current_failure_share(),
                         .is_ejected = counters.health.load() != health_state::healthy,
                         .is_leaving = counters.is_leaving(now_ns),
                         .accepts = entry->target.accepts});
                }
            }
        }
    }
    std::sort(result.begin(), result.end(), [](const target_status& a, const target_status& b) {
        return std::tie(a.service, a.id) < std::tie(b.service, b.id);
    });
    return result;
}

}  // namespace tanagerpaddle
