#pragma once

// What an entry knows for its decisions on submissions: the owner's forecast, and the outages of
// the store.

#include <deque>
#include <optional>
#include <string>

#include "messages.hpp"
#include "tanagerpaddle/dispatch_node.hpp"

namespace tanagerpaddle::dispatch {

// Lengths of the times in which the store did not answer.
class store_outages {
public:
    // Time for which an outage counts: some ten times the interval between outages in which the
    // store was seen to go dark several times in a row.
    static constexpr milliseconds memory{600'000};
    // Number of outages kept.
    static constexpr std::size_t max_outages = 64;

    // A silence of at least `min_silence` counts as an outage.
    explicit store_outages(milliseconds min_silence) : min_silence_(min_silence) {}

    // `answered_at` is when the store last answered. Call it at least every `min_silence`.
    void observe(instant answered_at);
    [[nodiscard]] milliseconds longest(instant now) const;

private:
    struct outage {
        instant ended_at;
        milliseconds length;
    };

    milliseconds min_silence_;
    std::optional<instant> answered_at_;
    std::deque<outage> outages_;
};

class admission_control {
public:
    // An entry ignores an older forecast: the owner sends one at least every 2 s.
    static constexpr milliseconds max_forecast_age{3'000};

    // A silence of the store of at least `min_outage` counts as an outage.
    admission_control(bool refuses_overload, milliseconds min_outage)
        : refuses_overload_(refuses_overload), outages_(min_outage) {}

    void set_forecast(fleet_forecast forecast, instant received_at);
    // The link to the owner that sent the forecast has ended.
    void drop_forecast() { forecast_.reset(); }
    // nullopt admits the job, also without a current forecast. Counts the predicted wait.
    [[nodiscard]] std::optional<refusal> decide(const submitted_job& job, instant now) const;
    // Unset without a current forecast.
    [[nodiscard]] std::optional<milliseconds> forecast_age(instant now) const;
    // The predicted time to the start of a job of the queue; unset if there is no prediction.
    [[nodiscard]] std::optional<milliseconds> predicted_wait(const queue_id& queue,
                                                             instant now) const;

    // See store_outages::observe.
    void observe_store(instant answered_at) { outages_.observe(answered_at); }
    // When a job that the silent store cannot take is to be submitted again.
    [[nodiscard]] std::chrono::seconds store_retry_after(const job_id& job, instant answered_at,
                                                         instant now) const;
    // Counts and logs a refusal.
    void report(const submitted_job& job, const refusal& refused, instant now) const;

private:
    [[nodiscard]] const fleet_forecast* current(instant now) const;

    bool refuses_overload_;
    store_outages outages_;
    std::optional<fleet_forecast> forecast_;
    instant received_at_{};
};

// When the owner sends its forecast to an entry: at most every send_interval if it has changed, and
// every repeat_interval otherwise.
class forecast_sender {
public:
    static constexpr milliseconds send_interval{500};
    static constexpr milliseconds repeat_interval{2'000};

    // True if a forecast should be made now.
    [[nodiscard]] bool is_due(instant now) const { return now - made_at_ >= send_interval; }
    // Takes the forecast made now; true if it is to be sent.
    bool should_send(const fleet_forecast& forecast, instant now);

private:
    instant made_at_{};
    instant sent_at_{};
    std::optional<fleet_forecast> sent_;
};

namespace messages {

// A message of kind "forecast". decode_forecast throws nlohmann::json::exception or
// error(malformed_request) if it is malformed or exceeds the limits on its rows.
[[nodiscard]] json encode(const fleet_forecast& forecast);
[[nodiscard]] fleet_forecast decode_forecast(const json& in);

}  // namespace messages

}  // namespace tanagerpaddle::dispatch
