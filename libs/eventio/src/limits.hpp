#pragma once

// Decisions on which connections a process keeps: how many, and how many bytes they may hold. No
// input or output.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "tanagerpaddle/eventio.hpp"

namespace tanagerpaddle::eventio {

// What a connection is doing, in the order in which connections are closed to make room for new
// ones.
enum class connection_phase : std::uint8_t {
    // Between requests, or a link that has not sent a message yet.
    waiting,
    // A request or the first message is being read.
    reading,
    // The peer has not read the whole response yet.
    writing,
    // A link that has sent messages. One that is in use sends every 300 ms, so that the one that
    // has been silent longest is a stranger's.
    linked,
    // A request is with its handler: never closed to make room, since it may be carried out.
    handling,
};

using connection_number = strong_number<struct connection_number_tag>;
using holder_number = strong_number<struct holder_number_tag>;

// The connections that one listener has accepted.
class connection_pool {
public:
    connection_pool(std::string name, std::size_t capacity)
        : name_(std::move(name)), capacity_(capacity) {}

    // Adds a connection that waits since `now`; `close` closes it and may destroy it.
    [[nodiscard]] connection_number add(instant now, std::function<void()> close);
    // Has no effect on an unknown id.
    void remove(connection_number id);
    void set_phase(connection_number id, connection_phase phase, instant now);

    // Closes the connection that has been longest in the first phase that any is in, if the pool is
    // full. False if it is full of connections that may not be closed.
    bool make_room();
    // Closes one connection in the same order; false if there is none that may be closed.
    bool close_one();
    // Counts a connection that was not accepted.
    void count_refused() { ++refused_; }

    [[nodiscard]] listener_counts counts() const {
        return {name_, capacity_, members_.size(), refused_};
    }

private:
    using rank = std::tuple<connection_phase, instant, connection_number>;
    struct member {
        connection_phase phase = connection_phase::waiting;
        instant since;
        std::function<void()> close;
    };

    std::string name_;
    std::size_t capacity_;
    std::uint64_t last_id_ = 0;
    std::uint64_t refused_ = 0;
    std::map<connection_number, member> members_;
    std::set<rank> closing_order_;
};

// Bytes that the connections of a process hold together.
class byte_budget {
public:
    explicit byte_budget(std::size_t limit) : limit_(limit) {}

    // Adds a holder of no bytes; `release` makes it give up what it holds, at once or in a later
    // callback.
    [[nodiscard]] holder_number add(std::function<void()> release);
    void remove(holder_number id);
    // Sets what a holder holds. While the sum exceeds the limit, the releasable holder of the most
    // bytes is released, which may be this one.
    void set(holder_number id, std::size_t bytes, bool is_releasable);
    [[nodiscard]] std::size_t held() const noexcept { return held_; }
    [[nodiscard]] std::uint64_t released() const noexcept { return released_; }

private:
    struct holder {
        std::size_t bytes = 0;
        bool is_releasable = false;
        std::function<void()> release;
    };

    void assign(holder_number id, holder& target, std::size_t bytes, bool is_releasable);

    std::size_t limit_;
    std::size_t held_ = 0;
    std::uint64_t released_ = 0;
    std::uint64_t last_id_ = 0;
    std::map<holder_number, holder> holders_;
    std::set<std::pair<std::size_t, holder_number>> releasable_;
};

// Connections that a listener may have: its share of the descriptors that are not reserved, at
// least `min_connections`, at most `max_connections`.
[[nodiscard]] std::size_t capacity_of(const process_limits& limits, std::size_t descriptors,
                                      listener_share share, std::size_t max_connections);

}  // namespace tanagerpaddle::eventio
