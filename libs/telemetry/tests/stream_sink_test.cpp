// Tests the log on a pipe whose reader stands still.

#include "stream_sink.hpp"

#include <doctest/doctest.h>
#include <poll.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <sstream>

using namespace tanagerpaddle;

namespace {

struct pipe_ends {
    pipe_ends() { REQUIRE(::pipe(ends.data()) == 0); }
    ~pipe_ends() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;

    // What one read returns; the pipe must not be empty.
    [[nodiscard]] std::string read() const {
        std::array<char, 65'536> part{};
        const auto size = ::read(ends[0], part.data(), part.size());
        REQUIRE(size > 0);
        return {part.data(), static_cast<std::size_t>(size)};
    }

    [[nodiscard]] bool is_readable() const {
        pollfd state{ends[0], POLLIN, 0};
        return ::poll(&state, 1, 0) == 1;
    }

    std::array<int, 2> ends{};
};

}  // namespace

// Guards against a process that stands still because nobody reads its log (review/10).
TEST_CASE("a log whose reader stands still drops and counts lines instead of blocking") {
    const pipe_ends pipe;
    constexpr int line_count = 20'000;
    const auto notice = [](std::uint64_t dropped) { return "dropped " + std::to_string(dropped); };
    const auto sink = std::make_shared<telemetry_detail::stream_sink>(pipe.ends[1], notice);
    spdlog::logger logger("events", sink);
    logger.set_pattern("%v");
    const std::string padding(200, '.');
    for (int i = 0; i < line_count; ++i) {
        logger.info("line {} {}", i, padding);
    }
    std::string text;
    const auto read_all = [&] {
        for (; pipe.is_readable(); logger.flush()) {
            text += pipe.read();
        }
    };
    read_all();
    logger.info("line end {}", padding);
    read_all();
    std::istringstream lines(text);
    std::uint64_t dropped = 0;
    int next = 0;
    bool has_end = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind("dropped ", 0) == 0) {
            dropped += std::stoull(line.substr(8));
        } else if (line != "line end " + padding) {
            CHECK(line == "line " + std::to_string(next++) + " " + padding);
        } else {
            has_end = true;
        }
    }
    CHECK(next > 4'000);
    CHECK(next < line_count);
    CHECK(dropped == static_cast<std::uint64_t>(line_count - next));
    CHECK(has_end);
}

TEST_CASE("lines of any length arrive whole and in order while the reader reads") {
    const pipe_ends pipe;
    const auto sink = std::make_shared<telemetry_detail::stream_sink>(
        pipe.ends[1], [](std::uint64_t) { return std::string("dropped"); });
    spdlog::logger logger("events", sink);
    logger.set_pattern("%v");
    const std::string text(30'000, 'x');
    for (int i = 0; i < 10; ++i) {
        logger.info("{}", text);
        std::string line;
        while (line.size() <= text.size()) {
            line += pipe.read();
        }
        CHECK(line == text + "\n");
    }
}
