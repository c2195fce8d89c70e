#pragma once

// Stand-ins of the third review for the users' platform: HTTP, table service, executors, and the
// project's own programs as child processes. Each machine has a loopback address of its own.

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
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
#include <vector>

namespace standin {

using json = nlohmann::json;

// Milliseconds on a steady clock since the program began.
[[nodiscard]] std::int64_t now_ms();
[[nodiscard]] std::int64_t unix_ms();
void sleep_ms(std::int64_t time);

// Writes a line with its time to record.txt and to standard output.
class record {
public:
    explicit record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

// ---------------------------------------------------------------------------------------------
// HTTP

struct address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct response {
    // 0: the call is never answered.
    int status = 200;
    std::string body = "{}";
};

class http_server {
public:
    using handler = std::function<response(const request&)>;
    http_server(address at, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    // Accepts no more connections; the open ones stay.
    void close_listener();

private:
    struct state;
    std::shared_ptr<state> state_;
    std::thread accepting_;
};

// std::nullopt if no complete answer arrives in time.
std::optional<response> call(const address& peer, const std::string& method,
                             const std::string& path, const std::string& body,
                             const std::map<std::string, std::string>& headers,
                             std::int64_t timeout_ms);

// ---------------------------------------------------------------------------------------------
// Table service

class store {
public:
    explicit store(address at);
    void put(const std::string& table, const std::string& part, const std::string& key,
             const std::string& value);
    // The value of a row, if it exists.
    std::optional<std::string> value_of(const std::string& table, const std::string& part,
                                        const std::string& key);
    [[nodiscard]] const address& at() const { return at_; }

private:
    using row_key = std::array<std::string, 3>;
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };

    response serve(const request& in);
    response transact(const request& in);
    response read(const request& in);
    response feed(const request& in);
    json encode(const row_key& key, const row* found) const;
    void change(const row_key& key, const std::string* value);

    address at_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    // Each change, by version.
    std::vector<std::pair<std::uint64_t, row_key>> history_;
    std::uint64_t version_ = 1;
    std::unique_ptr<http_server> server_;
};

// ---------------------------------------------------------------------------------------------
// Executors

// What a task does, by the text of its job's spec: "work=MS" takes MS at full pace, "last" runs
// until it is stopped; "step N: ..." lines give it for single steps.
struct behaviour {
    std::int64_t work_ms = 500;
    bool lasts = false;
};
[[nodiscard]] behaviour behaviour_of(const std::string& spec, int step);

struct executor_options {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    int cpu = 8'000;
    int mem_mb = 32'000;
    address app;
    address control_plane;
};

// One event of a run, as the executor saw it.
struct run_event {
    std::int64_t at = 0;
    std::string executor;
    std::string task;
    std::uint32_t run = 0;
    // "start", or how it ended; "crashed" for the end of its executor.
    std::string what;
};

class executor {
public:
    // Milliseconds of tail latency of the serving tasks, or thousandths of a core in use.
    using measure = std::function<std::int64_t(const std::string& task)>;
    executor(executor_options options, record& log);
    ~executor();
    // Begins a new life; the last one has ended.
    void begin();
    // Ends this life at once: all runs end, the port refuses connections.
    void crash();
    // The same by a loss of power: open connections go silent.
    void lose_power();
    // The kind of the next life.
    void set_kind(std::vector<std::string> labels, int cpu, int mem_mb);
    void set_measure(measure measured);
    [[nodiscard]] std::vector<run_event> events();
    // The pace that calls have set for the run, in percent; std::nullopt if it does not run.
    [[nodiscard]] std::optional<int> pace_of(const std::string& task);
    [[nodiscard]] std::optional<int> percent_of(const std::string& task);
    [[nodiscard]] std::size_t running_count();
    [[nodiscard]] const executor_options& options() const { return options_; }

private:
    struct run {
        std::uint32_t number = 0;
        double worked_ms = 0;
        behaviour does;
        int pace = 100;
        std::optional<std::int64_t> stop_at;
    };
    struct end {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    response serve(const request& in, std::uint64_t life);
    response start(const request& in, const json& body);
    response stop(const json& body);
    response hold(const json& body, std::unique_lock<std::mutex>& lock);
    response pace(const json& body);
    [[nodiscard]] std::int64_t clock() const { return now_ms() - clock_origin_; }
    bool is_fenced(const json& body);
    response refuse(const std::string& reason) const;
    void finish(const std::string& task, const std::string& how);
    void note(const std::string& task, std::uint32_t run, const std::string& what);
    bool end_life();
    void work();
    void report();

    executor_options options_;
    record& log_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::unique_ptr<http_server> server_;
    // Their connections are silent.
    std::vector<std::unique_ptr<http_server>> dark_servers_;
    bool is_alive_ = false;
    std::uint64_t life_ = 0;
    std::int64_t born_ = 0;
    std::int64_t clock_origin_ = 0;
    std::int64_t lease_until_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, run> running_;
    std::deque<end> finished_;
    // Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint32_t> closed_;
    std::vector<run_event> events_;
    measure measure_;
    std::atomic<bool> is_closing_{false};
    std::thread worker_;
    std::thread reporter_;
};

// ---------------------------------------------------------------------------------------------
// The project's programs

// A machine of the deployment with one program of the deploy file.
class machine {
public:
    machine(std::string name, std::string role, std::map<std::string, std::string> settings,
            std::string folder, record& log);
    ~machine();
    void start();
    // SIGKILL, and waits for the end.
    void kill();
    void signal(int number);
    [[nodiscard]] const std::string& name() const { return name_; }
    // Resident memory in KiB; 0 if it does not run.
    [[nodiscard]] long resident_kib() const;

private:
    std::string name_;
    std::string role_;
    std::string folder_;
    record& log_;
    std::map<std::string, std::string> settings_;
    pid_t pid_ = -1;
};

// A small deployment: entries, and executors with an agent each.
class deployment {
public:
    struct queue {
        std::string prefix;
        int priority = 0;
        double stretch = 2;
        int target_ms = 1'000;
        int max_attempts = 3;
    };

    deployment(record& log, int entries, const std::vector<executor_options>& executors,
               const std::vector<queue>& queues);
    ~deployment();
    // Waits until a job can be handed in; false if that takes too long.
    bool begin(std::int64_t limit_ms);

    // The status of the answer, or 0 without one. Tries each entry in turn.
    int submit(const std::string& prefix, const std::string& job, const json& body);
    int cancel(const std::string& prefix, const std::string& job);
    // The state that is shown, or the status, or "no answer".
    std::string state_of(const std::string& prefix, const std::string& job);

    std::vector<std::unique_ptr<machine>> entries;
    std::vector<std::unique_ptr<machine>> agents;
    std::vector<std::unique_ptr<executor>> executors;
    std::unique_ptr<store> table;
    record& log;

private:
    [[nodiscard]] std::optional<response> ask(std::size_t entry, const std::string& method,
                                              const std::string& path, const std::string& body);

    std::string folder_;
    std::vector<address> fronts_;
    std::size_t next_front_ = 0;
};

// The address of machine `number` of this run; other runs use others.
[[nodiscard]] std::string ip_of(int number);

}  // namespace standin
