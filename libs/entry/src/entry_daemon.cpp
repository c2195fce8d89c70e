#include "entry_services.hpp"
#include "tanagerpaddle/entry.hpp"

namespace tanagerpaddle {

entry_daemon::entry_daemon(const settings& values, incarnation_number incarnation, tracer& spans)
    : services_(std::make_unique<entry_services>(values, incarnation, spans)) {}

entry_daemon::~entry_daemon() = default;

void entry_daemon::start() {
    services_->start();
}
void entry_daemon::begin_shutdown() {
    services_->begin_shutdown();
}

bool entry_daemon::wait_until_drained(deadline limit) {
    return services_->wait_until_drained(limit);
}

void entry_daemon::stop() {
    services_->stop();
}
void entry_daemon::reload(const settings& values) {
    services_->reload(values);
}
std::uint16_t entry_daemon::callers_port() const {
    return services_->callers.port();
}
std::uint16_t entry_daemon::operators_port() const {
    return services_->operators.port();
}
std::uint16_t entry_daemon::control_port() const {
    return services_->control.port();
}

}  // namespace tanagerpaddle
