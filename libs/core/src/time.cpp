#include <time.h>

#include <algorithm>

#include "tanagerpaddle/core.hpp"

namespace tanagerpaddle {

namespace {

std::chrono::nanoseconds read_clock(clockid_t id) {
    timespec value{};
    if (clock_gettime(id, &value) != 0) {
        throw error(result_code::internal_error, "clock_gettime failed");
    }
    return std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
}

constexpr std::int64_t manual_utc_origin_ms = 1'700'000'000'000;

}  // namespace

instant system_clock::now() const {
    return instant(read_clock(CLOCK_BOOTTIME));
}

utc_millis system_clock::utc_now() const {
    return utc_millis(std::chrono::duration_cast<milliseconds>(read_clock(CLOCK_REALTIME)).count());
}

manual_clock::manual_clock(milliseconds start) : now_ns_(std::chrono::nanoseconds(start).count()) {}

instant manual_clock::now() const {
    return instant(std::chrono::nanoseconds(now_ns_.load()));
}

utc_millis manual_clock::utc_now() const {
    return utc_millis(manual_utc_origin_ms + now_ns_.load() / 1'000'000);
}

void manual_clock::advance(milliseconds step) {
    now_ns_.fetch_add(std::chrono::nanoseconds(step).count());
}

milliseconds deadline::remaining(instant now) const noexcept {
    constexpr milliseconds longest = std::chrono::hours(24);
    if (has_passed(now)) {
        return milliseconds(0);
    }
    if (when_ == instant::max()) {
        return longest;
    }
    return std::min(longest, std::chrono::duration_cast<milliseconds>(when_ - now));
}

}  // namespace tanagerpaddle
