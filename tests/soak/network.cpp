#include "network.hpp"

namespace tanagerpaddle::soak {

void network::send(const message& value) {
    ++sent;
    if (cuts_.contains({value.from, value.to}) || random_.chance(faults.loss)) {
        return;
    }
    const int copies = random_.chance(faults.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        const std::uint64_t extra =
            faults.extra_delay_ms == 0 ? 0 : random_.below(faults.extra_delay_ms);
        const milliseconds delay(static_cast<std::int64_t>(3 + random_.below(10) + extra));
        queue_.emplace(std::pair(time_.now + delay, ++order_), value);
    }
}

std::vector<message> network::arrivals() {
    std::vector<message> result;
    while (!queue_.empty() && queue_.begin()->first.first <= time_.now) {
        result.push_back(std::move(queue_.begin()->second));
        queue_.erase(queue_.begin());
    }
    return result;
}

void network::heal() {
    cuts_.clear();
    faults = {};
}

}  // namespace tanagerpaddle::soak
