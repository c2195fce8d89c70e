#pragma once

// Log sink on an open descriptor that never blocks.

#include <spdlog/sinks/base_sink.h>

#include <functional>
#include <mutex>
#include <string>

namespace tanagerpaddle::telemetry_detail {

// Writes lines to a descriptor that it does not own. What the descriptor does not take at once is
// kept, up to a bound, and written with later lines; lines beyond the bound are counted, and the
// count is written as a line of its own when there is room again. The descriptor's flags stay as
// they are, since other processes may share them. Text that is left when the sink is destroyed and
// that the descriptor does not take is lost.
class stream_sink final : public spdlog::sinks::base_sink<std::mutex> {
public:
    // `make_notice` returns the line, without its end, that tells of so many dropped lines.
    stream_sink(int descriptor, std::function<std::string(std::uint64_t)> make_notice);
    ~stream_sink() override;
    stream_sink(const stream_sink&) = delete;
    stream_sink& operator=(const stream_sink&) = delete;

private:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;
    void write_pending();

    int descriptor_;
    std::function<std::string(std::uint64_t)> make_notice_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
};

}  // namespace tanagerpaddle::telemetry_detail
