#include "messages.hpp"

namespace tanagerpaddle::dispatch::messages {

namespace {

template <class Enum>
Enum decode_enum(const json& in, Enum last) {
    const auto number = json_input::whole_number<int>(in, 0, static_cast<int>(last));
    return static_cast<Enum>(number);
}

json encode(const resources& amount) {
    return {amount.processors.value(), amount.memory.value(), amount.accelerators.value()};
}

resources decode_resources(const json& in) {
    return {json_input::amount<millicores>(in.at(0)), json_input::amount<mebibytes>(in.at(1)),
            json_input::amount<accelerator_count>(in.at(2))};
}

}  // namespace

run_number decode_run(const json& in) {
    return run_number(json_input::whole_number<std::uint32_t>(in, 0, json_input::max_runs));
}

executor_incarnation decode_incarnation(const json& in) {
    return executor_incarnation(
        json_input::whole_number<std::int64_t>(in, 0, json_input::max_time_ms));
}

epoch_number decode_claim_epoch(const json& in) {
    return epoch_number(
        json_input::whole_number<std::uint64_t>(in, 0, json_input::max_claim_epoch));
}

instant decode_instant(const json& in) {
    constexpr std::int64_t ns_per_ms = 1'000'000;
    return instant(std::chrono::nanoseconds(
        json_input::whole_number<std::int64_t>(in, 0, json_input::max_time_ms * ns_per_ms)));
}

completion_number decode_completion(const json& in) {
    return completion_number(
        json_input::whole_number<std::uint64_t>(in, 0, json_input::max_time_ms));
}

json encode(const task_key& task) {
    return {task.job.value(), task.occurrence, task.step, task.index};
}

task_key decode_task(const json& in) {
    return {job_id(in.at(0).get<std::string>()), json_input::whole_number<std::uint32_t>(in.at(1)),
            json_input::whole_number<std::uint32_t>(in.at(2)),
            json_input::whole_number<std::uint32_t>(in.at(3))};
}

json encode(const task_traits& traits) {
    return {traits.image, traits.tail_target.count(), traits.demand.value(), traits.is_filler};
}

task_traits decode_traits(const json& in) {
    return {in.at(0).get<std::string>(), json_input::duration(in.at(1)),
            json_input::amount<millicores>(in.at(2)), in.at(3).get<bool>()};
}

namespace {

// The sum over the tasks of an image on one instance.
millicores decode_sum(const json& in) {
    return millicores(json_input::whole_number<std::int64_t>(
        in, 0, json_input::max_amount * std::int64_t{max_tasks_per_job}));
}

}  // namespace

json encode(const interference_sample& sample) {
    json serving = json::array();
    for (const auto& task : sample.serving_tasks) {
        serving.push_back({task.image, task.target.count(), task.tail.count()});
    }
    json fillers = json::array();
    for (const auto& filler : sample.fillers) {
        fillers.push_back({filler.image, filler.used.value(), filler.demand.value()});
    }
    return {sample.capacity.value(), std::move(serving), std::move(fillers)};
}

interference_sample decode_sample(const json& in) {
    interference_sample sample;
    sample.capacity = json_input::amount<millicores>(in.at(0));
    for (const auto& task : json_input::list(in.at(1))) {
        sample.serving_tasks.push_back({task.at(0).get<std::string>(),
                                        json_input::duration(task.at(1)),
                                        json_input::duration(task.at(2))});
    }
    for (const auto& filler : json_input::list(in.at(2))) {
        sample.fillers.push_back(
            {filler.at(0).get<std::string>(), decode_sum(filler.at(1)), decode_sum(filler.at(2))});
    }
    return sample;
}

json encode(const start_order& order) {
    json out{{"task", encode(order.task)},    {"run", order.run.value()},
             {"payload", order.payload},      {"checkpoint", order.checkpoint},
             {"permit", order.permit},        {"life", order.incarnation.value()},
             {"traits", encode(order.traits)}};
    if (order.capacity) {
        out["capacity"] = encode(*order.capacity);
    }
    return out;
}

start_order decode_start(const json& in) {
    start_order order;
    order.task = decode_task(in.at("task"));
    order.run = decode_run(in.at("run"));
    order.payload = in.at("payload").get<std::string>();
    order.checkpoint = in.at("checkpoint").get<std::string>();
    order.permit = in.at("permit").get<std::string>();
    order.incarnation = decode_incarnation(in.at("life"));
    order.traits = decode_traits(in.at("traits"));
    // Owners of earlier versions do not send it.
    if (in.contains("capacity")) {
        order.capacity = decode_resources(in.at("capacity"));
    }
    return order;
}

json encode(const executor_info& info) {
    return {{"id", info.id.value()},
            {"life", info.incarnation.value()},
            {"service", info.service.value()},
            {"domain", info.domain.value()},
            {"capacity", encode(info.capacity)},
            {"labels", info.labels},
            {"draining", info.is_draining}};
}

executor_info decode_executor(const json& in) {
    executor_info info;
    info.id = executor_id(in.at("id").get<std::string>());
    info.incarnation = decode_incarnation(in.at("life"));
    info.service = service_id(in.at("service").get<std::string>());
    info.domain = failure_domain_id(in.at("domain").get<std::string>());
    info.capacity = decode_resources(in.at("capacity"));
    info.labels = in.at("labels").get<std::vector<std::string>>();
    info.is_draining = in.at("draining").get<bool>();
    return info;
}

json encode(const running_task& run) {
    return {encode(run.task), run.run.value(), run.checkpoint, run.percent, run.measurement};
}

running_task decode_running(const json& in) {
    return {decode_task(in.at(0)), decode_run(in.at(1)), in.at(2).get<std::string>(),
            json_input::percent(in.at(3)), json_input::measurement(in.at(4))};
}

json encode(const finished_task& finished_run) {
    return {finished_run.number.value(), encode(finished_run.task), finished_run.run.value(),
            static_cast<int>(finished_run.outcome), finished_run.checkpoint};
}

finished_task decode_finished(const json& in) {
    return {decode_completion(in.at(0)), decode_task(in.at(1)), decode_run(in.at(2)),
            decode_enum(in.at(3), run_outcome::gang_incomplete), in.at(4).get<std::string>()};
}

start_outcome decode_start_outcome(const json& in) {
    return decode_enum(in, start_outcome::bad_permit);
}

job_phase decode_phase(const json& in) {
    return decode_enum(in, job_phase::cancelled);
}

json encode(const run_age& age) {
    return {encode(age.task), age.run.value(), age.age.count()};
}

run_age decode_run_age(const json& in) {
    return {decode_task(in.at(0)), decode_run(in.at(1)), json_input::duration(in.at(2))};
}

std::vector<run_age> decode_run_ages(const json& message) {
    std::vector<run_age> ages;
    for (const auto& age : json_input::list_or_empty(message, "ages")) {
        ages.push_back(decode_run_age(age));
    }
    return ages;
}

json encode(const executor_end& end) {
    json ages = json::array();
    for (const auto& age : end.ages) {
        ages.push_back(messages::encode(age));
    }
    json out{{"life", end.incarnation.value()},
             {"draining", end.was_draining},
             {"ages", std::move(ages)}};
    for (const auto& each : end.unsettled) {
        out["unsettled"].push_back({messages::encode(each.task), each.run.value(), each.is_listed});
    }
    return out;
}

executor_end decode_executor_end(const json& in) {
    executor_end end{
        decode_incarnation(in.at("life")), in.at("draining").get<bool>(), decode_run_ages(in), {}};
    // Agents of earlier versions do not send them.
    for (const auto& each : json_input::list_or_empty(in, "unsettled")) {
        end.unsettled.push_back(
            {decode_task(each.at(0)), decode_run(each.at(1)), each.at(2).get<bool>()});
    }
    return end;
}

namespace {

// Longer than any lease.
constexpr milliseconds max_reported_age{60'000};

// The sender's clock has another origin than the receiver's.
json encode(const inventory::earlier_calls& earlier, instant now) {
    json out = json::object();
    if (earlier.refused_since) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - *earlier.refused_since);
        out["refused_ms"] = std::min(age, max_reported_age).count();
    }
    return out;
}

inventory::earlier_calls decode_earlier_calls(const json& in, instant now) {
    inventory::earlier_calls earlier;
    if (in.contains("refused_ms")) {
        earlier.refused_since = now - json_input::duration(in.at("refused_ms"));
    }
    return earlier;
}

}  // namespace

json encode(const inventory& found, instant now) {
    json out{{"t", "inventory"}, {"running", json::array()}, {"finished", json::array()}};
    if (found.executor) {
        out["executor"] = encode(*found.executor);
    }
    if (found.ended) {
        out["ended"] = encode(*found.ended);
    }
    if (found.is_vacant) {
        out["vacant"] = true;
    }
    if (found.earlier) {
        out["earlier"] = encode(*found.earlier, now);
    }
    for (const auto& run : found.running) {
        out["running"].push_back(encode(run));
    }
    for (const auto& finished_run : found.finished) {
        out["finished"].push_back(encode(finished_run));
    }
    return out;
}

inventory decode_inventory(const json& in, instant now) {
    inventory found;
    if (in.contains("executor")) {
        found.executor = decode_executor(in.at("executor"));
    }
    // Agents of earlier versions send none of them.
    if (in.contains("ended")) {
        found.ended = decode_executor_end(in.at("ended"));
    }
    found.is_vacant = in.value("vacant", false);
    if (in.contains("earlier")) {
        found.earlier = decode_earlier_calls(json_input::object(in.at("earlier")), now);
    }
    for (const auto& run : json_input::list(in.at("running"))) {
        found.running.push_back(decode_running(run));
    }
    for (const auto& finished_run : json_input::list(in.at("finished"))) {
        found.finished.push_back(decode_finished(finished_run));
    }
    return found;
}

json encode(const interference_model::pressure_table& pressures) {
    json pairs = json::array();
    for (const auto& [serving, fillers] : pressures) {
        for (const auto& [filler, pressure] : fillers) {
            pairs.push_back({serving, filler, pressure});
        }
    }
    return pairs;
}

interference_model::pressure_table decode_pressures(const json& in) {
    interference_model::pressure_table pressures;
    for (const auto& pair : json_input::list(in)) {
        pressures[pair.at(0).get<std::string>()][pair.at(1).get<std::string>()] =
            json_input::factor(pair.at(2));
    }
    return pressures;
}

std::string dump(const json& message) {
    return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace tanagerpaddle::dispatch::messages
