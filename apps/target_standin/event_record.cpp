#include "event_record.hpp"

#include <chrono>

namespace tanagerpaddle::standin {

namespace {

constexpr int offset_samples = 5;
constexpr double ns_per_ms = 1e6;

// The two clocks are read one after the other. The sample with the shortest time between two reads
// of the first has the smallest error.
std::chrono::nanoseconds measure_offset(const clock& time) {
    auto shortest = std::chrono::nanoseconds::max();
    std::chrono::nanoseconds offset{};
    for (int i = 0; i < offset_samples; ++i) {
        const auto before = time.now();
        const std::chrono::nanoseconds monotonic =
            std::chrono::steady_clock::now().time_since_epoch();
        const auto gap = time.now() - before;
        if (gap < shortest) {
            shortest = gap;
            offset = monotonic - before.time_since_epoch() - gap / 2;
        }
    }
    return offset;
}

}  // namespace

event_record::event_record(const std::string& path, worker_id worker, failure_domain_id domain,
                           const clock& time)
    : worker_(std::move(worker)),
      domain_(std::move(domain)),
      time_(time),
      offset_(measure_offset(time)) {
    if (path.empty()) {
        return;
    }
    file_.open(path, std::ios::app);
    if (!file_) {
        throw error(result_code::invalid_settings, "cannot open " + path);
    }
}

void event_record::write(std::string_view event, instant at, nlohmann::json fields) {
    fields["event"] = event;
    fields["ms"] = static_cast<double>((at.time_since_epoch() + offset_).count()) / ns_per_ms;
    fields["worker"] = worker_.value();
    fields["domain"] = domain_.value();
    const std::string line =
        fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    const std::lock_guard lock(mutex_);
    if (file_.is_open()) {
        file_ << line << std::flush;
    }
}

void event_record::write(std::string_view event, nlohmann::json fields) {
    write(event, time_.now(), std::move(fields));
}

}  // namespace tanagerpaddle::standin
