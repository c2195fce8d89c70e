// Encodings of task keys, phases and rows of the table service.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "coordinator_state.hpp"
#include "tanagerpaddle/json_input.hpp"

namespace tanagerpaddle::dispatch {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> phase_names{"pending", "running", "completed", "failed",
                                                      "cancelled"};

[[noreturn]] void reject(const std::string& what) {
    throw error(result_code::malformed_request, what);
}

json encode_step(const step_spec& step) {
    json out{{"n", step.task_count},
             {"cpu", step.demand.processors.value()},
             {"mem", step.demand.memory.value()},
             {"acc", step.demand.accelerators.value()},
             {"est", step.estimate.count()}};
    const auto set = [&out](const char* key, const auto& value, bool is_present) {
        if (is_present) {
            out[key] = value;
        }
    };
    set("after", step.depends_on, !step.depends_on.empty());
    set("label", step.required_label, !step.required_label.empty());
    set("rack", step.preferred_rack.value(), !step.preferred_rack.empty());
    set("spread", step.max_per_executor, step.max_per_executor > 0);
    set("image", step.image, !step.image.empty());
    set("tail", step.tail_target.count(), step.tail_target.count() > 0);
    set("miss", step.max_unavailable.value_or(0), step.max_unavailable.has_value());
    set("ckpt", true, step.writes_checkpoints);
    set("gang", true, step.is_gang);
    set("one_rack", true, step.is_single_rack);
    set("spec", true, step.is_speculative);
    set("long", true, step.is_long_running);
    set("fill", true, step.is_filler);
    return out;
}

// A field of a row that rows of earlier versions, and those without a value, leave out.
template <class Decode>
auto field_or(const json& in, const char* key, std::invoke_result_t<Decode, const json&> fallback,
              Decode decode) {
    const auto found = json_input::object(in).find(key);
    return found == in.end() ? fallback : decode(*found);
}

std::uint32_t count(const json& in) {
    return json_input::whole_number<std::uint32_t>(in);
}

run_number decode_run(const json& in) {
    return run_number(json_input::whole_number<std::uint32_t>(in, 0, json_input::max_runs));
}

step_spec decode_step(const json& in) {
    step_spec step;
    step.task_count = count(in.at("n"));
    step.demand = {json_input::amount<millicores>(in.at("cpu")),
                   json_input::amount<mebibytes>(in.at("mem")),
                   json_input::amount<accelerator_count>(in.at("acc"))};
    step.estimate = json_input::duration(in.at("est"));
    for (const auto& earlier : json_input::list_or_empty(in, "after")) {
        step.depends_on.push_back(count(earlier));
    }
    step.required_label = in.value("label", "");
    step.preferred_rack = rack_id(in.value("rack", ""));
    step.max_per_executor = field_or(in, "spread", 0, count);
    step.image = in.value("image", "");
    step.tail_target = field_or(in, "tail", milliseconds(0), json_input::duration);
    if (in.contains("miss")) {
        step.max_unavailable = count(in.at("miss"));
    }
    step.writes_checkpoints = in.value("ckpt", false);
    step.is_gang = in.value("gang", false);
    step.is_single_rack = in.value("one_rack", false);
    step.is_speculative = in.value("spec", false);
    step.is_long_running = in.value("long", false);
    step.is_filler = in.value("fill", false);
    return step;
}

json encode_rules(const queue_rules& rules) {
    return {{"service", rules.service.value()}, {"prio", rules.priority},
            {"tries", rules.max_attempts},      {"stretch", rules.stretch},
            {"target", rules.target.count()},   {"advice", rules.requires_permit}};
}

queue_rules decode_rules(const json& in) {
    queue_rules rules;
    rules.service = service_id(in.at("service").get<std::string>());
    rules.priority = json_input::whole_number<int>(in.at("prio"));
    rules.max_attempts = count(in.at("tries"));
    rules.stretch = json_input::factor(in.at("stretch"));
    rules.target = json_input::duration(in.at("target"));
    rules.requires_permit = in.at("advice").get<bool>();
    return rules;
}

void validate_step(const step_spec& step, std::size_t position) {
    if (step.task_count == 0 || step.task_count > max_tasks_per_step) {
        reject("a step has between 1 and " + std::to_string(max_tasks_per_step) + " tasks");
    }
    if (!step.demand.is_non_negative() || step.estimate.count() < 0) {
        reject("a step's demand and estimate are at least 0");
    }
    for (const auto earlier : step.depends_on) {
        if (earlier >= position) {
            reject("a step can only come after earlier steps");
        }
    }
}

}  // namespace

std::string_view name(job_phase phase) noexcept {
    return phase_names.at(static_cast<std::size_t>(phase));
}

std::string to_string(const task_key& task) {
    return task.job.value() + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

std::optional<task_key> parse_task_key(std::string_view text) {
    task_key key;
    std::array<std::uint32_t*, 3> parts{&key.index, &key.step, &key.occurrence};
    for (auto* part : parts) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const char* end = text.data() + text.size();
        const auto [last, failure] = std::from_chars(text.data() + dot + 1, end, *part);
        if (failure != std::errc() || last != end) {
            return std::nullopt;
        }
        text = text.substr(0, dot);
    }
    key.job = job_id(std::string(text));
    return text.empty() ? std::nullopt : std::optional(key);
}

void validate(const job_spec& job) {
    if (job.steps.empty() || job.steps.size() > max_steps) {
        reject("a job has between 1 and " + std::to_string(max_steps) + " steps");
    }
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
        validate_step(job.steps[i], i);
    }
    std::uint64_t tasks = 0;
    for (const auto& step : job.steps) {
        tasks += std::uint64_t{std::max(1U, job.occurrences)} * step.task_count;
    }
    if (tasks > max_tasks_per_job) {
        reject("a job has at most " + std::to_string(max_tasks_per_job) +
               " tasks over all its occurrences");
    }
    if (job.occurrences > 0 && job.interval.count() < 0) {
        reject("the interval of a repeated job is at least 0");
    }
}

std::string encode_job(const submitted_job& job) {
    json steps = json::array();
    for (const auto& step : job.spec.steps) {
        steps.push_back(encode_step(step));
    }
    json out{{"queue", job.queue.value()},
             {"rules", encode_rules(job.rules)},
             {"at", job.accepted_at.value()},
             {"payload", job.spec.payload},
             {"steps", std::move(steps)}};
    if (job.spec.occurrences > 0) {
        out["times"] = job.spec.occurrences;
        out["first"] = job.spec.first_due.value();
        out["every"] = job.spec.interval.count();
    }
    // The payload is opaque and may hold any bytes.
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

submitted_job decode_job(std::string_view text) {
    try {
        const json in = json_input::parse(text);
        submitted_job job;
        job.queue = queue_id(in.at("queue").get<std::string>());
        job.rules = decode_rules(in.at("rules"));
        job.accepted_at = utc_millis(json_input::time_ms(in.at("at")));
        job.spec.payload = in.at("payload").get<std::string>();
        for (const auto& step : json_input::list(in.at("steps"))) {
            job.spec.steps.push_back(decode_step(step));
        }
        job.spec.occurrences = field_or(in, "times", 0, count);
        job.spec.first_due = utc_millis(field_or(in, "first", 0, json_input::time_ms));
        job.spec.interval = field_or(in, "every", milliseconds(0), json_input::duration);
        validate(job.spec);
        return job;
    } catch (const json::exception& failure) {
        reject(std::string("unreadable job row: ") + failure.what());
    }
}

namespace {

// The longest entries of a task that has run, with the commas after them:
// [63999,63,999,run,failures,"instance","checkpoint",crashes,crashes,leases] and
// "instance":incarnation. A step of its own adds [63999,63,4000000000000] and [63999,63,[999]]
// once.
constexpr std::size_t max_number_bytes = 10;
constexpr std::size_t max_task_bytes =
    sizeof("[63999,63,999,,,\"\",\"\",,,],") + 5 * max_number_bytes + max_instance_name_bytes +
    max_checkpoint_bytes + max_instance_name_bytes + sizeof("\"\":-9223372036854775808,") +
    sizeof("[63999,63,4000000000000],") + sizeof("[63999,63,[999]],");
constexpr std::size_t max_progress_row_bytes = 100 + max_tasks_per_row * max_task_bytes;
static_assert((max_progress_row_bytes + 2) / 3 * 4 <= max_row_bytes);
// A gang begins a new row unless it fits in what is left of one.
constexpr std::size_t max_rows_per_gang =
    (max_tasks_per_step + max_tasks_per_row - 1) / max_tasks_per_row;
static_assert(max_rows_per_gang * max_progress_row_bytes <=
              coordinator::options{}.max_bytes_per_write);
static_assert(max_rows_per_gang <= coordinator::options{}.max_rows_per_write);

json encode_history(const task_key& key, const task_state& task, const std::string& instance) {
    json history{key.occurrence,
                 key.step,
                 key.index,
                 task.run.value(),
                 task.failures,
                 instance,
                 fits_in_row(task.checkpoint) ? task.checkpoint : std::string()};
    if (task.crashes.suspected > 0) {
        history.push_back(task.crashes.suspected);
        history.push_back(task.crashes.confirmed);
        history.push_back(task.crashes.expired_leases);
    }
    return history;
}

// Adds the times of the step that later owners need, in each row that holds tasks of it.
void encode_step_times(json& out, const step_state& state, std::uint32_t occurrence,
                       std::uint32_t step) {
    const auto add = [&](const char* key, utc_millis at) {
        auto& list = out[key];
        if (list.empty() || list.back()[0] != occurrence || list.back()[1] != step) {
            list.push_back({occurrence, step, at.value()});
        }
    };
    if (state.ended_at) {
        add("s", *state.ended_at);
    }
    if (state.wait.until && !state.is_done()) {
        add("w", state.wait.until_utc);
    }
}

std::vector<progress_record::step_time> decode_step_times(const json& in, const char* key) {
    std::vector<progress_record::step_time> times;
    for (const auto& entry : json_input::list_or_empty(in, key)) {
        times.push_back({count(entry.at(0)), count(entry.at(1)),
                         utc_millis(json_input::whole_number<std::int64_t>(
                             entry.at(2), 0, json_input::max_time_ms))});
    }
    return times;
}

}  // namespace

bool fits_in_row(const std::string& checkpoint) {
    // An escaped byte takes at most this many.
    constexpr std::size_t max_escaped_bytes = 6;
    if (checkpoint.size() * max_escaped_bytes <= max_checkpoint_bytes) {
        return true;
    }
    return checkpoint.size() <= max_checkpoint_bytes &&
           json(checkpoint).dump(-1, ' ', false, json::error_handler_t::replace).size() <=
               max_checkpoint_bytes + 2;
}

void validate(const instance_name& name) {
    const auto text = json(name.value()).dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_instance_name_bytes + 2) {
        reject("the name of an instance has at most " + std::to_string(max_instance_name_bytes) +
               " bytes");
    }
}

std::string progress_key(const job_id& job, std::uint32_t number) {
    return number == 0 ? job.value() : job.value() + "/" + std::to_string(number);
}

progress_row_name parse_progress_key(std::string_view key) {
    const auto slash = key.rfind('/');
    if (slash != std::string_view::npos) {
        std::uint32_t number = 0;
        const char* end = key.data() + key.size();
        const auto [last, failure] = std::from_chars(key.data() + slash + 1, end, number);
        if (failure == std::errc() && last == end) {
            progress_row_name name{job_id(std::string(key.substr(0, slash))), number};
            if (number > 0 && progress_key(name.job, number) == key) {
                return name;
            }
        }
    }
    return {job_id(std::string(key)), 0};
}

// {"p": phase, "t": [[occurrence, step, index, run, failures, instance, checkpoint, crashes,
//  confirmed crashes, expired leases], ...], "e": {instance: incarnation of its executor, ...},
//  "d": [[occurrence, step, [index, ...]], ...], "l": likewise,
//  "s": [[occurrence, step, end of the step], ...],
//  "w": [[occurrence, step, end of its wait for a rack], ...]}: tasks that have run, tasks that
//  succeeded, and tasks whose run its executor has listed; times are UTC in milliseconds. The
//  crashes are left out if there were none, "l", "s" and "w" if they are empty. Only the phase of a
//  first row counts.
std::string encode_progress(const job_state& job, std::uint32_t row,
                            const std::vector<instance_state>& instances) {
    json out{{"p", static_cast<int>(job.phase)}};
    if (job.is_terminal()) {
        return out.dump();
    }
    json histories = json::array();
    json executors = json::object();
    json done = json::array();
    json listed = json::array();
    const auto add = [](json& steps, std::uint32_t k, std::uint32_t s, std::uint32_t i) {
        if (steps.empty() || steps.back()[0] != k || steps.back()[1] != s) {
            steps.push_back({k, s, json::array()});
        }
        steps.back()[2].push_back(i);
    };
    job.layout.for_each_task(row, [&](std::uint32_t k, std::uint32_t s, std::uint32_t i) {
        const auto occurrence = job.occurrences.kept().find(k);
        if (occurrence == job.occurrences.kept().end()) {
            if (job.occurrences.is_over(k)) {
                add(done, k, s, i);
            }
            return;
        }
        const auto& step = occurrence->second.steps[s];
        encode_step_times(out, step, k, s);
        if (step.has_succeeded(i)) {
            add(done, k, s, i);
        } else if (const auto* state = step.find(i); state != nullptr && state->run.value() > 0) {
            const auto& task = *state;
            // A new owner awaits the run that is being stopped as it does the current one.
            const auto occupied =
                task.instance || task.orphaned_runs == 0 ? task.instance : task.orphan_instance;
            const std::string instance = occupied ? instances[*occupied].name.value() : "";
            histories.push_back(encode_history({job.submitted.id, k, s, i}, task, instance));
            if (task.instance && task.incarnation != executor_incarnation(0)) {
                executors[instance] = task.incarnation.value();
            }
            if (task.is_listed) {
                add(listed, k, s, i);
            }
        }
    });
    out["t"] = std::move(histories);
    if (!executors.empty()) {
        out["e"] = std::move(executors);
    }
    out["d"] = std::move(done);
    if (!listed.empty()) {
        out["l"] = std::move(listed);
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<job_phase> decode_job_phase(std::string_view row) {
    try {
        const json in = json_input::parse(row);
        return static_cast<job_phase>(
            json_input::whole_number<std::size_t>(in.at("p"), 0, phase_names.size() - 1));
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const error&) {
        return std::nullopt;
    }
}

std::optional<progress_record> decode_progress(std::string_view row) {
    const auto phase = decode_job_phase(row);
    if (!phase) {
        return std::nullopt;
    }
    progress_record record;
    record.phase = *phase;
    try {
        const json in = json_input::parse(row);
        for (const auto& entry : json_input::list_or_empty(in, "t")) {
            record.histories.push_back({count(entry.at(0)),
                                        count(entry.at(1)),
                                        count(entry.at(2)),
                                        decode_run(entry.at(3)),
                                        count(entry.at(4)),
                                        instance_name(entry.at(5).get<std::string>()),
                                        entry.at(6).get<std::string>(),
                                        {}});
            if (entry.size() > 8) {
                // Earlier versions do not write the expired leases.
                record.histories.back().crashes = {count(entry.at(7)), count(entry.at(8)),
                                                   entry.size() > 9 ? count(entry.at(9)) : 0U};
            }
        }
        const json executors = in.value("e", json::object());
        for (const auto& [instance, incarnation] : json_input::object(executors).items()) {
            record.executors[instance_name(instance)] = executor_incarnation(
                json_input::whole_number<std::int64_t>(incarnation, 0, json_input::max_time_ms));
        }
        for (const auto& entry : json_input::list_or_empty(in, "d")) {
            for (const auto& index : json_input::list(entry.at(2))) {
                record.succeeded.push_back({count(entry.at(0)), count(entry.at(1)), count(index)});
            }
        }
        for (const auto& entry : json_input::list_or_empty(in, "l")) {
            for (const auto& index : json_input::list(entry.at(2))) {
                record.listed.insert({count(entry.at(0)), count(entry.at(1)), count(index)});
            }
        }
        record.step_ends = decode_step_times(in, "s");
        record.wait_ends = decode_step_times(in, "w");
    } catch (const error&) {
        return std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return record;
}

}  // namespace tanagerpaddle::dispatch
