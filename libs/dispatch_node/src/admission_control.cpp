#include "admission_control.hpp"

#include <algorithm>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle::dispatch {

// ---------------------------------------------------------------------------------------------
// Outages of the store

void store_outages::observe(instant answered_at) {
    if (answered_at_ && answered_at > *answered_at_) {
        const auto silence = std::chrono::duration_cast<milliseconds>(answered_at - *answered_at_);
        if (silence >= min_silence_) {
            outages_.push_back({answered_at, silence});
        }
        if (outages_.size() > max_outages) {
            outages_.pop_front();
        }
    }
    answered_at_ = std::max(answered_at, answered_at_.value_or(answered_at));
    while (!outages_.empty() && *answered_at_ - outages_.front().ended_at > memory) {
        outages_.pop_front();
    }
}

milliseconds store_outages::longest(instant now) const {
    milliseconds found{0};
    for (const auto& each : outages_) {
        if (now - each.ended_at <= memory) {
            found = std::max(found, each.length);
        }
    }
    return found;
}

// ---------------------------------------------------------------------------------------------
// Decisions

void admission_control::set_forecast(fleet_forecast forecast, instant received_at) {
    forecast_ = std::move(forecast);
    received_at_ = received_at;
}

const fleet_forecast* admission_control::current(instant now) const {
    return forecast_ && now - received_at_ <= max_forecast_age ? &*forecast_ : nullptr;
}

std::optional<refusal> admission_control::decide(const submitted_job& job, instant now) const {
    if (const auto wait = predicted_wait(job.queue, now)) {
        metrics().latency_of(metric::predicted_wait, {job.queue.value()}).record(*wait);
    }
    const auto* forecast = current(now);
    return forecast == nullptr ? std::nullopt : decide_admission(job, *forecast, refuses_overload_);
}

std::chrono::seconds admission_control::store_retry_after(const job_id& job, instant answered_at,
                                                          instant now) const {
    const auto silence = std::chrono::duration_cast<milliseconds>(now - answered_at);
    return dispatch::store_retry_after(job, silence, outages_.longest(now));
}

void admission_control::report(const submitted_job& job, const refusal& refused,
                               instant now) const {
    const auto age = forecast_age(now);
    metrics()
        .counter_of(metric::jobs_refused, {job.queue.value(), std::string(name(refused.reason))})
        .add();
    // -1: repeating the submission is of no use, or there is no forecast.
    log_event(log_level::info, "job_refused",
              {{"job", job.id.value()},
               {"queue", job.queue.value()},
               {"reason", name(refused.reason)},
               {"retry_after_s", refused.retry_after ? refused.retry_after->count() : -1},
               {"forecast_age_ms", age ? age->count() : -1}});
}

std::optional<milliseconds> admission_control::forecast_age(instant now) const {
    if (current(now) == nullptr) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - received_at_);
}

std::optional<milliseconds> admission_control::predicted_wait(const queue_id& queue,
                                                              instant now) const {
    const auto* forecast = current(now);
    if (forecast == nullptr) {
        return std::nullopt;
    }
    const auto found = forecast->queues.find(queue);
    return found == forecast->queues.end() ? std::nullopt : std::optional(found->second.start);
}

// ---------------------------------------------------------------------------------------------
// Messages

bool forecast_sender::should_send(const fleet_forecast& forecast, instant now) {
    made_at_ = now;
    if (sent_ == forecast && now - sent_at_ < repeat_interval) {
        return false;
    }
    sent_ = forecast;
    sent_at_ = now;
    return true;
}

namespace messages {

namespace {

// Limits on what an entry keeps of a forecast: the design has 200 teams with some queues each, and
// a joined row of a service may have the labels of many racks.
constexpr std::size_t max_forecast_services = 1'000;
constexpr std::size_t max_forecast_queues = 5'000;
constexpr std::size_t max_labels_per_shape = 5'000;

const json& list_up_to(const json& in, std::size_t max_size) {
    if (json_input::list(in).size() > max_size) {
        throw error(result_code::malformed_request, "a forecast has too many rows");
    }
    return in;
}

}  // namespace

json encode(const fleet_forecast& forecast) {
    json services = json::array();
    for (const auto& [service, shapes] : forecast.services) {
        json rows = json::array();
        for (const auto& shape : shapes) {
            rows.push_back({shape.capacity.processors.value(), shape.capacity.memory.value(),
                            shape.capacity.accelerators.value(), shape.labels});
        }
        services.push_back({service.value(), std::move(rows)});
    }
    json queues = json::array();
    for (const auto& [queue, delay] : forecast.queues) {
        queues.push_back({queue.value(), delay.start.count(), delay.end_per_s.count()});
    }
    return {{"t", "forecast"}, {"services", std::move(services)}, {"queues", std::move(queues)}};
}

fleet_forecast decode_forecast(const json& in) {
    fleet_forecast forecast;
    for (const auto& row : list_up_to(in.at("services"), max_forecast_services)) {
        auto& shapes = forecast.services[service_id(row.at(0).get<std::string>())];
        for (const auto& executor : list_up_to(row.at(1), max_shapes_per_service)) {
            auto& shape = shapes.emplace_back();
            shape.capacity = {json_input::amount<millicores>(executor.at(0)),
                              json_input::amount<mebibytes>(executor.at(1)),
                              json_input::amount<accelerator_count>(executor.at(2))};
            shape.labels =
                list_up_to(executor.at(3), max_labels_per_shape).get<std::vector<std::string>>();
            std::sort(shape.labels.begin(), shape.labels.end());
        }
    }
    for (const auto& row : list_up_to(in.at("queues"), max_forecast_queues)) {
        forecast.queues[queue_id(row.at(0).get<std::string>())] = {json_input::duration(row.at(1)),
                                                                   json_input::duration(row.at(2))};
    }
    return forecast;
}

}  // namespace messages

}  // namespace tanagerpaddle::dispatch
