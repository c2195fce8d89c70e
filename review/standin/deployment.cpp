#include "deployment.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

using nlohmann::json;

constexpr const char* program = "target/platform/tanagerpaddle-node";
constexpr const char* settings_template = "platform/settings.yaml.template";
constexpr std::int64_t ready_timeout_ms = 20'000;
constexpr std::int64_t call_timeout_ms = 3'000;

std::string read_file(const std::string& file) {
    std::ifstream in(file);
    if (!in) {
        throw std::runtime_error("cannot read " + file);
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Fills in the placeholders of the settings; one without a value becomes empty.
std::string fill_in(std::string text, const json& fields) {
    std::size_t begin = 0;
    while ((begin = text.find("{{")) != std::string::npos) {
        const auto end = text.find("}}", begin);
        std::string path = "/" + text.substr(begin + 2, end - begin - 2);
        for (auto& c : path) {
            c = c == '.' ? '/' : c;
        }
        const json::json_pointer where(path);
        const json value = fields.contains(where) ? fields.at(where) : json("");
        text.replace(begin, end + 2 - begin,
                     value.is_string() ? value.get<std::string>() : value.dump());
    }
    return text;
}

std::string local(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

deployment::deployment(const options& settings, record& log)
    : settings_(settings), log_(log), store_port_(free_port()), advice_port_(free_port()) {
    char name[] = "/tmp/tanagerpaddle-review.XXXXXX";
    if (::mkdtemp(name) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    folder_ = name;
    store_ = std::make_unique<store>(store_port_);
    if (settings_.advise) {
        advice_ = std::make_unique<http_server>(
            advice_port_, [this](const http_request& request) { return advise(request); });
    }
    configure(settings_.routes);
    for (std::size_t i = 0; i < settings_.entries; ++i) {
        callers_.push_back(free_port());
        readiness_.push_back(free_port());
        processes_.push_back(start_program(
            "entry", "edge-" + std::to_string(i + 1),
            {{"listen", {{"frontend", local(callers_[i])}, {"readiness", local(readiness_[i])}}},
             {"limits", {{"cpuShare", 0.25}}}}));
    }
    for (std::size_t i = 0; i < settings_.executors; ++i) {
        executor_options options;
        options.name = "side-" + std::to_string(i + 1);
        options.zone = "zone-" + std::to_string(i % 3 + 1);
        options.service = settings_.service;
        options.labels = {"a", "r1-" + std::to_string(i / 3 + 1)};
        options.port = free_port();
        options.report_port = free_port();
        processes_.push_back(
            start_program("agent", options.name,
                          {{"listen", {{"controlPlane", local(options.report_port)}}},
                           {"app", local(options.port)},
                           {"limits", {{"cpuShare", 0.15}}}}));
        executors_.push_back(std::make_unique<executor>(options, log_));
    }
    const auto is_ready = [&] {
        for (const auto port : readiness_) {
            if (call(port, {"GET", "/ready", {}, ""}, 500).status != 200) {
                return false;
            }
        }
        return true;
    };
    if (!wait_for(ready_timeout_ms, is_ready)) {
        throw std::runtime_error("the entries are not ready");
    }
    for (auto& each : executors_) {
        each->start("i-" + each->name());
    }
    // Traffic starts some seconds after the machines do.
    sleep_ms(4'000);
}

deployment::~deployment() {
    executors_.clear();
    for (const auto& each : processes_) {
        ::kill(each.id, SIGKILL);
        ::waitpid(each.id, nullptr, 0);
    }
    advice_.reset();
    store_.reset();
    std::filesystem::remove_all(folder_);
}

http_response deployment::advise(const http_request& request) {
    constexpr std::int64_t decide_ms = 20;
    constexpr std::int64_t period_ms = 2;
    const auto body = json::parse(request.body);
    const auto ids = body.at("workers").get<std::vector<std::string>>();
    const std::string step = body.at("step");
    sleep_ms(decide_ms + period_ms * static_cast<std::int64_t>(ids.size()));
    json allowed = json::array();
    for (const auto& id : settings_.advise(step, ids)) {
        allowed.push_back({id, "ticket-" + step + "-" + id});
    }
    log_.line("advice for " + step + " on " + std::to_string(ids.size()) +
              " executors: " + allowed.dump());
    return {200, json{{"allowed", allowed}, {"validMs", 3'000}}.dump()};
}

deployment::process deployment::start_program(const std::string& role, const std::string& name,
                                              const json& settings) {
    json fields = settings;
    fields["nodeName"] = name;
    fields["ip"] = "127.0.0.1";
    fields["internalPorts"] = {free_port(), free_port()};
    fields["platform"] = {{"address", local(store_port_)}};
    fields["advice"] = local(advice_port_);
    fields["bounds"] = {{"graceS", 6}};
    const std::string file = folder_ + "/" + name + ".yaml";
    std::ofstream(file) << fill_in(read_file(settings_template), fields);
    const std::string output = folder_ + "/" + name + ".log";
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::setenv("TANAGERPADDLE_CONFIG", file.c_str(), 1);
        ::execl(program, program, role.c_str(), nullptr);
        ::_exit(127);
    }
    if (child < 0) {
        throw std::runtime_error("cannot start " + name);
    }
    return {child, name};
}

void deployment::configure(const std::vector<route>& routes) {
    json listed = json::array();
    for (const auto& each : routes) {
        listed.push_back({{"name", "r-" + each.path_prefix.substr(1, 7)},
                          {"host", each.host},
                          {"pathPrefix", each.path_prefix},
                          {"kind", "unsafe"},
                          {"timeoutMs", 3'000},
                          {"targetLatencyMs", 1'000},
                          {"priority", each.priority},
                          {"service", settings_.service},
                          {"maxAttempts", each.max_attempts},
                          {"stretch", 2.0}});
        if (each.has_advice) {
            listed.back()["advice"] = {{"decideMs", 20}, {"periodMs", 2}, {"validMs", 3'000}};
        }
    }
    version_ += 3;
    store_->put_operator_row("config", {{"version", version_},
                                        {"routes", listed},
                                        {"services",
                                         {{{"name", settings_.service},
                                           {"healthPath", "/health"},
                                           {"maxConnections", 64},
                                           {"protocol", "h1"},
                                           {"tls", false},
                                           {"coldStartS", 0.0},
                                           {"coldPerS", 0.0},
                                           {"enforcesCapacity", false},
                                           {"standby", false}}}},
                                        {"limits",
                                         {{"maxHeaderBytes", 16'384},
                                          {"maxBodyBytes", 262'144},
                                          {"headerTimeoutMs", 3'000},
                                          {"idleTimeoutMs", 15'000}}}});
    log_.line("operator: configuration " + std::to_string(version_) + " with " +
              std::to_string(routes.size()) + " routes is stored");
}

http_response deployment::ask(const std::string& method, const route& queue,
                              const std::string& job) {
    next_entry_ = (next_entry_ + 1) % callers_.size();
    return call(callers_[next_entry_],
                {method,
                 queue.path_prefix + job,
                 {{"Host", queue.host}, {"Timeout-Ms", std::to_string(call_timeout_ms)}},
                 ""},
                call_timeout_ms);
}

bool deployment::submit(const route& queue, const std::string& job, const json& body) {
    constexpr int max_attempts = 5;
    for (int i = 0; i < max_attempts; ++i) {
        next_entry_ = (next_entry_ + 1) % callers_.size();
        log_.line("requester: POST " + queue.path_prefix + job + " " + body.dump());
        const auto answer =
            call(callers_[next_entry_],
                 {"POST",
                  queue.path_prefix + job,
                  {{"Host", queue.host}, {"Timeout-Ms", std::to_string(call_timeout_ms)}},
                  body.dump()},
                 call_timeout_ms);
        log_.line("requester: POST " + job + " is answered with " + std::to_string(answer.status));
        if (answer.status >= 200 && answer.status < 300) {
            return true;
        }
        sleep_ms(300);
    }
    return false;
}

std::string deployment::state_of(const route& queue, const std::string& job) {
    const auto answer = ask("GET", queue, job);
    const std::string state = answer.status == 200
                                  ? json::parse(answer.body).at("state").get<std::string>()
                                  : std::to_string(answer.status);
    log_.line("requester: GET " + job + " is answered with " + state);
    return state;
}

executor& deployment::executor_named(const std::string& name) {
    for (auto& each : executors_) {
        if (each->name() == name) {
            return *each;
        }
    }
    throw std::runtime_error("no executor " + name);
}

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int run_case(int argc, char** argv, verdict (*body)(record&)) {
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return could_not_run;
    }
    try {
        record log(argv[1]);
        log.line(has_trouble() ? "with the disruption" : "without the disruption");
        const auto found = body(log);
        const std::string text = found == broken ? "the rule was broken"
                                 : found == held ? "the rule held"
                                                 : "the case could not run";
        log.line(text);
        std::cout << text << '\n';
        return found;
    } catch (const std::exception& failure) {
        std::cerr << "could not run: " << failure.what() << '\n';
        return could_not_run;
    }
}

}  // namespace review
