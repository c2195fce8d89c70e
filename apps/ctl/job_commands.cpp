// jobs list, jobs show, jobs submit and jobs cancel.

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <iterator>

#include "command.hpp"
#include "output.hpp"
#include "tanagerpaddle/config.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle::ctl {

namespace {

constexpr std::size_t page_size = 500;
// More than the configuration and a day's submissions at the target size; bounds the loop.
constexpr std::size_t most_listed = 200'000;
constexpr std::size_t most_cancelled = 10'000;
constexpr std::array<std::string_view, 4> job_state_names{"active", "finished", "cancelled",
                                                          "failed"};

// A row of an answer; the operators' interface gives the state by its name.
job_row to_row(nlohmann::json body) {
    job_state state = job_state::active;
    if (body.contains("state") && body["state"].is_string()) {
        const auto found = std::find(job_state_names.begin(), job_state_names.end(),
                                     body["state"].get<std::string>());
        if (found == job_state_names.end()) {
            throw error(result_code::malformed_request,
                        "unknown job state " + body["state"].dump());
        }
        state = static_cast<job_state>(found - job_state_names.begin());
        body.erase("state");
    }
    job_row row = decode<job_row>(body.dump());
    row.state = state;
    return row;
}

std::string state_name(job_state state) {
    return std::string(job_state_names.at(static_cast<std::size_t>(state)));
}

// All jobs, read page by page.
nlohmann::json list_jobs(operator_client& entries) {
    auto all = nlohmann::json::array();
    std::string after;
    while (all.size() < most_listed) {
        const auto page = entries.get("/v1/jobs?after=" + url_escaped(after) +
                                      "&limit=" + std::to_string(page_size));
        for (const auto& item : page) {
            all.push_back(item);
        }
        if (page.size() < page_size) {
            break;
        }
        after = to_row(page.back()).declaration.id.value();
    }
    return all;
}

text_table job_table(const nlohmann::json& jobs) {
    text_table table({"JOB", "TEAM", "KIND", "STATE", "TASKS", "FINISHED", "FAILED", "LOST",
                      "CANCELLED", "COMPLETE BY", "ORIGIN"});
    for (const auto& item : jobs) {
        const job_row row = to_row(item);
        const auto& declared = row.declaration;
        table.add({declared.id.value(), declared.team.value(),
                   declared.kind == job_kind::hold ? "hold" : "batch", state_name(row.state),
                   std::to_string(declared.task_count), std::to_string(row.ended_tasks.finished),
                   std::to_string(row.ended_tasks.failed), std::to_string(row.ended_tasks.lost),
                   std::to_string(row.ended_tasks.cancelled), to_rfc3339(declared.complete_by),
                   row.is_declared ? "declared" : "submitted"});
    }
    return table;
}

int list(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    const auto jobs = list_jobs(context.entries);
    print(context, jobs, job_table(jobs));
    return exit_status::ok;
}

text_table task_table(const nlohmann::json& tasks) {
    text_table table({"TASK", "STATE", "ATTEMPT", "WORKER", "DOMAIN", "PROGRESS", "FAILURES",
                      "EVICTIONS", "CRASHES"});
    for (const auto& task : tasks) {
        constexpr double percent = 100;
        table.add({std::to_string(task.value("index", 0U)), cell(task, "state"),
                   std::to_string(task.value("attempt", 0U)), cell(task, "worker"),
                   cell(task, "domain"),
                   std::to_string(static_cast<int>(task.value("progress", 0.0) * percent)) + "%",
                   std::to_string(task.value("failure_count", 0U)),
                   std::to_string(task.value("eviction_count", 0U)),
                   std::to_string(task.value("crash_count", 0U))});
    }
    return table;
}

int show(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto id = positional(arguments, 1, 1).front();
    const auto body = context.entries.get("/v1/jobs/" + url_escaped(id));
    if (context.format == output_format::json) {
        print_json(context.streams.out, body);
        return exit_status::ok;
    }
    job_table(nlohmann::json::array({body.at("job")})).print(context.streams.out);
    context.streams.out << '\n';
    task_table(body.at("tasks")).print(context.streams.out);
    return exit_status::ok;
}

// One declaration as JSON, or a document with the section "jobs" of a configuration.
std::vector<job_declaration> read_jobs(const command_context& context, const std::string& file) {
    std::string text;
    if (file == "-") {
        text.assign(std::istreambuf_iterator<char>(context.streams.in), {});
    } else {
        std::ifstream stream(file, std::ios::binary);
        text.assign(std::istreambuf_iterator<char>(stream), {});
        if (!stream) {
            throw error(result_code::malformed_request, "cannot read " + file);
        }
    }
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_object() && parsed.contains("id")) {
        return {decode<job_declaration>(text)};
    }
    auto jobs = from_yaml(text, file).jobs;
    if (jobs.empty()) {
        throw error(result_code::malformed_request, file + " declares no jobs");
    }
    return jobs;
}

utc_millis complete_by(const cxxopts::ParseResult& arguments) {
    constexpr std::int64_t ms_per_s = 1'000;
    if (arguments.count("complete-by") > 0) {
        return units::utc(arguments["complete-by"].as<std::string>());
    }
    return utc_millis(system_clock().utc_now().value() +
                      arguments["complete-in-s"].as<std::int64_t>() * ms_per_s);
}

job_declaration job_from_flags(const cxxopts::ParseResult& arguments) {
    job_declaration job;
    job.id = job_id(positional(arguments, 1, 1).front());
    if (arguments.count("team") == 0) {
        throw usage_error("--team is required without --file");
    }
    job.team = team_id(arguments["team"].as<std::string>());
    job.kind = arguments["hold"].as<bool>() ? job_kind::hold : job_kind::batch;
    job.priority = arguments["urgent"].as<bool>() ? job_priority::urgent : job_priority::normal;
    job.task_count = arguments["tasks"].as<std::uint32_t>();
    job.demand = {units::cores(arguments["cores"].as<double>()),
                  mebibytes(arguments["memory-mib"].as<std::int64_t>()),
                  units::accelerators(arguments["accelerators"].as<std::int64_t>())};
    job.run_time = milliseconds(arguments["run-time-ms"].as<std::int64_t>());
    job.complete_by = complete_by(arguments);
    job.is_idempotent = !arguments["non-idempotent"].as<bool>();
    job.can_checkpoint = !arguments["no-checkpoint"].as<bool>();
    job.command = arguments["command"].as<std::string>();
    return job;
}

int submit(command_context& context, const cxxopts::ParseResult& arguments) {
    std::vector<job_declaration> jobs;
    if (arguments.count("file") > 0) {
        (void)positional(arguments, 0, 0);
        jobs = read_jobs(context, arguments["file"].as<std::string>());
    } else {
        jobs.push_back(job_from_flags(arguments));
    }
    auto results = nlohmann::json::array();
    text_table table({"JOB", "RESULT"});
    for (const auto& job : jobs) {
        const auto body = context.entries.change("POST", "/v1/jobs", encode(job));
        const bool is_new = body.value("is_new", true);
        results.push_back({{"id", job.id.value()}, {"is_new", is_new}});
        table.add({job.id.value(), is_new ? "submitted" : "exists already"});
    }
    print(context, results, table);
    return exit_status::ok;
}

std::vector<std::string> ids_to_cancel(command_context& context,
                                       const cxxopts::ParseResult& arguments) {
    if (arguments.count("prefix") == 0) {
        return positional(arguments, 1, most_cancelled);
    }
    const auto prefix = arguments["prefix"].as<std::string>();
    if (prefix.empty()) {
        throw usage_error("--prefix must not be empty");
    }
    auto ids = positional(arguments, 0, most_cancelled);
    for (const auto& item : list_jobs(context.entries)) {
        const job_row row = to_row(item);
        if (row.state == job_state::active && row.declaration.id.value().starts_with(prefix)) {
            ids.push_back(row.declaration.id.value());
        }
    }
    return ids;
}

int cancel(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto ids = ids_to_cancel(context, arguments);
    if (ids.empty()) {
        throw error(result_code::unknown_job, "no active job has this prefix");
    }
    const auto body =
        context.entries.change("POST", "/v1/jobs/cancel", nlohmann::json{{"ids", ids}}.dump());
    const auto& results = body.at("results");
    text_table table({"JOB", "RESULT"});
    result_code first_failure = result_code::ok;
    for (const auto& item : results) {
        const result_code code = result_code_from_number(item.value("code", 0));
        table.add(
            {cell(item, "id"), code == result_code::ok ? "cancelled" : std::string(name(code))});
        if (first_failure == result_code::ok) {
            first_failure = code;
        }
    }
    print(context, results, table);
    return exit_status_of(first_failure);
}

void add_shape_options(cxxopts::Options& options) {
    const auto whole = [](const char* value) {
        return cxxopts::value<std::int64_t>()->default_value(value);
    };
    const auto flag = [] { return cxxopts::value<bool>()->default_value("false"); };
    options.add_options()("tasks", "number of tasks",
                          cxxopts::value<std::uint32_t>()->default_value("1"), "N")(
        "cores", "processors of each task", cxxopts::value<double>()->default_value("1"), "N")(
        "memory-mib", "memory of each task", whole("1024"), "MIB")("accelerators", "of each task",
                                                                   whole("0"), "N")(
        "hold", "a hold rather than batch", flag())("urgent", "starts before normal jobs", flag())(
        "non-idempotent", "a lost task must not run again", flag())(
        "no-checkpoint", "tasks cannot checkpoint", flag());
}

void add_submit_options(cxxopts::Options& options) {
    const auto text = [] { return cxxopts::value<std::string>(); };
    options.add_options()("file", "JSON declaration, or YAML with the section jobs", text(),
                          "FILE")("team", "whose quota counts", text(), "NAME");
    add_shape_options(options);
    options.add_options()("run-time-ms", "first estimate for one task",
                          cxxopts::value<std::int64_t>()->default_value("60000"),
                          "MS")("complete-by", "UTC, for example 2026-12-05T05:30:00Z", text(),
                                "TIME")("complete-in-s", "seconds from now, without --complete-by",
                                        cxxopts::value<std::int64_t>()->default_value("3600"), "S")(
        "command", "text for the worker's runtime",
        cxxopts::value<std::string>()->default_value(""), "TEXT");
}

void add_cancel_options(cxxopts::Options& options) {
    options.add_options()("prefix", "all active jobs whose id starts with it",
                          cxxopts::value<std::string>(), "TEXT");
}

}  // namespace

std::span<const command> job_commands() {
    static const std::vector<command> commands{
        {"jobs list",
         "",
         "list jobs and holds",
         {"jobs list", "jobs list --output json"},
         add_no_options,
         list},
        {"jobs show",
         "JOB",
         "show a job and its tasks",
         {"jobs show harvest-plan-rosenberg"},
         add_no_options,
         show},
        {"jobs submit",
         "JOB",
         "submit a job from flags or a file",
         {"jobs submit soil-map --team harvest --tasks 4 --cores 2 --memory-mib 4096",
          "jobs submit yard-1 --team yard --hold --complete-by 2027-06-30T23:59:59Z",
          "jobs submit --file jobs.yaml"},
         add_submit_options,
         submit},
        {"jobs cancel",
         "JOB...",
         "cancel jobs by id or prefix",
         {"jobs cancel soil-map yard-1", "jobs cancel --prefix soil-"},
         add_cancel_options,
         cancel},
    };
    return commands;
}

}  // namespace tanagerpaddle::ctl
