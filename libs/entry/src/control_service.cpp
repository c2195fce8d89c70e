// Calls of agents and of other entries.

#include "entry_services.hpp"

namespace tanagerpaddle {

void entry_services::mount_control() {
    control_methods_.add("entry.sync",
                         [this](const std::string& params) { return serve_sync(params); });
    control_methods_.add("entry.digest",
                         [this](const std::string& params) { return serve_digest(params); });
    control_methods_.add("entry.notify",
                         [this](const std::string& params) { return serve_notice(params); });
    control_methods_.add("entry.config",
                         [this](const std::string&) { return serve_configuration(); });
    mount_job_views();
    control_methods_.mount(control, keys_);
}

std::string entry_services::serve_sync(const std::string& params) {
    const auto request = decode<sync_request>(params);
    if (request.worker.empty()) {
        throw error(result_code::malformed_request, "a sync needs the worker's id");
    }
    const std::lock_guard lock(control_mutex_);
    sync_reply reply = scheduler_.sync(request);
    if (reply.redirect) {
        targets_known_.remove(request.worker);
    } else {
        // Without an owner for its partition an agent gets no work, but its target still serves.
        targets_known_.record_sync(request, time_.now(), milliseconds(reply.next_sync_ms));
    }
    if (reply.entries.empty()) {
        reply.entries = entries_known_.live(time_.now());
    }
    return encode(reply);
}

std::string entry_services::serve_digest(const std::string& params) {
    const auto digest = decode<entry_digest>(params);
    digest_reply reply;
    {
        const std::lock_guard lock(control_mutex_);
        entries_known_.record_heartbeat(digest.from, time_.now(), digest.is_leaving);
        reply.acknowledged = targets_known_.apply_digest(digest, time_.now());
    }
    const std::lock_guard lock(configuration_mutex_);
    reply.configuration = accepted_.version;
    return encode(reply);
}

std::string entry_services::serve_notice(const std::string& params) {
    const auto notice = decode<entry_notice>(params);
    {
        const std::lock_guard lock(control_mutex_);
        for (const partition_number partition : notice.changed_shards) {
            scheduler_.mark_shard_changed(partition);
        }
    }
    bool is_news = false;
    {
        const std::lock_guard lock(configuration_mutex_);
        is_news = notice.configuration > accepted_.version;
    }
    if (is_news) {
        refresh_configuration();
    }
    return "{}";
}

std::string entry_services::serve_configuration() {
    const std::lock_guard lock(configuration_mutex_);
    return encode(accepted_.row);
}

}  // namespace tanagerpaddle
