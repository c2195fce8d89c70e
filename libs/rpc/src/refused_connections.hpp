// Connections that an HTTP server refuses because its bound is reached.

#pragma once

#include <cstddef>
#include <list>
#include <mutex>
#include <thread>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

// Answers refused connections and closes each one when its caller has closed it, at the latest
// after a second. A connection that is closed while its request is still arriving is reset, and
// the caller sees a failed write in place of the answer.
class refused_connections {
public:
    // Throws error(internal_error) if the process has no descriptor left.
    refused_connections();
    // Closes all remaining connections.
    ~refused_connections();
    refused_connections(const refused_connections&) = delete;
    refused_connections& operator=(const refused_connections&) = delete;

    // Sends the refusal and takes over the connection. Does not block.
    void add(int connection);

private:
    struct lingering {
        int connection;
        deadline close_at;
    };

    void run();
    // Waits until a connection can be read, the first deadline passes or add() is called.
    void wait(const std::list<lingering>& open) const;
    void wake() const;

    system_clock time_;
    int wake_up_;
    std::mutex mutex_;
    std::list<lingering> added_;
    bool is_stopping_ = false;
    std::thread thread_;
};

}  // namespace tanagerpaddle
