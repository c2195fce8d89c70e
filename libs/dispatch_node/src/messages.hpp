#pragma once

// Messages between entries and agents: JSON objects whose field "t" names the kind.

#include <nlohmann/json.hpp>

#include "tanagerpaddle/dispatch.hpp"
#include "tanagerpaddle/json_input.hpp"

namespace tanagerpaddle::dispatch::messages {

using nlohmann::json;

[[nodiscard]] json encode(const task_key& task);
[[nodiscard]] json encode(const start_order& order);
[[nodiscard]] json encode(const task_traits& traits);
[[nodiscard]] json encode(const interference_sample& sample);
[[nodiscard]] json encode(const executor_info& info);
[[nodiscard]] json encode(const running_task& run);
[[nodiscard]] json encode(const finished_task& finished_run);
[[nodiscard]] json encode(const run_age& age);
[[nodiscard]] run_age decode_run_age(const json& in);
// The ages in a message; empty if it is from an agent of an earlier version, which sends none.
[[nodiscard]] std::vector<run_age> decode_run_ages(const json& message);
[[nodiscard]] json encode(const executor_end& end);
// Times are sent as ages: the clocks of sender and receiver have other origins.
[[nodiscard]] json encode(const inventory& found, instant now);
[[nodiscard]] json encode(const interference_model::pressure_table& pressures);

// Throw nlohmann::json::exception or error(malformed_request).
[[nodiscard]] run_number decode_run(const json& in);
[[nodiscard]] executor_incarnation decode_incarnation(const json& in);
// A higher one would have to be refused later, and until then an agent that took it would refuse
// every later owner.
[[nodiscard]] epoch_number decode_claim_epoch(const json& in);
[[nodiscard]] completion_number decode_completion(const json& in);
// A time of the agent's clock in nanoseconds.
[[nodiscard]] instant decode_instant(const json& in);

// Each throws nlohmann::json::exception or error(malformed_request) if the value is malformed.
[[nodiscard]] task_key decode_task(const json& in);
[[nodiscard]] start_order decode_start(const json& in);
[[nodiscard]] task_traits decode_traits(const json& in);
[[nodiscard]] interference_sample decode_sample(const json& in);
[[nodiscard]] executor_info decode_executor(const json& in);
[[nodiscard]] running_task decode_running(const json& in);
[[nodiscard]] start_outcome decode_start_outcome(const json& in);
[[nodiscard]] job_phase decode_phase(const json& in);
[[nodiscard]] finished_task decode_finished(const json& in);
[[nodiscard]] executor_end decode_executor_end(const json& in);
[[nodiscard]] inventory decode_inventory(const json& in, instant now);
[[nodiscard]] interference_model::pressure_table decode_pressures(const json& in);

// Serializes a message. Bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string dump(const json& message);

}  // namespace tanagerpaddle::dispatch::messages
