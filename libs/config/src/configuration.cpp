#include <algorithm>

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle {

namespace {

template <class Declaration, class Id>
const Declaration* find_by_id(const std::vector<Declaration>& declarations, const Id& id) noexcept {
    const auto found = std::find_if(declarations.begin(), declarations.end(),
                                    [&](const Declaration& item) { return item.id == id; });
    return found == declarations.end() ? nullptr : &*found;
}

}  // namespace

const service_declaration* configuration::find_service(const service_id& id) const noexcept {
    return find_by_id(services, id);
}

const team_declaration* configuration::find_team(const team_id& id) const noexcept {
    return find_by_id(teams, id);
}

bool configuration::is_drained(const failure_domain_id& id) const noexcept {
    return std::find(drains.begin(), drains.end(), id) != drains.end();
}

const method_declaration* find_method(const service_declaration& service,
                                      const method_id& id) noexcept {
    return find_by_id(service.methods, id);
}

}  // namespace tanagerpaddle
