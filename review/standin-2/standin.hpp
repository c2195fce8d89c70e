#pragma once

// Stand-ins for the platform around the programs under review: its table store, its executors and
// its callers. A case starts the programs of the deploy file as separate processes on loopback
// addresses and judges by what the stand-ins have seen.

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "http.hpp"

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

// Milliseconds of the steady clock; the same for all processes of the machine.
[[nodiscard]] std::int64_t steady_ms();
[[nodiscard]] std::int64_t unix_ms();
void sleep_ms(std::int64_t duration);

// Polls until the condition holds or the time is over; returns whether it held.
bool wait_until(std::int64_t limit_ms, const std::function<bool()>& condition);

// Ports of 127.0.0.1 that nothing listens on. Each call returns others.
[[nodiscard]] int free_port();
[[nodiscard]] std::string loopback(int port);

// Appends lines with the time of the steady clock to a file that several processes share.
class record {
public:
    explicit record(std::string file) : file_(std::move(file)) {}
    void clear();
    void add(const std::string& line);
    // The lines so far: time, then words.
    struct entry {
        std::int64_t at_ms = 0;
        std::vector<std::string> words;
    };
    [[nodiscard]] std::vector<entry> entries() const;
    [[nodiscard]] const std::string& file() const { return file_; }

private:
    std::string file_;
    std::mutex mutex_;
};

// The table store. Loses nothing that it has acknowledged; its answers are linearizable.
class table_store {
public:
    enum class mode { sound, unavailable };

    explicit table_store(int port);
    ~table_store();
    table_store(const table_store&) = delete;
    table_store& operator=(const table_store&) = delete;

    // `unavailable`: every call is answered with 503 and has no effect.
    void set_mode(mode next);
    // Writes as the operator or for an earlier life of the system.
    void put(const std::string& table, const std::string& part, const std::string& key,
             const std::string& value);
    struct row {
        std::string table;
        std::string part;
        std::string key;
        // Base64.
        std::string value;
        std::uint64_t version = 0;
    };
    [[nodiscard]] std::vector<row> rows(const std::string& table) const;
    // Puts rows whose values are base64 already.
    void put_encoded(const std::vector<row>& rows);

private:
    using address = std::tuple<std::string, std::string, std::string>;

    [[nodiscard]] http_response serve_transaction(const http_request& request);
    [[nodiscard]] http_response serve_read(const http_request& request);
    [[nodiscard]] http_response serve_feed(const http_request& request);
    [[nodiscard]] http_response serve(const http_request& request);
    [[nodiscard]] static json to_json(const row& from);
    void apply(const json& body);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<address, row> rows_;
    // Newest change of each row by version; version 0 in `row` marks a removal.
    std::map<std::uint64_t, std::vector<row>> changes_;
    std::uint64_t version_ = 0;
    std::atomic<mode> mode_ = mode::sound;
    std::atomic<bool> is_closing_ = false;
    http_server server_;
};

// A process that the case has started, from its main thread: it ends with the thread that started
// it. Killed by its id when the object goes.
class process {
public:
    process() = default;
    process(const std::vector<std::string>& command, const std::vector<std::string>& environment,
            const std::string& log);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    void signal(int number) const;
    void kill();
    [[nodiscard]] bool is_running();
    // Most resident memory in MB that the process has had; 0 if it has ended, or has not begun to
    // run its program yet.
    [[nodiscard]] double peak_memory_mb() const;

private:
    pid_t id_ = 0;
    std::string program_;
};

// What an executor stand-in is started with.
struct executor_settings {
    std::string id;
    int port = 0;
    int agent_port = 0;
    std::string service = "cutdesk";
    std::string zone = "rosenberg";
    std::string rack = "r1-1";
    int cpu = 64'000;
    int memory_mb = 256'000;
    int heartbeat_ms = 1'100;
    std::string record_file;
};

// Runs one life of an executor until it is killed. A task's work is told by its spec: {"ms": N}.
int run_executor(const executor_settings& settings);
[[nodiscard]] std::vector<std::string> executor_command(const std::string& self,
                                                        const executor_settings& settings);
[[nodiscard]] executor_settings parse_executor(const std::vector<std::string>& arguments);

// A small system: entries, and machines with an agent and an executor each.
class local_system {
public:
    // `folder` is a temporary folder for settings and logs; `self` is the program of the case,
    // which also runs as executor.
    local_system(std::string self, std::string folder, record& records);

    struct machine {
        executor_settings executor_values;
        std::string agent_settings;
        process agent;
        process executor;
    };
    struct entry {
        int callers = 0;
        std::string settings;
        process node;
    };

    std::size_t add_entry(const std::string& name);
    std::size_t add_machine(const std::string& name, const executor_settings& like);
    void start_entry(std::size_t index);
    void start_agent(std::size_t index);
    void start_executor(std::size_t index);
    [[nodiscard]] entry& entry_at(std::size_t index) { return entries_.at(index); }
    [[nodiscard]] machine& machine_at(std::size_t index) { return machines_.at(index); }
    [[nodiscard]] std::size_t machine_count() const { return machines_.size(); }
    [[nodiscard]] table_store& store() { return store_; }
    // Writes the operator's configuration; the store's answer is its acknowledgement.
    void configure(const json& routes);
    // True if the entry answers callers.
    [[nodiscard]] bool is_serving(std::size_t index);

private:
    [[nodiscard]] std::string write_settings(const std::string& name, const std::string& role,
                                             const std::map<std::string, std::string>& values);

    std::string self_;
    std::string folder_;
    record& records_;
    int store_port_;
    table_store store_;
    std::uint64_t configuration_version_ = 0;
    std::vector<entry> entries_;
    std::vector<machine> machines_;
};

constexpr const char* caller_host = "orders.example";

[[nodiscard]] json route(const std::string& prefix, int max_attempts = 3, int priority = 0);
[[nodiscard]] std::string job_id(std::uint64_t number);

// A call of a requester; status 0 if there was no answer.
struct answer {
    int status = 0;
    std::string body;
    [[nodiscard]] std::string state() const;
};
[[nodiscard]] answer call(int port, const std::string& method, const std::string& path,
                          const std::string& body = {});

// True unless TROUBLE=0 asks for the same run without the disruption.
[[nodiscard]] bool has_trouble();

// Runs a case: `self` also serves as executor. `judge` returns an exit code.
int run_case(int argc, char** argv,
             const std::function<int(const std::string& self, const std::string& folder,
                                     record& records)>& judge);

}  // namespace review
