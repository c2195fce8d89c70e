#include <utility>

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle {

configuration_builder& configuration_builder::failure_domain(std::string id, std::string region) {
    declared_.failure_domains.push_back(
        {failure_domain_id(std::move(id)), region_id(std::move(region))});
    return *this;
}

configuration_builder& configuration_builder::team(std::string id, const resources& quota,
                                                   bool can_borrow) {
    declared_.teams.push_back({team_id(std::move(id)), quota, can_borrow});
    return *this;
}

service_builder configuration_builder::service(std::string id, std::string team) {
    service_declaration service;
    service.id = service_id(std::move(id));
    service.team = team_id(std::move(team));
    declared_.services.push_back(std::move(service));
    return {*this, declared_.services.size() - 1};
}

job_builder configuration_builder::add_job(job_declaration job) {
    declared_.jobs.push_back(std::move(job));
    return {*this, declared_.jobs.size() - 1};
}

job_builder configuration_builder::batch_job(std::string id, std::string team,
                                             const resources& demand) {
    job_declaration job;
    job.id = job_id(std::move(id));
    job.team = team_id(std::move(team));
    job.demand = demand;
    return add_job(std::move(job));
}

job_builder configuration_builder::hold(std::string id, std::string team, const resources& demand) {
    job_declaration job;
    job.id = job_id(std::move(id));
    job.team = team_id(std::move(team));
    job.kind = job_kind::hold;
    job.demand = demand;
    return add_job(std::move(job));
}

configuration_builder& configuration_builder::drain(std::string failure_domain) {
    declared_.drains.emplace_back(std::move(failure_domain));
    return *this;
}

configuration configuration_builder::build() const {
    const auto problems = validate(declared_);
    if (!problems.empty()) {
        std::string message = "invalid configuration";
        for (const auto& problem : problems) {
            message += "\n" + to_string(problem);
        }
        throw error(result_code::invalid_configuration, message);
    }
    return declared_;
}

service_declaration& service_builder::declaration() const {
    return owner_->declared_.services.at(index_);
}

service_builder& service_builder::slots(std::uint32_t count) {
    declaration().slots = count;
    return *this;
}

service_builder& service_builder::connections(std::uint32_t count) {
    declaration().connections = count;
    return *this;
}

service_builder& service_builder::reserved(const resources& amount) {
    declaration().reserved = amount;
    return *this;
}

service_builder& service_builder::max_body_bytes(std::uint64_t bytes) {
    declaration().max_body_bytes = bytes;
    return *this;
}

method_builder service_builder::add_method(std::string id, bool is_idempotent) {
    method_declaration method;
    method.id = method_id(std::move(id));
    method.is_idempotent = is_idempotent;
    declaration().methods.push_back(std::move(method));
    return {*this, declaration().methods.size() - 1};
}

method_builder service_builder::idempotent_method(std::string id) {
    return add_method(std::move(id), true);
}

method_builder service_builder::non_idempotent_method(std::string id) {
    return add_method(std::move(id), false);
}

method_declaration& method_builder::declaration() const {
    return service_.declaration().methods.at(index_);
}

method_builder& method_builder::priority(request_priority value) {
    declaration().priority = value;
    return *this;
}

method_builder& method_builder::duplicates(duplicate_scope value) {
    declaration().duplicates = value;
    return *this;
}

method_builder method_builder::idempotent_method(std::string id) {
    return service_.idempotent_method(std::move(id));
}

method_builder method_builder::non_idempotent_method(std::string id) {
    return service_.non_idempotent_method(std::move(id));
}

job_declaration& job_builder::declaration() const {
    return owner_->declared_.jobs.at(index_);
}

job_builder& job_builder::tasks(std::uint32_t count) {
    declaration().task_count = count;
    return *this;
}

job_builder& job_builder::run_time(milliseconds estimate) {
    declaration().run_time = estimate;
    return *this;
}

job_builder& job_builder::complete_by(utc_millis time) {
    declaration().complete_by = time;
    return *this;
}

job_builder& job_builder::urgent() {
    declaration().priority = job_priority::urgent;
    return *this;
}

job_builder& job_builder::non_idempotent() {
    declaration().is_idempotent = false;
    return *this;
}

job_builder& job_builder::without_checkpoints() {
    declaration().can_checkpoint = false;
    return *this;
}

job_builder& job_builder::command(std::string text) {
    declaration().command = std::move(text);
    return *this;
}

}  // namespace tanagerpaddle
