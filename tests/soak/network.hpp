#pragma once

// Messages between processes: delay, loss, duplication, reordering and one-way cuts.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tanagerpaddle/protocol.hpp"
#include "trace.hpp"

namespace tanagerpaddle::soak {

struct wake_call {};
struct inventory_call {
    epoch_number epoch;
};
struct sync_answer {
    sync_reply reply;
    std::uint64_t sequence = 0;
};
using message_body =
    std::variant<sync_request, sync_answer, wake_call, inventory_call, entry_digest, entry_notice>;

struct message {
    std::string from;
    std::string to;
    // The life of the receiver that the message is for; 0: whichever life there is.
    std::uint64_t to_life = 0;
    // The life of the sender, to which an answer goes.
    std::uint64_t from_life = 0;
    message_body body;
};

struct network_faults {
    double loss = 0;
    double duplication = 0;
    // Longest extra delay of a message; messages overtake one another.
    std::uint64_t extra_delay_ms = 0;
};

class network {
public:
    network(const virtual_time& time, std::uint64_t seed) : time_(time), random_(seed) {}

    void send(const message& sent);
    // The messages that arrive by now, in the order of their arrival.
    [[nodiscard]] std::vector<message> arrivals();
    void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    void mend(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
    void heal();

    network_faults faults;
    std::uint64_t sent = 0;

private:
    const virtual_time& time_;
    random_source random_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<milliseconds, std::uint64_t>, message> queue_;
    std::uint64_t order_ = 0;
};

}  // namespace tanagerpaddle::soak
