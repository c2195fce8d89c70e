#include "stream_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace tanagerpaddle::telemetry_detail {

namespace {

// Some 4,000 lines, which a busy entry writes in 20 s; under 1% of the smallest machine.
constexpr std::size_t max_pending_bytes = 1U << 20U;

// A descriptor that is ready takes at least this without blocking, by POSIX for pipes.
constexpr std::size_t write_size = PIPE_BUF;

}  // namespace

stream_sink::stream_sink(int descriptor, std::function<std::string(std::uint64_t)> make_notice)
    : descriptor_(descriptor), make_notice_(std::move(make_notice)) {}

stream_sink::~stream_sink() {
    write_pending();
}

void stream_sink::sink_it_(const spdlog::details::log_msg& message) {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    write_pending();
    if (pending_.size() + line.size() > max_pending_bytes) {
        ++dropped_;
        return;
    }
    if (dropped_ > 0) {
        pending_ += make_notice_(std::exchange(dropped_, 0)) + "\n";
    }
    pending_.append(line.data(), line.size());
    write_pending();
}

void stream_sink::flush_() {
    write_pending();
}

void stream_sink::write_pending() {
    std::size_t written = 0;
    while (written < pending_.size()) {
        pollfd state{descriptor_, POLLOUT, 0};
        if (::poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
            break;
        }
        const auto size = ::write(descriptor_, pending_.data() + written,
                                  std::min(write_size, pending_.size() - written));
        if (size >= 0) {
            written += static_cast<std::size_t>(size);
        } else if (errno != EINTR) {
            // Nobody will ever read it, or not now; either way the text stays within the bound.
            break;
        }
    }
    pending_.erase(0, written);
}

}  // namespace tanagerpaddle::telemetry_detail
