#include <spdlog/logger.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "stream_sink.hpp"
#include "telemetry_internal.hpp"

namespace tanagerpaddle {

using telemetry_detail::json;

namespace {

constexpr std::size_t log_level_count = 4;
constexpr std::size_t max_log_text_bytes = 8'192;
// Event names are a small fixed set; a caller that passes generated names shares one budget.
constexpr std::size_t max_limited_events = 1'024;

std::shared_ptr<spdlog::sinks::sink> make_sink(
    const std::string& file, std::function<std::string(std::uint64_t)> make_notice) {
    if (file.empty() || file == "-") {
        return std::make_shared<telemetry_detail::stream_sink>(
            file.empty() ? STDERR_FILENO : STDOUT_FILENO, std::move(make_notice));
    }
    try {
        return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
    } catch (const spdlog::spdlog_ex& e) {
        throw error(result_code::invalid_settings,
                    "cannot open log file " + file + ": " + e.what());
    }
}

bool is_reserved(std::string_view name) {
    constexpr std::array<std::string_view, 6> reserved{"ts",   "level", "event",
                                                       "role", "id",    "suppressed"};
    return std::find(reserved.begin(), reserved.end(), name) != reserved.end();
}

}  // namespace

std::string_view name(log_level level) noexcept {
    constexpr std::array<std::string_view, 4> names{"debug", "info", "warning", "error"};
    return names.at(static_cast<std::size_t>(level));
}

struct event_log::state {
    struct window {
        instant ends_at;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
    };

    state(const log_options& log_options, const clock& log_clock)
        : options(log_options),
          time(log_clock),
          threshold(log_options.threshold),
          logger("events", make_sink(log_options.file,
                                     [this](std::uint64_t count) { return notice_of(count); })) {
        logger.set_pattern("%v");
        logger.set_level(spdlog::level::trace);
        logger.flush_on(spdlog::level::trace);
    }

    // Fields that each line begins with.
    json begin_line(log_level level, std::string_view event) const {
        json line = json::object();
        line["ts"] = telemetry_detail::rfc3339(time.utc_now());
        line["level"] = std::string(name(level));
        line["event"] = std::string(event.substr(0, max_log_text_bytes));
        if (!options.role.empty()) {
            line["role"] = options.role;
        }
        if (!options.id.empty()) {
            line["id"] = options.id;
        }
        return line;
    }

    std::string notice_of(std::uint64_t dropped) const {
        json line = begin_line(log_level::warning, "log_lines_dropped");
        line["count"] = dropped;
        return telemetry_detail::dump(line);
    }

    void write(log_level level, std::string_view event, std::span<const field> fields,
               std::uint64_t suppressed) {
        json line = begin_line(level, event);
        if (suppressed > 0) {
            line["suppressed"] = suppressed;
        }
        for (const auto& item : fields) {
            const std::string key = (is_reserved(item.name) ? "field_" : "") +
                                    std::string(item.name.substr(0, max_log_text_bytes));
            line[key] = telemetry_detail::to_json(item.value, max_log_text_bytes);
        }
        metrics().counter_of(metric::log_lines, {std::string(name(level))}).add();
        const std::string text = telemetry_detail::dump(line);
        logger.log(spdlog::level::info, spdlog::string_view_t(text.data(), text.size()));
    }

    // True if the line may be written now; otherwise it has been counted. `ended` receives the
    // count of lines that the event's last window held back.
    bool admit(log_level level, std::string_view event, std::uint64_t& ended) {
        const std::lock_guard lock(mutex);
        auto& level_windows = windows.at(static_cast<std::size_t>(level));
        auto found = level_windows.find(event);
        if (found == level_windows.end()) {
            const std::string key(level_windows.size() < max_limited_events ? event : "other");
            found = level_windows.try_emplace(key).first;
        }
        auto& current = found->second;
        const instant now = time.now();
        if (now >= current.ends_at) {
            ended = current.suppressed;
            current = {now + options.window, 0, 0};
        }
        if (current.written < options.lines_per_window) {
            ++current.written;
            return true;
        }
        ++current.suppressed;
        return false;
    }

    const log_options options;
    const clock& time;
    std::atomic<log_level> threshold;
    spdlog::logger logger;
    std::mutex mutex;
    // By level, so that frequent warnings hold no error of the same event back.
    std::array<std::map<std::string, window, std::less<>>, log_level_count> windows;
};

event_log::event_log(const log_options& options, const clock& time)
    : state_(std::make_unique<state>(options, time)) {}

event_log::~event_log() {
    try {
        flush();
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch): no log is left to tell it
    }
}

void event_log::log(log_level level, std::string_view event, std::span<const field> fields) {
    if (level < state_->threshold.load(std::memory_order_relaxed)) {
        return;
    }
    std::uint64_t ended = 0;
    const bool is_admitted = state_->admit(level, event, ended);
    if (ended > 0) {
        state_->write(level, event, {}, ended);
    }
    if (is_admitted) {
        state_->write(level, event, fields, 0);
    }
}

void event_log::set_threshold(log_level threshold) noexcept {
    state_->threshold.store(threshold, std::memory_order_relaxed);
}

void event_log::flush() {
    for (std::size_t level = 0; level < log_level_count; ++level) {
        std::vector<std::pair<std::string, std::uint64_t>> pending;
        {
            const std::lock_guard lock(state_->mutex);
            for (auto& [event, window] : state_->windows.at(level)) {
                if (window.suppressed > 0) {
                    pending.emplace_back(event, std::exchange(window.suppressed, 0));
                }
            }
        }
        for (const auto& [event, count] : pending) {
            state_->write(static_cast<log_level>(level), event, {}, count);
        }
    }
    state_->logger.flush();
}

namespace {

// The process-wide log. Readers hold a reference, so replacing it never destroys one in use.
struct process_log {
    std::mutex mutex;
    system_clock time;
    std::shared_ptr<event_log> current = std::make_shared<event_log>(log_options{}, time);

    std::shared_ptr<event_log> log() {
        const std::lock_guard lock(mutex);
        return current;
    }
};

// Never destroyed: other static objects may log while the process exits.
process_log& shared_log() {
    static auto* const instance = new process_log;
    return *instance;
}

}  // namespace

void configure_log(const log_options& options) {
    auto& shared = shared_log();
    auto replacement = std::make_shared<event_log>(options, shared.time);
    const std::lock_guard lock(shared.mutex);
    shared.current.swap(replacement);
}

void log_event(log_level level, std::string_view event, std::initializer_list<field> fields) {
    shared_log().log()->log(level, event, fields);
}

void set_log_threshold(log_level threshold) {
    shared_log().log()->set_threshold(threshold);
}

void flush_log() {
    shared_log().log()->flush();
}

}  // namespace tanagerpaddle
