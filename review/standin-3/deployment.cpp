#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>

#include "standin.hpp"

namespace standin {

namespace {

// A case that hangs ends by a signal, which run.sh reports as 2.
constexpr unsigned max_case_s = 118;
// Ports are the same on all machines.
constexpr int frontend_port = 8161;
constexpr int readiness_port = 8167;
constexpr int control_plane_port = 8166;
constexpr int app_port = 8165;
constexpr int store_port = 8169;
constexpr int first_internal_port = 7720;
constexpr int second_internal_port = 7735;
constexpr const char* program = "target/platform/tanagerpaddle-node";
constexpr const char* settings_template = "platform/settings.yaml.template";
constexpr const char* host = "nony24.example";

std::string read_file(const std::string& name) {
    std::ifstream in(name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string fill_in(std::string text, const std::map<std::string, std::string>& values) {
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const auto end = text.find("}}", at);
        const auto found = values.find(text.substr(at + 2, end - at - 2));
        const std::string value = found == values.end() ? "" : found->second;
        text.replace(at, end + 2 - at, value);
        at += value.size();
    }
    return text;
}

}  // namespace

std::string ip_of(int number) {
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + (id >> 8U) % 250) + "." + std::to_string(id % 256) + "." +
           std::to_string(number);
}

machine::machine(std::string name, std::string role, std::map<std::string, std::string> settings,
                 std::string folder, record& log)
    : name_(std::move(name)),
      role_(std::move(role)),
      folder_(std::move(folder)),
      log_(log),
      settings_(std::move(settings)) {}

machine::~machine() {
    kill();
}

void machine::start() {
    const std::string file = folder_ + "/" + name_ + ".yaml";
    std::ofstream(file) << fill_in(read_file(settings_template), settings_);
    const std::string output = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
        // Ends with the case, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("TANAGERPADDLE_CONFIG", file.c_str(), 1);
        const int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(out, 1);
        dup2(out, 2);
        execl(program, program, role_.c_str(), nullptr);
        _exit(127);
    }
    log_.line(name_ + " is started");
}

void machine::kill() {
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
        log_.line(name_ + " is killed");
    }
}

void machine::signal(int number) {
    ::kill(pid_, number);
    log_.line(name_ + " gets signal " + std::to_string(number));
}

long machine::resident_kib() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    const std::string key = "VmRSS:";
    for (std::string line; pid_ > 0 && std::getline(status, line);) {
        if (line.compare(0, key.size(), key) == 0) {
            return std::stol(line.substr(key.size()));
        }
    }
    return 0;
}

deployment::deployment(record& record_log, int entry_count,
                       const std::vector<executor_options>& executor_list,
                       const std::vector<queue>& queues)
    : log(record_log) {
    alarm(max_case_s);
    folder_ = std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
    int number = 1;
    table = std::make_unique<store>(address{ip_of(number++), store_port});
    json routes = json::array();
    for (const auto& each : queues) {
        routes.push_back({{"name", "r" + each.prefix},
                          {"host", host},
                          {"pathPrefix", each.prefix},
                          {"kind", "unsafe"},
                          {"timeoutMs", 3'000},
                          {"targetLatencyMs", each.target_ms},
                          {"priority", each.priority},
                          {"service", executor_list.front().service},
                          {"maxAttempts", each.max_attempts},
                          {"stretch", each.stretch}});
    }
    table->put("op", "", "config",
               json{{"version", 7},
                    {"routes", routes},
                    {"services",
                     {{{"name", executor_list.front().service},
                       {"healthPath", "/health"},
                       {"maxConnections", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"enforcesCapacity", false},
                       {"standby", false}}}},
                    {"limits", {{"maxHeaderBytes", 16'384}, {"maxBodyBytes", 262'144}}}}
                   .dump());
    const auto settings_of = [&](const std::string& name, const std::string& ip) {
        return std::map<std::string, std::string>{
            {"nodeName", name},
            {"ip", ip},
            {"internalPorts.0", std::to_string(first_internal_port)},
            {"internalPorts.1", std::to_string(second_internal_port)},
            {"platform.address", table->at().text()},
            {"bounds.graceS", "6"},
            {"bounds.spreadFactor", "1.5"},
        };
    };
    for (int i = 0; i < entry_count; ++i) {
        const std::string ip = ip_of(number++);
        auto settings = settings_of("edge-" + std::to_string(i + 1), ip);
        fronts_.push_back({ip, frontend_port});
        settings["listen.frontend"] = fronts_.back().text();
        settings["listen.readiness"] = address{ip, readiness_port}.text();
        settings["limits.cpuShare"] = "0.1";
        const auto name = settings["nodeName"];
        entries.push_back(std::make_unique<machine>(name, "entry", settings, folder_, log));
    }
    for (auto options : executor_list) {
        const std::string ip = ip_of(number++);
        options.app = {ip, app_port};
        options.control_plane = {ip, control_plane_port};
        auto settings = settings_of("side-" + options.id, ip);
        settings["listen.controlPlane"] = options.control_plane.text();
        settings["app"] = options.app.text();
        settings["limits.cpuShare"] = "0.15";
        const auto name = settings["nodeName"];
        agents.push_back(std::make_unique<machine>(name, "agent", settings, folder_, log));
        executors.push_back(std::make_unique<executor>(options, log));
    }
}

deployment::~deployment() {
    entries.clear();
    agents.clear();
    executors.clear();
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

bool deployment::begin(std::int64_t limit_ms) {
    for (const auto& each : executors) {
        each->begin();
    }
    for (const auto& each : entries) {
        each->start();
    }
    for (const auto& each : agents) {
        each->start();
    }
    const auto until = now_ms() + limit_ms;
    std::size_t ready = 0;
    while (ready < fronts_.size() && now_ms() < until) {
        const auto answer = call({fronts_[ready].ip, readiness_port}, "GET", "/ready", "", {}, 500);
        if (answer && answer->status == 200) {
            ++ready;
        } else {
            sleep_ms(100);
        }
    }
    return ready == fronts_.size();
}

std::optional<response> deployment::ask(std::size_t entry, const std::string& method,
                                        const std::string& path, const std::string& body) {
    return call(fronts_[entry], method, path, body, {{"Host", host}, {"Timeout-Ms", "3000"}},
                3'200);
}

int deployment::submit(const std::string& prefix, const std::string& job, const json& body) {
    int status = 0;
    for (std::size_t i = 0; i < 4 && status != 200; ++i) {
        const auto answer = ask(next_front_++ % fronts_.size(), "POST", prefix + job, body.dump());
        status = answer ? answer->status : 0;
        log.line("POST " + prefix + job + ": " + std::to_string(status));
        if (status != 200) {
            sleep_ms(500);
        }
    }
    return status;
}

int deployment::cancel(const std::string& prefix, const std::string& job) {
    const auto answer = ask(next_front_++ % fronts_.size(), "DELETE", prefix + job, "");
    const int status = answer ? answer->status : 0;
    log.line("DELETE " + prefix + job + ": " + std::to_string(status));
    return status;
}

std::string deployment::state_of(const std::string& prefix, const std::string& job) {
    const auto answer = ask(next_front_++ % fronts_.size(), "GET", prefix + job, "");
    std::string state = "no answer";
    if (answer) {
        state = answer->status == 200 ? json::parse(answer->body).at("state").get<std::string>()
                                      : std::to_string(answer->status);
    }
    log.line("GET " + prefix + job + ": " + state);
    return state;
}

}  // namespace standin
