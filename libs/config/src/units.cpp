#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "tanagerpaddle/config.hpp"

namespace tanagerpaddle {

namespace {

using namespace std::chrono;

constexpr std::int64_t last_utc_millis = 253'402'300'799'999;  // 9999-12-31T23:59:59.999Z

// Beyond the limits of a configuration, so that validation reports the amount.
std::int64_t rounded(double value) {
    constexpr auto bound = static_cast<double>(2 * configuration_limits::amount);
    return std::isfinite(value) ? std::llround(std::clamp(value, -bound, bound))
                                : 2 * configuration_limits::amount;
}

std::optional<int> parse_digits(std::string_view text) noexcept {
    int value = 0;
    for (const char c : text) {
        if (c < '0' || c > '9') {
            return std::nullopt;
        }
        value = value * 10 + (c - '0');
    }
    return value;
}

}  // namespace

namespace units {

millicores cores(double count) {
    return millicores(rounded(count * 1'000));
}

mebibytes gibibytes(double count) {
    return mebibytes(rounded(count * 1'024));
}

mebibytes gigabytes(double count) {
    return mebibytes(rounded(count * 1e9 / 1'048'576));
}

accelerator_count accelerators(std::int64_t count) {
    return accelerator_count(count);
}

utc_millis utc(std::string_view text) {
    const auto time = parse_rfc3339(text);
    if (!time) {
        throw error(result_code::invalid_configuration,
                    "'" + std::string(text.substr(0, 64)) +
                        "' is not allowed; allowed: a UTC time such as 2026-12-05T05:30:00Z");
    }
    return *time;
}

utc_millis in_hours(double count, utc_millis now) {
    return utc_millis(now.value() + rounded(count * 3'600'000));
}

}  // namespace units

std::string to_rfc3339(utc_millis time) {
    const sys_time<milliseconds> point{
        milliseconds{std::clamp<std::int64_t>(time.value(), 0, last_utc_millis)}};
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

std::optional<utc_millis> parse_rfc3339(std::string_view text) noexcept {
    constexpr std::string_view shape = "0000-00-00T00:00:00";
    const bool has_millis = text.size() == shape.size() + 5;
    if ((!has_millis && text.size() != shape.size() + 1) || text.back() != 'Z' ||
        (has_millis && text[shape.size()] != '.')) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < shape.size(); ++i) {
        if (shape[i] != '0' && text[i] != shape[i]) {
            return std::nullopt;
        }
    }
    const auto year = parse_digits(text.substr(0, 4));
    const auto month = parse_digits(text.substr(5, 2));
    const auto day = parse_digits(text.substr(8, 2));
    const auto hour = parse_digits(text.substr(11, 2));
    const auto minute = parse_digits(text.substr(14, 2));
    const auto second = parse_digits(text.substr(17, 2));
    const auto millis = parse_digits(has_millis ? text.substr(20, 3) : "0");
    if (!year || !month || !day || !hour || !minute || !second || !millis) {
        return std::nullopt;
    }
    const year_month_day date{std::chrono::year{*year},
                              std::chrono::month{static_cast<unsigned>(*month)},
                              std::chrono::day{static_cast<unsigned>(*day)}};
    if (!date.ok() || *year < 1970 || *hour > 23 || *minute > 59 || *second > 59) {
        return std::nullopt;
    }
    const auto point =
        sys_days{date} + hours{*hour} + minutes{*minute} + seconds{*second} + milliseconds{*millis};
    return utc_millis{milliseconds{point.time_since_epoch()}.count()};
}

}  // namespace tanagerpaddle
