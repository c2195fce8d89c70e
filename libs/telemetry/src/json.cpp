#include <array>
#include <cmath>
#include <cstdio>

#include "telemetry_internal.hpp"

namespace tanagerpaddle::telemetry_detail {

std::string rfc3339(utc_millis time) {
    using namespace std::chrono;
    const sys_time<milliseconds> point{milliseconds{time.value()}};
    const auto day = floor<days>(point);
    const year_month_day date{day};
    const hh_mm_ss clock_time{point - day};
    std::array<char, 64> buffer{};
    const int length = std::snprintf(
        buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
        static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()), static_cast<int>(clock_time.hours().count()),
        static_cast<int>(clock_time.minutes().count()),
        static_cast<int>(clock_time.seconds().count()),
        static_cast<int>(clock_time.subseconds().count()));
    return {buffer.data(), static_cast<std::size_t>(length)};
}

json to_json(const field_value& value, std::size_t max_bytes) {
    return std::visit(
        [&](const auto& item) -> json {
            using type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<type, secret>) {
                return "***";
            } else if constexpr (std::is_same_v<type, std::string>) {
                return item.substr(0, max_bytes);
            } else if constexpr (std::is_same_v<type, double>) {
                // JSON has no infinity and no NaN.
                return std::isfinite(item) ? json(item) : json(nullptr);
            } else {
                return item;
            }
        },
        value.value());
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace tanagerpaddle::telemetry_detail
