#pragma once

// An operators' server with scripted answers, and the program run against it.

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "command.hpp"
#include "tanagerpaddle/rpc.hpp"

namespace tanagerpaddle::ctl {

class fake_entry {
public:
    using answer = std::function<http_response(const http_request&)>;

    fake_entry() : server_(options()) {
        for (const char* method : {"GET", "PUT", "POST", "DELETE"}) {
            server_.route(method, "/.*",
                          [this](const http_request& request) { return respond(request); });
        }
        server_.start();
    }

    void on(const std::string& call, answer respond) {
        const std::lock_guard lock(mutex_);
        answers_[call] = std::move(respond);
    }
    void on(const std::string& call, const std::string& body) {
        on(call, [body](const http_request&) {
            http_response response;
            response.body = body;
            return response;
        });
    }
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(server_.port());
    }
    // Requests of that call so far, in their order.
    [[nodiscard]] std::vector<http_request> seen(const std::string& call) const {
        const std::lock_guard lock(mutex_);
        const auto found = seen_.find(call);
        return found == seen_.end() ? std::vector<http_request>{} : found->second;
    }

private:
    static http_server_options options() {
        http_server_options chosen;
        chosen.listen = {"127.0.0.1", 0};
        chosen.idle_s = 1;
        return chosen;
    }

    http_response respond(const http_request& request) {
        const std::string call = request.method + " " + request.path;
        answer scripted;
        {
            const std::lock_guard lock(mutex_);
            seen_[call].push_back(request);
            const auto found = answers_.find(call);
            scripted = found == answers_.end() ? answer() : found->second;
        }
        if (!scripted) {
            return error_response(result_code::unknown_job, "no answer scripted for " + call);
        }
        return scripted(request);
    }

    std::map<std::string, answer> answers_;
    mutable std::mutex mutex_;
    std::map<std::string, std::vector<http_request>> seen_;
    http_server server_;
};

struct program_run {
    int status = 0;
    std::string out;
    std::string err;
};

inline program_run run(std::vector<std::string> arguments, const std::string& input = "") {
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    const int status = run_program(arguments, "", {in, out, err});
    return {status, out.str(), err.str()};
}

inline program_run run_at(const fake_entry& entry, std::vector<std::string> arguments,
                          const std::string& input = "") {
    arguments.insert(arguments.end(), {"--entry", entry.address()});
    return run(std::move(arguments), input);
}

}  // namespace tanagerpaddle::ctl
