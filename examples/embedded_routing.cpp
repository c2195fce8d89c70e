// Selects targets with the routing library inside a program of one's own, without the daemons.

#include <iostream>

#include "tanagerpaddle/routing.hpp"

using namespace tanagerpaddle;

namespace {

route_target target_at(const char* id, const char* domain, std::uint16_t port) {
    route_target target;
    target.id = target_id(id);
    target.service = service_id("cut-orders");
    target.incarnation = incarnation_number(1);
    target.data = {"127.0.0.1", port};
    target.domain = failure_domain_id(domain);
    return target;
}

}  // namespace

int main() {
    constexpr int requests = 10;
    constexpr std::uint64_t seed = 7;
    const system_clock time;
    random_source random(seed);
    target_pool pool({}, time, failure_domain_id("rosenberg"));
    pool.replace(
        {target_at("target-1", "rosenberg", 8001), target_at("target-2", "richmond", 8002)});
    for (int i = 0; i < requests; ++i) {
        acquisition acquired = pool.acquire(service_id("cut-orders"), {}, random);
        if (!acquired.lease) {
            std::cerr << name(acquired.reason) << '\n';
            return 1;
        }
        // Here the program sends its request to the address.
        std::cout << to_string(acquired.lease->target().data) << '\n';
        pool.release(*acquired.lease, {result_code::ok, std::chrono::milliseconds(4)});
    }
    for (const target_status& status : pool.status()) {
        std::cout << status.id.value() << ": limit " << status.limit << '\n';
    }
    return 0;
}
