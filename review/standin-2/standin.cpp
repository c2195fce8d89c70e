#include "standin.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string_view>

namespace review {

namespace {

// Latency of the store's answers and the time that a transaction takes.
constexpr int store_answer_ms = 4;
constexpr std::size_t max_rows_per_read = 500;
constexpr int caller_timeout_ms = 3'000;
constexpr int max_inherited_files = 1'024;
constexpr int exit_not_started = 127;

std::string encode_base64(const std::string& text) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group =
                (group << 8U) | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            const bool is_padding = i + k > text.size();
            out += is_padding ? '=' : digits[(group >> (18U - 6U * k)) & 63U];
        }
    }
    return out;
}

std::uint64_t number_parameter(const http_request& request, const char* name) {
    const auto text = request.parameter(name);
    return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

std::int64_t steady_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleep_ms(std::int64_t duration) {
    std::this_thread::sleep_for(milliseconds(duration));
}

bool wait_until(std::int64_t limit_ms, const std::function<bool()>& condition) {
    const auto end = steady_ms() + limit_ms;
    while (steady_ms() < end) {
        if (condition()) {
            return true;
        }
        sleep_ms(20);
    }
    return condition();
}

int free_port() {
    static std::set<int> taken;
    for (;;) {
        const int socket_id = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        const bool is_bound =
            bind(socket_id, generic, size) == 0 && getsockname(socket_id, generic, &size) == 0;
        close(socket_id);
        const int port = ntohs(address.sin_port);
        if (is_bound && taken.insert(port).second) {
            return port;
        }
    }
}

std::string loopback(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

// ---------------------------------------------------------------------------------------------
// Record

void record::clear() {
    std::ofstream(file_, std::ios::trunc);
}

void record::add(const std::string& line) {
    const std::string text = std::to_string(steady_ms()) + " " + line + "\n";
    const std::lock_guard lock(mutex_);
    const int out = open(file_.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0644);
    if (out < 0 || write(out, text.data(), text.size()) < 0) {
        std::cerr << "cannot write " << file_ << "\n";
    }
    if (out >= 0) {
        close(out);
    }
}

std::vector<record::entry> record::entries() const {
    std::vector<entry> found;
    std::ifstream in(file_);
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream words(line);
        entry next;
        words >> next.at_ms;
        std::string word;
        while (words >> word) {
            next.words.push_back(word);
        }
        found.push_back(std::move(next));
    }
    return found;
}

// ---------------------------------------------------------------------------------------------
// Table store

table_store::table_store(int port)
    : server_(port, [this](const http_request& request) { return serve(request); }) {}

table_store::~table_store() {
    is_closing_ = true;
    changed_.notify_all();
}

http_response table_store::serve(const http_request& request) {
    sleep_ms(store_answer_ms);
    if (mode_ != mode::sound) {
        return {503, ""};
    }
    if (request.path == "/rows-tx") {
        return serve_transaction(request);
    }
    return request.path == "/rows-get" ? serve_read(request) : serve_feed(request);
}

void table_store::set_mode(mode next) {
    mode_ = next;
    changed_.notify_all();
}

json table_store::to_json(const row& from) {
    json out{{"table", from.table}, {"part", from.part}, {"key", from.key}};
    if (from.version == 0) {
        out["removed"] = true;
    } else {
        out["value"] = from.value;
        out["schemaVersion"] = from.version;
    }
    return out;
}

void table_store::apply(const json& body) {
    ++version_;
    auto& changes = changes_[version_];
    for (const auto& put : body.value("puts", json::array())) {
        row next{put.at("table"), put.value("part", ""), put.at("key"), put.value("value", ""),
                 version_};
        rows_[{next.table, next.part, next.key}] = next;
        changes.push_back(std::move(next));
    }
    for (const auto& removal : body.value("remove", json::array())) {
        row gone{removal.at("table"), removal.value("part", ""), removal.at("key"), "", 0};
        if (rows_.erase({gone.table, gone.part, gone.key}) != 0) {
            changes.push_back(std::move(gone));
        }
    }
    changed_.notify_all();
}

http_response table_store::serve_transaction(const http_request& request) {
    const json body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    json current = json::array();
    bool is_met = true;
    for (const auto& expected : body.value("expected", json::array())) {
        const auto found =
            rows_.find({expected.at("table"), expected.value("part", ""), expected.at("key")});
        const auto version = found == rows_.end() ? 0 : found->second.version;
        is_met = is_met && version == expected.at("schemaVersion").get<std::uint64_t>();
        if (found != rows_.end()) {
            current.push_back(to_json(found->second));
        }
    }
    json out;
    if (is_met) {
        apply(body);
    } else {
        out["rows"] = std::move(current);
    }
    out["schemaVersion"] = version_;
    out["nowMs"] = steady_ms();
    return {is_met ? 200 : 412, out.dump()};
}

http_response table_store::serve_read(const http_request& request) {
    const auto table = request.parameter("table");
    const auto part = request.parameter("part");
    const auto from = request.parameter("from");
    const auto end = request.parameter("target");
    const std::lock_guard lock(mutex_);
    json found = json::array();
    bool has_more = false;
    for (auto at = rows_.lower_bound({table, part, from}); at != rows_.end(); ++at) {
        const auto& [key_table, key_part, key] = at->first;
        if (key_table != table || key_part != part || (!end.empty() && key >= end)) {
            break;
        }
        if (found.size() == max_rows_per_read) {
            has_more = true;
            break;
        }
        found.push_back(to_json(at->second));
    }
    const json out{{"rows", std::move(found)},
                   {"morePages", has_more},
                   {"schemaVersion", version_},
                   {"nowMs", steady_ms()}};
    return {200, out.dump()};
}

http_response table_store::serve_feed(const http_request& request) {
    const auto table = request.parameter("table");
    const auto after = number_parameter(request, "after");
    const auto until =
        std::chrono::steady_clock::now() + milliseconds(number_parameter(request, "waitMs"));
    std::unique_lock lock(mutex_);
    json found = json::array();
    for (;;) {
        for (auto at = changes_.upper_bound(after); at != changes_.end(); ++at) {
            for (const auto& change : at->second) {
                if (change.table == table) {
                    found.push_back(to_json(change));
                }
            }
        }
        const bool is_over = !found.empty() || is_closing_ || mode_ != mode::sound;
        if (is_over || changed_.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    if (mode_ != mode::sound) {
        return {503, ""};
    }
    const json out{{"rows", std::move(found)}, {"schemaVersion", version_}, {"nowMs", steady_ms()}};
    return {200, out.dump()};
}

void table_store::put(const std::string& table, const std::string& part, const std::string& key,
                      const std::string& value) {
    put_encoded({{table, part, key, encode_base64(value), 0}});
}

void table_store::put_encoded(const std::vector<row>& rows) {
    json puts = json::array();
    for (const auto& each : rows) {
        puts.push_back(
            {{"table", each.table}, {"part", each.part}, {"key", each.key}, {"value", each.value}});
    }
    const std::lock_guard lock(mutex_);
    apply({{"puts", std::move(puts)}});
}

std::vector<table_store::row> table_store::rows(const std::string& table) const {
    const std::lock_guard lock(mutex_);
    std::vector<row> found;
    for (const auto& [key, each] : rows_) {
        if (each.table == table) {
            found.push_back(each);
        }
    }
    return found;
}

// ---------------------------------------------------------------------------------------------
// Processes

process::process(const std::vector<std::string>& command,
                 const std::vector<std::string>& environment, const std::string& log)
    : program_(command.at(0)) {
    // Prepared before the fork: the child of a process with threads may not allocate.
    std::vector<char*> arguments;
    for (const auto& word : command) {
        arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (const auto& variable : environment) {
        variables.push_back(const_cast<char*>(variable.c_str()));
    }
    variables.push_back(nullptr);
    const int out = open(log.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    id_ = fork();
    if (id_ == 0) {
        // The child ends with the case, also if the case is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        for (int each = STDERR_FILENO + 1; each < max_inherited_files; ++each) {
            close(each);
        }
        execve(arguments[0], arguments.data(), variables.data());
        _exit(exit_not_started);
    }
    close(out);
}

process::~process() {
    kill();
}

process::process(process&& other) noexcept
    : id_(std::exchange(other.id_, 0)), program_(std::move(other.program_)) {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, 0);
        program_ = std::move(other.program_);
    }
    return *this;
}

void process::signal(int number) const {
    if (id_ > 0) {
        ::kill(id_, number);
    }
}

void process::kill() {
    if (id_ > 0) {
        ::kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
        id_ = 0;
    }
}

bool process::is_running() {
    if (id_ > 0 && waitpid(id_, nullptr, WNOHANG) == id_) {
        id_ = 0;
    }
    return id_ > 0;
}

double process::peak_memory_mb() const {
    const std::string folder = "/proc/" + std::to_string(id_);
    std::ifstream arguments(folder + "/cmdline");
    std::string program;
    std::getline(arguments, program, '\0');
    // Until it runs its program, the child has the memory of the case.
    if (id_ == 0 || program != program_) {
        return 0;
    }
    std::ifstream status(folder + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stod(line.substr(6)) / 1'024;
        }
    }
    return 0;
}

// ---------------------------------------------------------------------------------------------
// System

local_system::local_system(std::string self, std::string folder, record& records)
    : self_(std::move(self)),
      folder_(std::move(folder)),
      records_(records),
      store_port_(free_port()),
      store_(store_port_) {}

std::string local_system::write_settings(const std::string& name, const std::string& role,
                                         const std::map<std::string, std::string>& values) {
    const std::string file = folder_ + "/" + name + ".yaml";
    std::ofstream out(file);
    out << "name: \"" << name << "\"\n";
    for (const char* key : {"callers", "readiness", "executor_reports", "executor"}) {
        const auto found = values.find(key);
        out << key << ": \"" << (found == values.end() ? "" : found->second) << "\"\n";
    }
    out << "messages: \"" << loopback(free_port()) << "\"\n"
        << "metrics: \"" << loopback(free_port()) << "\"\n"
        << "store: \"" << loopback(store_port_) << "\"\n"
        << "policy_service: \"\"\n"
        << "shutdown_grace_ms: 6000\n"
        << "processors: " << (role == "entry" ? "0.1" : "0.15") << "\n"
        << "log_level: info\n";
    return file;
}

std::size_t local_system::add_entry(const std::string& name) {
    entry next;
    next.callers = free_port();
    next.settings = write_settings(
        name, "entry", {{"callers", loopback(next.callers)}, {"readiness", loopback(free_port())}});
    entries_.push_back(std::move(next));
    start_entry(entries_.size() - 1);
    return entries_.size() - 1;
}

std::size_t local_system::add_machine(const std::string& name, const executor_settings& like) {
    machine next;
    next.executor_values = like;
    next.executor_values.id = "i-" + name;
    next.executor_values.port = free_port();
    next.executor_values.agent_port = free_port();
    next.executor_values.record_file = records_.file();
    next.agent_settings =
        write_settings(name, "agent",
                       {{"executor_reports", loopback(next.executor_values.agent_port)},
                        {"executor", loopback(next.executor_values.port)}});
    machines_.push_back(std::move(next));
    start_agent(machines_.size() - 1);
    start_executor(machines_.size() - 1);
    return machines_.size() - 1;
}

void local_system::start_entry(std::size_t index) {
    auto& each = entries_.at(index);
    each.node = process({"target/platform/tanagerpaddle-node", "entry"},
                        {"TANAGERPADDLE_CONFIG=" + each.settings}, each.settings + ".log");
}

void local_system::start_agent(std::size_t index) {
    auto& each = machines_.at(index);
    each.agent =
        process({"target/platform/tanagerpaddle-node", "agent"},
                {"TANAGERPADDLE_CONFIG=" + each.agent_settings}, each.agent_settings + ".log");
}

void local_system::start_executor(std::size_t index) {
    auto& each = machines_.at(index);
    each.executor = process(executor_command(self_, each.executor_values), {},
                            folder_ + "/" + each.executor_values.id + ".log");
}

void local_system::configure(const json& routes) {
    configuration_version_ += 3;
    const json body{{"version", configuration_version_},
                    {"routes", routes},
                    {"services", {{{"name", "cutdesk"}, {"enforcesCapacity", false}}}},
                    {"limits", json::object()}};
    store_.put("op", "", "config", body.dump());
    records_.add("operator configuration " + std::to_string(configuration_version_) + " routes " +
                 std::to_string(routes.size()));
}

bool local_system::is_serving(std::size_t index) {
    const auto found = call(entries_.at(index).callers, "GET", "/plans/");
    return found.status == 200;
}

json route(const std::string& prefix, int max_attempts, int priority) {
    return {{"name", "r" + prefix.substr(1, prefix.size() - 2)},
            {"host", caller_host},
            {"pathPrefix", prefix},
            {"kind", "unsafe"},
            {"timeoutMs", 3'000},
            {"targetLatencyMs", 1'000},
            {"priority", priority},
            {"service", "cutdesk"},
            {"maxAttempts", max_attempts},
            {"stretch", 2.0}};
}

std::string job_id(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::string answer::state() const {
    if (status != 200) {
        return "status-" + std::to_string(status);
    }
    const json in = json::parse(body, nullptr, false);
    return in.is_object() ? in.value("state", "none") : "unreadable";
}

answer call(int port, const std::string& method, const std::string& path, const std::string& body) {
    const auto result = send_http(port, method, path,
                                  {{"Host", caller_host},
                                   {"Timeout-Ms", std::to_string(caller_timeout_ms)},
                                   {"Content-Type", "application/json"}},
                                  body, caller_timeout_ms);
    return result ? answer{result->status, result->body} : answer{};
}

bool has_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int run_case(int argc, char** argv,
             const std::function<int(const std::string&, const std::string&, record&)>& judge) {
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv, argv + argc);
    if (arguments.size() > 2 && arguments[1] == "executor") {
        return run_executor(parse_executor(arguments));
    }
    if (arguments.size() != 3) {
        std::cerr << "usage: " << arguments[0] << " RECORD FOLDER\n";
        return exit_not_run;
    }
    record records(arguments[1]);
    records.clear();
    try {
        const int code = judge(arguments[0], arguments[2], records);
        records.add("case exit " + std::to_string(code));
        return code;
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        records.add(std::string("case failed ") + failure.what());
        return exit_not_run;
    }
}

}  // namespace review
