// status, targets, explain and decisions.

#include <iostream>

#include "command.hpp"
#include "output.hpp"
#include "tanagerpaddle/protocol.hpp"

namespace tanagerpaddle::ctl {

namespace {

std::string yes_or_no(const nlohmann::json& object, const char* member) {
    return object.is_object() && object.value(member, false) ? "yes" : "no";
}

// Messages leave out members that have their default value, so they are read into their structs.
template <class Message>
Message read(const nlohmann::json& value) {
    return decode<Message>(value.is_null() ? "{}" : value.dump());
}

const nlohmann::json& member(const nlohmann::json& object, const char* name) {
    static const nlohmann::json nothing;
    return object.is_object() && object.contains(name) ? object[name] : nothing;
}

void print_entries(std::ostream& out, const nlohmann::json& entries) {
    text_table table({"ENTRY", "CONTROL", "DOMAIN", "LIVE", "CONFIGURATION"});
    for (const auto& item : entries) {
        const auto info = read<entry_info>(member(item, "info"));
        table.add({info.id.value(), to_string(info.control), info.domain.value(),
                   yes_or_no(item, "is_live"), cell(item, "configuration")});
    }
    table.print(out);
}

void print_partitions(std::ostream& out, const nlohmann::json& partitions) {
    text_table table({"PARTITION", "EPOCH", "WORKERS", "PENDING", "FREE", "LARGEST FREE"});
    for (const auto& item : partitions) {
        const auto part = read<partition_summary>(item);
        table.add({std::to_string(part.partition.value()), std::to_string(part.epoch.value()),
                   std::to_string(part.worker_count), std::to_string(part.pending_tasks),
                   to_string(part.free), to_string(part.largest_free)});
    }
    table.print(out);
}

void print_counters(std::ostream& out, const nlohmann::json& counters) {
    text_table table({"COUNTER", "VALUE"});
    for (const auto& [name, value] : counters.items()) {
        table.add({name, value.dump()});
    }
    table.print(out);
}

int status(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    const auto body = context.entries.get("/v1/status");
    auto& out = context.streams.out;
    if (context.format == output_format::json) {
        print_json(out, body);
        return exit_status::ok;
    }
    text_table summary({"ENTRY", "VERSION", "READY", "STORE", "CONFIGURATION", "AGENTS"});
    summary.add({cell(body, "entry"), cell(body, "version"), yes_or_no(body, "is_ready"),
                 body.value("store_available", false) ? "available" : "unavailable",
                 cell(body, "configuration_version"), cell(member(body, "agents"), "count")});
    summary.print(out);
    out << '\n';
    print_entries(out, member(body, "entries"));
    out << '\n';
    print_partitions(out, member(body, "partitions"));
    if (const auto& counters = member(body, "counters"); counters.is_object()) {
        out << '\n';
        print_counters(out, counters);
    }
    return exit_status::ok;
}

int targets(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    const auto body = context.entries.get("/v1/targets");
    text_table table({"TARGET", "SERVICE", "DATA", "DOMAIN", "BUSY", "SLOTS", "OUTSTANDING",
                      "LIMIT", "LATENCY_US", "HEALTHY", "EJECTED", "LEAVING"});
    for (const auto& item : body) {
        const auto known = read<known_target>(item);
        const target_report& report = known.target;
        table.add({report.id.value(), report.service.value(), to_string(report.data),
                   known.domain.value(), std::to_string(report.busy_slots),
                   std::to_string(report.slots), cell(item, "outstanding"), cell(item, "limit"),
                   cell(item, "latency_us"), report.is_healthy ? "yes" : "no",
                   yes_or_no(item, "is_ejected"), known.is_leaving ? "yes" : "no"});
    }
    print(context, body, table);
    return exit_status::ok;
}

int explain(command_context& context, const cxxopts::ParseResult& arguments) {
    const auto id = positional(arguments, 1, 1).front();
    const auto body = context.entries.get("/v1/jobs/" + url_escaped(id) + "/explain");
    text_table table({"TASK", "STATE", "ATTEMPT", "WORKER", "WAITS FOR", "REASON", "OWNER",
                      "FAILURES", "EVICTIONS", "CRASHES"});
    for (const auto& item : body) {
        table.add({cell(item, "index"), cell(item, "state"), cell(item, "attempt"),
                   cell(item, "worker"), cell(item, "waits_for"), cell(item, "reason"),
                   cell(item, "owner"), cell(item, "failures"), cell(item, "evictions"),
                   cell(item, "crashes")});
    }
    print(context, body, table);
    return exit_status::ok;
}

int decisions(command_context& context, const cxxopts::ParseResult& arguments) {
    (void)positional(arguments, 0, 0);
    const auto body = context.entries.get("/v1/decisions");
    text_table table({"AGE_MS", "KIND", "PARTITION", "TASK", "WORKER", "CAUSE"});
    for (const auto& item : body) {
        table.add({cell(item, "age_ms"), cell(item, "kind"), cell(item, "partition"),
                   cell(item, "task"), cell(item, "worker"), cell(item, "cause")});
    }
    print(context, body, table);
    return exit_status::ok;
}

}  // namespace

std::span<const command> state_commands() {
    static const std::vector<command> commands{
        {"status",
         "",
         "show entries, partitions and agents",
         {"status", "--entry 10.0.0.7:7301 status --output json"},
         add_no_options,
         status},
        {"targets",
         "",
         "show the targets that an entry routes to",
         {"targets"},
         add_no_options,
         targets},
        {"explain",
         "JOB",
         "show where tasks are and what they wait for",
         {"explain harvest-plan-rosenberg"},
         add_no_options,
         explain},
        {"decisions",
         "",
         "show the latest decisions about tasks",
         {"decisions"},
         add_no_options,
         decisions},
    };
    return commands;
}

}  // namespace tanagerpaddle::ctl
