#include "agent_parts.hpp"

namespace tanagerpaddle {

agent_daemon::agent_daemon(const settings& values, incarnation_number incarnation, tracer& spans)
    : parts_(std::make_unique<agent_parts>(values, incarnation, spans)) {}

agent_daemon::~agent_daemon() = default;

void agent_daemon::start() {
    parts_->start();
}

void agent_daemon::begin_shutdown() {
    parts_->begin_shutdown();
}

bool agent_daemon::wait_until_drained(deadline limit) {
    return parts_->wait_until_drained(limit);
}

void agent_daemon::stop() {
    parts_->stop();
}

void agent_daemon::reload(const settings& values) {
    parts_->reload(values);
}

std::uint16_t agent_daemon::data_port() const noexcept {
    return parts_->data_port();
}
std::uint16_t agent_daemon::control_port() const noexcept {
    return parts_->control_port();
}

}  // namespace tanagerpaddle
